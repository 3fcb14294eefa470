"""Ranks the needs, the worst first.

Needs without a mechanism come first, then needs over their bound, then unknown ones, then those within their
bound. Within a class, the need with the most dependents is first, then the one with the highest bound ratio.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from msgspec import field

from .needs import MECHANISMS, NO_MECHANISM, Need, dependents_of
from .row import Role, Row


class Rank(msgspec.Struct, frozen=True):
    """A need with its place in the ranking."""

    need: Need
    mechanism: str
    dependents: int = field(name="carries")  # needs that depend on this one, directly or through others
    worst: Row | None  # the row with the highest ratio to its bound
    not_measured: tuple[str, ...]  # missing measurements of its rows

    @property
    def bound_ratio(self) -> float | None:
        """The worst row's amount over its bound; None if no row has a bound and a value."""
        return self.worst.bound_ratio if self.worst else None


def ranking(roles: Iterable[Role]) -> tuple[Rank, ...]:
    """All needs in order, judged by the rows of all roles."""
    rows: dict[Need, list[Row]] = {need: [] for need in Need}
    for role in roles:
        for row in role.rows:
            rows[row.need].append(row)
    return tuple(sorted((_rank(need, need_rows) for need, need_rows in rows.items()), key=_sort_key))


def _rank(need: Need, rows: list[Row]) -> Rank:
    bounded = [row for row in rows if row.bound_ratio is not None]
    worst = max(bounded, key=lambda row: row.bound_ratio, default=None)
    amounts = [amount for row in rows for amount in (row.amount, row.bound) if amount is not None]
    missing = frozenset().union(*(amount.missing for amount in amounts))
    return Rank(need, MECHANISMS[need].name, len(dependents_of(need)), worst, tuple(sorted(missing)))


def _sort_key(rank: Rank) -> tuple:
    bound_ratio = rank.bound_ratio if rank.bound_ratio is not None else 0.0
    return _class(rank), -rank.dependents, -bound_ratio, rank.need.value


def _class(rank: Rank) -> int:
    """0 without a mechanism, 1 over its bound, 2 unknown, 3 within its bound."""
    if rank.mechanism == NO_MECHANISM:
        return 0
    if rank.bound_ratio is not None and rank.bound_ratio > 1:
        return 1
    return 2 if rank.not_measured or rank.bound_ratio is None else 3
