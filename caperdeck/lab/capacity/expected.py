"""What was expected before the lines were measured, beside what they say."""

from __future__ import annotations

import msgspec

from .figure import Figure, figure
from .fleet import Fleet
from .lines import line_cost
from .load import busy, set_up_cost


class Expectation(msgspec.Struct, frozen=True):
    what: str
    unit: str
    expected: float
    found: Figure


def expectations(fleet: Fleet) -> tuple[Expectation, ...]:
    """The expected figures are of earlier runs, in which nothing but the line alone was measured."""
    target, lines = fleet.target, fleet.lines
    rate = target.deliveries.per_second / target.fleet.machines
    connections = target.fleet.connections / target.fleet.machines
    line = line_cost(lines, target.assumed, rate)
    come = set_up_cost(target, lines, connections) * connections
    zones = target.fleet.zones
    return (
        Expectation("a line, quiet machine, processor", "s", 25e-6, line),
        Expectation("a line, busy machine, processor", "s", 47e-6, busy(target, line)),
        Expectation("deliveries of a machine in one reactor, quiet", "", 0.6, line * rate),
        Expectation("the same, busy", "", 1.1, busy(target, line) * rate),
        Expectation("load of a machine with a zone lost, times", "", 1.25, figure(zones / (zones - 1))),
        Expectation("a machine's connections that come back, processor", "s", 15.0, come),
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
