"""Even draws from what all nodes know alike: names, numbers, periods of time."""

from __future__ import annotations

import zlib

MULTIPLIER = 2654435761  # the golden ratio of 2**32; the sum of a CRC alone is linear in its input
MASK = 0xFFFFFFFF


def mixed(*numbers: int) -> float:
    """From 0 to under 1, alike at every node for the same numbers."""
    x = 0
    for n in numbers:
        x = zlib.crc32((n & 0xFFFFFFFFFFFFFFFF).to_bytes(8, "little"), x) * MULTIPLIER & MASK
        x ^= x >> 15
    return (x * MULTIPLIER & MASK) / 2**32
