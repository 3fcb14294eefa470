"""Versions of the configuration: what they hold, where they are watched, and what they cost each side."""

from __future__ import annotations

import msgspec

from .figure import Figure, figure
from .fleet import Fleet
from .load import SECONDS_PER_DAY

WATCHES_PER_PROCESS = 1.0  # of a node process


class VersionRate(msgspec.Struct, frozen=True):
    """Versions a second."""

    mean: Figure
    peak: Figure


def version_rate(fleet: Fleet) -> VersionRate:
    mean = figure(fleet.target.configuration.changes_a_day) / SECONDS_PER_DAY
    return VersionRate(mean, mean * fleet.assumed("peak_times"))


def version_bytes(fleet: Fleet) -> Figure:
    """Bytes of a version's document: what is alike at all nodes, its listeners and customers."""
    listeners, customers = fleet.assumed("listeners"), fleet.assumed("customers")
    of_listeners = fleet.lines.per_unit("configuration.bytes_by_listeners", listeners) * listeners
    return of_listeners + customers * fleet.assumed("customer_bytes")


# ---- at a node process


def watch_processor(fleet: Fleet) -> Figure:
    """Share of a core that the watch takes while no version comes."""
    return fleet.lines.per_unit("distribution.node_cpu", WATCHES_PER_PROCESS)


def watch_bytes(fleet: Fleet) -> Figure:
    """Bytes a second of the watch, both ways, while no version comes."""
    return fleet.lines.per_unit("distribution.node_bytes", WATCHES_PER_PROCESS)


def watch_memory(fleet: Fleet) -> Figure:
    """Bytes of the watch, and of the version in force."""
    size = version_bytes(fleet)
    version = fleet.lines.per_unit("distribution.version_memory", size) * size
    return fleet.lines.per_unit("distribution.node_memory", WATCHES_PER_PROCESS) + version


def version_processor(fleet: Fleet) -> Figure:
    """Processor seconds of a node until a version is in force.

    Documents of the measured versions hold customers; what listeners cost beyond their bytes is added by
    their own slope.
    """
    lines, listeners = fleet.lines, fleet.assumed("listeners")
    of_listeners = lines.per_unit("configuration.apply_by_listeners", listeners) * listeners
    return lines.at("distribution.version_cpu", version_bytes(fleet)) + of_listeners


def version_traffic(fleet: Fleet) -> Figure:
    """Bytes to and from a node for a version: its lists are sent whole, as a change within one sends it."""
    return fleet.lines.at("distribution.version_bytes", version_bytes(fleet))


# ---- at an instance


def watches_per_instance(fleet: Fleet) -> Figure:
    """Watches at one instance: those of a whole zone, where instances do not go twice round the zones."""
    zones = fleet.target.fleet.zones
    of_a_zone = max(fleet.target.control.machines // zones, 1)
    return fleet.members / zones / of_a_zone


def watches_taken_over(fleet: Fleet) -> Figure:
    """Watches that one instance takes up when another, the one of its zone, is lost to its region's rest."""
    others = max(fleet.target.control.machines // fleet.target.fleet.regions - 1, 1)
    return watches_per_instance(fleet) / others


def publish_processor(fleet: Fleet) -> Figure:
    """Processor seconds of an instance for a version to all that watch there."""
    a_watch = fleet.lines.at("distribution.instance_version_cpu_by_size", version_bytes(fleet))
    return a_watch * watches_per_instance(fleet)


def instance_processor(fleet: Fleet, versions_a_second: Figure) -> Figure:
    """Share of a core of an instance that leads, publishes and owns no work."""
    size, watches = version_bytes(fleet), watches_per_instance(fleet)
    version = publish_processor(fleet) + fleet.lines.at("distribution.commit_cpu", size)
    return fleet.lines.at("distribution.instance_cpu", watches) + version * versions_a_second


def instance_memory(fleet: Fleet) -> Figure:
    """Bytes of an instance: its process with all watches, and the versions that it keeps."""
    size = version_bytes(fleet)
    versions = fleet.lines.per_unit("distribution.history_memory", size) * size
    return fleet.lines.at("distribution.instance_memory", watches_per_instance(fleet)) + versions


def instance_traffic(fleet: Fleet, versions_a_second: Figure) -> Figure:
    """Bytes a second to and from the nodes that watch at one instance."""
    return watches_per_instance(fleet) * (watch_bytes(fleet) + version_traffic(fleet) * versions_a_second)
