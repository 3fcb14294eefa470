"""What an instance of Raft has its driver do, in order."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from .log import Entry, Snapshot
from .messages import Message


class Role(IntEnum):
    FOLLOWER = 0
    ASKING = 1  # a pre-vote is out
    CANDIDATE = 2
    LEADER = 3


class Save(NamedTuple):
    """To disk, before all that follows: term and vote; entries from an index on, in place of what stands
    there; a snapshot in place of what it covers.
    """

    term: int
    vote: int | None
    first: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None


class Send(NamedTuple):
    to: int
    message: Message


class Apply(NamedTuple):
    """Committed; to be applied in order, each once."""

    index: int
    entry: Entry


class Restore(NamedTuple):
    """The state machine is this one from now on."""

    snapshot: Snapshot


class Readable(NamedTuple):
    """A read may be answered from the state up to what has been applied."""

    number: int


class Unreadable(NamedTuple):
    """A read cannot be answered here."""

    number: int


class Became(NamedTuple):
    """The instance has another role, term or leader."""

    role: Role
    term: int
    leader: int | None


Action = Save | Send | Apply | Restore | Readable | Unreadable | Became
