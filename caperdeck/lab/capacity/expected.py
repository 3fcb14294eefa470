"""Costs that were expected before the slopes were measured, beside the costs computed from the slopes."""

from __future__ import annotations

import msgspec

from .figure import Figure, figure
from .fleet import Fleet
from .lines import line_cost
from .load import on_busy_machine, setup_cost


class Expectation(msgspec.Struct, frozen=True):
    """One expected cost and the cost that the measurements give."""

    what: str
    unit: str
    expected: float
    found: Figure


def expectations(fleet: Fleet) -> tuple[Expectation, ...]:
    """All comparisons; the expected costs are from earlier runs that measured the relay of lines alone."""
    target, lines = fleet.target, fleet.lines
    rate = target.deliveries.per_second / target.fleet.machines
    connections = target.fleet.connections / target.fleet.machines
    line = line_cost(lines, target.assumed, rate)
    setups = setup_cost(target, lines, connections) * connections
    zones = target.fleet.zones
    return (
        Expectation("a line, quiet machine, processor", "s", 25e-6, line),
        Expectation("a line, busy machine, processor", "s", 47e-6, on_busy_machine(target, line)),
        Expectation("deliveries of a machine in one reactor, quiet", "", 0.6, line * rate),
        Expectation("the same, busy", "", 1.1, on_busy_machine(target, line) * rate),
        Expectation("load of a machine with a zone lost, times", "", 1.25, figure(zones / (zones - 1))),
        Expectation("a machine's connections that come back, processor", "s", 15.0, setups),
        *(
            Expectation(
                f"{members} members know nine in ten of one another after",
                "s",
                seconds,
                lines.at("peers.known", members),
            )
            for members, seconds in ((100, 50.0), (200, 90.0), (400, 170.0), (730, 310.0))
        ),
    )
