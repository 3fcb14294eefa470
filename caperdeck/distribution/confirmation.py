"""Confirms periodically that the newest version in this instance's table is the newest one committed.

Each confirmation is a linearizable read (ReadIndex) and counts from the moment at which the read began. The
answer has the newest committed revision; it takes effect once this instance's table has applied that
revision. No I/O; times are float milliseconds on the instance's clock.
"""

from __future__ import annotations

import math

from .publisher import Publisher

READ_INTERVAL_MS = 500.0
MAX_PENDING_ANSWERS = 8  # answers whose revision this instance's table has not applied yet


class VersionConfirmation:
    def __init__(self, publisher: Publisher) -> None:
        self.publisher = publisher
        self.due = -math.inf
        self.pending: list[tuple[float, int]] = []  # when the read began, and the revision that it found

    def should_read(self, now: float) -> bool:
        """Whether a read is due; if so, the next one is scheduled."""
        if now < self.due:
            return False
        self.due = now + READ_INTERVAL_MS
        return True

    def read_answered(self, asked_at: float, revision: int) -> None:
        self.pending = [*self.pending, (asked_at, revision)][-MAX_PENDING_ANSWERS:]
        self.table_changed()

    def table_changed(self) -> None:
        """The table may have applied a revision that an answer waits for."""
        applied = self.publisher.table.newest.revision
        for asked_at, revision in self.pending:
            self.publisher.newest_confirmed(asked_at, revision)
        self.pending = [(asked_at, revision) for asked_at, revision in self.pending if revision > applied]
