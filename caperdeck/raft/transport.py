"""Messages and calls between instances over TCP: one port for both.

A frame is four bytes of length and a JSON value (see `codec`). Each instance opens one connection to each
other instance and sends on it; it reads on connections that others open. Nothing blocks: a message that
cannot be sent now is dropped, which the protocol tolerates, and a call that is not answered in time is
answered None.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.protocols.basic import Int32StringReceiver

from caperdeck.state.addresses import Address
from caperdeck.state.timers import cancel
from caperdeck.wire.lines import BoundedPort

from .codec import MAX_FRAME_BYTES, FrameError, decode_frame, decode_message, encode, encode_frame
from .messages import Message

ACCEPT_BACKLOG = 256  # many nodes may connect at once
MAX_INBOUND_CONNECTIONS = 96
MAX_PENDING_CALLS = 256  # per connection
CONNECT_TIMEOUT_S = 1.0
TCP_USER_TIMEOUT_MS = 5000  # how long written bytes may stay unacknowledged
RECONNECT_DELAY_S = (0.1, 0.3)  # the delay is drawn from this range
CALL_TIMEOUT_S = 1.0
CALL, REPLY = "call", "reply"

AnswerCallback = Callable[[Any], None]  # takes the answer of a call; None if there is none


class FrameHandler(Protocol):
    """Takes over an inbound connection, from the first frame of its kind on."""

    def frame(self, name: Any, fields: Any, size: int) -> None:
        """Handles one frame. If it raises FrameError the connection is closed."""

    def lost(self) -> None:
        """The connection has ended, whichever side closed it."""


class FrameConnection(Int32StringReceiver):
    """Either side of a connection. An invalid frame is counted and closes the connection."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, network: Network, link: Link | None = None) -> None:
        self.network, self.link = network, link
        self.paused = False  # the send buffer is full
        self.handler: FrameHandler | None = None
        self.aborted = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        # Without this, unsent bytes keep the connection to a lost machine open for a quarter of an hour.
        self.transport.getHandle().setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS
        )
        self.transport.registerProducer(self, True)
        if self.link is not None:
            self.link.connected(self)
        else:
            self.network.inbound[self] = None

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        self.paused = False

    def stopProducing(self) -> None:
        self.transport.unregisterProducer()

    def send_frame(self, data: bytes) -> bool:
        """Whether the frame was written.

        A buffer for a suspended peer would grow without bound, and be out of date when it is read.
        """
        if self.paused or not self.connected or len(data) > MAX_FRAME_BYTES:
            return False
        self.sendString(data)
        return True

    def stringReceived(self, data: bytes) -> None:
        if self.aborted:
            return  # arrived in the same read as the frame that caused the abort
        try:
            name, fields = decode_frame(data, self.network.cluster)
            if self.handler is None and self.link is None:
                self.handler = self.network.handler_for(self, name)
            if self.handler is not None:
                self.handler.frame(name, fields, len(data))
            else:
                self.network.frame_received(self, name, fields)
        except FrameError as error:
            self.network.count_drop(str(error))
            self.abort()

    def lengthLimitExceeded(self, length: int) -> None:
        self.network.count_drop("too-long")
        self.abort()

    def abort(self) -> None:
        """Closes the connection at once; frames that were already received are ignored."""
        self.aborted = True
        self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        if self.handler is not None:
            self.handler.lost()
        if self.link is not None:
            self.link.disconnected()
        self.network.inbound.pop(self, None)


class Link(ClientFactory):
    """The outbound connection to one other instance. After a loss it is reopened on demand, with a delay."""

    noisy = False

    def __init__(self, network: Network, address: Address) -> None:
        self.network, self.address = network, address
        self.connection: FrameConnection | None = None
        self.connecting = False
        self.reconnect_timer: Any = None
        self.pending_calls: dict[int, tuple[AnswerCallback, Any]] = {}  # by number: callback and timer

    def send_frame(self, data: bytes) -> bool:
        """Whether the frame was written; connects if there is no connection."""
        if self.connection is not None:
            return self.connection.send_frame(data)
        if not self.connecting and self.reconnect_timer is None and not self.network.closed:
            self.connecting = True
            self.network.reactor.connectTCP(*self.address, self, CONNECT_TIMEOUT_S)
        return False

    def buildProtocol(self, addr: Any) -> FrameConnection:
        return FrameConnection(self.network, self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.disconnected()

    def connected(self, connection: FrameConnection) -> None:
        self.connecting, self.connection = False, connection

    def disconnected(self) -> None:
        self.connecting, self.connection = False, None
        for number in list(self.pending_calls):
            self.complete_call(number, None)
        if self.reconnect_timer is None and not self.network.closed:
            shortest, longest = RECONNECT_DELAY_S
            delay = shortest + (longest - shortest) * self.network.chance()
            self.reconnect_timer = self.network.reactor.callLater(delay, self._allow_reconnect)

    def _allow_reconnect(self) -> None:
        self.reconnect_timer = None

    def call(self, body: Any, callback: AnswerCallback) -> None:
        number = self.network.next_call_number()
        if len(self.pending_calls) >= MAX_PENDING_CALLS or not self.send_frame(
            encode_frame(self.network.cluster, CALL, [number, body])
        ):
            callback(None)
            return
        timer = self.network.reactor.callLater(CALL_TIMEOUT_S, self.complete_call, number, None)
        self.pending_calls[number] = callback, timer

    def complete_call(self, number: int, value: Any) -> None:
        callback, timer = self.pending_calls.pop(number, (None, None))
        cancel(timer)
        if callback is not None:
            callback(value)

    def close(self) -> None:
        cancel(self.reconnect_timer)
        if self.connection is not None:
            self.connection.transport.abortConnection()


class Network(ServerFactory):
    """All connections of one instance.

    `on_message` takes a Raft message; `on_call` takes the body of a call and a callback for its answer.
    """

    noisy = False

    def __init__(
        self, reactor: Any, cluster: str, me: int, addresses: dict[int, Address],
        on_message: Callable[[Message], None], on_call: Callable[[Any, AnswerCallback], None],
        chance: Callable[[], float],
    ) -> None:  # fmt: skip
        self.reactor, self.cluster, self.me = reactor, cluster, me
        self.on_message, self.on_call, self.chance = on_message, on_call, chance
        self.links = {i: Link(self, address) for i, address in addresses.items() if i != me}
        self.inbound: dict[FrameConnection, None] = {}
        # By the name of a connection's first frame: what takes the connection over.
        self.handlers: dict[str, Callable[[FrameConnection], FrameHandler]] = {}
        self.dropped: dict[str, int] = {}  # by reason
        self.last_call_number = 0
        self.closed = False
        self.port: Any = None

    def listen(self, address: Address) -> None:
        self.port = BoundedPort(address.port, self, ACCEPT_BACKLOG, address.host, self.reactor)
        self.port.startListening()

    @property
    def acceptable_connections(self) -> int:
        """How many connections may be accepted now."""
        return max(MAX_INBOUND_CONNECTIONS - len(self.inbound), 1)

    def buildProtocol(self, addr: Any) -> FrameConnection | None:
        if len(self.inbound) >= MAX_INBOUND_CONNECTIONS:
            self.count_drop("too-many-connections")
            return None
        return FrameConnection(self)

    def next_call_number(self) -> int:
        self.last_call_number += 1
        return self.last_call_number

    def count_drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def send(self, to: int, message: Message) -> None:
        """Sends a message, or drops it if it cannot be written now."""
        link = self.links.get(to)
        if link is None or not link.send_frame(encode(message, self.cluster)):
            self.count_drop("unsent")

    def call(self, to: int, body: Any, callback: AnswerCallback) -> None:
        """Calls another instance; the answer is None if there is none within CALL_TIMEOUT_S."""
        link = self.links.get(to)
        if link is None:
            callback(None)
        else:
            link.call(body, callback)

    def handler_for(self, connection: FrameConnection, name: Any) -> FrameHandler | None:
        """Hands the connection to the handler for frames of that name, if any. Raises FrameError."""
        accept = self.handlers.get(name) if isinstance(name, str) and not self.closed else None
        if accept is None:
            return None
        handler = accept(connection)
        del self.inbound[connection]
        return handler

    def frame_received(self, connection: FrameConnection, name: Any, fields: Any) -> None:
        """Handles a message, a call or a reply. Raises FrameError."""
        if self.closed:
            return
        if name not in (CALL, REPLY):
            message = decode_message(name, fields, self.me)
            if message.sender not in self.links:
                raise FrameError("unknown-instance")
            self.on_message(message)
            return
        if not isinstance(fields, list) or len(fields) != 2 or not isinstance(fields[0], int):
            raise FrameError("wrong-fields")
        number, value = fields
        if name == REPLY:
            if connection.link is not None:
                connection.link.complete_call(number, value)
        else:
            self.on_call(
                value,
                lambda answer: connection.send_frame(encode_frame(self.cluster, REPLY, [number, answer])),
            )

    def close(self) -> None:
        self.closed = True
        if self.port is not None:
            self.port.stopListening()
        for link in self.links.values():
            link.close()
        for connection in list(self.inbound):
            connection.transport.abortConnection()
