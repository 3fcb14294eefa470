"""The process of all clients: holds established sessions and times the lines that reach them."""

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

ANSWER_TIMEOUT_MS = 5000
SESSION_LOAD = 0.002  # seconds of work per second that a client announces
RETRY_DELAY_S = 0.1  # before a refused client connects again
MAX_CONCURRENT = 64  # clients that are being opened or closed at a time
MAX_DELAY_US = 60_000_000  # upper bound of the histogram
SIGNIFICANT_DIGITS = 3  # of the histogram
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9}


class Client(Protocol):
    """A client connection: opens a session, reads the answer, then times the stamped lines it receives."""

    def __init__(self, endpoint: ClientsEndpoint, name: bytes) -> None:
        self.endpoint, self.name = endpoint, name
        self.buffer = b""
        self.established = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(
            b"OPEN %s k c=live,t=t,d=%d,h=%g\r\n" % (self.name, ANSWER_TIMEOUT_MS, SESSION_LOAD)
        )

    def dataReceived(self, data: bytes) -> None:
        if self.established:
            self.record_delays(data)
            return
        self.buffer += data
        if self.buffer.endswith(b"\r\n"):
            answer, self.buffer = self.buffer, b""
            self.established = answer.startswith(b"UP ")
            if self.established:
                self.endpoint.client_established(self)
            else:
                self.transport.loseConnection()

    def record_delays(self, data: bytes) -> None:
        """Records the delay of each complete line, and buffers an incomplete one."""
        now_ns = time.monotonic_ns()
        length, data = self.endpoint.length, self.buffer + data if self.buffer else data
        complete_bytes = len(data) - len(data) % length
        for start in range(0, complete_bytes, length):
            self.endpoint.delays_ns.append(now_ns - int(data[start : start + STAMP_DIGITS]))
        self.buffer = data[complete_bytes:]

    def connectionLost(self, reason: Any) -> None:
        self.endpoint.client_closed(self)


class ClientsEndpoint(Endpoint):
    """Opens and closes client sessions on command, and reports the delays of the lines they receive."""

    def __init__(self) -> None:
        super().__init__()
        self.open_clients: dict[Client, None] = {}
        self.delays_ns = array("q")
        self.length = 0

    def do_open(self, reply: Reply, host: str, port: int, prefix: str, count: int) -> None:
        """Opens `count` more sessions, a few at a time; replies once all are established."""
        self.address, self.prefix, self.target_count = (host, port), prefix, count
        self.started_count, self.established_count, self.refused_count = 0, 0, 0
        self.reply_when_established = reply
        for _ in range(min(MAX_CONCURRENT, count)):
            self.start_next()

    def start_next(self) -> None:
        if self.started_count < self.target_count:
            self.started_count += 1
            self.connect(b"%s%07d" % (self.prefix.encode(), self.started_count))

    def connect(self, name: bytes) -> None:
        client = Client(self, name)
        factory = SingleConnectionFactory(client, lambda: self.client_closed(client))
        reactor.connectTCP(*self.address, factory, ANSWER_TIMEOUT_MS / 1000)

    def client_established(self, client: Client) -> None:
        self.open_clients[client] = None
        self.established_count += 1
        if self.established_count == self.target_count:
            self.reply_when_established({"refused": self.refused_count})
        self.start_next()

    def client_closed(self, client: Client) -> None:
        if client.established:
            self.open_clients.pop(client, None)
        else:
            self.refused_count += 1
            reactor.callLater(RETRY_DELAY_S, self.connect, client.name)

    def do_watch(self, reply: Reply, length: int) -> None:
        """Starts a new series of delays, of lines of `length` bytes."""
        self.length, self.delays_ns = length, array("q")
        self.take_processor_time()
        reply(None)

    def do_received(self, reply: Reply) -> None:
        """Replies with the lines received in this series and the processor time since the last call."""
        reply({"received": len(self.delays_ns), "processor": self.take_processor_time()})

    def do_delays(self, reply: Reply) -> None:
        """Replies with the lines received in this series and the percentiles of their delays, in seconds."""
        histogram = HdrHistogram(1, MAX_DELAY_US, SIGNIFICANT_DIGITS)
        for delay_ns in self.delays_ns:
            histogram.record_value(max(delay_ns // 1000, 1))
        percentiles = {name: histogram.get_value_at_percentile(p) / 1e6 for name, p in PERCENTILES.items()}
        reply({"received": len(self.delays_ns), "percentiles": percentiles})

    def do_close(self, reply: Reply, reset: bool) -> None:
        """Closes all sessions, with a TCP reset or regularly; replies once none is left."""
        if reset:
            # A reset leaves no connection in TIME_WAIT, whose memory would show in the next point.
            for client in list(self.open_clients):
                linger = struct.pack("ii", 1, 0)
                client.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        remaining = list(self.open_clients)

        def close_batch() -> None:
            for client in remaining[-MAX_CONCURRENT:]:
                client.transport.abortConnection() if reset else client.transport.loseConnection()
            del remaining[-MAX_CONCURRENT:]
            if remaining or self.open_clients:
                reactor.callLater(POLL_INTERVAL_S, close_batch)
            else:
                reply(None)

        close_batch()
