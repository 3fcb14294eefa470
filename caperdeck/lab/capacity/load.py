"""The load of one node process for a number of processes on each machine, and the cost of that load."""

from __future__ import annotations

import msgspec

from caperdeck.core.decide import TICK_MS

from .figure import Figure, figure, total
from .lines import CostLines, assumption, line_cost
from .target import Target

SECONDS_PER_DAY, SECONDS_PER_YEAR = 86_400.0, 365 * 86_400.0
MS_PER_S = 1000.0
TICKS_PER_S = MS_PER_S / TICK_MS


class Load(msgspec.Struct, frozen=True):
    """The load of one node process if it is spread evenly over all running processes."""

    connections: Figure  # established
    deliveries_per_s: Figure
    setups_per_s: Figure  # connections that are set up, and as many that end


def process_load(target: Target, processes: Figure | float, machines_lost: Figure | float = 0) -> Load:
    """The load of one process, with `processes` on each machine, while some machines are lost."""
    running = figure(processes) * (figure(target.fleet.machines) - machines_lost)
    connections = target.fleet.connections / running
    return Load(
        connections,
        target.deliveries.per_second / running,
        connections / assumption(target.assumed, "connection_life"),
    )


def machines_per_zone(target: Target) -> float:
    """The mean number of machines in a zone."""
    return target.fleet.machines / target.fleet.zones


def setup_cost(target: Target, lines: CostLines, at_once: Figure | float) -> Figure:
    """Processor seconds to set up a connection, with its placement among all hosts, on a quiet machine."""
    hosts = assumption(target.assumed, "hosts")
    return lines.per_unit("node.set_up", at_once) + lines.per_unit("node.placement", hosts) * hosts


def on_busy_machine(target: Target, cost: Figure) -> Figure:
    """The cost of the same work on a machine whose cores are all busy."""
    return cost * assumption(target.assumed, "busy_times")


def tick_share(target: Target, lines: CostLines) -> Figure:
    """Share of a core that the periodic tick of the decisions takes with all hosts."""
    return lines.at("node.tick", assumption(target.assumed, "hosts")) * TICKS_PER_S


def utilisation_shares(target: Target, lines: CostLines, load: Load) -> dict[str, Figure]:
    """Shares of a reactor that a steady load takes on a quiet machine, by kind of work."""
    setup = setup_cost(target, lines, load.connections)
    end = lines.per_unit("node.end", load.connections)
    return {
        "deliveries": line_cost(lines, target.assumed, load.deliveries_per_s) * load.deliveries_per_s,
        "standing connections": lines.at("node.idle", load.connections),
        "connections that come and end": (setup + end) * load.setups_per_s,
        "the decisions' tick": tick_share(target, lines),
    }


def utilisation(target: Target, lines: CostLines, load: Load) -> Figure:
    """Share of a reactor that a steady load takes on a busy machine."""
    return on_busy_machine(target, total(utilisation_shares(target, lines, load).values()))


def seconds_to_reconnect(target: Target, lines: CostLines, load: Load, reconnects: Figure) -> Figure:
    """Seconds in which a process accepts returning connections beside its steady load.

    Infinite if the steady load leaves no processor time for them.
    """
    work = on_busy_machine(target, setup_cost(target, lines, reconnects) * reconnects)
    return work / (1 - utilisation(target, lines, load))


def process_memory(target: Target, lines: CostLines, connections: Figure) -> Figure:
    """Bytes that one process and the kernel use for it, with a number of established connections."""
    return (
        lines.at("node.memory_own", connections)
        + lines.at("node.memory_kernel", connections)
        + lines.at("node.list_memory", assumption(target.assumed, "hosts"))
    )
