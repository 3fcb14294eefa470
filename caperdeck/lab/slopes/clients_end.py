"""The process of all clients: connections that stand, and the times of the lines that reach them."""

from __future__ import annotations

import socket
import struct
import time
from array import array
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.internet.protocol import Protocol

from caperdeck.lab.single_connection import SingleConnectionFactory
from caperdeck.lifecycle.reactor import install_reactor

from .end import POLL_INTERVAL_S, STAMP_DIGITS, Endpoint, Reply

reactor = install_reactor()

WAIT = 5000  # milliseconds that a client waits for its answer
LOAD = 0.002  # seconds of work a second that a client announces
RETRY = 0.1  # seconds until a client that was refused comes again
AT_ONCE = 64  # clients that are on the way in, or are sent away, at a time
LONGEST = 60_000_000  # microseconds of the histogram, and its digits
DIGITS = 3
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9}


class Client(Protocol):
    """A client's connection: its first line, its answer, then stamped lines that are only timed."""

    def __init__(self, crowd: ClientsEndpoint, name: bytes) -> None:
        self.crowd, self.name = crowd, name
        self.held = b""
        self.up = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(b"OPEN %s k c=live,t=t,d=%d,h=%g\r\n" % (self.name, WAIT, LOAD))

    def dataReceived(self, data: bytes) -> None:
        if self.up:
            self.timed(data)
            return
        self.held += data
        if self.held.endswith(b"\r\n"):
            answer, self.held = self.held, b""
            self.up = answer.startswith(b"UP ")
            if self.up:
                self.crowd.stands(self)
            else:
                self.transport.loseConnection()

    def timed(self, data: bytes) -> None:
        now = time.monotonic_ns()
        length, data = self.crowd.length, self.held + data if self.held else data
        whole = len(data) - len(data) % length
        for start in range(0, whole, length):
            self.crowd.delays.append(now - int(data[start : start + STAMP_DIGITS]))
        self.held = data[whole:]

    def connectionLost(self, reason: Any) -> None:
        self.crowd.gone(self)


class ClientsEndpoint(Endpoint):
    def __init__(self) -> None:
        super().__init__()
        self.standing: dict[Client, None] = {}
        self.delays = array("q")  # nanoseconds
        self.length = 0

    def do_open(self, reply: Reply, host: str, port: int, prefix: str, count: int) -> None:
        """So many clients more, a few at a time; answered once all stand."""
        self.address, self.prefix, self.wanted = (host, port), prefix, count
        self.begun, self.up, self.refused = 0, 0, 0
        self.all_up = reply
        for _ in range(min(AT_ONCE, count)):
            self.next()

    def next(self) -> None:
        if self.begun < self.wanted:
            self.begun += 1
            self.connect(b"%s%07d" % (self.prefix.encode(), self.begun))

    def connect(self, name: bytes) -> None:
        client = Client(self, name)
        factory = SingleConnectionFactory(client, lambda: self.gone(client))
        reactor.connectTCP(*self.address, factory, WAIT / 1000)

    def stands(self, client: Client) -> None:
        self.standing[client] = None
        self.up += 1
        if self.up == self.wanted:
            self.all_up({"refused": self.refused})
        self.next()

    def gone(self, client: Client) -> None:
        if client.up:
            self.standing.pop(client, None)
        else:
            self.refused += 1
            reactor.callLater(RETRY, self.connect, client.name)

    def do_watch(self, reply: Reply, length: int) -> None:
        """From now on lines of this length are timed."""
        self.length, self.delays = length, array("q")
        self.processor()
        reply(None)

    def do_received(self, reply: Reply) -> None:
        reply({"received": len(self.delays), "processor": self.processor()})

    def do_delays(self, reply: Reply) -> None:
        """How many lines came, and the percentiles of their times, in seconds."""
        histogram = HdrHistogram(1, LONGEST, DIGITS)
        for delay in self.delays:
            histogram.record_value(max(delay // 1000, 1))
        at = {name: histogram.get_value_at_percentile(p) / 1e6 for name, p in PERCENTILES.items()}
        reply({"received": len(self.delays), "percentiles": at})

    def do_close(self, reply: Reply, reset: bool) -> None:
        """Ends all, by a reset or politely; answered once none stands."""
        if reset:
            # no connection is left waiting for its time, which would show in the next figure
            for client in list(self.standing):
                linger = struct.pack("ii", 1, 0)
                client.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        waiting = list(self.standing)

        def some() -> None:
            for client in waiting[-AT_ONCE:]:
                client.transport.abortConnection() if reset else client.transport.loseConnection()
            del waiting[-AT_ONCE:]
            if waiting or self.standing:
                reactor.callLater(POLL_INTERVAL_S, some)
            else:
                reply(None)

        some()
