"""The client's reconnect: crowds that lost their connections and come back."""

from __future__ import annotations

from ..figure import Figure, figure, total
from ..fleet import Fleet
from ..load import DAY, YEAR, busy, crowd_seconds, set_up_cost, utilisation
from ..needs import Need
from ..row import Kind, Role, Row, row


def role(fleet: Fleet) -> Role:
    load = fleet.load()
    cost = busy(fleet.target, set_up_cost(fleet.target, fleet.lines, load.connections))
    return Role(
        "Client's reconnect",
        (
            row(Need.RETURN, Kind.PROCESSOR, "one connection taken up, busy machine", "s", cost),
            row(
                Need.RETURN,
                Kind.PROCESSOR,
                "the connections of one machine, a core's time, quiet machine",
                "s",
                set_up_cost(fleet.target, fleet.lines, load.connections) * load.connections * fleet.processes,
            ),
            *_crowd(fleet, "a machine", 1),
            *_crowd(fleet, "a rack", fleet.assumed("rack_machines")),
            *_crowd(fleet, "a zone", fleet.zone_machines),
            row(
                Need.RETURN,
                Kind.TIME,
                "time in which a process takes up crowds, and deliveries wait, part of all",
                "",
                _busy_with_crowds(fleet),
                1 - fleet.target.deliveries.part_within,
            ),
        ),
    )


def _busy_with_crowds(fleet: Fleet) -> Figure:
    """Part of the time that one process spends on the crowds of machines, racks and zones that go."""
    faults = fleet.target.faults
    machines_a_day = faults.machines_failing_a_day + faults.machines_replaced_a_day
    a_year = (
        (machines_a_day * YEAR / DAY, figure(1)),
        (faults.racks_a_year, fleet.assumed("rack_machines")),
        (faults.zones_a_year, figure(fleet.zone_machines)),
    )
    return total(
        crowd_seconds(fleet.target, fleet.lines, fleet.load(lost), crowd_of(fleet, lost)) * times / YEAR
        for times, lost in a_year
    )


def crowd_of(fleet: Fleet, machines_lost: Figure | float) -> Figure:
    """Connections that come back at one of the processes that are left."""
    return fleet.load(machines_lost).connections - fleet.load().connections


def _crowd(fleet: Fleet, name: str, machines_lost: Figure | float) -> list[Row]:
    load, crowd = fleet.load(machines_lost), crowd_of(fleet, machines_lost)
    left = 1 - utilisation(fleet.target, fleet.lines, load)
    taken = left / busy(fleet.target, set_up_cost(fleet.target, fleet.lines, crowd))
    return [
        row(
            Need.RETURN,
            Kind.MESSAGES,
            f"after {name}: connections a second at one process",
            "/s",
            crowd / fleet.assumed("return_span"),
            taken,
            "bound: what it can take up beside its load",
        ),
        row(
            Need.RETURN,
            Kind.TIME,
            f"after {name}: until all are served again",
            "s",
            crowd_seconds(fleet.target, fleet.lines, load, crowd),
            fleet.assumed("back_within"),
        ),
    ]
