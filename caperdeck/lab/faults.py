"""What goes wrong when: a scenario's faults, set off by the time or by what was seen, for either driver.

A `Driver` says how a process is killed, stopped or started there. Nothing here counts on a
machine's speed: a fault that waits for events sets in at the same event on a slow machine.
"""

from __future__ import annotations

import fnmatch
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from .history import Event
from .links import Links
from .scenario import HOLDER_PREFIX, LEADER, ON_LINKS, ON_OWNERS, After, Fault, Scenario

BACK = (500.0, 1500.0)  # until a killed process is started again where the fault does not say
DUTY = 0.1  # seconds of one turn of a slowed process
NOTICE = (1400.0, 4600.0)  # until discovery has noticed that a host died
LONGEST_WAIT = 3.0  # seconds from SIGTERM: the longest wait of a client, or this if that is longer, and
KILL_AFTER = 0.7  # so many more, until SIGKILL comes at the earliest


class Driver(Protocol):
    """What a driver does for a fault; endpoints go by name, times in seconds."""

    links: Links

    def later(self, wait: float, do: Callable[..., None], *args: Any) -> Any: ...

    def kill(self, node: str) -> None: ...

    def start(self, node: str) -> None: ...

    def terminate(self, node: str) -> None: ...

    def suspend(self, node: str) -> None: ...

    def resume(self, node: str) -> None: ...

    def suspend_at_act(self, owner: str, work: str, after: bool) -> None:
        """The instance stops by itself just before its next act of that work goes out, or just after."""

    def set_clock_skew(self, node: str, offset: float, drift: float) -> None: ...

    def step_wall_clock(self, node: str, offset: float) -> None:
        """The wall clock of the node's process is off by so many milliseconds from now on."""

    def set_call_error_rate(self, node: str, rate: float) -> None:
        """This part of the node's system calls fails or falls short from now on."""

    def reload(self, node: str) -> None:
        """SIGHUP."""

    def upgrade(self, node: str) -> None:
        """A second process takes over from the one that serves."""

    def set_disk_error_rate(self, node: str, rate: float) -> None:
        """This part of the node's writes to its folder fails from now on."""

    def exclude_host(self, host: str, out: bool) -> None:
        """An operator takes the host out at every node, or calls it back."""

    def set_idle_connections(self, node: str, clients: int) -> None:
        """So many clients connect to the node and say nothing; those of before leave."""

    def reset(self, a: str, b: str) -> None: ...

    def hold(self, a: str, b: str, on: bool) -> None:
        """What is sent on connections opened meanwhile arrives once it is over."""

    def apply_host_fault(self, name: str, do: str, amount: float) -> None: ...

    def set_discovery_silent(self, node: str, silent: bool) -> None: ...

    def alive(self, node: str) -> bool: ...

    def endpoint_in_role(self, role: str) -> str | None:
        """The instance that leads, or holds a work, just now."""

    def link_changed(self, a: str, b: str) -> None: ...


class Awaited:
    """Counts the events that a fault waits for."""

    def __init__(self, after: After) -> None:
        self.after = after
        self.left = after.count
        self.seen_at: set[str] = set()

    def saw(self, event: Event, begun: set[str]) -> bool:
        """Takes an event in; whether all that was waited for has been seen."""
        after = self.after
        if after.seen != event["ev"] or (after.within and after.within not in begun):
            return False
        if after.work and after.work != event.get("work"):
            return False
        who = event.get("who", "")
        if after.of != "*" and not any(fnmatch.fnmatchcase(n, after.of) for n in (who, event.get("to", ""))):
            return False
        if not after.each or who not in self.seen_at:
            self.seen_at.add(who)
            self.left -= 1
        return self.left <= 0


class Timeline:
    def __init__(self, scenario: Scenario, driver: Driver, emit: Callable[..., None]) -> None:
        self.scenario, self.driver, self.emit = scenario, driver, emit
        self.waiting = {i: Awaited(f.after) for i, f in enumerate(scenario.fault) if f.after is not None}
        self.ending: dict[int, list[Awaited]] = {}  # by fault, what has yet to be seen for its end
        self.begun: set[str] = set()
        self.ends: dict[int, list[str]] = {}
        self.slowed: dict[str, int] = {}

    def start(self) -> None:
        for i, fault in enumerate(self.scenario.fault):
            if fault.at is not None:
                self.driver.later(fault.at + fault.wait, self.begin, i)

    def saw(self, event: Event) -> None:
        """Counts an event for the faults that wait for it."""
        if event["ev"] == "fault":
            return
        for i, awaited in list(self.waiting.items()):
            if awaited.saw(event, self.begun):
                del self.waiting[i]
                self.driver.later(self.scenario.fault[i].wait, self.begin, i)
        for i, lacking in list(self.ending.items()):
            if lacking[0].saw(event, self.begun):
                lacking.pop(0)
                if not lacking:
                    del self.ending[i]
                    self.driver.later(0.0, self.end, i)

    # ---- one fault

    def begin(self, i: int) -> None:
        fault = self.scenario.fault[i]
        self.begun.add(fault.name)
        endpoints = self.ends[i] = self._endpoints(fault)
        self._say(i, True, endpoints)
        self._apply(fault, endpoints, True)
        if fault.span is not None:
            self.driver.later(fault.span, self.end, i)
        elif fault.until:
            self.ending[i] = [Awaited(after) for after in fault.until]

    def end(self, i: int) -> None:
        fault, endpoints = self.scenario.fault[i], self.ends[i]
        self._say(i, False, endpoints)
        self._apply(fault, endpoints, False)

    def _say(self, i: int, on: bool, endpoints: list[str]) -> None:
        fault = self.scenario.fault[i]
        to = self.scenario.matching(fault.to) if fault.do in ON_LINKS else []
        self.emit("fault", number=i, do=fault.do, name=fault.name, on=on, of=endpoints, far=to)

    def _endpoints(self, fault: Fault) -> list[str]:
        if fault.do == "cut-zone":
            zone = self.scenario.matching(f"zone:{fault.of}")
            return [p for p in zone if p[0] in "nh"]
        if fault.of == LEADER or fault.of.startswith(HOLDER_PREFIX):
            found = self.driver.endpoint_in_role(fault.of)
            return [] if found is None else [found]
        endpoints = self.scenario.matching(fault.of)
        if fault.do in ("mass-kill", "mass-restart"):
            nodes = [p for p in endpoints if p[0] == "n"]
            order = sorted(nodes, key=lambda n: self.driver.links.chance())
            return sorted(order[: max(round(fault.amount * len(nodes)), 1)], key=nodes.index)
        return endpoints

    def _apply(self, fault: Fault, endpoints: list[str], on: bool) -> None:
        driver, do = self.driver, fault.do
        if do in ON_LINKS:
            self._on_links(fault, [(a, b) for a in endpoints for b in self.scenario.matching(fault.to)], on)
        elif do == "cut-zone":
            inside, others = set(endpoints), self.scenario.node_names() + self.scenario.host_names()
            pairs = [(a, b) for a in endpoints for b in others if b not in inside]
            self._cut(pairs + [(b, a) for a, b in pairs], on)
        elif do == "discovery":
            for n in (p for p in endpoints if p[0] in "nd"):
                driver.set_discovery_silent(f"n{n[1:]}", on)
        elif do == "clock" and on:
            for n in (p for p in endpoints if p[0] in "no"):
                driver.set_clock_skew(n, fault.offset, fault.drift)
        elif do in ("drain", "start", "ill") or (do == "kill" and endpoints and endpoints[0][0] == "h"):
            for h in (p for p in endpoints if p[0] == "h"):
                driver.apply_host_fault(h, do if on else ("well" if do == "ill" else "start"), fault.amount)
        elif do == "exclude":
            for h in (p for p in endpoints if p[0] == "h"):
                driver.exclude_host(h, on)
        elif do == "rolling":
            if on:
                self._roll([p for p in endpoints if p[0] == "n"], max(fault.amount, 0.01))
        else:
            self._on_nodes(fault, [p for p in endpoints if p[0] in "no"], on)

    def _on_nodes(self, fault: Fault, nodes: Iterable[str], on: bool) -> None:
        driver, do = self.driver, fault.do
        for n in nodes:
            if do in ("kill", "mass-kill"):
                if on:
                    driver.kill(n)
                if on and do == "mass-kill" and fault.span is None:
                    driver.later(driver.links.between(BACK) / 1000.0, driver.start, n)
                elif not on:
                    driver.start(n)
            elif do in ("restart", "mass-restart"):
                if on:
                    self.restart(n, lambda: None)
            elif do == "stop":
                (driver.suspend if on else driver.resume)(n)
            elif do in ON_OWNERS:
                work = fault.of.removeprefix(HOLDER_PREFIX) if fault.of.startswith(HOLDER_PREFIX) else ""
                driver.suspend_at_act(n, work, do == "stop-after-act") if on else driver.resume(n)
            elif do == "step":
                driver.step_wall_clock(n, fault.offset if on else 0.0)
            elif do == "errors":
                driver.set_call_error_rate(n, fault.amount if on else 0.0)
            elif do == "disk":
                driver.set_disk_error_rate(n, fault.amount if on else 0.0)
            elif do == "upgrade":
                if on:
                    driver.upgrade(n)
            elif do == "crowd":
                driver.set_idle_connections(n, int(fault.amount) if on else 0)
            elif do == "reload":
                if on:
                    driver.reload(n)
            elif do == "slow":
                self.slowed[n] = self.slowed.get(n, 0) + 1
                if on:
                    self._slow(n, self.slowed[n], fault.amount, True)
                else:
                    driver.resume(n)

    def _slow(self, n: str, turn: int, amount: float, stop: bool) -> None:
        """Stopped for a part of each tenth of a second."""
        if self.slowed.get(n) == turn:
            (self.driver.suspend if stop else self.driver.resume)(n)
            self.driver.later(DUTY * (amount if stop else 1 - amount), self._slow, n, turn, amount, not stop)

    def restart(self, n: str, then: Callable[[], None]) -> None:
        """SIGTERM, and a new process once the old one has gone or has had its time."""
        if not self.driver.alive(n):
            then()
            return
        self.driver.terminate(n)
        longest = min(self.scenario.clients.wait / 1000.0, LONGEST_WAIT)
        self._await_exit(n, longest + KILL_AFTER, then)

    def _await_exit(self, n: str, left: float, then: Callable[[], None]) -> None:
        if not self.driver.alive(n) or left <= 0:
            self.driver.kill(n)
            self.driver.start(n)
            then()
        else:
            self.driver.later(0.05, self._await_exit, n, left - 0.05, then)

    def _roll(self, nodes: list[str], amount: float) -> None:
        size = max(round(amount * len(nodes)), 1)
        batch, rest = nodes[:size], nodes[size:]
        left = [len(batch)]

        def one_back() -> None:
            left[0] -= 1
            if not left[0] and rest:
                self._roll(rest, amount * len(nodes) / len(rest))

        for n in batch:
            self.restart(n, one_back)

    # ---- links

    def _cut(self, pairs: list[tuple[str, str]], on: bool) -> None:
        for a, b in pairs:
            self.driver.links.cut(a, b, on)
            self.driver.link_changed(a, b)

    def _on_links(self, fault: Fault, pairs: list[tuple[str, str]], on: bool) -> None:
        pairs = [(a, b) for a, b in pairs if a != b]
        if fault.do == "cut":
            self._cut(pairs, on)
        elif fault.do == "silence":
            self._cut(pairs + [(b, a) for a, b in pairs], on)
        elif fault.do == "reset":
            if on:
                for a, b in pairs:
                    self.driver.reset(a, b)
        elif fault.do == "hold":
            for a, b in pairs:
                self.driver.hold(a, b, on)
        else:
            for a, b in pairs:
                trouble = self.driver.links.trouble(a, b)
                if fault.do == "delay":
                    trouble.delay = fault.spread if on else (0.0, 0.0)
                else:
                    setattr(trouble, fault.do, fault.amount if on else 0.0)
                self.driver.link_changed(a, b)
