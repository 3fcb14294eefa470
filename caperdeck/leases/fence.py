"""Fencing at the target of actions: remembers the highest token of each work and refuses lower ones."""

from __future__ import annotations

from .table import MAX_NAME_LENGTH, MAX_WORKS


class Fence:
    """Highest tokens by work.

    `known` holds the tokens that were stored on disk. Without it the target has lost its memory, and must
    look up the current token of a work before it accepts any.
    """

    def __init__(self, known: dict[str, int] | None = None) -> None:
        self.highest: dict[str, int] = dict(known or {})
        self.remembers = known is not None
        self.refused: dict[str, int] = {}

    def check(self, work: str, token: int) -> str | None:
        """Accepts the token of an action or returns the reason for the refusal.

        The action must be executed completely within the same event loop iteration.
        """
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
                # After a restart the first token seen might be that of an old owner and would count as the
                # highest.
                return "asks-first"
            if len(self.highest) >= MAX_WORKS:
                return "too-many-works"
        return "older-token" if token < self.highest.get(work, 0) else None

    def record_token(self, work: str, token: int) -> None:
        """Records the result of a linearizable read from the instances: the highest token granted for the
        work.
        """
        if work in self.highest or len(self.highest) < MAX_WORKS:
            self.highest[work] = max(self.highest.get(work, 0), token)
