"""The replicated log: entries after a snapshot. Indices begin at 1; 0 is before everything."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple


class Kind(IntEnum):
    NOTHING = 0  # a new leader's first entry
    COMMAND = 1
    MEMBERS = 2


class Entry(NamedTuple):
    term: int
    kind: Kind
    data: bytes = b""
    client: int = 0  # whose command it is, and its number there; 0 for none
    serial: int = 0


class Members(NamedTuple):
    """Voters decide; learners are sent the log and do not."""

    voters: tuple[int, ...]
    learners: tuple[int, ...] = ()

    @property
    def all(self) -> tuple[int, ...]:
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1

    def has_quorum(self, numbers: set[int]) -> bool:
        """Whether these hold a quorum of the voters."""
        return len(numbers.intersection(self.voters)) >= self.quorum


class Snapshot(NamedTuple):
    """The applied state up to an index, and the members as of then."""

    index: int
    term: int
    members: Members
    data: bytes = b""


class Log:
    def __init__(self, snapshot: Snapshot, entries: list[Entry] | None = None) -> None:
        self.snapshot = snapshot
        self.entries = list(entries or [])

    @property
    def last(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term(self, index: int) -> int | None:
        """The term of the entry there; None where it is not known, before the snapshot or past the end."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last:
            return self.entries[index - self.snapshot.index - 1].term
        return None

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.snapshot.index - 1]

    def after(self, index: int, most: int) -> list[Entry]:
        """At most so many entries past that index, which is not before the snapshot."""
        at = index - self.snapshot.index
        return self.entries[at : at + most]

    def cut(self, index: int) -> None:
        """Drops that entry and all after it."""
        del self.entries[index - self.snapshot.index - 1 :]

    def put(self, first: int, entries: Sequence[Entry]) -> None:
        """Entries from that index on, in place of what stands there; nothing where there are none."""
        if entries:
            if first <= self.last:
                self.cut(first)
            self.entries.extend(entries)

    def first_of(self, term: int, before: int) -> int:
        """The first index known with that term, going back from an index that has it."""
        while before - 1 > self.snapshot.index and self.term(before - 1) == term:
            before -= 1
        return before

    def last_up_to(self, term: int, before: int) -> int:
        """The last index up to `before` whose term is at most that one."""
        while before > self.snapshot.index and (self.term(before) or 0) > term:
            before -= 1
        return before

    def may_agree_up_to(self, index: int, term: int) -> int:
        """Where a log may agree with this one that has an entry of that term at an index, where this one has
        another or none; not before the snapshot.
        """
        at = max(self.last_up_to(term, min(index, self.last)), self.snapshot.index)
        if at == index:
            at = max(self.first_of(self.term(index) or 0, index) - 1, self.snapshot.index)
        return at

    def agreeing(self, index: int, entries: Sequence[Entry]) -> int:
        """How many of these, which follow that index, stand here already, up to the first that does not."""
        for k, entry in enumerate(entries):
            if self.term(index + k + 1) != entry.term:
                return k
        return len(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """Puts the snapshot in place of what it covers; entries past it stay if they follow on from it."""
        if self.term(snapshot.index) == snapshot.term:
            del self.entries[: snapshot.index - self.snapshot.index]
        else:
            self.entries = []
        self.snapshot = snapshot

    def members(self) -> tuple[Members, int]:
        """The latest members, committed or not, and the index of their entry."""
        for i in range(len(self.entries) - 1, -1, -1):
            if self.entries[i].kind is Kind.MEMBERS:
                return decode_members(self.entries[i].data), self.snapshot.index + i + 1
        return self.snapshot.members, self.snapshot.index


def encode_members(members: Members) -> bytes:
    return "|".join(",".join(map(str, ids)) for ids in members).encode()


def decode_members(data: bytes) -> Members:
    voters, learners = (tuple(int(x) for x in ids.split(",") if x) for ids in data.decode().split("|"))
    return Members(voters, learners)
