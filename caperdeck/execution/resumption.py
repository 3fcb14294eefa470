"""Resumes sessions that were established on their hosts before this node started.

The client names the host. The session waits until the host is on the list and a descriptor is free, and a
failed dial is retried. Times are milliseconds.
"""

from __future__ import annotations

from typing import Any, Protocol

from loguru import logger

from caperdeck.core.settings import MS
from caperdeck.state.budget import SocketBudget
from caperdeck.state.hosts import Hosts
from caperdeck.state.sessions import Session

RETRY_DELAY_MS = 200.0
CONNECT_TIMEOUT_MS = 3000.0  # of one attempt
MAX_WAIT_MS = 40_000.0  # the stated target for such a session to be established again
ANSWER_MARGIN_MS = 30.0  # between the final answer and the time at which the client stops waiting


class Dialer(Protocol):
    """The command executor, as resumed sessions use it."""

    reactor: Any
    hosts: Hosts
    budget: SocketBudget

    def clock(self) -> float:
        """Returns the time in milliseconds."""

    def dial(
        self, session: Session, dial: int, host: int, dial_deadline: float, connect_timeout: float
    ) -> None: ...

    def fail_session(self, session: Session, reason: str) -> None: ...


class Resumption:
    """The sessions to be resumed, until each is established again or failed."""

    def __init__(self, dialer: Dialer) -> None:
        self.dialer = dialer
        self.waiting: dict[Session, str] = {}  # sessions without a host connection, and what they wait for

    def begin(self, session: Session) -> None:
        """Starts to resume a session."""
        session.deadline = min(session.deadline, session.requested_at + MAX_WAIT_MS)
        self._try(session)

    def session_ended(self, session: Session) -> None:
        """Forgets a session that has been answered or has ended."""
        self._set_waiting(session, None)

    def dial_failed(self, session: Session, reason: str) -> None:
        """Retries later, or fails the session if there is no time left."""
        self._retry_later(session, reason)

    def _try(self, session: Session) -> None:
        if session.finished:
            return
        dialer = self.dialer
        host = dialer.hosts.index_by_uid.get(session.request.resume_host, -1)
        if host < 0 or dialer.hosts.addresses[host] is None:
            self._retry_later(session, "unknown-host")
        elif not dialer.budget.free_descriptors:
            self._retry_later(session, "no-sockets")
        else:
            self._set_waiting(session, None)
            dialer.dial(session, 0, host, self._answer_by(session), CONNECT_TIMEOUT_MS)

    def _retry_later(self, session: Session, reason: str) -> None:
        self._set_waiting(session, reason)
        now = self.dialer.clock()
        if now + RETRY_DELAY_MS < self._answer_by(session):
            self.dialer.reactor.callLater(RETRY_DELAY_MS / MS, self._try, session)
        else:
            self.dialer.fail_session(session, "host-lost")

    def _answer_by(self, session: Session) -> float:
        return session.deadline - ANSWER_MARGIN_MS

    def _set_waiting(self, session: Session, reason: str | None) -> None:
        before = self.waiting.pop(session, None)
        if reason is not None:
            self.waiting[session] = reason
            if reason != before:
                logger.info(
                    "resume id={} host={} waits={}", session.request.id, session.request.resume_host, reason
                )
        self.dialer.budget.undialed_sessions = len(self.waiting)
