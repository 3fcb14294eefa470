"""Amounts as text: three digits, with the unit in a size that reads well."""

from __future__ import annotations

import math

from .figure import Figure, Origin

NOT_MEASURED = "not measured"
DIGITS = 3
PREFIXES = ((1e12, "T"), (1e9, "G"), (1e6, "M"), (1e3, "k"), (1.0, ""))
SHORT_TIMES = ((1.0, "s"), (1e-3, "ms"), (1e-6, "µs"), (1e-9, "ns"))
SECONDS = ((86_400.0, "days"), (3600.0, "h"), (60.0, "min"))
LONG_TIME = 1000.0  # seconds, from which minutes, hours or days are said
LITTLE = 1e-3  # from which down a number is written with a power of ten


def number(value: float) -> str:
    if math.isinf(value):
        return "without end"
    if value == 0:
        return "0"
    if abs(value) < LITTLE:
        return f"{value:.{DIGITS - 1}e}"
    decimals = max(DIGITS - 1 - math.floor(math.log10(abs(value))), 0)
    text = f"{round(value, decimals):,.{decimals}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def amount(value: float | None, unit: str) -> str:
    if value is None:
        return NOT_MEASURED
    if math.isinf(value):
        return number(value)
    if value == 0 or unit == "":
        return f"{number(value)} {unit}".strip()
    if unit == "s":
        return _time(value)
    if unit.startswith("B"):
        scale, prefix = next((s for s in PREFIXES if abs(value) >= s[0]), PREFIXES[-1])
        return f"{number(value / scale)} {prefix}{unit}"
    return number(value) + ("" if unit == "/s" else " ") + unit


def _time(value: float) -> str:
    if value >= LONG_TIME:
        scale, unit = next(s for s in SECONDS if value >= s[0])
    else:
        scale, unit = next((s for s in SHORT_TIMES if value >= s[0]), SHORT_TIMES[-1])
    return f"{number(value / scale)} {unit}"


def shown(figure: Figure, unit: str) -> str:
    return amount(figure.value, unit)


def room(times: float | None) -> str:
    """How an amount stands to its bound: so many times over it, or so many times under it."""
    if times is None:
        return ""
    if times > 1:
        return f"**{number(times)} times over**"
    return f"{number(1 / times)} times under" if times > 0 else "0"


def stretch(figure: Figure) -> str:
    """How far past the largest measured size; empty where no line is in it."""
    if not figure.stretch or figure.value is None:
        return ""
    text = "inside" if figure.stretch <= 1 else f"{number(figure.stretch)} times"
    return text + (f"; bent: {', '.join(sorted(figure.bent))}" if figure.bent else "")


def bound(figure: Figure | None, unit: str) -> str:
    """What is allowed; marked where it is not the target's word."""
    if figure is None:
        return ""
    return shown(figure, unit) + (" (assumed)" if figure.assumed else "")


def origin(figure: Figure) -> str:
    text = figure.origin.value
    if figure.origin is Origin.NOT_MEASURED and figure.missing:
        text += f": {', '.join(sorted(figure.missing))}"
    elif figure.assumed:
        text += ", on " + ", ".join(sorted(figure.assumed))
    return text
