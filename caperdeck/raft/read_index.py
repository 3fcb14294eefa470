"""Linearizable reads without entries in the log (dissertation, 6.4, ReadIndex)."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

MOST_READS = 256  # that wait at once


class PendingRead(NamedTuple):
    number: int
    index: int  # that has to be applied
    turn: int  # of the leader's rounds, that a quorum has to echo


class ReadIndex:
    """The reads of a leader that wait until it is known to have led after they came."""

    def __init__(self) -> None:
        self.pending: list[PendingRead] = []

    @property
    def full(self) -> bool:
        return len(self.pending) >= MOST_READS

    def add(self, number: int, index: int, turn: int) -> None:
        self.pending.append(PendingRead(number, index, turn))

    def take_confirmed(self, applied: int, quorum_echoed: Callable[[int], bool]) -> list[int]:
        """The numbers of those that may be answered now, in the order in which they came."""
        confirmed, left = [], []
        for read in self.pending:
            if quorum_echoed(read.turn) and applied >= read.index:
                confirmed.append(read.number)
            else:
                left.append(read)
        self.pending = left
        return confirmed

    def take_all(self) -> list[int]:
        """The numbers of all that wait; none does after that."""
        numbers = [read.number for read in self.pending]
        self.pending = []
        return numbers
