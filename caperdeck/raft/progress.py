"""How far another member's log follows the leader's."""

from __future__ import annotations

MOST_WINDOW = 256  # entries sent ahead of what a follower has confirmed


class Progress:
    """What a leader keeps of another member."""

    __slots__ = ("match", "next", "heard_at", "turn", "offset", "sent")

    def __init__(self, following: int, now: float) -> None:
        self.match, self.next = 0, following
        self.heard_at = now
        self.turn = 0  # the highest that it has echoed
        self.offset: int | None = None  # in a snapshot that is under way
        self.sent = 0  # the highest index sent to it

    def hear(self, now: float, turn: int) -> None:
        self.heard_at, self.turn = now, max(self.turn, turn)

    def confirm(self, index: int) -> None:
        """Its log is the leader's up to there."""
        self.match, self.next = max(self.match, index), max(self.next, index + 1)

    def go_back(self, index: int) -> None:
        """Its log may be the leader's up to there, and was not where it was taken to be."""
        self.next = max(index, self.match) + 1
        self.sent = self.match

    def forget_unconfirmed(self) -> None:
        """What was sent and not confirmed may be lost."""
        self.sent = min(self.sent, self.match)

    def send_after(self, last: int) -> int:
        """The index after which it is sent entries of a log that ends with `last`."""
        ahead = max(self.next - 1, self.sent)
        if ahead - self.match > MOST_WINDOW or ahead > last:
            return self.next - 1
        return ahead
