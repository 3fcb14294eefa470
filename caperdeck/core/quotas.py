"""Quotas: what one node may still send out of budgets shared by the whole fleet. Bookkeeping, no decisions.

There is a budget for each cold host and one for the headroom of all hosts. Each node's quota in a budget
accrues over time at a fixed share of the fleet's rate, whatever the node hears from others, and at most `cap`
of it is saved. Quota can be lent: the lender gives it up from the moment that it announces the loan, and the
borrower has it until an end on its own clock, counted from before it asked. docs/ledger-design.md bounds the
sum over all nodes.
"""

from __future__ import annotations

import math

HEADROOM_BUDGET = 0  # the headroom of all hosts; host h's budget is h + 1


class Quotas:
    """Parallel arrays indexed by budget; amounts in any one unit, times in float milliseconds."""

    def __init__(self) -> None:
        self.saved: list[float] = []
        self.accrued_at: list[float] = []  # time up to which `saved` has accrued
        self.loan: list[float] = []
        self.loan_ends_at: list[float] = []
        self.idle_until: list[
            float
        ] = []  # before this time too little is available, as computed by the caller

    def add_budget(self, now: float, budget: int) -> None:
        """Extends the arrays up to this budget, with nothing saved."""
        while len(self.saved) <= budget:
            for array, default in (
                (self.saved, 0.0), (self.accrued_at, now), (self.loan, 0.0), (self.loan_ends_at, -math.inf),
                (self.idle_until, -math.inf),
            ):  # fmt: skip
                array.append(default)

    def clear(self, now: float, budget: int) -> None:
        """Drops all saved and borrowed quota, as the budget is another one or the node was suspended."""
        self.set_balance(now, budget, 0.0)

    def accrue(self, now: float, budget: int, rate: float, cap: float) -> float:
        """Adds what has accrued since the last call, up to the cap; returns all that is available."""
        # If a clock that went back moved `accrued_at` back too, the same time would accrue quota twice.
        self.saved[budget] = min(self.saved[budget] + rate * max(now - self.accrued_at[budget], 0.0), cap)
        self.accrued_at[budget] = max(self.accrued_at[budget], now)
        return self.available(now, budget)

    def expire(self, budget: int, slot: float, limit: float) -> None:
        """Drops whole slots saved over the limit; what has accrued towards the next slot is kept."""
        if (excess := self.saved[budget] - limit) > 0:
            self.saved[budget] -= math.ceil(excess / slot) * slot

    def borrowed(self, now: float, budget: int) -> float:
        # A node that slept past the end would otherwise spend quota that its lender has accrued anew.
        return self.loan[budget] if now < self.loan_ends_at[budget] else 0.0

    def available(self, now: float, budget: int) -> float:
        return self.saved[budget] + self.borrowed(now, budget)

    def set_balance(self, now: float, budget: int, amount: float) -> None:
        """Replaces all saved and borrowed quota by this amount."""
        self.saved[budget], self.accrued_at[budget], self.loan[budget] = amount, now, 0.0
        self.clear_idle(budget)

    def spend(self, now: float, budget: int, amount: float) -> None:
        """Spends borrowed quota first, as it ends; the saved balance may become negative and recovers."""
        from_loan = min(self.borrowed(now, budget), amount)
        self.loan[budget] = self.borrowed(now, budget) - from_loan
        self.saved[budget] -= amount - from_loan

    def refund(self, budget: int, amount: float, cap: float) -> None:
        """Returns quota that was spent for nothing, up to the cap; a balance over the cap stays as it is."""
        self.saved[budget] = max(self.saved[budget], min(self.saved[budget] + amount, cap))

    def lend(self, budget: int, limit: float) -> float:
        """Gives up saved quota up to the limit. Borrowed quota is never lent on, as its end would be lost."""
        amount = max(min(self.saved[budget], limit), 0.0)
        self.saved[budget] -= amount
        return amount

    def borrow(self, now: float, budget: int, amount: float, until: float) -> None:
        """Adds a loan; all loans of a budget end at the earliest end of any, so that none lasts too long."""
        if now >= until or not amount > 0:
            return
        current = self.borrowed(now, budget)
        self.loan_ends_at[budget] = min(self.loan_ends_at[budget], until) if current else until
        self.loan[budget] = current + amount
        self.clear_idle(budget)

    def clear_idle(self, budget: int) -> None:
        """Discards `idle_until`, as the balance or the rate that it was computed from has changed."""
        self.idle_until[budget] = -math.inf
