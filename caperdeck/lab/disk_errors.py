"""Simulates a full or failing disk for a process under test: some writes to one folder fail.

The failure rate is read from a file that both processes map (see system_errors). A write may fail before
anything is written, after a part of it, or when the finished file is renamed. The errors are those that Linux
documents.
"""

from __future__ import annotations

import builtins
import errno
import mmap
import os
import random
from typing import Any

from .system_errors import ERROR_RATE

WRITE_ERRORS = (errno.ENOSPC, errno.EIO)
WRITE_MODES = frozenset("wax+")


def inject_write_errors(path: str, folder: str, seed: int) -> None:
    """Replaces `open` and `os.rename` by versions that sometimes fail for files in the folder."""
    with open(path, "rb") as file:
        shared_rate = mmap.mmap(file.fileno(), ERROR_RATE.size, access=mmap.ACCESS_READ)
    rng = random.Random(seed)
    original_open, original_rename = builtins.open, os.rename

    def maybe_fail(target: Any) -> None:
        if str(target).startswith(folder) and rng.random() < ERROR_RATE.unpack_from(shared_rate)[0]:
            error_number = rng.choice(WRITE_ERRORS)
            raise OSError(error_number, os.strerror(error_number), str(target))

    def failing_open(target: Any, mode: str = "r", *rest: Any, **named: Any) -> Any:
        if not WRITE_MODES.intersection(mode):
            return original_open(target, mode, *rest, **named)
        maybe_fail(target)
        file = original_open(target, mode, *rest, **named)
        try:
            maybe_fail(target)
        except OSError:
            file.write(b"[" if "b" in mode else "[")
            file.close()
            raise
        return file

    def failing_rename(old: Any, new: Any, **named: Any) -> None:
        maybe_fail(new)
        original_rename(old, new, **named)

    builtins.open, os.rename = failing_open, failing_rename
