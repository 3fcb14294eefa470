"""The TCP server of the admin address: one call per connection, answered in lines; then it is closed.

After a call with one of the `keep_open_verbs` of `AdminCalls` the connection stays open for the next call,
and is closed when it has been idle for CALLER_TIMEOUT_S.
"""

from __future__ import annotations

from typing import Any

from loguru import logger
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ServerFactory
from zope.interface import implementer

from caperdeck.state.addresses import Address
from caperdeck.state.errors import call_with_retries
from caperdeck.state.timers import cancel
from caperdeck.wire.lines import BoundedPort, LineConnection

from .admin_calls import AdminCalls, Answer, nak

MAX_CALL_BYTES = 512
MAX_CONNECTIONS = 24  # open at once, out of RESERVED_DESCRIPTORS
RESERVED_DESCRIPTORS = MAX_CONNECTIONS + 8  # includes the listening socket and files opened by a call
CALLER_TIMEOUT_S = 5.0  # for sending the call and reading the answer
SLOW_ANSWER_MS = 400.0  # slower answers are logged
LISTEN_BACKLOG = 256


@implementer(IHalfCloseableProtocol)
class AdminConnection(LineConnection):
    """A caller's connection."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_CALL_BYTES

    def __init__(self, server: AdminServer) -> None:
        self.server = server
        self.call_received = False  # nothing more is read until it is answered
        self.answered = self.peer_closed = False  # the answer is written; the caller closed its side
        self.kept_open = False  # after at least one call
        self.timer: Any = None

    def connectionMade(self) -> None:
        self.disable_nagle()
        self.timer = self.server.reactor.callLater(CALLER_TIMEOUT_S, self.transport.abortConnection)
        self.server.connection_opened(self)

    def lineReceived(self, line: bytes) -> None:
        if not self.call_received:
            self.call_received = True
            received_at, verb = self.server.reactor.seconds(), line[:20]
            self.server.calls.call(
                line.removesuffix(b"\r"), lambda answer: self.answer(answer, verb, received_at)
            )

    def lineLengthExceeded(self, line: bytes) -> None:
        if not self.call_received:
            self.call_received = True
            self.answer(nak("long-line"), b"", self.server.reactor.seconds())

    def answer(self, lines: Answer, verb: bytes, received_at: float) -> None:
        """Sends the answer to a call that came at that time, in seconds of the reactor."""
        elapsed_ms = (self.server.reactor.seconds() - received_at) * 1000
        if elapsed_ms > SLOW_ANSWER_MS:
            logger.warning("call verb={!r} reason=late ms={:.0f}", verb, elapsed_ms)
        if not self.connected or self.answered:
            return
        self.transport.writeSequence([line.encode() + b"\r\n" for line in lines])
        if not self.peer_closed and verb.partition(b" ")[0] in self.server.calls.keep_open_verbs:
            self.keep_open()
            return
        self.answered = True
        if self.peer_closed:
            self.transport.loseConnection()
        else:
            self.half_close(self.server.reactor)

    def keep_open(self) -> None:
        """Waits for the next call."""
        self.call_received = False
        self.timer.reset(CALLER_TIMEOUT_S)
        if not self.kept_open:
            # Answers to a caller that never reads would use up memory; as a producer this connection is
            # paused, and reads no further call, until its answers have been sent.
            self.kept_open = True
            self.transport.registerProducer(self, True)

    def readConnectionLost(self) -> None:
        """The caller has closed its side, and may still read."""
        self.peer_closed = True
        if self.answered or not self.call_received:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Called by Twisted once the answer has been sent; nothing is left to do."""

    def connectionLost(self, reason) -> None:
        cancel(self.timer)
        cancel(self.linger_timer)
        self.server.connection_closed(self)


class AdminServer(ServerFactory):
    """Accepts callers, at most MAX_CONNECTIONS at once."""

    noisy = False

    def __init__(self, reactor: Any, calls: AdminCalls) -> None:
        self.reactor = reactor
        self.calls = calls
        self.connections: dict[AdminConnection, None] = {}  # oldest first

    def listen(self, address: Address) -> BoundedPort:
        port = BoundedPort(address.port, self, LISTEN_BACKLOG, address.host, self.reactor)
        call_with_retries(port.startListening)
        return port

    @property
    def acceptable_connections(self) -> int:
        """How many connections may be accepted now; others wait in the kernel's queue."""
        return max(MAX_CONNECTIONS - len(self.connections), 1)

    def buildProtocol(self, addr) -> AdminConnection:
        return AdminConnection(self)

    def connection_opened(self, connection: AdminConnection) -> None:
        self.connections[connection] = None
        # Without this, callers that stay without sending a whole call would keep out those that send one.
        while len(self.connections) > MAX_CONNECTIONS:
            idle = next((c for c in self.connections if not c.call_received), None) or next(
                iter(self.connections)
            )
            del self.connections[idle]
            idle.transport.abortConnection()

    def connection_closed(self, connection: AdminConnection) -> None:
        self.connections.pop(connection, None)
