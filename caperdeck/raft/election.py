"""Elections: pre-votes, votes and their count (dissertation, 3.4 and 9.6)."""

from __future__ import annotations

from .actions import Became, Role
from .messages import Ask, Voted
from .state import ELECTION, RaftState


class Election(RaftState):
    """The candidate, and whoever is asked for a vote."""

    def _campaign(self, now: float, before: bool, transfer: bool = False) -> None:
        """Asks all voters, for a pre-vote where `before`; with `transfer` at the leader's word."""
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
                self._send(i, Ask(term, self.me, self.log.last, self.log.last_term, before, transfer))
        self._count_votes(now)

    def _asked(self, now: float, m: Ask) -> None:
        # Danger: a member that was cut off, or removed, comes back with a higher term and unseats a leader
        # that all the others hear.
        led = self.role is Role.LEADER or now - self.heard_at < ELECTION
        if led and not m.transfer and m.term > self.term:
            self._send(m.sender, Voted(self.term, self.me, False, m.before))
        elif m.before:
            granted = self._as_new_as_own(m) and m.term > self.term
            self._send(m.sender, Voted(m.term if granted else self.term, self.me, granted, True))
        else:
            self._vote(now, m)

    def _as_new_as_own(self, m: Ask) -> bool:
        return (m.last_term, m.last) >= (self.log.last_term, self.log.last)

    def _vote(self, now: float, m: Ask) -> None:
        if m.term > self.term:
            self._follow(now, m.term, None)
        granted = m.term == self.term and self._as_new_as_own(m) and self.vote in (None, m.sender)
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
        if not self.members.has_quorum(self.votes):
            return
        if self.role is Role.ASKING:
            self._campaign(now, before=False)
        elif self.role is Role.CANDIDATE:
            self._lead(now)
