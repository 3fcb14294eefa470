"""Spans of a measurement in which the garbage collector does not run."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def without_gc() -> Iterator[None]:
    """Without the garbage collector, which would go through the tables of all members again and again.

    What a simulation leaves behind is collected when the next one begins.
    """
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
