"""Many nodes in one process: takes a batch apart, calls the nodes, puts the reply together."""

from __future__ import annotations

from typing import Any

from caperdeck.core.decide import Node
from caperdeck.core.model import Action
from caperdeck.core.settings import MS, SettingsError, decode_report, decode_settings

from . import codec
from .codec import NodeIndices, WireError


class RunningNode:
    """A running node, with the indices of its hosts and sessions."""

    def __init__(self, now: float, seed: Any, setup: Any) -> None:
        if not isinstance(seed, int):
            raise WireError(f"powerOn needs a whole number as seed, got {seed!r}")
        try:
            settings = decode_settings(seed, setup)
        except SettingsError as error:
            raise WireError(str(error)) from error
        self.indices = NodeIndices(setup)
        self.node = Node(settings, now)

    def take(self, now: float, event: list) -> list[Action]:
        name, *v = event
        handler = EVENTS.get(name)
        if handler is None:
            raise WireError(f"unknown event {name!r}")
        try:
            return handler(self, now, v)
        except (IndexError, ValueError, TypeError) as error:
            # only what the wire handed over can be short or of the wrong kind here
            raise WireError(f"event {name!r} {v!r}: {error}") from error

    def update_roster(self, now: float, v: list) -> list[Action]:
        scope = codec.lookup(codec.ROSTERS, v[1], "roster scope")
        entries = [self.indices.entry(row) for row in (v[2] if len(v) > 2 else None) or []]
        return self.node.update_roster(now, scope, entries)

    def open_session(self, now: float, v: list) -> list[Action]:
        return self.node.open_session(now, self.indices.ask(v))

    def resume_session(self, now: float, v: list) -> list[Action]:
        return self.node.resume_session(now, self.indices.ask(v[:8]), self.indices.known_host(v[8]))

    def session_established(self, now: float, v: list) -> list[Action]:
        return self.node.session_established(now, self.indices.session(v[0]))

    def handle_note(self, now: float, v: list) -> list[Action]:
        note = codec.decode_note(v[3], v[4])
        return self.node.handle_note(now, self.indices.session(v[0]), *note) if note else []

    def dial_ended(self, now: float, v: list) -> list[Action]:
        ending = codec.decode_outcome(v[3])
        return self.node.dial_ended(now, self.indices.session(v[0]), v[1], ending, bool(v[5]))

    def client_disconnected(self, now: float, v: list) -> list[Action]:
        return self.node.client_disconnected(now, self.indices.session(v[0]))

    def timer_fired(self, now: float, v: list) -> list[Action]:
        return self.node.timer_fired(now, int(v[0]))

    def probe_completed(self, now: float, v: list) -> list[Action]:
        report = decode_report(v[3] if len(v) > 3 else None)
        return self.node.probe_completed(
            now, self.indices.known_host(v[0]), codec.decode_outcome(v[1]), report
        )

    def message(self, now: float, v: list) -> list[Action]:
        return []


EVENTS = {
    "rosterChange": RunningNode.update_roster,
    "ask": RunningNode.open_session,
    "takenOver": RunningNode.resume_session,
    "headReceived": RunningNode.session_established,
    "interim": RunningNode.handle_note,
    "reportBack": RunningNode.dial_ended,
    "hangup": RunningNode.client_disconnected,
    "bell": RunningNode.timer_fired,
    "pingResult": RunningNode.probe_completed,
    "neighbourSays": RunningNode.message,
}


class Host:
    """The nodes of this process; they share nothing but the process."""

    def __init__(self) -> None:
        self.running: dict[int, RunningNode] = {}

    def batch(self, batch: Any, complain: Any) -> dict:
        """The reply to one batch; complain is told, in one line, of each input that broke the wire."""
        if not isinstance(batch, dict) or "moment" not in batch or "serial" not in batch:
            raise WireError("a batch needs moment and serial")
        now = batch["moment"] * MS
        groups = []
        for group in batch.get("groups") or []:
            if not isinstance(group, dict) or "node" not in group:
                raise WireError("a group of events needs the number of its node")
            steps = self._steps(now, group["node"], group.get("input") or [], complain)
            if steps:
                groups.append({"node": group["node"], "steps": steps})
        return {"serial": batch["serial"], "groups": groups}

    def _steps(self, now: float, number: int, events: list, complain: Any) -> list:
        steps: list = []
        for event in events:
            try:
                steps += self._take(now, number, event)
            except WireError as error:
                text = f"node {number}: {error}"
                complain(text)
                steps.append(["crash", text])
                break
        return steps

    def _take(self, now: float, number: int, event: Any) -> list:
        if not isinstance(event, list) or not event or not isinstance(event[0], str):
            raise WireError(f"an event is an array that begins with its name, got {event!r}")
        if event[0] == "powerOn":
            running = self.running[number] = RunningNode(now, *(event[1:] + [None, None])[:2])
            return [codec.encode(running.indices, act) for act in running.node.start()]
        running = self.running.get(number)
        if running is None:
            raise WireError(f"event {event[0]!r} for a node that was never started")
        if event[0] == "destroy":
            del self.running[number]
            return []
        return [codec.encode(running.indices, act) for act in running.take(now, event)]
