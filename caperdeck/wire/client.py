"""Clients' connections: the first line is taken to the desk, later ones are passed on."""

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

from .lines import LINGER, LINGER_SHORT, BoundedPort, LineConnection


class ClientHandler(Protocol):
    """What a client's connection needs of the desk, and what it tells it."""

    reactor: Any
    budget: SocketBudget

    def clock(self) -> float:
        """The time in milliseconds."""

    def client_connected(self, client: ClientConnection) -> None: ...

    def descriptors_exhausted(self) -> None:
        """Clients have connected whom no descriptor is left for."""

    def first_line_received(self, client: ClientConnection, line: bytes) -> None: ...

    def client_line_received(self, s: Session, line: bytes) -> None: ...

    def client_protocol_error(self, client: ClientConnection, reason: str) -> None:
        """The client has sent what cannot be passed on."""

    def client_disconnected(self, client: ClientConnection, reset: bool) -> None:
        """The client has ended its side, or its connection is lost."""

    def client_socket_closed(self, client: ClientConnection) -> None:
        """The socket is free."""


@implementer(IHalfCloseableProtocol)
class ClientConnection(LineConnection):
    def __init__(self, handler: ClientHandler) -> None:
        self.handler = handler
        self.session: Session | None = None
        self.opened_at = 0.0
        self.closing = False

    def connectionMade(self) -> None:
        self.disable_nagle()
        self.opened_at = self.handler.clock()
        self.handler.client_connected(self)

    def lineReceived(self, line: bytes) -> None:
        if self.closing:
            return
        if self.session is None:
            self.handler.first_line_received(self, line)
        elif self.session.established_at:
            self.handler.client_line_received(self.session, line)
        else:
            # Danger: who does not wait for its answer sends commands by the hundred; none may reach a host.
            self.handler.client_protocol_error(self, "did-not-wait")

    def lineLengthExceeded(self, line: bytes) -> None:
        if not self.closing:
            self.handler.client_protocol_error(self, "long-line")

    def close(self, last_line: bytes | None = None, linger: bool = True) -> None:
        """Ends the connection after a last line, if any; hardly lingering where sockets are short."""
        if self.closing:
            return
        self.closing = True
        self.transport.unregisterProducer()
        if last_line is not None:
            self.pass_on(last_line)
        self.half_close(self.handler.reactor, LINGER if linger else LINGER_SHORT)
        if self.paused:
            self.resumeProducing()

    def peek(self) -> bytes | None:
        """A byte of what has come and is not read yet; b"" if that is the end, None if there is nothing."""
        try:
            return self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return None
        except OSError as error:
            return None if is_transient(error) else b""

    def abort(self) -> None:
        self.closing = True
        self.transport.unregisterProducer()
        # Danger: a reset drops what has not gone out yet; a host that breaks just after its UP would lose it.
        self.transport.doWrite()
        self.transport.abortConnection()

    def readConnectionLost(self) -> None:
        """The client has ended its side."""
        if not self.closing:
            self.closing = True
            self.handler.client_disconnected(self, reset=False)
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """The last line has gone out."""

    def connectionLost(self, reason) -> None:
        cancel(self.linger_timer)
        if not self.closing:
            self.closing = True
            self.handler.client_disconnected(self, reset=not reason.check(ConnectionDone))
        self.handler.client_socket_closed(self)


class ClientPort(BoundedPort):
    """The clients' port, which a successor may go on with or listen beside."""

    # Danger: shut down where this process ends, the socket would listen no more at a successor that has it.
    _shouldShutdown = False  # noqa: N815

    def createInternetSocket(self) -> socket.socket:
        sock = super().createInternetSocket()
        # without it a successor that cannot be handed this socket could not listen beside it
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
