"""Files that outlive a loss of power."""

from __future__ import annotations

import os


def replace_durably(new: str | os.PathLike[str], path: str | os.PathLike[str]) -> None:
    """Renames the file `new`, whose bytes are on the disk, to `path` in the same folder; raises OSError.

    The folder is flushed as well: a name that is not on the disk is lost with the power.
    """
    os.replace(new, path)
    folder = os.open(os.path.dirname(path) or ".", os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
