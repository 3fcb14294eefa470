"""Distribution of configuration: instances publish versions, and each node process watches for them.

It is on with `serve --control`. In `run` it is off: each node has a file, and an operator sends SIGHUP.
"""

from __future__ import annotations

from caperdeck.distribution.document import MAX_DOCUMENT_BYTES
from caperdeck.distribution.publisher import BUSY_RETRY_MS, CONNECT_BURST, MAX_CONNECTS_PER_SECOND
from caperdeck.distribution.subscriber import PUBLISHER_SILENT_MS, RECONNECT_SPREAD_MS
from caperdeck.distribution.watch_server import MAX_WATCHES
from caperdeck.lifecycle.config import MAX_FILE_BYTES

from ..figure import Figure, figure, largest
from ..fleet import Fleet
from ..load import MS_PER_S, on_busy_machine
from ..needs import Need
from ..row import Kind, Role, Row, make_row
from ..versions import (
    publish_processor,
    version_bytes,
    version_processor,
    version_rate,
    version_traffic,
    watch_bytes,
    watch_memory,
    watch_processor,
    watches_per_instance,
    watches_taken_over,
)

ONE_REACTOR = 1.0
OWN_LIMIT = "the program's own limit"
WITHOUT_CONTROL = "in `run`, and wherever `--control` is not given"
ZONE_WITH_ONE_INSTANCE = "a whole zone's, where instances do not go twice round the zones"


def file_bytes(fleet: Fleet) -> Figure:
    """Bytes of the whole configuration file of one node: listeners, customers, known hosts and members."""
    listeners = fleet.lines.at("configuration.bytes_by_listeners", fleet.assumed("listeners"))
    customers = fleet.assumed("customers") * fleet.assumed("customer_bytes")
    hosts = fleet.assumed("hosts") * fleet.assumed("host_row_bytes")
    return listeners + customers + hosts + fleet.members * fleet.assumed("address_bytes")


def apply_seconds(fleet: Fleet) -> Figure:
    """Processor seconds in which a node applies a file.

    The line by size covers reading the file. The further costs of listeners and customers are added from
    their own slopes, which include their share of the reading, so that share is counted twice.
    """
    lines, listeners, customers = fleet.lines, fleet.assumed("listeners"), fleet.assumed("customers")
    return (
        lines.at("configuration.apply_by_size", file_bytes(fleet))
        + lines.per_unit("configuration.apply_by_listeners", listeners) * listeners
        + lines.per_unit("configuration.apply_by_customers", customers) * customers
    )


def file_changes(fleet: Fleet) -> Figure:
    """Changes of a node's file per day: changes by operators, and replaced members."""
    return figure(fleet.target.configuration.changes_a_day) + fleet.target.faults.machines_replaced_a_day


def role(fleet: Fleet) -> Role:
    sections = (_state, _at_node, _at_instance, _instance_lost, _without_control, _members)
    return Role("Distribution of configuration", tuple(row for section in sections for row in section(fleet)))


def _state(fleet: Fleet) -> list[Row]:
    need, rate = Need.CONFIGURATION, version_rate(fleet)
    return [
        make_row(
            need,
            Kind.STATE,
            "a version's document",
            "B",
            version_bytes(fleet),
            MAX_DOCUMENT_BYTES,
            OWN_LIMIT,
        ),
        make_row(
            need,
            Kind.STATE,
            "watches at one instance",
            "",
            watches_per_instance(fleet),
            MAX_WATCHES,
            f"{ZONE_WITH_ONE_INSTANCE}; {OWN_LIMIT}",
        ),
        make_row(
            need,
            Kind.MESSAGES,
            "versions taken over the fleet, a second at the peak",
            "/s",
            rate.peak * fleet.members,
        ),
    ]


def _at_node(fleet: Fleet) -> list[Row]:
    need, share, rate = Need.CONFIGURATION, fleet.control_budget, version_rate(fleet)
    watch, version = watch_processor(fleet), version_processor(fleet)
    return [
        make_row(
            need,
            Kind.PROCESSOR,
            "the watch at one process, share of a core",
            "",
            watch,
            share.core_share,
        ),
        make_row(
            need,
            Kind.PROCESSOR,
            "versions at one process at the mean, share of a core",
            "",
            version * rate.mean,
            share.core_share,
        ),
        make_row(
            need,
            Kind.PROCESSOR,
            "versions at one process at the peak, share of a core",
            "",
            version * rate.peak,
            share.core_share,
        ),
        make_row(
            need,
            Kind.PROCESSOR,
            "one version until it is in force at a process",
            "s",
            on_busy_machine(fleet.target, version),
            fleet.delay_bound_s,
            "all threads, one after the other: the reactor serves nobody for most of it",
        ),
        make_row(
            need,
            Kind.MEMORY,
            "the watch and the version in force at one process",
            "B",
            watch_memory(fleet),
            share.memory,
        ),
        make_row(
            need,
            Kind.MESSAGES,
            "bytes of the watch at one process",
            "B/s",
            watch_bytes(fleet),
            share.bytes_per_second,
        ),
        make_row(
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
    in_force = (
        committed
        + on_busy_machine(fleet.target, publish)
        + on_busy_machine(fleet.target, version_processor(fleet))
    )
    return [
        make_row(
            need,
            Kind.PROCESSOR,
            "a version to all that watch at one instance, a core's time",
            "s",
            publish,
        ),
        make_row(
            need,
            Kind.PROCESSOR,
            "versions at one instance at the peak, share of a core",
            "",
            publish * rate.peak,
            ONE_REACTOR,
        ),
        make_row(
            need,
            Kind.MESSAGES,
            "bytes that one instance sends for a version",
            "B",
            version_traffic(fleet) * watches_per_instance(fleet),
        ),
        make_row(
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
    """The only control machine of a zone falls silent."""
    need, moved = Need.CONFIGURATION, watches_taken_over(fleet)
    watches = watches_per_instance(fleet)
    subscriptions = fleet.lines.per_unit("distribution.subscribe_cpu", moved) * moved
    paced_s = (moved - CONNECT_BURST) / MAX_CONNECTS_PER_SECOND
    reconnect_s = largest([figure(RECONNECT_SPREAD_MS / MS_PER_S), paced_s])
    return [
        make_row(
            need,
            Kind.STATE,
            "a control machine lost: watches that move",
            "",
            watches,
            note=ZONE_WITH_ONE_INSTANCE,
        ),
        make_row(
            need,
            Kind.STATE,
            "a control machine lost: watches at one of its region's others",
            "",
            watches + moved,
            MAX_WATCHES,
            OWN_LIMIT,
        ),
        make_row(
            need,
            Kind.PROCESSOR,
            "a control machine lost: watches taken up at one of these, a core's time, busy machine",
            "s",
            on_busy_machine(fleet.target, subscriptions),
        ),
        make_row(
            need,
            Kind.TIME,
            "a control machine lost: until all its nodes watch elsewhere",
            "s",
            PUBLISHER_SILENT_MS / MS_PER_S + reconnect_s + BUSY_RETRY_MS / MS_PER_S,
            fleet.target.configuration.within,
            "from the program's bounds: silence, tries spread or connects paced, one refusal with a wait",
        ),
    ]


def _without_control(fleet: Fleet) -> list[Row]:
    need = Need.CONFIGURATION
    return [
        make_row(
            need,
            Kind.STATE,
            "bytes of one node's file",
            "B",
            file_bytes(fleet),
            MAX_FILE_BYTES,
            f"{WITHOUT_CONTROL}; {OWN_LIMIT}",
        ),
        make_row(
            need,
            Kind.PROCESSOR,
            "a file taken: nothing else runs in the reactor so long",
            "s",
            on_busy_machine(fleet.target, apply_seconds(fleet)),
            fleet.delay_bound_s,
            WITHOUT_CONTROL,
        ),
        make_row(
            need,
            Kind.TIME,
            "one change by hand, one node after another",
            "s",
            fleet.assumed("change_by_hand") * fleet.members,
            note=f"{WITHOUT_CONTROL}; no bound, as the mechanism that there is replaces it",
        ),
    ]


def _members(fleet: Fleet) -> list[Row]:
    """The list of members, which a version may not set."""
    need = Need.MEMBER_LIST
    return [
        make_row(
            need,
            Kind.MESSAGES,
            "files changed by replaced machines, a day, over the fleet",
            "",
            fleet.members * fleet.target.faults.machines_replaced_a_day,
        ),
        make_row(
            need,
            Kind.TIME,
            "one replaced machine by hand at all others",
            "s",
            fleet.assumed("change_by_hand") * fleet.members,
            fleet.target.configuration.within,
            "a machine started again in its place with its address changes nothing",
        ),
    ]
