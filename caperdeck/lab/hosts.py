"""Simulated hosts: their capacity, slow start, load reports and line protocol.

`Host` does no I/O; `HostConnection` and `HostServer` serve it on any reactor. Loads are in milliseconds of
work per second, times in milliseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineReceiver

from .scenario import Scenario
from .seeded_random import SeededRandom

MAX_RESPONSE_MS = 3000.0  # response time of an overloaded host
MIN_FREE_FRACTION = 0.02  # of full load, a floor in the computation of the response time


class Host(SeededRandom):
    """The state of one host, which counts the sessions it holds and reports its load with a delay."""

    def __init__(self, scenario: Scenario, name: str, seed: int, emit: Callable[..., None]) -> None:
        super().__init__(seed)
        self.scenario, self.name, self.emit = scenario, name, emit
        self.settings = scenario.hosts
        self.answers_while_draining = self.chance() < 0.5  # the protocol leaves this open
        cores = self.settings.cores * (scenario.hosts.count if scenario.has_aliases(name) else 1)
        self.capacity = cores * self.between(self.settings.speed) * 1000.0
        self.max_sessions = cores * self.settings.cap_per_core
        self.life, self.started_at = 0, 0.0  # 0 means long ago
        self.running, self.draining, self.has_failed, self.failure_rate = True, False, False, 0.0
        self.loads: dict[str, float] = {}  # by session
        self.load = 0.0
        self.recent_sends: deque[tuple[float, str, float]] = deque()  # while cold: time, session, load
        self.overloaded_since = -1.0
        self.pending_reports: deque[tuple[float, dict[str, float]]] = deque()  # time of effect, figures
        self.report: dict[str, float] = {"util": 0.0, "inflight": 0.0, "x0": 0.0}

    def start(self, now: float) -> None:
        """Replaces the host by a new, cold process."""
        self.life += 1
        self.started_at, self.running, self.draining, self.has_failed, self.failure_rate = (
            now,
            True,
            False,
            False,
            0.0,
        )
        self.loads.clear()
        self.recent_sends.clear()
        self.pending_reports.clear()
        self.load, self.overloaded_since = 0.0, -1.0
        self.report = {"util": 0.0, "inflight": 0.0, "x0": 0.0}
        self.emit_state("cold")

    def emit_state(self, state: str) -> None:
        self.emit("host", to=self.name, state=state, born=self.started_at, capacity=round(self.capacity, 1))

    def warmth(self, now: float) -> float:
        age = now - self.started_at
        if not self.started_at or age >= self.settings.warm_after:
            return 1.0
        return (
            self.settings.cold_from + (1 - self.settings.cold_from) * max(age, 0.0) / self.settings.warm_after
        )

    def current_capacity(self, now: float) -> float:
        return self.capacity * self.warmth(now)

    def load_ratio(self, now: float) -> float:
        """The load relative to the current capacity."""
        return self.load / self.current_capacity(now)

    def response_ms(self, now: float) -> float:
        """The time that an answer takes at the current load."""
        free_fraction = max(1.0 - self.load_ratio(now), 0.0)
        return (
            min(self.settings.handshake / max(free_fraction, MIN_FREE_FRACTION), MAX_RESPONSE_MS)
            if free_fraction
            else MAX_RESPONSE_MS
        )

    def take_measurement(self, now: float) -> float:
        """Measures the load, which is reported after a delay; returns the time of the next measurement."""
        x0 = self.load_ratio(now)
        figures = {"util": round(min(x0, 1.0), 3), "inflight": len(self.loads), "x0": round(x0, 3)}
        self.pending_reports.append((now + self.between(self.settings.report_late), figures))
        return now + self.between(self.settings.report_every)

    def current_report(self, now: float) -> dict[str, float]:
        while self.pending_reports and self.pending_reports[0][0] <= now:
            self.report = self.pending_reports.popleft()[1]
        return self.report

    def accept_session(self, now: float, node: str, session_id: str, load: float) -> bool:
        """Handles a session that a node sends; returns whether the host accepts it."""
        self.emit("sent", to=self.name, who=node, id=session_id, load=load, life=self.life)
        if self.started_at and self.warmth(now) < 1:
            self.recent_sends.append((now, session_id, load))
        self.check_overload(now)
        if self.has_failed or self.draining or len(self.loads) >= self.max_sessions:
            return False
        if self.failure_rate and self.chance() < self.failure_rate:
            return False
        self.loads[session_id] = load
        self.load += load
        return True

    def check_overload(self, now: float) -> None:
        """Fails a cold host that has been sent more than a multiple of its capacity for too long."""
        rules = self.scenario.rules
        while self.recent_sends and self.recent_sends[0][0] < now - rules.fall:
            self.recent_sends.popleft()
        if not self.started_at or self.warmth(now) >= 1 or self.has_failed:
            return
        held_load = self.load + sum(
            load for _, session_id, load in self.recent_sends if session_id not in self.loads
        )
        if held_load <= rules.fall_multiple * self.current_capacity(now):
            self.overloaded_since = -1.0
        elif self.overloaded_since < 0:
            self.overloaded_since = now
        elif now - self.overloaded_since >= rules.fall:
            self.has_failed = True
            self.emit_state("fell")

    def end_session(self, session_id: str) -> None:
        if (load := self.loads.pop(session_id, None)) is not None:
            self.load -= load
            self.emit("gone", to=self.name, id=session_id, life=self.life)


class HostConnection(LineReceiver):
    """The host's side of one connection."""

    MAX_LENGTH = 4096

    def __init__(self, server: HostServer) -> None:
        self.server = server
        self.id = ""
        self.node = ""
        self.is_established = False
        self.timers: list[Any] = []

    def connectionMade(self) -> None:
        self.server.connections[self] = None

    def lineReceived(self, line: bytes) -> None:
        server, host, now = self.server, self.server.host, self.server.now()
        if line.startswith((b"STATS", b"PING")):
            if host.has_failed or (host.draining and not host.answers_while_draining):
                self.send(b"ERR")
            elif line == b"PING":
                self.send(b"PONG")
            else:
                figures = ",".join(f"{name}={value:g}" for name, value in host.current_report(now).items())
                self.send(b"PONG " + figures.encode())
        elif line.startswith(b"OPEN ") and not self.id:
            fields = line.split(b" ", 3)
            values = dict(part.partition("=")[::2] for part in fields[3].decode().split(","))
            self.id, load = fields[1].decode(), float(values.get("h", 0.03)) * 1000.0
            self.node = values.get("n", "")
            if host.accept_session(now, self.node, self.id, load):
                self.schedule(host.response_ms(now), self.establish)
            else:
                self.schedule(host.settings.handshake, lambda: (self.send(b"BUSY"), self.close()))
        elif self.is_established:
            self.schedule(host.response_ms(now), lambda: self.send(line))
        else:
            self.send(b"SYNTAX")
            server.host.emit("syntax", to=host.name, id=self.id)

    def schedule(self, delay: float, do: Callable[[], Any]) -> None:
        self.timers = [timer for timer in self.timers if timer.active()]
        self.timers.append(self.server.reactor.callLater(delay / 1000.0, do))

    def establish(self) -> None:
        self.is_established = True
        self.server.host.emit("ran", to=self.server.host.name, id=self.id)
        self.send(b"UP r-" + self.id.encode())

    def send(self, line: bytes) -> None:
        if self.transport is not None and self.connected:
            self.sendLine(line)

    def close(self) -> None:
        if self.connected:
            self.transport.loseConnection()

    def connectionLost(self, reason: Any) -> None:
        for timer in self.timers:
            if timer.active():
                timer.cancel()
        self.server.connections.pop(self, None)
        if self.id:
            self.server.host.end_session(self.id)


class HostServer(ServerFactory):
    """Serves a host on a reactor: listens, measures its load periodically and drains it."""

    noisy = False

    def __init__(self, reactor: Any, host: Host, clock: Callable[[], float]) -> None:
        self.reactor, self.host, self.now = reactor, host, clock
        self.connections: dict[HostConnection, None] = {}
        self.port: Any = None
        self.address = ("", 0)
        self.measure_timer: Any = None
        self.closing_port: Any = None  # a Deferred on a real reactor

    def buildProtocol(self, addr: Any) -> HostConnection:
        return HostConnection(self)

    def listen(self, interface: str, number: int = 0) -> tuple[str, int]:
        self.port = self.reactor.listenTCP(number, self, 1024, interface)
        bound = self.port.getHost()
        self.address = (bound.host, bound.port)
        self.measure()
        return self.address

    def measure(self) -> None:
        now = self.now()
        self.host.check_overload(now)
        self.measure_timer = self.reactor.callLater(
            (self.host.take_measurement(now) - now) / 1000.0, self.measure
        )

    def drain(self) -> None:
        """Redirects the established sessions to other hosts, evenly spread over the drain."""
        host, established = self.host, [c for c in self.connections if c.is_established]
        host.draining = True
        host.emit_state("drain")
        span = host.settings.drain_span
        for i, connection in enumerate(established):
            self.reactor.callLater(span * 0.8 * i / len(established) / 1000.0, self.redirect, connection)

    def redirect(self, connection: HostConnection) -> None:
        connection.send(b"MOVE")
        connection.close()

    def stop(self) -> None:
        """Kills the host: open connections are reset, new ones refused."""
        if not self.host.running:
            return
        self.host.running = False
        self.host.emit_state("gone")
        self.measure_timer.cancel()
        self.closing_port = self.port.stopListening()
        for connection in list(self.connections):
            connection.transport.abortConnection()

    def apply_command(self, what: str, amount: float) -> None:
        if what == "drain":
            self.drain()
        elif what == "stop":
            self.stop()
        elif what == "start":
            self.stop()
            self.start()
        else:
            self.host.failure_rate = amount

    def start(self) -> None:
        """Starts a new process on the same address, once the old port is closed."""
        self.host.start(self.now())
        if self.closing_port is None:
            self._open()
        else:
            self.closing_port.addCallback(lambda _: self._open())

    def _open(self) -> None:
        self.port = self.reactor.listenTCP(self.address[1], self, 1024, self.address[0])
        self.measure()
