"""Counts that no path can count twice: each is one member's in one life, grows only, merges by the higher.

Source: state-based grow-only counters, Shapiro et al., "A comprehensive study of Convergent and Commutative
Replicated Data Types" (INRIA RR-7506, 2011), 3.1.1, kept apart by life so that a restart begins a new one.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

EXPIRY_MS = 15_000.0  # without a rise a count is left out
MAX_COUNTERS = 1024  # counts kept
MIN_RATE_WINDOW_MS = 500.0  # a rate is taken over at least so long
MAX_VALUE = 0xFFFFFFFF
MAX_INCREASE = 1 << 24  # in one step; more is a fault of the sender


class CounterValue(NamedTuple):
    """What a member has done since this life began; `subject` says what is counted."""

    subject: int
    member: int
    life: int
    value: int


class _StoredCounter:
    __slots__ = ("value", "rose_at", "rate", "rated", "rated_at", "timed")

    def __init__(self, value: int, now: float) -> None:
        self.value, self.rose_at = value, now
        self.rate, self.rated, self.rated_at, self.timed = 0.0, value, now, False


class CounterStore:
    """All counts heard of, the own among them. Merging is in any order, any number of times."""

    def __init__(self) -> None:
        self.kept: dict[tuple[int, int, int], _StoredCounter] = {}  # by subject, member, life
        # the highest life and value left out, by subject and member
        self.closed: dict[tuple[int, int], tuple[int, int]] = {}
        self.lives: dict[int, int] = {}  # the highest life heard of
        self.turns = [0, 0]  # whose counts are passed on next: of the own ones, of others'

    def merge(self, now: float, c: CounterValue) -> str | None:
        """Takes the count in; the reason if it is not taken."""
        key = c.subject, c.member, c.life
        kept = self.kept.get(key)
        if kept is None:
            # Danger: a count that was left out and comes again late would be added once more.
            if (c.life, c.value) <= self.closed.get(key[:2], (0, 0)):
                return "closed-life"
            if len(self.kept) >= MAX_COUNTERS:
                self.age(now)
                if len(self.kept) >= MAX_COUNTERS:
                    return "too-many-counts"
            self.kept[key] = _StoredCounter(c.value, now)
            self.lives[c.member] = max(self.lives.get(c.member, 0), c.life)
            return None
        if c.value <= kept.value:
            return None  # an older one, or the same again
        if c.value - kept.value > MAX_INCREASE:
            return "count-jumps"
        kept.value, kept.rose_at = c.value, now
        if now - kept.rated_at >= MIN_RATE_WINDOW_MS:
            kept.rate = (c.value - kept.rated) / (now - kept.rated_at)
            kept.rated, kept.rated_at, kept.timed = c.value, now, True
        return None

    def age(self, now: float) -> None:
        """Leaves out what has not risen for long; it comes back, whole, once it has risen."""
        for key in [k for k, kept in self.kept.items() if now - kept.rose_at > EXPIRY_MS]:
            subject, member, life = key
            value = self.kept.pop(key).value
            self.closed[subject, member] = max(self.closed.get((subject, member), (0, 0)), (life, value))
        # Danger: hosts come and go for as long as a node lives, and each would leave a mark here.
        while len(self.closed) > MAX_COUNTERS:
            del self.closed[next(iter(self.closed))]

    def total(self, subject: int) -> int:
        return sum(kept.value for (p, _, _), kept in self.kept.items() if p == subject)

    def rate(self, now: float, subject: int, besides: int) -> tuple[float, int]:
        """What the members but one add in a millisecond, and from how many of them that is known."""
        rows = [
            kept.rate for (p, member, life), kept in self.kept.items()
            if p == subject and member != besides and life == self.lives[member]
            and now - kept.rose_at <= EXPIRY_MS and kept.timed
        ]  # fmt: skip
        return sum(rows), len(rows)

    def own_rate(self, subject: int, member: int, life: int) -> float:
        kept = self.kept.get((subject, member, life))
        return 0.0 if kept is None else kept.rate

    def rows(self, most: int, first: int) -> Iterator[CounterValue]:
        """Counts to pass on: the member's own and those of others, each in turn."""
        own = [k for k in self.kept if k[1] == first]
        others = [k for k in self.kept if k[1] != first]
        for which, (keys, rows) in enumerate(((own, -(-most // 2)), (others, most // 2))):
            for _ in range(min(rows, len(keys))):
                self.turns[which] += 1
                key = keys[self.turns[which] % len(keys)]
                yield CounterValue(*key, self.kept[key].value)
