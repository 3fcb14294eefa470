"""Control of the garbage collector during simulations."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def without_gc() -> Iterator[None]:
    """Turns the garbage collector off, which would otherwise scan the tables of all members repeatedly.

    The garbage of a simulation is collected when the next one starts.
    """
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()
