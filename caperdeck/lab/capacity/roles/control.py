"""The resources that all node processes of one machine spend on control, and the machine's limits for it."""

from __future__ import annotations

from typing import NamedTuple

from ..figure import Figure, total
from ..fleet import Fleet
from ..load import SECONDS_PER_DAY, tick_share
from ..needs import Need
from ..row import Kind, Role, Row, make_row
from ..versions import (
    version_processor,
    version_rate,
    version_traffic,
    watch_bytes,
    watch_memory,
    watch_processor,
)


class Spent(NamedTuple):
    """The resources that one mechanism spends at one process."""

    need: Need
    what: str
    amount: Figure


def role(fleet: Fleet) -> Role:
    control = fleet.target.control
    return Role(
        "Control at a node machine",
        (
            *_rows(fleet, Kind.PROCESSOR, "share of a core", "", processor(fleet), control.core_part),
            *_rows(fleet, Kind.MEMORY, "memory", "B", memory(fleet), control.memory),
            *_rows(fleet, Kind.MESSAGES, "bytes", "B/s", sent(fleet), control.bytes_per_second),
        ),
    )


def _rows(
    fleet: Fleet, kind: Kind, name: str, unit: str, mechanisms: tuple[Spent, ...], bound: float
) -> list[Row]:
    """A row for each mechanism over all processes of the machine, and one for the sum."""
    rows = [
        make_row(
            mechanism.need, kind, f"{mechanism.what}, {name}", unit, mechanism.amount * fleet.processes, bound
        )
        for mechanism in mechanisms
    ]
    whole = total(row.amount for row in rows)
    return [*rows, make_row(Need.CONTROL_BUDGET, kind, f"all of it, {name}", unit, whole, bound)]


def processor(fleet: Fleet) -> tuple[Spent, ...]:
    """Shares of a core by mechanism."""
    lines, members, hosts = fleet.lines, fleet.members, fleet.assumed("hosts")
    list_changes = fleet.assumed("hosts_replaced_a_day") / SECONDS_PER_DAY
    versions = version_processor(fleet) * version_rate(fleet).mean
    return (
        Spent(Need.MEMBERSHIP, "membership", lines.at("peers.cpu", members)),
        Spent(Need.OWNED_WORK, "acts of owners", lines.at("owned.cpu_node", members)),
        Spent(Need.HOST_FIGURES, "the decisions' tick", tick_share(fleet.target, lines)),
        Spent(Need.HOST_LIST, "changes of the list of hosts", lines.at("node.change", hosts) * list_changes),
        Spent(Need.CONFIGURATION, "the watch for versions", watch_processor(fleet)),
        Spent(Need.CONFIGURATION, "versions at the mean", versions),
    )


def memory(fleet: Fleet) -> tuple[Spent, ...]:
    """Bytes of memory by mechanism."""
    lines = fleet.lines
    return (
        Spent(Need.MEMBERSHIP, "membership", lines.at("peers.state_bytes", fleet.members)),
        Spent(Need.HOST_LIST, "the list of hosts", lines.at("node.list_memory", fleet.assumed("hosts"))),
        Spent(Need.CONFIGURATION, "the watch and the version in force", watch_memory(fleet)),
    )


def sent(fleet: Fleet) -> tuple[Spent, ...]:
    """Bytes per second by mechanism."""
    lines, members = fleet.lines, fleet.members
    list_changes = fleet.assumed("hosts_replaced_a_day") / SECONDS_PER_DAY
    versions = version_traffic(fleet) * version_rate(fleet).mean
    return (
        Spent(Need.MEMBERSHIP, "membership", lines.at("peers.bytes", members)),
        Spent(Need.OWNED_WORK, "acts of owners", lines.at("owned.bytes", members) / members),
        Spent(Need.HOST_LIST, "changes of the list of hosts", fleet.assumed("host_row_bytes") * list_changes),
        Spent(Need.CONFIGURATION, "the watch for versions", watch_bytes(fleet)),
        Spent(Need.CONFIGURATION, "versions at the mean", versions),
    )
