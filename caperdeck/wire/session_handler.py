"""The platform's lines between clients and hosts: each session from its first line to the host's answer.

What is done about a session is in the carrier; here is how it is said.
"""

from __future__ import annotations

from functools import partial
from typing import Any

from loguru import logger

from caperdeck.execution.executor import CommandExecutor
from caperdeck.execution.resumption import ANSWER_MARGIN
from caperdeck.core.facade import LoadReported, SessionEstablished
from caperdeck.core.model import Outcome
from caperdeck.core.settings import MS
from caperdeck.state.figures import Status
from caperdeck.state.sessions import Session
from caperdeck.state.timers import cancel

from .client import ClientConnection
from .host import HostConnection
from .probe import Probes
from .report import parse_load
from .request import RequestError, parse_request

FULL_BACK_OFF = 500.0  # for clients turned away because sockets are short
WAITS = 10.0  # times the longest wait of any class, and a first line's wait is no wait
FAREWELLS = {b"MOVE": (Outcome.WITHDRAWN, "host-moved"), b"BYE": (Outcome.GOOD, "served")}


class SessionHandler(CommandExecutor):
    moved, failed = b"MOVE", b"ERR"

    def __init__(self, *parts: Any) -> None:
        super().__init__(*parts)
        reports, time_out = self.limits.hosts_report_load, 2 * self.limits.connect_timeout
        self.probes = Probes(self.reactor, self.budget, reports, time_out, self.probed, self.defer)

    def busy(self, back_off: float) -> bytes:
        return b"BUSY %d" % back_off if back_off >= 1 else b"BUSY"

    # ---- clients

    def first_line_received(self, client: ClientConnection, line: bytes) -> None:
        if line == b"PING":
            # without a PONG the front sends nobody more; a request that follows is answered all the same
            if not self.stopping:
                client.pass_on(b"PONG")
            return
        self.idle_clients.pop(client, None)
        request = None
        try:
            request = parse_request(line)
            listener = self.names.listeners.get(request.listener)
            if listener is None:
                raise RequestError("unknown-class")
            # a connection that stood before the node started has all the time that the start takes
            if request.resume_host is None and request.wait_ms > WAITS * max(self.limits.max_client_wait, MS):
                raise RequestError("bad-wait")
            # Danger: one client's line with another's id would be told apart by nobody, hosts among them.
            if self.sessions.has_id(request.id):
                raise RequestError("id-in-use")
        except RequestError as error:
            if request is not None:
                self.metrics.count_answer(request.listener, Status.FAULTED)
            self._turn_away(client, b"ERR", str(error), line[:80])
            return
        if self.clock() >= self.answer_by:
            self.metrics.count_answer(request.listener, Status.THROTTLED)
            self._turn_away(client, self.busy(0.0), "stopping", line[:80])
            return
        # a connection that stood before has had its descriptors, and waits for them
        if request.resume_host is None and not self.budget.may_serve():
            back_off = min(FULL_BACK_OFF, self.limits.max_back_off)
            self.metrics.count_answer(request.listener, Status.THROTTLED)
            self._turn_away(client, self.busy(back_off), "no-sockets", line[:80])
            return
        self.budget.session_count += 1
        now = self.clock()
        # Danger: a line that lay there in a stall has run down its client's wait unseen.
        s = client.session = self.sessions.create(request, client, now - self.read_delay())
        s.deadline = min(s.deadline, self.answer_by)
        if request.resume_host is not None:
            self.resumption.begin(s)
            return
        self._pick(s, listener)

    def _pick(self, s: Session, listener: int) -> None:
        if self.defer(partial(self._pick, s, listener)):
            # Danger: a client with little time would go unanswered while its node waits for the list.
            self.bound_list_wait((self.clock() + s.deadline) / 2)
            return
        if s.finished:
            return
        self.refresh_bans()
        request, now = s.request, self.clock()
        left = max(s.deadline - now - ANSWER_MARGIN, 0.0)
        customer = self.names.customers.get(request.tenant, -1)
        self.carry_out(self.balancer.open_session(now, s.index, listener, customer, left, *self.hints(s)))

    def hints(self, s: Session) -> tuple[float | None, int | None]:
        request = s.request
        load = None if request.load is None else request.load * MS
        return load, self.names.group(request.group)

    def _turn_away(self, client: ClientConnection, answer: bytes, reason: str, line: bytes) -> None:
        client.close(answer, linger=self.budget.may_serve())
        logger.info("end reason={} line={!r}", reason, line.decode("utf-8", "replace"))

    def client_line_received(self, s: Session, line: bytes) -> None:
        self.sessions.line_from_client(s, self.clock())
        s.host_connection.pass_on(line)

    def client_protocol_error(self, client: ClientConnection, reason: str) -> None:
        """The client has sent what cannot be passed on."""
        s = client.session
        if s is None:
            self._turn_away(client, b"ERR", reason, b"")
        elif not s.finished:
            if not s.established_at:
                self.metrics.count_answer(s.request.listener, Status.FAULTED)
            self._lose_client(s, reason, reset=False)
            client.close(None if s.established_at else b"ERR")

    # ---- hosts

    def open_host(self, s: Session, until: float, time_out: float) -> HostConnection:
        conn = HostConnection(self, s, until)
        conn.dial_to(self.hosts.addresses[s.host], time_out)
        return conn

    def send_request(self, conn: HostConnection) -> bool:
        wait = max(int(conn.dial_deadline - self.clock()), 1)
        return conn.send_request(conn.session.request.pieces(wait))

    def host_line_received(self, conn: HostConnection, line: bytes) -> None:
        s = conn.session
        self.hosts.heard_at[s.host] = self.clock()
        if s.established_at:
            self.sessions.line_from_host(s)
            s.client.pass_on(line)
            if line == b"MOVE" or line.startswith(b"BYE"):
                conn.announced_end = FAREWELLS[line if line == b"MOVE" else b"BYE"]
                if line == b"MOVE":
                    self.hosts.redirected_at[s.host] = self.clock()
            elif line.startswith(b"LOAD "):
                self._load_reported(s, line)
        elif line == b"UP" or line.startswith(b"UP "):
            self._stand(s, conn, line)
        else:
            outcome = Outcome.FULL if line.startswith(b"BUSY") else Outcome.ERROR
            self._end_dial(s, Outcome.WITHDRAWN if line == b"MOVE" else outcome)

    def _load_reported(self, s: Session, line: bytes) -> None:
        # Danger: a load that is no number, or is under 0, would stay in every sum that it enters.
        if (load := parse_load(line[5:])) is not None:
            self.report_event(LoadReported(s.index, load / MS))
        else:
            logger.warning("host uid={} reason=bad-load line={!r}", self.hosts.uids[s.host], line[:80])

    def _stand(self, s: Session, conn: HostConnection, line: bytes) -> None:
        now = self.clock()
        self.sessions.mark_established(s, now)
        cancel(s.dial_timer)
        client, request = s.client, s.request
        logger.debug("up id={} host={} class={}", request.id, self.hosts.uids[s.host], request.listener)
        client.pass_on(line)
        self.metrics.count_answer(request.listener, Status.FULFILLED)
        self._join(client, conn)
        if request.resume_host is None:
            self.report_event(SessionEstablished(s.index))
        else:
            self._resumed(s, now)

    def _join(self, client: ClientConnection, conn: HostConnection) -> None:
        """A side that does not read stops the other one."""
        client.transport.registerProducer(conn, True)
        conn.transport.registerProducer(client, True)

    def session_taken_over(self, s: Session, asked: bool) -> None:
        """A session that another process of this node has handed on goes on here."""
        now = self.clock()
        self.idle_clients.pop(s.client, None)
        s.client.session = s
        self.budget.session_count += 1
        if asked:
            self.sessions.line_from_client(s, now)
        self._join(s.client, s.host_connection)
        self._resumed(s, now)
