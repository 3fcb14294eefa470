"""Messages between a run and its processes of nodes, one JSON object per line, and the places of both."""

from __future__ import annotations

import msgspec

from caperdeck.distribution.publisher_selection import Place
from caperdeck.lab.scale.heartbeat import LatenessStats
from caperdeck.lab.scale.traffic import Traffic

CLUSTER = "in-force"
INSTANCE_ZONES = (0, 1, 3, 2, 4, 0, 3)  # zone by instance; four of seven are in the larger region
NORTH, SOUTH = "north", "south"  # regions, the larger one first
ZONES = 5
ZONES_OF_NORTH = 3
MIN_INSTANCES, MAX_INSTANCES = 3, len(INSTANCE_ZONES)


class NodePlan(msgspec.Struct):
    """One node; `folder` exists and is used by this node only."""

    place: Place
    folder: str
    refuses: bool = False  # its configuration file is incompatible with a version that has two listeners


class Plan(msgspec.Struct):
    """The only message to a process of nodes."""

    nodes: list[NodePlan]
    instances: dict[str, tuple[Place, str]]  # place and address by name
    beat_ms: float
    report: float  # seconds between reports
    across: dict[str, str] = {}  # addresses for nodes of the other region, by name


class AppliedVersion(msgspec.Struct):
    """A node has applied a revision; `at` is in ms of the clock that all processes share."""

    node: str
    revision: int
    at: float


class RefusedVersion(msgspec.Struct):
    """The last version that a node has refused."""

    node: str
    revision: int
    reason: str


class Report(msgspec.Struct):
    """State of all nodes of a process.

    `put` (applied versions) and `begun` (versions with which nodes started) hold the entries since the report
    before.
    """

    ready: bool
    put: list[AppliedVersion]
    begun: list[AppliedVersion]  # revision 0 if the folder of the node was empty
    uncurrent: list[str]  # nodes that do not report themselves as current
    stale: list[str]  # those of them that report themselves as stale
    refused: list[RefusedVersion]
    cpu: float  # processor time in seconds
    base_uss: int  # private memory in bytes before the nodes were made
    traffic: Traffic
    late: LatenessStats


def place_in(name: str, zone: int) -> Place:
    return Place(name, f"z{zone}", NORTH if zone < ZONES_OF_NORTH else SOUTH)


def other_region(region: str) -> str:
    return SOUTH if region == NORTH else NORTH


def node_places(count: int) -> list[Place]:
    """Places of nodes that are spread evenly over the zones."""
    return [place_in(f"n{i}", i % ZONES) for i in range(count)]


def instance_places(count: int) -> list[Place]:
    return [place_in(f"o{i}", zone) for i, zone in enumerate(INSTANCE_ZONES[:count])]


def refusing_names(places: list[Place]) -> set[str]:
    """Names of every second node of each zone; these refuse a version with two listeners."""
    return {place.name for i, place in enumerate(places) if i // ZONES % 2}
