"""Raft: one instance as a pure state machine. Events and time in; writes, messages, committed entries out.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014), and
Ongaro, "Consensus: Bridging Theory and Practice" (Stanford 2014): 3 (elections, log, commitment), 3.10
(leadership transfer), 4 (members one at a time, learners), 5 (snapshots), 6.2 (check-quorum), 6.4
(ReadIndex), 9.6 (pre-vote). Times are float milliseconds on the instance's own clock.

Every event returns actions in order. A Save has to be durable before the actions after it are carried out;
the driver then calls `saved`. What rests on a write (votes, answers to appends, the leader's own share of a
quorum) therefore never leaves before it.
"""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple

from caperdeck.core.chance import chance

from .log import Entry, Kind, Log, Members, Snapshot, encode_members

ELECTION = 300.0  # the least time without a leader; drawn up to twice this
HEARTBEAT = 60.0
MOST_ENTRIES = 64  # in one message
MOST_BYTES = 256 << 10  # of their data, but for the first
MOST_WINDOW = 256  # entries sent ahead of what a follower has confirmed
CHUNK = 32 << 10  # bytes of a snapshot in one message
CATCH_UP = 16  # entries that a learner may lack when it becomes a voter
MOST_READS = 256


class Role(IntEnum):
    FOLLOWER = 0
    ASKING = 1  # a pre-vote is out
    CANDIDATE = 2
    LEADER = 3


# ---- messages


class Ask(NamedTuple):
    """RequestVote, or a pre-vote: would you vote for me in this term?"""

    term: int
    sender: int
    last: int
    last_term: int
    before: bool  # a pre-vote: nobody's term or vote changes
    told: bool = False  # by the leader, to take over


class Voted(NamedTuple):
    term: int
    sender: int
    granted: bool
    before: bool


class Append(NamedTuple):
    term: int
    sender: int
    index: int  # of the entry before these
    index_term: int
    entries: tuple[Entry, ...]
    commit: int
    turn: int  # the leader's count of its rounds, echoed


class Appended(NamedTuple):
    term: int
    sender: int
    ok: bool
    index: int  # confirmed up to here; if not ok, where to go on from
    index_term: int
    turn: int


class Install(NamedTuple):
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


# ---- actions


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
    number: int


class Became(NamedTuple):
    role: Role
    term: int
    leader: int | None


Action = Save | Send | Apply | Restore | Readable | Unreadable | Became


class Peer:
    """What a leader keeps of another member."""

    __slots__ = ("match", "next", "heard_at", "turn", "offset", "sent")

    def __init__(self, following: int, now: float) -> None:
        self.match, self.next = 0, following
        self.heard_at = now
        self.turn = 0  # the highest that it has echoed
        self.offset: int | None = None  # in a snapshot that is under way
        self.sent = 0  # the highest index sent to it


class Raft:
    """One instance. `term`, `vote`, `log` are what its disk holds."""

    def __init__(self, me: int, term: int, vote: int | None, log: Log, seed: int, now: float) -> None:
        self.me, self.seed, self.draws = me, seed, 0
        self.term, self.vote, self.log = term, vote, log
        self.role, self.leader = Role.FOLLOWER, None
        self.members, self.members_at = log.members()
        self.commit = self.applied = log.snapshot.index
        self.durable = log.last  # entries up to here are on disk
        self.heard_at = -math.inf  # when a leader was last heard
        self.votes: set[int] = set()
        self.peers: dict[int, Peer] = {}
        self.turn = 0
        self.reads: list[tuple[int, int, int]] = []  # number, index, turn that has to be echoed
        self.heir: int | None = None  # whom leadership goes to
        self.heir_until = 0.0
        self.incoming: tuple[int, int, bytearray] | None = None  # a snapshot under way: index, term, data
        self.beat_at = 0.0
        self.unsaved = False  # term, vote or log have changed since the last Save
        self.first_unsaved = log.last + 1
        self.acts: list[Action] = []
        self._await_leader(now)

    # ---- events

    @property
    def due(self) -> float:
        return self.beat_at if self.role is Role.LEADER else self.deadline

    def tick(self, now: float) -> list[Action]:
        if self.role is Role.LEADER:
            if now >= self.beat_at:
                self._check_quorum(now)
            if self.role is Role.LEADER and now >= self.beat_at:
                self._beat(now)
        elif now >= self.deadline:
            self._ask(now, before=True)
        return self._done()

    def receive(self, now: float, m: Message) -> list[Action]:
        """A message of a member; one of an older term is answered with the newer one, or dropped."""
        if isinstance(m, Ask):
            self._asked(now, m)
        elif isinstance(m, Voted) and m.before and m.granted:
            self._voted(now, m)  # carries the term that was asked for, which nobody has yet
        else:
            if m.term > self.term:
                self._follow(now, m.term, m.sender if isinstance(m, Append | Install) else None)
            if m.term < self.term:
                self._outdated(m)
            else:
                self._received(now, m)
        return self._done()

    def _received(self, now: float, m: Message) -> None:
        match m:
            case Voted():
                self._voted(now, m)
            case Append():
                self._append(now, m)
            case Appended():
                self._appended(now, m)
            case Install():
                self._install(now, m)
            case Installed():
                self._installed(now, m)
            case TakeOver():
                if self.me in self.members.voters and self.role is not Role.LEADER:
                    self._ask(now, before=False, told=True)

    def _outdated(self, m: Message) -> None:
        # Danger: a leader that was cut off goes on leading, as nobody tells it of the newer term.
        if isinstance(m, Append):
            self._send(m.sender, Appended(self.term, self.me, False, 0, 0, 0))
        elif isinstance(m, Install):
            self._send(m.sender, Installed(self.term, self.me, 0, 0, 0))

    def saved(self, now: float, last: int, term: int) -> list[Action]:
        """The log is on disk up to that index, whose entry is of that term."""
        # Danger: the entry may have been replaced since; what is on disk there is another one's.
        if self.log.term(last) == term:
            self.durable = max(self.durable, last)
        if self.role is Role.LEADER:
            self._advance(now)
        return self._done()

    def propose(
        self, now: float, data: bytes, client: int = 0, serial: int = 0,
    ) -> tuple[int | None, list[Action]]:  # fmt: skip
        """The index that the command has if it is committed in this term; None if it is not taken."""
        if self.role is not Role.LEADER or self.heir is not None:
            return None, []
        index = self._add(Entry(self.term, Kind.COMMAND, data, client, serial))
        self._spread(now)
        return index, self._done()

    def change(self, now: float, members: Members) -> tuple[str | None, list[Action]]:
        """Other members; the reason if it is not taken. One voter at a time, as a learner first."""
        reason = self._cannot_change(members)
        if reason is None:
            self._add(Entry(self.term, Kind.MEMBERS, encode_members(members)))
            self._take_members(now)
            self._spread(now)
        return reason, self._done()

    def _cannot_change(self, members: Members) -> str | None:
        old, new = set(self.members.voters), set(members.voters)
        if self.role is not Role.LEADER:
            return "not-the-leader"
        if self.members_at > self.commit:
            return "another-change-is-under-way"
        # Danger: before an entry of its own term is committed, two changes of two leaders can be in force at
        # once with quorums that do not meet (the dissertation's erratum of 2015).
        if self.log.term(self.commit) != self.term:
            return "nothing-of-this-term-is-committed"
        if len(old ^ new) > 1:
            return "more-than-one-voter-changes"
        if not new or set(members.learners) & new or len(set(members.all)) < len(members.all):
            return "no-voters-or-a-member-twice"
        for joined in new - old:
            peer = self.peers.get(joined)
            if joined not in self.members.learners or peer is None or self.log.last - peer.match > CATCH_UP:
                return "a-learner-has-not-caught-up"
        return None

    def read(self, now: float, number: int) -> list[Action]:
        """A linearizable read: Readable or Unreadable follows with its number."""
        own = self.log.term(self.commit) == self.term
        if self.role is not Role.LEADER or not own or len(self.reads) >= MOST_READS:
            self.acts.append(Unreadable(number))
        else:
            self.reads.append((number, self.commit, self.turn + 1))
            self._beat(now)
            self._answer_reads()
        return self._done()

    def transfer(self, now: float, to: int) -> str | None:
        """Begins to hand leadership over; the reason if it cannot. The next tick goes on with it."""
        if self.role is not Role.LEADER:
            return "not-the-leader"
        if to not in self.members.voters or to == self.me:
            return "not-another-voter"
        self.heir, self.heir_until = to, now + ELECTION
        self.beat_at = now
        return None

    def compact(self, snapshot: Snapshot) -> list[Action]:
        """The state up to an applied index was written down: the log before it is dropped."""
        self._save()
        if self.log.snapshot.index < snapshot.index <= self.applied:
            self.log.compact(snapshot)
            self.acts.append(Save(self.term, self.vote, self.log.last + 1, (), snapshot))
        return self._done()

    # ---- elections

    def _chance(self) -> float:
        self.draws += 1
        return chance(self.seed, self.draws)

    def _await_leader(self, now: float) -> None:
        self.deadline = now + ELECTION * (1 + self._chance())

    def _follow(self, now: float, term: int, leader: int | None) -> None:
        was = self.role, self.term, self.leader
        if term > self.term:
            self.term, self.vote, self.unsaved = term, None, True
        if self.role is Role.LEADER:
            self.acts += [Unreadable(number) for number, _, _ in self.reads]
            self._await_leader(now)
        self.role, self.leader = Role.FOLLOWER, leader
        self.reads, self.peers, self.votes, self.heir = [], {}, set(), None
        if was != (self.role, self.term, self.leader):
            self.acts.append(Became(self.role, self.term, leader))

    def _ask(self, now: float, before: bool, told: bool = False) -> None:
        self._await_leader(now)
        if self.me not in self.members.voters:
            return
        self.leader, self.votes = None, {self.me}
        if before:
            self.role = Role.ASKING
        else:
            self.role, self.term, self.vote, self.unsaved = Role.CANDIDATE, self.term + 1, self.me, True
            self.acts.append(Became(self.role, self.term, None))
        term = self.term + before
        self._save()
        for i in self.members.voters:
            if i != self.me:
                self._send(i, Ask(term, self.me, self.log.last, self.log.last_term, before, told))
        self._count_votes(now)

    def _asked(self, now: float, m: Ask) -> None:
        # Danger: a member that was cut off, or removed, comes back with a higher term and unseats a leader
        # that all the others hear.
        led = self.role is Role.LEADER or now - self.heard_at < ELECTION
        if led and not m.told and m.term > self.term:
            self._send(m.sender, Voted(self.term, self.me, False, m.before))
            return
        newer = (m.last_term, m.last) >= (self.log.last_term, self.log.last)
        if m.before:
            granted = newer and m.term > self.term
            self._send(m.sender, Voted(m.term if granted else self.term, self.me, granted, True))
            return
        if m.term > self.term:
            self._follow(now, m.term, None)
        granted = m.term == self.term and newer and self.vote in (None, m.sender)
        if granted and self.vote is None:
            self.vote, self.unsaved = m.sender, True
        if granted:
            self._await_leader(now)
        self._send(m.sender, Voted(self.term, self.me, granted, False))

    def _voted(self, now: float, m: Voted) -> None:
        wanted = Role.ASKING if m.before else Role.CANDIDATE
        if self.role is wanted and m.granted and m.term == self.term + m.before:
            self.votes.add(m.sender)
            self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if len(self.votes.intersection(self.members.voters)) < self.members.quorum:
            return
        if self.role is Role.ASKING:
            self._ask(now, before=False)
        elif self.role is Role.CANDIDATE:
            self.role, self.leader, self.heir = Role.LEADER, self.me, None
            self.peers = {i: Peer(self.log.last + 1, now) for i in self.members.all if i != self.me}
            self.reads = []
            self.acts.append(Became(self.role, self.term, self.me))
            # entries of older terms are committed by one of its own only (the paper's figure 8)
            self._add(Entry(self.term, Kind.NOTHING))
            self._beat(now)

    # ---- the leader

    def _add(self, entry: Entry) -> int:
        self.log.entries.append(entry)
        self.unsaved = True
        return self.log.last

    def _check_quorum(self, now: float) -> None:
        """Steps down where a quorum has not been heard for an election's time: another may lead by now."""
        heard = {self.me} | {i for i, p in self.peers.items() if now - p.heard_at < 2 * ELECTION}
        if len(heard.intersection(self.members.voters)) < self.members.quorum:
            self._follow(now, self.term, None)
        if self.heir is not None and now >= self.heir_until:
            self.heir = None

    def _beat(self, now: float) -> None:
        """A round: to every member what it lacks, or nothing but that this one leads."""
        self.beat_at = now + HEARTBEAT
        self.turn += 1
        for i, p in self.peers.items():
            p.sent = min(p.sent, p.match)  # what was sent before may be lost
            self._send_log(i, p, True)
        if self.heir is not None and self.peers[self.heir].match == self.log.last:
            self._send(self.heir, TakeOver(self.term, self.me))
        self._advance(now)

    def _spread(self, now: float) -> None:
        self._save()
        for i, p in self.peers.items():
            self._send_log(i, p, False)
        self._advance(now)

    def _send_log(self, i: int, p: Peer, at_all: bool) -> None:
        index = max(p.next - 1, p.sent)
        if p.next - 1 < self.log.snapshot.index:
            if at_all:
                self._send_snapshot(i, p)
            return
        if index - p.match > MOST_WINDOW or index > self.log.last:
            index = p.next - 1
        entries = self._batch(index)
        if entries or at_all:
            p.sent = index + len(entries)
            term = self.log.term(index)
            self._send(i, Append(self.term, self.me, index, term, entries, self.commit, self.turn))

    def _batch(self, index: int) -> tuple[Entry, ...]:
        # Danger: a frame longer than a follower takes would be sent again for ever.
        entries, size = self.log.after(index, MOST_ENTRIES), 0
        for k, entry in enumerate(entries):
            size += len(entry.data)
            if k and size > MOST_BYTES:
                return tuple(entries[:k])
        return tuple(entries)

    def _send_snapshot(self, i: int, p: Peer) -> None:
        s, offset = self.log.snapshot, p.offset or 0
        data = s.data[offset : offset + CHUNK]
        last = offset + len(data) >= len(s.data)
        self._send(i, Install(self.term, self.me, s.index, s.term, s.members, offset, data, last, self.turn))

    def _heard(self, now: float, sender: int, turn: int) -> Peer | None:
        p = self.peers.get(sender)
        if self.role is not Role.LEADER or p is None:
            return None
        p.heard_at, p.turn = now, max(p.turn, turn)
        self._answer_reads()
        return p

    def _appended(self, now: float, m: Appended) -> None:
        if (p := self._heard(now, m.sender, m.turn)) is None:
            return
        if m.ok:
            p.offset = None
            if m.index > self.log.last:
                return
            p.match, p.next = max(p.match, m.index), max(p.next, m.index + 1)
            self._advance(now)
            if p.match < self.log.last:
                self._send_log(m.sender, p, False)
            if self.heir == m.sender and p.match == self.log.last:
                self._send(m.sender, TakeOver(self.term, self.me))
        elif m.index < p.next:
            # go back to the last entry that can agree: of a term not past the follower's there
            p.next = max(self.log.last_up_to(m.index_term, min(m.index, self.log.last)), p.match) + 1
            p.sent = p.match
            self._send_log(m.sender, p, True)

    def _installed(self, now: float, m: Installed) -> None:
        p = self._heard(now, m.sender, m.turn)
        if p is None or m.index != self.log.snapshot.index:
            return
        if m.offset < 0:
            p.offset, p.match, p.next = None, max(p.match, m.index), max(p.next, m.index + 1)
            self._send_log(m.sender, p, True)
        elif m.offset > (p.offset or 0) or not m.offset:
            p.offset = m.offset
            if m.offset:
                self._send_snapshot(m.sender, p)

    def _advance(self, now: float) -> None:
        """Commits what a quorum has on disk, if it is of this term."""
        have = [self.durable if i == self.me else self.peers[i].match for i in self.members.voters]
        have.sort(reverse=True)
        index = have[self.members.quorum - 1] if have else 0
        if index > self.commit and self.log.term(index) == self.term:
            self._commit(now, index)
            self.beat_at = min(self.beat_at, now + HEARTBEAT / 4)  # the others learn of it soon

    def _commit(self, now: float, index: int) -> None:
        self.commit = index
        while self.applied < self.commit:
            self.applied += 1
            entry = self.log.entry(self.applied)
            self.acts.append(Apply(self.applied, entry))
        if self.role is Role.LEADER:
            self._answer_reads()
            # a leader that is no voter any more has seen that through, and goes
            if self.me not in self.members.voters and self.members_at <= self.commit:
                self._follow(now, self.term, None)

    def _answer_reads(self) -> None:
        left = []
        for number, index, turn in self.reads:
            heard = {self.me} | {i for i, p in self.peers.items() if p.turn >= turn}
            if len(heard.intersection(self.members.voters)) >= self.members.quorum and self.applied >= index:
                self.acts.append(Readable(number))
            else:
                left.append((number, index, turn))
        self.reads = left

    def _take_members(self, now: float) -> None:
        self.members, self.members_at = self.log.members()
        if self.role is Role.LEADER:
            new = {i: self.peers.get(i) or Peer(self.log.last, now) for i in self.members.all if i != self.me}
            self.peers = new
            if self.heir not in self.members.voters:
                # Danger: leadership on its way to one that has just been removed goes nowhere.
                self.heir = None

    # ---- the follower

    def _led(self, now: float, leader: int) -> None:
        if self.role is not Role.FOLLOWER or self.leader != leader:
            self._follow(now, self.term, leader)
        self.heard_at = now
        self._await_leader(now)

    def _append(self, now: float, m: Append) -> None:
        self._led(now, m.sender)
        first, entries = m.index, m.entries
        if first < self.log.snapshot.index:
            # what the snapshot covers is committed and alike at all
            entries, first = entries[self.log.snapshot.index - first :], self.log.snapshot.index
            if m.index + len(m.entries) < first:
                self._send(m.sender, Appended(self.term, self.me, True, first, 0, m.turn))
                return
        elif self.log.term(first) != m.index_term:
            at = min(first, self.log.last)
            at = max(self.log.last_up_to(m.index_term, at), self.log.snapshot.index)
            if at == first:
                at = max(self.log.first_of(self.log.term(first) or 0, first) - 1, self.log.snapshot.index)
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
        for k, entry in enumerate(entries):
            index = first + k + 1
            if index <= self.log.last:
                if self.log.term(index) == entry.term:
                    continue
                assert index > self.commit, "a committed entry would be replaced"
                self.log.cut(index)
                self.durable = min(self.durable, index - 1)
            self.first_unsaved = min(self.first_unsaved, index)
            self.log.entries.extend(entries[k:])
            self.unsaved = True
            break
        else:
            return
        self._take_members(now)

    def _install(self, now: float, m: Install) -> None:
        self._led(now, m.sender)
        if m.index <= self.commit:
            self._send(m.sender, Installed(self.term, self.me, m.index, -1, m.turn))
            return
        if self.incoming is None or self.incoming[:2] != (m.index, m.index_term):
            self.incoming = m.index, m.index_term, bytearray()
        data = self.incoming[2]
        if m.offset != len(data):
            self._send(m.sender, Installed(self.term, self.me, m.index, len(data), m.turn))
            return
        data += m.data
        if not m.last:
            self._send(m.sender, Installed(self.term, self.me, m.index, len(data), m.turn))
            return
        snapshot = Snapshot(m.index, m.index_term, m.members, bytes(data))
        self.incoming = None
        self.log.compact(snapshot)
        self.commit = self.applied = m.index
        self.durable = max(min(self.durable, self.log.last), m.index)
        self._take_members(now)
        self.acts.append(Save(self.term, self.vote, m.index + 1, tuple(self.log.entries), snapshot))
        self.unsaved, self.first_unsaved, self.durable = False, self.log.last + 1, self.log.last
        self.acts.append(Restore(snapshot))
        self._send(m.sender, Installed(self.term, self.me, m.index, -1, m.turn))

    # ---- writes and messages

    def _save(self) -> None:
        """Writes down what has changed, before what is said after this."""
        if not self.unsaved:
            return
        first = min(self.first_unsaved, self.log.last + 1)
        entries = tuple(self.log.after(first - 1, len(self.log.entries)))
        self.acts.append(Save(self.term, self.vote, first, entries))
        self.unsaved, self.first_unsaved = False, self.log.last + 1

    def _send(self, to: int, message: Message) -> None:
        # Danger: a vote or a confirmation that leaves before it is on disk is given twice after a crash.
        if not isinstance(message, Append | Install):
            self._save()
        self.acts.append(Send(to, message))

    def _done(self) -> list[Action]:
        self._save()
        acts, self.acts = self.acts, []
        return acts
