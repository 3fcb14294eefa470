"""Pseudo-random values derived from what all nodes know: host IDs, node numbers, period numbers."""

from __future__ import annotations

import zlib

MULTIPLIER = 2654435761  # 2**32 over the golden ratio; a CRC alone is linear in its input
MASK = 0xFFFFFFFF


def uniform_hash(*numbers: int) -> float:
    """A hash of the numbers, uniform in [0, 1) and the same on every node."""
    x = 0
    for n in numbers:
        x = zlib.crc32((n & 0xFFFFFFFFFFFFFFFF).to_bytes(8, "little"), x) * MULTIPLIER & MASK
        x ^= x >> 15
    return (x * MULTIPLIER & MASK) / 2**32
