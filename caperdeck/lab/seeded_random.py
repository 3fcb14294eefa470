"""Random numbers for the parts of the rig, each with its own seed, so that their draws are independent."""

from __future__ import annotations

from caperdeck.core.seeded_random import chance


class SeededRandom:
    """A deterministic sequence of random numbers, from a seed and a counter."""

    def __init__(self, seed: int) -> None:
        self.seed, self.count = seed, 0

    def chance(self) -> float:
        """Uniformly distributed in [0, 1)."""
        self.count += 1
        return chance(self.seed, self.count)

    def between(self, span: tuple[float, float]) -> float:
        """Uniformly distributed within the span."""
        return span[0] + (span[1] - span[0]) * self.chance()
