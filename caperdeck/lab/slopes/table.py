"""Fitted lines as text, one measurement a row."""

from __future__ import annotations

from collections.abc import Sequence

from .record import Measurement

HEADING = ("measurement", "fixed", "slope", "r²", "unit", "against")


def rows(measurements: Sequence[Measurement]) -> list[str]:
    """A heading, a row for each measurement, and a row under each whose points lie on no straight line."""
    cells = [HEADING, *(_cells(each) for each in measurements)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(HEADING))]
    made = [_joined(HEADING, widths)]
    for each, row in zip(measurements, cells[1:], strict=True):
        made.append(_joined(row, widths))
        if not each.line.fits:
            made.append(curve(each))
    return made


def curve(each: Measurement) -> str:
    """What a reader has to know of a measurement that its line does not fit."""
    residuals = each.line.residuals
    worst = max(range(len(residuals)), key=lambda number: abs(residuals[number]))
    return f"  a curve: {residuals[worst]:+.3g} {each.unit} off its line at {each.points[worst].size:g}"


def _cells(each: Measurement) -> tuple[str, ...]:
    line = each.line
    return (
        each.name,
        f"{line.fixed:.4g} ± {line.fixed_error:.2g}",
        f"{line.slope:.4g} ± {line.slope_error:.2g}",
        f"{line.r_squared:.4f}",
        each.unit,
        each.against,
    )


def _joined(row: Sequence[str], widths: Sequence[int]) -> str:
    return "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
