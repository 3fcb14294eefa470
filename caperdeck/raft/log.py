"""The replicated log: a snapshot followed by entries. Indices begin at 1; 0 stands before the first entry."""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from typing import NamedTuple


class Kind(IntEnum):
    NO_OP = 0  # the first entry of a new leader
    COMMAND = 1
    MEMBERS = 2


class Entry(NamedTuple):
    term: int
    kind: Kind
    data: bytes = b""
    client: int = 0  # id of the client session that proposed the command; 0 for none
    serial: int = 0  # sequence number of the command in that session


class Members(NamedTuple):
    """The cluster's members. Voters form quorums; learners only receive the log."""

    voters: tuple[int, ...]
    learners: tuple[int, ...] = ()

    @property
    def all(self) -> tuple[int, ...]:
        return self.voters + self.learners

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1

    def has_quorum(self, numbers: set[int]) -> bool:
        """Whether `numbers` include a quorum of the voters."""
        return len(numbers.intersection(self.voters)) >= self.quorum


class Snapshot(NamedTuple):
    """The state machine's state up to an index, and the members as of that index."""

    index: int
    term: int
    members: Members
    data: bytes = b""


class Log:
    def __init__(self, snapshot: Snapshot, entries: list[Entry] | None = None) -> None:
        self.snapshot = snapshot
        self.entries = list(entries or [])

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    def term_at(self, index: int) -> int | None:
        """The term at an index; None before the snapshot and past the end, where it is not known."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if self.snapshot.index < index <= self.last_index:
            return self.entries[index - self.snapshot.index - 1].term
        return None

    def entry_at(self, index: int) -> Entry:
        return self.entries[index - self.snapshot.index - 1]

    def entries_after(self, index: int, limit: int) -> list[Entry]:
        """Up to `limit` entries after an index, which must not be before the snapshot."""
        start = index - self.snapshot.index
        return self.entries[start : start + limit]

    def truncate_from(self, index: int) -> None:
        """Removes the entry at an index and all after it."""
        del self.entries[index - self.snapshot.index - 1 :]

    def replace_from(self, first: int, entries: Sequence[Entry]) -> None:
        """Replaces the log from index `first` on by `entries`; does nothing if there are none."""
        if entries:
            if first <= self.last_index:
                self.truncate_from(first)
            self.entries.extend(entries)

    def first_index_of_term(self, term: int, index: int) -> int:
        """The first known index of a term, searched backwards from an index that has this term."""
        while index - 1 > self.snapshot.index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def last_index_up_to_term(self, term: int, index: int) -> int:
        """The last index, at or before `index`, whose term is at most `term`."""
        while index > self.snapshot.index and (self.term_at(index) or 0) > term:
            index -= 1
        return index

    def conflict_hint(self, index: int, term: int) -> int:
        """The last index at which this log can match one that has `term` at `index`.

        This log has another term there, or no entry. The result is not before the snapshot.
        """
        hint = max(self.last_index_up_to_term(term, min(index, self.last_index)), self.snapshot.index)
        if hint == index:
            hint = max(self.first_index_of_term(self.term_at(index) or 0, index) - 1, self.snapshot.index)
        return hint

    def matching_prefix(self, index: int, entries: Sequence[Entry]) -> int:
        """How many of the entries that follow `index` are in this log, up to the first that is not."""
        for k, entry in enumerate(entries):
            if self.term_at(index + k + 1) != entry.term:
                return k
        return len(entries)

    def compact(self, snapshot: Snapshot) -> None:
        """Replaces what the snapshot covers; later entries stay if the log has the snapshot's last entry."""
        if self.term_at(snapshot.index) == snapshot.term:
            del self.entries[: snapshot.index - self.snapshot.index]
        else:
            self.entries = []
        self.snapshot = snapshot

    def latest_members(self) -> tuple[Members, int]:
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
