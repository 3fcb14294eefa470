"""The clocks that a node reads: one for all spans, which never steps, and the date. Milliseconds."""

from __future__ import annotations

import time
from collections.abc import Callable

from caperdeck.core.settings import MS

# Where the node's clock begins: a constant, so that two processes of one node read the same time whatever
# became of the date between their starts, and so large that times before the machine's own start are over 0.
ORIGIN = 1_767_225_600_000.0
LEAST_STEP = 500.0  # a smaller change of the date against the monotonic clock is taken for a slow reading


def node_clock() -> float:
    """Monotonic over all processes of the machine; says nothing of the date."""
    return time.monotonic() * MS + ORIGIN


def unix_time() -> float:
    """The date. It may be stepped at any moment: no span may be measured by it."""
    return time.time() * MS


class DateWatch:
    """Notices that the date was stepped."""

    def __init__(self, steady: Callable[[], float], date: Callable[[], float]) -> None:
        self.steady, self.date = steady, date
        self.ahead = date() - steady()
        self.steps = 0

    def step(self) -> float | None:
        """By how much it has stepped since it was last asked, forward over 0; None where it has not."""
        before, self.ahead = self.ahead, self.date() - self.steady()
        if abs(self.ahead - before) < LEAST_STEP:
            return None
        self.steps += 1
        return self.ahead - before
