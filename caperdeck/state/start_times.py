"""When hosts started, on the node's own clock, from what discovery tells in Unix time. No I/O.

All times are float milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from caperdeck.core.model import START_UNKNOWN

HEARD_WITHIN = 4000.0  # a change of the list tells of a start this soon after it, or its time is not believed
NEWEST_WITHIN = 20_000.0  # the same of the newest start in a whole list, which may be some time ago


class Start(NamedTuple):
    """One start of a host."""

    boot: float  # Unix time, as discovery tells it
    at: float  # on the node's clock


class StartTimes:
    """The latest start of each host, by the host's index."""

    # The wall clock of this machine may have been an hour off as the process began: by it a cold host would
    # look warm, and all nodes together would push it over. Its word is taken while it fits what is heard: no
    # start lies in the future, and the newest of those that one message names is not long ago. Where it does
    # not fit, that newest one counts from now, and the others by what lies between them.

    def __init__(self) -> None:
        self.starts: dict[int, Start] = {}
        self.saved: set[int] = set()  # heard of in a saved list alone, which may be old
        self.ahead = self.date_ahead = 0.0  # discovery's Unix time less the node's clock, as held and as read

    def go_by(self, date_ahead: float) -> None:
        """The machine's date less the node's clock, as the process begins."""
        self.ahead = self.date_ahead = date_ahead

    def hear(self, now: float, whole: bool, boots: Mapping[int, float]) -> None:
        """Starts that one message of discovery names, by host."""
        new = {h: boot for h, boot in boots.items() if boot and self._tells_more(h, boot)}
        if not new:
            return
        newest = max(new.values())
        longest = NEWEST_WITHIN if whole else HEARD_WITHIN
        if not 0.0 <= now + self.ahead - newest <= longest:
            self.ahead = newest - now
        for h, boot in new.items():
            self.starts[h] = Start(boot, boot - self.ahead)
        self.saved -= new.keys()

    def _tells_more(self, host: int, boot: float) -> bool:
        known = self.starts.get(host)
        return known is None or boot > known.boot or (host in self.saved and boot == known.boot)

    def heard_in_saved_list(self) -> None:
        """All that is known so far is of a saved list: discovery's first message places it anew."""
        self.saved = set(self.starts)
        self.ahead = self.date_ahead

    def at(self, host: int, boot: float) -> float:
        """When that start was, on the node's clock; the latest known one for an older word."""
        return self.starts[host].at if boot else START_UNKNOWN

    def take_over(self, ahead: float, starts: Iterable[tuple[int, Start]]) -> None:
        """What another process of this node knows; both read one monotonic clock."""
        self.ahead = self.date_ahead = ahead
        self.starts.update(starts)
