"""One node's side of lending rights: questions with a number, one answer to each, and when a loan ends.

What is lent is gone at the lender before the answer is sent, so what is lost on the way is nobody's. A loan
ends LOAN after its borrower asked, on the borrower's own clock: the lender gave it after that, so whatever
the way took, a right is spent at most LOAN after it left its lender's hands; no two clocks are compared.
"""

from __future__ import annotations

from collections.abc import Callable

LOAN_MS = 500.0  # from the question until what is lent for it ends
MAX_PENDING_REQUESTS = 64  # questions that wait for an answer
MAX_ANSWERED_REQUESTS = 512  # questions answered with a loan


class QuotaTransfers:
    def __init__(self, nonce: int = 0) -> None:
        self.nonce = nonce
        self.asked: dict[int, tuple[int, float]] = {}  # by number: whom, and when
        self.answered: dict[tuple[int, int, int], None] = {}  # asker, its life, its number
        self.lent = self.borrowed = self.late = 0.0  # since the start

    def ask(self, now: float, member: int) -> int:
        """The number of a new question to that member."""
        self.nonce = (self.nonce + 1) & 0xFFFFFFFF
        self.asked[self.nonce] = member, now
        if len(self.asked) > MAX_PENDING_REQUESTS:
            del self.asked[next(iter(self.asked))]
        return self.nonce

    def give(
        self, asker: int, life: int, nonce: int, wants: list[tuple[int, float]],
        lend: Callable[[int, float], float],
    ) -> list[tuple[int, float]]:  # fmt: skip
        """What is lent for a question, budget by budget, once."""
        key = asker, life, nonce
        # Danger: a question that was doubled on its way would be lent to twice, and one of the two be lost.
        if key in self.answered:
            return []
        grants = [
            (budget, amount) for budget, most in wants if most > 0 and (amount := lend(budget, most)) > 0
        ]
        if grants:
            if len(self.answered) >= MAX_ANSWERED_REQUESTS:
                del self.answered[next(iter(self.answered))]
            self.answered[key] = None
            self.lent += sum(amount for _, amount in grants)
        return grants

    def take(
        self, now: float, member: int, nonce: int, grants: list[tuple[int, float]],
        borrow: Callable[[int, float, float], None],
    ) -> float | None:  # fmt: skip
        """An answer: hands on what is lent with its end; when it was asked for, None if it was not."""
        # Danger: an answer that comes twice would be spent twice, one to a life before this would be no loan.
        asked = self.asked.get(nonce)
        if asked is None or asked[0] != member:
            return None
        del self.asked[nonce]
        until = asked[1] + LOAN_MS
        for budget, amount in grants:
            if now >= until:
                # Danger: read after a sleep or a long way, the lender has long had it grow anew.
                self.late += amount
            else:
                self.borrowed += amount
                borrow(budget, amount, until)
        return asked[1]
