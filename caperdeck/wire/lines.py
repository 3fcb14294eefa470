"""What every connection of the node has in common: lines, their length, and how an end is waited for."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import ClientFactory
from twisted.internet.tcp import Port
from twisted.protocols.basic import LineReceiver

CRLF = b"\r\n"
LONGEST_LINE = 4096
LINGER = 0.8  # seconds in which what was written last has to go out
LINGER_SHORT = 0.05  # the same while sockets are short


class LineConnection(LineReceiver):
    delimiter = CRLF
    MAX_LENGTH = LONGEST_LINE
    lingers = None

    def pass_on(self, line: bytes) -> None:
        self.transport.writeSequence((line, CRLF))

    def linger(self, reactor: Any, seconds: float = LINGER) -> None:
        self.lingers = reactor.callLater(seconds, self.transport.abortConnection)

    def end_sending(self, reactor: Any, seconds: float = LINGER) -> None:
        """Ends this side once all that was written has gone out, and waits a while for the other's end."""
        # Danger: closed with a line of the other side unread, the kernel resets it and our last line is lost.
        self.transport.loseWriteConnection()
        self.linger(reactor, seconds)

    def stopProducing(self) -> None:
        """The other side of the session is gone; its own connectionLost sees to this one."""


class BoundedPort(Port):
    """Accepts no more connections at once than its factory says are `acceptable`."""

    # Danger: the library takes a hundred in one go, and closes unanswered those that find no descriptor.
    @property
    def numberAccepts(self) -> int:
        return self.factory.acceptable

    @numberAccepts.setter
    def numberAccepts(self, wanted: int) -> None:
        pass


class OneConnection(ClientFactory):
    """For one connection that the node opens; told by `failed` if it does not come up."""

    noisy = False

    def __init__(self, conn: Any) -> None:
        self.conn = conn

    def buildProtocol(self, addr) -> Any:
        return self.conn

    def clientConnectionFailed(self, connector, reason) -> None:
        self.conn.failed()
