"""Deterministic subsetting: which hosts a node probes and keeps load reports of, from the list of hosts and
the node's number alone.

Hosts lie on a ring, ordered by a hash of their stable IDs, each as wide as its size. A node's position is the
fractional part of its number times the golden ratio, and its subset is the arc that begins there. Consecutive
numbers lie far apart and any N of them are spread almost evenly (the three-distance theorem). A node's
position does not depend on the number of nodes, so a node that is added or removed changes no other node's
subset.

After the deterministic apertures of Twitter's Finagle ("Deterministic Aperture", 2019), which put node i of N
at i/N; docs/turns-design.md compares that and other ways with this one.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from itertools import accumulate
from typing import NamedTuple

from .hashing import uniform_hash

GOLDEN_RATIO_CONJUGATE = (math.sqrt(5) - 1) / 2
MIN_SUBSET_HOSTS = 8  # or all, if there are fewer
NODES_PER_HOST = 4  # nodes that have each host in their subset, or all, if there are fewer
MAX_SIZE_RATIO = 1e6  # between the largest and the smallest host
MAX_HOSTS = 4096


class SubsetError(ValueError):
    """The list or the node's number cannot be used; the text names the faulty value."""


class RingHost(NamedTuple):
    """A host on the list. Its stable ID is the same on every node; its size is in any one unit."""

    host: int
    stable_id: int
    size: float
    zone: int = 0


class SubsetHost(NamedTuple):
    """A host of a subset and its share of the node's new sessions; the shares of a subset add up to 1."""

    host: int
    share: float


def subset_size(hosts: int, nodes: int) -> int:
    """How many hosts a node's subset has, so that each host is probed by NODES_PER_HOST nodes."""
    return min(hosts, max(MIN_SUBSET_HOSTS, -(-NODES_PER_HOST * hosts // max(nodes, 1))))


def ring_position(node_number: int) -> float:
    """Where a node's arc begins, from 0 to under 1."""
    return node_number * GOLDEN_RATIO_CONJUGATE % 1.0


class Ring:
    """The hosts of a list on a ring of circumference 1. Raises SubsetError if any of them cannot be used."""

    def __init__(self, hosts: Iterable[RingHost]) -> None:
        rows = sorted(hosts, key=lambda host: (uniform_hash(host.stable_id), host.stable_id))
        _check(rows)
        self.ordered_hosts = rows
        ends = list(accumulate(host.size for host in rows))
        self.ends = [end / ends[-1] for end in ends] if rows else []

    def arc(
        self, start: float, min_hosts: int, usable: Callable[[int], bool] = lambda host: True
    ) -> list[SubsetHost]:
        """The hosts on an arc that begins at `start` and is as long as `min_hosts` hosts of mean size.

        Further hosts with a share of 0 follow until `min_hosts` of all are usable, or every host is included.
        """
        size, subset, usable_count = len(self.ordered_hosts), [], 0
        length = min(min_hosts / size, 1.0) if size else 0.0
        first = bisect_right(self.ends, start) % max(size, 1)
        position = start
        for offset in range(size):
            index = (first + offset) % size
            end = self.ends[index] + (first + offset) // size
            inside = max(min(end, start + length) - position, 0.0)
            if not inside and usable_count >= min_hosts:
                break
            subset.append(SubsetHost(self.ordered_hosts[index].host, inside / length))
            usable_count += usable(self.ordered_hosts[index].host)
            position = end
        if subset and position < start + length:
            # The arc goes all the way round: the first host also gets the piece before `start`.
            subset[0] = subset[0]._replace(share=subset[0].share + (start + length - position) / length)
        return subset


def _check(rows: Sequence[RingHost]) -> None:
    if len(rows) > MAX_HOSTS:
        raise SubsetError(f"{len(rows)} hosts, over the limit of {MAX_HOSTS}")
    for a, b in zip(rows, rows[1:], strict=False):
        if a.stable_id == b.stable_id:
            # Two hosts with one ID could be in a different order on each node.
            raise SubsetError(f"host {b.host}: its ID {b.stable_id} is on the list twice")
    for row in rows:
        if isinstance(row.size, bool) or not isinstance(row.size, int | float) or not math.isfinite(row.size):
            raise SubsetError(f"host {row.host}: size {row.size!r:.50} is not a finite number")
        if row.size <= 0:
            raise SubsetError(f"host {row.host}: size {row.size} is not over 0")
    if rows and max(row.size for row in rows) > MAX_SIZE_RATIO * min(row.size for row in rows):
        largest = max(rows, key=lambda row: row.size).host
        raise SubsetError(f"host {largest}: its size is out of proportion to the others")


class Subsets:
    """A node's subset of all hosts and that of its zone's hosts; a list that cannot be used leaves both as
    they were.
    """

    def __init__(self, node_number: int, nodes: int, zone: int = 0) -> None:
        if isinstance(node_number, bool) or not isinstance(node_number, int) or node_number < 0:
            raise SubsetError(f"this node's number {node_number!r:.50} is not a whole number from 0")
        self.node_number, self.nodes, self.zone = node_number, max(nodes, 1), zone
        self.all_hosts, self.zone_hosts = Ring([]), Ring([])
        self.refusal = ""  # why the last list was not taken

    def update(self, hosts: Sequence[RingHost]) -> str | None:
        """Takes a new list; returns the reason if it cannot be used."""
        try:
            whole, zone_hosts = Ring(hosts), Ring(host for host in hosts if host.zone == self.zone)
        except SubsetError as error:
            self.refusal = str(error)
            return self.refusal
        self.all_hosts, self.zone_hosts, self.refusal = whole, zone_hosts, ""
        return None

    def restricted_hosts(self, in_zone: bool) -> list[int]:
        """The hosts of the subset; empty if the subset leaves no host out."""
        hosts = [member.host for member in self.select(in_zone)]
        return (
            hosts if len(hosts) < len((self.zone_hosts if in_zone else self.all_hosts).ordered_hosts) else []
        )

    def select(self, in_zone: bool, usable: Callable[[int], bool] = lambda host: True) -> list[SubsetHost]:
        """The subset of the zone's hosts or of all hosts."""
        ring = self.zone_hosts if in_zone else self.all_hosts
        # A zone has about the same fraction of all nodes as of all hosts.
        min_hosts = min(subset_size(len(self.all_hosts.ordered_hosts), self.nodes), len(ring.ordered_hosts))
        return ring.arc(ring_position(self.node_number), min_hosts, usable)
