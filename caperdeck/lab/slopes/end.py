"""What both processes at the ends of a measured node have in common, and the stamped lines between them."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import Any

LOOPBACK = "127.0.0.1"
POLL_INTERVAL_S = 0.001  # seconds between two checks whether something has come to its end
STAMP_DIGITS = 20  # digits of the time at the start of a relayed line, CLOCK_MONOTONIC in nanoseconds

Reply = Callable[[Any], None]


def stamped_line(at: int, length: int) -> bytes:
    """A line of so many bytes, its end of line among them, that begins with its time of sending."""
    return b"%0*d " % (STAMP_DIGITS, at) + b"x" * (length - STAMP_DIGITS - 3) + b"\r\n"


class Endpoint:
    """What both processes answer to."""

    def __init__(self) -> None:
        self.used_at = 0.0

    def do_quiet(self, reply: Reply) -> None:
        """No collection of garbage while something is measured."""
        gc.collect()
        gc.freeze()
        gc.disable()
        reply(None)

    def processor(self) -> float:
        """Processor seconds since the last call."""
        before, self.used_at = self.used_at, time.process_time()
        return self.used_at - before
