"""Linearizable reads without log entries: ReadIndex (dissertation, 6.4)."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

MAX_PENDING_READS = 256


class PendingRead(NamedTuple):
    read_id: int
    index: int  # must be applied before the read is answered
    heartbeat_round: int  # must be echoed by a quorum before the read is answered


class ReadIndex:
    """Reads at the leader that wait until a quorum confirms that it still led after they arrived."""

    def __init__(self) -> None:
        self.pending: list[PendingRead] = []

    @property
    def full(self) -> bool:
        return len(self.pending) >= MAX_PENDING_READS

    def add(self, read_id: int, index: int, heartbeat_round: int) -> None:
        self.pending.append(PendingRead(read_id, index, heartbeat_round))

    def pop_confirmed(self, last_applied: int, quorum_echoed: Callable[[int], bool]) -> list[int]:
        """Removes the reads that may be answered now; returns their ids in order of arrival."""
        confirmed, remaining = [], []
        for read in self.pending:
            if quorum_echoed(read.heartbeat_round) and last_applied >= read.index:
                confirmed.append(read.read_id)
            else:
                remaining.append(read)
        self.pending = remaining
        return confirmed

    def pop_all(self) -> list[int]:
        """Removes all pending reads; returns their ids."""
        read_ids = [read.read_id for read in self.pending]
        self.pending = []
        return read_ids
