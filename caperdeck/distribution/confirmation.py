"""When an instance asks whether its newest version is the newest of all, and what the answers are worth.

A read as in ReadIndex, counted from when it was asked. The answer names the newest committed revision; it
counts once the instance's own table has applied that one. Pure: times in float ms on the instance's clock.
"""

from __future__ import annotations

import math

from .publisher import Publisher

READ_INTERVAL_MS = 500.0  # ms between two reads
MAX_PENDING_ANSWERS = 8  # answers for which the own table is still behind


class VersionConfirmation:
    def __init__(self, publisher: Publisher) -> None:
        self.publisher = publisher
        self.due = -math.inf
        self.pending: list[tuple[float, int]] = []  # when it was asked, and the revision

    def should_read(self, now: float) -> bool:
        """Whether a read begins now."""
        if now < self.due:
            return False
        self.due = now + READ_INTERVAL_MS
        return True

    def read_answered(self, asked_at: float, revision: int) -> None:
        self.pending = [*self.pending, (asked_at, revision)][-MAX_PENDING_ANSWERS:]
        self.table_changed()

    def table_changed(self) -> None:
        """The own table may have grown."""
        applied = self.publisher.table.newest.revision
        for asked_at, revision in self.pending:
            self.publisher.newest_confirmed(asked_at, revision)
        self.pending = [(asked_at, revision) for asked_at, revision in self.pending if revision > applied]
