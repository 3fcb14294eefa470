"""The relay that every link of a run with real processes goes through: streams and datagrams.

One listening side a link. A link that nothing can cross is not refused but silent: its queue of connections
is filled, so that the kernel answers no more knocks; one whose far end is dead is closed, and refuses them.
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
FILL = 8  # knocks that fill a queue of none
Address = tuple[str, int]


@implementer(IHalfCloseableProtocol)
class Side(Protocol):
    """One of the two connections that a relayed one is made of."""

    def __init__(self, joint: Joint, near: bool) -> None:
        self.joint, self.near = joint, near
        self.over = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.joint.came_up(self)

    def dataReceived(self, data: bytes) -> None:
        self.joint.read(self, data)

    def readConnectionLost(self) -> None:
        self.joint.read(self, FIN)

    def writeConnectionLost(self) -> None:
        pass

    def connectionLost(self, reason: Any) -> None:
        self.over = True
        self.joint.read(self, FIN if reason.check(ConnectionDone) else RST)

    def put(self, item: Any) -> None:
        if self.over or self.transport is None:
            return
        if item is FIN:
            self.transport.loseWriteConnection()
        elif item is RST:
            self.transport.abortConnection()
        else:
            self.transport.write(item)


class Joint(ClientFactory):
    """One relayed connection."""

    noisy = False

    def __init__(self, way: Way) -> None:
        self.way = way
        relay = way.relay
        a, b, reactor = way.a, way.b, relay.reactor
        self.near, self.far = Side(self, True), Side(self, False)
        kind = {"h": "host", "d": "list"}.get(b[0]) if a[0] == "n" else None
        self.recorder = ConnectionRecorder(kind, a, b, relay.emit) if kind else None
        self.forth = Pipe(relay.links, reactor.seconds, reactor.callLater, a, b, self.deliver_far)
        self.back = Pipe(relay.links, reactor.seconds, reactor.callLater, b, a, self.deliver_near)
        self.early: list[Any] = []
        self.shut: set[bool] = set()  # the sides that have ended, by nearness

    def came_up(self, side: Side) -> None:
        if side is self.near:
            self.way.joints[self] = None
            if self.way.held is None:
                self.knock()
            else:
                self.way.held.append(self)
        else:
            self.let_through()

    def let_through(self) -> None:
        early, self.early = self.early, []
        for item in early:
            self.far.put(item)

    def knock(self) -> None:
        """Goes on to the far end, or lets through what was held back on a connection that stands."""
        if self.far.transport is not None:
            self.let_through()
            return
        self.way.relay.reactor.connectTCP(*self.way.target, self, 2.0)

    def buildProtocol(self, addr: Any) -> Side:
        return self.far

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.far.over = True
        self.near.put(RST)

    def read(self, side: Side, item: Any) -> None:
        if side.near in self.shut:
            return
        if item is FIN or item is RST:
            self.shut.add(side.near)
            if side.near and self.recorder is not None:
                self.recorder.connection_ended("node")
            if len(self.shut) == 2:
                self.way.joints.pop(self, None)
        elif side.near and self.recorder is not None:
            self.recorder.data_sent(item)
        (self.forth if side.near else self.back).put(item)

    def deliver_far(self, item: Any) -> None:
        if (self.far.transport is None or self.way.held is not None) and not self.far.over:
            self.early.append(item)
            if self.far.transport is not None and self not in self.way.held:
                self.way.held.append(self)
            if self.way.held is not None and isinstance(item, bytes):
                self._say_withheld(item)
        else:
            self.far.put(item)

    def _say_withheld(self, data: bytes) -> None:
        """An act on owned work, which is one piece, lies here."""
        words = data.split(b" ", 3)
        if words[0] == b"act" and len(words) == 4:
            work, token = words[1].decode(), int(words[2])
            self.way.relay.emit("withheld", who=self.way.a, to=self.way.b, work=work, token=token)

    def deliver_near(self, item: Any) -> None:
        if self.recorder is not None:
            if isinstance(item, bytes):
                self.recorder.data_received(item)
            else:
                self.recorder.connection_ended("far")
        self.near.put(item)

    def reset(self) -> None:
        if self.recorder is not None:
            self.recorder.connection_ended("far")
        for side in (self.near, self.far):
            if side.transport is not None and not side.over:
                side.transport.abortConnection()


class Way(ServerFactory):
    """The listening side of one link."""

    noisy = False

    def __init__(self, relay: Relay, a: str, b: str, target: Address) -> None:
        self.relay, self.a, self.b, self.target = relay, a, b, target
        self.joints: dict[Joint, None] = {}
        self.held: list[Joint] | None = None  # while connections get no further than here, those that came
        self.port: Any = None
        self.fillers: list[socket.socket] = []
        self.address: Address = ("127.0.0.1", 0)
        self.down = False
        self.silent = False
        self.closing: Any = None

    def listen(self) -> Address:
        self.port = self.relay.reactor.listenTCP(self.address[1], self, BACKLOG, self.address[0])
        place = self.port.getHost()
        self.address = (place.host, place.port)
        return self.address

    def buildProtocol(self, addr: Any) -> Side:
        return Joint(self).near

    def hold(self, on: bool) -> None:
        held, self.held = self.held, [] if on else None
        for joint in held or ():
            joint.knock()

    def mind(self) -> None:
        """What the link's troubles mean for those that knock."""
        silent = not self.relay.links.reachable(self.a, self.b)
        if self.down and self.port is not None:
            self._loosen()
            self.closing = self.port.stopListening()
            self.port = None
        elif not self.down and self.port is None:
            closing, self.closing = self.closing, None
            if closing is not None:
                closing.addCallback(lambda _: self.listen())
            else:
                self.listen()
        if self.port is not None and silent != self.silent:
            (self._fill if silent else self._loosen)()
        self.silent = silent

    def _fill(self) -> None:
        self.port.stopReading()
        self.port.socket.listen(0)
        for _ in range(FILL):
            sock = socket.socket()
            sock.setblocking(False)
            sock.connect_ex(self.address)
            self.fillers.append(sock)

    def _loosen(self) -> None:
        if self.fillers:
            for sock in self.fillers:
                sock.close()
            self.fillers = []
            self.port.socket.listen(BACKLOG)
            self.port.startReading()


class Wire(DatagramProtocol):
    """The relay's socket for datagrams from one node to another, or to all."""

    def __init__(self, relay: Relay, a: str, b: str) -> None:
        self.relay, self.a, self.b = relay, a, b

    def datagramReceived(self, data: bytes, addr: Any) -> None:
        self.relay.datagram(self.a, self.b, data)


class Relay:
    def __init__(self, reactor: Any, links: Links, emit: Callable[..., None]) -> None:
        self.reactor, self.links, self.emit = reactor, links, emit
        self.ways: dict[tuple[str, str], Way] = {}
        self.wires: dict[tuple[str, str], Any] = {}
        self.peers: dict[str, Address] = {}
        self.taken = Ports()

    def way(self, a: str, b: str, target: Address) -> Address:
        way = self.ways[a, b] = Way(self, a, b, target)
        way.address = ("127.0.0.1", self.taken.take(socket.SOCK_STREAM))
        return way.listen()

    def wire(self, a: str, b: str) -> Address:
        """Where node a sends its datagrams for b, or for `*`, all."""
        port = self.wires[a, b] = self.reactor.listenUDP(0, Wire(self, a, b), "127.0.0.1")
        place = port.getHost()
        return place.host, place.port

    def datagram(self, a: str, b: str, data: bytes) -> None:
        for to in (n for n in self.peers if n != a) if b == "*" else (b,):
            late = self.links.datagram_delays(a, to)
            self.emit("datagram", who=a, to=to, size=len(data), ok=len(data) <= 256)
            for wait in late:
                self.reactor.callLater(wait / 1000.0, self._send, a, to, data)

    def _send(self, a: str, to: str, data: bytes) -> None:
        # it comes from the address under which the receiver knows the sender
        self.wires[to, a].write(data, self.peers[to])

    def down(self, name: str, down: bool) -> None:
        """A process died or is there again: knocks at it are refused, or come through."""
        for (_, b), way in self.ways.items():
            if b == name:
                way.down = down
                way.mind()

    def trouble(self, a: str, b: str, values: dict[str, Any]) -> None:
        trouble = self.links.link_faults(a, b)
        cut = values.pop("cut")
        for key, value in values.items():
            setattr(trouble, key, tuple(value) if isinstance(value, list) else value)
        while trouble.cut != cut:
            self.links.cut(a, b, trouble.cut < cut)
        for pair in ((a, b), (b, a)):
            if pair in self.ways:
                self.ways[pair].mind()

    def hold(self, a: str, b: str, on: bool) -> None:
        if (a, b) in self.ways:
            self.ways[a, b].hold(on)

    def reset(self, a: str, b: str) -> None:
        for pair in ((a, b), (b, a)):
            for joint in list(self.ways[pair].joints) if pair in self.ways else ():
                joint.reset()
