"""A row of a role's table: an amount at the target size and its bound."""

from __future__ import annotations

from enum import Enum

import msgspec

from .figure import Figure, figure
from .needs import Need


class Kind(Enum):
    """The resource that a row is about, as printed in the tables."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor"
    MEMORY = "memory"
    TIME = "time"


class Row(msgspec.Struct, frozen=True):
    """An amount that a need takes at one role."""

    need: Need
    kind: Kind
    what: str
    unit: str  # of the amount and of the bound: "B", "B/s", "s", "/s", or "" for a number or a share
    amount: Figure
    bound: Figure | None = None  # limit set by the target or the program; None without a limit
    note: str = ""

    @property
    def bound_ratio(self) -> float | None:
        """The amount over its bound; None without a bound or without a value."""
        if self.bound is None or self.amount.value is None or self.bound.value is None:
            return None
        return (self.amount / self.bound).value


class Role(msgspec.Struct, frozen=True):
    """A part of the fleet, such as a node process or a host, with its table."""

    title: str
    rows: tuple[Row, ...]


def make_row(
    need: Need,
    kind: Kind,
    what: str,
    unit: str,
    amount: Figure | float,
    bound: Figure | float | None = None,
    note: str = "",
) -> Row:
    """A row whose amount and bound may be plain numbers."""
    return Row(need, kind, what, unit, figure(amount), None if bound is None else figure(bound), note)
