"""The decisions under names that all nodes share: hosts by their marks instead of the node's own indices."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from caperdeck.core.facade import Event, HostOverloaded
from caperdeck.core.quotas import HEADROOM_BUDGET
from caperdeck.core.fleet_state import FleetState

from .judgements import FAILING_SHARE_LIMIT, HostCondition
from .sharing import DIALS_STARTED, DIALS_ENDED, SHARED_ROOM_BUDGET, LocalObservations, SharingFeatures


def cold_host_budget(mark: int, born: float) -> int:
    """The budget of what is sent to one start of a host."""
    return max(zlib.crc32(int(born).to_bytes(8, "big", signed=True), mark), DIALS_ENDED + 1)


class SharedIdDecisions:
    def __init__(
        self, shares: FleetState, features: SharingFeatures, report: Callable[[Event], None]
    ) -> None:
        self.shares, self.features, self.report = shares, features, report
        self.index: dict[int, int] = {}  # by mark
        self.marks: list[int] = []  # by which the index was made

    def _host(self, mark: int) -> int | None:
        """The host's index; None for a host that this node's own list has not named."""
        marks = self.shares.node.stable_id
        if marks != self.marks:
            self.marks = list(marks)
            # Danger: two hosts with one mark would be taken for one; neither is spoken of.
            twice = {m for i, m in enumerate(marks) if marks.index(m) != i}
            self.index = {m: i for i, m in enumerate(marks) if m not in twice}
        return self.index.get(mark)

    def _budget(self, mark: int) -> int | None:
        if mark == SHARED_ROOM_BUDGET:
            return HEADROOM_BUDGET
        h = self._host(mark)
        return None if h is None else h + 1

    def observations(self, now: float) -> LocalObservations:
        node, uses, mark = self.shares.node, self.features, self.shares.node.stable_id
        words = self.shares.host_observations(now) if uses.lost else []
        return LocalObservations(
            self.counts() if uses.weight else [],
            [(mark[h], x, at) for h, x, at in self.shares.load_reports(now)] if uses.prior else [],
            [
                (mark[w.host], HostCondition.HEALTHY if w.reachable else HostCondition.LOST, w.observed_at)
                for w in words
            ],
            uses.lost and self.shares.sees_most_failing(FAILING_SHARE_LIMIT),
            len(node.running),
        )

    def wanted_quota(self, now: float) -> list[tuple[int, float]]:
        mark = self.shares.node.stable_id
        return [
            (SHARED_ROOM_BUDGET if budget == HEADROOM_BUDGET else mark[budget - 1], x)
            for budget, x in self.shares.wanted_quota(now)
        ]

    def counts(self) -> list[tuple[int, int]]:
        s, mark = self.shares, self.shares.node.stable_id
        # a host that starts anew is counted anew: all nodes have the same mark and start for it
        cold = [(cold_host_budget(mark[h], born), count) for h, born, count in s.cold_host_dials()]
        return [(DIALS_STARTED, s.dials_started()), (DIALS_ENDED, s.dials_ended()), *cold]

    def lend(self, now: float, budget: int, most: float) -> float:
        own = self._budget(budget)
        return 0.0 if own is None else self.shares.lend(now, own, most)

    def borrow(self, now: float, budget: int, amount: float, until: float) -> None:
        if (own := self._budget(budget)) is not None:
            self.shares.borrow(now, own, amount, until)

    def take_peer_load(self, now: float, host: int, figure: float, seen: float) -> None:
        if (h := self._host(host)) is not None:
            self.shares.take_peer_load(now, h, figure, seen)

    def take_unreachable_report(self, now: float, host: int, until: float) -> None:
        if (h := self._host(host)) is not None:
            self.shares.take_unreachable_report(now, h, until)

    def overloaded_hosts(self, now: float, since: float) -> list[tuple[int, float, float]]:
        mark = self.shares.node.stable_id
        return [(mark[h], x, at) for h, x, at in self.shares.overloaded_hosts(now, since)]

    def relieve_overloaded_host(self, now: float, host: int, figure: float) -> None:
        if (h := self._host(host)) is not None:
            self.report(HostOverloaded(h, figure))

    def set_sender_count(self, alike: float | None) -> None:
        self.shares.set_sender_count(alike)
