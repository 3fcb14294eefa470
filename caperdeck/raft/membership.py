"""Rules for membership changes: one voter at a time, which joins as a learner first (dissertation, 4)."""

from __future__ import annotations

from .actions import Role
from .log import Members
from .state import RaftState

MAX_LEARNER_LAG_ENTRIES = 16  # entries that a learner may lack when it becomes a voter


def rejection_reason(state: RaftState, members: Members) -> str | None:
    """Why the leader rejects this change of members; None if it is allowed."""
    old, new = set(state.members.voters), set(members.voters)
    if state.role is not Role.LEADER:
        return "not-the-leader"
    if state.members_index > state.commit_index:
        return "another-change-is-under-way"
    # Before the leader has committed an entry of its own term, changes by two leaders can be active at once,
    # with quorums that do not intersect (the dissertation's erratum of 2015).
    if state.log.term_at(state.commit_index) != state.term:
        return "nothing-of-this-term-is-committed"
    if len(old ^ new) > 1:
        return "more-than-one-voter-changes"
    if not new or set(members.learners) & new or len(set(members.all)) < len(members.all):
        return "no-voters-or-a-member-twice"
    if not all(_has_caught_up(state, member) for member in new - old):
        return "a-learner-has-not-caught-up"
    return None


def _has_caught_up(state: RaftState, member: int) -> bool:
    progress = state.peers.get(member)
    if member not in state.members.learners or progress is None:
        return False
    return state.log.last_index - progress.match_index <= MAX_LEARNER_LAG_ENTRIES
