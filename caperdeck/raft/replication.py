"""The leader: rounds of heartbeats, entries and snapshots to each member, commitment, answers to reads."""

from __future__ import annotations

from .actions import Became, Readable, Role
from .log import Entry, Kind, Log
from .messages import Append, Appended, Install, Installed, TakeOver
from .progress import Progress
from .state import ELECTION, RaftState

HEARTBEAT = 60.0  # milliseconds
SOON = HEARTBEAT / 4  # until the members learn of what was committed, where nothing else is sent
MOST_ENTRIES = 64  # in one message
MOST_BYTES = 256 << 10  # of their data, but for the first
CHUNK = 32 << 10  # bytes of a snapshot in one message


class Replication(RaftState):
    """What a leader does."""

    def _lead(self, now: float) -> None:
        self.role, self.leader, self.transferee = Role.LEADER, self.me, None
        self.peers = {i: Progress(self.log.last + 1, now) for i in self.members.all if i != self.me}
        self.acts.append(Became(self.role, self.term, self.me))
        # entries of older terms are committed by one of its own only (the paper's figure 8)
        self._add(Entry(self.term, Kind.NOTHING))
        self._heartbeat(now)

    def _check_quorum(self, now: float) -> None:
        """Steps down where a quorum has not been heard for an election's time: another may lead by now."""
        heard = {self.me} | {i for i, p in self.peers.items() if now - p.heard_at < 2 * ELECTION}
        if not self.members.has_quorum(heard):
            self._follow(now, self.term, None)
        if self.transferee is not None and now >= self.transfer_until:
            self.transferee = None

    # ---- what is sent

    def _heartbeat(self, now: float) -> None:
        """A round: to every member what it lacks, or nothing but that this one leads."""
        self.heartbeat_at = now + HEARTBEAT
        self.turn += 1
        for i, progress in self.peers.items():
            progress.forget_unconfirmed()
            self._send_log(i, progress, True)
        if self.transferee is not None:
            self._hand_over(self.transferee)
        self._advance(now)

    def _hand_over(self, to: int) -> None:
        """Has that member stand for election, once its log is this one's."""
        if self.peers[to].match == self.log.last:
            self._send(to, TakeOver(self.term, self.me))

    def _replicate(self, now: float) -> None:
        """Sends every member what was added to the log."""
        self._save()
        for i, progress in self.peers.items():
            self._send_log(i, progress, False)
        self._advance(now)

    def _send_log(self, i: int, progress: Progress, at_all: bool) -> None:
        """What the member lacks; with `at_all` a message also where that is nothing."""
        if progress.next - 1 < self.log.snapshot.index:
            if at_all:
                self._send_snapshot(i, progress)
            return
        index = progress.send_after(self.log.last)
        entries = batch(self.log, index)
        if entries or at_all:
            progress.sent = index + len(entries)
            term = self.log.term(index)
            self._send(i, Append(self.term, self.me, index, term, entries, self.commit, self.turn))

    def _send_snapshot(self, i: int, progress: Progress) -> None:
        s, offset = self.log.snapshot, progress.offset or 0
        data = s.data[offset : offset + CHUNK]
        last = offset + len(data) >= len(s.data)
        self._send(i, Install(self.term, self.me, s.index, s.term, s.members, offset, data, last, self.turn))

    # ---- what is answered

    def _heard(self, now: float, sender: int, turn: int) -> Progress | None:
        """The member's progress; None where this one does not lead it."""
        progress = self.peers.get(sender)
        if self.role is not Role.LEADER or progress is None:
            return None
        progress.hear(now, turn)
        self._answer_reads()
        return progress

    def _appended(self, now: float, m: Appended) -> None:
        progress = self._heard(now, m.sender, m.turn)
        if progress is None:
            return
        if m.ok:
            self._confirmed(now, m, progress)
        elif m.index < progress.next:
            # to the last entry that can agree: of a term not past the follower's there
            progress.go_back(self.log.last_up_to(m.index_term, min(m.index, self.log.last)))
            self._send_log(m.sender, progress, True)

    def _confirmed(self, now: float, m: Appended, progress: Progress) -> None:
        progress.offset = None
        if m.index > self.log.last:
            return
        progress.confirm(m.index)
        self._advance(now)
        if progress.match < self.log.last:
            self._send_log(m.sender, progress, False)
        if self.transferee == m.sender:
            self._hand_over(m.sender)

    def _installed(self, now: float, m: Installed) -> None:
        progress = self._heard(now, m.sender, m.turn)
        if progress is None or m.index != self.log.snapshot.index:
            return
        if m.offset < 0:
            progress.offset = None
            progress.confirm(m.index)
            self._send_log(m.sender, progress, True)
        elif m.offset > (progress.offset or 0) or not m.offset:
            progress.offset = m.offset
            if m.offset:
                self._send_snapshot(m.sender, progress)

    # ---- what a quorum has

    def _advance(self, now: float) -> None:
        """Commits what a quorum has on disk, if it is of this term."""
        have = [self.durable if i == self.me else self.peers[i].match for i in self.members.voters]
        have.sort(reverse=True)
        index = have[self.members.quorum - 1] if have else 0
        if index > self.commit and self.log.term(index) == self.term:
            self._commit(now, index)
            self.heartbeat_at = min(self.heartbeat_at, now + SOON)

    def _commit(self, now: float, index: int) -> None:
        super()._commit(now, index)
        if self.role is Role.LEADER:
            self._answer_reads()
            # a leader that is no voter any more has seen that through, and goes
            if self.me not in self.members.voters and self.members_at <= self.commit:
                self._follow(now, self.term, None)

    def _answer_reads(self) -> None:
        self.acts += map(Readable, self.reads.take_confirmed(self.applied, self._quorum_echoed))

    def _quorum_echoed(self, turn: int) -> bool:
        return self.members.has_quorum({self.me} | {i for i, p in self.peers.items() if p.turn >= turn})

    def _take_members(self, now: float) -> None:
        super()._take_members(now)
        if self.role is not Role.LEADER:
            return
        others = [i for i in self.members.all if i != self.me]
        self.peers = {i: self.peers.get(i) or Progress(self.log.last, now) for i in others}
        if self.transferee not in self.members.voters:
            # Danger: leadership on its way to one that has just been removed goes nowhere.
            self.transferee = None


def batch(log: Log, index: int) -> tuple[Entry, ...]:
    """The entries after that index which one message may hold."""
    # Danger: a frame longer than a follower takes would be sent again for ever.
    entries, size = log.after(index, MOST_ENTRIES), 0
    for k, entry in enumerate(entries):
        size += len(entry.data)
        if k and size > MOST_BYTES:
            return tuple(entries[:k])
    return tuple(entries)
