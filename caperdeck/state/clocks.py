"""The clocks of a node, in milliseconds: a monotonic one for all durations, and the wall clock."""

from __future__ import annotations

import time
from collections.abc import Callable

from caperdeck.core.settings import MS

# Added to the monotonic clock. It is a constant, so that two processes of one node read the same time even
# if the wall clock was stepped between their starts, and large, so that times before the machine's boot are
# positive.
CLOCK_ORIGIN_MS = 1_767_225_600_000.0
MIN_STEP_MS = 500.0  # smaller differences between the two clocks are taken for a delayed reading


def node_clock() -> float:
    """A clock that is monotonic over all processes of the machine; it is unrelated to the date."""
    return time.monotonic() * MS + CLOCK_ORIGIN_MS


def unix_time() -> float:
    """The wall clock. It may be stepped at any moment, so no duration may be measured by it."""
    return time.time() * MS


class WallClockMonitor:
    """Detects steps of the wall clock against the monotonic clock."""

    def __init__(self, monotonic: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        self.monotonic, self.wall_clock = monotonic, wall_clock
        self.offset = wall_clock() - monotonic()
        self.step_count = 0

    def detect_step(self) -> float | None:
        """Returns by how much the wall clock was stepped since the last call, forward positive, or None."""
        before, self.offset = self.offset, self.wall_clock() - self.monotonic()
        if abs(self.offset - before) < MIN_STEP_MS:
            return None
        self.step_count += 1
        return self.offset - before
