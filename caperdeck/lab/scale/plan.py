"""What the run and its hollow processes say to each other, a JSON object a line."""

from __future__ import annotations

from typing import Any

import msgspec

from .heartbeat import LatenessStats
from .traffic import Traffic


class Plan(msgspec.Struct):
    """The first line to a hollow process."""

    numbers: list[int]  # of its nodes
    addresses: list[str]  # their own, for datagrams and for calls
    peers: list[str]  # of all members, by number
    instances: list[str]
    cluster: str
    discovery: str
    sharing: list[str]
    scenario: dict[str, Any]  # of the real part, for the same settings
    seed: int
    life: int
    beat_ms: float
    sample: float  # seconds between samples


class Order(msgspec.Struct):
    """A later line to a hollow process."""

    watch: list[int] | None = None  # members; what its nodes know of these is told from now on
    zero_beats: bool = False  # its lateness counts from now


class Sample(msgspec.Struct):
    """From a hollow process, of all its nodes together."""

    nodes: int  # up
    ready: bool  # all of them
    know_most: int  # nodes that know 9 in 10 of the members as alive
    known: float  # the mean share of the members that a node knows as alive
    told: int  # nodes that an owner has told their share
    watched_dead: int  # nodes that know 9 in 10 of those watched as silent
    watched_alive: int  # the same as alive again, in a new life
    cpu: float  # seconds of processor time
    base_uss: int  # bytes of memory before its nodes were made
    traffic: Traffic
    late: LatenessStats
    made_s: float = 0.0  # processor time to make the nodes
