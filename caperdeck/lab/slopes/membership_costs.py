"""Costs and times of membership at one number of members; each call runs a simulation of its own."""

from __future__ import annotations

from statistics import median
from typing import NamedTuple

from caperdeck.peers.codec import MemberState

from .membership_fleet import SECOND_MS, Fleet
from .object_size import object_bytes

SEED = 20  # of the simulated fleets
KNOWN_SHARE = 0.9  # of the members that have to know, and that have to be known
CUT_SHARE = 2 / 5  # of the members are separated from the others by a cut
CUT_MS = 60 * SECOND_MS
AFTER_CUT_MS = 20 * SECOND_MS  # the share of false deaths can still rise after the cut has healed
CUT_CHECK_INTERVAL_MS = 2 * SECOND_MS
SETTLE_MS = 10 * SECOND_MS  # run before the measurement of a fleet that starts with complete tables
KILLED_MEMBERS = 3  # members killed at one moment, whose median detection time is taken


class SteadyCost(NamedTuple):
    """Costs for each member and second while no member starts or fails."""

    bytes: float
    messages: float
    cpu: float  # seconds
    state: int  # bytes of memory of one member's state


def steady_cost(members: int, span_ms: float) -> SteadyCost:
    """Measures the cost for each member and second while no member starts or fails."""
    fleet = Fleet(members, SEED, warm=True)
    fleet.run(SETTLE_MS)
    fleet.bytes = fleet.messages = fleet.spent_ns = 0
    fleet.run(span_ms)
    seconds = members * span_ms / SECOND_MS
    state = object_bytes(fleet.members[0])
    return SteadyCost(fleet.bytes / seconds, fleet.messages / seconds, fleet.spent_ns / 1e9 / seconds, state)


def convergence_time(members: int) -> float:
    """Seconds from a simultaneous start until nine in ten members know nine in ten as alive."""
    fleet = Fleet(members, SEED, warm=False)
    required = KNOWN_SHARE * members

    def has_converged() -> bool:
        return sum(swim.state.count(MemberState.ALIVE) >= required for swim in fleet.members) >= required

    return fleet.wait_for(has_converged) / SECOND_MS


def detection_time(members: int) -> float:
    """Median seconds from a kill until nine in ten of the living members consider the victim silent."""
    fleet = Fleet(members, SEED, warm=True)
    fleet.run(SETTLE_MS)
    victims = range(KILLED_MEMBERS)
    fleet.killed.update(victims)
    killed_at = fleet.now
    required = KNOWN_SHARE * len(fleet.alive)
    detected_after: dict[int, float] = {}

    def all_detected() -> bool:
        for victim in victims:
            if victim in detected_after:
                continue
            if sum(swim.state[victim] is MemberState.SILENT for swim in fleet.alive) >= required:
                detected_after[victim] = fleet.now - killed_at
        return len(detected_after) == len(victims)

    fleet.wait_for(all_detected)
    return median(detected_after.values()) / SECOND_MS


def false_death_share(members: int) -> float:
    """The highest `silent_share_across` a cut, during the cut and shortly after it has healed."""
    fleet = Fleet(members, SEED, warm=True)
    fleet.run(SETTLE_MS)
    cut_off = round(CUT_SHARE * members)
    fleet.cut_below = cut_off
    highest = 0.0
    for step in range(int((CUT_MS + AFTER_CUT_MS) / CUT_CHECK_INTERVAL_MS)):
        if step * CUT_CHECK_INTERVAL_MS >= CUT_MS:
            fleet.cut_below = 0
        fleet.run(CUT_CHECK_INTERVAL_MS)
        highest = max(highest, silent_share_across(fleet, cut_off))
    return highest


def silent_share_across(fleet: Fleet, cut_off: int) -> float:
    """Share of ordered pairs across the cut in which the first member considers the second silent."""
    members = len(fleet.members)
    silent = sum(swim.state[cut_off:].count(MemberState.SILENT) for swim in fleet.members[:cut_off])
    silent += sum(swim.state[:cut_off].count(MemberState.SILENT) for swim in fleet.members[cut_off:])
    return silent / (2 * cut_off * (members - cut_off))
