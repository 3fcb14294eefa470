"""Who holds which work, as a state machine that the instances agree on. It has no clock: that a lease has
ended is a command too, proposed by the leader's warden.

Source of the tokens: Burrows, "The Chubby lock service" (OSDI 2006), 2.4: sequencers.
"""

from __future__ import annotations

from typing import Any

MAX_WORKS = 64
MAX_NAME_LENGTH = 64  # characters
MAX_STATE_LENGTH = 64 << 10  # characters of what an owner keeps
MIN_SPAN_MS, MAX_SPAN_MS = 200.0, 600_000.0  # milliseconds of a lease


class LeaseTable:
    """Commands and answers are JSON objects; an answer has `ok`, or `no` with its reason."""

    def __init__(self) -> None:
        self.token = 0  # the highest ever given; grows with every grant and is never given again
        self.works: dict[str, dict[str, Any]] = {}

    def apply(self, command: Any) -> dict[str, Any]:
        if not isinstance(command, dict) or not isinstance(command.get("work"), str):
            return {"no": "no-work-named"}
        do = {
            "acquire": self._acquire, "renew": self._renew, "give": self._give, "hand": self._hand,
            "expire": self._expire, "release": self._release, "save": self._save,
        }.get(command.get("do"))  # fmt: skip
        if do is None:
            return {"no": "unknown-command"}
        if not 0 < len(command["work"]) <= MAX_NAME_LENGTH:
            return {"no": "bad-name"}
        return do(command["work"], command)

    def dump(self) -> Any:
        return {"token": self.token, "works": self.works}

    def load(self, state: Any) -> None:
        # Danger: tokens that begin anew after a snapshot would let an old owner's acts pass as a new one's.
        self.token = state["token"] if state else 0
        self.works = {name: dict(row) for name, row in state["works"].items()} if state else {}

    def row(self, work: str) -> dict[str, Any] | None:
        return self.works.get(work)

    # ---- commands

    def _acquire(self, work: str, c: dict[str, Any]) -> dict[str, Any]:
        holder, span = c.get("holder"), c.get("span")
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
        # whoever holds it may ask anew, as after an answer that was lost; its older token is out then
        if row["holder"] not in (None, holder) or row["heir"] not in (None, holder):
            return {"no": "held", "holder": row["holder"] or row["heir"]}
        return self._grant(row, holder, float(span))

    def _grant(self, row: dict[str, Any], holder: str, span: float) -> dict[str, Any]:
        self.token += 1
        row.update(holder=holder, token=self.token, span=span, renewed=0, heir=None)
        return {"ok": True, "token": self.token, "span": span, "state": row["state"]}

    def _held(self, work: str, c: dict[str, Any]) -> dict[str, Any] | None:
        """The row, where the command's token is the one in force."""
        row = self.works.get(work)
        held = row is not None and row["holder"] is not None and row["token"] == c.get("token")
        return row if held else None

    def _renew(self, work: str, c: dict[str, Any]) -> dict[str, Any]:
        if (row := self._held(work, c)) is None:
            return {"no": "not-held"}
        row["renewed"] += 1
        return {"ok": True, "token": row["token"], "span": row["span"]}

    def _give(self, work: str, c: dict[str, Any]) -> dict[str, Any]:
        if (row := self._held(work, c)) is None:
            return {"no": "not-held"}
        row.update(holder=None)
        return {"ok": True}

    def _hand(self, work: str, c: dict[str, Any]) -> dict[str, Any]:
        """Given back, for one other to take; open to all once that one has not come for a lease's span."""
        if (row := self._held(work, c)) is None:
            return {"no": "not-held"}
        if not isinstance(c.get("to"), str) or not 0 < len(c["to"]) <= MAX_NAME_LENGTH:
            return {"no": "bad-name"}
        row.update(holder=None, heir=c["to"], renewed=row["renewed"] + 1)
        return {"ok": True}

    def _expire(self, work: str, c: dict[str, Any]) -> dict[str, Any]:
        row = self.works.get(work)
        # Danger: proposed before a renewal and committed after it, it would end a lease that is held.
        if row is None or row["token"] != c.get("token") or row["renewed"] != c.get("renewed"):
            return {"no": "renewed-since"}
        row.update(holder=None, heir=None)
        return {"ok": True}

    def _release(self, work: str, c: dict[str, Any]) -> dict[str, Any]:
        """An operator's: ended though it is renewed. The owner may still try; its token is refused."""
        row = self.works.get(work)
        if row is None or row["token"] != c.get("token"):
            return {"no": "not-held"}
        row.update(holder=None, heir=None)
        return {"ok": True}

    def _save(self, work: str, c: dict[str, Any]) -> dict[str, Any]:
        """What the next owner goes on from; only the owner in force may write it."""
        if (row := self._held(work, c)) is None:
            return {"no": "older-token"}
        state = c.get("state")
        if not isinstance(state, str) or len(state) > MAX_STATE_LENGTH:
            return {"no": "bad-state"}
        row["state"] = state
        return {"ok": True}
