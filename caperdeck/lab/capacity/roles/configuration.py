"""Distribution of configuration: versions that instances publish, and that each node process watches for.

Carried where `serve --control` is given. In `run` it is off: a file at each node, and a SIGHUP by hand.
"""

from __future__ import annotations

from caperdeck.distribution.document import MAX_DOCUMENT_BYTES
from caperdeck.distribution.publisher import BUSY_RETRY_MS, MAX_CONNECTS_PER_SECOND, CONNECT_BURST
from caperdeck.distribution.subscriber import RECONNECT_SPREAD_MS, PUBLISHER_SILENT_MS
from caperdeck.distribution.watch_server import MAX_WATCHES
from caperdeck.lifecycle.config import MAX_FILE_BYTES

from ..figure import Figure, figure, largest
from ..fleet import Fleet
from ..load import MS, busy
from ..needs import Need
from ..row import Kind, Role, Row, row
from ..versions import (
    most_watches,
    moved_watches,
    publish_processor,
    version_bytes,
    version_processor,
    version_rate,
    version_traffic,
    watch_bytes,
    watch_memory,
    watch_processor,
)

ONE_REACTOR = 1.0
OWN_LIMIT = "the program's own limit"
WITHOUT_CONTROL = "in `run`, and wherever `--control` is not given"
ZONE_WITH_ONE = "a whole zone's, where instances do not go twice round the zones"


def file_bytes(fleet: Fleet) -> Figure:
    """Bytes of one node's whole file: its listeners, customers, known hosts and members."""
    listeners = fleet.lines.at("configuration.bytes_by_listeners", fleet.assumed("listeners"))
    customers = fleet.assumed("customers") * fleet.assumed("customer_bytes")
    hosts = fleet.assumed("hosts") * fleet.assumed("host_row_bytes")
    return listeners + customers + hosts + fleet.members * fleet.assumed("address_bytes")


def apply_seconds(fleet: Fleet) -> Figure:
    """Processor seconds in which a node takes a file.

    The line by size is of the reading; what listeners and customers cost beyond it is added by their
    own slopes, in which their part of the reading is counted once more.
    """
    lines, listeners, customers = fleet.lines, fleet.assumed("listeners"), fleet.assumed("customers")
    return (
        lines.at("configuration.apply_by_size", file_bytes(fleet))
        + lines.each("configuration.apply_by_listeners", listeners) * listeners
        + lines.each("configuration.apply_by_customers", customers) * customers
    )


def file_changes(fleet: Fleet) -> Figure:
    """Times a day that a node's file has to change: the operators' changes, and members replaced."""
    return figure(fleet.target.configuration.changes_a_day) + fleet.target.faults.machines_replaced_a_day


def role(fleet: Fleet) -> Role:
    parts = (_state, _at_node, _at_instance, _instance_lost, _without_control, _members)
    return Role("Distribution of configuration", tuple(made for part in parts for made in part(fleet)))


def _state(fleet: Fleet) -> list[Row]:
    need, rate = Need.CONFIGURATION, version_rate(fleet)
    return [
        row(
            need,
            Kind.STATE,
            "a version's document",
            "B",
            version_bytes(fleet),
            MAX_DOCUMENT_BYTES,
            OWN_LIMIT,
        ),
        row(
            need,
            Kind.STATE,
            "watches at one instance",
            "",
            most_watches(fleet),
            MAX_WATCHES,
            f"{ZONE_WITH_ONE}; {OWN_LIMIT}",
        ),
        row(
            need,
            Kind.MESSAGES,
            "versions taken over the fleet, a second at the peak",
            "/s",
            rate.peak * fleet.members,
        ),
    ]


def _at_node(fleet: Fleet) -> list[Row]:
    need, share, rate = Need.CONFIGURATION, fleet.control, version_rate(fleet)
    watch, version = watch_processor(fleet), version_processor(fleet)
    return [
        row(
            need,
            Kind.PROCESSOR,
            "the watch at one process, share of a core",
            "",
            watch,
            share.core_part,
        ),
        row(
            need,
            Kind.PROCESSOR,
            "versions at one process at the mean, share of a core",
            "",
            version * rate.mean,
            share.core_part,
        ),
        row(
            need,
            Kind.PROCESSOR,
            "versions at one process at the peak, share of a core",
            "",
            version * rate.peak,
            share.core_part,
        ),
        row(
            need,
            Kind.PROCESSOR,
            "one version until it is in force at a process",
            "s",
            busy(fleet.target, version),
            fleet.delay_bound,
            "all threads, one after the other: the reactor serves nobody for most of it",
        ),
        row(
            need,
            Kind.MEMORY,
            "the watch and the version in force at one process",
            "B",
            watch_memory(fleet),
            share.memory,
        ),
        row(
            need,
            Kind.MESSAGES,
            "bytes of the watch at one process",
            "B/s",
            watch_bytes(fleet),
            share.bytes_per_second,
        ),
        row(
            need,
            Kind.MESSAGES,
            "bytes of versions to one process at the mean",
            "B/s",
            version_traffic(fleet) * rate.mean,
            share.bytes_per_second,
            "a change within a list sends the list whole; taken: all lists",
        ),
    ]


def _at_instance(fleet: Fleet) -> list[Row]:
    need, rate = Need.CONFIGURATION, version_rate(fleet)
    size, publish = version_bytes(fleet), publish_processor(fleet)
    committed = fleet.lines.at("raft.commit_time_by_size", size)
    in_force = committed + busy(fleet.target, publish) + busy(fleet.target, version_processor(fleet))
    return [
        row(
            need,
            Kind.PROCESSOR,
            "a version to all that watch at one instance, a core's time",
            "s",
            publish,
        ),
        row(
            need,
            Kind.PROCESSOR,
            "versions at one instance at the peak, share of a core",
            "",
            publish * rate.peak,
            ONE_REACTOR,
        ),
        row(
            need,
            Kind.MESSAGES,
            "bytes that one instance sends for a version",
            "B",
            version_traffic(fleet) * most_watches(fleet),
        ),
        row(
            need,
            Kind.TIME,
            "a version from its proposal until it is in force at all nodes, no fault",
            "s",
            in_force,
            fleet.target.configuration.within,
            "committed, sent to one after another, taken by the last; without the network's time",
        ),
    ]


def _instance_lost(fleet: Fleet) -> list[Row]:
    """A control machine that falls silent, the only one of its zone."""
    need, moved = Need.CONFIGURATION, moved_watches(fleet)
    most = most_watches(fleet)
    subscriptions = fleet.lines.each("distribution.subscribe_cpu", moved) * moved
    refill = (moved - CONNECT_BURST) / MAX_CONNECTS_PER_SECOND
    tried = largest([figure(RECONNECT_SPREAD_MS / MS), refill])
    return [
        row(
            need,
            Kind.STATE,
            "a control machine lost: watches that move",
            "",
            most,
            note=ZONE_WITH_ONE,
        ),
        row(
            need,
            Kind.STATE,
            "a control machine lost: watches at one of its region's others",
            "",
            most + moved,
            MAX_WATCHES,
            OWN_LIMIT,
        ),
        row(
            need,
            Kind.PROCESSOR,
            "a control machine lost: watches taken up at one of these, a core's time, busy machine",
            "s",
            busy(fleet.target, subscriptions),
        ),
        row(
            need,
            Kind.TIME,
            "a control machine lost: until all its nodes watch elsewhere",
            "s",
            PUBLISHER_SILENT_MS / MS + tried + BUSY_RETRY_MS / MS,
            fleet.target.configuration.within,
            "from the program's bounds: silence, tries spread or connects paced, one refusal with a wait",
        ),
    ]


def _without_control(fleet: Fleet) -> list[Row]:
    need = Need.CONFIGURATION
    return [
        row(
            need,
            Kind.STATE,
            "bytes of one node's file",
            "B",
            file_bytes(fleet),
            MAX_FILE_BYTES,
            f"{WITHOUT_CONTROL}; {OWN_LIMIT}",
        ),
        row(
            need,
            Kind.PROCESSOR,
            "a file taken: nothing else runs in the reactor so long",
            "s",
            busy(fleet.target, apply_seconds(fleet)),
            fleet.delay_bound,
            WITHOUT_CONTROL,
        ),
        row(
            need,
            Kind.TIME,
            "one change by hand, one node after another",
            "s",
            fleet.assumed("change_by_hand") * fleet.members,
            note=f"{WITHOUT_CONTROL}; no bound, as the mechanism that there is replaces it",
        ),
    ]


def _members(fleet: Fleet) -> list[Row]:
    """A version may not set who is a member."""
    need = Need.MEMBER_LIST
    return [
        row(
            need,
            Kind.MESSAGES,
            "files changed by replaced machines, a day, over the fleet",
            "",
            fleet.members * fleet.target.faults.machines_replaced_a_day,
        ),
        row(
            need,
            Kind.TIME,
            "one replaced machine by hand at all others",
            "s",
            fleet.assumed("change_by_hand") * fleet.members,
            fleet.target.configuration.within,
            "a machine started again in its place with its address changes nothing",
        ),
    ]
