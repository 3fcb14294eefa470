"""The four rules, checked on a history, apart from node and model; each breach is named.

A check is fed every event in the order of time, then asked to end. Later packages put theirs into CHECKS.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from .history import Event
from .scenario import Scenario


REORDER_WINDOW_MS = 20.0  # milliseconds in which the relay may see two sockets of one node in the wrong order
LEFT_GRACE = 100.0 + 50.0  # milliseconds, the second part for the rig's own way


@dataclass(frozen=True, slots=True)
class Breach:
    rule: str
    text: str
    t: float
    session: str = ""
    host: str = ""
    node: str = ""

    def line(self) -> str:
        names = (("session", self.session), ("host", self.host), ("node", self.node))
        named = " ".join(f"{key}={name}" for key, name in names if name)
        return f"{self.rule}: {self.text} at {self.t:.0f} ms {named}".rstrip()

    def named(self) -> dict[str, Any]:
        return asdict(self)


class Check:
    """One rule over one history."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        self.scenario, self.reorder_window_ms = scenario, reorder_window_ms
        self.breaches: list[Breach] = []

    def feed(self, e: Event) -> None:
        handler = getattr(self, f"on_{e['ev']}", None)
        if handler is not None:
            handler(e)

    def end(self, t: float) -> None:
        """The history is over."""

    def breach(self, rule: str, text: str, e: Event, **more: Any) -> None:
        values = {"session": e.get("id", ""), "host": e.get("to", ""), "node": e.get("who", "")} | more
        self.breaches.append(Breach(rule, text, e["t"], **values))


class Answers(Check):
    """No session lost: one final answer before its time, nothing after it.

    A node that was dead, asleep or cut off from its clients while a session waited is excused from being in
    time; nothing excuses two answers.
    """

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.asked: dict[str, Event] = {}
        self.answered: dict[str, Event] = {}
        self.down: dict[str, list[list[float]]] = {n: [] for n in scenario.node_names()}  # from, until
        self.why: dict[str, set[str]] = {}  # what keeps a node from answering just now

    def on_ask(self, e: Event) -> None:
        self.asked[e["id"]] = e

    def on_answer(self, e: Event) -> None:
        if e["id"] in self.answered:
            self.breach("sessions", "answered twice", e)
            return
        self.answered[e["id"]] = e

    def on_extra(self, e: Event) -> None:
        self.breach("sessions", f"{e.get('what')!r} after the final answer", e)

    def on_left(self, e: Event) -> None:
        self.answered[e["id"]] = e | {"what": "left"}

    def on_life(self, e: Event) -> None:
        if e["state"] in ("killed", "exit", "asleep"):
            self._down(e["who"], "process", e["t"])
        elif e["state"] in ("up", "awake"):
            self._back(e["who"], "process", e["t"])

    def on_fault(self, e: Event) -> None:
        # between a node and its clients nothing arrives, or late
        ends = [*e.get("of", []), *e.get("far", [])]
        if "clients" in ends:
            for n in (x for x in ends if x in self.down):
                (self._down if e["on"] else self._back)(n, f"fault {e['number']}", e["t"])

    def _down(self, node: str, why: str, t: float) -> None:
        reasons = self.why.setdefault(node, set())
        if not reasons:
            self.down.setdefault(node, []).append([t, math.inf])
        reasons.add(why)

    def _back(self, node: str, why: str, t: float) -> None:
        reasons = self.why.setdefault(node, set())
        if reasons == {why}:
            self.down[node][-1][1] = t
        reasons.discard(why)

    def end(self, t: float) -> None:
        slack = self.scenario.rules.slack
        for sid, e in self.asked.items():
            last = e["t"] + e["wait"] + slack
            if last > t or any(a <= last and b >= e["t"] for a, b in self.down.get(e["who"], ())):
                continue
            answer = self.answered.get(sid)
            if answer is None or answer["what"] == "none":
                self.breach("sessions", "no answer in its time", e)
            elif answer["what"] in ("closed", "reset"):
                self.breach("sessions", "ended without an answer", e)
            elif answer["t"] > last:
                self.breach("sessions", f"answered {answer['t'] - last:.0f} ms late", e)


class Effects(Check):
    """No effect twice, and never two dials out for one session."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.out: dict[str, Event] = {}
        self.doubt: dict[str, tuple[Event, Event]] = {}  # a dial beside another that had not ended yet
        self.ran: dict[str, str] = {}

    def on_dial(self, e: Event) -> None:
        if (other := self.out.get(e["id"])) is not None:
            self.doubt[e["id"]] = (e, other)
        elif self.scenario.clients.effect == "at_most_once" and e["id"] in self.ran:
            self.breach("effects", "dialled again after it may have run", e)
        self.out[e["id"]] = e

    def on_undial(self, e: Event) -> None:
        if e["id"] in self.doubt:
            dial, other = self.doubt[e["id"]]
            if other["to"] == e["to"]:
                del self.doubt[e["id"]]
                if e["t"] - dial["t"] > self.reorder_window_ms or not self.reorder_window_ms:
                    self._two(dial, other)
                return
        if (dial := self.out.get(e["id"])) is not None and dial["to"] == e["to"]:
            del self.out[e["id"]]

    def _two(self, dial: Event, other: Event) -> None:
        self.breach("effects", f"two dials out, the other at {other['to']}", dial)

    def end(self, t: float) -> None:
        for dial, other in self.doubt.values():
            self._two(dial, other)

    def on_back(self, e: Event) -> None:
        if e["what"] in ("BUSY", "ERR", "MOVE"):
            self.on_undial(e)

    def on_ran(self, e: Event) -> None:
        sid = e["id"]
        if sid in self.ran and self.scenario.clients.effect == "at_most_once":
            self.breach("effects", f"ran twice, first at {self.ran[sid]}", e)
        self.ran[sid] = e["to"]


class Departures(Check):
    """Nothing is sent to a host later than a moment after its client has left."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.left: dict[str, float] = {}

    def on_left(self, e: Event) -> None:
        self.left[e["id"]] = e["t"]

    def on_dial(self, e: Event) -> None:
        if e["t"] - self.left.get(e["id"], math.inf) > LEFT_GRACE:
            self.breach("sessions", "sent after its client had left", e)


class Stops(Check):
    """A node that was told to end has answered everybody by its end, or by the earliest SIGKILL."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.waiting: dict[str, dict[str, Event]] = {}  # by node, who has no answer
        self.stopping: set[str] = set()

    def on_ask(self, e: Event) -> None:
        self.waiting.setdefault(e["who"], {})[e["id"]] = e

    def on_answer(self, e: Event) -> None:
        self.waiting.get(e["who"], {}).pop(e["id"], None)

    def on_left(self, e: Event) -> None:
        self.on_answer(e)

    def on_life(self, e: Event) -> None:
        node = e["who"]
        if e["state"] == "stopping":
            self.stopping.add(node)
        elif e["state"] in ("killed", "exit"):
            held = self.waiting.pop(node, {}) if node in self.stopping else {}
            self.stopping.discard(node)
            for ask in held.values():
                # what was on the way to the node as it ended never reached it
                if e["t"] - ask["t"] > self.scenario.rules.slack:
                    self.breach("sessions", f"held without an answer as the node was {e['state']}", ask)


class Drains(Check):
    """Nothing new to a host later than the grace after the node was told that it drains or is gone."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.changes: list[tuple[int, str, str, float]] = []  # version, host, state, when
        self.revisions: dict[str, list[tuple[float, int]]] = {n: [] for n in scenario.node_names()}
        self.born: dict[str, float] = {}

    def on_list(self, e: Event) -> None:
        self.changes.append((e["rev"], e["to"], e["state"], e["t"]))

    def on_told(self, e: Event) -> None:
        self.revisions.setdefault(e["who"], []).append((e["t"], e["rev"]))

    def on_life(self, e: Event) -> None:
        if e["state"] == "up":
            self.born[e["who"]] = e["t"]

    def on_dial(self, e: Event) -> None:
        rules, node = self.scenario.rules, e["who"]
        latest = e["t"] - rules.drain_grace - rules.slack
        known = max((rev for at, rev in self.revisions.get(node, ()) if at <= latest), default=0)
        state, since = "Ready", 0.0
        for rev, host, what, at in self.changes:
            # Danger: a change that never arrived counts as told in the end all the same; but a node that
            # started since goes by the list that it asked for.
            anyway = at + rules.told_anyway <= latest and self.born.get(node, 0.0) < at
            if host == e["to"] and (rev <= known or anyway):
                state, since = what, at
        if state != "Ready":
            # a later word that it is ready again, told within the grace, undoes it
            again = any(h == e["to"] and s == "Ready" and a > since for _, h, s, a in self.changes)
            if not again:
                self.breach("drains", f"sent {e['t'] - since:.0f} ms after the list said {state}", e)


class Bans(Check):
    """Nothing new to a host from a node's yes to take it out until the call back, whoever serves there."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.out: dict[tuple[str, str], float] = {}  # by node and host, when the node said yes

    def on_ban(self, e: Event) -> None:
        if e["out"]:
            self.out[e["who"], e["to"]] = e["t"]
        else:
            self.out.pop((e["who"], e["to"]), None)

    def on_dial(self, e: Event) -> None:
        since = e["t"] - self.out.get((e["who"], e["to"]), math.inf)
        if since > self.scenario.rules.slack:
            self.breach("drains", f"sent {since:.0f} ms after the node had taken the host out", e)


class Cold(Check):
    """A cold host is not sent more than a multiple of what it can do, for a time, by all nodes together.

    Recounted from what the hosts were sent, not from what they say of themselves.
    """

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.hosts: dict[str, dict[str, Any]] = {}

    def on_host(self, e: Event) -> None:
        if e["state"] == "cold":
            self.hosts[e["to"]] = {
                "born": e["born"], "capacity": e["capacity"], "held": {}, "sent": deque(), "since": None,
                "said": False,
            }  # fmt: skip
        elif e["state"] == "gone":
            self.hosts.pop(e["to"], None)

    def on_sent(self, e: Event) -> None:
        if (h := self.hosts.get(e["to"])) is not None:
            h["sent"].append((e["t"], e["id"], e["load"]))
            self._press(e, h)

    def on_ran(self, e: Event) -> None:
        if (h := self.hosts.get(e["to"])) is not None:
            self._press(e, h)

    def on_gone(self, e: Event) -> None:
        if (h := self.hosts.get(e["to"])) is not None:
            self._press(e, h)

    def _press(self, e: Event, h: dict[str, Any]) -> None:
        rules, table = self.scenario.rules, self.scenario.hosts
        age, sent = e["t"] - h["born"], h["sent"]
        if e["ev"] == "ran":
            h["held"][e["id"]] = next((load for _, sid, load in reversed(sent) if sid == e["id"]), 0.0)
        elif e["ev"] == "gone":
            h["held"].pop(e["id"], None)
        while sent and sent[0][0] < e["t"] - rules.fall:
            sent.popleft()
        if age >= table.warm_after:
            del self.hosts[e["to"]]
            return
        able = h["capacity"] * (table.cold_from + (1 - table.cold_from) * age / table.warm_after)
        held = h["held"]
        asked = sum(held.values()) + sum(load for _, sid, load in sent if sid not in held)
        if asked <= rules.fall_multiple * able:
            h["since"] = None
        elif h["since"] is None:
            h["since"] = e["t"]
        elif e["t"] - h["since"] >= rules.fall and not h["said"]:
            h["said"] = True
            self.breach("cold", f"{asked:.0f} asked of a host that can do {able:.0f}", e, session="", node="")


class Standing(Check):
    """What stood before the run comes up, unless something befell its node, its host or the way there."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.waits: dict[str, Event] = {}  # by session, the first line that names a host

    def on_ask(self, e: Event) -> None:
        if e.get("at"):
            self.waits[e["id"]] = e

    def on_answer(self, e: Event) -> None:
        asked = self.waits.pop(e["id"], None)
        if asked is not None and e["what"] != "up":
            self.breach("standing", f"was answered {e['what']!r} and not taken up", e, host=asked["at"])

    def on_fault(self, e: Event) -> None:
        touched = {*e.get("of", []), *e.get("far", [])}
        self.waits = {
            sid: asked for sid, asked in self.waits.items() if not touched & {asked["who"], asked["at"]}
        }

    def on_life(self, e: Event) -> None:
        self.waits = {sid: asked for sid, asked in self.waits.items() if asked["who"] != e["who"]}

    def end(self, t: float) -> None:
        for asked in self.waits.values():
            if t > asked["t"] + asked["wait"] + self.scenario.rules.slack:
                self.breach("standing", "not taken up in its time", asked, host=asked["at"])


class Processes(Check):
    """No node ends by itself, or refuses to start."""

    def on_crash(self, e: Event) -> None:
        self.breach("process", f"ended with code {e['code']}: {e['text'].strip()[-120:]!r}", e)


class Wire(Check):
    """What a host could not read voids the run."""

    def on_syntax(self, e: Event) -> None:
        self.breach("wire", "a first line that no client sent", e)

    def on_datagram(self, e: Event) -> None:
        if not e.get("ok", True):
            self.breach("wire", f"a datagram of {e['size']} bytes", e)


CHECKS: list[type[Check]] = [
    Answers, Effects, Departures, Stops, Drains, Bans, Cold, Standing, Processes, Wire,
]  # fmt: skip


def find_breaches(
    scenario: Scenario, events: Iterable[Event], checks: Iterable[type[Check]] = (),
    reorder_window_ms: float = 0.0,
) -> list[Breach]:  # fmt: skip
    """All breaches of a history that is in the order of time; further checks may be handed in.

    Events of one node so many milliseconds apart may have been seen in the wrong order.
    """
    made, t = [make(scenario, reorder_window_ms) for make in (*CHECKS, *checks)], 0.0
    for e in events:
        t = e["t"]
        for check in made:
            check.feed(e)
    for check in made:
        check.end(t)
    return sorted((b for check in made for b in check.breaches), key=lambda b: b.t)
