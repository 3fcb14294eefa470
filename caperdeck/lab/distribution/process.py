"""A simulated process: what comes while it is stopped waits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class Process:
    """What comes while it is stopped lies there until it is woken."""

    def __init__(self) -> None:
        self.up, self.asleep = True, False
        self.inbox: list[tuple[Callable, tuple]] = []

    @property
    def runs(self) -> bool:
        return self.up and not self.asleep

    def act(self, do: Callable, *args: Any) -> None:
        """Now, or when the process is woken."""
        if self.asleep:
            self.inbox.append((do, args))
        elif self.up:
            do(*args)

    def wake(self) -> None:
        self.asleep = False
        inbox, self.inbox = self.inbox, []
        for do, args in inbox:
            self.act(do, *args)
