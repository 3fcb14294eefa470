"""Virtual time: a Twisted clock that keeps its calls in a heap, for tens of thousands of pending calls."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock


class FixedCall:
    """A call that can be cancelled but not rescheduled, which is all that links need."""

    __slots__ = ("cancelled", "func", "args")

    def __init__(self, func: Callable, args: tuple) -> None:
        self.func, self.args, self.cancelled = func, args, False

    def active(self) -> bool:
        return not self.cancelled

    def cancel(self) -> None:
        self.cancelled = True


class HeapClock(Clock):
    """A Twisted clock on a heap. A suspended process holds its own due calls back."""

    def __init__(self) -> None:
        super().__init__()
        self.heap: list[tuple[float, int, Any]] = []
        self.count = 0

    def callLater(self, delay: float, f: Callable, *args: Any, **kw: Any) -> DelayedCall:
        call = DelayedCall(self.rightNow + delay, f, args, kw, lambda c: None, self.push, self.seconds)
        self.push(call)
        return call

    def schedule(self, delay: float, f: Callable, *args: Any) -> FixedCall:
        """Schedules a call that can be cancelled but not rescheduled."""
        call = FixedCall(f, args)
        self.count += 1
        heapq.heappush(self.heap, (self.rightNow + delay, self.count, call))
        return call

    def push(self, call: DelayedCall) -> None:
        self.count += 1
        heapq.heappush(self.heap, (call.time, self.count, call))

    def run(self, until: float) -> None:
        """Runs all calls that are due until this time, in seconds."""
        heap, pop = self.heap, heapq.heappop
        while heap and heap[0][0] <= until:
            at, _, call = pop(heap)
            if type(call) is FixedCall:
                if not call.cancelled:
                    self.rightNow = at
                    call.func(*call.args)
                continue
            if call.cancelled or call.called:
                continue
            if call.delayed_time:
                call.activate_delay()
            if call.time > at:
                self.push(call)
                continue
            self.rightNow = max(at, self.rightNow)
            process = getattr(call, "process", None)
            if process is not None and process.holds_back(call):
                continue
            call.called = 1
            call.func(*call.args, **call.kw)
        self.rightNow = max(until, self.rightNow)
