"""Raft RPCs between instances. `term` is the sender's term and `sender` its number.

The order of the fields is part of the wire format (see `codec`).
"""

from __future__ import annotations

from typing import NamedTuple

from .log import Entry, Members


class VoteRequest(NamedTuple):
    """RequestVote, or a pre-vote, which asks whether the receiver would vote in that term."""

    term: int
    sender: int
    last_log_index: int
    last_log_term: int
    pre_vote: bool  # no term and no vote changes
    leadership_transfer: bool = False  # sent at the leader's request, so its followers vote as well


class VoteResponse(NamedTuple):
    term: int
    sender: int
    granted: bool
    pre_vote: bool


class AppendEntriesRequest(NamedTuple):
    """AppendEntries; a heartbeat if it has no entries."""

    term: int
    sender: int
    prev_log_index: int
    prev_log_term: int
    entries: tuple[Entry, ...]
    leader_commit: int
    heartbeat_round: int  # the leader's count of its heartbeat rounds; the response echoes it


class AppendEntriesResponse(NamedTuple):
    term: int
    sender: int
    success: bool
    index: int  # the match index; after a failure, the index from which the leader should retry
    index_term: int  # after a failure, the follower's term at `index`
    heartbeat_round: int


class InstallSnapshotRequest(NamedTuple):
    """InstallSnapshot: one chunk of the snapshot."""

    term: int
    sender: int
    last_included_index: int
    last_included_term: int
    members: Members
    offset: int
    data: bytes
    done: bool  # this is the last chunk
    heartbeat_round: int


class InstallSnapshotResponse(NamedTuple):
    term: int
    sender: int
    last_included_index: int
    offset: int  # the next byte that is wanted; -1 once the snapshot is installed
    heartbeat_round: int


class TimeoutNow(NamedTuple):
    """Asks the receiver to start an election at once (leadership transfer)."""

    term: int
    sender: int


Message = (
    VoteRequest
    | VoteResponse
    | AppendEntriesRequest
    | AppendEntriesResponse
    | InstallSnapshotRequest
    | InstallSnapshotResponse
    | TimeoutNow
)
