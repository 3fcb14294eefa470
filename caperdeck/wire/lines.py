"""What every connection of the node has in common: lines, their length, and how an end is waited for."""

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
LONGEST_LINE = 4096
LINGER = 0.8  # seconds in which what was written last has to go out
LINGER_SHORT = 0.05  # the same while sockets are short


class LineConnection(LineReceiver):
    delimiter = CRLF
    MAX_LENGTH = LONGEST_LINE
    linger_timer = None

    def disable_nagle(self) -> None:
        """Small lines are not held back until the one before has been acknowledged."""
        # a connection that has broken already says so here first; reading finds it out again
        with suppress(OSError):
            self.transport.setTcpNoDelay(True)

    def pass_on(self, line: bytes) -> None:
        self.transport.writeSequence((line, CRLF))

    def linger(self, reactor: Any, seconds: float = LINGER) -> None:
        self.linger_timer = reactor.callLater(seconds, self.transport.abortConnection)

    def half_close(self, reactor: Any, seconds: float = LINGER) -> None:
        """Ends this side once all that was written has gone out, and waits a while for the other's end."""
        # Danger: closed with a line of the other side unread, the kernel resets it and our last line is lost.
        self.transport.loseWriteConnection()
        self.linger(reactor, seconds)

    def stopProducing(self) -> None:
        """The other side of the session is gone; its own connectionLost sees to this one."""


class BoundedPort(Port):
    """Accepts no more connections at once than its factory says are `acceptable`.

    Where somebody waits and that is 0, `none_acceptable` of the factory is called, which stops the reading.
    """

    # The library's own loop takes a hundred in one go, closes unanswered those that find no descriptor, and
    # gives up on errors that it does not know.

    resuming: Any = None  # the timer after which it accepts again

    @property
    def numberAccepts(self) -> int:
        return self.factory.acceptable_connections

    @numberAccepts.setter
    def numberAccepts(self, wanted: int) -> None:
        """The library sets a number of its own as it begins to listen."""

    def doRead(self) -> None:
        self.accept_pending()

    def accept_pending(self) -> bool:
        """Whether nobody waits in the queue any more; False also where that cannot be told just now."""
        if not (most := self.numberAccepts):
            # the queue stays readable: the reactor would turn on it and do nothing else
            self.factory.accept_blocked()
        for _ in range(most):
            try:
                sock, address = self.socket.accept()
            except BlockingIOError:
                return True
            except OSError as error:
                logger.warning("accept reason=failed {}", error.strerror)
                if is_transient(error):
                    self._pause()
                    return False
                continue  # that one connection has broken in the queue
            self._let_in(sock, address)
        return False

    def _let_in(self, sock: socket.socket, address: tuple[str, int]) -> None:
        number, self.sessionno = self.sessionno, self.sessionno + 1
        protocol = self.factory.buildProtocol(IPv4Address("TCP", *address))
        if protocol is None:
            sock.close()
            return
        protocol.makeConnection(self.transport(sock, protocol, address, self, number, self.reactor))

    def _pause(self) -> None:
        # the queue stays readable: without a pause the reactor would turn on it and do nothing else
        super().stopReading()
        self.resuming = self.reactor.callLater(RETRY_DELAY_S, self.startReading)

    def startReading(self) -> None:
        cancel(self.resuming)
        super().startReading()

    def stopReading(self) -> None:
        cancel(self.resuming)
        super().stopReading()


class SingleConnectionFactory(ClientFactory):
    """For one connection that the node opens; told by `failed` if it does not come up."""

    noisy = False

    def __init__(self, conn: Any) -> None:
        self.conn = conn

    def buildProtocol(self, addr) -> Any:
        return self.conn

    def clientConnectionFailed(self, connector, reason) -> None:
        self.conn.failed()


class RetryingConnectionFactory(SingleConnectionFactory):
    """The same, tried again while this machine lacks something for it, for so many seconds.

    `conn.ended` says that nobody waits for it any more.
    """

    def __init__(self, reactor: Any, conn: Any, seconds: float) -> None:
        super().__init__(conn)
        self.reactor = reactor
        self.until = reactor.seconds() + seconds

    def clientConnectionFailed(self, connector, reason) -> None:
        # what this machine lacks for a moment says nothing about the other side, and must not use up dials
        if is_transient(reason.value) and self.reactor.seconds() + RETRY_DELAY_S < self.until:
            self.reactor.callLater(RETRY_DELAY_S, self._try_again, connector)
        else:
            self.conn.failed()

    def _try_again(self, connector: Any) -> None:
        if not self.conn.ended:
            connector.connect()
