"""The history of a run: one event per line, ordered by time.

Every event has `t` (milliseconds since the run began), `ev` (its kind) and, where they apply, `who` (the
node), `to` (the host) and `id` (the session). docs/lab.md lists the kinds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

Event = dict[str, Any]
MAX_EVENTS = 4_000_000


class History:
    """Stores events and passes each new one to the watchers."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.events: list[Event] = []
        self.watchers: list[Callable[[Event], None]] = []
        self.dropped = 0

    def emit(self, ev: str, **values: Any) -> None:
        self.record({"t": round(self.clock(), 3), "ev": ev, **values})

    def record(self, event: Event) -> None:
        """Stores an event; events beyond MAX_EVENTS are counted and dropped."""
        if len(self.events) >= MAX_EVENTS:
            self.dropped += 1
            return
        self.events.append(event)
        for watch in self.watchers:
            watch(event)

    def sorted(self) -> list[Event]:
        """The events ordered by time; events with equal times keep their order of arrival."""
        return sorted(self.events, key=lambda e: e["t"])


def write_history(path: str, events: Iterable[Event]) -> None:
    encode = msgspec.json.Encoder().encode
    with open(path, "wb") as file:
        file.writelines(encode(event) + b"\n" for event in events)


def read_history(path: str) -> list[Event]:
    """Reads a history; raises ValueError with the number of the first invalid line."""
    decode, events = msgspec.json.Decoder(dict).decode, []
    with open(path, "rb") as file:
        for number, line in enumerate(file, 1):
            try:
                event = decode(line)
                event["t"] + 0.0, event["ev"] + ""
            except (msgspec.MsgspecError, KeyError, TypeError):
                raise ValueError(f"{path}:{number}: no event") from None
            events.append(event)
    return events
