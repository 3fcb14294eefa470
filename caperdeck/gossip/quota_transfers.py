"""One node's side of quota transfers: numbered requests, one answer to each, and the expiry of what is
borrowed.

The lender deducts the amount before it sends the answer, so an amount that is lost on the way is lost to all.
It expires TRANSFER_VALIDITY_MS after the borrower's request, by the borrower's clock. The lender lent it
after that, so quota is spent at most TRANSFER_VALIDITY_MS after it left the lender, however long the answer
took; no clocks of two nodes are compared.
"""

from __future__ import annotations

from collections.abc import Callable

TRANSFER_VALIDITY_MS = 500.0  # from the request until the borrowed amount expires
MAX_PENDING_REQUESTS = 64  # requests without an answer
MAX_ANSWERED_REQUESTS = 512  # requests that were answered with a grant


class QuotaTransfers:
    """Requests of this node and grants to others."""

    def __init__(self, nonce: int = 0) -> None:
        self.last_nonce = nonce
        self.pending_requests: dict[int, tuple[int, float]] = {}  # by number: lender, time of the request
        self.answered_requests: dict[tuple[int, int, int], None] = {}  # borrower, its life, number
        self.lent = self.borrowed = self.late = 0.0  # totals since the start

    def request(self, now: float, member: int) -> int:
        """Registers a new request to a member and returns its number."""
        self.last_nonce = (self.last_nonce + 1) & 0xFFFFFFFF
        self.pending_requests[self.last_nonce] = member, now
        if len(self.pending_requests) > MAX_PENDING_REQUESTS:
            del self.pending_requests[next(iter(self.pending_requests))]
        return self.last_nonce

    def grant(
        self, borrower: int, life: int, nonce: int, requests: list[tuple[int, float]],
        lend: Callable[[int, float], float],
    ) -> list[tuple[int, float]]:  # fmt: skip
        """Lends for a request, at most once per request; returns the amount by budget."""
        key = borrower, life, nonce
        # A duplicated request would be granted twice, and one of the grants would be lost.
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
        """Accepts an answer and passes on the amounts with their expiry.

        Returns the time of the request, or None if the answer was not requested.
        """
        # A duplicated answer would be spent twice, and an answer to a previous life is no grant to this one.
        pending = self.pending_requests.get(nonce)
        if pending is None or pending[0] != member:
            return None
        del self.pending_requests[nonce]
        until = pending[1] + TRANSFER_VALIDITY_MS
        for budget, amount in grants:
            if now >= until:
                # The answer came after a suspension or a long delay; the lender has long accrued the amount
                # again.
                self.late += amount
            else:
                self.borrowed += amount
                borrow(budget, amount, until)
        return pending[1]
