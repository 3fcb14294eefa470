"""One end of a connection in memory, as Twisted has it."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure

from caperdeck.lab.links import Edge, Pipe

from .process import Process
from .world import Address

FIN, RST = object(), object()


class Transport:
    """One end of a connection."""

    disconnecting = False
    disconnected = False
    connected = 1
    producer: Any = None

    @classmethod
    def pair(cls, near: Process, far: Process, address: Address) -> tuple[Transport, Transport]:
        a, b = cls(near, far, address), cls(far, near, address)
        a.peer, b.peer = b, a
        kind = {"h": "host", "d": "list"}.get(far.name[0]) if near.name[0] == "n" else None
        a.edge = Edge(kind, near.name, far.name, near.world.emit) if kind else None
        return a, b

    def __init__(self, place: Process, far: Process, address: Address) -> None:
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
        peer.place.call_when_running(peer._read, item)
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
