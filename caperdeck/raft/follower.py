"""The follower: takes the leader's entries and snapshots into its log."""

from __future__ import annotations

from .actions import Restore, Role, Save
from .log import Entry, Snapshot
from .messages import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    InstallSnapshotRequest,
    InstallSnapshotResponse,
)
from .state import RaftState


class IncomingSnapshot:
    """A snapshot that is being received in chunks."""

    def __init__(self, index: int, term: int) -> None:
        self.index, self.term = index, term
        self.data = bytearray()

    def matches(self, message: InstallSnapshotRequest) -> bool:
        return (self.index, self.term) == (message.last_included_index, message.last_included_term)

    def append_chunk(self, message: InstallSnapshotRequest) -> bool:
        """Keeps the chunk if it is the next one; returns whether it was."""
        if message.offset != len(self.data):
            return False
        self.data += message.data
        return True


class Follower(RaftState):
    """Handling of the leader's messages."""

    incoming: IncomingSnapshot | None = None

    def _on_leader_contact(self, now: float, leader: int) -> None:
        if self.role is not Role.FOLLOWER or self.leader != leader:
            self._become_follower(now, self.term, leader)
        self.leader_heard_at = now
        self._reset_election_timer(now)

    # ---- entries

    def _on_append_entries_request(self, now: float, message: AppendEntriesRequest) -> None:
        self._on_leader_contact(now, message.sender)
        previous, entries = message.prev_log_index, message.entries
        if previous < self.log.snapshot.index:
            # Entries that the snapshot covers are committed, so they match the leader's.
            entries, previous = entries[self.log.snapshot.index - previous :], self.log.snapshot.index
            if message.prev_log_index + len(message.entries) < previous:
                self._send(
                    message.sender,
                    AppendEntriesResponse(self.term, self.me, True, previous, 0, message.heartbeat_round),
                )
                return
        elif self.log.term_at(previous) != message.prev_log_term:
            hint = self.log.conflict_hint(previous, message.prev_log_term)
            self._send(
                message.sender,
                AppendEntriesResponse(
                    self.term, self.me, False, hint, self.log.term_at(hint) or 0, message.heartbeat_round
                ),
            )
            return
        self._append_entries(now, previous, entries)
        confirmed = previous + len(entries)
        if min(message.leader_commit, confirmed) > self.commit_index:
            self._commit(now, min(message.leader_commit, confirmed))
        self._send(
            message.sender,
            AppendEntriesResponse(self.term, self.me, True, confirmed, 0, message.heartbeat_round),
        )

    def _append_entries(self, now: float, previous: int, entries: tuple[Entry, ...]) -> None:
        """Appends new entries. Truncates the log only from the first conflicting entry on.

        Truncating at every message would let a delayed one with fewer entries remove later entries that are
        confirmed already.
        """
        known = self.log.matching_prefix(previous, entries)
        if known == len(entries):
            return
        index = previous + known + 1
        if index <= self.log.last_index:
            assert index > self.commit_index, "a committed entry would be replaced"
            self.log.truncate_from(index)
            self.durable_index = min(self.durable_index, index - 1)
        self.first_unsaved = min(self.first_unsaved, index)
        self.log.entries.extend(entries[known:])
        self.unsaved = True
        self._refresh_members(now)

    # ---- snapshots

    def _on_install_snapshot_request(self, now: float, message: InstallSnapshotRequest) -> None:
        self._on_leader_contact(now, message.sender)
        if message.last_included_index <= self.commit_index:
            self._send(
                message.sender,
                InstallSnapshotResponse(
                    self.term, self.me, message.last_included_index, -1, message.heartbeat_round
                ),
            )
            return
        if self.incoming is None or not self.incoming.matches(message):
            self.incoming = IncomingSnapshot(message.last_included_index, message.last_included_term)
        taken, data = self.incoming.append_chunk(message), self.incoming.data
        if not taken or not message.done:
            self._send(
                message.sender,
                InstallSnapshotResponse(
                    self.term, self.me, message.last_included_index, len(data), message.heartbeat_round
                ),
            )
            return
        self.incoming = None
        self._restore(
            now,
            Snapshot(message.last_included_index, message.last_included_term, message.members, bytes(data)),
        )
        self._send(
            message.sender,
            InstallSnapshotResponse(
                self.term, self.me, message.last_included_index, -1, message.heartbeat_round
            ),
        )

    def _restore(self, now: float, snapshot: Snapshot) -> None:
        """Installs the snapshot in the log and in the state machine, in place of what it covers."""
        self.log.compact(snapshot)
        self.commit_index = self.last_applied = snapshot.index
        self._refresh_members(now)
        entries = tuple(self.log.entries)
        self.actions.append(Save(self.term, self.voted_for, snapshot.index + 1, entries, snapshot))
        self._mark_saved()
        self.durable_index = self.log.last_index
        self.actions.append(Restore(snapshot))
