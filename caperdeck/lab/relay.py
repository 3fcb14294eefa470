"""The relay that carries all links between real processes: streams and datagrams.

Each link has its own listening socket. A cut link does not refuse connections but stays silent: its accept
queue is filled, so that the kernel answers no further connection attempts. If the far end is dead, the socket
is closed and attempts are refused.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Protocol, ServerFactory
from zope.interface import implementer

from .links import ConnectionRecorder, Links, Pipe
from .ports import Ports

FIN, RST = object(), object()
BACKLOG = 512
QUEUE_FILLERS = 8  # connection attempts that fill an accept queue of length 0
Address = tuple[str, int]


@implementer(IHalfCloseableProtocol)
class ConnectionEnd(Protocol):
    """One of the two TCP connections of a relayed connection."""

    def __init__(self, connection: RelayedConnection, near: bool) -> None:
        self.connection, self.near = connection, near
        self.closed = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.connection.end_connected(self)

    def dataReceived(self, data: bytes) -> None:
        self.connection.read(self, data)

    def readConnectionLost(self) -> None:
        self.connection.read(self, FIN)

    def writeConnectionLost(self) -> None:
        pass

    def connectionLost(self, reason: Any) -> None:
        self.closed = True
        self.connection.read(self, FIN if reason.check(ConnectionDone) else RST)

    def deliver(self, item: Any) -> None:
        if self.closed or self.transport is None:
            return
        if item is FIN:
            self.transport.loseWriteConnection()
        elif item is RST:
            self.transport.abortConnection()
        else:
            self.transport.write(item)


class RelayedConnection(ClientFactory):
    """A relayed connection: what is read at one end is delivered at the other with the link's delay."""

    noisy = False

    def __init__(self, route: StreamRoute) -> None:
        self.route = route
        relay = route.relay
        a, b, reactor = route.near_name, route.far_name, relay.reactor
        self.near, self.far = ConnectionEnd(self, True), ConnectionEnd(self, False)
        kind = {"h": "host", "d": "list"}.get(b[0]) if a[0] == "n" else None
        self.recorder = ConnectionRecorder(kind, a, b, relay.emit) if kind else None
        self.to_far = Pipe(relay.links, reactor.seconds, reactor.callLater, a, b, self.deliver_far)
        self.to_near = Pipe(relay.links, reactor.seconds, reactor.callLater, b, a, self.deliver_near)
        self.undelivered: list[Any] = []
        self.ended_ends: set[bool] = set()  # True for the near end, False for the far end

    def end_connected(self, end: ConnectionEnd) -> None:
        if end is self.near:
            self.route.connections[self] = None
            if self.route.held_connections is None:
                self.open_far_end()
            else:
                self.route.held_connections.append(self)
        else:
            self.release_undelivered()

    def release_undelivered(self) -> None:
        undelivered, self.undelivered = self.undelivered, []
        for item in undelivered:
            self.far.deliver(item)

    def open_far_end(self) -> None:
        """Connects to the far end, or delivers what was held back if it is connected already."""
        if self.far.transport is not None:
            self.release_undelivered()
            return
        self.route.relay.reactor.connectTCP(*self.route.target, self, 2.0)

    def buildProtocol(self, addr: Any) -> ConnectionEnd:
        return self.far

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.far.closed = True
        self.near.deliver(RST)

    def read(self, end: ConnectionEnd, item: Any) -> None:
        if end.near in self.ended_ends:
            return
        if item is FIN or item is RST:
            self.ended_ends.add(end.near)
            if end.near and self.recorder is not None:
                self.recorder.connection_ended("node")
            if len(self.ended_ends) == 2:
                self.route.connections.pop(self, None)
        elif end.near and self.recorder is not None:
            self.recorder.data_sent(item)
        (self.to_far if end.near else self.to_near).put(item)

    def deliver_far(self, item: Any) -> None:
        if (self.far.transport is None or self.route.held_connections is not None) and not self.far.closed:
            self.undelivered.append(item)
            if self.far.transport is not None and self not in self.route.held_connections:
                self.route.held_connections.append(self)
            if self.route.held_connections is not None and isinstance(item, bytes):
                self._emit_withheld(item)
        else:
            self.far.deliver(item)

    def _emit_withheld(self, data: bytes) -> None:
        """Records that an action of owned work, which is sent in one piece, is held back here."""
        words = data.split(b" ", 3)
        if words[0] == b"act" and len(words) == 4:
            work, token = words[1].decode(), int(words[2])
            self.route.relay.emit(
                "withheld", who=self.route.near_name, to=self.route.far_name, work=work, token=token
            )

    def deliver_near(self, item: Any) -> None:
        if self.recorder is not None:
            if isinstance(item, bytes):
                self.recorder.data_received(item)
            else:
                self.recorder.connection_ended("far")
        self.near.deliver(item)

    def reset(self) -> None:
        if self.recorder is not None:
            self.recorder.connection_ended("far")
        for end in (self.near, self.far):
            if end.transport is not None and not end.closed:
                end.transport.abortConnection()


class StreamRoute(ServerFactory):
    """The listening side of one link."""

    noisy = False

    def __init__(self, relay: Relay, a: str, b: str, target: Address) -> None:
        self.relay, self.near_name, self.far_name, self.target = relay, a, b, target
        self.connections: dict[RelayedConnection, None] = {}
        # Connections that wait while the link is held; None while it is not.
        self.held_connections: list[RelayedConnection] | None = None
        self.port: Any = None
        self.fillers: list[socket.socket] = []
        self.address: Address = ("127.0.0.1", 0)
        self.down = False
        self.silent = False
        self.closing: Any = None

    def listen(self) -> Address:
        self.port = self.relay.reactor.listenTCP(self.address[1], self, BACKLOG, self.address[0])
        bound = self.port.getHost()
        self.address = (bound.host, bound.port)
        return self.address

    def buildProtocol(self, addr: Any) -> ConnectionEnd:
        return RelayedConnection(self).near

    def hold(self, on: bool) -> None:
        held_connections, self.held_connections = self.held_connections, [] if on else None
        for connection in held_connections or ():
            connection.open_far_end()

    def apply_link_faults(self) -> None:
        """Opens, closes or silences the listening socket according to the state of the link."""
        silent = not self.relay.links.reachable(self.near_name, self.far_name)
        if self.down and self.port is not None:
            self._reopen_queue()
            self.closing = self.port.stopListening()
            self.port = None
        elif not self.down and self.port is None:
            closing, self.closing = self.closing, None
            if closing is not None:
                closing.addCallback(lambda _: self.listen())
            else:
                self.listen()
        if self.port is not None and silent != self.silent:
            (self._fill_queue if silent else self._reopen_queue)()
        self.silent = silent

    def _fill_queue(self) -> None:
        self.port.stopReading()
        self.port.socket.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.fillers.append(filler)

    def _reopen_queue(self) -> None:
        if self.fillers:
            for filler in self.fillers:
                filler.close()
            self.fillers = []
            self.port.socket.listen(BACKLOG)
            self.port.startReading()


class DatagramRoute(DatagramProtocol):
    """The relay's socket for datagrams from one node to another, or to all others."""

    def __init__(self, relay: Relay, a: str, b: str) -> None:
        self.relay, self.near_name, self.far_name = relay, a, b

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        self.relay.datagram(self.near_name, self.far_name, data)


class Relay:
    """All routes of a run, with the faults of their links."""

    def __init__(self, reactor: Any, links: Links, emit: Callable[..., None]) -> None:
        self.reactor, self.links, self.emit = reactor, links, emit
        self.stream_routes: dict[tuple[str, str], StreamRoute] = {}
        self.datagram_routes: dict[tuple[str, str], Any] = {}
        self.peers: dict[str, Address] = {}
        self.ports = Ports()

    def add_stream_route(self, a: str, b: str, target: Address) -> Address:
        """Opens the address at which endpoint `a` reaches endpoint `b`, which listens at `target`."""
        route = self.stream_routes[a, b] = StreamRoute(self, a, b, target)
        route.address = ("127.0.0.1", self.ports.reserve(socket.SOCK_STREAM))
        return route.listen()

    def add_datagram_route(self, a: str, b: str) -> Address:
        """Opens the address to which node `a` sends its datagrams for `b`, or for all others (`*`)."""
        port = self.datagram_routes[a, b] = self.reactor.listenUDP(0, DatagramRoute(self, a, b), "127.0.0.1")
        bound = port.getHost()
        return bound.host, bound.port

    def datagram(self, a: str, b: str, data: bytes) -> None:
        """Forwards a datagram from `a` to `b`, or to all others (`*`), subject to the faults of the links."""
        for to in (n for n in self.peers if n != a) if b == "*" else (b,):
            delays_ms = self.links.datagram_delays(a, to)
            self.emit("datagram", who=a, to=to, size=len(data), ok=len(data) <= 256)
            for wait in delays_ms:
                self.reactor.callLater(wait / 1000.0, self._send, a, to, data)

    def _send(self, a: str, to: str, data: bytes) -> None:
        # Sent from the address by which the receiver knows the sender.
        self.datagram_routes[to, a].write(data, self.peers[to])

    def set_down(self, name: str, down: bool) -> None:
        """Refuses connections to an endpoint that is down, or accepts them again."""
        for (_, b), route in self.stream_routes.items():
            if b == name:
                route.down = down
                route.apply_link_faults()

    def set_link_faults(self, a: str, b: str, values: dict[str, Any]) -> None:
        """Sets the faults of the link from `a` to `b`; `values` are by the names of their fields."""
        trouble = self.links.link_faults(a, b)
        cut = values.pop("cut")
        for key, value in values.items():
            setattr(trouble, key, tuple(value) if isinstance(value, list) else value)
        while trouble.cut != cut:
            self.links.cut(a, b, trouble.cut < cut)
        for pair in ((a, b), (b, a)):
            if pair in self.stream_routes:
                self.stream_routes[pair].apply_link_faults()

    def hold(self, a: str, b: str, on: bool) -> None:
        """Holds back the data of a link, or delivers what was held."""
        if (a, b) in self.stream_routes:
            self.stream_routes[a, b].hold(on)

    def reset(self, a: str, b: str) -> None:
        """Resets all connections between two endpoints."""
        for pair in ((a, b), (b, a)):
            for connection in (
                list(self.stream_routes[pair].connections) if pair in self.stream_routes else ()
            ):
                connection.reset()
