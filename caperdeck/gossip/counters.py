"""Replicated counters that are never counted twice: each belongs to one member in one life, only grows, and
merges by maximum.

Source: state-based grow-only counters, Shapiro et al., "A comprehensive study of Convergent and Commutative
Replicated Data Types" (INRIA RR-7506, 2011), 3.1.1, kept apart by life so that a restart begins a new one.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

EXPIRY_MS = 15_000.0  # a counter without an increase for this long is dropped
MAX_COUNTERS = 1024
MIN_RATE_WINDOW_MS = 500.0  # minimum time over which a rate is measured
MAX_VALUE = 0xFFFFFFFF
MAX_INCREASE = 1 << 24  # per merge; a larger step is a fault of the sender


class CounterValue(NamedTuple):
    """A member's count since the start of its life; `subject` says what is counted."""

    subject: int
    member: int
    life: int
    value: int


class _StoredCounter:
    """A counter's value with the measurement of its rate."""

    __slots__ = ("value", "increased_at", "rate", "rate_base", "rate_base_at", "rate_known")

    def __init__(self, value: int, now: float) -> None:
        self.value, self.increased_at = value, now
        self.rate, self.rate_base, self.rate_base_at, self.rate_known = 0.0, value, now, False


class CounterStore:
    """All known counters, including this member's. Merges may come in any order and any number of times."""

    def __init__(self) -> None:
        self.stored: dict[tuple[int, int, int], _StoredCounter] = {}  # by subject, member, life
        # highest dropped life and value, by subject and member
        self.retired: dict[tuple[int, int], tuple[int, int]] = {}
        self.lives: dict[int, int] = {}  # highest known life by member
        self.cursors = [0, 0]  # round-robin positions among this member's counters and those of others

    def merge(self, now: float, count: CounterValue) -> str | None:
        """Merges a counter; returns the reason if it is rejected."""
        key = count.subject, count.member, count.life
        counter = self.stored.get(key)
        if counter is None:
            # A dropped counter that arrives again late would be added a second time.
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
            return None  # outdated or unchanged
        if count.value - counter.value > MAX_INCREASE:
            return "count-jumps"
        counter.value, counter.increased_at = count.value, now
        if now - counter.rate_base_at >= MIN_RATE_WINDOW_MS:
            counter.rate = (count.value - counter.rate_base) / (now - counter.rate_base_at)
            counter.rate_base, counter.rate_base_at, counter.rate_known = count.value, now, True
        return None

    def expire(self, now: float) -> None:
        """Drops counters that have not increased for long; one comes back with its full value once it
        increases.
        """
        for key in [k for k, counter in self.stored.items() if now - counter.increased_at > EXPIRY_MS]:
            subject, member, life = key
            value = self.stored.pop(key).value
            self.retired[subject, member] = max(self.retired.get((subject, member), (0, 0)), (life, value))
        # Hosts come and go as long as the process runs, and each would leave an entry here.
        while len(self.retired) > MAX_COUNTERS:
            del self.retired[next(iter(self.retired))]

    def total(self, subject: int) -> int:
        """Returns the sum of the subject's counters over all members and lives."""
        return sum(
            counter.value for (key_subject, _, _), counter in self.stored.items() if key_subject == subject
        )

    def rate(self, now: float, subject: int, excluded_member: int) -> tuple[float, int]:
        """Returns the increase per millisecond of all members but one, and the number of members it is known
        from.
        """
        rates = [
            counter.rate for (key_subject, member, life), counter in self.stored.items()
            if key_subject == subject and member != excluded_member and life == self.lives[member]
            and now - counter.increased_at <= EXPIRY_MS and counter.rate_known
        ]  # fmt: skip
        return sum(rates), len(rates)

    def own_rate(self, subject: int, member: int, life: int) -> float:
        """Returns the increase per millisecond of one member's counter."""
        counter = self.stored.get((subject, member, life))
        return 0.0 if counter is None else counter.rate

    def rows_to_send(self, limit: int, own_member: int) -> Iterator[CounterValue]:
        """Returns counters to send: of this member and of others, each in rotation."""
        own = [k for k in self.stored if k[1] == own_member]
        others = [k for k in self.stored if k[1] != own_member]
        for which, (keys, count) in enumerate(((own, -(-limit // 2)), (others, limit // 2))):
            for _ in range(min(count, len(keys))):
                self.cursors[which] += 1
                key = keys[self.cursors[which] % len(keys)]
                yield CounterValue(*key, self.stored[key].value)
