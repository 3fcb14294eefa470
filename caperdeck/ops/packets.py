"""Cuts long messages between two processes of one node into portions that each fit into a packet."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from typing import TypeVar

Item = TypeVar("Item")


def portions(items: Sequence[Item], size: int) -> Iterator[Sequence[Item]]:
    """The items in order, at most `size` at a time; nothing for no items."""
    for start in range(0, len(items), size):
        yield items[start : start + size]
