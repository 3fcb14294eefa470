"""Whose turn it is to do what is needed once, not once from every node: by hash, list and time, no messages.

Each node draws a wait for each piece of work and period. With N nodes the shortest wait is about one step,
whoever is dead or asleep, and others follow a step apart: whoever has heard that it is done, or sees that it
is not needed any more, does nothing. With nobody heard by anyone, so many have done it after a time as steps
have gone by, however many nodes there are; a wait never passes MOST_STEPS, so that nothing is left alone.
"""

from __future__ import annotations

import math
from enum import IntEnum

from .hashing import mixed

STEP = 150.0  # milliseconds between two that step in, in the mean: an answer's time and a word's way
MOST_STEPS = 12.0


class Work(IntEnum):
    FIRST = 1  # the first look at a host without a figure
    CROWDED = 2  # the look at one past its threshold
    RETURNING = 3  # the look at a cold or recovering one


def period(now: float, mark: int, work: Work, span: float) -> int:
    """The number of the period of a host's work; each host's begin at a moment of their own."""
    return math.floor(now / span + mixed(mark, work))


def wait(me: int, nodes: int, mark: int, work: Work, number: int, step: float = STEP) -> float:
    """Milliseconds from when the work is seen to be due until this node does it itself.

    Nobody else's clock is in it: lists and periods that differ only change who comes first.
    """
    place = mixed(mark, work, number, me) * max(nodes, 1)
    return step * min(place, MOST_STEPS)
