"""Random numbers of the rig's parts, each with a seed and a counter: one part's do not move another's."""

from __future__ import annotations

from caperdeck.core.seeded_random import chance


class SeededRandom:
    def __init__(self, seed: int) -> None:
        self.seed, self.count = seed, 0

    def chance(self) -> float:
        """Uniformly distributed, 0 or more and under 1."""
        self.count += 1
        return chance(self.seed, self.count)

    def between(self, span: tuple[float, float]) -> float:
        return span[0] + (span[1] - span[0]) * self.chance()
