"""One end of an in-memory connection, with the interface of a Twisted transport."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.python.failure import Failure

from caperdeck.lab.links import ConnectionRecorder, Pipe

from .process import SimulatedProcess
from .world import Address

FIN, RST = object(), object()


class Transport:
    """One end of a connection; `peer` is the other end."""

    disconnecting = False
    disconnected = False
    connected = 1
    producer: Any = None

    @classmethod
    def pair(
        cls, near: SimulatedProcess, far: SimulatedProcess, address: Address
    ) -> tuple[Transport, Transport]:
        """Creates both ends; ends of nodes towards hosts and discovery record their events."""
        a, b = cls(near, far, address), cls(far, near, address)
        a.peer, b.peer = b, a
        kind = {"h": "host", "d": "list"}.get(far.name[0]) if near.name[0] == "n" else None
        a.recorder = ConnectionRecorder(kind, near.name, far.name, near.world.emit) if kind else None
        return a, b

    def __init__(self, process: SimulatedProcess, far: SimulatedProcess, address: Address) -> None:
        self.process, self.peer_process, self.address = process, far, address
        self.peer: Transport = self
        self.recorder: ConnectionRecorder | None = None
        clock = process.world.clock
        self.pipe = Pipe(
            process.world.links, clock.seconds, clock.schedule, process.name, far.name, self._arrive
        )
        self.protocol: Any = None
        self.connector: Any = None
        self.write_closed = self.closed = self.lost = self.peer_write_closed = self.paused = False
        self.reset_received = False  # even before the process has read the reset, writes fail
        self.unread: list[Any] = []  # items that arrived before a protocol was attached, or while paused
        process.connections[self] = None

    # ---- output

    def write(self, data: bytes) -> None:
        if self.write_closed or self.closed or self.lost or self.reset_received or not data:
            return
        if self.recorder is not None:
            self.recorder.data_sent(data)
        self.pipe.put(bytes(data))

    def writeSequence(self, parts: Any) -> None:
        self.write(b"".join(parts))

    def getHandle(self) -> Transport:
        return self

    def sendmsg(self, pieces: Any) -> int:
        if self.lost or self.reset_received:
            raise ConnectionResetError
        data = b"".join(pieces)
        self.write(data)
        return len(data)

    def recv(self, size: int, flags: int) -> bytes:
        """Always blocks, because data is given to the protocol as soon as it arrives."""
        raise BlockingIOError

    def doWrite(self) -> None:
        pass

    def loseWriteConnection(self) -> None:
        if not self.write_closed and not self.lost:
            self.write_closed = True
            self.pipe.put(FIN)
            if self.peer_write_closed:
                self.loseConnection()

    def loseConnection(self, *unused: Any) -> None:
        if self.closed or self.lost:
            return
        self.closed = self.disconnecting = True
        if not self.write_closed:
            self.pipe.put(FIN)
        if self.recorder is not None:
            self.recorder.connection_ended("node")
        self.process.callLater(0, self._lose, ConnectionDone())

    def abortConnection(self) -> None:
        if self.lost:
            return
        self.closed = self.disconnecting = True
        if self.recorder is not None:
            self.recorder.connection_ended("node")
        self.pipe.queue.clear()
        self.pipe.put(RST)
        self.process.callLater(0, self._lose, ConnectionAborted())

    def reset(self, by: str) -> None:
        """Breaks this end without its protocol: the process died or the connection was never accepted."""
        if self.recorder is not None:
            self.recorder.connection_ended(by)
        self.pipe.queue.clear()
        self.pipe.put(RST)
        self._lose(None)

    # ---- input

    def attach_protocol(self, protocol: Any) -> None:
        """Connects the protocol and gives it what has arrived before."""
        self.protocol = protocol
        protocol.makeConnection(self)
        unread, self.unread = self.unread, []
        for item in unread:
            self._read(item)

    def _arrive(self, item: Any) -> None:
        """Takes an item that has crossed the link to the other end."""
        peer = self.peer
        if peer.lost:
            if item is not RST and not self.lost and item is not FIN:
                # Data for a closed end is answered with a reset.
                peer.pipe.queue.clear()
                peer.pipe.links.pipes.setdefault(peer.pipe.ends, {})[peer.pipe] = None
                peer.pipe.put(RST)
            return
        peer.reset_received = peer.reset_received or item is RST
        if peer.recorder is not None and not isinstance(item, bytes):
            peer.recorder.connection_ended("far")
        elif peer.recorder is not None:
            peer.recorder.data_received(item)
        peer.process.call_when_running(peer._read, item)
        if self.lost and not self.pipe.queue:
            self.pipe.close()

    def _read(self, item: Any) -> None:
        if self.lost:
            return
        if item is RST:
            self._lose(ConnectionLost())
        elif self.protocol is None or self.paused:
            self.unread.append(item)
        elif item is FIN:
            self._read_end()
        elif not self.closed:
            self.protocol.dataReceived(item)

    def _read_end(self) -> None:
        self.peer_write_closed = True
        if self.closed:
            return
        if IHalfCloseableProtocol.providedBy(self.protocol) and not self.write_closed:
            self.protocol.readConnectionLost()
        else:
            if not self.write_closed:
                self.pipe.put(FIN)
            self._lose(ConnectionDone())

    def _lose(self, error: Exception | None) -> None:
        if self.lost:
            return
        self.lost, self.connected, self.disconnected = True, 0, True
        self.process.connections.pop(self, None)
        if not self.pipe.queue:
            self.pipe.close()
        if self.protocol is not None and error is not None:
            self.protocol.connectionLost(Failure(error))

    # ---- other methods of a Twisted transport

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
            unread, self.unread = self.unread, []
            for item in unread:
                self.process.callLater(0, self._read, item)

    def stopProducing(self) -> None:
        self.loseConnection()

    def getPeer(self) -> IPv4Address:
        return IPv4Address("TCP", *self.address)

    def getHost(self) -> IPv4Address:
        return self.getPeer()
