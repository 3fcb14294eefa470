"""Base classes for connections and ports: lines of text, orderly closing, bounded accepting and retries."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Any

from loguru import logger
from twisted.internet.address import IPv4Address
from twisted.internet.protocol import ClientFactory
from twisted.internet.tcp import Port
from twisted.protocols.basic import LineReceiver

from caperdeck.state.errors import RETRY_DELAY_S, is_transient
from caperdeck.state.timers import cancel

CRLF = b"\r\n"
MAX_LINE_BYTES = 4096
LINGER_S = 0.8  # time for the last data to go out before the connection is aborted
SHORT_LINGER_S = 0.05  # the same while descriptors are short


class LineConnection(LineReceiver):
    delimiter = CRLF
    MAX_LENGTH = MAX_LINE_BYTES
    linger_timer = None

    def disable_nagle(self) -> None:
        """Sends small lines at once instead of waiting for earlier ones to be acknowledged."""
        # Fails if the connection has broken already, which the next read reports.
        with suppress(OSError):
            self.transport.setTcpNoDelay(True)

    def pass_on(self, line: bytes) -> None:
        self.transport.writeSequence((line, CRLF))

    def abort_after(self, reactor: Any, seconds: float = LINGER_S) -> None:
        self.linger_timer = reactor.callLater(seconds, self.transport.abortConnection)

    def half_close(self, reactor: Any, seconds: float = LINGER_S) -> None:
        """Closes the sending side after buffered data, and the connection after a limited time."""
        # If the socket were closed with unread data, the kernel would reset it and drop the last line.
        self.transport.loseWriteConnection()
        self.abort_after(reactor, seconds)

    def stopProducing(self) -> None:
        """Called as the other side of the session is lost; its connectionLost closes this side."""


class BoundedPort(Port):
    """Accepts at most `acceptable_connections` of its factory at once.

    If that is 0 while connections wait, it calls `accept_blocked` of the factory, which must stop reading.
    """

    # Twisted's own loop accepts a hundred connections in one go, closes those that find no descriptor without
    # an answer, and gives up on errors that it does not know.

    resume_timer: Any = None  # resumes accepting

    @property
    def numberAccepts(self) -> int:
        return self.factory.acceptable_connections

    @numberAccepts.setter
    def numberAccepts(self, wanted: int) -> None:
        """Ignored: Twisted sets its own number when it begins to listen."""

    def doRead(self) -> None:
        self.accept_pending()

    def accept_pending(self) -> bool:
        """Accepts waiting connections; True if the queue is empty, False if it may not be."""
        if not (limit := self.numberAccepts):
            # The queue stays readable, so the reactor would busy-loop on it.
            self.factory.accept_blocked()
        for _ in range(limit):
            try:
                sock, address = self.socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                logger.warning("accept reason=failed {}", error.strerror)
                if is_transient(error):
                    self._pause()
                    return False
                continue  # this connection broke while it waited
            self._adopt(sock, address)
        return False

    def _adopt(self, sock: socket.socket, address: tuple[str, int]) -> None:
        number, self.sessionno = self.sessionno, self.sessionno + 1
        protocol = self.factory.buildProtocol(IPv4Address("TCP", *address))
        if protocol is None:
            sock.close()
            return
        protocol.makeConnection(self.transport(sock, protocol, address, self, number, self.reactor))

    def _pause(self) -> None:
        # The queue stays readable, so without a pause the reactor would busy-loop on it.
        super().stopReading()
        self.resume_timer = self.reactor.callLater(RETRY_DELAY_S, self.startReading)

    def startReading(self) -> None:
        cancel(self.resume_timer)
        super().startReading()

    def stopReading(self) -> None:
        cancel(self.resume_timer)
        super().stopReading()


class SingleConnectionFactory(ClientFactory):
    """A factory for one outgoing connection, whose `failed` is called if it cannot be opened."""

    noisy = False

    def __init__(self, conn: Any) -> None:
        self.conn = conn

    def buildProtocol(self, addr) -> Any:
        return self.conn

    def clientConnectionFailed(self, connector, reason) -> None:
        self.conn.failed()


class RetryingConnectionFactory(SingleConnectionFactory):
    """Retries for so many seconds while the attempt fails for a momentary lack of local resources.

    It gives up once `conn.ended` is set.
    """

    def __init__(self, reactor: Any, conn: Any, seconds: float) -> None:
        super().__init__(conn)
        self.reactor = reactor
        self.deadline = reactor.seconds() + seconds

    def clientConnectionFailed(self, connector, reason) -> None:
        # A momentary lack of local resources says nothing about the other side, and must not use up dials.
        if is_transient(reason.value) and self.reactor.seconds() + RETRY_DELAY_S < self.deadline:
            self.reactor.callLater(RETRY_DELAY_S, self._retry, connector)
        else:
            self.conn.failed()

    def _retry(self, connector: Any) -> None:
        if not self.conn.ended:
            connector.connect()
