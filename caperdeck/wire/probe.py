"""Probes: one connection a host, kept open between them for as many hosts as the budget has room for."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any

from caperdeck.core.facade import ProbeCompleted
from caperdeck.core.model import Outcome
from caperdeck.core.settings import MS, decode_report
from caperdeck.state.addresses import Address
from caperdeck.state.budget import SocketBudget
from caperdeck.state.timers import cancel

from .report import parse_report
from .lines import LineConnection, RetryingConnectionFactory


class ProbeConnection(LineConnection):
    def __init__(self, pool: Probes, host: int, address: Address) -> None:
        self.pool = pool
        self.host = host
        self.address = address
        self.waits = None  # the timer of the probe that is out
        self.sent = False
        self.ended = False
        self.connector = None

    def ask(self) -> None:
        self.waits = self.pool.reactor.callLater(self.pool.time_out / MS, self.late)
        if self.connected:
            self.send()

    def send(self) -> None:
        self.sent = True
        self.pass_on(self.pool.question)

    def connectionMade(self) -> None:
        if self.ended:
            self.transport.abortConnection()
            return
        self.disable_nagle()
        if self.waits is not None:
            self.send()

    def lineReceived(self, line: bytes) -> None:
        if self.waits is None:
            return
        if line.startswith(b"PONG"):
            self.conclude(Outcome.GOOD, parse_report(line[4:]))
        else:
            self.conclude(Outcome.ERROR, {})

    def lineLengthExceeded(self, line: bytes) -> None:
        self.end(Outcome.ERROR)

    def late(self) -> None:
        if self.pool.later(partial(self.dismiss, self.waits)):
            return
        self.end(Outcome.LATE if self.sent else Outcome.UNREACHED)

    def dismiss(self, timer: Any) -> None:
        """The node stalled as the time ran out: without an answer by now it is nobody's fault."""
        if self.waits is timer:
            self.waits = None
            self.end(Outcome.LATE)

    def conclude(self, outcome: Outcome, values: dict[str, float]) -> None:
        if self.waits is None:
            return
        cancel(self.waits)
        self.waits, self.sent = None, False
        self.pool.concluded(ProbeCompleted(self.host, outcome, decode_report(values)))

    def end(self, outcome: Outcome) -> None:
        """Closes the connection and concludes the probe that is out, if any."""
        if self.ended:
            return
        self.ended = True
        if self.connected:
            self.transport.abortConnection()
        else:
            self.connector.disconnect()
        self.pool.forget(self)
        self.conclude(outcome, {})

    def failed(self) -> None:
        self.end(Outcome.UNREACHED)

    def connectionLost(self, reason) -> None:
        self.end(Outcome.RESET if self.sent else Outcome.UNREACHED)


class Probes:
    """The probe connections, one a host."""

    def __init__(
        self, reactor: Any, budget: SocketBudget, reports: bool, time_out: float,
        concluded: Callable[[ProbeCompleted], None],
        later: Callable[[Callable[[], None]], bool] = lambda do: False,
    ) -> None:  # fmt: skip
        self.reactor = reactor
        self.budget = budget
        self.apply_settings(reports, time_out)
        self.concluded = concluded
        self.later = later  # whether what is to be done waits until what lies in the sockets is read
        self.connections: dict[int, ProbeConnection] = {}  # by host, the one that was asked longest ago first

    def apply_settings(self, reports: bool, time_out: float) -> None:
        self.question = b"STATS" if reports else b"PING"
        self.time_out = time_out

    def probe(self, host: int, address: Address | None) -> None:
        conn = self.connections.get(host)
        if conn is not None and conn.address != address:
            conn.end(Outcome.UNREACHED)
            conn = None
        if address is None:
            self.concluded(ProbeCompleted(host, Outcome.UNREACHED))
            return
        if conn is None:
            if not self._make_room():
                # what this node lacks says nothing about the host
                self.concluded(ProbeCompleted(host, Outcome.NEVER_SENT))
                return
            conn = ProbeConnection(self, host, address)
        self._use(conn)
        if conn.connector is None:
            seconds = self.time_out / MS
            factory = RetryingConnectionFactory(self.reactor, conn, seconds)
            conn.connector = self.reactor.connectTCP(*address, factory, seconds)
        if conn.waits is None:
            conn.ask()

    def _make_room(self) -> bool:
        """Whether one more connection may be opened; the one that has rested longest is ended for it."""
        if self.budget.open_probes < self.budget.max_probes:
            return True
        resting = next((conn for conn in self.connections.values() if conn.waits is None), None)
        if resting is not None:
            resting.end(Outcome.WITHDRAWN)
            return True
        return self.budget.may_serve()

    def _use(self, conn: ProbeConnection) -> None:
        self.connections.pop(conn.host, None)
        self.connections[conn.host] = conn
        self.budget.open_probes = len(self.connections)

    def forget(self, conn: ProbeConnection) -> None:
        if self.connections.get(conn.host) is conn:
            del self.connections[conn.host]
            self.budget.open_probes = len(self.connections)

    def close(self, host: int) -> None:
        if host in self.connections:
            self.connections[host].end(Outcome.UNREACHED)
