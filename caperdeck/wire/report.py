"""Parses the load that hosts report."""

from __future__ import annotations

MAX_REPORT_VALUE = 1e6  # larger values are neither counts nor ratios
MAX_SESSION_LOAD = 1e12  # in any unit that is used


def parse_report(text: bytes) -> dict[str, float]:
    """Parses a load report `NAME=NUMBER,...`; values that are not numbers of at least 0 are left out."""
    values = {}
    for field in text.split(b","):
        name, _, value = field.partition(b"=")
        if (number := _parse_number(value, MAX_REPORT_VALUE)) is not None:
            values[name.strip().decode("utf-8", "replace")] = number
    return values


def parse_load(text: bytes) -> float | None:
    """Parses a load in microseconds of work a second; None if it is not a valid number."""
    return _parse_number(text, MAX_SESSION_LOAD)


def _parse_number(text: bytes, limit: float) -> float | None:
    """Returns a number of at least 0 and under the limit, or None."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < limit else None
