"""Rights: what one node may still send of budgets that the whole fleet keeps. Bookkeeping, no decisions.

A pot is a budget of the fleet, a host's or the room of all hosts. Each node's rights in it grow by time at a
fixed part of the fleet's rate, whatever it hears, and at most `cap` of them are saved. A right can be lent:
the lender has it no more from the moment that it says so, and the borrower until an end on its own clock,
counted from before it asked. docs/ledger-design.md has the argument for the sum over all nodes.
"""

from __future__ import annotations

import math

ROOM_POT = 0  # the room of all hosts; host h's pot is h + 1


class Rights:
    """Parallel arrays under the pot's number; amounts in any one unit, times in float milliseconds."""

    def __init__(self) -> None:
        self.saved: list[float] = []
        self.at: list[float] = []  # up to when `saved` has grown
        self.loan: list[float] = []
        self.until: list[float] = []  # the end of the loan

    def grow(self, now: float, pot: int) -> None:
        while len(self.saved) <= pot:
            for array, blank in (
                (self.saved, 0.0), (self.at, now), (self.loan, 0.0), (self.until, -math.inf),
            ):  # fmt: skip
                array.append(blank)

    def void(self, now: float, pot: int) -> None:
        """Nothing saved, nothing borrowed: the pot is another one, or the node was away."""
        self.settle(now, pot, 0.0)

    def mint(self, now: float, pot: int, rate: float, cap: float) -> float:
        """What has grown since it was last looked at is saved up to the cap; returns all at hand."""
        # Danger: a clock that goes back would make rights out of nothing when it goes on.
        self.saved[pot] = min(self.saved[pot] + rate * max(now - self.at[pot], 0.0), cap)
        self.at[pot] = max(self.at[pot], now)
        return self.have(now, pot)

    def lapse(self, pot: int, slot: float, most: float) -> None:
        """Whole slots of the own over so much lapse; what has grown towards the next one stays."""
        if (over := self.saved[pot] - most) > 0:
            self.saved[pot] -= math.ceil(over / slot) * slot

    def borrowed(self, now: float, pot: int) -> float:
        # Danger: a node that slept past the end would spend what has since grown anew at its lender.
        return self.loan[pot] if now < self.until[pot] else 0.0

    def have(self, now: float, pot: int) -> float:
        return self.saved[pot] + self.borrowed(now, pot)

    def settle(self, now: float, pot: int, amount: float) -> None:
        """All at hand, borrowed or not, has become so much."""
        self.saved[pot], self.at[pot], self.loan[pot] = amount, now, 0.0

    def spend(self, now: float, pot: int, amount: float) -> None:
        """What is borrowed goes first, as it ends; the own may go under 0 and has to grow back."""
        lent = min(self.borrowed(now, pot), amount)
        self.loan[pot] = self.borrowed(now, pot) - lent
        self.saved[pot] -= amount - lent

    def lend(self, pot: int, most: float) -> float:
        """Gives away up to so much of the own; what is borrowed is never lent on, its end would be lost."""
        amount = max(min(self.saved[pot], most), 0.0)
        self.saved[pot] -= amount
        return amount

    def borrow(self, now: float, pot: int, amount: float, until: float) -> None:
        """Loans of one pot end together, at the earliest end of any: never later than each by itself."""
        if now >= until or not amount > 0:
            return
        held = self.borrowed(now, pot)
        self.until[pot] = min(self.until[pot], until) if held else until
        self.loan[pot] = held + amount
