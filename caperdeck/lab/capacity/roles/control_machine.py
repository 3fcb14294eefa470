"""The machines reserved for control: instances that agree and publish; one of them owns work for all."""

from __future__ import annotations

import math

from caperdeck.leases.census import Census
from caperdeck.leases.expiry import RENEW_AT_SHARE
from caperdeck.leases.table import MAX_STATE_LENGTH
from caperdeck.owner.config import DEFAULT_SPAN_MS, MAX_INSTANCES, MAX_NODES, WORKS

from ..figure import Figure, figure
from ..fleet import Fleet
from ..load import MS_PER_S, SECONDS_PER_DAY
from ..needs import Need
from ..row import Kind, Role, Row, make_row
from ..versions import instance_memory, instance_processor, instance_traffic, version_bytes, version_rate
from .configuration import file_changes

ONE_REACTOR = 1.0
MEASURED_INSTANCES = 3  # cluster size in the measurements of agreement
LEADS = "it commits versions too; without owned work, and idle as an instance that follows"
SMALL_ENTRIES = "small entries; times the followers there are, over those measured"


def role(fleet: Fleet) -> Role:
    return Role("Control machine", (*_owner(fleet), *_agreement(fleet), *_publisher(fleet)))


def _owner(fleet: Fleet) -> list[Row]:
    lines, members, need = fleet.lines, fleet.members, Need.OWNED_WORK
    return [
        make_row(
            need,
            Kind.STATE,
            "node processes that one instance may own work at",
            "",
            members,
            MAX_NODES,
            "the program's own limit",
        ),
        make_row(
            need,
            Kind.STATE,
            "characters of the census, as agreed on",
            "",
            census_characters(members),
            MAX_STATE_LENGTH,
            "the program's own limit, and its own text for so many nodes",
        ),
        make_row(
            need,
            Kind.MESSAGES,
            "connections to nodes, a second",
            "/s",
            lines.at("owned.connections", members),
        ),
        make_row(need, Kind.MESSAGES, "bytes to and from nodes", "B/s", lines.at("owned.bytes", members)),
        make_row(
            need,
            Kind.PROCESSOR,
            "the owner's reactor",
            "",
            lines.at("owned.cpu_owner", members),
            ONE_REACTOR,
            "one process for all works; other control machines take none of it",
        ),
    ]


def _agreement(fleet: Fleet) -> list[Row]:
    lines, need = fleet.lines, Need.AGREEMENT
    instances = fleet.target.control.machines
    followers = (instances - 1) / (MEASURED_INSTANCES - 1)
    entries = entries_a_second(fleet)
    return [
        make_row(
            need, Kind.STATE, "instances that agree", "", instances, MAX_INSTANCES, "the program's own limit"
        ),
        make_row(
            need,
            Kind.MESSAGES,
            "entries agreed on, a second at the peak",
            "/s",
            entries,
            note="renewals of leases, versions, and replaced members, were they agreed on",
        ),
        make_row(
            need,
            Kind.PROCESSOR,
            "the leader's share of a core for them",
            "",
            lines.per_unit("raft.commit_cpu", entries) * entries * followers,
            ONE_REACTOR,
            SMALL_ENTRIES,
        ),
        make_row(
            need,
            Kind.MESSAGES,
            "bytes that the leader sends for them",
            "B/s",
            lines.per_unit("raft.commit_bytes", entries) * entries * followers,
            note=SMALL_ENTRIES,
        ),
        make_row(
            need,
            Kind.STATE,
            "bytes that the leader writes for them",
            "B/s",
            lines.per_unit("raft.commit_disk", entries) * entries,
            note="small entries",
        ),
        make_row(
            need,
            Kind.TIME,
            "one of many entries agreed on, part of the time between two",
            "",
            lines.per_unit("raft.commit_time", entries) * entries,
            1.0,
        ),
        make_row(
            need,
            Kind.TIME,
            "one entry as large as a version, from question to answer",
            "s",
            lines.at("raft.commit_time_by_size", version_bytes(fleet)),
            fleet.target.configuration.within,
        ),
        make_row(
            need,
            Kind.TIME,
            "an instance started again, with the census on its disk",
            "s",
            lines.at("raft.start_time", census_characters(fleet.members)),
            fleet.target.configuration.within,
        ),
    ]


def _publisher(fleet: Fleet) -> list[Row]:
    """The cost of distributing configuration at the leader, without the cost of owned work."""
    need, rate = Need.CONFIGURATION, version_rate(fleet)
    return [
        make_row(
            need,
            Kind.PROCESSOR,
            "agreement, watches and versions at the mean, share of a core",
            "",
            instance_processor(fleet, rate.mean),
            ONE_REACTOR,
            LEADS,
        ),
        make_row(
            need,
            Kind.PROCESSOR,
            "agreement, watches and versions at the peak, share of a core",
            "",
            instance_processor(fleet, rate.peak),
            ONE_REACTOR,
            LEADS,
        ),
        make_row(
            need,
            Kind.MEMORY,
            "the instance with its watches and the versions that it keeps",
            "B",
            instance_memory(fleet),
            fleet.assumed("machine_memory"),
        ),
        make_row(
            need,
            Kind.MESSAGES,
            "bytes to and from nodes that watch, at the mean",
            "B/s",
            instance_traffic(fleet, rate.mean),
        ),
        make_row(
            need,
            Kind.MESSAGES,
            "bytes to and from nodes that watch, at the peak",
            "B/s",
            instance_traffic(fleet, rate.peak),
        ),
    ]


def entries_a_second(fleet: Fleet) -> Figure:
    """Log entries per second: renewals of all leases, and the peak of configuration changes as entries."""
    renewals = len(WORKS) * MS_PER_S / (DEFAULT_SPAN_MS * RENEW_AT_SHARE)
    return file_changes(fleet) / SECONDS_PER_DAY * fleet.assumed("peak_times") + renewals


def census_characters(members: Figure) -> Figure:
    """Length of the replicated text of the census with `members` live node processes and equal shares."""
    if members.value is None:
        return members
    names = [f"n{number:04}" for number in range(math.ceil(members.value))]
    census = Census(names, seed=0)
    census.wanted_shares = census.held_shares = dict.fromkeys(names, 1.0 / len(names))
    return figure(len(census.dump())) * (members / members.value)
