"""A simulated process that is stopped and continued, as by SIGSTOP and SIGCONT."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class Suspendable:
    """What comes for it while it is suspended waits until it is resumed, and is lost if it dies before."""

    def __init__(self) -> None:
        self.up, self.suspended = True, False
        self.deferred_calls: list[tuple[Callable, tuple]] = []

    @property
    def is_running(self) -> bool:
        return self.up and not self.suspended

    def call_when_running(self, do: Callable, *args: Any) -> None:
        """What comes for the process: done now, once it is resumed, or never."""
        if not self.up:
            return
        if self.suspended:
            self.deferred_calls.append((do, args))
        else:
            do(*args)

    def suspend(self) -> None:
        self.suspended = True

    def resume(self) -> None:
        self.suspended = False
        deferred_calls, self.deferred_calls = self.deferred_calls, []
        for do, args in deferred_calls:
            self.call_when_running(do, *args)
