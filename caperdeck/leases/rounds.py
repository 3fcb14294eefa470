"""Schedules the requests of an owner: each target once per round at a random time, one request in flight."""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from typing import Any

from caperdeck.core.seeded_random import chance

REVIEWS_PER_ROUND = 16  # reviews of all replies in the time of one reply per target
MAX_REVIEW_INTERVAL_MS = 100.0  # limit if fewer replies arrive


class RoundScheduler:
    """`interval` is the length of a round in milliseconds; a target that does not answer is retried next
    round.
    """

    def __init__(self, targets: Iterable[str], interval: float, seed: int, now: float) -> None:
        self.targets, self.interval, self.seed, self.draws = list(targets), interval, seed, 0
        self.positions = {t: i for i, t in enumerate(self.targets)}
        self.next_at = {t: now + interval * self._chance() for t in self.targets}
        self.in_flight: dict[str, Any] = dict.fromkeys(self.targets)  # the request without a reply yet
        self.replies: dict[str, tuple[float, Any]] = {}  # newest by target: sent at, reply
        self.sent_at: dict[str, float] = {}
        # a heap of times and targets; entries that differ from `next_at` are outdated and skipped
        self.queue = [(at, t) for t, at in self.next_at.items()]
        heapq.heapify(self.queue)
        # initially enough for a review
        self.replies_since_review, self.reviewed_at = len(self.targets), now

    def _chance(self) -> float:
        self.draws += 1
        return chance(self.seed, self.draws)

    def _is_waiting(self, at: float, target: str) -> bool:
        return self.in_flight[target] is None and self.next_at[target] == at

    @property
    def due(self) -> float:
        """Time of the next request."""
        while self.queue and not self._is_waiting(*self.queue[0]):
            heapq.heappop(self.queue)
        return self.queue[0][0] if self.queue else math.inf

    def due_targets(self, now: float) -> list[str]:
        """Returns the targets whose time has come, in their configured order, until `record_sent` is called
        for them.
        """
        due_at: dict[str, float] = {}
        while self.due <= now:
            at, target = heapq.heappop(self.queue)
            due_at[target] = at
        for target, at in due_at.items():
            heapq.heappush(self.queue, (at, target))
        return sorted(due_at, key=self.positions.__getitem__)

    def expedite(self, now: float, target: str) -> None:
        """Schedules a request to the target now instead of at its time in the round."""
        if now < self.next_at[target]:
            self.next_at[target] = now
            heapq.heappush(self.queue, (now, target))

    def record_sent(self, now: float, target: str, body: Any) -> None:
        """Records that the request was sent and draws the target's time in the next round."""
        self.in_flight[target], self.sent_at[target] = body, now
        self.next_at[target] = now + self.interval * (0.75 + self._chance() / 2)

    def record_reply(self, target: str, reply: Any) -> Any:
        """Records the reply, or None if there was none; returns the request that it belongs to."""
        body, self.in_flight[target] = self.in_flight[target], None
        heapq.heappush(self.queue, (self.next_at[target], target))
        self.replies_since_review += 1
        if reply is not None:
            self.replies[target] = self.sent_at[target], reply
        return body

    def review_is_due(self, now: float) -> bool:
        """Tells whether a review of all replies is due; if so, starts the next review period."""
        too_few = (
            self.replies_since_review < len(self.targets) // REVIEWS_PER_ROUND
            and now - self.reviewed_at < MAX_REVIEW_INTERVAL_MS
        )
        if not too_few:
            self.replies_since_review, self.reviewed_at = 0, now
        return not too_few

    def recent_replies(self, now: float, within: float) -> dict[str, Any]:
        """Returns the replies to requests that were sent within that time."""
        return {t: reply for t, (at, reply) in self.replies.items() if now - at <= within}
