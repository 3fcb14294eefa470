"""Helpers for timers of the reactor."""

from __future__ import annotations

from typing import Any


def cancel(call: Any) -> None:
    """Cancels a timer that may be None or may have fired already."""
    if call is not None and call.active():
        call.cancel()
