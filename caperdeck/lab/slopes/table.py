"""Fitted lines as a text table, one measurement per row."""

from __future__ import annotations

from collections.abc import Sequence

from .record import Measurement

HEADING = ("measurement", "fixed", "slope", "r²", "unit", "against")


def table_lines(measurements: Sequence[Measurement]) -> list[str]:
    """The heading, a row for each measurement, and a remark below each whose line does not fit."""
    cells = [HEADING, *(_cells(measurement) for measurement in measurements)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(HEADING))]
    lines = [_format_row(HEADING, widths)]
    for measurement, row in zip(measurements, cells[1:], strict=True):
        lines.append(_format_row(row, widths))
        if not measurement.line.fits:
            lines.append(curve_remark(measurement))
    return lines


def curve_remark(measurement: Measurement) -> str:
    """Names the largest residual of a measurement whose line does not fit."""
    residuals = measurement.line.residuals
    worst = max(range(len(residuals)), key=lambda number: abs(residuals[number]))
    return (
        f"  a curve: {residuals[worst]:+.3g} {measurement.unit} off its line at "
        f"{measurement.points[worst].size:g}"
    )


def _cells(measurement: Measurement) -> tuple[str, ...]:
    line = measurement.line
    return (
        measurement.name,
        f"{line.fixed:.4g} ± {line.fixed_error:.2g}",
        f"{line.slope:.4g} ± {line.slope_error:.2g}",
        f"{line.r_squared:.4f}",
        measurement.unit,
        measurement.against,
    )


def _format_row(row: Sequence[str], widths: Sequence[int]) -> str:
    return "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
