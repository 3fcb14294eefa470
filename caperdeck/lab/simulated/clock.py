"""Virtual time: Twisted's clock with a heap under it, for tens of thousands of calls."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock


class Soon:
    """A call that is never put off: all that the links need."""

    __slots__ = ("cancelled", "func", "args")

    def __init__(self, func: Callable, args: tuple) -> None:
        self.func, self.args, self.cancelled = func, args, False

    def active(self) -> bool:
        return not self.cancelled

    def cancel(self) -> None:
        self.cancelled = True


class Heap(Clock):
    """Twisted's clock with a heap under it, for tens of thousands of calls; places hold their own back."""

    def __init__(self) -> None:
        super().__init__()
        self.heap: list[tuple[float, int, Any]] = []
        self.count = 0

    def callLater(self, delay: float, f: Callable, *args: Any, **kw: Any) -> DelayedCall:
        call = DelayedCall(self.rightNow + delay, f, args, kw, lambda c: None, self.push, self.seconds)
        self.push(call)
        return call

    def soon(self, delay: float, f: Callable, *args: Any) -> Soon:
        call = Soon(f, args)
        self.count += 1
        heapq.heappush(self.heap, (self.rightNow + delay, self.count, call))
        return call

    def push(self, call: DelayedCall) -> None:
        self.count += 1
        heapq.heappush(self.heap, (call.time, self.count, call))

    def run(self, until: float) -> None:
        """Plays all that is due up to that second."""
        heap, pop = self.heap, heapq.heappop
        while heap and heap[0][0] <= until:
            at, _, call = pop(heap)
            if type(call) is Soon:
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
            place = getattr(call, "place", None)
            if place is not None and place.holds(call):
                continue
            call.called = 1
            call.func(*call.args, **call.kw)
        self.rightNow = max(until, self.rightNow)
