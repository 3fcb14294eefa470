"""Errors of measuring that a command answers with one line."""

from __future__ import annotations


class InputError(ValueError):
    """What was asked for cannot be measured; nothing was started."""


class MeasurementError(RuntimeError):
    """A measurement was begun and gave nothing to go by, as with too few valid points; void."""
