"""Draws of one member that are like no other member's, whatever their seeds have in common.

Source: Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators" (OOPSLA 2014): SplitMix64. A
checksum of seed and count, as in `core.seeded_random`, is linear: two members' draws differ by the same bits
each time, so members shuffle alike, ping the same ones, and some are pinged by nobody for many rounds.
"""

from __future__ import annotations

GAMMA = 0x9E3779B97F4A7C15
BITS = 0xFFFFFFFFFFFFFFFF


def mix(z: int) -> int:
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9 & BITS
    z = (z ^ (z >> 27)) * 0x94D049BB133111EB & BITS
    return z ^ (z >> 31)


class Draws:
    """A number from 0 to under 1 for each call; the same ones for the same seed and member."""

    def __init__(self, seed: int, member: int) -> None:
        self.state = mix(mix(seed & BITS) ^ member)

    def __call__(self) -> float:
        self.state = (self.state + GAMMA) & BITS
        return (mix(self.state) >> 11) / (1 << 53)
