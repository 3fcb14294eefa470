"""Rendezvous hashing: the order in which a node prefers publishers, without coordination between nodes.

Source: Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (IEEE/ACM ToN 1998). When a
publisher fails, only its own nodes move, and they spread over all remaining publishers.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from typing import NamedTuple


class Place(NamedTuple):
    """A publisher or a node: its name and its location."""

    name: str
    zone: str
    region: str


def rendezvous_weight(node: str, publisher: str) -> bytes:
    return hashlib.blake2b(f"{node}\0{publisher}".encode(), digest_size=8).digest()


def publishers_by_preference(node: Place, publishers: Iterable[Place]) -> list[Place]:
    """All publishers, most preferred first: those of the node's zone, then of its region, then all others."""

    def preference(publisher: Place) -> tuple[int, bytes]:
        if publisher.region != node.region:
            return 2, rendezvous_weight(node.name, publisher.name)
        return int(publisher.zone != node.zone), rendezvous_weight(node.name, publisher.name)

    return sorted(publishers, key=preference)
