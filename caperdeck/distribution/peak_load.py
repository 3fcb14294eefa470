"""The highest load that nodes have put on a publisher, for its figures. Pure; times in float ms."""

from __future__ import annotations

from collections import deque

SECOND_MS = 1000.0


class PeakLoad:
    def __init__(self) -> None:
        self.connects_in_a_second = 0  # the highest, of those that were taken
        self.snapshots_at_once = 0  # the highest
        self.turned_away = 0  # nodes that were told to come later
        self.recent_connects: deque[float] = deque()  # times of the last second

    def record_connect(self, now: float) -> None:
        """A connect was taken."""
        self.recent_connects.append(now)
        while self.recent_connects[0] <= now - SECOND_MS:
            self.recent_connects.popleft()
        self.connects_in_a_second = max(self.connects_in_a_second, len(self.recent_connects))

    def record_snapshots(self, snapshots: int) -> None:
        """So many are on their way at once."""
        self.snapshots_at_once = max(self.snapshots_at_once, snapshots)
