"""When an instance asks whether its newest version is the newest of all, and what the answers are worth.

A read as in ReadIndex, counted from when it was asked. The answer names the newest committed revision; it
counts once the instance's own table has applied that one. Pure: times in float ms on the instance's clock.
"""

from __future__ import annotations

import math

from .publisher import Publisher

EVERY = 500.0  # ms between two reads
MOST_WAITING = 8  # answers for which the own table is still behind


class Confirming:
    def __init__(self, publisher: Publisher) -> None:
        self.publisher = publisher
        self.due = -math.inf
        self.waiting: list[tuple[float, int]] = []  # when it was asked, and the revision

    def asks(self, now: float) -> bool:
        """Whether a read begins now."""
        if now < self.due:
            return False
        self.due = now + EVERY
        return True

    def answered(self, asked: float, revision: int) -> None:
        self.waiting = [*self.waiting, (asked, revision)][-MOST_WAITING:]
        self.applied()

    def applied(self) -> None:
        """The own table may have grown."""
        held = self.publisher.table.newest.revision
        for asked, revision in self.waiting:
            self.publisher.confirmed(asked, revision)
        self.waiting = [(asked, revision) for asked, revision in self.waiting if revision > held]
