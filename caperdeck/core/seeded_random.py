"""Chance that can be played again: a number from 0 to under 1 for each draw of one seed."""

from __future__ import annotations

import zlib


def chance(seed: int, draw: int) -> float:
    return zlib.crc32(draw.to_bytes(8, "little"), seed & 0xFFFFFFFF) / 2**32
