"""At the target of acts: the highest token seen for each work, and what is older refused."""

from __future__ import annotations

from .table import MAX_NAME_LENGTH, MAX_WORKS


class Fence:
    """`known` is what a disk held; without one the target has forgotten, and asks before it takes a token."""

    def __init__(self, known: dict[str, int] | None = None) -> None:
        self.highest: dict[str, int] = dict(known or {})
        self.remembers = known is not None
        self.refused: dict[str, int] = {}

    def check(self, work: str, token: int) -> str | None:
        """Takes the act's token, or says why not. An act is carried out whole, in the turn that asks this."""
        reason = self._check(work, token)
        if reason is not None:
            self.refused[reason] = self.refused.get(reason, 0) + 1
        else:
            self.highest[work] = token
        return reason

    def _check(self, work: str, token: int) -> str | None:
        if not isinstance(token, int) or isinstance(token, bool) or token <= 0:
            return "no-token"
        if not isinstance(work, str) or not 0 < len(work) <= MAX_NAME_LENGTH:
            return "bad-name"
        if work not in self.highest:
            if not self.remembers:
                # Danger: after a restart the first token seen, an old owner's, would count as the highest.
                return "asks-first"
            if len(self.highest) >= MAX_WORKS:
                return "too-many-works"
        return "older-token" if token < self.highest.get(work, 0) else None

    def record_token(self, work: str, token: int) -> None:
        """The instances' answer to a linearizable read: the token in force, or the last one given."""
        if work in self.highest or len(self.highest) < MAX_WORKS:
            self.highest[work] = max(self.highest.get(work, 0), token)
