"""The highest load that nodes have put on a publisher, for its figures. Pure; times in float ms."""

from __future__ import annotations

from collections import deque

SECOND = 1000.0


class HighestLoad:
    def __init__(self) -> None:
        self.connects_in_a_second = 0  # the highest, of those that were taken
        self.snapshots_at_once = 0  # the highest
        self.turned_away = 0  # nodes that were told to come later
        self.taken: deque[float] = deque()  # times of the last second

    def took(self, now: float) -> None:
        """A connect was taken."""
        self.taken.append(now)
        while self.taken[0] <= now - SECOND:
            self.taken.popleft()
        self.connects_in_a_second = max(self.connects_in_a_second, len(self.taken))

    def sends(self, snapshots: int) -> None:
        """So many are on their way at once."""
        self.snapshots_at_once = max(self.snapshots_at_once, snapshots)
