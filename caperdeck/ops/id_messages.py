"""Messages between two processes of one node about the ids of requests, and changes that wait to be sent."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from itertools import islice, repeat
from typing import Any

from caperdeck.state.request_ids import IdChange, IdTable

from .packets import portions

MAX_IDS_PER_PACKET = 2000
FIELDS = {  # of a message: the table, and whether its ids were entered there
    "opened": (IdTable.OPEN, True), "closed": (IdTable.OPEN, False),
    "sent": (IdTable.SENT, True), "never_run": (IdTable.SENT, False),
}  # fmt: skip
FIELD_NAMES = {key: name for name, key in FIELDS.items()}

Message = dict[str, Any]


def encode_ids(changes: Iterable[IdChange]) -> Message:
    fields: dict[str, list[str]] = {name: [] for name in FIELDS}
    for table, digest, added in changes:
        fields[FIELD_NAMES[table, added]].append(digest)
    return {"say": "ids", **fields}


def decode_ids(message: Message) -> list[IdChange]:
    return [
        IdChange(table, digest, added)
        for name, (table, added) in FIELDS.items()
        for digest in message.get(name, ())
    ]


def id_packets(changes: list[IdChange]) -> Iterator[Message]:
    """Messages that each fit into a packet."""
    return map(encode_ids, portions(changes, MAX_IDS_PER_PACKET))


class UnsentIdChanges:
    """Changes that wait until the other process has room for them, by table and id.

    Kept one by one, changes for a process that does not read would use up memory. One that is undone before
    it is sent leaves nothing.
    """

    def __init__(self) -> None:
        self.net: dict[tuple[IdTable, str], int] = {}  # entries less removals

    def __len__(self) -> int:
        return len(self.net)

    def add(self, change: IdChange) -> None:
        key = change.table, change.digest
        net = self.net.pop(key, 0) + (1 if change.added else -1)
        if net:
            self.net[key] = net

    def send(self, try_send: Callable[[Message], bool]) -> bool:
        """Sends as many as there is room for, in order; False if some are left."""
        while self.net:
            portion = list(islice(self.net.items(), MAX_IDS_PER_PACKET))
            if not try_send(encode_ids(_changes(portion))):
                return False
            for key, _ in portion:
                del self.net[key]
        return True


def _changes(portion: Iterable[tuple[tuple[IdTable, str], int]]) -> Iterator[IdChange]:
    for (table, digest), net in portion:
        yield from repeat(IdChange(table, digest, net > 0), abs(net))
