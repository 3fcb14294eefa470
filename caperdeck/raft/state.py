"""What one instance of Raft holds, and the order in which it is written down and messages leave."""

from __future__ import annotations

import math

from caperdeck.core.seeded_random import chance

from .actions import Action, Apply, Became, Role, Save, Send, Unreadable
from .log import Entry, Log
from .messages import Append, Install, Message
from .progress import Progress
from .read_index import ReadIndex

ELECTION = 300.0  # milliseconds: the least time without a leader; drawn up to twice this


class RaftState:
    """`term`, `vote`, `log` are what its disk holds. Elections, the leader and the follower build on it."""

    def __init__(self, me: int, term: int, vote: int | None, log: Log, seed: int, now: float) -> None:
        self.me, self.seed, self.draws = me, seed, 0
        self.term, self.vote, self.log = term, vote, log
        self.role, self.leader = Role.FOLLOWER, None
        self.members, self.members_at = log.members()
        self.commit = self.applied = log.snapshot.index
        self.durable = log.last  # entries up to here are on disk
        self.heard_at = -math.inf  # when a leader was last heard
        self.votes: set[int] = set()
        self.peers: dict[int, Progress] = {}
        self.turn = 0  # the leader's count of its rounds
        self.reads = ReadIndex()
        self.transferee: int | None = None  # whom leadership goes to
        self.transfer_until = 0.0
        self.heartbeat_at = 0.0
        self.unsaved = False  # term, vote or log have changed since the last Save
        self.first_unsaved = log.last + 1
        self.acts: list[Action] = []
        self._await_leader(now)

    # ---- roles

    def _await_leader(self, now: float) -> None:
        self.draws += 1
        self.deadline = now + ELECTION * (1 + chance(self.seed, self.draws))

    def _follow(self, now: float, term: int, leader: int | None) -> None:
        """Is a follower from now on, in that term if it is newer."""
        was = self.role, self.term, self.leader
        if term > self.term:
            self.term, self.vote, self.unsaved = term, None, True
        if self.role is Role.LEADER:
            self.acts += [Unreadable(number) for number in self.reads.take_all()]
            self._await_leader(now)
        self.role, self.leader = Role.FOLLOWER, leader
        self.peers, self.votes, self.transferee = {}, set(), None
        if was != (self.role, self.term, self.leader):
            self.acts.append(Became(self.role, self.term, leader))

    def _lead(self, now: float) -> None:
        """Is the leader of its term from now on."""
        raise NotImplementedError

    # ---- the log

    def _add(self, entry: Entry) -> int:
        self.log.entries.append(entry)
        self.unsaved = True
        return self.log.last

    def _commit(self, now: float, index: int) -> None:
        self.commit = index
        while self.applied < self.commit:
            self.applied += 1
            self.acts.append(Apply(self.applied, self.log.entry(self.applied)))

    def _take_members(self, now: float) -> None:
        """The members are those of the log's latest entry of them, committed or not."""
        self.members, self.members_at = self.log.members()

    # ---- writes and messages

    def _save(self) -> None:
        """Writes down what has changed, before what is said after this."""
        if not self.unsaved:
            return
        first = min(self.first_unsaved, self.log.last + 1)
        entries = tuple(self.log.after(first - 1, len(self.log.entries)))
        self.acts.append(Save(self.term, self.vote, first, entries))
        self._all_saved()

    def _all_saved(self) -> None:
        self.unsaved, self.first_unsaved = False, self.log.last + 1

    def _send(self, to: int, message: Message) -> None:
        # Danger: a vote or a confirmation that leaves before it is on disk is given twice after a crash.
        if not isinstance(message, Append | Install):
            self._save()
        self.acts.append(Send(to, message))

    def _done(self) -> list[Action]:
        """The actions of an event."""
        self._save()
        acts, self.acts = self.acts, []
        return acts
