"""Pseudorandom numbers that are independent for each member, however similar the members' seeds are.

Source: Steele, Lea, Flood, "Fast Splittable Pseudorandom Number Generators" (OOPSLA 2014): SplitMix64. A
checksum of seed and count, as in `core.seeded_random`, is linear: the numbers of two members differ by the
same bits every time. Members would shuffle alike and ping the same targets, and some members would not be
pinged for many rounds.
"""

from __future__ import annotations

GOLDEN_GAMMA = 0x9E3779B97F4A7C15
MASK_64 = 0xFFFFFFFFFFFFFFFF


def mix(z: int) -> int:
    """The finalizer of SplitMix64."""
    z = (z ^ (z >> 30)) * 0xBF58476D1CE4E5B9 & MASK_64
    z = (z ^ (z >> 27)) * 0x94D049BB133111EB & MASK_64
    return z ^ (z >> 31)


class MemberRandom:
    """Returns a float in [0, 1) on each call; the sequence depends on seed and member alone."""

    def __init__(self, seed: int, member: int) -> None:
        self.state = mix(mix(seed & MASK_64) ^ member)

    def __call__(self) -> float:
        self.state = (self.state + GOLDEN_GAMMA) & MASK_64
        return (mix(self.state) >> 11) / (1 << 53)
