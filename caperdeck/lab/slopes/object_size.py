"""Memory of an object graph, as the interpreter counts it."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from enum import Enum
from typing import Any


def object_bytes(value: Any) -> int:
    """Bytes of an object and all that it alone refers to; what is shared by the program is not counted."""
    seen: set[int] = set()
    return sum(sys.getsizeof(each) for each in _parts(value, seen))


def _parts(value: Any, seen: set[int]) -> Iterator[Any]:
    if value is None or isinstance(value, bool | Enum | type) or id(value) in seen:
        return
    seen.add(id(value))
    yield value
    if isinstance(value, dict):
        below = [*value.keys(), *value.values()]
    elif isinstance(value, str | bytes | int | float):
        below = []
    elif hasattr(value, "__dict__"):
        below = [value.__dict__]
    else:
        below = list(value)
    for each in below:
        yield from _parts(each, seen)
