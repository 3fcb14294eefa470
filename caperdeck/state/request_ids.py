"""The ids of requests in use, at this process and at the other process of an upgrade."""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable

DIGEST_BYTES = 16


def id_digest(request_id: str) -> str:
    """What the processes of a node tell each other of an id, which may be as long as a request line."""
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).hexdigest()


def _tell_nobody(request_id: str) -> None:
    """There is no other process."""


class RequestIds:
    """The ids of open requests and sessions of a node, which two processes serve during an upgrade.

    `on_opened` and `on_closed` tell the other process, of the ids of this one.
    """

    def __init__(self) -> None:
        self.open_here: set[str] = set()
        self.open_elsewhere: set[str] = set()  # digests of the ids at the other process
        self.on_opened: Callable[[str], None] = _tell_nobody
        self.on_closed: Callable[[str], None] = _tell_nobody

    def is_in_use(self, request_id: str) -> bool:
        """Whether a request with this id is open at either process."""
        if request_id in self.open_here:
            return True
        return bool(self.open_elsewhere) and id_digest(request_id) in self.open_elsewhere

    def opened(self, request_id: str) -> None:
        """A request with this id has been taken on by this process."""
        self.open_here.add(request_id)
        self.on_opened(request_id)

    def closed(self, request_id: str) -> None:
        """The request has been answered, has ended, or goes on in the other process."""
        self.open_here.discard(request_id)
        self.on_closed(request_id)

    def open_digests(self) -> list[str]:
        """The digests of the ids at this process."""
        return [id_digest(request_id) for request_id in self.open_here]

    def update_elsewhere(self, opened: Iterable[str], closed: Iterable[str]) -> None:
        """The other process has opened and closed requests whose ids have these digests."""
        self.open_elsewhere.update(opened)
        self.open_elsewhere.difference_update(closed)

    def other_process_gone(self) -> None:
        """The other process has ended, and its requests with it."""
        self.open_elsewhere.clear()
