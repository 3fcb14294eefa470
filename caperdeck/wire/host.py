"""One session's connection to a host: the request goes out, what comes back is the dial's outcome."""

from __future__ import annotations

from typing import Any, Protocol

from twisted.internet.error import ConnectionDone

from caperdeck.core.model import Outcome
from caperdeck.core.settings import MS
from caperdeck.state.addresses import Address
from caperdeck.state.sessions import Session
from caperdeck.state.timers import cancel

from .lines import LineConnection, RetryingConnectionFactory


class HostHandler(Protocol):
    """What a connection to a host needs of the desk, and what it tells it."""

    reactor: Any

    def dial_connected(self, conn: HostConnection) -> None: ...

    def dial_failed(self, conn: HostConnection) -> None: ...

    def host_line_received(self, conn: HostConnection, line: bytes) -> None: ...

    def host_disconnected(self, conn: HostConnection, reset: bool) -> None: ...


class HostConnection(LineConnection):
    def __init__(self, handler: HostHandler, session: Session, until: float) -> None:
        self.handler = handler
        self.session = session
        self.request_sent = False  # the request line's last byte has been written
        self.cut = False  # the system took a part of it only; the rest waits in the transport
        self.taken_up = False  # it stood at another process of this node already
        self.dial_deadline = until
        self.ended = False  # concluded; nothing that still comes counts
        self.announced_end: tuple[Outcome, str] | None = None  # what its last word means, if it said one
        self.connector = None

    def dial_to(self, address: Address, time_out: float) -> None:
        reactor, seconds = self.handler.reactor, time_out / MS
        factory = RetryingConnectionFactory(reactor, self, seconds)
        self.connector = reactor.connectTCP(*address, factory, seconds)

    def connectionMade(self) -> None:
        self.disable_nagle()
        if self.ended:
            self.transport.abortConnection()
        elif not self.taken_up:
            self.handler.dial_connected(self)

    def send_request(self, pieces: list[bytes | memoryview]) -> bool:
        """One gathered write; False if the connection broke first, so that the host never had the line."""
        total = sum(len(piece) for piece in pieces)
        try:
            sent = self.transport.getHandle().sendmsg(pieces)
        except BlockingIOError:
            sent = 0
        except OSError:
            return False
        self.cut = sent < total
        if self.cut:
            # what is left follows as the socket drains; a break after this counts as a line that may have run
            self.transport.write(b"".join(pieces)[sent:])
        self.request_sent = True
        return True

    def lineReceived(self, line: bytes) -> None:
        if not self.ended:
            self.handler.host_line_received(self, line)

    def lineLengthExceeded(self, line: bytes) -> None:
        if not self.ended:
            self.handler.host_disconnected(self, reset=True)
            self.transport.abortConnection()

    def close(self, reset: bool) -> None:
        """Ends the connection, or the attempt at one."""
        self.ended = True
        if not self.connected:
            self.connector.disconnect()
            return
        self.transport.unregisterProducer()
        # Danger: the rest of a request line would still go out, and a dial that was given up would run beside
        # the next one.
        if reset or (self.cut and not self.session.established_at):
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()
            # Danger: a machine that vanished never takes what is still to be written, and the socket stays.
            self.linger(self.handler.reactor)

    def failed(self) -> None:
        if not self.ended:
            self.ended = True
            self.handler.dial_failed(self)

    def connectionLost(self, reason) -> None:
        cancel(self.linger_timer)
        if not self.ended:
            self.handler.host_disconnected(self, reset=not reason.check(ConnectionDone))
            self.ended = True
