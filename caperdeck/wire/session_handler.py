"""The line protocol of sessions between clients and hosts.

The command executor, its base class, decides what happens to a session; this module knows the lines by which
it happens.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from loguru import logger

from caperdeck.execution.executor import CommandExecutor
from caperdeck.execution.resumption import ANSWER_MARGIN_MS
from caperdeck.core.facade import LoadReported, SessionEstablished
from caperdeck.core.model import Outcome
from caperdeck.core.settings import MS
from caperdeck.state.figures import Status
from caperdeck.state.sessions import Session
from caperdeck.state.timers import cancel

from .client import ClientConnection
from .host import HostConnection
from .probe import ProbePool
from .report import parse_load
from .request import Request, RequestError, parse_request

DESCRIPTORS_BACK_OFF_MS = 500.0  # for clients that are refused because descriptors are short
NO_LIST_BACK_OFF_MS = 500.0  # for clients that are refused because the list of hosts is not current
MAX_WAIT_FACTOR = 10.0  # times the longest wait of any class; a longer wait in a request is invalid
# What the last line of a host means for its session: the outcome, and the reason in the log.
ENDINGS_BY_LINE = {b"MOVE": (Outcome.WITHDRAWN, "host-moved"), b"BYE": (Outcome.GOOD, "served")}


class SessionHandler(CommandExecutor):
    """Opens, relays and ends sessions in the line protocol."""

    redirect_line, error_line = b"MOVE", b"ERR"

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        hosts_report_load, probe_timeout = self.limits.hosts_report_load, 2 * self.limits.connect_timeout
        self.probes = ProbePool(
            self.reactor, self.budget, hosts_report_load, probe_timeout, self.probe_completed, self.defer
        )

    def busy_line(self, back_off: float) -> bytes:
        return b"BUSY %d" % back_off if back_off >= 1 else b"BUSY"

    # ---- clients

    def first_line_received(self, client: ClientConnection, line: bytes) -> None:
        if line == b"PING":
            # Without a PONG the front end sends no more clients; a request that follows is answered as usual.
            if not self.stopping:
                client.pass_on(b"PONG")
            return
        self.idle_clients.pop(client, None)
        request = None
        try:
            request = parse_request(line)
            self._check_request(request)
        except RequestError as error:
            if request is not None:
                self.metrics.count_answer(request.listener, Status.FAULTED)
            self._refuse(client, b"ERR", str(error), line[:80])
            return
        if self.clock() >= self.answer_by:
            self.metrics.count_answer(request.listener, Status.THROTTLED)
            self._refuse(client, self.busy_line(0.0), "stopping", line[:80])
            return
        # A session to be resumed waits for descriptors instead; it had them before the node started.
        if request.resume_host is None and not self.budget.may_serve():
            back_off = min(DESCRIPTORS_BACK_OFF_MS, self.limits.max_back_off)
            self.metrics.count_answer(request.listener, Status.THROTTLED)
            self._refuse(client, self.busy_line(back_off), "no-sockets", line[:80])
            return
        self._take_on(client, request)

    def _check_request(self, request: Request) -> None:
        """Raises RequestError for a request that may not be served."""
        if request.listener not in self.names.listeners:
            raise RequestError("unknown-class")
        # A session to be resumed may wait for as long as the start of the node takes.
        if request.resume_host is None and request.wait_ms > MAX_WAIT_FACTOR * max(
            self.limits.max_client_wait, MS
        ):
            raise RequestError("bad-wait")
        # Two open sessions with one id could not be told apart, not even by their hosts.
        self.refresh_ids()
        if self.sessions.ids.is_in_use(request.id):
            raise RequestError("id-in-use")
        # Its client may have left before the answer, or want the effect again.
        if self.sessions.ids.was_sent(request.id):
            raise RequestError("id-used")

    def _take_on(self, client: ClientConnection, request: Request) -> None:
        """Enters a session for the request, and begins to serve it."""
        self.budget.session_count += 1
        now = self.clock()
        # The client's wait began when its line arrived, which may have been during a stall of this node.
        session = client.session = self.sessions.create(request, client, now - self.read_delay())
        session.deadline = min(session.deadline, self.answer_by)
        # Only now can the other process of an upgrade read of the id. Where both take it on at the same time,
        # at least one of them reads here that the other has.
        self.refresh_ids()
        if self.sessions.ids.is_in_use_twice(request.id) or self.sessions.ids.was_sent(request.id):
            self._answer_client(session, self.error_line, "id-in-use")
        elif request.resume_host is not None:
            self.resumption.begin(session)
        else:
            self._open_session(session)

    def _open_session(self, session: Session) -> None:
        if self.defer(partial(self._open_session, session)):
            # Waiting for the list must not use up all the time of a client with a short wait.
            self.limit_list_wait((self.clock() + session.deadline) / 2)
            return
        if session.finished:
            return
        if not self.may_use_list():
            # Hosts that have begun to drain may be on it as running.
            back_off = min(NO_LIST_BACK_OFF_MS, self.limits.max_back_off)
            self._answer_client(session, self.busy_line(back_off), "no-list", Status.THROTTLED)
            return
        # Only now, as new settings may have renumbered the classes while the request waited.
        listener = self.names.listeners.get(session.request.listener)
        if listener is None:
            self._answer_client(session, self.busy_line(0.0), "class-dropped", Status.THROTTLED)
            return
        self.refresh_bans()
        request, now = session.request, self.clock()
        left = max(session.deadline - now - ANSWER_MARGIN_MS, 0.0)
        customer = self.names.customers.get(request.tenant, -1)
        self.execute(
            self.balancer.open_session(now, session.index, listener, customer, left, *self.hints(session))
        )

    def hints(self, session: Session) -> tuple[float | None, int | None]:
        request = session.request
        load = None if request.load is None else request.load * MS
        return load, self.names.group(request.group)

    def _refuse(self, client: ClientConnection, answer: bytes, reason: str, line: bytes) -> None:
        client.close(answer, linger=self.budget.may_serve())
        logger.info("end reason={} line={!r}", reason, line.decode("utf-8", "replace"))

    def client_line_received(self, session: Session, line: bytes) -> None:
        self.sessions.line_from_client(session, self.clock())
        session.host_connection.pass_on(line)

    def client_protocol_error(self, client: ClientConnection, reason: str) -> None:
        """Ends the session of a client that has broken the protocol."""
        session = client.session
        if session is None:
            self._refuse(client, b"ERR", reason, b"")
        elif not session.finished:
            if not session.established_at:
                self.metrics.count_answer(session.request.listener, Status.FAULTED)
            self._end_without_client(session, reason, reset=False)
            client.close(None if session.established_at else b"ERR")

    # ---- hosts

    def open_host_connection(
        self, session: Session, dial_deadline: float, connect_timeout: float
    ) -> HostConnection:
        conn = HostConnection(self, session, dial_deadline)
        conn.connect_to(self.hosts.addresses[session.host], connect_timeout)
        return conn

    def send_request(self, conn: HostConnection) -> bool:
        wait = max(int(conn.dial_deadline - self.clock()), 1)
        return conn.send_request(conn.session.request.buffers(wait))

    def host_line_received(self, conn: HostConnection, line: bytes) -> None:
        session = conn.session
        self.hosts.heard_at[session.host] = self.clock()
        if session.established_at:
            self.sessions.line_from_host(session)
            session.client.pass_on(line)
            if line == b"MOVE" or line.startswith(b"BYE"):
                conn.announced_end = ENDINGS_BY_LINE[line if line == b"MOVE" else b"BYE"]
                if line == b"MOVE":
                    self.hosts.redirected_at[session.host] = self.clock()
            elif line.startswith(b"LOAD "):
                self._load_reported(session, line)
        elif line == b"UP" or line.startswith(b"UP "):
            self._establish(session, conn, line)
        else:
            outcome = Outcome.FULL if line.startswith(b"BUSY") else Outcome.ERROR
            self._end_dial(session, Outcome.WITHDRAWN if line == b"MOVE" else outcome)

    def _load_reported(self, session: Session, line: bytes) -> None:
        # A load that is not a number, or is negative, would spoil every sum that it enters for good.
        if (load := parse_load(line[5:])) is not None:
            self.report_event(LoadReported(session.index, load / MS))
        else:
            logger.warning("host uid={} reason=bad-load line={!r}", self.hosts.uids[session.host], line[:80])

    def _establish(self, session: Session, conn: HostConnection, line: bytes) -> None:
        now = self.clock()
        self.sessions.mark_established(session, now)
        cancel(session.dial_timer)
        client, request = session.client, session.request
        logger.debug("up id={} host={} class={}", request.id, self.hosts.uids[session.host], request.listener)
        client.pass_on(line)
        self.metrics.count_answer(request.listener, Status.FULFILLED)
        self._couple_flow_control(client, conn)
        if request.resume_host is None:
            self.report_event(SessionEstablished(session.index))
        else:
            self._resume_in_balancer(session, now)

    def _couple_flow_control(self, client: ClientConnection, conn: HostConnection) -> None:
        """Pauses reading from either side while the other one does not accept data."""
        client.transport.unregisterProducer()
        client.transport.registerProducer(conn, True)
        conn.transport.registerProducer(client, True)

    def session_taken_over(self, session: Session, awaits_answer: bool) -> None:
        """Continues a session that another process of this node has handed over."""
        now = self.clock()
        self.idle_clients.pop(session.client, None)
        session.client.session = session
        self.budget.session_count += 1
        if awaits_answer:
            self.sessions.line_from_client(session, now)
        self._couple_flow_control(session.client, session.host_connection)
        self._resume_in_balancer(session, now)
