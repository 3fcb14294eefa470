"""Fits of a straight line through measured points, by ordinary least squares."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from scipy.stats import linregress

LEAST_SIZES = 4  # different sizes that a fit needs
WELL_FITTED = 0.98  # squared correlation from which residuals are not worth a look


class FitError(ValueError):
    """The points do not allow a fit."""


class Point(msgspec.Struct, frozen=True):
    """One measured cost at one size, in the units of its measurement."""

    size: float
    cost: float


class Line(msgspec.Struct, frozen=True):
    """cost = fixed + slope * size, with the standard errors of both and what the line leaves over."""

    fixed: float
    slope: float
    fixed_error: float
    slope_error: float
    r_squared: float
    residuals: tuple[float, ...]

    def at(self, size: float) -> float:
        """The cost that the line gives for a size."""
        return self.fixed + self.slope * size

    @property
    def fits(self) -> bool:
        return self.r_squared >= WELL_FITTED


def fit(points: Sequence[Point]) -> Line:
    """Raises FitError for fewer than LEAST_SIZES different sizes."""
    sizes = [point.size for point in points]
    costs = [point.cost for point in points]
    if len(set(sizes)) < LEAST_SIZES:
        raise FitError(f"{len(set(sizes))} sizes, a line needs {LEAST_SIZES}")
    if len(set(costs)) == 1:
        # the library leaves the errors of a level line undefined, and JSON has no such figure
        return Line(costs[0], 0.0, 0.0, 0.0, 1.0, (0.0,) * len(costs))
    found = linregress(sizes, costs)
    residuals = [
        cost - (found.intercept + found.slope * size) for size, cost in zip(sizes, costs, strict=True)
    ]
    return Line(
        fixed=float(found.intercept),
        slope=float(found.slope),
        fixed_error=float(found.intercept_stderr),
        slope_error=float(found.stderr),
        r_squared=float(found.rvalue) ** 2,
        residuals=tuple(float(residual) for residual in residuals),
    )
