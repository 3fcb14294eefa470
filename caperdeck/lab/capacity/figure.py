"""Amounts that record their sources: measurements, assumptions, and how far lines are extrapolated."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum

import msgspec
from msgspec import field


class Origin(Enum):
    """Where an amount comes from, as printed in the tables."""

    NOT_MEASURED = "not measured"
    MEASURED = "measured"  # a point of a line within the measured sizes
    WORKED_OUT = "worked out"
    ASSUMED = "assumed"  # depends on an assumption and on no measurement


class Figure(msgspec.Struct, frozen=True):
    """An amount with its sources, which arithmetic combines.

    The value is None if a measurement that it depends on is missing.
    """

    value: float | None
    # Size at which a line was evaluated over its largest measured size; the maximum of all lines, or 0.
    extrapolation: float = field(default=0.0, name="stretch")
    measured: frozenset[str] = frozenset()  # names of the measurements it depends on
    missing: frozenset[str] = frozenset()  # names of measurements it depends on and the record lacks
    assumed: frozenset[str] = frozenset()  # fields of the target's table of assumptions it depends on
    # Names of the measurements that a straight line does not fit.
    nonlinear: frozenset[str] = field(default=frozenset(), name="bent")
    computed: bool = False  # result of arithmetic

    @property
    def origin(self) -> Origin:
        """Where the value comes from: not measured, measured, computed or assumed."""
        if self.value is None:
            return Origin.NOT_MEASURED
        if self.measured:
            interpolated = not self.computed and self.extrapolation <= 1
            return Origin.MEASURED if interpolated else Origin.WORKED_OUT
        return Origin.ASSUMED if self.assumed else Origin.WORKED_OUT

    def __add__(self, other: Figure | float) -> Figure:
        return _combine(self, other, lambda a, b: a + b)

    def __sub__(self, other: Figure | float) -> Figure:
        return _combine(self, other, lambda a, b: a - b)

    def __mul__(self, other: Figure | float) -> Figure:
        return _combine(self, other, lambda a, b: a * b)

    def __truediv__(self, other: Figure | float) -> Figure:
        return _combine(self, other, _divide)

    __radd__, __rmul__ = __add__, __mul__

    def __rsub__(self, other: float) -> Figure:
        return figure(other) - self

    def __rtruediv__(self, other: float) -> Figure:
        return figure(other) / self

    def as_given(self) -> Figure:
        """The same amount without its sources, for a value whose sources are printed in their own table."""
        return Figure(self.value, missing=self.missing, computed=True)


def figure(value: Figure | float) -> Figure:
    """A number as a Figure without sources; a Figure is returned unchanged."""
    return value if isinstance(value, Figure) else Figure(float(value))


def total(figures: Iterable[Figure]) -> Figure:
    """The sum, with the sources of all."""
    return sum(figures, Figure(0.0))


def largest(figures: Iterable[Figure]) -> Figure:
    """The largest amount with the sources of all; without a value if one of them has none."""
    result, *rest = figures
    for other in rest:
        result = _combine(result, other, max)
    return result


def _divide(a: float, b: float) -> float:
    return a / b if b > 0 else math.inf


def _combine(left: Figure, right: Figure | float, operation) -> Figure:
    right = figure(right)
    missing = left.missing | right.missing
    return Figure(
        None if left.value is None or right.value is None else operation(left.value, right.value),
        max(left.extrapolation, right.extrapolation),
        left.measured | right.measured,
        missing,
        left.assumed | right.assumed,
        left.nonlinear | right.nonlinear,
        computed=True,
    )
