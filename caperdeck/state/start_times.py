"""Maps start times of hosts, which discovery gives in Unix time, to the node's own clock. No I/O.

All times are float milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from caperdeck.core.model import START_UNKNOWN

MAX_CHANGE_AGE_MS = 4000.0  # a change of the list names a start at most so long after it
MAX_NEWEST_AGE_MS = 20_000.0  # the newest start in a whole list may be older


class Start(NamedTuple):
    """One start of a host."""

    unix_time: float  # as discovery gives it
    node_time: float  # the same on the node's clock


class StartTimes:
    """The latest start of each host, by the host's index."""

    # The wall clock of this machine may have been an hour off when the process began. A cold host would then
    # look warm, and all nodes together would overload it. The wall clock is therefore trusted only while it
    # agrees with what discovery sends: no start lies in the future, and the newest start in a message is
    # recent. Otherwise the newest start counts as now, and the others keep their distance from it.

    def __init__(self) -> None:
        self.starts: dict[int, Start] = {}
        self.from_saved_list: set[int] = set()  # known only from a saved list, which may be old
        # Discovery's Unix time minus the node's clock: as assumed, and as read from the wall clock.
        self.offset = self.wall_clock_offset = 0.0

    def set_wall_clock_offset(self, wall_clock_offset: float) -> None:
        """Sets the wall clock minus the node's clock, as read when the process begins."""
        self.offset = self.wall_clock_offset = wall_clock_offset

    def observe(self, now: float, whole: bool, unix_times: Mapping[int, float]) -> None:
        """Records the starts that one message of discovery names, by host."""
        new = {
            h: unix_time for h, unix_time in unix_times.items() if unix_time and self._is_newer(h, unix_time)
        }
        if not new:
            return
        newest = max(new.values())
        max_age = MAX_NEWEST_AGE_MS if whole else MAX_CHANGE_AGE_MS
        if not 0.0 <= now + self.offset - newest <= max_age:
            self.offset = newest - now
        for h, unix_time in new.items():
            self.starts[h] = Start(unix_time, unix_time - self.offset)
        self.from_saved_list -= new.keys()

    def _is_newer(self, host: int, unix_time: float) -> bool:
        known = self.starts.get(host)
        return (
            known is None
            or unix_time > known.unix_time
            or (host in self.from_saved_list and unix_time == known.unix_time)
        )

    def mark_as_saved(self) -> None:
        """All starts known so far come from a saved list: discovery's first message maps them anew."""
        self.from_saved_list = set(self.starts)
        self.offset = self.wall_clock_offset

    def node_time(self, host: int, unix_time: float) -> float:
        """Returns the host's latest start on the node's clock, or START_UNKNOWN if discovery names none."""
        return self.starts[host].node_time if unix_time else START_UNKNOWN

    def take_over(self, offset: float, starts: Iterable[tuple[int, Start]]) -> None:
        """Adopts the starts of another process of this node; both read the same monotonic clock."""
        self.offset = self.wall_clock_offset = offset
        self.starts.update(starts)
