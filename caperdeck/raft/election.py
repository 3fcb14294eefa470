"""Leader election: pre-votes, votes and their count (dissertation, 3.4 and 9.6)."""

from __future__ import annotations

from .actions import Role, RoleChanged
from .messages import VoteRequest, VoteResponse
from .state import ELECTION_TIMEOUT_MS, RaftState


class Election(RaftState):
    """Candidates, and voters that answer them."""

    def _campaign(self, now: float, pre_vote: bool, leadership_transfer: bool = False) -> None:
        """Requests a vote, or a pre-vote, from all voters."""
        self._reset_election_timer(now)
        if self.me not in self.members.voters:
            return
        self.leader, self.votes = None, {self.me}
        if pre_vote:
            self.role = Role.ASKING
        else:
            self.role, self.term, self.voted_for, self.unsaved = Role.CANDIDATE, self.term + 1, self.me, True
            self.actions.append(RoleChanged(self.role, self.term, None))
        term = self.term + pre_vote
        self._save()
        for member in self.members.voters:
            if member != self.me:
                self._send(
                    member,
                    VoteRequest(
                        term, self.me, self.log.last_index, self.log.last_term, pre_vote, leadership_transfer
                    ),
                )
        self._count_votes(now)

    def _on_vote_request(self, now: float, message: VoteRequest) -> None:
        # Without this check a member that was partitioned or removed returns with a higher term and unseats
        # a leader that all others can hear.
        has_leader = self.role is Role.LEADER or now - self.leader_heard_at < ELECTION_TIMEOUT_MS
        if has_leader and not message.leadership_transfer and message.term > self.term:
            self._send(message.sender, VoteResponse(self.term, self.me, False, message.pre_vote))
        elif message.pre_vote:
            granted = self._is_log_up_to_date(message) and message.term > self.term
            self._send(
                message.sender, VoteResponse(message.term if granted else self.term, self.me, granted, True)
            )
        else:
            self._decide_vote(now, message)

    def _is_log_up_to_date(self, message: VoteRequest) -> bool:
        """Whether the candidate's log is at least as up-to-date as this instance's (the paper's 5.4.1)."""
        return (message.last_log_term, message.last_log_index) >= (self.log.last_term, self.log.last_index)

    def _decide_vote(self, now: float, message: VoteRequest) -> None:
        if message.term > self.term:
            self._become_follower(now, message.term, None)
        granted = (
            message.term == self.term
            and self._is_log_up_to_date(message)
            and self.voted_for in (None, message.sender)
        )
        if granted and self.voted_for is None:
            self.voted_for, self.unsaved = message.sender, True
        if granted:
            self._reset_election_timer(now)
        self._send(message.sender, VoteResponse(self.term, self.me, granted, False))

    def _on_vote_response(self, now: float, message: VoteResponse) -> None:
        expected_role = Role.ASKING if message.pre_vote else Role.CANDIDATE
        if self.role is expected_role and message.granted and message.term == self.term + message.pre_vote:
            self.votes.add(message.sender)
            self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        if not self.members.has_quorum(self.votes):
            return
        if self.role is Role.ASKING:
            self._campaign(now, pre_vote=False)
        elif self.role is Role.CANDIDATE:
            self._become_leader(now)
