"""A node's connection to one publisher: one TCP connection per watch."""

from __future__ import annotations

import socket
from enum import IntEnum
from typing import Any, Protocol

from twisted.protocols.basic import Int32StringReceiver

from caperdeck.raft.codec import FrameError
from caperdeck.state.addresses import Address
from caperdeck.wire.lines import SingleConnectionFactory

from .messages import NodeMessage
from .stream import MAX_PUBLISHER_FRAME_BYTES, decode_from_publisher, encode

CONNECT_TIMEOUT_S = 0.8  # shorter than the time that a node waits for a publisher's first answer
TCP_USER_TIMEOUT_MS = 5000  # how long written bytes may stay unacknowledged
MAX_UNSENT_BYTES = 16 << 10


class WatchListener(Protocol):
    """Receives the events of a connection."""

    def opened(self, connection: WatchConnection) -> None:
        """The connection is established and the Subscribe message may be sent."""

    def data_received(self, connection: WatchConnection) -> None:
        """Bytes arrived, a whole message or part of one, so the publisher is alive."""

    def message_received(self, connection: WatchConnection, message: Any) -> None:
        """A message from the publisher arrived."""

    def lost(self, connection: WatchConnection, reason: str) -> None:
        """The connection ended or was never established. Called once, and not after `close`.

        `reason` is `not-connected`, `ended`, `unsent`, or why a frame was rejected.
        """


class Phase(IntEnum):
    CONNECTING = 0
    OPEN = 1
    CLOSED = 2


class WatchConnection(Int32StringReceiver):
    """Connects at once. An invalid frame ends the connection and is not passed on."""

    MAX_LENGTH = MAX_PUBLISHER_FRAME_BYTES

    def __init__(self, reactor: Any, address: Address, cluster: str, listener: WatchListener) -> None:
        self.cluster, self.listener = cluster, listener
        self.phase = Phase.CONNECTING
        self.connector = reactor.connectTCP(*address, SingleConnectionFactory(self), CONNECT_TIMEOUT_S)

    def send(self, message: NodeMessage) -> bool:
        """Whether the message was written; False while connecting and after the end."""
        if self.phase is Phase.OPEN:
            self.transport.write(encode(message, self.cluster))
        return self.phase is Phase.OPEN

    def close(self) -> None:
        """Closes the connection at once, without a call to the listener."""
        if self.phase is not Phase.CLOSED:
            self._abort()

    # ---- called by the transport

    def connectionMade(self) -> None:
        if self.phase is Phase.CLOSED:
            self.transport.abortConnection()
            return
        self.phase = Phase.OPEN
        self.transport.setTcpNoDelay(True)
        # Without this, unsent bytes keep the connection to a lost machine open for a quarter of an hour.
        self.transport.getHandle().setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self.transport.bufferSize = MAX_UNSENT_BYTES
        self.transport.registerProducer(self, True)
        self.listener.opened(self)

    def dataReceived(self, data: bytes) -> None:
        if self.phase is Phase.OPEN:
            self.listener.data_received(self)
        if self.phase is Phase.OPEN:
            super().dataReceived(data)

    def stringReceived(self, data: bytes) -> None:
        if self.phase is not Phase.OPEN:
            return  # closed by the listener during the previous message of the same read
        try:
            message = decode_from_publisher(data, self.cluster)
        except FrameError as error:
            self._fail(str(error))
        else:
            self.listener.message_received(self, message)

    def lengthLimitExceeded(self, length: int) -> None:
        self._fail("too-long")

    def pauseProducing(self) -> None:
        # Messages buffered for a publisher that does not read would be out of date when it does.
        self._fail("unsent")

    def resumeProducing(self) -> None:
        """Nothing was paused."""

    def stopProducing(self) -> None:
        self.transport.unregisterProducer()

    def failed(self) -> None:
        """The connection could not be established. Called by the factory."""
        self._lost("not-connected")

    def connectionLost(self, reason: Any) -> None:
        self._lost("ended")

    # ---- closing

    def _fail(self, reason: str) -> None:
        if self.phase is not Phase.CLOSED:
            self._abort()
            self.listener.lost(self, reason)

    def _abort(self) -> None:
        previous, self.phase = self.phase, Phase.CLOSED
        if previous is Phase.OPEN:
            self.transport.abortConnection()
        else:
            self.connector.disconnect()

    def _lost(self, reason: str) -> None:
        if self.phase is not Phase.CLOSED:
            self.phase = Phase.CLOSED
            self.listener.lost(self, reason)
