"""A simulated process: its clock, its timers, and what becomes of them while it sleeps or once it is dead."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall

from .world import World

LEAST = 1e-6  # seconds: the shortest wait that is one


class Process:
    """Its timers and what arrives for it wait while it is asleep, and are lost when it dies.

    After a sleep timers that ran out come before what lies in the sockets.
    """

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.asleep, self.dead = False, False
        self.overdue: list[DelayedCall] = []
        self.inbox: list[tuple[Callable, tuple]] = []
        self.ends: dict[Any, None] = {}  # Transport
        self.ports: dict[Any, None] = {}  # Port and Socket
        self.rate, self.offset = 1.0, 0.0  # of its clock
        self.exited: Callable[[], None] = lambda: None

    # ---- the process

    def holds(self, call: DelayedCall) -> bool:
        if self.asleep and not self.dead:
            self.overdue.append(call)
        return self.asleep or self.dead

    def act(self, do: Callable, *args: Any) -> None:
        """What arrives for the process: done now, once it is awake, or never."""
        if self.dead:
            return
        if self.asleep:
            self.inbox.append((do, args))
        else:
            do(*args)

    def sleep(self) -> None:
        self.asleep = True

    def wake(self) -> None:
        if not self.asleep:
            return
        self.asleep = False
        overdue, self.overdue = self.overdue, []
        for call in overdue:
            if not call.cancelled and not call.called and not self.dead:
                call.called = 1
                call.func(*call.args, **call.kw)
        inbox, self.inbox = self.inbox, []
        for do, args in inbox:
            self.act(do, *args)

    def die(self) -> None:
        """The process is gone: its connections are reset, its ports refuse."""
        if self.dead:
            return
        self.dead = True
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
