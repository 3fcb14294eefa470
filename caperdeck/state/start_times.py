"""When hosts started, on the node's own clock, from what discovery tells in Unix time. No I/O.

All times are float milliseconds. The machine's date is never read for it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

LONG_AGO = 0.0  # the start of a host whose start is not told, on either clock


class Start(NamedTuple):
    """One start of a host."""

    boot: float  # Unix time, as discovery tells it
    at: float  # on the node's clock: it started no later than then


class StartTimes:
    """The latest start of each host, by the host's index."""

    # The wall clock of this machine may be an hour off: by it a cold host would look warm, and all nodes
    # together would push it over. A start counts from when it was first heard of. Of those that are heard of
    # together the newest does, and the others are older by what discovery's own times say.

    def __init__(self) -> None:
        self.starts: dict[int, Start] = {}
        self.saved: set[int] = set()  # heard of in a saved list alone, which may be old

    def hear(self, now: float, boots: Mapping[int, float]) -> None:
        """Starts that one message of discovery names, by host."""
        new = {h: boot for h, boot in boots.items() if boot and self._tells_more(h, boot)}
        if not new:
            return
        newest = max(*new.values(), *(self.starts[h].boot for h in self.saved), 0.0)
        for h, boot in new.items():
            at = now - (newest - boot)
            if (known := self.starts.get(h)) is not None and known.boot == boot:
                at = min(at, known.at)
            self.starts[h] = Start(boot, at)
        self.saved -= new.keys()

    def _tells_more(self, host: int, boot: float) -> bool:
        known = self.starts.get(host)
        return known is None or boot > known.boot or (host in self.saved and boot == known.boot)

    def heard_in_saved_list(self) -> None:
        """All that is known so far is of a saved list: the next message may show it to be older."""
        self.saved = set(self.starts)

    def at(self, host: int, boot: float) -> float:
        """When that start was, on the node's clock; the latest known one for an older word."""
        return self.starts[host].at if boot else LONG_AGO

    def take_over(self, starts: Iterable[tuple[int, Start]]) -> None:
        """What another process of this node knows; both read one monotonic clock."""
        self.starts.update(starts)
