"""Costs and times of membership at one number of members; each run is a simulation of its own."""

from __future__ import annotations

from statistics import median
from typing import NamedTuple

from caperdeck.peers.codec import MemberState

from .membership_fleet import SECOND, Fleet
from .object_size import object_bytes

SEED = 20  # of the simulated fleets
NINE_IN_TEN = 0.9
REGION = 2 / 5  # of the members, which a cut separates from the others
CUT = 60 * SECOND
AFTER_CUT = 20 * SECOND  # the share of false deaths may still rise
CUT_CHECK_EVERY = 2 * SECOND  # between two counts of who is held dead
SETTLE = 10 * SECOND  # of a known fleet before anything is measured
KILLED = 3  # members killed at one moment, whose median is taken


class Steady(NamedTuple):
    """A second and member, while nothing happens; and the bytes of memory of one member."""

    bytes: float
    messages: float
    cpu: float  # seconds
    state: int


def steady(members: int, span: float) -> Steady:
    fleet = Fleet(members, SEED, warm=True)
    fleet.run(SETTLE)
    fleet.bytes = fleet.messages = fleet.spent = 0
    fleet.run(span)
    seconds = members * span / SECOND
    state = object_bytes(fleet.members[0])
    return Steady(fleet.bytes / seconds, fleet.messages / seconds, fleet.spent / 1e9 / seconds, state)


def known(members: int) -> float:
    """Seconds from a start of all at once until nine in ten know nine in ten."""
    fleet = Fleet(members, SEED, warm=False)
    enough = NINE_IN_TEN * members

    def all_known() -> bool:
        return sum(swim.state.count(MemberState.ALIVE) >= enough for swim in fleet.members) >= enough

    return fleet.wait_for(all_known) / SECOND


def death(members: int) -> float:
    """Seconds from a kill until nine in ten of the living hold the killed member silent; a median."""
    fleet = Fleet(members, SEED, warm=True)
    fleet.run(SETTLE)
    victims = range(KILLED)
    fleet.killed.update(victims)
    killed_at = fleet.now
    enough = NINE_IN_TEN * len(fleet.living)
    found: dict[int, float] = {}

    def all_found() -> bool:
        for victim in victims:
            if victim in found:
                continue
            if sum(swim.state[victim] is MemberState.SILENT for swim in fleet.living) >= enough:
                found[victim] = fleet.now - killed_at
        return len(found) == len(victims)

    fleet.wait_for(all_found)
    return median(found.values()) / SECOND


def false_deaths(members: int) -> float:
    """The highest share of pairs across a cut, in and after it, in which one holds the other silent."""
    fleet = Fleet(members, SEED, warm=True)
    fleet.run(SETTLE)
    region = round(REGION * members)
    fleet.region = region
    highest = 0.0
    for step in range(int((CUT + AFTER_CUT) / CUT_CHECK_EVERY)):
        if step * CUT_CHECK_EVERY >= CUT:
            fleet.region = 0
        fleet.run(CUT_CHECK_EVERY)
        highest = max(highest, held_silent_across(fleet, region))
    return highest


def held_silent_across(fleet: Fleet, region: int) -> float:
    members = len(fleet.members)
    silent = sum(swim.state[region:].count(MemberState.SILENT) for swim in fleet.members[:region])
    silent += sum(swim.state[:region].count(MemberState.SILENT) for swim in fleet.members[region:])
    return silent / (2 * region * (members - region))
