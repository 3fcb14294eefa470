"""File operations that survive a loss of power."""

from __future__ import annotations

import os


def replace_durably(new: str | os.PathLike[str], path: str | os.PathLike[str]) -> None:
    """Renames the file `new`, whose contents are flushed already, to `path` in the same directory.

    The directory is flushed as well: otherwise a loss of power could undo the rename. Raises OSError.
    """
    os.replace(new, path)
    directory = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(directory)
    finally:
        os.close(directory)
