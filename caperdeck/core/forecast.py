"""A session's load to come: exponential smoothing of its load notes. Arithmetic only.

Loads are milliseconds of work a second, times are float milliseconds.
"""

from __future__ import annotations

import math

from .model import SessionState

FORECAST_TAU = 8000.0  # the time constant of the smoothing


def forecast(s: SessionState, now: float, mean: float) -> float:
    """Smoothed mean of the session's load notes, else its usual load, else the mean of what is known."""
    if s.present is None:
        return mean if s.usual is None else s.usual
    return s.present + (s.smooth - s.present) * math.exp((s.noted - now) / FORECAST_TAU)


def take_load_note(s: SessionState, now: float, load: float, mean: float) -> None:
    """The session's load from now on; the smoothing goes on from the forecast, if there was any."""
    s.smooth = load if s.present is None and s.usual is None else forecast(s, now, mean)
    s.present, s.noted = load, now
