"""Random sampling with the caller's source of random numbers, so that a seed reproduces the result."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence


def without_replacement(items: Sequence[int], count: int, chance: Callable[[], float]) -> Iterator[int]:
    """Up to `count` of the items, in random order; each takes one number from 0 to under 1.

    This is a Fisher-Yates shuffle that stores only the swapped positions and leaves the items unchanged.
    """
    swapped: dict[int, int] = {}
    for i in range(min(len(items), count)):
        yield items[swapped.get(j := i + int(chance() * (len(items) - i)), j)]
        swapped[j] = swapped.get(i, i)
