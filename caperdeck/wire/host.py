"""The connection of one session to a host: sends the request line and passes on what comes back."""

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
    """The session handler, as host connections use it."""

    reactor: Any

    def dial_connected(self, conn: HostConnection) -> None: ...

    def dial_failed(self, conn: HostConnection) -> None: ...

    def host_line_received(self, conn: HostConnection, line: bytes) -> None: ...

    def host_disconnected(self, conn: HostConnection, reset: bool) -> None: ...


class HostConnection(LineConnection):
    def __init__(self, handler: HostHandler, session: Session | None, dial_deadline: float) -> None:
        self.handler = handler
        self.session = session  # None until a session that is taken over has been entered
        self.request_sent = False  # the request line has been handed to the transport
        self.partially_sent = False  # the kernel took only a part of it; the transport buffers the rest
        self.taken_over = False  # the session was established in another process of this node
        self.dial_deadline = dial_deadline
        self.ended = False  # concluded: whatever still arrives is ignored
        self.announced_end: tuple[Outcome, str] | None = None  # by the host's last line, if any
        self.connector = None

    def connect_to(self, address: Address, timeout_ms: float) -> None:
        reactor, seconds = self.handler.reactor, timeout_ms / MS
        factory = RetryingConnectionFactory(reactor, self, seconds)
        self.connector = reactor.connectTCP(*address, factory, seconds)

    def connectionMade(self) -> None:
        self.disable_nagle()
        if self.ended:
            self.transport.abortConnection()
        elif not self.taken_over:
            self.handler.dial_connected(self)

    def send_request(self, buffers: list[bytes | memoryview]) -> bool:
        """Sends the request line in one gathered write; False if the connection broke before."""
        total = sum(len(buffer) for buffer in buffers)
        try:
            sent = self.transport.getHandle().sendmsg(buffers)
        except BlockingIOError:
            sent = 0
        except OSError:
            return False
        self.partially_sent = sent < total
        if self.partially_sent:
            # The rest follows as the socket drains. From now on the host may have had the line.
            self.transport.write(b"".join(buffers)[sent:])
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
        """Closes the connection, or ends the attempt to open one."""
        self.ended = True
        if not self.connected:
            self.connector.disconnect()
            return
        self.transport.unregisterProducer()
        # Reset if a part of the request line is still buffered: it would go out otherwise, and the abandoned
        # dial would run beside the next one.
        if reset or (self.partially_sent and not self.session.established_at):
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()
            # A machine that has vanished never takes the remaining data, and the socket would stay open.
            self.abort_after(self.handler.reactor)

    def failed(self) -> None:
        if not self.ended:
            self.ended = True
            self.handler.dial_failed(self)

    def connectionLost(self, reason) -> None:
        cancel(self.linger_timer)
        if not self.ended:
            self.handler.host_disconnected(self, reset=not reason.check(ConnectionDone))
            self.ended = True
