"""The decisions under names that all nodes share: hosts by their marks instead of the node's own indices."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from caperdeck.core.facade import Event, HostOverloaded
from caperdeck.core.quotas import ROOM_BUDGET
from caperdeck.core.fleet_state import FleetState

from .judgements import ILL_EVERYWHERE, Kind
from .sharing import DIALS, ENDED, ROOM, Shown, Uses


def host_pot(mark: int, born: float) -> int:
    """The budget of what is sent to one start of a host."""
    return max(zlib.crc32(int(born).to_bytes(8, "big", signed=True), mark), ENDED + 1)


class Marked:
    def __init__(self, shares: FleetState, uses: Uses, report: Callable[[Event], None]) -> None:
        self.shares, self.uses, self.report = shares, uses, report
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
        if mark == ROOM:
            return ROOM_BUDGET
        h = self._host(mark)
        return None if h is None else h + 1

    def show(self, now: float) -> Shown:
        node, uses, mark = self.shares.node, self.uses, self.shares.node.stable_id
        words = self.shares.words(now) if uses.lost else []
        return Shown(
            self.counts() if uses.weight else [],
            [(mark[h], x, at) for h, x, at in self.shares.figures(now)] if uses.prior else [],
            [(mark[w.host], Kind.WELL if w.well else Kind.LOST, w.seen) for w in words],
            uses.lost and self.shares.ill_everywhere(ILL_EVERYWHERE),
            len(node.running),
        )

    def wants(self, now: float) -> list[tuple[int, float]]:
        mark = self.shares.node.stable_id
        return [
            (ROOM if budget == ROOM_BUDGET else mark[budget - 1], x) for budget, x in self.shares.wants(now)
        ]

    def counts(self) -> list[tuple[int, int]]:
        s, mark = self.shares, self.shares.node.stable_id
        # a host that starts anew is counted anew: all nodes have the same mark and start for it
        cold = [(host_pot(mark[h], born), count) for h, born, count in s.sent_cold()]
        return [(DIALS, s.dialled()), (ENDED, s.ended()), *cold]

    def lend(self, now: float, budget: int, most: float) -> float:
        own = self._budget(budget)
        return 0.0 if own is None else self.shares.lend(now, own, most)

    def borrow(self, now: float, budget: int, amount: float, until: float) -> None:
        if (own := self._budget(budget)) is not None:
            self.shares.borrow(now, own, amount, until)

    def told(self, now: float, host: int, figure: float, seen: float) -> None:
        if (h := self._host(host)) is not None:
            self.shares.told(now, h, figure, seen)

    def told_lost(self, now: float, host: int, until: float) -> None:
        if (h := self._host(host)) is not None:
            self.shares.told_lost(now, h, until)

    def overfull(self, now: float, since: float) -> list[tuple[int, float, float]]:
        mark = self.shares.node.stable_id
        return [(mark[h], x, at) for h, x, at in self.shares.overfull(now, since)]

    def told_full(self, now: float, host: int, figure: float) -> None:
        if (h := self._host(host)) is not None:
            self.report(HostOverloaded(h, figure))

    def others_send(self, alike: float | None) -> None:
        self.shares.others_send(alike)
