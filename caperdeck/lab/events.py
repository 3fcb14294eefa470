"""Virtual time for simulations without a reactor."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class EventQueue:
    """Runs scheduled calls in the order of their times; calls of equal time run as they were scheduled."""

    def __init__(self) -> None:
        self.now = 0.0  # milliseconds
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.sequence = 0

    def call_later(self, delay_ms: float, function: Callable, *args: object) -> None:
        self.sequence += 1
        heapq.heappush(self.heap, (self.now + delay_ms, self.sequence, function, args))

    def run(self, duration_ms: float) -> None:
        """Runs the calls of the next `duration_ms` and advances the time by it."""
        until = self.now + duration_ms
        while self.heap and self.heap[0][0] <= until:
            self.now, _, function, args = heapq.heappop(self.heap)
            function(*args)
        self.now = until
