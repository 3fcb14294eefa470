"""Random sampling. Each number drawn is asked of the caller's source, so that a seed plays the same again."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence


def without_replacement(items: Sequence[int], most: int, chance: Callable[[], float]) -> Iterator[int]:
    """Up to so many of the items, in random order; one number from 0 to under 1 is asked for with each.

    A Fisher-Yates shuffle that keeps only the places it has swapped: the items are not touched.
    """
    swapped: dict[int, int] = {}
    for i in range(min(len(items), most)):
        yield items[swapped.get(j := i + int(chance() * (len(items) - i)), j)]
        swapped[j] = swapped.get(i, i)
