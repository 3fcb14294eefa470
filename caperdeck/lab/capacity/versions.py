"""Versions of the configuration: their size, the number of watches, and the costs at nodes and instances."""

from __future__ import annotations

import msgspec

from .figure import Figure, figure
from .fleet import Fleet
from .load import SECONDS_PER_DAY

WATCHES_PER_PROCESS = 1.0


class VersionRate(msgspec.Struct, frozen=True):
    """Published versions per second."""

    mean: Figure
    peak: Figure


def version_rate(fleet: Fleet) -> VersionRate:
    """The target's changes of configuration, each published as a version."""
    mean = figure(fleet.target.configuration.changes_a_day) / SECONDS_PER_DAY
    return VersionRate(mean, mean * fleet.assumed("peak_times"))


def version_bytes(fleet: Fleet) -> Figure:
    """Bytes of a version's document, which holds what all nodes have in common: listeners and customers."""
    listeners, customers = fleet.assumed("listeners"), fleet.assumed("customers")
    listener_bytes = fleet.lines.per_unit("configuration.bytes_by_listeners", listeners) * listeners
    return listener_bytes + customers * fleet.assumed("customer_bytes")


# ---- at a node process


def watch_processor(fleet: Fleet) -> Figure:
    """Share of a core that the watch takes while no version is published."""
    return fleet.lines.per_unit("distribution.node_cpu", WATCHES_PER_PROCESS)


def watch_bytes(fleet: Fleet) -> Figure:
    """Bytes per second of the watch, in both directions, while no version is published."""
    return fleet.lines.per_unit("distribution.node_bytes", WATCHES_PER_PROCESS)


def watch_memory(fleet: Fleet) -> Figure:
    """Bytes of memory for the watch and the active version."""
    size = version_bytes(fleet)
    version = fleet.lines.per_unit("distribution.version_memory", size) * size
    return fleet.lines.per_unit("distribution.node_memory", WATCHES_PER_PROCESS) + version


def version_processor(fleet: Fleet) -> Figure:
    """Processor seconds of a node to apply a version.

    The measured documents hold customers only, so the cost of listeners beyond their bytes is added from the
    slope that was measured for listeners.
    """
    lines, listeners = fleet.lines, fleet.assumed("listeners")
    listener_cost = lines.per_unit("configuration.apply_by_listeners", listeners) * listeners
    return lines.at("distribution.version_cpu", version_bytes(fleet)) + listener_cost


def version_traffic(fleet: Fleet) -> Figure:
    """Bytes to and from a node for a version: whole lists, as a change within a list sends all of it."""
    return fleet.lines.at("distribution.version_bytes", version_bytes(fleet))


# ---- at an instance


def watches_per_instance(fleet: Fleet) -> Figure:
    """Watches at one instance: those of a whole zone, unless each zone has at least two instances."""
    zones = fleet.target.fleet.zones
    instances_per_zone = max(fleet.target.control.machines // zones, 1)
    return fleet.members / zones / instances_per_zone


def watches_taken_over(fleet: Fleet) -> Figure:
    """Watches that one instance takes over when another one, the only one of its zone, is lost.

    The watches of the lost instance spread over the remaining instances of its region.
    """
    others = max(fleet.target.control.machines // fleet.target.fleet.regions - 1, 1)
    return watches_per_instance(fleet) / others


def publish_processor(fleet: Fleet) -> Figure:
    """Processor seconds of an instance to send a version to all its watches."""
    per_watch = fleet.lines.at("distribution.instance_version_cpu_by_size", version_bytes(fleet))
    return per_watch * watches_per_instance(fleet)


def instance_processor(fleet: Fleet, versions_a_second: Figure) -> Figure:
    """Share of a core of an instance that leads and publishes and holds no works."""
    size, watches = version_bytes(fleet), watches_per_instance(fleet)
    version = publish_processor(fleet) + fleet.lines.at("distribution.commit_cpu", size)
    return fleet.lines.at("distribution.instance_cpu", watches) + version * versions_a_second


def instance_memory(fleet: Fleet) -> Figure:
    """Bytes of memory of an instance: its process with all watches, and the versions that it keeps."""
    size = version_bytes(fleet)
    versions = fleet.lines.per_unit("distribution.history_memory", size) * size
    return fleet.lines.at("distribution.instance_memory", watches_per_instance(fleet)) + versions


def instance_traffic(fleet: Fleet, versions_a_second: Figure) -> Figure:
    """Bytes per second to and from the nodes that watch at one instance."""
    return watches_per_instance(fleet) * (watch_bytes(fleet) + version_traffic(fleet) * versions_a_second)
