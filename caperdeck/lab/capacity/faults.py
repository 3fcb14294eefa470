"""What each kind of fault costs at the target."""

from __future__ import annotations

import msgspec

from .figure import Figure, figure
from .fleet import Fleet
from .load import DAY, YEAR, busy, crowd_seconds, process_memory, set_up_cost
from .roles.reconnect import crowd_of

DAYS_A_YEAR = YEAR / DAY


class Fault(msgspec.Struct, frozen=True):
    """One kind of fault, each time that it comes."""

    name: str
    a_year: Figure  # times
    back: Figure  # connections that come back, over the fleet
    crowd: Figure  # of these, at one of the processes that take them
    rate: Figure  # the crowd a second
    core_seconds: Figure  # at one process, busy machine, for the crowd
    until_served: Figure  # seconds, beside the steady load
    memory: Figure  # bytes of one machine that takes them, at the peak
    lists: Figure  # files of nodes that have to change
    found_by: str  # who finds it out
    found_after: Figure  # seconds


def faults(fleet: Fleet) -> tuple[Fault, ...]:
    given = fleet.target.faults
    return (
        _lost(fleet, "a machine fails", given.machines_failing_a_day * DAYS_A_YEAR, figure(1)),
        _lost(
            fleet,
            "a machine is restarted or replaced",
            given.machines_replaced_a_day * DAYS_A_YEAR,
            figure(1),
        ),
        _lost(fleet, "a rack or a switch", given.racks_a_year, fleet.assumed("rack_machines")),
        _lost(fleet, "a zone", given.zones_a_year, figure(fleet.zone_machines)),
        _region_cut(fleet),
    )


def _lost(fleet: Fleet, name: str, a_year: float, machines: Figure) -> Fault:
    """Machines that go: their clients find it out at once, and are shared out over all that are left."""
    left = fleet.members - machines * fleet.processes
    crowd = crowd_of(fleet, machines)
    return _fault(
        fleet,
        name,
        a_year,
        crowd * left,
        crowd,
        machines,
        left,
        "its clients by themselves, other nodes by membership",
        fleet.lines.at("peers.death", fleet.members),
    )


def _region_cut(fleet: Fleet) -> Fault:
    """All nodes live on; what had its host across comes back at the own region, at the nodes it had."""
    back = fleet.assumed("cross_region_part") * fleet.target.fleet.connections
    return _fault(
        fleet,
        "regions lose each other",
        fleet.target.faults.region_cuts_a_year,
        back,
        back / fleet.members,
        figure(0),
        figure(0),
        "both sides hold each other dead, by membership",
        fleet.lines.at("peers.death", fleet.members),
    )


def _fault(
    fleet: Fleet,
    name: str,
    a_year: float,
    back: Figure,
    crowd: Figure,
    machines: Figure,
    lists: Figure,
    found_by: str,
    found_after: Figure,
) -> Fault:
    load = fleet.load(machines)
    return Fault(
        name,
        figure(a_year),
        back,
        crowd,
        crowd / fleet.assumed("return_span"),
        busy(fleet.target, set_up_cost(fleet.target, fleet.lines, crowd) * crowd),
        crowd_seconds(fleet.target, fleet.lines, load, crowd),
        process_memory(fleet.target, fleet.lines, load.connections) * fleet.processes,
        lists,
        found_by,
        found_after,
    )
