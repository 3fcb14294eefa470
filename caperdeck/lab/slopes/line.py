"""Fits of a straight line through measured points, by ordinary least squares."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
from scipy.stats import linregress

MIN_SIZES = 4  # different sizes that a fit needs
MIN_R_SQUARED = 0.98  # from which a line counts as fitting its points


class FitError(ValueError):
    """There are too few points for a fit."""


class Point(msgspec.Struct, frozen=True):
    """One measured cost at one size, in the units of its measurement."""

    size: float
    cost: float


class Line(msgspec.Struct, frozen=True):
    """cost = fixed + slope * size, with the standard errors of both and the residuals."""

    fixed: float
    slope: float
    fixed_error: float
    slope_error: float
    r_squared: float
    residuals: tuple[float, ...]

    def at(self, size: float) -> float:
        """The fitted cost at a size."""
        return self.fixed + self.slope * size

    @property
    def fits(self) -> bool:
        return self.r_squared >= MIN_R_SQUARED


def fit(points: Sequence[Point]) -> Line:
    """Fits a line; raises FitError for fewer than MIN_SIZES different sizes."""
    sizes = [point.size for point in points]
    costs = [point.cost for point in points]
    if len(set(sizes)) < MIN_SIZES:
        raise FitError(f"{len(set(sizes))} sizes, a line needs {MIN_SIZES}")
    if len(set(costs)) == 1:
        # scipy leaves the errors of a horizontal line undefined (NaN), which JSON cannot represent.
        return Line(costs[0], 0.0, 0.0, 0.0, 1.0, (0.0,) * len(costs))
    regression = linregress(sizes, costs)
    residuals = [
        cost - (regression.intercept + regression.slope * size)
        for size, cost in zip(sizes, costs, strict=True)
    ]
    return Line(
        fixed=float(regression.intercept),
        slope=float(regression.slope),
        fixed_error=float(regression.intercept_stderr),
        slope_error=float(regression.stderr),
        r_squared=float(regression.rvalue) ** 2,
        residuals=tuple(float(residual) for residual in residuals),
    )
