"""Messages between the run and its stub processes, one JSON object on each line."""

from __future__ import annotations

from typing import Any

import msgspec

from .heartbeat import LatenessStats
from .traffic import Traffic


class Plan(msgspec.Struct):
    """The first line to a stub process."""

    numbers: list[int]  # member numbers of its nodes
    addresses: list[str]  # of its nodes, for datagrams and for admin calls
    peers: list[str]  # datagram addresses of all members, by number
    instances: list[str]
    cluster: str
    discovery: str
    sharing: list[str]
    scenario: dict[str, Any]  # of the real nodes, so that the stub nodes have the same settings
    seed: int
    life: int  # how often the process has been started
    beat_ms: float  # a heartbeat later than this counts as late
    sample: float  # seconds between samples


class Command(msgspec.Struct):
    """A later line to a stub process."""

    watch: list[int] | None = None  # members whose state the following samples report
    zero_beats: bool = False  # resets the lateness statistics


class Sample(msgspec.Struct):
    """The state of all nodes of a stub process, sent by that process."""

    nodes: int  # nodes started so far
    ready: bool  # all nodes are started
    know_most: int  # nodes that see 9 in 10 members as alive
    known: float  # mean share of the members that a node sees as alive
    told: int  # nodes that have received their target share from an owner
    watched_dead: int  # nodes that see 9 in 10 watched members as silent
    watched_alive: int  # nodes that see 9 in 10 watched members as alive with a new incarnation
    cpu: float  # processor time in seconds
    base_uss: int  # bytes of unshared memory before the nodes were created
    traffic: Traffic
    late: LatenessStats
    made_s: float = 0.0  # processor time to create the nodes
