"""What the host process and the client process of the bench share, and the stamped lines between them."""

from __future__ import annotations

import gc
import time
from collections.abc import Callable
from typing import Any

LOOPBACK = "127.0.0.1"
POLL_INTERVAL_S = 0.001  # between two checks whether an operation has finished
STAMP_DIGITS = 20  # of the time at the start of a relayed line, CLOCK_MONOTONIC in nanoseconds

Reply = Callable[[Any], None]


def stamped_line(sent_at_ns: int, length: int) -> bytes:
    """A line of `length` bytes, including its line end, that begins with its sending time."""
    return b"%0*d " % (STAMP_DIGITS, sent_at_ns) + b"x" * (length - STAMP_DIGITS - 3) + b"\r\n"


class Endpoint:
    """Base of both processes; each method `do_NAME` handles the command NAME."""

    def __init__(self) -> None:
        self.last_processor_time = 0.0

    def do_quiet(self, reply: Reply) -> None:
        """Turns off the garbage collector, whose pauses would show in the measured times."""
        gc.collect()
        gc.freeze()
        gc.disable()
        reply(None)

    def take_processor_time(self) -> float:
        """Processor seconds used since the last call."""
        before, self.last_processor_time = self.last_processor_time, time.process_time()
        return self.last_processor_time - before
