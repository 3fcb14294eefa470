"""The sessions of a node, from a client's first line to the end of its connection.

Times are milliseconds of the node's clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import takewhile
from typing import Any, Protocol

from caperdeck.core.model import Outcome

from .request_ids import RequestIds


class OpenRequest(Protocol):
    """A client's request for a session, as the protocol front end has decoded it."""

    id: str
    listener: str
    wait_ms: float  # how long the client waits for an answer
    tenant: str | None
    resume_host: str | None  # uid of the host on which the session was established before the node started


class ClientSide(Protocol):
    """A session's connection to its client."""

    opened_at: float
    other_side_full: bool  # not read until the answers written so far have been sent

    def pass_on(self, line: bytes) -> None: ...

    def close(self, last_line: bytes | None = None, linger: bool = True) -> None: ...

    def peek(self) -> bytes | None:
        """Returns a byte of unread data without reading it, b"" at the end of the stream, else None."""

    def abort(self) -> None: ...


class HostSide(Protocol):
    """A session's connection to a host, including the attempt to open it."""

    session: Session
    dial_deadline: float  # the dial fails then
    request_sent: bool  # the request line has been handed to the transport
    ended: bool  # concluded: whatever still arrives is ignored
    paused: bool
    announced_end: tuple[Outcome, str] | None  # outcome and reason given by the host's last line, if any

    def close(self, reset: bool) -> None: ...


class Prober(Protocol):
    """Sends probes to hosts."""

    connections: dict[int, Any]  # by host

    def probe(self, host: int, address: Any) -> None: ...

    def close(self, host: int) -> None: ...

    def apply_settings(self, hosts_report_load: bool, timeout_ms: float) -> None: ...


@dataclass(slots=True, eq=False)
class Session:
    index: int
    request: OpenRequest
    client: ClientSide
    requested_at: float
    deadline: float  # when the client stops waiting for an answer
    host: int = -1
    dial: int = -1  # number of the last dial, from 0
    dialed_at: float = 0.0  # when the last dial began
    host_connection: HostSide | None = None  # of the dial under way, or of the established session
    dial_timer: Any = None  # ends the dial under way
    established_at: float = 0.0  # 0 until the session is established
    client_heard_at: float = 0.0  # when the client's last line came
    unanswered_since: float = 0.0  # since when a client's line waits for one from the host; 0 if none does
    may_have_run: bool = False  # a dial has ended without saying that the session did not run
    finished: bool = False  # answered or ended: nothing more is sent for it


class Sessions:
    """The table of sessions, with the orders in which their deadlines are checked."""

    def __init__(self) -> None:
        self.by_index: dict[int, Session] = {}
        self.opening: dict[Session, None] = {}  # without a final answer, the oldest first
        self.unanswered: dict[Session, None] = {}  # with a line that waits, the longest wait first
        self.created_count = 0
        self.ids = RequestIds()  # as given by clients

    def create(self, request: OpenRequest, client: ClientSide, now: float) -> Session:
        """Enters a session for a request that this process takes on."""
        session = self._enter(request, client, now)
        self.ids.mark_open(request.id)
        return session

    def adopt(self, request: OpenRequest, client: ClientSide, requested_at: float, counted: bool) -> Session:
        """Enters a session that another process of this node has handed over; `counted` says whether that
        process counts the id as open here already, as older versions do not.
        """
        session = self._enter(request, client, requested_at)
        if counted:
            self.ids.mark_adopted(request.id)
        else:
            self.ids.mark_open(request.id)
        return session

    def _enter(self, request: OpenRequest, client: ClientSide, requested_at: float) -> Session:
        session = Session(self.created_count, request, client, requested_at, requested_at + request.wait_ms)
        self.created_count += 1
        self.by_index[session.index] = session
        self.opening[session] = None
        return session

    def remove(self, session: Session) -> None:
        """Forgets a session that has ended."""
        self._leave(session)
        self.ids.mark_closed(session.request.id)

    def hand_over(self, session: Session) -> None:
        """Forgets a session that goes on in another process of this node."""
        self._leave(session)
        self.ids.mark_handed_over(session.request.id)

    def _leave(self, session: Session) -> None:
        session.finished = True
        self.opening.pop(session, None)
        self.unanswered.pop(session, None)
        self.by_index.pop(session.index, None)

    def mark_established(self, session: Session, now: float) -> None:
        """Records that the session has its final answer, and that lines pass from now on."""
        session.established_at = session.client_heard_at = now
        self.opening.pop(session, None)

    def overdue(self, now: float) -> list[Session]:
        """Returns the sessions whose client has stopped waiting for an answer."""
        return [session for session in self.opening if session.deadline < now]

    def line_from_client(self, session: Session, now: float) -> None:
        """Records a line of the client, which waits for one from the host."""
        session.client_heard_at = now
        if not session.unanswered_since:
            session.unanswered_since = now
            self.unanswered[session] = None

    def line_from_host(self, session: Session) -> None:
        """Records a line of the host, which answers whatever waited."""
        if session.unanswered_since:
            session.unanswered_since = 0.0
            del self.unanswered[session]

    def unanswered_before(self, before: float) -> list[Session]:
        """Returns the sessions with a line that has waited since before that time."""
        return list(takewhile(lambda session: session.unanswered_since < before, self.unanswered))

    def established(self) -> list[Session]:
        return [session for session in self.by_index.values() if session.established_at]
