"""The capacity of a host that warms up: linear in its age, from a first share to all of it. Arithmetic only.

Ages and spans are float milliseconds; capacities are shares of what the host can do once it is warm. The
shape is that of the invariants `coldFrom` and `warmAfter` in a node's settings.
"""

from __future__ import annotations


def warm_share(age: float, cold_from: float, warm_after: float) -> float:
    """The least share of its capacity that a host of this age has; the first one before its start."""
    if age >= warm_after:
        return 1.0
    return cold_from + (1 - cold_from) * max(age, 0.0) / warm_after


def warm_time(age: float, cold_from: float, warm_after: float) -> float:
    """The sum of that share over the time since the start, up to the end of the warm-up, in milliseconds."""
    age = min(max(age, 0.0), warm_after)
    return age * (cold_from + (1 - cold_from) / 2 * age / warm_after)


def mean_share(age: float, span: float, cold_from: float, warm_after: float) -> float:
    """The mean of that share over the last part of the age, of this length over 0."""
    grown = warm_time(age, cold_from, warm_after) - warm_time(age - span, cold_from, warm_after)
    return (grown + max(age - max(age - span, warm_after), 0.0)) / span
