"""One line of a role's table: an amount at the target against its bound."""

from __future__ import annotations

from enum import Enum

import msgspec

from .figure import Figure, figure
from .needs import Need


class Kind(Enum):
    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor"
    MEMORY = "memory"
    TIME = "time"


class Row(msgspec.Struct, frozen=True):
    need: Need
    kind: Kind
    what: str
    unit: str  # of the amount and of the bound: "B", "B/s", "s", "/s", or "" for a number or a part
    amount: Figure
    bound: Figure | None = None  # what the target allows; None where it sets nothing
    note: str = ""

    @property
    def times(self) -> float | None:
        """The amount over its bound; None without a bound or without a value."""
        if self.bound is None or self.amount.value is None or self.bound.value is None:
            return None
        return (self.amount / self.bound).value


class Role(msgspec.Struct, frozen=True):
    title: str
    rows: tuple[Row, ...]


def row(
    need: Need,
    kind: Kind,
    what: str,
    unit: str,
    amount: Figure | float,
    bound: Figure | float | None = None,
    note: str = "",
) -> Row:
    return Row(need, kind, what, unit, figure(amount), None if bound is None else figure(bound), note)
