"""Rights: what one node may still send of budgets that the whole fleet keeps. Bookkeeping, no decisions.

A budget is of the fleet: that of a cold host, or the room of all hosts. Each node's rights in it grow by time
at a fixed part of the fleet's rate, whatever it hears, and at most `cap` of them are saved. A right can be
lent: the lender has it no more from the moment that it says so, and the borrower until an end on its own
clock, counted from before it asked. docs/ledger-design.md has the argument for the sum over all nodes.
"""

from __future__ import annotations

import math

ROOM_BUDGET = 0  # the room of all hosts; host h's budget is h + 1


class Quotas:
    """Parallel arrays under the budget's number; amounts in any one unit, times in float milliseconds."""

    def __init__(self) -> None:
        self.saved: list[float] = []
        self.at: list[float] = []  # up to when `saved` has grown
        self.loan: list[float] = []
        self.until: list[float] = []  # the end of the loan
        self.idle_until: list[float] = []  # nothing more can be at hand sooner, as its owner worked it out

    def grow(self, now: float, budget: int) -> None:
        while len(self.saved) <= budget:
            for array, blank in (
                (self.saved, 0.0), (self.at, now), (self.loan, 0.0), (self.until, -math.inf),
                (self.idle_until, -math.inf),
            ):  # fmt: skip
                array.append(blank)

    def void(self, now: float, budget: int) -> None:
        """Nothing saved, nothing borrowed: the budget is another one, or the node was away."""
        self.settle(now, budget, 0.0)

    def mint(self, now: float, budget: int, rate: float, cap: float) -> float:
        """What has grown since it was last looked at is saved up to the cap; returns all at hand."""
        # Danger: a clock that goes back would make rights out of nothing when it goes on.
        self.saved[budget] = min(self.saved[budget] + rate * max(now - self.at[budget], 0.0), cap)
        self.at[budget] = max(self.at[budget], now)
        return self.have(now, budget)

    def lapse(self, budget: int, slot: float, most: float) -> None:
        """Whole slots of the own over so much lapse; what has grown towards the next one stays."""
        if (over := self.saved[budget] - most) > 0:
            self.saved[budget] -= math.ceil(over / slot) * slot

    def borrowed(self, now: float, budget: int) -> float:
        # Danger: a node that slept past the end would spend what has since grown anew at its lender.
        return self.loan[budget] if now < self.until[budget] else 0.0

    def have(self, now: float, budget: int) -> float:
        return self.saved[budget] + self.borrowed(now, budget)

    def settle(self, now: float, budget: int, amount: float) -> None:
        """All at hand, borrowed or not, has become so much."""
        self.saved[budget], self.at[budget], self.loan[budget] = amount, now, 0.0
        self.look_again(budget)

    def spend(self, now: float, budget: int, amount: float) -> None:
        """What is borrowed goes first, as it ends; the own may go under 0 and has to grow back."""
        lent = min(self.borrowed(now, budget), amount)
        self.loan[budget] = self.borrowed(now, budget) - lent
        self.saved[budget] -= amount - lent

    def lend(self, budget: int, most: float) -> float:
        """Gives away up to so much of the own; what is borrowed is never lent on, its end would be lost."""
        amount = max(min(self.saved[budget], most), 0.0)
        self.saved[budget] -= amount
        return amount

    def borrow(self, now: float, budget: int, amount: float, until: float) -> None:
        """Loans of one budget end together, at the earliest end of any: never later than each by itself."""
        if now >= until or not amount > 0:
            return
        held = self.borrowed(now, budget)
        self.until[budget] = min(self.until[budget], until) if held else until
        self.loan[budget] = held + amount
        self.look_again(budget)

    def look_again(self, budget: int) -> None:
        """What was worked out of it holds no longer."""
        self.idle_until[budget] = -math.inf
