"""What a host reports of its load, as text of the wire."""

from __future__ import annotations

MOST = 1e6  # figures of a report, at or over this, are no counts or shares
MOST_LOAD = 1e12  # of a session's load, in whatever unit of time


def parse_report(text: bytes) -> dict[str, float]:
    """A load report NAME=NUMBER,...; what is no number from 0 on is left out."""
    values = {}
    for part in text.split(b","):
        name, _, value = part.partition(b"=")
        if (number := _figure(value, MOST)) is not None:
            values[name.strip().decode("utf-8", "replace")] = number
    return values


def parse_load(text: bytes) -> float | None:
    """A load in microseconds of work a second."""
    return _figure(text, MOST_LOAD)


def _figure(text: bytes, most: float) -> float | None:
    """A number from 0 on and under the most, or None."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if 0 <= number < most else None
