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

    def __init__(self, targets: Iterable[str], interval: float, seed: int, now: float) -> None:
        self.targets, self.interval, self.seed, self.draws = list(targets), interval, seed, 0
        self.positions = {t: i for i, t in enumerate(self.targets)}
        self.next_at = {t: now + interval * self._chance() for t in self.targets}
        self.in_flight: dict[str, Any] = dict.fromkeys(self.targets)  # the body that is out, if one is
        self.replies: dict[str, tuple[float, Any]] = {}  # the newest by target: asked at, what it said
        self.sent_at: dict[str, float] = {}
        # a heap of moments and targets; an entry that `next_at` does not say any more is passed over
        self.queue = [(at, t) for t, at in self.next_at.items()]
        heapq.heapify(self.queue)
        # answers since the last look at all of them
        self.replies_since_review, self.reviewed_at = len(self.targets), now

    def _chance(self) -> float:
        self.draws += 1
        return chance(self.seed, self.draws)

    def _is_waiting(self, at: float, target: str) -> bool:
        return self.in_flight[target] is None and self.next_at[target] == at

    @property
    def due(self) -> float:
        while self.queue and not self._is_waiting(*self.queue[0]):
            heapq.heappop(self.queue)
        return self.queue[0][0] if self.queue else math.inf

    def due_targets(self, now: float) -> list[str]:
        """Those whose moment has come, as they were named, until `sent` says that they were sent to."""
        due_at: dict[str, float] = {}
        while self.due <= now:
            at, target = heapq.heappop(self.queue)
            due_at[target] = at
        for target, at in due_at.items():
            heapq.heappush(self.queue, (at, target))
        return sorted(due_at, key=self.positions.__getitem__)

    def expedite(self, now: float, target: str) -> None:
        """It is wanted before the round is over."""
        if now < self.next_at[target]:
            self.next_at[target] = now
            heapq.heappush(self.queue, (now, target))

    def record_sent(self, now: float, target: str, body: Any) -> None:
        self.in_flight[target], self.sent_at[target] = body, now
        self.next_at[target] = now + self.interval * (0.75 + self._chance() / 2)

    def record_reply(self, target: str, reply: Any) -> Any:
        """Takes the answer, None where none came; what it is an answer to."""
        body, self.in_flight[target] = self.in_flight[target], None
        heapq.heappush(self.queue, (self.next_at[target], target))
        self.replies_since_review += 1
        if reply is not None:
            self.replies[target] = self.sent_at[target], reply
        return body

    def review_is_due(self, now: float) -> bool:
        """Whether enough was said since the last look at what all said, which this begins anew."""
        too_few = (
            self.replies_since_review < len(self.targets) // REVIEWS_PER_ROUND
            and now - self.reviewed_at < MAX_REVIEW_INTERVAL_MS
        )
        if not too_few:
            self.replies_since_review, self.reviewed_at = 0, now
        return not too_few

    def recent_replies(self, now: float, within: float) -> dict[str, Any]:
        """What targets said that were asked so lately."""
        return {t: reply for t, (at, reply) in self.replies.items() if now - at <= within}
