"""The sessions that a node holds, from a client's first line to the end of its connection."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import takewhile
from typing import Any, Protocol

from caperdeck.core.model import Outcome


class Opening(Protocol):
    """What a client said first, as its front has decoded it."""

    id: str
    listener: str
    wait: float  # how long the client waits, in milliseconds
    tenant: str | None
    at: str | None  # the host at which the session stood before the node started


class ClientSide(Protocol):
    """A session's connection to its client."""

    opened: float

    def pass_on(self, line: bytes) -> None: ...

    def close(self, last_line: bytes | None = None, linger: bool = True) -> None: ...

    def unread(self) -> bytes | None:
        """A byte of what has come and is not read yet; b"" if that is the end, None if there is nothing."""

    def abort(self) -> None: ...


class HostSide(Protocol):
    """A session's connection to a host, from the attempt at one on."""

    session: Session
    until: float  # the dial is given up then
    sent: bool  # the first line has gone out whole
    ended: bool  # concluded; nothing that still comes counts
    paused: bool
    farewell: tuple[Outcome, str] | None  # what the host's last word means, if it said one

    def close(self, reset: bool) -> None: ...


class Prober(Protocol):
    """Where probes go out."""

    open: dict[int, Any]  # by host

    def probe(self, host: int, address: Any) -> None: ...

    def close(self, host: int) -> None: ...

    def retune(self, reports: bool, time_out: float) -> None: ...


@dataclass(slots=True, eq=False)
class Session:
    index: int
    request: Opening
    client: ClientSide
    since: float
    deadline: float
    host: int = -1
    dial: int = -1
    dialed_at: float = 0.0  # when the last dial began
    conn: HostSide | None = None  # the dial that is out, or the stream's host side
    timer: Any = None  # ends the dial that is out
    up_at: float = 0.0  # 0 until it stands
    heard_at: float = 0.0  # the client's last line
    asked_at: float = 0.0  # since when a client's line waits for one from the host; 0 if none does
    over: bool = False  # answered or ended; nothing is sent for it any more


class Sessions:
    def __init__(self) -> None:
        self.table: dict[int, Session] = {}
        self.opening: dict[Session, None] = {}  # without a final answer, the oldest first
        self.unanswered: dict[Session, None] = {}  # with a line that waits, the longest wait first
        self.made = 0
        self.ids: set[str] = set()  # as clients gave them

    def holds(self, name: str) -> bool:
        return name in self.ids

    def new(self, request: Opening, client: ClientSide, now: float) -> Session:
        s = Session(self.made, request, client, now, now + request.wait)
        self.made += 1
        self.table[s.index] = s
        self.opening[s] = None
        self.ids.add(request.id)
        return s

    def drop(self, s: Session) -> None:
        s.over = True
        self.opening.pop(s, None)
        self.unanswered.pop(s, None)
        self.table.pop(s.index, None)
        self.ids.discard(s.request.id)

    def stands(self, s: Session, now: float) -> None:
        """The session has its final answer, and lines pass from now on."""
        s.up_at = s.heard_at = now
        self.opening.pop(s, None)

    def overdue(self, now: float) -> list[Session]:
        """The sessions whose client has stopped waiting for an answer."""
        return [s for s in self.opening if s.deadline < now]

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
