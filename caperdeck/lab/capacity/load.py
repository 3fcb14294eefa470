"""What one node process bears, for a number of processes a machine, and what that costs it."""

from __future__ import annotations

import msgspec

from caperdeck.core.decide import TICK_MS

from .figure import Figure, figure, total
from .lines import Lines, assume, line_cost
from .target import Target

DAY, YEAR = 86_400.0, 365 * 86_400.0  # seconds
MS = 1000.0  # milliseconds a second
TICKS = MS / TICK_MS  # a second


class Load(msgspec.Struct, frozen=True):
    """Of one node process, evenly shared among all that run."""

    connections: Figure  # standing
    lines: Figure  # deliveries a second
    set_ups: Figure  # connections that come and connections that end, a second each


def load_of(target: Target, processes: Figure | float, machines_lost: Figure | float = 0) -> Load:
    """The load of one of so many processes a machine while some machines are lost."""
    running = figure(processes) * (figure(target.fleet.machines) - machines_lost)
    connections = target.fleet.connections / running
    return Load(
        connections,
        target.deliveries.per_second / running,
        connections / assume(target.assumed, "connection_life"),
    )


def zone_machines(target: Target) -> float:
    return target.fleet.machines / target.fleet.zones


def set_up_cost(target: Target, lines: Lines, at_once: Figure | float) -> Figure:
    """Processor seconds of one more connection, its placement among all hosts with it, not yet busy."""
    hosts = assume(target.assumed, "hosts")
    return lines.each("node.set_up", at_once) + lines.each("node.placement", hosts) * hosts


def busy(target: Target, cost: Figure) -> Figure:
    """The same work on a machine whose cores are all busy."""
    return cost * assume(target.assumed, "busy_times")


def tick_share(target: Target, lines: Lines) -> Figure:
    """Part of a core that the decisions' fixed tick takes, at all hosts."""
    return lines.at("node.tick", assume(target.assumed, "hosts")) * TICKS


def utilisation_parts(target: Target, lines: Lines, load: Load) -> dict[str, Figure]:
    """Parts of a reactor that a steady load takes, by what takes them, on a quiet machine."""
    come = set_up_cost(target, lines, load.connections)
    end = lines.each("node.end", load.connections)
    return {
        "deliveries": line_cost(lines, target.assumed, load.lines) * load.lines,
        "standing connections": lines.at("node.idle", load.connections),
        "connections that come and end": (come + end) * load.set_ups,
        "the decisions' tick": tick_share(target, lines),
    }


def utilisation(target: Target, lines: Lines, load: Load) -> Figure:
    """Part of a reactor that a steady load takes on a busy machine."""
    return busy(target, total(utilisation_parts(target, lines, load).values()))


def crowd_seconds(target: Target, lines: Lines, load: Load, crowd: Figure) -> Figure:
    """Until a process has taken up a crowd beside its steady load; infinite where nothing is left for it."""
    work = busy(target, set_up_cost(target, lines, crowd) * crowd)
    return work / (1 - utilisation(target, lines, load))


def process_memory(target: Target, lines: Lines, connections: Figure) -> Figure:
    """Bytes of one process, the kernel's part with it, with so many standing connections."""
    return (
        lines.at("node.memory_own", connections)
        + lines.at("node.memory_kernel", connections)
        + lines.at("node.list_memory", assume(target.assumed, "hosts"))
    )
