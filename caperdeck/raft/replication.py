"""The leader: heartbeats, log replication, snapshots, commitment and answers to reads."""

from __future__ import annotations

from .actions import ReadReady, Role, RoleChanged
from .log import Entry, Kind, Log
from .messages import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    InstallSnapshotRequest,
    InstallSnapshotResponse,
    TimeoutNow,
)
from .progress import Progress
from .state import ELECTION_TIMEOUT_MS, RaftState

HEARTBEAT_INTERVAL_MS = 60.0
# The longest delay until followers learn a new commit index when no other message carries it.
COMMIT_NOTICE_MS = HEARTBEAT_INTERVAL_MS / 4
MAX_ENTRIES_PER_MESSAGE = 64
MAX_DATA_BYTES_PER_MESSAGE = 256 << 10  # of entries after the first, which is sent whatever its size
SNAPSHOT_CHUNK_BYTES = 32 << 10


class Replication(RaftState):
    """What a leader does."""

    def _become_leader(self, now: float) -> None:
        self.role, self.leader, self.transfer_target = Role.LEADER, self.me, None
        self.peers = {
            member: Progress(self.log.last_index + 1, now) for member in self.members.all if member != self.me
        }
        self.actions.append(RoleChanged(self.role, self.term, self.me))
        # Entries of older terms are committed only by one of the leader's own term (the paper's figure 8).
        self._append_to_log(Entry(self.term, Kind.NO_OP))
        self._send_heartbeats(now)

    def _check_quorum(self, now: float) -> None:
        """Steps down if no quorum was heard for two election timeouts, as another may lead by then."""
        heard = {self.me} | {
            member
            for member, progress in self.peers.items()
            if now - progress.last_heard_at < 2 * ELECTION_TIMEOUT_MS
        }
        if not self.members.has_quorum(heard):
            self._become_follower(now, self.term, None)
        if self.transfer_target is not None and now >= self.transfer_deadline:
            self.transfer_target = None

    # ---- sending

    def _send_heartbeats(self, now: float) -> None:
        """Starts a heartbeat round: sends every member the entries that it lacks, or an empty message."""
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS
        self.heartbeat_round += 1
        for member, progress in self.peers.items():
            progress.forget_unconfirmed()
            self._send_log(member, progress, True)
        if self.transfer_target is not None:
            self._try_transfer(self.transfer_target)
        self._maybe_commit(now)

    def _try_transfer(self, target: int) -> None:
        """Has the target of a leadership transfer start an election, once it has the whole log."""
        if self.peers[target].match_index == self.log.last_index:
            self._send(target, TimeoutNow(self.term, self.me))

    def _replicate(self, now: float) -> None:
        """Sends new entries to every member."""
        self._save()
        for member, progress in self.peers.items():
            self._send_log(member, progress, False)
        self._maybe_commit(now)

    def _send_log(self, member: int, progress: Progress, always: bool) -> None:
        """Sends the entries or the snapshot that a member lacks; if `always`, also an empty message."""
        if progress.next_index - 1 < self.log.snapshot.index:
            if always:
                self._send_snapshot(member, progress)
            return
        index = progress.send_after(self.log.last_index)
        entries = entries_for_message(self.log, index)
        if entries or always:
            progress.sent_index = index + len(entries)
            term = self.log.term_at(index)
            self._send(
                member,
                AppendEntriesRequest(
                    self.term, self.me, index, term, entries, self.commit_index, self.heartbeat_round
                ),
            )

    def _send_snapshot(self, member: int, progress: Progress) -> None:
        snapshot, offset = self.log.snapshot, progress.snapshot_offset or 0
        data = snapshot.data[offset : offset + SNAPSHOT_CHUNK_BYTES]
        done = offset + len(data) >= len(snapshot.data)
        self._send(
            member,
            InstallSnapshotRequest(
                self.term, self.me, snapshot.index, snapshot.term, snapshot.members, offset, data, done,
                self.heartbeat_round,
            ),
        )  # fmt: skip

    # ---- responses

    def _record_contact(self, now: float, sender: int, heartbeat_round: int) -> Progress | None:
        """The sender's progress; None if this instance does not lead it."""
        progress = self.peers.get(sender)
        if self.role is not Role.LEADER or progress is None:
            return None
        progress.record_contact(now, heartbeat_round)
        self._complete_reads()
        return progress

    def _on_append_entries_response(self, now: float, message: AppendEntriesResponse) -> None:
        progress = self._record_contact(now, message.sender, message.heartbeat_round)
        if progress is None:
            return
        if message.success:
            self._on_entries_accepted(now, message, progress)
        elif message.index < progress.next_index:
            # Back to the last entry that can match: its term must not be past the follower's at that index.
            progress.back_off_to(
                self.log.last_index_up_to_term(message.index_term, min(message.index, self.log.last_index))
            )
            self._send_log(message.sender, progress, True)

    def _on_entries_accepted(self, now: float, message: AppendEntriesResponse, progress: Progress) -> None:
        progress.snapshot_offset = None
        if message.index > self.log.last_index:
            return
        progress.confirm(message.index)
        self._maybe_commit(now)
        if progress.match_index < self.log.last_index:
            self._send_log(message.sender, progress, False)
        if self.transfer_target == message.sender:
            self._try_transfer(message.sender)

    def _on_install_snapshot_response(self, now: float, message: InstallSnapshotResponse) -> None:
        progress = self._record_contact(now, message.sender, message.heartbeat_round)
        if progress is None or message.last_included_index != self.log.snapshot.index:
            return
        if message.offset < 0:
            progress.snapshot_offset = None
            progress.confirm(message.last_included_index)
            self._send_log(message.sender, progress, True)
        elif message.offset > (progress.snapshot_offset or 0) or not message.offset:
            progress.snapshot_offset = message.offset
            if message.offset:
                self._send_snapshot(message.sender, progress)

    # ---- quorums

    def _maybe_commit(self, now: float) -> None:
        """Commits up to the index that a quorum has on disk, if the entry there is of this term."""
        matched = [
            self.durable_index if member == self.me else self.peers[member].match_index
            for member in self.members.voters
        ]
        matched.sort(reverse=True)
        index = matched[self.members.quorum - 1] if matched else 0
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self._commit(now, index)
            self.next_heartbeat_at = min(self.next_heartbeat_at, now + COMMIT_NOTICE_MS)

    def _commit(self, now: float, index: int) -> None:
        super()._commit(now, index)
        if self.role is Role.LEADER:
            self._complete_reads()
            # A leader that is no longer a voter steps down once its removal is committed.
            if self.me not in self.members.voters and self.members_index <= self.commit_index:
                self._become_follower(now, self.term, None)

    def _complete_reads(self) -> None:
        self.actions += map(
            ReadReady, self.pending_reads.pop_confirmed(self.last_applied, self._quorum_echoed)
        )

    def _quorum_echoed(self, heartbeat_round: int) -> bool:
        return self.members.has_quorum(
            {self.me}
            | {member for member, progress in self.peers.items() if progress.echoed_round >= heartbeat_round}
        )

    def _refresh_members(self, now: float) -> None:
        super()._refresh_members(now)
        if self.role is not Role.LEADER:
            return
        others = [member for member in self.members.all if member != self.me]
        self.peers = {
            member: self.peers.get(member) or Progress(self.log.last_index, now) for member in others
        }
        if self.transfer_target not in self.members.voters:
            # A transfer to a member that was just removed cannot complete.
            self.transfer_target = None


def entries_for_message(log: Log, index: int) -> tuple[Entry, ...]:
    """The entries after an index that go into one message.

    A frame longer than a follower accepts would be rejected and sent again for ever.
    """
    entries, size = log.entries_after(index, MAX_ENTRIES_PER_MESSAGE), 0
    for k, entry in enumerate(entries):
        size += len(entry.data)
        if k and size > MAX_DATA_BYTES_PER_MESSAGE:
            return tuple(entries[:k])
    return tuple(entries)
