"""The wall clock of a process under test, stepped from outside while it runs; its monotonic clock runs on.

The offset lies in a file that both processes map, so a step takes effect at the next reading.
"""

from __future__ import annotations

import mmap
import struct
import time
from pathlib import Path

OFFSET = struct.Struct("d")  # seconds


class WallClock:
    """The offset of one process's wall clock, as the process that steps it holds it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.step_to(0.0)

    def step_to(self, seconds: float) -> None:
        """From now on the wall clock is ahead of the real one by so much, behind it if under 0."""
        data = OFFSET.pack(seconds)
        if not self.path.exists():
            self.path.write_bytes(data)
            return
        with open(self.path, "r+b") as file:
            file.write(data)


def follow_stepped_clock(path: str) -> None:
    """Puts the stepped clock in the place of `time.time`, before the program is loaded."""
    with open(path, "rb") as file:
        offset = mmap.mmap(file.fileno(), OFFSET.size, access=mmap.ACCESS_READ)
    wall = time.time
    time.time = lambda: wall() + OFFSET.unpack_from(offset)[0]
