"""Writes to a folder that a process under test finds full or broken now and then, as Linux documents them.

How often lies in a file that both processes map (system_errors). A write may fail before anything is there,
half way, or when the whole is put in its place.
"""

from __future__ import annotations

import builtins
import errno
import mmap
import os
import random
from typing import Any

from .system_errors import RATE

ERRORS = (errno.ENOSPC, errno.EIO)
WRITING = frozenset("wax+")


def inject_write_errors(path: str, folder: str, seed: int) -> None:
    """Puts failing calls in the place of the library's, for files in the folder."""
    with open(path, "rb") as file:
        shared = mmap.mmap(file.fileno(), RATE.size, access=mmap.ACCESS_READ)
    draws = random.Random(seed)
    opened, renamed = builtins.open, os.rename

    def fail(where: Any) -> None:
        if str(where).startswith(folder) and draws.random() < RATE.unpack_from(shared)[0]:
            number = draws.choice(ERRORS)
            raise OSError(number, os.strerror(number), str(where))

    def failing_open(where: Any, mode: str = "r", *rest: Any, **named: Any) -> Any:
        if not WRITING.intersection(mode):
            return opened(where, mode, *rest, **named)
        fail(where)
        file = opened(where, mode, *rest, **named)
        try:
            fail(where)
        except OSError:
            file.write(b"[" if "b" in mode else "[")
            file.close()
            raise
        return file

    def failing_rename(old: Any, new: Any, **named: Any) -> None:
        fail(new)
        renamed(old, new, **named)

    builtins.open, os.rename = failing_open, failing_rename
