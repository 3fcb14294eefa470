"""Frames between instances on sockets, and calls with an answer: one port for both.

A frame is four bytes of length and a JSON value (codec.py). An instance opens one connection to each other
one, for what it sends; what comes in on others' connections is read. Nothing waits: what cannot go out now is
dropped, as the protocol bears that, and a call that gets no answer in time has None for one.
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

from .codec import LONGEST, FrameError, encode, frame, message_of, unwrap
from .messages import Message

BACKLOG = 256  # many nodes may come at once
MOST_CONNECTIONS = 96  # that others opened
MOST_CALLS = 256  # of one connection that wait for their answers
CONNECT = 1.0  # seconds
VANISHED = 5000  # milliseconds that written bytes may go unconfirmed
AGAIN = (0.1, 0.3)  # seconds until the next try, drawn
ANSWER = 1.0  # seconds that a call waits
CALL, REPLY = "call", "reply"

Then = Callable[[Any], None]


class Taker(Protocol):
    """Who has taken over a connection that others opened, from the first frame of its kind on."""

    def frame(self, name: Any, fields: Any, size: int) -> None:
        """Raises FrameError: the connection ends."""

    def lost(self) -> None:
        """The connection has ended, whoever ended it."""


class Frames(Int32StringReceiver):
    """Either side of a connection. What is no frame of this cluster is counted and ends the connection."""

    MAX_LENGTH = LONGEST

    def __init__(self, net: Net, link: Link | None = None) -> None:
        self.net, self.link = net, link
        self.full = False  # more waits to go out than should
        self.taker: Taker | None = None
        self.aborted = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        # Danger: bytes for a machine that has vanished would hold its link for a quarter of an hour.
        self.transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, VANISHED)
        self.transport.registerProducer(self, True)
        if self.link is not None:
            self.link.up(self)
        else:
            self.net.open[self] = None

    def pauseProducing(self) -> None:
        self.full = True

    def resumeProducing(self) -> None:
        self.full = False

    def stopProducing(self) -> None:
        self.transport.unregisterProducer()

    def put(self, data: bytes) -> bool:
        # Danger: what is kept for one that sleeps grows without end, and is old when it is read.
        if self.full or not self.connected or len(data) > LONGEST:
            return False
        self.sendString(data)
        return True

    def stringReceived(self, data: bytes) -> None:
        if self.aborted:
            return  # it came in one piece with what was no frame
        try:
            name, fields = unwrap(data, self.net.cluster)
            if self.taker is None and self.link is None:
                self.taker = self.net.taken(self, name)
            if self.taker is not None:
                self.taker.frame(name, fields, len(data))
            else:
                self.net.came(self, name, fields)
        except FrameError as error:
            self.net.drop(str(error))
            self.abort()

    def lengthLimitExceeded(self, length: int) -> None:
        self.net.drop("too-long")
        self.abort()

    def abort(self) -> None:
        """Ends it at once; nothing more of it is taken."""
        self.aborted = True
        self.transport.abortConnection()

    def connectionLost(self, reason: Any) -> None:
        if self.taker is not None:
            self.taker.lost()
        if self.link is not None:
            self.link.down()
        self.net.open.pop(self, None)


class Link(ClientFactory):
    """The connection to one other instance; there again a while after it went."""

    noisy = False

    def __init__(self, net: Net, address: Address) -> None:
        self.net, self.address = net, address
        self.conn: Frames | None = None
        self.trying = False
        self.timer: Any = None
        self.calls: dict[int, tuple[Then, Any]] = {}  # by number: who waits, and the timer

    def put(self, data: bytes) -> bool:
        if self.conn is not None:
            return self.conn.put(data)
        if not self.trying and self.timer is None and not self.net.closed:
            self.trying = True
            self.net.reactor.connectTCP(*self.address, self, CONNECT)
        return False

    def buildProtocol(self, addr: Any) -> Frames:
        return Frames(self.net, self)

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.down()

    def up(self, conn: Frames) -> None:
        self.trying, self.conn = False, conn

    def down(self) -> None:
        self.trying, self.conn = False, None
        for number in list(self.calls):
            self.answered(number, None)
        if self.timer is None and not self.net.closed:
            low, high = AGAIN
            wait = low + (high - low) * self.net.chance()
            self.timer = self.net.reactor.callLater(wait, self._rested)

    def _rested(self) -> None:
        self.timer = None

    def ask(self, body: Any, then: Then) -> None:
        number = self.net.number()
        if len(self.calls) >= MOST_CALLS or not self.put(frame(self.net.cluster, CALL, [number, body])):
            then(None)
            return
        timer = self.net.reactor.callLater(ANSWER, self.answered, number, None)
        self.calls[number] = then, timer

    def answered(self, number: int, value: Any) -> None:
        then, timer = self.calls.pop(number, (None, None))
        cancel(timer)
        if then is not None:
            then(value)

    def close(self) -> None:
        cancel(self.timer)
        if self.conn is not None:
            self.conn.transport.abortConnection()


class Net(ServerFactory):
    """All connections of one instance. `receive` takes a message, `call` a call and who takes its answer."""

    noisy = False

    def __init__(
        self, reactor: Any, cluster: str, me: int, addresses: dict[int, Address],
        receive: Callable[[Message], None], call: Callable[[Any, Then], None], chance: Callable[[], float],
    ) -> None:  # fmt: skip
        self.reactor, self.cluster, self.me = reactor, cluster, me
        self.receive, self.call, self.chance = receive, call, chance
        self.links = {i: Link(self, a) for i, a in addresses.items() if i != me}
        self.open: dict[Frames, None] = {}
        self.takers: dict[str, Callable[[Frames], Taker]] = {}  # by kind of frame
        self.dropped: dict[str, int] = {}
        self.calls = 0
        self.closed = False
        self.port: Any = None

    def listen(self, address: Address) -> None:
        self.port = BoundedPort(address.port, self, BACKLOG, address.host, self.reactor)
        self.port.startListening()

    @property
    def acceptable_connections(self) -> int:
        return max(MOST_CONNECTIONS - len(self.open), 1)

    def buildProtocol(self, addr: Any) -> Frames | None:
        if len(self.open) >= MOST_CONNECTIONS:
            self.drop("too-many-connections")
            return None
        return Frames(self)

    def number(self) -> int:
        self.calls += 1
        return self.calls

    def drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def send(self, to: int, message: Message) -> None:
        link = self.links.get(to)
        if link is None or not link.put(encode(message, self.cluster)):
            self.drop("unsent")

    def ask(self, to: int, body: Any, then: Then) -> None:
        link = self.links.get(to)
        if link is None:
            then(None)
        else:
            link.ask(body, then)

    def taken(self, conn: Frames, name: Any) -> Taker | None:
        """Who takes that connection over from now on, if anybody; raises FrameError."""
        take = self.takers.get(name) if isinstance(name, str) and not self.closed else None
        if take is None:
            return None
        taker = take(conn)
        del self.open[conn]
        return taker

    def came(self, conn: Frames, name: Any, fields: Any) -> None:
        """Raises FrameError."""
        if self.closed:
            return
        if name not in (CALL, REPLY):
            message = message_of(name, fields, self.me)
            if message.sender not in self.links:
                raise FrameError("unknown-instance")
            self.receive(message)
            return
        if not isinstance(fields, list) or len(fields) != 2 or not isinstance(fields[0], int):
            raise FrameError("wrong-fields")
        number, value = fields
        if name == REPLY:
            if conn.link is not None:
                conn.link.answered(number, value)
        else:
            self.call(value, lambda answer: conn.put(frame(self.cluster, REPLY, [number, answer])))

    def close(self) -> None:
        self.closed = True
        if self.port is not None:
            self.port.stopListening()
        for link in self.links.values():
            link.close()
        for conn in list(self.open):
            conn.transport.abortConnection()
