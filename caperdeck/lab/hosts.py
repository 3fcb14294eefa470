"""Stand-in hosts: what a host bears, how it warms up, what it tells and when, and the lines that it speaks.

`Host` has no I/O; `HostLine` speaks for it on any reactor. Loads are milliseconds of work a second, times
milliseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineReceiver

from .scenario import Scenario
from .seeded_random import SeededRandom

SLOWEST = 3000.0  # an answer of a host that is far past its full load
NEAR_FULL = 0.02  # of full load left, at the least, for the time that an answer takes


class Host(SeededRandom):
    def __init__(self, scenario: Scenario, name: str, seed: int, emit: Callable[..., None]) -> None:
        super().__init__(seed)
        self.scenario, self.name, self.emit = scenario, name, emit
        self.table = scenario.hosts
        self.hides = self.chance() < 0.5  # it answers probes on while it drains; the page leaves that open
        cores = self.table.cores * (scenario.hosts.count if scenario.has_aliases(name) else 1)
        self.capacity = cores * self.between(self.table.speed) * 1000.0
        self.most = cores * self.table.cap_per_core
        self.life, self.born = 0, 0.0  # long ago
        self.running, self.draining, self.fell, self.ill = True, False, False, 0.0
        self.loads: dict[str, float] = {}  # of the sessions that it holds
        self.load = 0.0
        self.sent: deque[tuple[float, str, float]] = deque()  # while it was cold: when, session, load
        self.over_since = -1.0
        self.pending_reports: deque[tuple[float, dict[str, float]]] = deque()  # and when they are read
        self.report: dict[str, float] = {"util": 0.0, "inflight": 0.0, "x0": 0.0}

    def start(self, now: float) -> None:
        """A new process in this one's place, cold."""
        self.life += 1
        self.born, self.running, self.draining, self.fell, self.ill = now, True, False, False, 0.0
        self.loads.clear()
        self.sent.clear()
        self.pending_reports.clear()
        self.load, self.over_since = 0.0, -1.0
        self.report = {"util": 0.0, "inflight": 0.0, "x0": 0.0}
        self.say("cold")

    def say(self, state: str) -> None:
        self.emit("host", to=self.name, state=state, born=self.born, capacity=round(self.capacity, 1))

    def warmth(self, now: float) -> float:
        age = now - self.born
        if not self.born or age >= self.table.warm_after:
            return 1.0
        return self.table.cold_from + (1 - self.table.cold_from) * max(age, 0.0) / self.table.warm_after

    def able(self, now: float) -> float:
        return self.capacity * self.warmth(now)

    def share(self, now: float) -> float:
        """Load over what it can do now."""
        return self.load / self.able(now)

    def delay(self, now: float) -> float:
        """What an answer takes."""
        free = max(1.0 - self.share(now), 0.0)
        return min(self.table.handshake / max(free, NEAR_FULL), SLOWEST) if free else SLOWEST

    def measure(self, now: float) -> float:
        """Takes the figures that are reported later; returns when to measure again."""
        x0 = self.share(now)
        figures = {"util": round(min(x0, 1.0), 3), "inflight": len(self.loads), "x0": round(x0, 3)}
        self.pending_reports.append((now + self.between(self.table.report_late), figures))
        return now + self.between(self.table.report_every)

    def stats(self, now: float) -> dict[str, float]:
        while self.pending_reports and self.pending_reports[0][0] <= now:
            self.report = self.pending_reports.popleft()[1]
        return self.report

    def arrives(self, now: float, node: str, sid: str, load: float) -> bool:
        """A session is sent to it; whether it takes it."""
        self.emit("sent", to=self.name, who=node, id=sid, load=load, life=self.life)
        if self.born and self.warmth(now) < 1:
            self.sent.append((now, sid, load))
        self.press(now)
        if self.fell or self.draining or len(self.loads) >= self.most:
            return False
        if self.ill and self.chance() < self.ill:
            return False
        self.loads[sid] = load
        self.load += load
        return True

    def press(self, now: float) -> None:
        """Whether a cold host has been sent more than it bears, for too long."""
        rules = self.scenario.rules
        while self.sent and self.sent[0][0] < now - rules.fall:
            self.sent.popleft()
        if not self.born or self.warmth(now) >= 1 or self.fell:
            return
        held = self.load + sum(load for _, sid, load in self.sent if sid not in self.loads)
        if held <= rules.fall_multiple * self.able(now):
            self.over_since = -1.0
        elif self.over_since < 0:
            self.over_since = now
        elif now - self.over_since >= rules.fall:
            self.fell = True
            self.say("fell")

    def ends(self, sid: str) -> None:
        if (load := self.loads.pop(sid, None)) is not None:
            self.load -= load
            self.emit("gone", to=self.name, id=sid, life=self.life)


class HostLine(LineReceiver):
    """One connection at a host."""

    MAX_LENGTH = 4096

    def __init__(self, port: HostPort) -> None:
        self.port = port
        self.id = ""
        self.node = ""
        self.up = False
        self.calls: list[Any] = []

    def connectionMade(self) -> None:
        self.port.open[self] = None

    def lineReceived(self, line: bytes) -> None:
        port, host, now = self.port, self.port.host, self.port.now()
        if line.startswith((b"STATS", b"PING")):
            if host.fell or (host.draining and not host.hides):
                self.say(b"ERR")
            elif line == b"PING":
                self.say(b"PONG")
            else:
                figures = ",".join(f"{name}={value:g}" for name, value in host.stats(now).items())
                self.say(b"PONG " + figures.encode())
        elif line.startswith(b"OPEN ") and not self.id:
            words = line.split(b" ", 3)
            values = dict(part.partition("=")[::2] for part in words[3].decode().split(","))
            self.id, load = words[1].decode(), float(values.get("h", 0.03)) * 1000.0
            self.node = values.get("n", "")
            if host.arrives(now, self.node, self.id, load):
                self.after(host.delay(now), self.stand)
            else:
                self.after(host.table.handshake, lambda: (self.say(b"BUSY"), self.leave()))
        elif self.up:
            self.after(host.delay(now), lambda: self.say(line))
        else:
            self.say(b"SYNTAX")
            port.host.emit("syntax", to=host.name, id=self.id)

    def after(self, delay: float, do: Callable[[], Any]) -> None:
        self.calls = [call for call in self.calls if call.active()]
        self.calls.append(self.port.reactor.callLater(delay / 1000.0, do))

    def stand(self) -> None:
        self.up = True
        self.port.host.emit("ran", to=self.port.host.name, id=self.id)
        self.say(b"UP r-" + self.id.encode())

    def say(self, line: bytes) -> None:
        if self.transport is not None and self.connected:
            self.sendLine(line)

    def leave(self) -> None:
        if self.connected:
            self.transport.loseConnection()

    def connectionLost(self, reason: Any) -> None:
        for call in self.calls:
            if call.active():
                call.cancel()
        self.port.open.pop(self, None)
        if self.id:
            self.port.host.ends(self.id)


class HostPort(ServerFactory):
    """A host on a reactor: its listening side, its clock of reports, its drain."""

    noisy = False

    def __init__(self, reactor: Any, host: Host, clock: Callable[[], float]) -> None:
        self.reactor, self.host, self.now = reactor, host, clock
        self.open: dict[HostLine, None] = {}
        self.port: Any = None
        self.address = ("", 0)
        self.due: Any = None
        self.closing: Any = None  # a Deferred on a real reactor

    def buildProtocol(self, addr: Any) -> HostLine:
        return HostLine(self)

    def listen(self, interface: str, number: int = 0) -> tuple[str, int]:
        self.port = self.reactor.listenTCP(number, self, 1024, interface)
        place = self.port.getHost()
        self.address = (place.host, place.port)
        self.measure()
        return self.address

    def measure(self) -> None:
        now = self.now()
        self.host.press(now)
        self.due = self.reactor.callLater((self.host.measure(now) - now) / 1000.0, self.measure)

    def drain(self) -> None:
        """Sends its clients away bit by bit, and is gone at the end."""
        host, lines = self.host, [line for line in self.open if line.up]
        host.draining = True
        host.say("drain")
        span = host.table.drain_span
        for i, line in enumerate(lines):
            self.reactor.callLater(span * 0.8 * i / len(lines) / 1000.0, self.send_away, line)

    def send_away(self, line: HostLine) -> None:
        line.say(b"MOVE")
        line.leave()

    def stop(self) -> None:
        """The process dies: what is open is reset, new connections are refused."""
        if not self.host.running:
            return
        self.host.running = False
        self.host.say("gone")
        self.due.cancel()
        self.closing = self.port.stopListening()
        for line in list(self.open):
            line.transport.abortConnection()

    def do(self, what: str, amount: float) -> None:
        if what == "drain":
            self.drain()
        elif what == "stop":
            self.stop()
        elif what == "start":
            self.stop()
            self.start()
        else:
            self.host.ill = amount

    def start(self) -> None:
        """A new process in the old one's place, once that one's port is closed."""
        self.host.start(self.now())
        if self.closing is None:
            self._open()
        else:
            self.closing.addCallback(lambda _: self._open())

    def _open(self) -> None:
        self.port = self.reactor.listenTCP(self.address[1], self, 1024, self.address[0])
        self.measure()
