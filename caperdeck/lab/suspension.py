"""Suspension of simulated processes, as by SIGSTOP and SIGCONT."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class Suspendable:
    """A simulated process that can be suspended.

    Calls made to it meanwhile are deferred until it is resumed, and dropped if it dies before.
    """

    def __init__(self) -> None:
        self.up, self.suspended = True, False
        self.deferred_calls: list[tuple[Callable, tuple]] = []

    @property
    def is_running(self) -> bool:
        return self.up and not self.suspended

    def call_when_running(self, do: Callable, *args: Any) -> None:
        """Makes the call now if the process runs, later if it is suspended, never if it is dead."""
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
