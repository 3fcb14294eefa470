"""The capacity of a host during its warm-up, which grows linearly with its age. Arithmetic only.

Ages and spans are float milliseconds; capacities are shares of the host's warm capacity. The warm-up is
defined by the invariants `coldFrom` and `warmAfter` of a node's settings.
"""

from __future__ import annotations


def warm_share(age: float, cold_from: float, warm_after: float) -> float:
    """The share of its capacity that a host of this age has at least; before its start, the initial share."""
    if age >= warm_after:
        return 1.0
    return cold_from + (1 - cold_from) * max(age, 0.0) / warm_after


def warm_time(age: float, cold_from: float, warm_after: float) -> float:
    """The integral of that share from the start to this age, at most to the end of the warm-up."""
    age = min(max(age, 0.0), warm_after)
    return age * (cold_from + (1 - cold_from) / 2 * age / warm_after)


def mean_share(age: float, span: float, cold_from: float, warm_after: float) -> float:
    """The mean of that share over the last `span` of the age, which is above 0."""
    grown = warm_time(age, cold_from, warm_after) - warm_time(age - span, cold_from, warm_after)
    return (grown + max(age - max(age - span, warm_after), 0.0)) / span
