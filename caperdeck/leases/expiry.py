"""Both sides of a lease's time. Clocks never step; a millisecond of one is within DRIFT of a true one.

The holder counts from before it asked and stops early; the leader's warden counts from after it applied and
waits long. Past that drift two may hold a lease for a time; the token at the target keeps the older out.
"""

from __future__ import annotations

from typing import Any

from .table import LeaseTable

MAX_CLOCK_DRIFT = 0.05
RENEW_AT_SHARE = 1 / 3  # of the span
RETRY_SHARE = 0.1  # of the span, while an answer does not come


class LeaseHolder:
    """One would-be owner of one work. `ask` gives the command to propose, `answered` takes its answer."""

    def __init__(self, work: str, name: str, span: float) -> None:
        self.work, self.name, self.span = work, name, span
        self.token = 0
        self.expires_at = 0.0  # on the own clock; nothing may be done from then on
        self.requested_at = 0.0
        self.state: Any = None  # what the owner before left
        self.loss_reason = ""

    def may_act(self, now: float) -> bool:
        """Checked just before each act, and by the act's target again, by its token."""
        return self.token > 0 and now < self.expires_at

    @property
    def renew_at(self) -> float:
        return self.expires_at - self.span * (1 - MAX_CLOCK_DRIFT) * (1 - RENEW_AT_SHARE)

    def next_command(self, now: float) -> dict[str, Any] | None:
        """Acquires where nothing is held, renews in time; None where there is nothing to ask yet."""
        if self.token and now >= self.expires_at:
            # Danger: a holder that slept past the end must not go on as if it renewed in time.
            self.token, self.loss_reason = 0, "ended"
        if not self.token:
            self.requested_at = now
            return {"do": "acquire", "work": self.work, "holder": self.name, "span": self.span}
        if now < self.renew_at:
            return None
        return {"do": "renew", "work": self.work, "token": self.token}

    def handle_answer(self, now: float, requested_at: float, answer: dict[str, Any]) -> None:
        """The answer to what was asked then."""
        if "no" in answer:
            if self.token and answer["no"] == "not-held":
                self.token, self.loss_reason = 0, "not-held"
            return
        if answer["token"] < self.token:
            return  # to a grant before this one
        if answer["token"] != self.token:
            if "state" not in answer:
                # Danger: a renewal's answer that comes after the end would give the lease back without what
                # the work has come to; it would begin anew from nothing, under a token that is in force.
                return
            self.state = answer["state"]
        # Danger: counted from the answer, a grant long under way lasts past the time that others wait.
        end = requested_at + answer["span"] * (1 - MAX_CLOCK_DRIFT)
        if now < end:
            self.token, self.expires_at, self.loss_reason = answer["token"], max(end, self.expires_at), ""


class LeaseExpiryMonitor:
    """At the leader: which leases nobody has renewed for long enough. Begins when leadership does."""

    def __init__(self, table: LeaseTable, now: float) -> None:
        self.table = table
        self.observed: dict[str, tuple[int, int, float]] = {}  # by work: token, renewals, first seen so
        self.check(now)

    def check(self, now: float) -> list[dict[str, Any]]:
        """After each command that was applied, and now and then; the commands to propose."""
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
