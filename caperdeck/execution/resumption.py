"""Takes up again the connections that stood at their hosts before this node started.

The client of one names its host. It waits until the list has the host and a descriptor is free, and a dial
that fails is made again. Times are milliseconds.
"""

from __future__ import annotations

from typing import Any, Protocol

from loguru import logger

from caperdeck.core.settings import MS
from caperdeck.state.budget import SocketBudget
from caperdeck.state.hosts import Hosts
from caperdeck.state.sessions import Session

AGAIN = 200.0  # until the next try
CONNECT_TIME_OUT = 3000.0  # of one try
LONGEST = 40_000.0  # the stated target for such a connection to come up
ANSWER_MARGIN = 30.0  # an answer is out so long before the client stops waiting


class Dialer(Protocol):
    """What a session that stood before needs of the carrier."""

    reactor: Any
    hosts: Hosts
    budget: SocketBudget

    def clock(self) -> float:
        """The time in milliseconds."""

    def dial(self, s: Session, dial: int, host: int, until: float, connect_time_out: float) -> None: ...

    def fail_session(self, s: Session, reason: str) -> None: ...


class Resumption:
    """The sessions that stood before, until each stands again or is answered."""

    def __init__(self, carrier: Dialer) -> None:
        self.carrier = carrier
        self.waiting: dict[Session, str] = {}  # without a host's side, and for what they wait

    def begin(self, s: Session) -> None:
        s.deadline = min(s.deadline, s.requested_at + LONGEST)
        self._try(s)

    def ended(self, s: Session) -> None:
        """The session has been answered or has ended, whatever it waited for."""
        self._waits(s, None)

    def dial_failed(self, s: Session, reason: str) -> None:
        self._later(s, reason)

    def _try(self, s: Session) -> None:
        if s.finished:
            return
        carrier = self.carrier
        host = carrier.hosts.index_by_uid.get(s.request.resume_host, -1)
        if host < 0 or carrier.hosts.addresses[host] is None:
            self._later(s, "unknown-host")
        elif not carrier.budget.free_descriptors:
            self._later(s, "no-sockets")
        else:
            self._waits(s, None)
            carrier.dial(s, 0, host, self._answer_by(s), CONNECT_TIME_OUT)

    def _later(self, s: Session, reason: str) -> None:
        self._waits(s, reason)
        now = self.carrier.clock()
        if now + AGAIN < self._answer_by(s):
            self.carrier.reactor.callLater(AGAIN / MS, self._try, s)
        else:
            self.carrier.fail_session(s, "host-lost")

    def _answer_by(self, s: Session) -> float:
        return s.deadline - ANSWER_MARGIN

    def _waits(self, s: Session, reason: str | None) -> None:
        before = self.waiting.pop(s, None)
        if reason is not None:
            self.waiting[s] = reason
            if reason != before:
                logger.info("resume id={} host={} waits={}", s.request.id, s.request.resume_host, reason)
        self.carrier.budget.undialed_sessions = len(self.waiting)
