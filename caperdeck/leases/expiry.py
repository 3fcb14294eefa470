"""Expiry of leases as seen by the holder and by the leader.

Clocks never step, and their rates are within MAX_CLOCK_DRIFT of true time. The holder counts from before its
request and stops early; the leader counts from after it applied the command and waits longer. If clocks drift
more than that, two holders may coexist for a time, and the fencing token keeps the older one out at the
target.
"""

from __future__ import annotations

from typing import Any

from .table import LeaseTable

MAX_CLOCK_DRIFT = 0.05
RENEW_AT_SHARE = 1 / 3  # share of the span after which the lease is renewed
RETRY_SHARE = 0.1  # share of the span between attempts while there is no answer


class LeaseHolder:
    """A candidate for one work: `next_command` returns the command to propose, `handle_answer` takes its
    result.
    """

    def __init__(self, work: str, name: str, span: float) -> None:
        self.work, self.name, self.span = work, name, span
        self.token = 0
        self.expires_at = 0.0  # by this node's clock; no action is allowed from then on
        self.requested_at = 0.0
        self.state: Any = None  # saved by the previous owner
        self.loss_reason = ""

    def may_act(self, now: float) -> bool:
        """Must be checked just before each action; the target checks the token again."""
        return self.token > 0 and now < self.expires_at

    @property
    def renew_at(self) -> float:
        """Time of the next renewal."""
        return self.expires_at - self.span * (1 - MAX_CLOCK_DRIFT) * (1 - RENEW_AT_SHARE)

    def next_command(self, now: float) -> dict[str, Any] | None:
        """Returns an acquire command without a lease, a renewal when it is time, and None otherwise."""
        if self.token and now >= self.expires_at:
            # A holder that was suspended past the expiry must not continue as if it had renewed in time.
            self.token, self.loss_reason = 0, "ended"
        if not self.token:
            self.requested_at = now
            return {"do": "acquire", "work": self.work, "holder": self.name, "span": self.span}
        if now < self.renew_at:
            return None
        return {"do": "renew", "work": self.work, "token": self.token}

    def handle_answer(self, now: float, requested_at: float, answer: dict[str, Any]) -> None:
        """Handles the answer to a command that was proposed at `requested_at`."""
        if "no" in answer:
            if self.token and answer["no"] == "not-held":
                self.token, self.loss_reason = 0, "not-held"
            return
        if answer["token"] < self.token:
            return  # answer to an earlier grant
        if answer["token"] != self.token:
            if "state" not in answer:
                # The answer to a renewal arrived after the expiry. It has no saved state, so accepting it
                # would restart the work from nothing under a valid token.
                return
            self.state = answer["state"]
        # If the lease counted from the answer, a slow grant would outlast the time that others wait for.
        end = requested_at + answer["span"] * (1 - MAX_CLOCK_DRIFT)
        if now < end:
            self.token, self.expires_at, self.loss_reason = answer["token"], max(end, self.expires_at), ""


class LeaseExpiryMonitor:
    """Finds leases that were not renewed in time; created when this instance becomes leader."""

    def __init__(self, table: LeaseTable, now: float) -> None:
        self.table = table
        self.observed: dict[str, tuple[int, int, float]] = {}  # by work: token, renewals, first observed at
        self.check(now)

    def check(self, now: float) -> list[dict[str, Any]]:
        """Returns commands that expire leases; called after each applied command and periodically."""
        expired = []
        for work, row in self.table.works.items():
            if row["holder"] is None and row["heir"] is None:
                self.observed.pop(work, None)
                continue
            seen = self.observed.get(work)
            if seen is None or seen[:2] != (row["token"], row["renewed"]):
                self.observed[work] = row["token"], row["renewed"], now
            elif now - seen[2] >= row["span"] * (1 + MAX_CLOCK_DRIFT):
                expired.append(
                    {"do": "expire", "work": work, "token": row["token"], "renewed": row["renewed"]}
                )
        return expired
