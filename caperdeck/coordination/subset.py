"""Which hosts a node looks at and keeps figures of, from the list of hosts and its own number alone.

Hosts lie on a ring, in an order drawn by their marks, each as wide as its size. A node stands at the
fractional part of its number times the golden ratio, and its subset is the arc from there on. Numbers in a
row stand apart, any N of them are spread almost evenly (the three-distance theorem), and where a node stands
does not depend on how many there are: a node more or fewer changes no other node's subset.

After the deterministic apertures of Twitter's Finagle ("Deterministic Aperture", 2019), which put node i of N
at i/N; docs/turns-design.md counts that and other ways beside this one.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable, Iterable, Sequence
from itertools import accumulate
from typing import NamedTuple

from .hashing import mixed

GOLDEN = (math.sqrt(5) - 1) / 2
LEAST = 8  # hosts of a subset, if there are so many
COVER = 4  # nodes that each host is meant for, if there are so many
LARGEST = 1e6  # times the smallest size
MOST_HOSTS = 4096


class SubsetError(ValueError):
    """The list cannot be used; the text names the row and the reason."""


class Place(NamedTuple):
    """A host on the list: its mark is alike at every node, its size in any one unit."""

    host: int
    mark: int
    size: float
    zone: int = 0


class Part(NamedTuple):
    """A host of a subset, and how much of the node's new sessions it is meant for; all add up to 1."""

    host: int
    share: float


def wanted(hosts: int, nodes: int) -> int:
    """How many hosts a node's subset has: enough that each is looked at by COVER nodes."""
    return min(hosts, max(LEAST, -(-COVER * hosts // max(nodes, 1))))


def stands_at(me: int) -> float:
    return me * GOLDEN % 1.0


class Ring:
    """Raises SubsetError; nothing of a list that cannot be used is taken."""

    def __init__(self, places: Iterable[Place]) -> None:
        rows = sorted(places, key=lambda p: (mixed(p.mark), p.mark))
        _check(rows)
        self.rows = rows
        ends = list(accumulate(p.size for p in rows))
        self.ends = [end / ends[-1] for end in ends] if rows else []

    def arc(self, at: float, least: int, good: Callable[[int], bool] = lambda host: True) -> list[Part]:
        """The hosts on as much of the ring as so many hosts of mean size take up, from that place on; then as
        many more, meant for none of the sessions, as it takes until `least` of them are good, or all are in.
        """
        size, parts, found = len(self.rows), [], 0
        span = min(least / size, 1.0) if size else 0.0
        first = bisect_right(self.ends, at) % max(size, 1)
        here = at
        for k in range(size):
            j = (first + k) % size
            end = self.ends[j] + (first + k) // size
            inside = max(min(end, at + span) - here, 0.0)
            if not inside and found >= least:
                break
            parts.append(Part(self.rows[j].host, inside / span))
            found += good(self.rows[j].host)
            here = end
        if parts and here < at + span:
            # all the way round: the rest of the first one
            parts[0] = parts[0]._replace(share=parts[0].share + (at + span - here) / span)
        return parts


def _check(rows: Sequence[Place]) -> None:
    if len(rows) > MOST_HOSTS:
        raise SubsetError(f"{len(rows)} hosts, over {MOST_HOSTS}")
    for a, b in zip(rows, rows[1:], strict=False):
        if a.mark == b.mark:
            # Danger: two hosts under one mark stand in one order here and in another at the next node.
            raise SubsetError(f"host {b.host}: its mark {b.mark} stands twice")
    for p in rows:
        if isinstance(p.size, bool) or not isinstance(p.size, int | float) or not math.isfinite(p.size):
            raise SubsetError(f"host {p.host}: size {p.size!r:.50} is no number")
        if p.size <= 0:
            raise SubsetError(f"host {p.host}: size {p.size} is not over 0")
    if rows and max(p.size for p in rows) > LARGEST * min(p.size for p in rows):
        largest = max(rows, key=lambda p: p.size).host
        raise SubsetError(f"host {largest}: its size is absurd beside the others'")


class Subsets:
    """A node's subsets of all hosts and of its own zone's; the last good ones where a list is not taken."""

    def __init__(self, me: int, nodes: int, zone: int = 0) -> None:
        if isinstance(me, bool) or not isinstance(me, int) or me < 0:
            raise SubsetError(f"the own number {me!r:.50} is on no list")
        self.me, self.nodes, self.zone = me, max(nodes, 1), zone
        self.all, self.near = Ring([]), Ring([])
        self.refused = ""

    def update(self, places: Sequence[Place]) -> str | None:
        """The reason if the list is not taken."""
        try:
            whole, near = Ring(places), Ring(p for p in places if p.zone == self.zone)
        except SubsetError as error:
            self.refused = str(error)
            return self.refused
        self.all, self.near, self.refused = whole, near, ""
        return None

    def narrowed(self, near: bool) -> list[int]:
        """The hosts of the subset; none where it leaves nobody out."""
        hosts = [p.host for p in self.pick(near)]
        return hosts if len(hosts) < len((self.near if near else self.all).rows) else []

    def pick(self, near: bool, good: Callable[[int], bool] = lambda host: True) -> list[Part]:
        ring = self.near if near else self.all
        # of all nodes a zone has about the part that it has of all hosts
        least = min(wanted(len(self.all.rows), self.nodes), len(ring.rows))
        return ring.arc(stands_at(self.me), least, good)
