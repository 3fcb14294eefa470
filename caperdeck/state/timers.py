"""Timers of the reactor."""

from __future__ import annotations

from typing import Any


def cancel(call: Any) -> None:
    """Takes a timer back that may have run already, or was never set."""
    if call is not None and call.active():
        call.cancel()
