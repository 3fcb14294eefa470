"""One node's side of lending rights: questions with a number, one answer to each, and when a loan ends.

What is lent is gone at the lender before the answer is sent, so what is lost on the way is nobody's. A loan
ends LOAN after its borrower asked, on the borrower's own clock: the lender gave it after that, so whatever
the way took, a right is spent at most LOAN after it left its lender's hands; no two clocks are compared.
"""

from __future__ import annotations

from collections.abc import Callable

TRANSFER_VALIDITY_MS = 500.0  # from the question until what is lent for it ends
MAX_PENDING_REQUESTS = 64  # questions that wait for an answer
MAX_ANSWERED_REQUESTS = 512  # questions answered with a loan


class QuotaTransfers:
    def __init__(self, nonce: int = 0) -> None:
        self.last_nonce = nonce
        self.pending_requests: dict[int, tuple[int, float]] = {}  # by number: whom, and when
        self.answered_requests: dict[tuple[int, int, int], None] = {}  # asker, its life, its number
        self.lent = self.borrowed = self.late = 0.0  # since the start

    def request(self, now: float, member: int) -> int:
        """The number of a new question to that member."""
        self.last_nonce = (self.last_nonce + 1) & 0xFFFFFFFF
        self.pending_requests[self.last_nonce] = member, now
        if len(self.pending_requests) > MAX_PENDING_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        return self.last_nonce

    def grant(
        self, borrower: int, life: int, nonce: int, requests: list[tuple[int, float]],
        lend: Callable[[int, float], float],
    ) -> list[tuple[int, float]]:  # fmt: skip
        """What is lent for a question, budget by budget, once."""
        key = borrower, life, nonce
        # Danger: a question that was doubled on its way would be lent to twice, and one of the two be lost.
        if key in self.answered_requests:
            return []
        grants = [
            (budget, amount)
            for budget, limit in requests
            if limit > 0 and (amount := lend(budget, limit)) > 0
        ]
        if grants:
            if len(self.answered_requests) >= MAX_ANSWERED_REQUESTS:
                del self.answered_requests[next(iter(self.answered_requests))]
            self.answered_requests[key] = None
            self.lent += sum(amount for _, amount in grants)
        return grants

    def accept(
        self, now: float, member: int, nonce: int, grants: list[tuple[int, float]],
        borrow: Callable[[int, float, float], None],
    ) -> float | None:  # fmt: skip
        """An answer: hands on what is lent with its end; when it was asked for, None if it was not."""
        # Danger: an answer that comes twice would be spent twice, one to a life before this would be no loan.
        pending = self.pending_requests.get(nonce)
        if pending is None or pending[0] != member:
            return None
        del self.pending_requests[nonce]
        until = pending[1] + TRANSFER_VALIDITY_MS
        for budget, amount in grants:
            if now >= until:
                # Danger: read after a sleep or a long way, the lender has long had it grow anew.
                self.late += amount
            else:
                self.borrowed += amount
                borrow(budget, amount, until)
        return pending[1]
