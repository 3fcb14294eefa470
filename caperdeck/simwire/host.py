"""Runs many simulated nodes in one process: decodes batches, calls the nodes, and encodes the replies."""

from __future__ import annotations

from typing import Any

from caperdeck.core.decide import Node
from caperdeck.core.model import Action
from caperdeck.core.settings import MS, SettingsError, decode_report, decode_settings

from . import codec
from .codec import NodeIndices, WireError


class RunningNode:
    """A running node with the indices of its hosts and sessions."""

    def __init__(self, now: float, seed: Any, setup: Any) -> None:
        if not isinstance(seed, int):
            raise WireError(f"powerOn needs a whole number as seed, got {seed!r}")
        try:
            settings = decode_settings(seed, setup)
        except SettingsError as error:
            raise WireError(str(error)) from error
        self.indices = NodeIndices(setup)
        self.node = Node(settings, now)

    def handle(self, now: float, event: list) -> list[Action]:
        name, *values = event
        handler = EVENTS.get(name)
        if handler is None:
            raise WireError(f"unknown event {name!r}")
        try:
            return handler(self, now, values)
        except (IndexError, ValueError, TypeError) as error:
            # only the event's values can be missing or of a wrong type here
            raise WireError(f"event {name!r} {values!r}: {error}") from error

    def update_roster(self, now: float, values: list) -> list[Action]:
        scope = codec.lookup(codec.ROSTER_SCOPES, values[1], "roster scope")
        entries = [self.indices.entry(row) for row in (values[2] if len(values) > 2 else None) or []]
        return self.node.update_roster(now, scope, entries)

    def open_session(self, now: float, values: list) -> list[Action]:
        return self.node.open_session(now, self.indices.session_request(values))

    def resume_session(self, now: float, values: list) -> list[Action]:
        return self.node.resume_session(
            now, self.indices.session_request(values[:8]), self.indices.known_host(values[8])
        )

    def session_established(self, now: float, values: list) -> list[Action]:
        return self.node.session_established(now, self.indices.session(values[0]))

    def handle_note(self, now: float, values: list) -> list[Action]:
        note = codec.decode_note(values[3], values[4])
        return self.node.handle_note(now, self.indices.session(values[0]), *note) if note else []

    def dial_ended(self, now: float, values: list) -> list[Action]:
        outcome = codec.decode_outcome(values[3])
        return self.node.dial_ended(now, self.indices.session(values[0]), values[1], outcome, bool(values[5]))

    def client_disconnected(self, now: float, values: list) -> list[Action]:
        return self.node.client_disconnected(now, self.indices.session(values[0]))

    def timer_fired(self, now: float, values: list) -> list[Action]:
        return self.node.timer_fired(now, int(values[0]))

    def probe_completed(self, now: float, values: list) -> list[Action]:
        report = decode_report(values[3] if len(values) > 3 else None)
        return self.node.probe_completed(
            now, self.indices.known_host(values[0]), codec.decode_outcome(values[1]), report
        )

    def message(self, now: float, values: list) -> list[Action]:
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


class SimulatedNodes:
    """The nodes of this process, which share nothing else."""

    def __init__(self) -> None:
        self.nodes: dict[int, RunningNode] = {}

    def handle_batch(self, batch: Any, report_error: Any) -> dict:
        """The reply to one batch; calls `report_error` with one line for each input that is not allowed."""
        if not isinstance(batch, dict) or "moment" not in batch or "serial" not in batch:
            raise WireError("a batch needs moment and serial")
        now = batch["moment"] * MS
        groups = []
        for group in batch.get("groups") or []:
            if not isinstance(group, dict) or "node" not in group:
                raise WireError("a group of events needs the number of its node")
            steps = self._steps(now, group["node"], group.get("input") or [], report_error)
            if steps:
                groups.append({"node": group["node"], "steps": steps})
        return {"serial": batch["serial"], "groups": groups}

    def _steps(self, now: float, number: int, events: list, report_error: Any) -> list:
        steps: list = []
        for event in events:
            try:
                steps += self._handle(now, number, event)
            except WireError as error:
                text = f"node {number}: {error}"
                report_error(text)
                steps.append(["crash", text])
                break
        return steps

    def _handle(self, now: float, number: int, event: Any) -> list:
        if not isinstance(event, list) or not event or not isinstance(event[0], str):
            raise WireError(f"an event is an array that begins with its name, got {event!r}")
        if event[0] == "powerOn":
            running = self.nodes[number] = RunningNode(now, *(event[1:] + [None, None])[:2])
            return [codec.encode(running.indices, action) for action in running.node.start()]
        running = self.nodes.get(number)
        if running is None:
            raise WireError(f"event {event[0]!r} for a node that was never started")
        if event[0] == "destroy":
            del self.nodes[number]
            return []
        return [codec.encode(running.indices, action) for action in running.handle(now, event)]
