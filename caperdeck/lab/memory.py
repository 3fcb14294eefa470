"""Virtual time and in-memory transports: many processes' reactors on one Twisted clock.

A `Place` is what one process sees of the reactor. Its timers and what arrives for it wait while it is asleep
and are lost when it dies; after a sleep timers that ran out come before what lies in the sockets.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.base import DelayedCall
from twisted.internet.error import (
    ConnectionAborted, ConnectionDone, ConnectionLost, ConnectionRefusedError, TimeoutError, UserError,
)  # fmt: skip
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.task import Clock
from twisted.python.failure import Failure

from .links import DATAGRAM, Edge, Links, Pipe

FIN, RST = object(), object()
LEAST = 1e-6  # seconds: the shortest wait that is one
Address = tuple[str, int]


class Soon:
    """A call that is never put off: all that the links need."""

    __slots__ = ("cancelled", "func", "args")

    def __init__(self, func: Callable, args: tuple) -> None:
        self.func, self.args, self.cancelled = func, args, False

    def active(self) -> bool:
        return not self.cancelled

    def cancel(self) -> None:
        self.cancelled = True


class Heap(Clock):
    """Twisted's clock with a heap under it, for tens of thousands of calls; places hold their own back."""

    def __init__(self) -> None:
        super().__init__()
        self.heap: list[tuple[float, int, Any]] = []
        self.count = 0

    def callLater(self, delay: float, f: Callable, *args: Any, **kw: Any) -> DelayedCall:
        call = DelayedCall(self.rightNow + delay, f, args, kw, lambda c: None, self.push, self.seconds)
        self.push(call)
        return call

    def soon(self, delay: float, f: Callable, *args: Any) -> Soon:
        call = Soon(f, args)
        self.count += 1
        heapq.heappush(self.heap, (self.rightNow + delay, self.count, call))
        return call

    def push(self, call: DelayedCall) -> None:
        self.count += 1
        heapq.heappush(self.heap, (call.time, self.count, call))

    def run(self, until: float) -> None:
        """Plays all that is due up to that second."""
        heap, pop = self.heap, heapq.heappop
        while heap and heap[0][0] <= until:
            at, _, call = pop(heap)
            if type(call) is Soon:
                if not call.cancelled:
                    self.rightNow = at
                    call.func(*call.args)
                continue
            if call.cancelled or call.called:
                continue
            if call.delayed_time:
                call.activate_delay()
            if call.time > at:
                self.push(call)
                continue
            self.rightNow = max(at, self.rightNow)
            place = getattr(call, "place", None)
            if place is not None and place.holds(call):
                continue
            call.called = 1
            call.func(*call.args, **call.kw)
        self.rightNow = max(until, self.rightNow)


class World:
    """All places, by name, and who listens where."""

    links: Links
    emit: Callable[..., None]

    def __init__(self) -> None:
        self.clock = Heap()
        self.listening: dict[Address, Port] = {}
        self.datagrams: dict[Address, Socket] = {}
        self.names: dict[Address, str] = {}  # of the place that an address belongs to, also while it is down
        self.everyone: dict[Address, list[Address]] = {}  # by the address for all peers
        self.numbers = 20000

    def place(self, name: str) -> Place:
        return Place(self, name)

    def number(self) -> int:
        self.numbers += 1
        return self.numbers


class Place:
    """One process: a reactor as far as the program uses one."""

    def __init__(self, world: World, name: str) -> None:
        self.world, self.name = world, name
        self.asleep, self.dead = False, False
        self.overdue: list[DelayedCall] = []
        self.inbox: list[tuple[Callable, tuple]] = []
        self.ends: dict[Transport, None] = {}
        self.ports: dict[Any, None] = {}
        self.rate, self.offset = 1.0, 0.0  # of its clock
        self.exited: Callable[[], None] = lambda: None

    # ---- the process

    def holds(self, call: DelayedCall) -> bool:
        if self.asleep and not self.dead:
            self.overdue.append(call)
        return self.asleep or self.dead

    def act(self, do: Callable, *args: Any) -> None:
        """What arrives for the process: done now, once it is awake, or never."""
        if self.dead:
            return
        if self.asleep:
            self.inbox.append((do, args))
        else:
            do(*args)

    def sleep(self) -> None:
        self.asleep = True

    def wake(self) -> None:
        if not self.asleep:
            return
        self.asleep = False
        overdue, self.overdue = self.overdue, []
        for call in overdue:
            if not call.cancelled and not call.called and not self.dead:
                call.called = 1
                call.func(*call.args, **call.kw)
        inbox, self.inbox = self.inbox, []
        for do, args in inbox:
            self.act(do, *args)

    def die(self) -> None:
        """The process is gone: its connections are reset, its ports refuse."""
        if self.dead:
            return
        self.dead = True
        for port in list(self.ports):
            port.stopListening()
        for end in list(self.ends):
            end.reset("killed")

    def stop(self) -> None:
        """The process ends by itself."""
        self.die()
        self.exited()

    # ---- time

    def seconds(self) -> float:
        return self.world.clock.rightNow * self.rate + self.offset

    def callLater(self, delay: float, f: Callable, *args: Any, **kw: Any) -> DelayedCall:
        # Danger: on a clock that drifts a wait can round to nothing, and a loop that comes early by a
        # rounding asks for it again and again in one instant.
        wait = max(delay / self.rate, LEAST) if delay > 0 else 0.0
        call = self.world.clock.callLater(wait, f, *args, **kw)
        call.place = self
        return call

    def callFromThread(self, f: Callable, *args: Any, **kw: Any) -> None:
        self.callLater(0, f, *args, **kw)

    # ---- sockets

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None,
    ) -> Connector:  # fmt: skip
        connector = Connector(self, (host, port), factory, timeout)
        connector.connect()
        return connector

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:
        listening = Port(self, (interface, port or self.world.number()), factory)
        listening.startListening()
        return listening

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Socket:
        return Socket(self, (interface, port or self.world.number()), protocol)


class Port:
    """A listening side."""

    def __init__(self, place: Place, address: Address, factory: Any) -> None:
        self.place, self.address, self.factory = place, address, factory
        self.reads = True
        self.queue: list[Transport] = []

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", *self.address)

    def startListening(self) -> None:
        self.factory.doStart()
        self.place.world.listening[self.address] = self
        self.place.world.names[self.address] = self.place.name
        self.place.ports[self] = None

    def stopListening(self) -> None:
        if self.place.world.listening.get(self.address) is self:
            del self.place.world.listening[self.address]
        self.place.ports.pop(self, None)
        queue, self.queue = self.queue, []
        for end in queue:
            end.reset("far")

    def startReading(self) -> None:
        self.reads = True
        queue, self.queue = self.queue, []
        for end in queue:
            self.place.callLater(0, self.accept, end)

    def stopReading(self) -> None:
        self.reads = False

    def doRead(self) -> None:
        """Takes in one of those who wait."""
        if self.queue:
            self._take(self.queue.pop(0))

    def fileno(self) -> int:
        return -1

    def accept(self, end: Transport) -> None:
        if not self.reads:
            self.queue.append(end)
            return
        self._take(end)

    def _take(self, end: Transport) -> None:
        protocol = self.factory.buildProtocol(end.getPeer())
        if protocol is None:
            end.abortConnection()
            return
        end.join(protocol)


class Connector:
    def __init__(self, place: Place, address: Address, factory: Any, timeout: float) -> None:
        self.place, self.address, self.factory, self.timeout = place, address, factory, timeout
        self.end: Transport | None = None
        self.state = "connecting"
        self.timer: Any = None

    def getDestination(self) -> IPv4Address:
        return IPv4Address("TCP", *self.address)

    def connect(self) -> None:
        self.factory.doStart()
        self.factory.startedConnecting(self)
        world = self.place.world
        self.timer = self.place.callLater(self.timeout, self.fail, TimeoutError())
        # as the real one, no connection comes up or fails within the call itself
        self.place.callLater(0, self._knock, world)

    def _knock(self, world: World) -> None:
        if self.state != "connecting":
            return
        far = world.listening.get(self.address)
        name = far.place.name if far is not None else world.names.get(self.address, "")
        here = self.place.name
        if not world.links.reachable(here, name):
            return  # nothing comes back; the time-out tells
        there = world.links.delay(here, name) / 1000.0
        world.clock.soon(there, self._reach, world, name)

    def _reach(self, world: World, name: str) -> None:
        far, here = world.listening.get(self.address), self.place.name
        back = world.links.delay(name, here) / 1000.0
        if far is None:
            world.clock.soon(back, self.place.act, self.fail, ConnectionRefusedError())
            return
        near, end = Transport.pair(self.place, far.place, self.address)
        far.place.act(far.accept, end)
        world.clock.soon(back, self.place.act, self._up, near)

    def _up(self, near: Transport) -> None:
        if self.state != "connecting" or near.lost:
            near.reset("node")
            if self.state == "connecting":
                self.fail(ConnectionRefusedError())
            return
        self.state = "connected"
        self.timer.cancel()
        self.end = near
        near.connector = self
        protocol = self.factory.buildProtocol(near.getPeer())
        near.join(protocol)

    def fail(self, error: Exception) -> None:
        if self.state != "connecting":
            return
        self.state = "disconnected"
        if self.timer.active():
            self.timer.cancel()
        self.factory.clientConnectionFailed(self, Failure(error))

    def stopConnecting(self) -> None:
        self.fail(UserError())

    def disconnect(self) -> None:
        if self.state == "connecting":
            self.fail(UserError())
        elif self.end is not None:
            self.end.loseConnection()


class Transport:
    """One end of a connection."""

    disconnecting = False
    disconnected = False
    connected = 1
    producer: Any = None

    @classmethod
    def pair(cls, near: Place, far: Place, address: Address) -> tuple[Transport, Transport]:
        a, b = cls(near, far, address), cls(far, near, address)
        a.peer, b.peer = b, a
        kind = {"h": "host", "d": "list"}.get(far.name[0]) if near.name[0] == "n" else None
        a.edge = Edge(kind, near.name, far.name, near.world.emit) if kind else None
        return a, b

    def __init__(self, place: Place, far: Place, address: Address) -> None:
        self.place, self.far, self.address = place, far, address
        self.peer: Transport = self
        self.edge: Edge | None = None
        clock = place.world.clock
        self.pipe = Pipe(place.world.links, clock.seconds, clock.soon, place.name, far.name, self._over)
        self.protocol: Any = None
        self.connector: Any = None
        self.shut = self.closed = self.lost = self.far_shut = self.paused = False
        self.broken = False  # a reset lies there, read or not: nothing can be written any more
        self.early: list[Any] = []  # arrived before anybody reads
        place.ends[self] = None

    # ---- what goes out

    def write(self, data: bytes) -> None:
        if self.shut or self.closed or self.lost or self.broken or not data:
            return
        if self.edge is not None:
            self.edge.wrote(data)
        self.pipe.put(bytes(data))

    def writeSequence(self, parts: Any) -> None:
        self.write(b"".join(parts))

    def getHandle(self) -> Transport:
        return self

    def sendmsg(self, pieces: Any) -> int:
        if self.lost or self.broken:
            raise ConnectionResetError
        data = b"".join(pieces)
        self.write(data)
        return len(data)

    def recv(self, size: int, flags: int) -> bytes:
        """What has arrived has been read at once."""
        raise BlockingIOError

    def doWrite(self) -> None:
        pass

    def loseWriteConnection(self) -> None:
        if not self.shut and not self.lost:
            self.shut = True
            self.pipe.put(FIN)
            if self.far_shut:
                self.loseConnection()

    def loseConnection(self, *unused: Any) -> None:
        if self.closed or self.lost:
            return
        self.closed = self.disconnecting = True
        if not self.shut:
            self.pipe.put(FIN)
        if self.edge is not None:
            self.edge.ended("node")
        self.place.callLater(0, self._lose, ConnectionDone())

    def abortConnection(self) -> None:
        if self.lost:
            return
        self.closed = self.disconnecting = True
        if self.edge is not None:
            self.edge.ended("node")
        self.pipe.queue.clear()
        self.pipe.put(RST)
        self.place.callLater(0, self._lose, ConnectionAborted())

    def reset(self, by: str) -> None:
        """The end breaks without its process: it died, or nobody ever took the connection."""
        if self.edge is not None:
            self.edge.ended(by)
        self.pipe.queue.clear()
        self.pipe.put(RST)
        self._lose(None)

    # ---- what comes in

    def join(self, protocol: Any) -> None:
        self.protocol = protocol
        protocol.makeConnection(self)
        early, self.early = self.early, []
        for item in early:
            self._read(item)

    def _over(self, item: Any) -> None:
        """An item has crossed the link and lies at the far end."""
        peer = self.peer
        if peer.lost:
            if item is not RST and not self.lost and item is not FIN:
                # written to what has gone: a reset comes back
                peer.pipe.queue.clear()
                peer.pipe.links.pipes.setdefault(peer.pipe.ends, {})[peer.pipe] = None
                peer.pipe.put(RST)
            return
        peer.broken = peer.broken or item is RST
        if peer.edge is not None and not isinstance(item, bytes):
            peer.edge.ended("far")
        elif peer.edge is not None:
            peer.edge.arrived(item)
        peer.place.act(peer._read, item)
        if self.lost and not self.pipe.queue:
            self.pipe.close()

    def _read(self, item: Any) -> None:
        if self.lost:
            return
        if item is RST:
            self._lose(ConnectionLost())
        elif self.protocol is None or self.paused:
            self.early.append(item)
        elif item is FIN:
            self._read_end()
        elif not self.closed:
            self.protocol.dataReceived(item)

    def _read_end(self) -> None:
        self.far_shut = True
        if self.closed:
            return
        if IHalfCloseableProtocol.providedBy(self.protocol) and not self.shut:
            self.protocol.readConnectionLost()
        else:
            if not self.shut:
                self.pipe.put(FIN)
            self._lose(ConnectionDone())

    def _lose(self, error: Exception | None) -> None:
        if self.lost:
            return
        self.lost, self.connected, self.disconnected = True, 0, True
        self.place.ends.pop(self, None)
        if not self.pipe.queue:
            self.pipe.close()
        if self.protocol is not None and error is not None:
            self.protocol.connectionLost(Failure(error))

    # ---- what else the program asks of a transport

    def setTcpNoDelay(self, on: bool) -> None:
        pass

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        self.producer = producer

    def unregisterProducer(self) -> None:
        self.producer = None

    def pauseProducing(self) -> None:
        self.paused = True

    def resumeProducing(self) -> None:
        if self.paused:
            self.paused = False
            early, self.early = self.early, []
            for item in early:
                self.place.callLater(0, self._read, item)

    def stopProducing(self) -> None:
        self.loseConnection()

    def getPeer(self) -> IPv4Address:
        return IPv4Address("TCP", *self.address)

    def getHost(self) -> IPv4Address:
        return self.getPeer()


class Socket:
    """A datagram socket."""

    def __init__(self, place: Place, address: Address, protocol: Any) -> None:
        self.place, self.address, self.protocol = place, address, protocol
        place.world.datagrams[address] = self
        place.ports[self] = None
        protocol.makeConnection(self)

    def getHost(self) -> IPv4Address:
        return IPv4Address("UDP", *self.address)

    def stopListening(self) -> None:
        self.place.world.datagrams.pop(self.address, None)
        self.place.ports.pop(self, None)

    def write(self, data: bytes, address: Address) -> None:
        world = self.place.world
        for to in world.everyone.get(address, [address]):
            if to == self.address:
                continue
            far = world.datagrams.get(to)
            name = far.place.name if far is not None else ""
            world.emit("datagram", who=self.place.name, to=name, size=len(data), ok=len(data) <= DATAGRAM)
            for late in world.links.datagram(self.place.name, name) if far is not None else ():
                world.clock.soon(late / 1000.0, self._arrive, to, bytes(data))

    def _arrive(self, to: Address, data: bytes) -> None:
        far = self.place.world.datagrams.get(to)
        if far is not None:
            far.place.act(far.protocol.datagramReceived, data, self.address)
