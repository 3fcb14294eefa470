"""Counts that no path can count twice: each is one member's in one life, grows only, merges by the higher.

Source: state-based grow-only counters, Shapiro et al., "A comprehensive study of Convergent and Commutative
Replicated Data Types" (INRIA RR-7506, 2011), 3.1.1, counter apart by life so that a restart begins a new one.
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
    __slots__ = ("value", "increased_at", "rate", "rate_base", "rate_base_at", "rate_known")

    def __init__(self, value: int, now: float) -> None:
        self.value, self.increased_at = value, now
        self.rate, self.rate_base, self.rate_base_at, self.rate_known = 0.0, value, now, False


class CounterStore:
    """All counts heard of, the own among them. Merging is in any order, any number of times."""

    def __init__(self) -> None:
        self.stored: dict[tuple[int, int, int], _StoredCounter] = {}  # by subject, member, life
        # the highest life and value left out, by subject and member
        self.retired: dict[tuple[int, int], tuple[int, int]] = {}
        self.lives: dict[int, int] = {}  # the highest life heard of
        self.cursors = [0, 0]  # whose counts are passed on next: of the own ones, of others'

    def merge(self, now: float, count: CounterValue) -> str | None:
        """Takes the count in; the reason if it is not taken."""
        key = count.subject, count.member, count.life
        counter = self.stored.get(key)
        if counter is None:
            # Danger: a count that was left out and comes again late would be added once more.
            if (count.life, count.value) <= self.retired.get(key[:2], (0, 0)):
                return "closed-life"
            if len(self.stored) >= MAX_COUNTERS:
                self.expire(now)
                if len(self.stored) >= MAX_COUNTERS:
                    return "too-many-counts"
            self.stored[key] = _StoredCounter(count.value, now)
            self.lives[count.member] = max(self.lives.get(count.member, 0), count.life)
            return None
        if count.value <= counter.value:
            return None  # an older one, or the same again
        if count.value - counter.value > MAX_INCREASE:
            return "count-jumps"
        counter.value, counter.increased_at = count.value, now
        if now - counter.rate_base_at >= MIN_RATE_WINDOW_MS:
            counter.rate = (count.value - counter.rate_base) / (now - counter.rate_base_at)
            counter.rate_base, counter.rate_base_at, counter.rate_known = count.value, now, True
        return None

    def expire(self, now: float) -> None:
        """Leaves out what has not risen for long; it comes back, whole, once it has risen."""
        for key in [k for k, counter in self.stored.items() if now - counter.increased_at > EXPIRY_MS]:
            subject, member, life = key
            value = self.stored.pop(key).value
            self.retired[subject, member] = max(self.retired.get((subject, member), (0, 0)), (life, value))
        # Danger: hosts come and go for as long as a node lives, and each would leave a mark here.
        while len(self.retired) > MAX_COUNTERS:
            del self.retired[next(iter(self.retired))]

    def total(self, subject: int) -> int:
        return sum(
            counter.value for (key_subject, _, _), counter in self.stored.items() if key_subject == subject
        )

    def rate(self, now: float, subject: int, excluded_member: int) -> tuple[float, int]:
        """What the members but one add in a millisecond, and from how many of them that is known."""
        rates = [
            counter.rate for (key_subject, member, life), counter in self.stored.items()
            if key_subject == subject and member != excluded_member and life == self.lives[member]
            and now - counter.increased_at <= EXPIRY_MS and counter.rate_known
        ]  # fmt: skip
        return sum(rates), len(rates)

    def own_rate(self, subject: int, member: int, life: int) -> float:
        counter = self.stored.get((subject, member, life))
        return 0.0 if counter is None else counter.rate

    def rows_to_send(self, limit: int, own_member: int) -> Iterator[CounterValue]:
        """Counts to pass on: the member's own and those of others, each in turn."""
        own = [k for k in self.stored if k[1] == own_member]
        others = [k for k in self.stored if k[1] != own_member]
        for which, (keys, count) in enumerate(((own, -(-limit // 2)), (others, limit // 2))):
            for _ in range(min(count, len(keys))):
                self.cursors[which] += 1
                key = keys[self.cursors[which] % len(keys)]
                yield CounterValue(*key, self.stored[key].value)
