"""Staggers work that is needed once per host, so that not every node does it: by hash, list and time, without
messages.

Each node draws a delay for each piece of work and period. With N nodes the shortest delay is about one step,
whichever nodes are dead or asleep, and the others follow one step apart: a node that has heard that the work
is done, or sees that it is no longer needed, does nothing. If no node hears of any other, the number of nodes
that have done the work grows with the steps that have passed, not with the number of nodes. A delay never
exceeds MAX_STEPS, so that no work is left undone.
"""

from __future__ import annotations

import math
from enum import IntEnum

from .hashing import uniform_hash

STEP_MS = 150.0  # mean time between two nodes that act: a probe's answer and the report of it
MAX_STEPS = 12.0


class StaggeredWork(IntEnum):
    """The kinds of work; the values are hashed and have to be the same on every node."""

    FIRST_PROBE = 1  # of a host without a load report
    OVERLOADED_PROBE = 2  # of a host past its threshold
    COLD_PROBE = 3  # of a host in slow start or recovering


def period_number(now: float, stable_id: int, work: StaggeredWork, length: float) -> int:
    """The number of the current period of a host's work; each host's periods begin at their own time."""
    return math.floor(now / length + uniform_hash(stable_id, work))


def stagger_delay(
    node_number: int, nodes: int, stable_id: int, work: StaggeredWork, period: int, step: float = STEP_MS
) -> float:
    """Milliseconds from when the work is seen to be due until this node does it itself.

    It depends on no other node's clock: lists and periods that differ only change which node comes first.
    """
    steps = uniform_hash(stable_id, work, period, node_number) * max(nodes, 1)
    return step * min(steps, MAX_STEPS)
