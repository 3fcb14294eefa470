"""Chance of the rig's parts: a seed and a counter each, so that one part's draws do not move another's."""

from __future__ import annotations

from caperdeck.core.chance import chance


class Draws:
    def __init__(self, seed: int) -> None:
        self.seed, self.draws = seed, 0

    def chance(self) -> float:
        """An even draw from 0 to under 1."""
        self.draws += 1
        return chance(self.seed, self.draws)

    def between(self, span: tuple[float, float]) -> float:
        return span[0] + (span[1] - span[0]) * self.chance()
