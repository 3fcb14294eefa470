"""The history of a run: one event a line, in the order of time, with the part that it was seen at.

Every event has `t` (milliseconds since the run began), `ev` (its kind) and, as far as they apply, `who` (the
node), `to` (the host), `id` (the session). docs/lab.md lists the kinds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

Event = dict[str, Any]
MOST_EVENTS = 4_000_000


class History:
    """Keeps events, and lets those that watch see each as it comes."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.events: list[Event] = []
        self.watchers: list[Callable[[Event], None]] = []
        self.lost = 0

    def emit(self, ev: str, **values: Any) -> None:
        self.take({"t": round(self.clock(), 3), "ev": ev, **values})

    def take(self, event: Event) -> None:
        if len(self.events) >= MOST_EVENTS:
            self.lost += 1
            return
        self.events.append(event)
        for watch in self.watchers:
            watch(event)

    def sorted(self) -> list[Event]:
        """In the order of time; events of one instant stay in the order in which they came."""
        return sorted(self.events, key=lambda e: e["t"])


def write(path: str, events: Iterable[Event]) -> None:
    encode = msgspec.json.Encoder().encode
    with open(path, "wb") as file:
        file.writelines(encode(event) + b"\n" for event in events)


def read(path: str) -> list[Event]:
    """Raises ValueError with the line that cannot be read."""
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
