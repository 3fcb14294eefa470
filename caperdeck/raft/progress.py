"""The leader's view of how far another member's log has caught up."""

from __future__ import annotations

MAX_IN_FLIGHT_ENTRIES = 256  # entries sent beyond the match index


class Progress:
    """Replication state that a leader keeps for one other member."""

    __slots__ = (
        "match_index",
        "next_index",
        "last_heard_at",
        "echoed_round",
        "snapshot_offset",
        "sent_index",
    )

    def __init__(self, next_index: int, now: float) -> None:
        self.match_index, self.next_index = 0, next_index
        self.last_heard_at = now
        self.echoed_round = 0  # the highest heartbeat round that the member has echoed
        self.snapshot_offset: int | None = None  # next byte of a snapshot that is being transferred
        self.sent_index = 0  # the highest index sent

    def record_contact(self, now: float, heartbeat_round: int) -> None:
        self.last_heard_at, self.echoed_round = now, max(self.echoed_round, heartbeat_round)

    def confirm(self, index: int) -> None:
        """The member's log matches the leader's up to `index`."""
        self.match_index, self.next_index = max(self.match_index, index), max(self.next_index, index + 1)

    def back_off_to(self, index: int) -> None:
        """A consistency check failed; the logs can match up to `index` at the most."""
        self.next_index = max(index, self.match_index) + 1
        self.sent_index = self.match_index

    def forget_unconfirmed(self) -> None:
        """Entries that were sent and not confirmed may be lost, so they are sent again."""
        self.sent_index = min(self.sent_index, self.match_index)

    def send_after(self, last_index: int) -> int:
        """The index after which entries are sent next, from a log that ends at `last_index`."""
        ahead = max(self.next_index - 1, self.sent_index)
        if ahead - self.match_index > MAX_IN_FLIGHT_ENTRIES or ahead > last_index:
            return self.next_index - 1
        return ahead
