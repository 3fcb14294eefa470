"""The timeline of a scenario: begins and ends faults at their times or after events, for both drivers.

A `Driver` implements the faults, for instance how a process is killed, suspended or started. Nothing here
depends on the speed of the machine: a fault that waits for events begins at the same event on a slow one.
"""

from __future__ import annotations

import fnmatch
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from .history import Event
from .links import Links
from .scenario import HOLDER_PREFIX, LEADER, LINK_FAULTS, INSTANCE_FAULTS, After, Fault, Scenario

RESTART_DELAY_MS = (500.0, 1500.0)  # until a mass-killed process is restarted if the fault has no duration
SLOW_PERIOD_S = 0.1  # a slowed process is suspended for a part of each period
HOST_LOSS_NOTICE_MS = (1400.0, 4600.0)  # until discovery notices that a host died
# SIGKILL follows SIGTERM after the longest wait of a client, at most MAX_DRAIN_WAIT_S, and KILL_DELAY_S more.
MAX_DRAIN_WAIT_S = 3.0
KILL_DELAY_S = 0.7


class Driver(Protocol):
    """The operations that faults need; endpoints are given by name, times in seconds."""

    links: Links

    def later(self, wait: float, do: Callable[..., None], *args: Any) -> Any: ...

    def kill(self, node: str) -> None: ...

    def start(self, node: str) -> None: ...

    def terminate(self, node: str) -> None: ...

    def suspend(self, node: str) -> None: ...

    def resume(self, node: str) -> None: ...

    def suspend_at_act(self, owner: str, work: str, after: bool) -> None:
        """Makes the instance suspend itself just before or after it sends its next action of the work."""

    def set_clock_skew(self, node: str, offset: float, drift: float) -> None: ...

    def step_wall_clock(self, node: str, offset: float) -> None:
        """Sets the offset of the wall clock of a running process, in milliseconds."""

    def set_call_error_rate(self, node: str, rate: float) -> None:
        """Sets the fraction of the node's system calls that fail or transfer less than asked."""

    def reload(self, node: str) -> None:
        """Sends SIGHUP."""

    def upgrade(self, node: str) -> None:
        """Replaces the serving process by a successor."""

    def set_disk_error_rate(self, node: str, rate: float) -> None:
        """Sets the fraction of the node's writes to its folder that fail."""

    def exclude_host(self, host: str, out: bool) -> None:
        """Has the operator exclude the host at every node, or re-admit it."""

    def set_idle_connections(self, node: str, clients: int) -> None:
        """Replaces the node's idle connections by the given number of new ones."""

    def reset(self, a: str, b: str) -> None: ...

    def hold(self, a: str, b: str, on: bool) -> None:
        """Holds back what is sent on the link, and new connections to the far end, while `on`."""

    def apply_host_fault(self, name: str, do: str, amount: float) -> None: ...

    def set_discovery_silent(self, node: str, silent: bool) -> None: ...

    def alive(self, node: str) -> bool: ...

    def endpoint_in_role(self, role: str) -> str | None:
        """The instance that currently leads or holds a work."""

    def link_changed(self, a: str, b: str) -> None: ...


class EventCounter:
    """Counts the events that the begin or end of a fault waits for."""

    def __init__(self, after: After) -> None:
        self.after = after
        self.remaining = after.count
        self.seen_endpoints: set[str] = set()

    def observe(self, event: Event, begun_names: set[str]) -> bool:
        """Counts an event if it matches; returns whether all awaited events have been seen."""
        after = self.after
        if after.seen != event["ev"] or (after.within and after.within not in begun_names):
            return False
        if after.work and after.work != event.get("work"):
            return False
        who = event.get("who", "")
        if after.of != "*" and not any(
            fnmatch.fnmatchcase(node, after.of) for node in (who, event.get("to", ""))
        ):
            return False
        if not after.each or who not in self.seen_endpoints:
            self.seen_endpoints.add(who)
            self.remaining -= 1
        return self.remaining <= 0


class Timeline:
    """Begins and ends the faults of a scenario."""

    def __init__(self, scenario: Scenario, driver: Driver, emit: Callable[..., None]) -> None:
        self.scenario, self.driver, self.emit = scenario, driver, emit
        self.pending_starts = {
            i: EventCounter(f.after) for i, f in enumerate(scenario.fault) if f.after is not None
        }
        self.pending_ends: dict[int, list[EventCounter]] = {}  # by fault, what its end still waits for
        self.begun_names: set[str] = set()
        self.endpoints_of: dict[int, list[str]] = {}
        self.slow_generations: dict[str, int] = {}

    def start(self) -> None:
        for i, fault in enumerate(self.scenario.fault):
            if fault.at is not None:
                self.driver.later(fault.at + fault.wait, self.begin_fault, i)

    def observe(self, event: Event) -> None:
        """Counts an event for all faults that wait for events."""
        if event["ev"] == "fault":
            return
        for i, counter in list(self.pending_starts.items()):
            if counter.observe(event, self.begun_names):
                del self.pending_starts[i]
                self.driver.later(self.scenario.fault[i].wait, self.begin_fault, i)
        for i, awaited_events in list(self.pending_ends.items()):
            if awaited_events[0].observe(event, self.begun_names):
                awaited_events.pop(0)
                if not awaited_events:
                    del self.pending_ends[i]
                    self.driver.later(0.0, self.end_fault, i)

    # ---- one fault

    def begin_fault(self, i: int) -> None:
        fault = self.scenario.fault[i]
        self.begun_names.add(fault.name)
        endpoints = self.endpoints_of[i] = self._faulty_endpoints(fault)
        self._emit_fault(i, True, endpoints)
        self._apply(fault, endpoints, True)
        if fault.span is not None:
            self.driver.later(fault.span, self.end_fault, i)
        elif fault.until:
            self.pending_ends[i] = [EventCounter(after) for after in fault.until]

    def end_fault(self, i: int) -> None:
        fault, endpoints = self.scenario.fault[i], self.endpoints_of[i]
        self._emit_fault(i, False, endpoints)
        self._apply(fault, endpoints, False)

    def _emit_fault(self, i: int, on: bool, endpoints: list[str]) -> None:
        fault = self.scenario.fault[i]
        to = self.scenario.matching_endpoints(fault.to) if fault.do in LINK_FAULTS else []
        self.emit("fault", number=i, do=fault.do, name=fault.name, on=on, of=endpoints, far=to)

    def _faulty_endpoints(self, fault: Fault) -> list[str]:
        if fault.do == "cut-zone":
            zone = self.scenario.matching_endpoints(f"zone:{fault.of}")
            return [p for p in zone if p[0] in "nh"]
        if fault.of == LEADER or fault.of.startswith(HOLDER_PREFIX):
            endpoint = self.driver.endpoint_in_role(fault.of)
            return [] if endpoint is None else [endpoint]
        endpoints = self.scenario.matching_endpoints(fault.of)
        if fault.do in ("mass-kill", "mass-restart"):
            nodes = [p for p in endpoints if p[0] == "n"]
            shuffled = sorted(nodes, key=lambda node: self.driver.links.chance())
            return sorted(shuffled[: max(round(fault.amount * len(nodes)), 1)], key=nodes.index)
        return endpoints

    def _apply(self, fault: Fault, endpoints: list[str], on: bool) -> None:
        driver, do = self.driver, fault.do
        if do in LINK_FAULTS:
            self._apply_to_links(
                fault, [(a, b) for a in endpoints for b in self.scenario.matching_endpoints(fault.to)], on
            )
        elif do == "cut-zone":
            inside, others = set(endpoints), self.scenario.node_names() + self.scenario.host_names()
            pairs = [(a, b) for a in endpoints for b in others if b not in inside]
            self._cut_links(pairs + [(b, a) for a, b in pairs], on)
        elif do == "discovery":
            for node in (p for p in endpoints if p[0] in "nd"):
                driver.set_discovery_silent(f"n{node[1:]}", on)
        elif do == "clock" and on:
            for node in (p for p in endpoints if p[0] in "no"):
                driver.set_clock_skew(node, fault.offset, fault.drift)
        elif do in ("drain", "start", "ill") or (do == "kill" and endpoints and endpoints[0][0] == "h"):
            for host in (p for p in endpoints if p[0] == "h"):
                driver.apply_host_fault(
                    host, do if on else ("well" if do == "ill" else "start"), fault.amount
                )
        elif do == "exclude":
            for host in (p for p in endpoints if p[0] == "h"):
                driver.exclude_host(host, on)
        elif do == "rolling":
            if on:
                self._restart_in_batches([p for p in endpoints if p[0] == "n"], max(fault.amount, 0.01))
        else:
            self._apply_to_nodes(fault, [p for p in endpoints if p[0] in "no"], on)

    def _apply_to_nodes(self, fault: Fault, nodes: Iterable[str], on: bool) -> None:
        driver, do = self.driver, fault.do
        for node in nodes:
            if do in ("kill", "mass-kill"):
                if on:
                    driver.kill(node)
                if on and do == "mass-kill" and fault.span is None:
                    driver.later(driver.links.between(RESTART_DELAY_MS) / 1000.0, driver.start, node)
                elif not on:
                    driver.start(node)
            elif do in ("restart", "mass-restart"):
                if on:
                    self.restart(node, lambda: None)
            elif do == "stop":
                (driver.suspend if on else driver.resume)(node)
            elif do in INSTANCE_FAULTS:
                work = fault.of.removeprefix(HOLDER_PREFIX) if fault.of.startswith(HOLDER_PREFIX) else ""
                driver.suspend_at_act(node, work, do == "stop-after-act") if on else driver.resume(node)
            elif do == "step":
                driver.step_wall_clock(node, fault.offset if on else 0.0)
            elif do == "errors":
                driver.set_call_error_rate(node, fault.amount if on else 0.0)
            elif do == "disk":
                driver.set_disk_error_rate(node, fault.amount if on else 0.0)
            elif do == "upgrade":
                if on:
                    driver.upgrade(node)
            elif do == "crowd":
                driver.set_idle_connections(node, int(fault.amount) if on else 0)
            elif do == "reload":
                if on:
                    driver.reload(node)
            elif do == "slow":
                self.slow_generations[node] = self.slow_generations.get(node, 0) + 1
                if on:
                    self._alternate_suspension(node, self.slow_generations[node], fault.amount, True)
                else:
                    driver.resume(node)

    def _alternate_suspension(self, node: str, generation: int, amount: float, stop: bool) -> None:
        """Suspends a process for a fraction of each period; a newer or ended fault stops the alternation."""
        if self.slow_generations.get(node) == generation:
            (self.driver.suspend if stop else self.driver.resume)(node)
            self.driver.later(
                SLOW_PERIOD_S * (amount if stop else 1 - amount),
                self._alternate_suspension,
                node,
                generation,
                amount,
                not stop,
            )

    def restart(self, node: str, on_done: Callable[[], None]) -> None:
        """Sends SIGTERM and starts a new process once the old one has exited or its time is over."""
        if not self.driver.alive(node):
            on_done()
            return
        self.driver.terminate(node)
        drain_wait_s = min(self.scenario.clients.wait / 1000.0, MAX_DRAIN_WAIT_S)
        self._await_exit(node, drain_wait_s + KILL_DELAY_S, on_done)

    def _await_exit(self, node: str, remaining_s: float, on_done: Callable[[], None]) -> None:
        if not self.driver.alive(node) or remaining_s <= 0:
            self.driver.kill(node)
            self.driver.start(node)
            on_done()
        else:
            self.driver.later(0.05, self._await_exit, node, remaining_s - 0.05, on_done)

    def _restart_in_batches(self, nodes: list[str], fraction: float) -> None:
        size = max(round(fraction * len(nodes)), 1)
        batch, later_nodes = nodes[:size], nodes[size:]
        remaining = [len(batch)]

        def node_restarted() -> None:
            remaining[0] -= 1
            if not remaining[0] and later_nodes:
                self._restart_in_batches(later_nodes, fraction * len(nodes) / len(later_nodes))

        for node in batch:
            self.restart(node, node_restarted)

    # ---- links

    def _cut_links(self, pairs: list[tuple[str, str]], on: bool) -> None:
        for a, b in pairs:
            self.driver.links.cut(a, b, on)
            self.driver.link_changed(a, b)

    def _apply_to_links(self, fault: Fault, pairs: list[tuple[str, str]], on: bool) -> None:
        pairs = [(a, b) for a, b in pairs if a != b]
        if fault.do == "cut":
            self._cut_links(pairs, on)
        elif fault.do == "silence":
            self._cut_links(pairs + [(b, a) for a, b in pairs], on)
        elif fault.do == "reset":
            if on:
                for a, b in pairs:
                    self.driver.reset(a, b)
        elif fault.do == "hold":
            for a, b in pairs:
                self.driver.hold(a, b, on)
        else:
            for a, b in pairs:
                trouble = self.driver.links.link_faults(a, b)
                if fault.do == "delay":
                    trouble.delay = fault.spread if on else (0.0, 0.0)
                else:
                    setattr(trouble, fault.do, fault.amount if on else 0.0)
                self.driver.link_changed(a, b)
