"""Forecast of a session's load by exponential smoothing of its load notes. Arithmetic only.

Loads are milliseconds of work a second, times are float milliseconds.
"""

from __future__ import annotations

import math

from .model import SessionState

FORECAST_TAU_MS = 8000.0  # time constant of the smoothing


def forecast(session: SessionState, now: float, mean: float) -> float:
    """The smoothed load of the session's notes, else its load hint, else the mean of all sessions."""
    if session.last_load is None:
        return mean if session.load_hint is None else session.load_hint
    return session.last_load + (session.smoothed_load - session.last_load) * math.exp(
        (session.last_load_at - now) / FORECAST_TAU_MS
    )


def take_load_note(session: SessionState, now: float, load: float, mean: float) -> None:
    """Records a newly noted load; the smoothing continues from the forecast, if there was one."""
    session.smoothed_load = (
        load if session.last_load is None and session.load_hint is None else forecast(session, now, mean)
    )
    session.last_load, session.last_load_at = load, now
