"""A simulated process: its clock and its timers, and what happens to them when it is suspended or dies."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall

from caperdeck.lab.suspension import Suspendable

from .world import World

MIN_DELAY_S = 1e-6  # the shortest delay that is not rounded to none


class SimulatedProcess(Suspendable):
    """A process whose timers and input wait while it is suspended, and are lost when it dies.

    When it is resumed, overdue timers run before unread input is delivered.
    """

    def __init__(self, world: World, name: str) -> None:
        super().__init__()
        self.world, self.name = world, name
        self.overdue: list[DelayedCall] = []
        self.connections: dict[Any, None] = {}  # Transport objects
        self.ports: dict[Any, None] = {}  # Port and Socket objects
        self.rate, self.offset = 1.0, 0.0  # of the local clock; offset in seconds
        self.on_exit: Callable[[], None] = lambda: None

    # ---- lifecycle

    def holds_back(self, call: DelayedCall) -> bool:
        """Whether a due timer must not run now; one of a suspended process is kept until it is resumed."""
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
        """Kills the process: its connections are reset and its ports refuse connections."""
        if not self.up:
            return
        self.up = False
        for port in list(self.ports):
            port.stopListening()
        for end in list(self.connections):
            end.reset("killed")

    def stop(self) -> None:
        """Ends the process by its own decision."""
        self.die()
        self.on_exit()

    # ---- time

    def seconds(self) -> float:
        """Time of the process's own clock."""
        return self.world.clock.rightNow * self.rate + self.offset

    def callLater(self, delay: float, f: Callable, *args: Any, **kw: Any) -> DelayedCall:
        # On a clock that drifts, a short delay can round to zero. A loop that wakes early by a rounding
        # error would then schedule itself again and again at the same instant.
        wait = max(delay / self.rate, MIN_DELAY_S) if delay > 0 else 0.0
        call = self.world.clock.callLater(wait, f, *args, **kw)
        call.process = self
        return call

    def callFromThread(self, f: Callable, *args: Any, **kw: Any) -> None:
        self.callLater(0, f, *args, **kw)
