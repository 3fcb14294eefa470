"""The cost of each kind of fault at the target size."""

from __future__ import annotations

import msgspec
from msgspec import field

from .figure import Figure, figure
from .fleet import Fleet
from .load import (
    SECONDS_PER_DAY,
    SECONDS_PER_YEAR,
    on_busy_machine,
    process_memory,
    seconds_to_reconnect,
    setup_cost,
)
from .roles.reconnect import reconnects_per_process

DAYS_PER_YEAR = SECONDS_PER_YEAR / SECONDS_PER_DAY


class Fault(msgspec.Struct, frozen=True):
    """One kind of fault, with the costs of one occurrence."""

    name: str
    per_year: Figure = field(name="a_year")  # occurrences
    returning_connections: Figure = field(name="back")  # over the whole fleet
    returning_per_process: Figure = field(name="crowd")  # at one of the processes that accept them
    returning_per_s: Figure = field(name="rate")  # at that process
    core_seconds: Figure  # to accept them at that process on a busy machine
    seconds_until_served: Figure = field(name="until_served")  # while the steady load goes on
    memory_bytes: Figure = field(name="memory")  # peak of a machine that accepts them
    files_to_change: Figure = field(name="lists")  # configuration files of nodes
    detected_by: str = field(name="found_by")
    detected_after_s: Figure = field(name="found_after")


def faults(fleet: Fleet) -> tuple[Fault, ...]:
    """All kinds of faults that the target names."""
    target = fleet.target.faults
    return (
        _machines_lost(fleet, "a machine fails", target.machines_failing_a_day * DAYS_PER_YEAR, figure(1)),
        _machines_lost(
            fleet,
            "a machine is restarted or replaced",
            target.machines_replaced_a_day * DAYS_PER_YEAR,
            figure(1),
        ),
        _machines_lost(fleet, "a rack or a switch", target.racks_a_year, fleet.assumed("rack_machines")),
        _machines_lost(fleet, "a zone", target.zones_a_year, figure(fleet.machines_per_zone)),
        _region_cut(fleet),
    )


def _machines_lost(fleet: Fleet, name: str, per_year: float, machines: Figure) -> Fault:
    """Machines are lost: their clients notice it at once and spread over all remaining processes."""
    remaining = fleet.members - machines * fleet.processes
    reconnects = reconnects_per_process(fleet, machines)
    return _fault(
        fleet,
        name,
        per_year,
        reconnects * remaining,
        reconnects,
        machines,
        remaining,
        "its clients by themselves, other nodes by membership",
        fleet.lines.at("peers.death", fleet.members),
    )


def _region_cut(fleet: Fleet) -> Fault:
    """Two regions are partitioned from each other while all nodes stay alive.

    Connections with a host in the other region reconnect to their node, which places them in its own region.
    """
    returning = fleet.assumed("cross_region_part") * fleet.target.fleet.connections
    return _fault(
        fleet,
        "regions lose each other",
        fleet.target.faults.region_cuts_a_year,
        returning,
        returning / fleet.members,
        figure(0),
        figure(0),
        "both sides hold each other dead, by membership",
        fleet.lines.at("peers.death", fleet.members),
    )


def _fault(
    fleet: Fleet,
    name: str,
    per_year: float,
    returning: Figure,
    reconnects: Figure,
    machines: Figure,
    files_to_change: Figure,
    detected_by: str,
    detected_after_s: Figure,
) -> Fault:
    load = fleet.load(machines)
    return Fault(
        name,
        figure(per_year),
        returning,
        reconnects,
        reconnects / fleet.assumed("return_span"),
        on_busy_machine(fleet.target, setup_cost(fleet.target, fleet.lines, reconnects) * reconnects),
        seconds_to_reconnect(fleet.target, fleet.lines, load, reconnects),
        process_memory(fleet.target, fleet.lines, load.connections) * fleet.processes,
        files_to_change,
        detected_by,
        detected_after_s,
    )
