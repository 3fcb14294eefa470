"""The peak load that nodes have put on a publisher, for its statistics. Times are float milliseconds."""

from __future__ import annotations

from collections import deque

SECOND_MS = 1000.0


class PeakLoad:
    def __init__(self) -> None:
        self.connects_in_a_second = 0  # peak of accepted connects
        self.snapshots_at_once = 0  # peak
        self.turned_away = 0  # nodes that were told to retry later
        self.recent_connects: deque[float] = deque()  # times of connects within the last second

    def record_connect(self, now: float) -> None:
        """A connect was accepted."""
        self.recent_connects.append(now)
        while self.recent_connects[0] <= now - SECOND_MS:
            self.recent_connects.popleft()
        self.connects_in_a_second = max(self.connects_in_a_second, len(self.recent_connects))

    def record_snapshots(self, snapshots: int) -> None:
        """`snapshots` are being sent at once."""
        self.snapshots_at_once = max(self.snapshots_at_once, snapshots)
