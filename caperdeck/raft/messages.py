"""What instances of Raft say to each other. `term` is the sender's, `sender` its number."""

from __future__ import annotations

from typing import NamedTuple

from .log import Entry, Members


class Ask(NamedTuple):
    """RequestVote, or a pre-vote: would you vote for me in this term?"""

    term: int
    sender: int
    last: int
    last_term: int
    before: bool  # a pre-vote: nobody's term or vote changes
    transfer: bool = False  # the leader hands over: its followers vote too


class Voted(NamedTuple):
    """The answer to `Ask`."""

    term: int
    sender: int
    granted: bool
    before: bool


class Append(NamedTuple):
    """AppendEntries; without entries a heartbeat."""

    term: int
    sender: int
    index: int  # of the entry before these
    index_term: int
    entries: tuple[Entry, ...]
    commit: int
    turn: int  # the leader's count of its rounds, echoed


class Appended(NamedTuple):
    """The answer to `Append`."""

    term: int
    sender: int
    ok: bool
    index: int  # confirmed up to here; if not ok, where to go on from
    index_term: int
    turn: int


class Install(NamedTuple):
    """InstallSnapshot: one chunk of it."""

    term: int
    sender: int
    index: int
    index_term: int
    members: Members
    offset: int
    data: bytes
    last: bool
    turn: int


class Installed(NamedTuple):
    """The answer to `Install`."""

    term: int
    sender: int
    index: int
    offset: int  # wanted next; -1 once the snapshot is in
    turn: int


class TakeOver(NamedTuple):
    """TimeoutNow: stand for election at once."""

    term: int
    sender: int


Message = Ask | Voted | Append | Appended | Install | Installed | TakeOver
