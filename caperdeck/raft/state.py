"""The state of one Raft instance, and the order of its writes and messages."""

from __future__ import annotations

import math

from caperdeck.core.seeded_random import chance

from .actions import Action, Apply, ReadFailed, Role, RoleChanged, Save, Send
from .log import Entry, Log
from .messages import AppendEntriesRequest, InstallSnapshotRequest, Message
from .progress import Progress
from .read_index import ReadIndex

ELECTION_TIMEOUT_MS = 300.0  # the minimum; each timeout is drawn between this and twice this


class RaftState:
    """State that elections, the leader and the follower share."""

    def __init__(self, me: int, term: int, voted_for: int | None, log: Log, seed: int, now: float) -> None:
        self.me, self.seed, self.draws = me, seed, 0
        self.term, self.voted_for, self.log = term, voted_for, log
        self.role, self.leader = Role.FOLLOWER, None
        self.members, self.members_index = log.latest_members()
        self.commit_index = self.last_applied = log.snapshot.index
        self.durable_index = log.last_index  # the log is on disk up to here
        self.leader_heard_at = -math.inf
        self.votes: set[int] = set()
        self.peers: dict[int, Progress] = {}
        self.heartbeat_round = 0  # the leader's count of its heartbeat rounds
        self.pending_reads = ReadIndex()
        self.transfer_target: int | None = None  # the member that leadership is being transferred to
        self.transfer_deadline = 0.0
        self.next_heartbeat_at = 0.0
        self.unsaved = False  # term, vote or log have changed since the last Save
        self.first_unsaved = log.last_index + 1
        self.actions: list[Action] = []
        self._reset_election_timer(now)

    # ---- roles

    def _reset_election_timer(self, now: float) -> None:
        self.draws += 1
        self.election_deadline = now + ELECTION_TIMEOUT_MS * (1 + chance(self.seed, self.draws))

    def _become_follower(self, now: float, term: int, leader: int | None) -> None:
        """Becomes a follower, in `term` if that is newer."""
        before = self.role, self.term, self.leader
        if term > self.term:
            self.term, self.voted_for, self.unsaved = term, None, True
        if self.role is Role.LEADER:
            self.actions += [ReadFailed(read_id) for read_id in self.pending_reads.pop_all()]
            self._reset_election_timer(now)
        self.role, self.leader = Role.FOLLOWER, leader
        self.peers, self.votes, self.transfer_target = {}, set(), None
        if before != (self.role, self.term, self.leader):
            self.actions.append(RoleChanged(self.role, self.term, leader))

    def _become_leader(self, now: float) -> None:
        raise NotImplementedError

    # ---- the log

    def _append_to_log(self, entry: Entry) -> int:
        self.log.entries.append(entry)
        self.unsaved = True
        return self.log.last_index

    def _commit(self, now: float, index: int) -> None:
        self.commit_index = index
        while self.last_applied < self.commit_index:
            self.last_applied += 1
            self.actions.append(Apply(self.last_applied, self.log.entry_at(self.last_applied)))

    def _refresh_members(self, now: float) -> None:
        """The members are those of the log's latest members entry, committed or not."""
        self.members, self.members_index = self.log.latest_members()

    # ---- writes and messages

    def _save(self) -> None:
        """Saves what has changed, before any action that is added later."""
        if not self.unsaved:
            return
        first = min(self.first_unsaved, self.log.last_index + 1)
        entries = tuple(self.log.entries_after(first - 1, len(self.log.entries)))
        self.actions.append(Save(self.term, self.voted_for, first, entries))
        self._mark_saved()

    def _mark_saved(self) -> None:
        self.unsaved, self.first_unsaved = False, self.log.last_index + 1

    def _send(self, to: int, message: Message) -> None:
        # A vote or confirmation that left before it was on disk could be given again, differently, after a
        # crash.
        if not isinstance(message, AppendEntriesRequest | InstallSnapshotRequest):
            self._save()
        self.actions.append(Send(to, message))

    def _take_actions(self) -> list[Action]:
        """Ends an event: returns its actions."""
        self._save()
        actions, self.actions = self.actions, []
        return actions
