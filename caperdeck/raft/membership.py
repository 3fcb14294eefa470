"""Which change of members a leader takes: one voter at a time, as a learner first (dissertation, 4)."""

from __future__ import annotations

from .actions import Role
from .log import Members
from .state import RaftState

CATCH_UP = 16  # entries that a learner may lack when it becomes a voter


def reason_against(state: RaftState, members: Members) -> str | None:
    """Why these cannot be the members next; None where they can."""
    old, new = set(state.members.voters), set(members.voters)
    if state.role is not Role.LEADER:
        return "not-the-leader"
    if state.members_at > state.commit:
        return "another-change-is-under-way"
    # Danger: before an entry of its own term is committed, two changes of two leaders can be in force at
    # once with quorums that do not meet (the dissertation's erratum of 2015).
    if state.log.term(state.commit) != state.term:
        return "nothing-of-this-term-is-committed"
    if len(old ^ new) > 1:
        return "more-than-one-voter-changes"
    if not new or set(members.learners) & new or len(set(members.all)) < len(members.all):
        return "no-voters-or-a-member-twice"
    if not all(_has_caught_up(state, joined) for joined in new - old):
        return "a-learner-has-not-caught-up"
    return None


def _has_caught_up(state: RaftState, member: int) -> bool:
    progress = state.peers.get(member)
    if member not in state.members.learners or progress is None:
        return False
    return state.log.last - progress.match <= CATCH_UP
