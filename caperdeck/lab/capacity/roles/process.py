"""A node process: one reactor that relays lines for its share of the connections."""

from __future__ import annotations

from ..figure import total
from ..fleet import Fleet
from ..lines import delay_measurement, line_cost
from ..load import on_busy_machine, process_memory, utilisation, utilisation_shares
from ..needs import Need
from ..row import Kind, Role, Row, make_row

SOCKETS_PER_CONNECTION = 2  # one to the client, one to the host


def role(fleet: Fleet) -> Role:
    return Role("Node process", (*_state(fleet), *_processor(fleet), *_delays(fleet)))


def _state(fleet: Fleet) -> list[Row]:
    load, lost = fleet.load(), fleet.load(fleet.machines_per_zone)
    return [
        make_row(Need.STANDING, Kind.STATE, "standing connections", "", load.connections),
        make_row(Need.STANDING, Kind.STATE, "the same with a zone lost", "", lost.connections),
        make_row(
            Need.STANDING,
            Kind.STATE,
            "descriptors with a zone lost",
            "",
            lost.connections * SOCKETS_PER_CONNECTION,
            fleet.assumed("process_descriptors"),
        ),
        make_row(
            Need.STANDING,
            Kind.MEMORY,
            "memory with a zone lost, the kernel's with it",
            "B",
            process_memory(fleet.target, fleet.lines, lost.connections),
        ),
        make_row(Need.DELIVERY, Kind.MESSAGES, "deliveries a second", "/s", load.deliveries_per_s),
        make_row(Need.DELIVERY, Kind.MESSAGES, "the same with a zone lost", "/s", lost.deliveries_per_s),
    ]


def _processor(fleet: Fleet) -> list[Row]:
    target, lines, load = fleet.target, fleet.lines, fleet.load()
    bound = fleet.assumed("utilisation")
    shares = utilisation_shares(target, lines, load)
    quiet = total(shares.values())
    lost = utilisation(target, lines, fleet.load(fleet.machines_per_zone))
    return [
        *(
            make_row(Need.DELIVERY, Kind.PROCESSOR, f"{name}, share of a reactor, quiet machine", "", share)
            for name, share in shares.items()
        ),
        make_row(Need.DELIVERY, Kind.PROCESSOR, "all of it, quiet machine", "", quiet, bound),
        make_row(
            Need.DELIVERY,
            Kind.PROCESSOR,
            "all of it, busy machine",
            "",
            on_busy_machine(target, quiet),
            bound,
        ),
        make_row(Need.DELIVERY, Kind.PROCESSOR, "all of it, busy machine, a zone lost", "", lost, bound),
    ]


def _delays(fleet: Fleet) -> list[Row]:
    target, lines, load = fleet.target, fleet.lines, fleet.load()
    listeners = target.topics.largest_listeners / fleet.members
    burst = on_busy_machine(target, line_cost(lines, target.assumed, load.deliveries_per_s)) * listeners
    return [
        make_row(
            Need.DELIVERY,
            Kind.TIME,
            "a delivery at the node, for the target's part of all",
            "s",
            lines.at_next_measured(delay_measurement(target), load.deliveries_per_s),
            fleet.delay_bound_s,
            "at the next higher rate that was measured",
        ),
        make_row(
            Need.DELIVERY,
            Kind.TIME,
            "until the last listener of one line of the largest topic has it",
            "s",
            burst,
            fleet.delay_bound_s,
            "its listeners evenly over all processes",
        ),
    ]
