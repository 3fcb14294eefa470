"""A node's connection to one publisher: one TCP connection for one watch."""

from __future__ import annotations

import socket
from enum import IntEnum
from typing import Any, Protocol

from twisted.protocols.basic import Int32StringReceiver

from caperdeck.raft.codec import FrameError
from caperdeck.state.addresses import Address
from caperdeck.wire.lines import SingleConnectionFactory

from .messages import FromNode
from .stream import LONGEST_FROM_PUBLISHER, decode_from_publisher, encode

CONNECT = 0.8  # seconds; within the time that a node waits for a publisher's first answer
VANISHED = 5000  # milliseconds that written bytes may go unconfirmed
MOST_UNSENT = 16 << 10  # bytes


class WatchUser(Protocol):
    """Who is told what happens on a connection."""

    def opened(self, connection: WatchConnection) -> None:
        """It is up; the Subscribe is to be sent now."""

    def received(self, connection: WatchConnection) -> None:
        """Bytes came, a whole message or a part of one: the publisher is there."""

    def message(self, connection: WatchConnection, message: Any) -> None:
        """One FromPublisher."""

    def lost(self, connection: WatchConnection, reason: str) -> None:
        """Once, whatever its end was: `not-connected`, `ended`, `unsent`, or why a frame was not taken.

        Not called after `close`.
        """


class Phase(IntEnum):
    CONNECTING = 0
    OPEN = 1
    CLOSED = 2


class WatchConnection(Int32StringReceiver):
    """Connects at once. What cannot be taken ends the connection, and nothing of it is handed on."""

    MAX_LENGTH = LONGEST_FROM_PUBLISHER

    def __init__(self, reactor: Any, address: Address, cluster: str, user: WatchUser) -> None:
        self.cluster, self.user = cluster, user
        self.phase = Phase.CONNECTING
        self.connector = reactor.connectTCP(*address, SingleConnectionFactory(self), CONNECT)

    def send(self, message: FromNode) -> bool:
        """Whether it was written; not while it connects or after its end."""
        if self.phase is Phase.OPEN:
            self.transport.write(encode(message, self.cluster))
        return self.phase is Phase.OPEN

    def close(self) -> None:
        """Ended by this side, at once; the user hears nothing more of it."""
        if self.phase is not Phase.CLOSED:
            self._abort()

    # ---- of the transport

    def connectionMade(self) -> None:
        if self.phase is Phase.CLOSED:
            self.transport.abortConnection()
            return
        self.phase = Phase.OPEN
        self.transport.setTcpNoDelay(True)
        # Danger: bytes for a machine that has vanished would hold the connection for a quarter of an hour.
        self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, VANISHED)
        self.transport.bufferSize = MOST_UNSENT
        self.transport.registerProducer(self, True)
        self.user.opened(self)

    def dataReceived(self, data: bytes) -> None:
        if self.phase is Phase.OPEN:
            self.user.received(self)
        if self.phase is Phase.OPEN:
            super().dataReceived(data)

    def stringReceived(self, data: bytes) -> None:
        if self.phase is not Phase.OPEN:
            return  # closed by what the user did with the message before, of the same bytes
        try:
            message = decode_from_publisher(data, self.cluster)
        except FrameError as error:
            self._fail(str(error))
        else:
            self.user.message(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        self._fail("too-long")

    def pauseProducing(self) -> None:
        # Danger: a publisher that does not read would be kept words for that are old when it does.
        self._fail("unsent")

    def resumeProducing(self) -> None:
        """Nothing was held back."""

    def stopProducing(self) -> None:
        self.transport.unregisterProducer()

    def failed(self) -> None:
        """Of the factory: it did not come up."""
        self._lost("not-connected")

    def connectionLost(self, reason: Any) -> None:
        self._lost("ended")

    # ---- its end

    def _fail(self, reason: str) -> None:
        if self.phase is not Phase.CLOSED:
            self._abort()
            self.user.lost(self, reason)

    def _abort(self) -> None:
        before, self.phase = self.phase, Phase.CLOSED
        if before is Phase.OPEN:
            self.transport.abortConnection()
        else:
            self.connector.disconnect()

    def _lost(self, reason: str) -> None:
        if self.phase is not Phase.CLOSED:
            self.phase = Phase.CLOSED
            self.user.lost(self, reason)
