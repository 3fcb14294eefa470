"""Steps the wall clock of a running process under test from outside; its monotonic clock is unaffected.

The offset is kept in a file that both processes map, so a step takes effect at the next reading.
"""

from __future__ import annotations

import mmap
import struct
import time
from pathlib import Path

OFFSET = struct.Struct("d")  # seconds


class WallClock:
    """The controlling side of the offset of one process's wall clock."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.step_to(0.0)

    def step_to(self, seconds: float) -> None:
        """Sets how far the wall clock is ahead of the real one; behind it if negative."""
        data = OFFSET.pack(seconds)
        if not self.path.exists():
            self.path.write_bytes(data)
            return
        with open(self.path, "r+b") as file:
            file.write(data)


def follow_stepped_clock(path: str) -> None:
    """Replaces `time.time` by the stepped clock, before the program is loaded."""
    with open(path, "rb") as file:
        offset = mmap.mmap(file.fileno(), OFFSET.size, access=mmap.ACCESS_READ)
    wall = time.time
    time.time = lambda: wall() + OFFSET.unpack_from(offset)[0]
