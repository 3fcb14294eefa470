"""Formats amounts with three significant digits and a unit of suitable size."""

from __future__ import annotations

import math

from .figure import Figure, Origin

NOT_MEASURED = "not measured"
SIGNIFICANT_DIGITS = 3
SI_PREFIXES = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k"), (1.0, ""))
SHORT_TIME_UNITS = ((1.0, "s"), (1e-3, "ms"), (1e-6, "µs"), (1e-9, "ns"))
LONG_TIME_UNITS = ((86_400.0, "days"), (3600.0, "h"), (60.0, "min"))
LONG_TIME_S = 1000.0  # from here on a time is given in minutes, hours or days
SCIENTIFIC_BELOW = 1e-3  # smaller numbers are written with a power of ten


def format_number(value: float) -> str:
    """A number with three significant digits."""
    if math.isinf(value):
        return "without end"
    if value == 0:
        return "0"
    if abs(value) < SCIENTIFIC_BELOW:
        return f"{value:.{SIGNIFICANT_DIGITS - 1}e}"
    decimals = max(SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value))), 0)
    text = f"{round(value, decimals):,.{decimals}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def format_amount(value: float | None, unit: str) -> str:
    """A number with its unit; a value of None is "not measured"."""
    if value is None:
        return NOT_MEASURED
    if math.isinf(value):
        return format_number(value)
    if value == 0 or unit == "":
        return f"{format_number(value)} {unit}".strip()
    if unit == "s":
        return _format_time(value)
    if unit.startswith("B"):
        scale, prefix = next((s for s in SI_PREFIXES if abs(value) >= s[0]), SI_PREFIXES[-1])
        return f"{format_number(value / scale)} {prefix}{unit}"
    return format_number(value) + ("" if unit == "/s" else " ") + unit


def _format_time(value: float) -> str:
    if value >= LONG_TIME_S:
        scale, unit = next(s for s in LONG_TIME_UNITS if value >= s[0])
    else:
        scale, unit = next((s for s in SHORT_TIME_UNITS if value >= s[0]), SHORT_TIME_UNITS[-1])
    return f"{format_number(value / scale)} {unit}"


def format_figure(figure: Figure, unit: str) -> str:
    """The value of a figure with its unit."""
    return format_amount(figure.value, unit)


def format_bound_ratio(ratio: float | None) -> str:
    """By which factor an amount is over or under its bound."""
    if ratio is None:
        return ""
    if ratio > 1:
        return f"**{format_number(ratio)} times over**"
    return f"{format_number(1 / ratio)} times under" if ratio > 0 else "0"


def format_extrapolation(figure: Figure) -> str:
    """How far a figure is past the largest measured size; empty if it depends on no line."""
    if not figure.extrapolation or figure.value is None:
        return ""
    text = "inside" if figure.extrapolation <= 1 else f"{format_number(figure.extrapolation)} times"
    return text + (f"; bent: {', '.join(sorted(figure.nonlinear))}" if figure.nonlinear else "")


def format_bound(figure: Figure | None, unit: str) -> str:
    """A bound, marked if it depends on an assumption."""
    if figure is None:
        return ""
    return format_figure(figure, unit) + (" (assumed)" if figure.assumed else "")


def format_origin(figure: Figure) -> str:
    """The origin of a figure with the missing measurements or the assumptions that it depends on."""
    text = figure.origin.value
    if figure.origin is Origin.NOT_MEASURED and figure.missing:
        text += f": {', '.join(sorted(figure.missing))}"
    elif figure.assumed:
        text += ", on " + ", ".join(sorted(figure.assumed))
    return text
