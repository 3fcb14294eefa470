"""Virtual time for parts without a reactor: calls in the order of their moments."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Events:
    def __init__(self) -> None:
        self.now = 0.0  # milliseconds
        self.heap: list[tuple[float, int, Callable, tuple]] = []
        self.count = 0

    def at(self, wait: float, do: Callable, *args: object) -> None:
        self.count += 1
        heapq.heappush(self.heap, (self.now + wait, self.count, do, args))

    def run(self, span: float) -> None:
        until = self.now + span
        while self.heap and self.heap[0][0] <= until:
            self.now, _, do, args = heapq.heappop(self.heap)
            do(*args)
        self.now = until
