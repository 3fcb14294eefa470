"""The client's reconnect: many clients that lost their connections at once and return."""

from __future__ import annotations

from ..figure import Figure, figure, total
from ..fleet import Fleet
from ..load import (
    SECONDS_PER_DAY,
    SECONDS_PER_YEAR,
    on_busy_machine,
    seconds_to_reconnect,
    setup_cost,
    utilisation,
)
from ..needs import Need
from ..row import Kind, Role, Row, make_row


def role(fleet: Fleet) -> Role:
    load = fleet.load()
    cost = on_busy_machine(fleet.target, setup_cost(fleet.target, fleet.lines, load.connections))
    return Role(
        "Client's reconnect",
        (
            make_row(Need.RETURN, Kind.PROCESSOR, "one connection taken up, busy machine", "s", cost),
            make_row(
                Need.RETURN,
                Kind.PROCESSOR,
                "the connections of one machine, a core's time, quiet machine",
                "s",
                setup_cost(fleet.target, fleet.lines, load.connections) * load.connections * fleet.processes,
            ),
            *_after_loss(fleet, "a machine", 1),
            *_after_loss(fleet, "a rack", fleet.assumed("rack_machines")),
            *_after_loss(fleet, "a zone", fleet.machines_per_zone),
            make_row(
                Need.RETURN,
                Kind.TIME,
                "time in which a process takes up crowds, and deliveries wait, part of all",
                "",
                _reconnect_time_share(fleet),
                1 - fleet.target.deliveries.part_within,
            ),
        ),
    )


def _reconnect_time_share(fleet: Fleet) -> Figure:
    """Share of the time that one process spends on clients of lost machines, racks and zones."""
    faults = fleet.target.faults
    machines_a_day = faults.machines_failing_a_day + faults.machines_replaced_a_day
    losses_per_year = (
        (machines_a_day * SECONDS_PER_YEAR / SECONDS_PER_DAY, figure(1)),
        (faults.racks_a_year, fleet.assumed("rack_machines")),
        (faults.zones_a_year, figure(fleet.machines_per_zone)),
    )
    return total(
        seconds_to_reconnect(fleet.target, fleet.lines, fleet.load(lost), reconnects_per_process(fleet, lost))
        * count
        / SECONDS_PER_YEAR
        for count, lost in losses_per_year
    )


def reconnects_per_process(fleet: Fleet, machines_lost: Figure | float) -> Figure:
    """Connections that return to one of the remaining processes."""
    return fleet.load(machines_lost).connections - fleet.load().connections


def _after_loss(fleet: Fleet, name: str, machines_lost: Figure | float) -> list[Row]:
    load, reconnects = fleet.load(machines_lost), reconnects_per_process(fleet, machines_lost)
    idle_share = 1 - utilisation(fleet.target, fleet.lines, load)
    max_rate = idle_share / on_busy_machine(fleet.target, setup_cost(fleet.target, fleet.lines, reconnects))
    return [
        make_row(
            Need.RETURN,
            Kind.MESSAGES,
            f"after {name}: connections a second at one process",
            "/s",
            reconnects / fleet.assumed("return_span"),
            max_rate,
            "bound: what it can take up beside its load",
        ),
        make_row(
            Need.RETURN,
            Kind.TIME,
            f"after {name}: until all are served again",
            "s",
            seconds_to_reconnect(fleet.target, fleet.lines, load, reconnects),
            fleet.assumed("back_within"),
        ),
    ]
