"""Connections from clients: the first line opens a session, later ones are passed on to its host."""

from __future__ import annotations

import socket
from contextlib import suppress
from typing import Any, Protocol

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ServerFactory
from zope.interface import implementer

from caperdeck.state.budget import SocketBudget
from caperdeck.state.errors import is_transient
from caperdeck.state.sessions import Session
from caperdeck.state.timers import cancel

from .lines import LINGER_S, SHORT_LINGER_S, BoundedPort, LineConnection

MAX_LINES_PER_TURN = 32  # of one client, in one turn of the reactor


class ClientHandler(Protocol):
    """The session handler, as client connections use it."""

    reactor: Any
    budget: SocketBudget

    def clock(self) -> float:
        """The time in milliseconds."""

    def client_connected(self, client: ClientConnection) -> None: ...

    def descriptors_exhausted(self) -> None:
        """Clients wait to be accepted, but no descriptors are left for them."""

    def first_line_received(self, client: ClientConnection, line: bytes) -> None: ...

    def client_line_received(self, s: Session, line: bytes) -> None: ...

    def client_protocol_error(self, client: ClientConnection, reason: str) -> None:
        """The client has broken the protocol; the reason is a code for the log."""

    def client_disconnected(self, client: ClientConnection, reset: bool) -> None:
        """The client has closed its side, or the connection was lost."""

    def client_socket_closed(self, client: ClientConnection) -> None:
        """The connection's descriptor is free again."""


@implementer(IHalfCloseableProtocol)
class ClientConnection(LineConnection):
    def __init__(self, handler: ClientHandler) -> None:
        self.handler = handler
        self.session: Session | None = None
        self.opened_at = 0.0
        self.closing = False
        self.lines_left = MAX_LINES_PER_TURN  # of this turn
        self.other_side_full = False  # what this client sends cannot be passed on, or its answers not sent
        self.turn_timer: Any = None  # continues with lines that are left over from the turn before

    def connectionMade(self) -> None:
        self.disable_nagle()
        # Answers to a client that does not read would use up memory: as a producer of its own answers, this
        # connection is not read either until they have been sent.
        self.transport.registerProducer(self, True)
        self.opened_at = self.handler.clock()
        self.handler.client_connected(self)

    def dataReceived(self, data: bytes) -> None:
        self.lines_left = MAX_LINES_PER_TURN
        super().dataReceived(data)

    def lineReceived(self, line: bytes) -> None:
        if self.closing:
            self.clearLineBuffer()
            return
        self.lines_left -= 1
        if not self.lines_left:
            self._continue_next_turn()
        if self.session is None:
            self.handler.first_line_received(self, line)
        elif self.session.established_at:
            self.handler.client_line_received(self.session, line)
        else:
            # A client that does not wait may send hundreds of commands; none of them may reach a host.
            self.handler.client_protocol_error(self, "did-not-wait")

    def _continue_next_turn(self) -> None:
        """Leaves further lines to the next turn, so that a client that sends many does not delay others."""
        super().pauseProducing()
        self.turn_timer = self.handler.reactor.callLater(0, self._continue)

    def _continue(self) -> None:
        if not self.other_side_full and self.transport.connected:
            super().resumeProducing()

    def pauseProducing(self) -> None:
        self.other_side_full = True
        super().pauseProducing()

    def resumeProducing(self) -> None:
        self.other_side_full = False
        if self.turn_timer is None or not self.turn_timer.active():
            super().resumeProducing()

    def lineLengthExceeded(self, line: bytes) -> None:
        if not self.closing:
            self.handler.client_protocol_error(self, "long-line")

    def close(self, last_line: bytes | None = None, linger: bool = True) -> None:
        """Closes the connection after an optional last line; `linger` gives it the full time to go out."""
        if self.closing:
            return
        self.closing = True
        self.transport.unregisterProducer()
        if last_line is not None:
            self.pass_on(last_line)
        self.half_close(self.handler.reactor, LINGER_S if linger else SHORT_LINGER_S)
        if self.other_side_full:
            self.resumeProducing()

    def peek(self) -> bytes | None:
        """Returns a byte of unread data without reading it, b"" at the end of the stream, else None."""
        try:
            return self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError as error:
            return None if is_transient(error) else b""

    def abort(self) -> None:
        self.closing = True
        self.transport.unregisterProducer()
        # Written out first, as a reset drops buffered data: with a host that breaks just after its UP, the
        # client would not get that line.
        self.transport.doWrite()
        self.transport.abortConnection()

    def readConnectionLost(self) -> None:
        """The client has closed its side."""
        if not self.closing:
            self.closing = True
            self.handler.client_disconnected(self, reset=False)
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """This side is closed and the last line has gone out; nothing to do."""

    def connectionLost(self, reason) -> None:
        cancel(self.linger_timer)
        cancel(self.turn_timer)
        if not self.closing:
            self.closing = True
            self.handler.client_disconnected(self, reset=not reason.check(ConnectionDone))
        self.handler.client_socket_closed(self)


class ClientPort(BoundedPort):
    """The clients' port, which the new process of an upgrade may take over or listen beside."""

    # Twisted would shut the socket down when this process ends. It would then stop listening in the new
    # process of an upgrade, too, which shares it.
    _shouldShutdown = False  # noqa: N815

    def createInternetSocket(self) -> socket.socket:
        sock = super().createInternetSocket()
        # Lets the new process of an upgrade listen on the same port if this socket cannot be passed to it.
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        return sock


class ClientFactory(ServerFactory):
    noisy = False

    def __init__(self, handler: ClientHandler) -> None:
        self.handler = handler

    @property
    def acceptable_connections(self) -> int:
        return self.handler.budget.acceptable_clients

    def accept_blocked(self) -> None:
        self.handler.descriptors_exhausted()

    def buildProtocol(self, addr) -> ClientConnection:
        return ClientConnection(self.handler)
