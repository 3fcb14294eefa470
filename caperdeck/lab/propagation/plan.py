"""What the run and the processes of its nodes say to each other, a JSON object a line; who stands where."""

from __future__ import annotations

import msgspec

from caperdeck.distribution.publisher_selection import Place
from caperdeck.lab.scale.heartbeat import LatenessStats
from caperdeck.lab.scale.traffic import Traffic

CLUSTER = "in-force"
INSTANCE_ZONES = (0, 1, 3, 2, 4, 0, 3)  # of each instance; seven of them: four in the larger region
NORTH, SOUTH = "north", "south"  # regions, the larger one first
ZONES = 5
ZONES_OF_NORTH = 3
LEAST_INSTANCES, MOST_INSTANCES = 3, len(INSTANCE_ZONES)


class NodePlan(msgspec.Struct):
    """One node; `folder` is its own and exists."""

    place: Place
    folder: str
    refuses: bool = False  # its own file does not bear a version with two listeners


class Plan(msgspec.Struct):
    """The one line to a process of nodes."""

    nodes: list[NodePlan]
    instances: dict[str, tuple[Place, str]]  # by name, with the address
    beat_ms: float
    report: float  # seconds between reports
    across: dict[str, str] = {}  # by name, the address for nodes of the other region, where it is another


class InForce(msgspec.Struct):
    """A node has put a revision in force; `at` is in ms of the clock that all processes share."""

    node: str
    revision: int
    at: float


class Refused(msgspec.Struct):
    """The version that a node has refused last."""

    node: str
    revision: int
    reason: str


class Report(msgspec.Struct):
    """Of all nodes of a process together; `put` and `begun` hold what came since the report before."""

    ready: bool
    put: list[InForce]
    begun: list[InForce]  # what each node began its life with, 0 where its folder had nothing
    uncurrent: list[str]  # nodes that do not call themselves current
    stale: list[str]  # of these the ones that say so of themselves
    refused: list[Refused]
    cpu: float  # seconds of processor time
    base_uss: int  # bytes of memory before its nodes were made
    traffic: Traffic
    late: LatenessStats


def place_in(name: str, zone: int) -> Place:
    return Place(name, f"z{zone}", NORTH if zone < ZONES_OF_NORTH else SOUTH)


def other_region(region: str) -> str:
    return SOUTH if region == NORTH else NORTH


def node_places(count: int) -> list[Place]:
    """Spread evenly over the zones."""
    return [place_in(f"n{i}", i % ZONES) for i in range(count)]


def instance_places(count: int) -> list[Place]:
    return [place_in(f"o{i}", zone) for i, zone in enumerate(INSTANCE_ZONES[:count])]


def refusing_names(places: list[Place]) -> set[str]:
    """Every second node of each zone: these cannot serve a version that is made for it."""
    return {place.name for i, place in enumerate(places) if i // ZONES % 2}
