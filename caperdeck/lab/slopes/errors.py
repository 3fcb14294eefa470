"""Errors of a measurement run that the command reports in one line."""

from __future__ import annotations


class InputError(ValueError):
    """The request cannot be measured; nothing was started."""


class MeasurementError(RuntimeError):
    """A measurement started but gave no usable result, for example too few valid points; the run is void."""
