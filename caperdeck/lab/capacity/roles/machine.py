"""A machine with its node processes."""

from __future__ import annotations

from ..fleet import Fleet
from ..load import process_memory, utilisation
from ..needs import Need
from ..row import Kind, Role, make_row


def role(fleet: Fleet) -> Role:
    target, lines, processes = fleet.target, fleet.lines, fleet.processes
    cores, usable = (
        fleet.assumed("machine_cores"),
        fleet.assumed("machine_memory") * fleet.assumed("memory_part"),
    )
    load, lost = fleet.load(), fleet.load(fleet.machines_per_zone)
    return Role(
        "Node machine",
        (
            make_row(Need.DELIVERY, Kind.STATE, "node processes", "", processes, cores, "one reactor each"),
            make_row(Need.STANDING, Kind.STATE, "standing connections", "", load.connections * processes),
            make_row(
                Need.DELIVERY, Kind.MESSAGES, "deliveries a second", "/s", load.deliveries_per_s * processes
            ),
            make_row(
                Need.DELIVERY,
                Kind.PROCESSOR,
                "cores, busy machine",
                "",
                utilisation(target, lines, load) * processes,
                cores,
            ),
            make_row(
                Need.DELIVERY,
                Kind.PROCESSOR,
                "cores, busy machine, a zone lost",
                "",
                utilisation(target, lines, lost) * processes,
                cores,
            ),
            make_row(
                Need.STANDING,
                Kind.MEMORY,
                "memory",
                "B",
                process_memory(target, lines, load.connections) * processes,
                usable,
            ),
            make_row(
                Need.STANDING,
                Kind.MEMORY,
                "memory with a zone lost",
                "B",
                process_memory(target, lines, lost.connections) * processes,
                usable,
            ),
        ),
    )
