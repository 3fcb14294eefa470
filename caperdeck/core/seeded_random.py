"""Reproducible random numbers."""

from __future__ import annotations

import zlib


def chance(seed: int, draw: int) -> float:
    """A number from 0 to under 1 for each draw of a seed."""
    return zlib.crc32(draw.to_bytes(8, "little"), seed & 0xFFFFFFFF) / 2**32
