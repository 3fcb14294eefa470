"""One session's connection to a host: the head goes out, what comes back is the dial's outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineReceiver

from .heads import CRLF, LONGEST_LINE

if TYPE_CHECKING:
    from caperdeck.state.addresses import Address
    from caperdeck.state.sessions import Session

    from .desk import Desk

LINGER = 0.8  # seconds in which what was written last has to go out


class HostConnection(LineReceiver):
    delimiter = CRLF
    MAX_LENGTH = LONGEST_LINE

    def __init__(self, desk: Desk, session: Session, dial: int) -> None:
        self.desk = desk
        self.session = session
        self.dial = dial
        self.sent = False  # the head's last byte has been written
        self.until = 0.0
        self.ended = False  # concluded; nothing that still comes counts
        self.farewell = b""  # BYE or MOVE, if the host said so
        self.connector = None
        self.lingers = None

    def dial_to(self, address: Address, time_out: float) -> None:
        factory = _OneDial(self)
        self.connector = self.desk.reactor.connectTCP(address.host, address.port, factory, time_out / 1000)

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        if self.ended:
            self.transport.abortConnection()
        else:
            self.desk.dial_open(self)

    def send_head(self, pieces: list[bytes | memoryview]) -> bool:
        """One gathered write; False if the connection broke first, so that the host never had the line."""
        total = sum(len(piece) for piece in pieces)
        try:
            sent = self.transport.getHandle().sendmsg(pieces)
        except BlockingIOError:
            sent = 0
        except OSError:
            return False
        if sent < total:
            # what is left follows as the socket drains; a break after this counts as a line that may have run
            self.transport.write(b"".join(pieces)[sent:])
        self.sent = True
        return True

    def lineReceived(self, line: bytes) -> None:
        if not self.ended:
            self.desk.from_host(self, line)

    def lineLengthExceeded(self, line: bytes) -> None:
        if not self.ended:
            self.desk.host_gone(self, reset=True)
            self.transport.abortConnection()

    def pass_on(self, line: bytes) -> None:
        self.transport.writeSequence((line, CRLF))

    def close(self) -> None:
        """Ends the connection, or the attempt at one."""
        self.ended = True
        if self.connected:
            self.transport.unregisterProducer()
            self.transport.loseConnection()
            # Danger: a machine that vanished never takes what is still to be written, and the socket stays.
            self.lingers = self.desk.reactor.callLater(LINGER, self.transport.abortConnection)
        else:
            self.connector.disconnect()

    def abort(self) -> None:
        self.ended = True
        if self.connected:
            self.transport.unregisterProducer()
            self.transport.abortConnection()
        else:
            self.connector.disconnect()

    def stopProducing(self) -> None:
        """The client's side is gone; its own connectionLost sees to this one."""

    def connectionLost(self, reason) -> None:
        if self.lingers is not None and self.lingers.active():
            self.lingers.cancel()
        if not self.ended:
            self.desk.host_gone(self, reset=not reason.check(ConnectionDone))
            self.ended = True


class _OneDial(ClientFactory):
    noisy = False

    def __init__(self, conn: HostConnection) -> None:
        self.conn = conn

    def buildProtocol(self, addr) -> HostConnection:
        return self.conn

    def clientConnectionFailed(self, connector, reason) -> None:
        if not self.conn.ended:
            self.conn.ended = True
            self.conn.desk.dial_failed(self.conn)
