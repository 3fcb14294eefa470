"""Memory of an object graph, as reported by the interpreter."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from enum import Enum
from typing import Any


def object_bytes(value: Any) -> int:
    """Bytes of an object and everything reachable from it, except types, enum members, booleans and None."""
    seen_ids: set[int] = set()
    return sum(sys.getsizeof(item) for item in _reachable(value, seen_ids))


def _reachable(value: Any, seen_ids: set[int]) -> Iterator[Any]:
    """Yields each object once, also if several others refer to it."""
    if value is None or isinstance(value, bool | Enum | type) or id(value) in seen_ids:
        return
    seen_ids.add(id(value))
    yield value
    if isinstance(value, dict):
        children = [*value.keys(), *value.values()]
    elif isinstance(value, str | bytes | int | float):
        children = []
    elif hasattr(value, "__dict__"):
        children = [value.__dict__]
    else:
        children = list(value)
    for child in children:
        yield from _reachable(child, seen_ids)
