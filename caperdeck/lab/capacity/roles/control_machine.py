"""The machines set aside for control: instances that agree, and the one that owns work for the fleet."""

from __future__ import annotations

import math

from caperdeck.leases.census import Census
from caperdeck.leases.holding import RENEW_AT
from caperdeck.leases.table import LARGEST_STATE
from caperdeck.owner.config import MOST_INSTANCES, MOST_NODES, SPAN, WORKS

from ..figure import Figure, figure
from ..fleet import Fleet
from ..load import DAY, MS
from ..needs import Need
from ..row import Kind, Role, Row, row
from .configuration import file_bytes, file_changes

ONE_REACTOR = 1.0
MEASURED_INSTANCES = 3  # that the lines of agreement were measured with
SMALL_ENTRIES = "small entries; times the followers there are, over those measured"


def role(fleet: Fleet) -> Role:
    return Role("Control machine", (*_owner(fleet), *_agreement(fleet)))


def _owner(fleet: Fleet) -> list[Row]:
    lines, members, need = fleet.lines, fleet.members, Need.OWNED_WORK
    return [
        row(
            need,
            Kind.STATE,
            "node processes that one instance may own work at",
            "",
            members,
            MOST_NODES,
            "the program's own limit",
        ),
        row(
            need,
            Kind.STATE,
            "characters of the census, as agreed on",
            "",
            census_characters(members),
            LARGEST_STATE,
            "the program's own limit, and its own text for so many nodes",
        ),
        row(
            need,
            Kind.MESSAGES,
            "connections to nodes, a second",
            "/s",
            lines.at("owned.connections", members),
        ),
        row(need, Kind.MESSAGES, "bytes to and from nodes", "B/s", lines.at("owned.bytes", members)),
        row(
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
        row(
            need, Kind.STATE, "instances that agree", "", instances, MOST_INSTANCES, "the program's own limit"
        ),
        row(
            need,
            Kind.MESSAGES,
            "entries agreed on, a second at the peak",
            "/s",
            entries,
            note="renewals of leases, and each change of configuration as one entry",
        ),
        row(
            need,
            Kind.PROCESSOR,
            "the leader's part of a core for them",
            "",
            lines.each("raft.commit_cpu", entries) * entries * followers,
            ONE_REACTOR,
            SMALL_ENTRIES,
        ),
        row(
            need,
            Kind.MESSAGES,
            "bytes that the leader sends for them",
            "B/s",
            lines.each("raft.commit_bytes", entries) * entries * followers,
            note=SMALL_ENTRIES,
        ),
        row(
            need,
            Kind.STATE,
            "bytes that the leader writes for them",
            "B/s",
            lines.each("raft.commit_disk", entries) * entries,
            note="small entries",
        ),
        row(
            need,
            Kind.TIME,
            "one of many entries agreed on, part of the time between two",
            "",
            lines.each("raft.commit_time", entries) * entries,
            1.0,
        ),
        row(
            need,
            Kind.TIME,
            "one entry as large as a node's file, from question to answer",
            "s",
            lines.at("raft.commit_time_by_size", file_bytes(fleet)),
            fleet.target.configuration.within,
        ),
        row(
            Need.CONFIGURATION,
            Kind.STATE,
            "a node's file, against what an owner may keep in one entry",
            "B",
            file_bytes(fleet),
            LARGEST_STATE,
            "the program's own limit",
        ),
        row(
            need,
            Kind.TIME,
            "an instance started again, with the census on its disk",
            "s",
            lines.at("raft.start_time", census_characters(fleet.members)),
            fleet.target.configuration.within,
        ),
    ]


def entries_a_second(fleet: Fleet) -> Figure:
    """Renewals of all leases, and changes of configuration at their peak, were they agreed on."""
    renewals = len(WORKS) * MS / (SPAN * RENEW_AT)
    return file_changes(fleet) / DAY * fleet.assumed("peak_times") + renewals


def census_characters(members: Figure) -> Figure:
    """Length of the census's agreed text when all of so many node processes live with like shares."""
    if members.value is None:
        return members
    names = [f"n{number:04}" for number in range(math.ceil(members.value))]
    census = Census(names, seed=0)
    census.want = census.held = dict.fromkeys(names, 1.0 / len(names))
    return figure(len(census.dump())) * (members / members.value)
