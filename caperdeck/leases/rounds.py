"""Whom an owner speaks to next: each target once a round, at its own drawn moment, one act at a time."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from caperdeck.core.chance import chance


class Rounds:
    """`every` is a round's length, milliseconds; a target that gives no answer is asked again next round."""

    def __init__(self, targets: Iterable[str], every: float, seed: int, now: float) -> None:
        self.targets, self.every, self.seed, self.draws = list(targets), every, seed, 0
        self.next_at = {t: now + every * self._chance() for t in self.targets}
        self.under_way: dict[str, Any] = dict.fromkeys(self.targets)  # the body that is out, if one is
        self.replies: dict[str, tuple[float, Any]] = {}  # the newest by target: asked at, what it said
        self.asked_at: dict[str, float] = {}

    def _chance(self) -> float:
        self.draws += 1
        return chance(self.seed, self.draws)

    @property
    def due(self) -> float:
        return min((at for t, at in self.next_at.items() if self.under_way[t] is None), default=float("inf"))

    def next(self, now: float) -> list[str]:
        return [t for t in self.targets if self.under_way[t] is None and now >= self.next_at[t]]

    def soon(self, now: float, target: str) -> None:
        """It is wanted before the round is over."""
        self.next_at[target] = min(self.next_at[target], now)

    def sent(self, now: float, target: str, body: Any) -> None:
        self.under_way[target], self.asked_at[target] = body, now
        self.next_at[target] = now + self.every * (0.75 + self._chance() / 2)

    def came(self, target: str, reply: Any) -> Any:
        """Takes the answer, None where none came; what it is an answer to."""
        body, self.under_way[target] = self.under_way[target], None
        if reply is not None:
            self.replies[target] = self.asked_at[target], reply
        return body

    def heard(self, now: float, within: float) -> dict[str, Any]:
        """What targets said that were asked so lately."""
        return {t: reply for t, (at, reply) in self.replies.items() if now - at <= within}
