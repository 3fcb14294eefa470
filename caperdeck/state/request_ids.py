"""The ids of requests that may not be served now: those in use, and once-only ones that have been sent.

During an upgrade two processes serve a node. They tell each other of changes, with digests of the ids, as an
id may be as long as a request line.
"""

from __future__ import annotations

import hashlib
from collections import Counter
from collections.abc import Callable
from enum import IntEnum
from typing import NamedTuple

DIGEST_BYTES = 16
MAX_SENT_IDS = 65_536  # the oldest are forgotten


class IdTable(IntEnum):
    """What is recorded of an id."""

    OPEN = 0  # a request or session with it is open
    SENT = 1  # a once-only request with it has been sent to a host, and may have run


class IdChange(NamedTuple):
    """An id was entered in a table, or removed from it."""

    table: IdTable
    digest: str
    added: bool


def id_digest(request_id: str) -> str:
    """The digest by which the processes of a node speak of an id."""
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).hexdigest()


class RequestIds:
    """The ids known to one process of a node.

    `on_change` is called with each change that the process makes itself: the table, the id, and whether it
    was entered or removed.

    Requests are counted, as two of one id may be open after the processes were unable to tell each other.
    """

    def __init__(self) -> None:
        self.open_here: Counter[str] = Counter()  # requests by id
        self.open_elsewhere: Counter[str] = Counter()  # by digest: at the other process, or on the way to it
        self.sent: dict[str, None] = {}  # digests of the ids sent by either process, the oldest first
        self.on_change: Callable[[IdTable, str, bool], None] = lambda table, request_id, added: None

    def is_in_use(self, request_id: str) -> bool:
        """Whether a request with this id is open at either process."""
        return request_id in self.open_here or self._is_open_elsewhere(request_id)

    def is_in_use_twice(self, request_id: str) -> bool:
        """Whether a request with this id is open at either process beside one of this process."""
        return self.open_here[request_id] > 1 or self._is_open_elsewhere(request_id)

    def was_sent(self, request_id: str) -> bool:
        """Whether a once-only request with this id may have run, as far as is remembered."""
        return bool(self.sent) and id_digest(request_id) in self.sent

    def mark_open(self, request_id: str) -> None:
        """A request with this id has been taken on by this process."""
        self.open_here[request_id] += 1
        self.on_change(IdTable.OPEN, request_id, True)

    def mark_closed(self, request_id: str) -> None:
        """A request with this id has been answered or has ended."""
        _decrement(self.open_here, request_id)
        self.on_change(IdTable.OPEN, request_id, False)

    def mark_handed_over(self, request_id: str) -> None:
        """A session with this id goes to the other process, and counts as open there from now on."""
        # The other process can report the id only after a while, in which nobody would hold it.
        self.open_elsewhere[id_digest(request_id)] += 1
        self.mark_closed(request_id)

    def mark_adopted(self, request_id: str) -> None:
        """A session that the other process counts as open here already is now held by this process."""
        self.open_here[request_id] += 1

    def mark_sent(self, request_id: str) -> None:
        """A once-only request with this id goes to a host."""
        self._remember(id_digest(request_id))
        self.on_change(IdTable.SENT, request_id, True)

    def mark_never_run(self, request_id: str) -> None:
        """The host has said that the request did not run."""
        self.sent.pop(id_digest(request_id), None)
        self.on_change(IdTable.SENT, request_id, False)

    def snapshot(self) -> list[IdChange]:
        """The changes that bring another process to what this one knows."""
        changes = [
            IdChange(IdTable.OPEN, id_digest(request_id), True) for request_id in self.open_here.elements()
        ]
        return changes + [IdChange(IdTable.SENT, digest, True) for digest in self.sent]

    def apply(self, change: IdChange) -> None:
        """Records a change that the other process has made."""
        match change:
            case IdChange(IdTable.OPEN, digest, True):
                self.open_elsewhere[digest] += 1
            case IdChange(IdTable.OPEN, digest, False):
                _decrement(self.open_elsewhere, digest)
            case IdChange(IdTable.SENT, digest, True):
                self._remember(digest)
            case IdChange(IdTable.SENT, digest, False):
                self.sent.pop(digest, None)

    def other_process_gone(self) -> None:
        """The other process has ended, and its requests with it; what it has sent may have run."""
        self.open_elsewhere.clear()

    def _is_open_elsewhere(self, request_id: str) -> bool:
        return bool(self.open_elsewhere) and id_digest(request_id) in self.open_elsewhere

    def _remember(self, digest: str) -> None:
        self.sent[digest] = None
        if len(self.sent) > MAX_SENT_IDS:
            del self.sent[next(iter(self.sent))]


def _decrement(counts: Counter[str], key: str) -> None:
    """Counts one less, and keeps no key without a count."""
    counts[key] -= 1
    if counts[key] <= 0:
        del counts[key]
