"""Raft: one instance as a pure state machine, with events and times as input and actions as output.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014), and
Ongaro, "Consensus: Bridging Theory and Practice" (Stanford 2014): 3 (elections, log, commitment), 3.10
(leadership transfer), 4 (membership changes one at a time, learners), 5 (snapshots), 6.2 (check-quorum), 6.4
(ReadIndex), 9.6 (pre-vote). Times are float milliseconds on the instance's own clock.

Every event returns actions in order. A Save must be durable before the actions after it are carried out; the
driver then calls `saved`. Whatever depends on a write (votes, AppendEntries responses, the leader's own share
of a quorum) therefore never leaves before it.

This module has the events. `election`, `replication` (the leader) and `follower` handle them, on the state in
`state`.
"""

from __future__ import annotations

from .actions import Action, Apply, ReadFailed, ReadReady, Restore, Role, RoleChanged, Save, Send
from .election import Election
from .follower import Follower
from .log import Entry, Kind, Members, Snapshot, encode_members
from .membership import rejection_reason
from .messages import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    InstallSnapshotRequest,
    InstallSnapshotResponse,
    Message,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from .replication import Replication
from .state import ELECTION_TIMEOUT_MS

__all__ = [
    "ELECTION_TIMEOUT_MS", "Action", "AppendEntriesRequest", "AppendEntriesResponse", "Apply", "VoteRequest",
    "RoleChanged", "InstallSnapshotRequest", "InstallSnapshotResponse", "Message", "Raft", "ReadReady",
    "Restore", "Role", "Save", "Send", "TimeoutNow", "ReadFailed", "VoteResponse",
]  # fmt: skip


class Raft(Election, Replication, Follower):
    """One instance. `term`, `voted_for` and `log` start as read from stable storage."""

    @property
    def due(self) -> float:
        """When `tick` has to be called next."""
        return self.next_heartbeat_at if self.role is Role.LEADER else self.election_deadline

    def tick(self, now: float) -> list[Action]:
        if self.role is Role.LEADER:
            if now >= self.next_heartbeat_at:
                self._check_quorum(now)
            if self.role is Role.LEADER and now >= self.next_heartbeat_at:
                self._send_heartbeats(now)
        elif now >= self.election_deadline:
            self._campaign(now, pre_vote=True)
        return self._take_actions()

    # ---- messages

    def receive(self, now: float, message: Message) -> list[Action]:
        """Handles a message from a member. One of an older term is answered with this term, or dropped."""
        if isinstance(message, VoteRequest):
            self._on_vote_request(now, message)
        elif isinstance(message, VoteResponse) and message.pre_vote and message.granted:
            # A granted pre-vote carries the requested term, which no instance is in yet.
            self._on_vote_response(now, message)
        else:
            if message.term > self.term:
                self._become_follower(
                    now,
                    message.term,
                    message.sender
                    if isinstance(message, AppendEntriesRequest | InstallSnapshotRequest)
                    else None,
                )
            if message.term < self.term:
                self._answer_stale(message)
            else:
                self._dispatch(now, message)
        return self._take_actions()

    def _dispatch(self, now: float, message: Message) -> None:
        match message:
            case VoteResponse():
                self._on_vote_response(now, message)
            case AppendEntriesRequest():
                self._on_append_entries_request(now, message)
            case AppendEntriesResponse():
                self._on_append_entries_response(now, message)
            case InstallSnapshotRequest():
                self._on_install_snapshot_request(now, message)
            case InstallSnapshotResponse():
                self._on_install_snapshot_response(now, message)
            case TimeoutNow():
                if self.me in self.members.voters and self.role is not Role.LEADER:
                    self._campaign(now, pre_vote=False, leadership_transfer=True)

    def _answer_stale(self, message: Message) -> None:
        """Tells a leader that was partitioned of the newer term; otherwise it would go on as a leader."""
        if isinstance(message, AppendEntriesRequest):
            self._send(message.sender, AppendEntriesResponse(self.term, self.me, False, 0, 0, 0))
        elif isinstance(message, InstallSnapshotRequest):
            self._send(message.sender, InstallSnapshotResponse(self.term, self.me, 0, 0, 0))

    # ---- stable storage

    def saved(self, now: float, last_index: int, term: int) -> list[Action]:
        """The log was written up to `last_index`, whose entry was then of that term."""
        # The entry may have been replaced since the write began; the new one is not on disk yet.
        if self.log.term_at(last_index) == term:
            self.durable_index = max(self.durable_index, last_index)
        if self.role is Role.LEADER:
            self._maybe_commit(now)
        return self._take_actions()

    def compact(self, snapshot: Snapshot) -> list[Action]:
        """Drops the log that a snapshot of the state up to an applied index covers."""
        self._save()
        if self.log.snapshot.index < snapshot.index <= self.last_applied:
            self.log.compact(snapshot)
            self.actions.append(Save(self.term, self.voted_for, self.log.last_index + 1, (), snapshot))
        return self._take_actions()

    # ---- requests

    def propose(
        self, now: float, data: bytes, client: int = 0, serial: int = 0,
    ) -> tuple[int | None, list[Action]]:  # fmt: skip
        """The index of the command if it is committed in this term; None if it was not accepted."""
        if self.role is not Role.LEADER or self.transfer_target is not None:
            return None, []
        index = self._append_to_log(Entry(self.term, Kind.COMMAND, data, client, serial))
        self._replicate(now)
        return index, self._take_actions()

    def change_members(self, now: float, members: Members) -> tuple[str | None, list[Action]]:
        """Starts a membership change; returns the reason if it was rejected."""
        reason = rejection_reason(self, members)
        if reason is None:
            self._append_to_log(Entry(self.term, Kind.MEMBERS, encode_members(members)))
            self._refresh_members(now)
            self._replicate(now)
        return reason, self._take_actions()

    def read(self, now: float, read_id: int) -> list[Action]:
        """Starts a linearizable read. ReadReady or ReadFailed follows with its id."""
        committed_own_term = self.log.term_at(self.commit_index) == self.term
        if self.role is not Role.LEADER or not committed_own_term or self.pending_reads.full:
            self.actions.append(ReadFailed(read_id))
        else:
            self.pending_reads.add(read_id, self.commit_index, self.heartbeat_round + 1)
            self._send_heartbeats(now)
            self._complete_reads()
        return self._take_actions()

    def transfer_leadership(self, now: float, target: int) -> str | None:
        """Starts a leadership transfer, which the next tick continues; returns the reason if it cannot."""
        if self.role is not Role.LEADER:
            return "not-the-leader"
        if target not in self.members.voters or target == self.me:
            return "not-another-voter"
        self.transfer_target, self.transfer_deadline = target, now + ELECTION_TIMEOUT_MS
        self.next_heartbeat_at = now
        return None
