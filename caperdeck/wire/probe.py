"""Probes hosts, on one connection per host that stays open between probes while the budget allows it."""

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
    def __init__(self, pool: ProbePool, host: int, address: Address) -> None:
        self.pool = pool
        self.host = host
        self.address = address
        self.timeout_timer = None  # of the probe under way; None if there is none
        self.probe_sent = False
        self.ended = False
        self.connector = None

    def start_probe(self) -> None:
        self.timeout_timer = self.pool.reactor.callLater(self.pool.timeout_ms / MS, self.on_timeout)
        if self.connected:
            self.send_probe()

    def send_probe(self) -> None:
        self.probe_sent = True
        self.pass_on(self.pool.probe_line)

    def connectionMade(self) -> None:
        if self.ended:
            self.transport.abortConnection()
            return
        self.disable_nagle()
        if self.timeout_timer is not None:
            self.send_probe()

    def lineReceived(self, line: bytes) -> None:
        if self.timeout_timer is None:
            return
        if line.startswith(b"PONG"):
            self.complete(Outcome.GOOD, parse_report(line[4:]))
        else:
            self.complete(Outcome.ERROR, {})

    def lineLengthExceeded(self, line: bytes) -> None:
        self.end(Outcome.ERROR)

    def on_timeout(self) -> None:
        if self.pool.defer(partial(self.end_after_stall, self.timeout_timer)):
            return
        self.end(Outcome.LATE if self.probe_sent else Outcome.UNREACHED)

    def end_after_stall(self, timer: Any) -> None:
        """Ends a probe whose time-out fired in a stall, if its answer was not among the data read since.

        The probe counts as no result: the timer is cleared first, so that nothing is reported.
        """
        if self.timeout_timer is timer:
            self.timeout_timer = None
            self.end(Outcome.LATE)

    def complete(self, outcome: Outcome, values: dict[str, float]) -> None:
        if self.timeout_timer is None:
            return
        cancel(self.timeout_timer)
        self.timeout_timer, self.probe_sent = None, False
        self.pool.on_complete(ProbeCompleted(self.host, outcome, decode_report(values)))

    def end(self, outcome: Outcome) -> None:
        """Closes the connection and completes the probe under way, if any."""
        if self.ended:
            return
        self.ended = True
        if self.connected:
            self.transport.abortConnection()
        else:
            self.connector.disconnect()
        self.pool.remove(self)
        self.complete(outcome, {})

    def failed(self) -> None:
        self.end(Outcome.UNREACHED)

    def connectionLost(self, reason) -> None:
        self.end(Outcome.RESET if self.probe_sent else Outcome.UNREACHED)


class ProbePool:
    """The probe connections, one per host."""

    def __init__(
        self, reactor: Any, budget: SocketBudget, hosts_report_load: bool, timeout_ms: float,
        on_complete: Callable[[ProbeCompleted], None],
        defer: Callable[[Callable[[], None]], bool] = lambda do: False,
    ) -> None:  # fmt: skip
        self.reactor = reactor
        self.budget = budget
        self.apply_settings(hosts_report_load, timeout_ms)
        self.on_complete = on_complete
        # Whether the node is still reading after a stall; the callback is then called once it has caught up.
        self.defer = defer
        self.connections: dict[int, ProbeConnection] = {}  # by host, the least recently used first

    def apply_settings(self, hosts_report_load: bool, timeout_ms: float) -> None:
        self.probe_line = b"STATS" if hosts_report_load else b"PING"
        self.timeout_ms = timeout_ms

    def probe(self, host: int, address: Address | None) -> None:
        """Starts a probe, unless one is under way; on_complete is called with its result."""
        conn = self.connections.get(host)
        if conn is not None and conn.address != address:
            conn.end(Outcome.UNREACHED)
            conn = None
        if address is None:
            self.on_complete(ProbeCompleted(host, Outcome.UNREACHED))
            return
        if conn is None:
            if not self._ensure_capacity():
                # A lack of local descriptors says nothing about the host.
                self.on_complete(ProbeCompleted(host, Outcome.NEVER_SENT))
                return
            conn = ProbeConnection(self, host, address)
        self._mark_used(conn)
        if conn.connector is None:
            seconds = self.timeout_ms / MS
            factory = RetryingConnectionFactory(self.reactor, conn, seconds)
            conn.connector = self.reactor.connectTCP(*address, factory, seconds)
        if conn.timeout_timer is None:
            conn.start_probe()

    def _ensure_capacity(self) -> bool:
        """Whether one more connection may be opened; closes the least recently used idle one if needed."""
        if self.budget.open_probes < self.budget.max_probes:
            return True
        idle = next((conn for conn in self.connections.values() if conn.timeout_timer is None), None)
        if idle is not None:
            idle.end(Outcome.WITHDRAWN)
            return True
        return self.budget.may_serve()

    def _mark_used(self, conn: ProbeConnection) -> None:
        self.connections.pop(conn.host, None)
        self.connections[conn.host] = conn
        self.budget.open_probes = len(self.connections)

    def remove(self, conn: ProbeConnection) -> None:
        if self.connections.get(conn.host) is conn:
            del self.connections[conn.host]
            self.budget.open_probes = len(self.connections)

    def close(self, host: int) -> None:
        if host in self.connections:
            self.connections[host].end(Outcome.UNREACHED)
