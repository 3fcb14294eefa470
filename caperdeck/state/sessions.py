"""The sessions that a node holds, from a client's first line to the end of its connection."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import takewhile
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.internet.interfaces import IDelayedCall

    from caperdeck.wire.client import ClientConnection
    from caperdeck.wire.heads import Head
    from caperdeck.wire.host import HostConnection


@dataclass(slots=True, eq=False)
class Session:
    index: int
    head: Head
    client: ClientConnection
    since: float
    deadline: float
    host: int = -1
    dial: int = -1
    conn: HostConnection | None = None  # the dial that is out, or the stream's host side
    timer: IDelayedCall | None = None  # ends the dial that is out
    up_at: float = 0.0  # 0 until it stands
    heard_at: float = 0.0  # the client's last line
    asked_at: float = 0.0  # since when a client's line waits for one from the host; 0 if none does
    over: bool = False  # answered or ended; nothing is sent for it any more


class Sessions:
    def __init__(self) -> None:
        self.table: dict[int, Session] = {}
        self.unanswered: dict[Session, None] = {}  # with a line that waits, the longest wait first
        self.made = 0
        self.ids: set[str] = set()  # as clients gave them

    def holds(self, name: str) -> bool:
        return name in self.ids

    def new(self, head: Head, client: ClientConnection, now: float) -> Session:
        s = Session(self.made, head, client, now, now + head.wait)
        self.made += 1
        self.table[s.index] = s
        self.ids.add(head.id)
        return s

    def drop(self, s: Session) -> None:
        s.over = True
        self.unanswered.pop(s, None)
        self.table.pop(s.index, None)
        self.ids.discard(s.head.id)

    def line_from_client(self, s: Session, now: float) -> None:
        s.heard_at = now
        if not s.asked_at:
            s.asked_at = now
            self.unanswered[s] = None

    def line_from_host(self, s: Session) -> None:
        if s.asked_at:
            s.asked_at = 0.0
            del self.unanswered[s]

    def silent(self, before: float) -> list[Session]:
        """The sessions whose line has waited since before that time."""
        return list(takewhile(lambda s: s.asked_at < before, self.unanswered))

    def standing(self) -> list[Session]:
        return [s for s in self.table.values() if s.up_at]
