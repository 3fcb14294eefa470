"""Whom an owner speaks to next: each target once a round, at its own drawn moment, one act at a time."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from typing import Any

from caperdeck.core.seeded_random import chance

REVIEWS_PER_ROUND = 16  # at all that was said, in as many answers as there are targets
MAX_REVIEW_INTERVAL_MS = 100.0  # milliseconds; so often at least, where there are fewer answers


class RoundScheduler:
    """`every` is a round's length, milliseconds; a target that gives no answer is asked again next round."""

    def __init__(self, targets: Iterable[str], every: float, seed: int, now: float) -> None:
        self.targets, self.every, self.seed, self.draws = list(targets), every, seed, 0
        self.places = {t: i for i, t in enumerate(self.targets)}
        self.next_at = {t: now + every * self._chance() for t in self.targets}
        self.under_way: dict[str, Any] = dict.fromkeys(self.targets)  # the body that is out, if one is
        self.replies: dict[str, tuple[float, Any]] = {}  # the newest by target: asked at, what it said
        self.asked_at: dict[str, float] = {}
        # a heap of moments and targets; an entry that `next_at` does not say any more is passed over
        self.queue = [(at, t) for t, at in self.next_at.items()]
        heapq.heapify(self.queue)
        self.answers, self.looked_at = len(self.targets), now  # answers since the last look at all of them

    def _chance(self) -> float:
        self.draws += 1
        return chance(self.seed, self.draws)

    def _is_waiting(self, at: float, target: str) -> bool:
        return self.under_way[target] is None and self.next_at[target] == at

    @property
    def due(self) -> float:
        while self.queue and not self._is_waiting(*self.queue[0]):
            heapq.heappop(self.queue)
        return self.queue[0][0] if self.queue else math.inf

    def next(self, now: float) -> list[str]:
        """Those whose moment has come, as they were named, until `sent` says that they were sent to."""
        found: dict[str, float] = {}
        while self.due <= now:
            at, target = heapq.heappop(self.queue)
            found[target] = at
        for target, at in found.items():
            heapq.heappush(self.queue, (at, target))
        return sorted(found, key=self.places.__getitem__)

    def soon(self, now: float, target: str) -> None:
        """It is wanted before the round is over."""
        if now < self.next_at[target]:
            self.next_at[target] = now
            heapq.heappush(self.queue, (now, target))

    def sent(self, now: float, target: str, body: Any) -> None:
        self.under_way[target], self.asked_at[target] = body, now
        self.next_at[target] = now + self.every * (0.75 + self._chance() / 2)

    def came(self, target: str, reply: Any) -> Any:
        """Takes the answer, None where none came; what it is an answer to."""
        body, self.under_way[target] = self.under_way[target], None
        heapq.heappush(self.queue, (self.next_at[target], target))
        self.answers += 1
        if reply is not None:
            self.replies[target] = self.asked_at[target], reply
        return body

    def worth_a_look(self, now: float) -> bool:
        """Whether enough was said since the last look at what all said, which this begins anew."""
        few = (
            self.answers < len(self.targets) // REVIEWS_PER_ROUND
            and now - self.looked_at < MAX_REVIEW_INTERVAL_MS
        )
        if not few:
            self.answers, self.looked_at = 0, now
        return not few

    def heard(self, now: float, within: float) -> dict[str, Any]:
        """What targets said that were asked so lately."""
        return {t: reply for t, (at, reply) in self.replies.items() if now - at <= within}
