"""Checks the four rules on a history, independently of the node's code and of the model; names each breach.

A check receives every event in the order of time, then the end of the history. Other packages pass further
checks to `find_breaches`.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Any

from .history import Event
from .scenario import Scenario


REORDER_WINDOW_MS = 20.0  # within it the relay may see two sockets of one node in the wrong order
LEFT_GRACE_MS = 100.0 + 50.0  # to learn that a client left; the second part is for the relay's delay


@dataclass(frozen=True, slots=True)
class Breach:
    """One breach of a rule, at `t` milliseconds of the run."""

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
    """One rule, checked on one history; a method `on_KIND` handles the events of a kind."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        self.scenario, self.reorder_window_ms = scenario, reorder_window_ms
        self.breaches: list[Breach] = []

    def feed(self, event: Event) -> None:
        handler = getattr(self, f"on_{event['ev']}", None)
        if handler is not None:
            handler(event)

    def end(self, t: float) -> None:
        """Called once at the end of the history, at time `t`."""

    def breach(self, rule: str, text: str, event: Event, **more: Any) -> None:
        values = {
            "session": event.get("id", ""),
            "host": event.get("to", ""),
            "node": event.get("who", ""),
        } | more
        self.breaches.append(Breach(rule, text, event["t"], **values))


class FinalAnswers(Check):
    """No session is lost: each gets one final answer within its deadline, and nothing after it.

    A node that was dead, suspended or cut off from its clients while a session waited may miss the deadline,
    but never answer twice.
    """

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.requests: dict[str, Event] = {}
        self.answers: dict[str, Event] = {}
        self.outages: dict[str, list[list[float]]] = {
            node: [] for node in scenario.node_names()
        }  # start and end times
        self.outage_reasons: dict[str, set[str]] = {}  # of the current outage

    def on_ask(self, event: Event) -> None:
        self.requests[event["id"]] = event

    def on_answer(self, event: Event) -> None:
        if event["id"] in self.answers:
            self.breach("sessions", "answered twice", event)
            return
        self.answers[event["id"]] = event

    def on_extra(self, event: Event) -> None:
        self.breach("sessions", f"{event.get('what')!r} after the final answer", event)

    def on_left(self, event: Event) -> None:
        self.answers[event["id"]] = event | {"what": "left"}

    def on_life(self, event: Event) -> None:
        if event["state"] in ("killed", "exit", "asleep"):
            self._begin_outage(event["who"], "process", event["t"])
        elif event["state"] in ("up", "awake"):
            self._end_outage(event["who"], "process", event["t"])

    def on_fault(self, event: Event) -> None:
        # A link fault between a node and its clients delays or loses data.
        ends = [*event.get("of", []), *event.get("far", [])]
        if "clients" in ends:
            for node in (endpoint for endpoint in ends if endpoint in self.outages):
                (self._begin_outage if event["on"] else self._end_outage)(
                    node, f"fault {event['number']}", event["t"]
                )

    def _begin_outage(self, node: str, reason: str, t: float) -> None:
        reasons = self.outage_reasons.setdefault(node, set())
        if not reasons:
            self.outages.setdefault(node, []).append([t, math.inf])
        reasons.add(reason)

    def _end_outage(self, node: str, reason: str, t: float) -> None:
        reasons = self.outage_reasons.setdefault(node, set())
        if reasons == {reason}:
            self.outages[node][-1][1] = t
        reasons.discard(reason)

    def end(self, t: float) -> None:
        slack = self.scenario.rules.slack
        for session_id, event in self.requests.items():
            deadline = event["t"] + event["wait"] + slack
            if deadline > t or any(
                outage_start <= deadline and outage_end >= event["t"]
                for outage_start, outage_end in self.outages.get(event["who"], ())
            ):
                continue
            answer = self.answers.get(session_id)
            if answer is None or answer["what"] == "none":
                self.breach("sessions", "no answer in its time", event)
            elif answer["what"] in ("closed", "reset"):
                self.breach("sessions", "ended without an answer", event)
            elif answer["t"] > deadline:
                self.breach("sessions", f"answered {answer['t'] - deadline:.0f} ms late", event)


class SingleExecution(Check):
    """No session runs twice where that has an effect, and none has two dials open at once."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.open_dials: dict[str, Event] = {}
        self.overlapping_dials: dict[
            str, tuple[Event, Event]
        ] = {}  # a dial, and the earlier one that was still open
        self.ran_at_host: dict[str, str] = {}

    def on_dial(self, event: Event) -> None:
        if (other := self.open_dials.get(event["id"])) is not None:
            self.overlapping_dials[event["id"]] = (event, other)
        elif self.scenario.clients.effect == "at_most_once" and event["id"] in self.ran_at_host:
            self.breach("effects", "dialled again after it may have run", event)
        self.open_dials[event["id"]] = event

    def on_undial(self, event: Event) -> None:
        if event["id"] in self.overlapping_dials:
            dial, other = self.overlapping_dials[event["id"]]
            if other["to"] == event["to"]:
                del self.overlapping_dials[event["id"]]
                if event["t"] - dial["t"] > self.reorder_window_ms or not self.reorder_window_ms:
                    self._report_overlap(dial, other)
                return
        if (dial := self.open_dials.get(event["id"])) is not None and dial["to"] == event["to"]:
            del self.open_dials[event["id"]]

    def _report_overlap(self, dial: Event, other: Event) -> None:
        self.breach("effects", f"two dials out, the other at {other['to']}", dial)

    def end(self, t: float) -> None:
        for dial, other in self.overlapping_dials.values():
            self._report_overlap(dial, other)

    def on_back(self, event: Event) -> None:
        if event["what"] in ("BUSY", "ERR", "MOVE"):
            self.on_undial(event)

    def on_ran(self, event: Event) -> None:
        session_id = event["id"]
        if session_id in self.ran_at_host and self.scenario.clients.effect == "at_most_once":
            self.breach("effects", f"ran twice, first at {self.ran_at_host[session_id]}", event)
        self.ran_at_host[session_id] = event["to"]


class ClientDepartures(Check):
    """Soon after a client has left, its session is no longer sent to a host."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.left: dict[str, float] = {}

    def on_left(self, event: Event) -> None:
        self.left[event["id"]] = event["t"]

    def on_dial(self, event: Event) -> None:
        if event["t"] - self.left.get(event["id"], math.inf) > LEFT_GRACE_MS:
            self.breach("sessions", "sent after its client had left", event)


class NodeShutdowns(Check):
    """A node that is stopped answers all its clients before it exits or before the earliest SIGKILL."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.waiting: dict[str, dict[str, Event]] = {}  # by node, requests without an answer
        self.stopping: set[str] = set()

    def on_ask(self, event: Event) -> None:
        self.waiting.setdefault(event["who"], {})[event["id"]] = event

    def on_answer(self, event: Event) -> None:
        self.waiting.get(event["who"], {}).pop(event["id"], None)

    def on_left(self, event: Event) -> None:
        self.on_answer(event)

    def on_life(self, event: Event) -> None:
        node = event["who"]
        if event["state"] == "stopping":
            self.stopping.add(node)
        elif event["state"] in ("killed", "exit"):
            held_sessions = self.waiting.pop(node, {}) if node in self.stopping else {}
            self.stopping.discard(node)
            for ask in held_sessions.values():
                # A request sent just before the end may never have reached the node.
                if event["t"] - ask["t"] > self.scenario.rules.slack:
                    self.breach("sessions", f"held without an answer as the node was {event['state']}", ask)


class DrainGrace(Check):
    """Once the grace is over, a node sends no new session to a host that the list says drains or is gone."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.changes: list[tuple[int, str, str, float]] = []  # version, host, state, when
        self.revisions: dict[str, list[tuple[float, int]]] = {node: [] for node in scenario.node_names()}
        self.started_at: dict[str, float] = {}

    def on_list(self, event: Event) -> None:
        self.changes.append((event["rev"], event["to"], event["state"], event["t"]))

    def on_told(self, event: Event) -> None:
        self.revisions.setdefault(event["who"], []).append((event["t"], event["rev"]))

    def on_life(self, event: Event) -> None:
        if event["state"] == "up":
            self.started_at[event["who"]] = event["t"]

    def on_dial(self, event: Event) -> None:
        rules, node = self.scenario.rules, event["who"]
        latest_notice = event["t"] - rules.drain_grace - rules.slack
        known_rev = max((rev for at, rev in self.revisions.get(node, ()) if at <= latest_notice), default=0)
        state, since = "Ready", 0.0
        for rev, host, what, at in self.changes:
            # A change whose notification never arrives still counts as known after `told_anyway`; a node that
            # started since follows the list that it has fetched itself.
            is_overdue = at + rules.told_anyway <= latest_notice and self.started_at.get(node, 0.0) < at
            if host == event["to"] and (rev <= known_rev or is_overdue):
                state, since = what, at
        if state != "Ready":
            # A later change back to Ready, seen within the grace, cancels the drain.
            is_ready_again = any(
                name == event["to"] and new_state == "Ready" and changed_at > since
                for _, name, new_state, changed_at in self.changes
            )
            if not is_ready_again:
                self.breach("drains", f"sent {event['t'] - since:.0f} ms after the list said {state}", event)


class HostExclusions(Check):
    """A node sends no new session to a host between acknowledging its exclusion and its re-admission.

    This also holds after an upgrade has replaced the node's process.
    """

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.excluded_at: dict[tuple[str, str], float] = {}  # by node and host

    def on_ban(self, event: Event) -> None:
        if event["out"]:
            self.excluded_at[event["who"], event["to"]] = event["t"]
        else:
            self.excluded_at.pop((event["who"], event["to"]), None)

    def on_dial(self, event: Event) -> None:
        since = event["t"] - self.excluded_at.get((event["who"], event["to"]), math.inf)
        if since > self.scenario.rules.slack:
            self.breach("drains", f"sent {since:.0f} ms after the node had taken the host out", event)


class ColdHostLoad(Check):
    """All nodes together never send a cold host more than a multiple of its capacity for longer than allowed.

    The load is recounted from the sessions sent to hosts, not taken from their own reports.
    """

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.hosts: dict[str, dict[str, Any]] = {}

    def on_host(self, event: Event) -> None:
        if event["state"] == "cold":
            self.hosts[event["to"]] = {
                "born": event["born"], "capacity": event["capacity"], "held": {}, "sent": deque(),
                "since": None, "said": False,
            }  # fmt: skip
        elif event["state"] == "gone":
            self.hosts.pop(event["to"], None)

    def on_sent(self, event: Event) -> None:
        if (host := self.hosts.get(event["to"])) is not None:
            host["sent"].append((event["t"], event["id"], event["load"]))
            self._check_load(event, host)

    def on_ran(self, event: Event) -> None:
        if (host := self.hosts.get(event["to"])) is not None:
            self._check_load(event, host)

    def on_gone(self, event: Event) -> None:
        if (host := self.hosts.get(event["to"])) is not None:
            self._check_load(event, host)

    def _check_load(self, event: Event, host: dict[str, Any]) -> None:
        rules, table = self.scenario.rules, self.scenario.hosts
        age, sent = event["t"] - host["born"], host["sent"]
        if event["ev"] == "ran":
            host["held"][event["id"]] = next(
                (load for _, session_id, load in reversed(sent) if session_id == event["id"]), 0.0
            )
        elif event["ev"] == "gone":
            host["held"].pop(event["id"], None)
        while sent and sent[0][0] < event["t"] - rules.fall:
            sent.popleft()
        if age >= table.warm_after:
            del self.hosts[event["to"]]
            return
        capacity_now = host["capacity"] * (table.cold_from + (1 - table.cold_from) * age / table.warm_after)
        held_sessions = host["held"]
        requested_load = sum(held_sessions.values()) + sum(
            load for _, session_id, load in sent if session_id not in held_sessions
        )
        if requested_load <= rules.fall_multiple * capacity_now:
            host["since"] = None
        elif host["since"] is None:
            host["since"] = event["t"]
        elif event["t"] - host["since"] >= rules.fall and not host["said"]:
            host["said"] = True
            self.breach(
                "cold",
                f"{requested_load:.0f} asked of a host that can do {capacity_now:.0f}",
                event,
                session="",
                node="",
            )


class ResumedSessions(Check):
    """Sessions from before the run are resumed, unless a fault hit their node, host or link."""

    def __init__(self, scenario: Scenario, reorder_window_ms: float = 0.0) -> None:
        super().__init__(scenario, reorder_window_ms)
        self.awaiting: dict[str, Event] = {}  # by session, requests that name a host

    def on_ask(self, event: Event) -> None:
        if event.get("at"):
            self.awaiting[event["id"]] = event

    def on_answer(self, event: Event) -> None:
        request = self.awaiting.pop(event["id"], None)
        if request is not None and event["what"] != "up":
            self.breach(
                "standing", f"was answered {event['what']!r} and not taken up", event, host=request["at"]
            )

    def on_fault(self, event: Event) -> None:
        touched = {*event.get("of", []), *event.get("far", [])}
        self.awaiting = {
            session_id: request
            for session_id, request in self.awaiting.items()
            if not touched & {request["who"], request["at"]}
        }

    def on_life(self, event: Event) -> None:
        self.awaiting = {
            session_id: request
            for session_id, request in self.awaiting.items()
            if request["who"] != event["who"]
        }

    def end(self, t: float) -> None:
        for request in self.awaiting.values():
            if t > request["t"] + request["wait"] + self.scenario.rules.slack:
                self.breach("standing", "not taken up in its time", request, host=request["at"])


class UnexpectedExits(Check):
    """No node exits unasked or fails to start."""

    def on_crash(self, event: Event) -> None:
        self.breach("process", f"ended with code {event['code']}: {event['text'].strip()[-120:]!r}", event)


class ProtocolErrors(Check):
    """Nodes send no line that a host cannot parse and no datagram over the size limit."""

    def on_syntax(self, event: Event) -> None:
        self.breach("wire", "a first line that no client sent", event)

    def on_datagram(self, event: Event) -> None:
        if not event.get("ok", True):
            self.breach("wire", f"a datagram of {event['size']} bytes", event)


CHECKS: list[type[Check]] = [
    FinalAnswers, SingleExecution, ClientDepartures, NodeShutdowns, DrainGrace, HostExclusions, ColdHostLoad,
    ResumedSessions, UnexpectedExits, ProtocolErrors,
]  # fmt: skip


def find_breaches(
    scenario: Scenario, events: Iterable[Event], checks: Iterable[type[Check]] = (),
    reorder_window_ms: float = 0.0,
) -> list[Breach]:  # fmt: skip
    """Returns all breaches of a history that is ordered by time; `checks` are run beside the standard ones.

    Events of one node less than `reorder_window_ms` apart may have been recorded in the wrong order.
    """
    checks_of_run, t = [check_type(scenario, reorder_window_ms) for check_type in (*CHECKS, *checks)], 0.0
    for event in events:
        t = event["t"]
        for check in checks_of_run:
            check.feed(event)
    for check in checks_of_run:
        check.end(t)
    return sorted(
        (breach for check in checks_of_run for breach in check.breaches), key=lambda breach: breach.t
    )
