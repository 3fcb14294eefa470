"""A simulated process: its clock, its timers, and what becomes of them when it is suspended or dies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall

from caperdeck.lab.suspension import Suspendable

from .world import World

LEAST = 1e-6  # seconds: the shortest wait that is one


class Process(Suspendable):
    """Its timers and what arrives for it wait while it is suspended, and are lost when it dies.

    Once it is resumed, timers that ran out come before what lies in the sockets.
    """

    def __init__(self, world: World, name: str) -> None:
        super().__init__()
        self.world, self.name = world, name
        self.overdue: list[DelayedCall] = []
        self.ends: dict[Any, None] = {}  # Transport
        self.ports: dict[Any, None] = {}  # Port and Socket
        self.rate, self.offset = 1.0, 0.0  # of its clock
        self.exited: Callable[[], None] = lambda: None

    # ---- the process

    def holds(self, call: DelayedCall) -> bool:
        """Whether a timer that is due does not run now."""
        if self.suspended and self.up:
            self.overdue.append(call)
        return self.suspended or not self.up

    def resume(self) -> None:
        self.suspended = False
        overdue, self.overdue = self.overdue, []
        for call in overdue:
            if not call.cancelled and not call.called and self.up:
                call.called = 1
                call.func(*call.args, **call.kw)
        super().resume()

    def die(self) -> None:
        """The process is gone: its connections are reset, its ports refuse."""
        if not self.up:
            return
        self.up = False
        for port in list(self.ports):
            port.stopListening()
        for end in list(self.ends):
            end.reset("killed")

    def stop(self) -> None:
        """The process ends by itself."""
        self.die()
        self.exited()

    # ---- time

    def seconds(self) -> float:
        return self.world.clock.rightNow * self.rate + self.offset

    def callLater(self, delay: float, f: Callable, *args: Any, **kw: Any) -> DelayedCall:
        # Danger: on a clock that drifts a wait can round to nothing, and a loop that comes early by a
        # rounding asks for it again and again in one instant.
        wait = max(delay / self.rate, LEAST) if delay > 0 else 0.0
        call = self.world.clock.callLater(wait, f, *args, **kw)
        call.place = self
        return call

    def callFromThread(self, f: Callable, *args: Any, **kw: Any) -> None:
        self.callLater(0, f, *args, **kw)
