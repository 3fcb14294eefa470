"""The needs, worst first: what nothing carries, and what most others stand on, before what is short."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from .needs import CARRIERS, NOTHING, Need, standing_on
from .row import Role, Row


class Rank(msgspec.Struct, frozen=True):
    need: Need
    mechanism: str
    carries: int  # needs that stand on this one, also by way of others
    worst: Row | None  # the row that is furthest over its bound, or has the least room
    not_measured: tuple[str, ...]  # measurements that its rows lack

    @property
    def times(self) -> float | None:
        return self.worst.times if self.worst else None


def ranking(roles: Iterable[Role]) -> tuple[Rank, ...]:
    rows: dict[Need, list[Row]] = {need: [] for need in Need}
    for role in roles:
        for row in role.rows:
            rows[row.need].append(row)
    return tuple(sorted((_rank(need, below) for need, below in rows.items()), key=_order))


def _rank(need: Need, rows: list[Row]) -> Rank:
    bound = [row for row in rows if row.times is not None]
    worst = max(bound, key=lambda row: row.times, default=None)
    amounts = [amount for row in rows for amount in (row.amount, row.bound) if amount is not None]
    missing = frozenset().union(*(amount.missing for amount in amounts))
    return Rank(need, CARRIERS[need].mechanism, len(standing_on(need)), worst, tuple(sorted(missing)))


def _order(rank: Rank) -> tuple:
    times = rank.times if rank.times is not None else 0.0
    return _class(rank), -rank.carries, -times, rank.need.value


def _class(rank: Rank) -> int:
    """0 nothing carries it, 1 carried and over its bound, 2 not known, 3 carried with room."""
    if rank.mechanism == NOTHING:
        return 0
    if rank.times is not None and rank.times > 1:
        return 1
    return 2 if rank.not_measured or rank.times is None else 3
