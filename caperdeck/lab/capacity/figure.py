"""A worked-out amount that knows where it comes from: measurements, assumptions, and how far lines reach."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum

import msgspec


class Origin(Enum):
    NOT_MEASURED = "not measured"
    MEASURED = "measured"  # read off a line inside the measured sizes
    WORKED_OUT = "worked out"
    ASSUMED = "assumed"  # no measurement is in it, and an assumption is


class Figure(msgspec.Struct, frozen=True):
    """An amount; None where a measurement that it needs is missing. Arithmetic keeps track of the sources."""

    value: float | None
    stretch: float = 0.0  # the size it was read at, over the largest measured size; 0 without any measurement
    measured: frozenset[str] = frozenset()  # names of measurements in it
    missing: frozenset[str] = frozenset()  # names of measurements that it needs and the record lacks
    assumed: frozenset[str] = frozenset()  # fields of the target's table of assumptions in it
    bent: frozenset[str] = frozenset()  # of the measurements, those that a straight line does not fit
    computed: bool = False  # the result of arithmetic

    @property
    def origin(self) -> Origin:
        if self.value is None:
            return Origin.NOT_MEASURED
        if self.measured:
            read_off = not self.computed and self.stretch <= 1
            return Origin.MEASURED if read_off else Origin.WORKED_OUT
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

    def settled(self) -> Figure:
        """The same amount as a given one, where its sources are shown once and not at all that use it."""
        return Figure(self.value, missing=self.missing, computed=True)


def figure(value: Figure | float) -> Figure:
    return value if isinstance(value, Figure) else Figure(float(value))


def total(figures: Iterable[Figure]) -> Figure:
    return sum(figures, Figure(0.0))


def largest(figures: Iterable[Figure]) -> Figure:
    """The largest amount, with the sources of all; not measured where one of them is not."""
    first, *rest = figures
    for each in rest:
        first = _combine(first, each, max)
    return first


def _divide(a: float, b: float) -> float:
    return a / b if b > 0 else math.inf


def _combine(one: Figure, other: Figure | float, operation) -> Figure:
    other = figure(other)
    missing = one.missing | other.missing
    return Figure(
        None if one.value is None or other.value is None else operation(one.value, other.value),
        max(one.stretch, other.stretch),
        one.measured | other.measured,
        missing,
        one.assumed | other.assumed,
        one.bent | other.bent,
        computed=True,
    )
