"""Raft: one instance as a pure state machine. Events and time in; writes, messages, committed entries out.

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm" (USENIX ATC 2014), and
Ongaro, "Consensus: Bridging Theory and Practice" (Stanford 2014): 3 (elections, log, commitment), 3.10
(leadership transfer), 4 (members one at a time, learners), 5 (snapshots), 6.2 (check-quorum), 6.4
(ReadIndex), 9.6 (pre-vote). Times are float milliseconds on the instance's own clock.

Every event returns actions in order. A Save has to be durable before the actions after it are carried out;
the driver then calls `saved`. What rests on a write (votes, answers to appends, the leader's own share of a
quorum) therefore never leaves before it.

Here are the events. What they bring about is in `election`, `replication` (the leader) and `follower`, over
what `state` holds.
"""

from __future__ import annotations

from .actions import Action, Apply, Became, Readable, Restore, Role, Save, Send, Unreadable
from .election import Election
from .follower import Following
from .log import Entry, Kind, Members, Snapshot, encode_members
from .membership import reason_against
from .messages import Append, Appended, Ask, Install, Installed, Message, TakeOver, Voted
from .replication import Replication
from .state import ELECTION

__all__ = [
    "ELECTION", "Action", "Append", "Appended", "Apply", "Ask", "Became", "Install", "Installed", "Message",
    "Raft", "Readable", "Restore", "Role", "Save", "Send", "TakeOver", "Unreadable", "Voted",
]  # fmt: skip


class Raft(Election, Replication, Following):
    """One instance. `term`, `vote`, `log` are what its disk holds."""

    @property
    def due(self) -> float:
        """When the next tick is wanted."""
        return self.heartbeat_at if self.role is Role.LEADER else self.deadline

    def tick(self, now: float) -> list[Action]:
        if self.role is Role.LEADER:
            if now >= self.heartbeat_at:
                self._check_quorum(now)
            if self.role is Role.LEADER and now >= self.heartbeat_at:
                self._heartbeat(now)
        elif now >= self.deadline:
            self._campaign(now, before=True)
        return self._done()

    # ---- messages

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
                    self._campaign(now, before=False, transfer=True)

    def _outdated(self, m: Message) -> None:
        # Danger: a leader that was cut off goes on leading, as nobody tells it of the newer term.
        if isinstance(m, Append):
            self._send(m.sender, Appended(self.term, self.me, False, 0, 0, 0))
        elif isinstance(m, Install):
            self._send(m.sender, Installed(self.term, self.me, 0, 0, 0))

    # ---- the disk

    def saved(self, now: float, last: int, term: int) -> list[Action]:
        """The log is on disk up to that index, whose entry is of that term."""
        # Danger: the entry may have been replaced since; what is on disk there is another one's.
        if self.log.term(last) == term:
            self.durable = max(self.durable, last)
        if self.role is Role.LEADER:
            self._advance(now)
        return self._done()

    def compact(self, snapshot: Snapshot) -> list[Action]:
        """The state up to an applied index was written down: the log before it is dropped."""
        self._save()
        if self.log.snapshot.index < snapshot.index <= self.applied:
            self.log.compact(snapshot)
            self.acts.append(Save(self.term, self.vote, self.log.last + 1, (), snapshot))
        return self._done()

    # ---- requests

    def propose(
        self, now: float, data: bytes, client: int = 0, serial: int = 0,
    ) -> tuple[int | None, list[Action]]:  # fmt: skip
        """The index that the command has if it is committed in this term; None if it is not taken."""
        if self.role is not Role.LEADER or self.transferee is not None:
            return None, []
        index = self._add(Entry(self.term, Kind.COMMAND, data, client, serial))
        self._replicate(now)
        return index, self._done()

    def change(self, now: float, members: Members) -> tuple[str | None, list[Action]]:
        """Other members; the reason if it is not taken. One voter at a time, as a learner first."""
        reason = reason_against(self, members)
        if reason is None:
            self._add(Entry(self.term, Kind.MEMBERS, encode_members(members)))
            self._take_members(now)
            self._replicate(now)
        return reason, self._done()

    def read(self, now: float, number: int) -> list[Action]:
        """A linearizable read: Readable or Unreadable follows with its number."""
        own = self.log.term(self.commit) == self.term
        if self.role is not Role.LEADER or not own or self.reads.full:
            self.acts.append(Unreadable(number))
        else:
            self.reads.add(number, self.commit, self.turn + 1)
            self._heartbeat(now)
            self._answer_reads()
        return self._done()

    def transfer(self, now: float, to: int) -> str | None:
        """Begins to hand leadership over; the reason if it cannot. The next tick goes on with it."""
        if self.role is not Role.LEADER:
            return "not-the-leader"
        if to not in self.members.voters or to == self.me:
            return "not-another-voter"
        self.transferee, self.transfer_until = to, now + ELECTION
        self.heartbeat_at = now
        return None
