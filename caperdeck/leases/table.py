"""The lease table: a replicated state machine that records the holder of each work.

It has no clock: the expiry of a lease is a command too, proposed by the leader's LeaseExpiryMonitor.

Source of the tokens: Burrows, "The Chubby lock service" (OSDI 2006), 2.4: sequencers.
"""

from __future__ import annotations

from typing import Any

MAX_WORKS = 64
MAX_NAME_LENGTH = 64  # characters
MAX_STATE_LENGTH = 64 << 10  # characters of an owner's saved state
MIN_SPAN_MS, MAX_SPAN_MS = 200.0, 600_000.0


class LeaseTable:
    """Commands and answers are JSON objects; an answer has `ok`, or `no` with the reason."""

    def __init__(self) -> None:
        self.token = 0  # the highest token granted so far; increases with each grant and is never reused
        self.works: dict[str, dict[str, Any]] = {}

    def apply(self, command: Any) -> dict[str, Any]:
        """Applies a replicated command and returns its answer."""
        if not isinstance(command, dict) or not isinstance(command.get("work"), str):
            return {"no": "no-work-named"}
        handler = {
            "acquire": self._acquire, "renew": self._renew, "give": self._give, "hand": self._hand,
            "expire": self._expire, "release": self._release, "save": self._save,
        }.get(command.get("do"))  # fmt: skip
        if handler is None:
            return {"no": "unknown-command"}
        if not 0 < len(command["work"]) <= MAX_NAME_LENGTH:
            return {"no": "bad-name"}
        return handler(command["work"], command)

    def dump(self) -> Any:
        return {"token": self.token, "works": self.works}

    def load(self, state: Any) -> None:
        # If tokens restarted after a snapshot, actions of an old owner would pass as those of a new one.
        self.token = state["token"] if state else 0
        self.works = {name: dict(row) for name, row in state["works"].items()} if state else {}

    def row(self, work: str) -> dict[str, Any] | None:
        """Returns the lease row of a work, or None if it was never acquired."""
        return self.works.get(work)

    # ---- commands

    def _acquire(self, work: str, command: dict[str, Any]) -> dict[str, Any]:
        holder, span = command.get("holder"), command.get("span")
        if not isinstance(holder, str) or not 0 < len(holder) <= MAX_NAME_LENGTH:
            return {"no": "bad-name"}
        if (
            isinstance(span, bool)
            or not isinstance(span, int | float)
            or not MIN_SPAN_MS <= span <= MAX_SPAN_MS
        ):
            return {"no": "bad-span"}
        row = self.works.get(work)
        if row is None:
            if len(self.works) >= MAX_WORKS:
                return {"no": "too-many-works"}
            row = {"holder": None, "heir": None, "token": 0, "span": 0.0, "renewed": 0, "state": None}
            self.works[work] = row
        # the holder may acquire again, e.g. after a lost answer; this invalidates its older token
        if row["holder"] not in (None, holder) or row["heir"] not in (None, holder):
            return {"no": "held", "holder": row["holder"] or row["heir"]}
        return self._grant(row, holder, float(span))

    def _grant(self, row: dict[str, Any], holder: str, span: float) -> dict[str, Any]:
        self.token += 1
        row.update(holder=holder, token=self.token, span=span, renewed=0, heir=None)
        return {"ok": True, "token": self.token, "span": span, "state": row["state"]}

    def _held(self, work: str, command: dict[str, Any]) -> dict[str, Any] | None:
        """Returns the row if the command has the current token."""
        row = self.works.get(work)
        held = row is not None and row["holder"] is not None and row["token"] == command.get("token")
        return row if held else None

    def _renew(self, work: str, command: dict[str, Any]) -> dict[str, Any]:
        if (row := self._held(work, command)) is None:
            return {"no": "not-held"}
        row["renewed"] += 1
        return {"ok": True, "token": row["token"], "span": row["span"]}

    def _give(self, work: str, command: dict[str, Any]) -> dict[str, Any]:
        if (row := self._held(work, command)) is None:
            return {"no": "not-held"}
        row.update(holder=None)
        return {"ok": True}

    def _hand(self, work: str, command: dict[str, Any]) -> dict[str, Any]:
        """Releases the lease to an heir; others may acquire it once the heir did not come for a span."""
        if (row := self._held(work, command)) is None:
            return {"no": "not-held"}
        if not isinstance(command.get("to"), str) or not 0 < len(command["to"]) <= MAX_NAME_LENGTH:
            return {"no": "bad-name"}
        row.update(holder=None, heir=command["to"], renewed=row["renewed"] + 1)
        return {"ok": True}

    def _expire(self, work: str, command: dict[str, Any]) -> dict[str, Any]:
        row = self.works.get(work)
        # A command proposed before a renewal and committed after it must not expire the renewed lease.
        if row is None or row["token"] != command.get("token") or row["renewed"] != command.get("renewed"):
            return {"no": "renewed-since"}
        row.update(holder=None, heir=None)
        return {"ok": True}

    def _release(self, work: str, command: dict[str, Any]) -> dict[str, Any]:
        """Ends a lease although it is renewed; for operators. The old owner may still send actions, which are
        refused.
        """
        row = self.works.get(work)
        if row is None or row["token"] != command.get("token"):
            return {"no": "not-held"}
        row.update(holder=None, heir=None)
        return {"ok": True}

    def _save(self, work: str, command: dict[str, Any]) -> dict[str, Any]:
        """Stores the state that the next owner resumes from; only the current owner may."""
        if (row := self._held(work, command)) is None:
            return {"no": "older-token"}
        state = command.get("state")
        if not isinstance(state, str) or len(state) > MAX_STATE_LENGTH:
            return {"no": "bad-state"}
        row["state"] = state
        return {"ok": True}
