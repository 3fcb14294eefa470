"""Actions that a Raft instance requests from its driver, to be carried out in order."""

from __future__ import annotations

from enum import IntEnum
from typing import NamedTuple

from .log import Entry, Snapshot
from .messages import Message


class Role(IntEnum):
    FOLLOWER = 0
    ASKING = 1  # pre-candidate: a pre-vote is in progress
    CANDIDATE = 2
    LEADER = 3


class Save(NamedTuple):
    """Write to stable storage before any later action is carried out.

    `entries` replace the log from index `first` on; `snapshot` replaces the entries that it covers.
    """

    term: int
    voted_for: int | None
    first: int
    entries: tuple[Entry, ...]
    snapshot: Snapshot | None = None


class Send(NamedTuple):
    to: int
    message: Message


class Apply(NamedTuple):
    """Apply a committed entry to the state machine. Entries come in order, each once."""

    index: int
    entry: Entry


class Restore(NamedTuple):
    """Replace the state machine's state by that of the snapshot."""

    snapshot: Snapshot


class ReadReady(NamedTuple):
    """The read may be answered from the state as of the last applied entry."""

    read_id: int


class ReadFailed(NamedTuple):
    """The read cannot be answered by this instance."""

    read_id: int


class RoleChanged(NamedTuple):
    """The role, the term or the known leader of the instance has changed."""

    role: Role
    term: int
    leader: int | None


Action = Save | Send | Apply | Restore | ReadReady | ReadFailed | RoleChanged
