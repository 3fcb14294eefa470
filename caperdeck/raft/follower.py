"""The follower: entries and snapshots of the leader taken into its log."""

from __future__ import annotations

from .actions import Restore, Role, Save
from .log import Entry, Snapshot
from .messages import Append, Appended, Install, Installed
from .state import RaftState


class IncomingSnapshot:
    """A snapshot that comes in chunks."""

    def __init__(self, index: int, term: int) -> None:
        self.index, self.term = index, term
        self.data = bytearray()

    def is_that_of(self, m: Install) -> bool:
        return (self.index, self.term) == (m.index, m.index_term)

    def take(self, m: Install) -> bool:
        """Whether the chunk is the next one; it is kept then."""
        if m.offset != len(self.data):
            return False
        self.data += m.data
        return True


class Following(RaftState):
    """What a follower does."""

    incoming: IncomingSnapshot | None = None

    def _hear_leader(self, now: float, leader: int) -> None:
        if self.role is not Role.FOLLOWER or self.leader != leader:
            self._follow(now, self.term, leader)
        self.heard_at = now
        self._await_leader(now)

    # ---- entries

    def _append(self, now: float, m: Append) -> None:
        self._hear_leader(now, m.sender)
        first, entries = m.index, m.entries
        if first < self.log.snapshot.index:
            # what the snapshot covers is committed and alike at all
            entries, first = entries[self.log.snapshot.index - first :], self.log.snapshot.index
            if m.index + len(m.entries) < first:
                self._send(m.sender, Appended(self.term, self.me, True, first, 0, m.turn))
                return
        elif self.log.term(first) != m.index_term:
            at = self.log.may_agree_up_to(first, m.index_term)
            self._send(m.sender, Appended(self.term, self.me, False, at, self.log.term(at) or 0, m.turn))
            return
        self._take(now, first, entries)
        confirmed = first + len(entries)
        if min(m.commit, confirmed) > self.commit:
            self._commit(now, min(m.commit, confirmed))
        self._send(m.sender, Appended(self.term, self.me, True, confirmed, 0, m.turn))

    def _take(self, now: float, first: int, entries: tuple[Entry, ...]) -> None:
        """Adds what is new; what conflicts is cut, never what agrees."""
        # Danger: a late message with fewer entries would cut off later ones that are confirmed already.
        known = self.log.agreeing(first, entries)
        if known == len(entries):
            return
        index = first + known + 1
        if index <= self.log.last:
            assert index > self.commit, "a committed entry would be replaced"
            self.log.cut(index)
            self.durable = min(self.durable, index - 1)
        self.first_unsaved = min(self.first_unsaved, index)
        self.log.entries.extend(entries[known:])
        self.unsaved = True
        self._take_members(now)

    # ---- snapshots

    def _install(self, now: float, m: Install) -> None:
        self._hear_leader(now, m.sender)
        if m.index <= self.commit:
            self._send(m.sender, Installed(self.term, self.me, m.index, -1, m.turn))
            return
        if self.incoming is None or not self.incoming.is_that_of(m):
            self.incoming = IncomingSnapshot(m.index, m.index_term)
        taken, data = self.incoming.take(m), self.incoming.data
        if not taken or not m.last:
            self._send(m.sender, Installed(self.term, self.me, m.index, len(data), m.turn))
            return
        self.incoming = None
        self._restore(now, Snapshot(m.index, m.index_term, m.members, bytes(data)))
        self._send(m.sender, Installed(self.term, self.me, m.index, -1, m.turn))

    def _restore(self, now: float, snapshot: Snapshot) -> None:
        """Puts it in place of what it covers, in the log and in the state machine."""
        self.log.compact(snapshot)
        self.commit = self.applied = snapshot.index
        self._take_members(now)
        entries = tuple(self.log.entries)
        self.acts.append(Save(self.term, self.vote, snapshot.index + 1, entries, snapshot))
        self._all_saved()
        self.durable = self.log.last
        self.acts.append(Restore(snapshot))
