"""The listening side of in-memory connections."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address

from .process import SimulatedProcess
from .transport import Transport
from .world import Address


class Port:
    """A listening port, with the interface of a Twisted port."""

    def __init__(self, process: SimulatedProcess, address: Address, factory: Any) -> None:
        self.process, self.address, self.factory = process, address, factory
        self.reading = True
        self.queue: list[Transport] = []

    def getHost(self) -> IPv4Address:
        return IPv4Address("TCP", *self.address)

    def startListening(self) -> None:
        self.factory.doStart()
        self.process.world.listening_ports[self.address] = self
        self.process.world.process_names[self.address] = self.process.name
        self.process.ports[self] = None

    def stopListening(self) -> None:
        if self.process.world.listening_ports.get(self.address) is self:
            del self.process.world.listening_ports[self.address]
        self.process.ports.pop(self, None)
        queue, self.queue = self.queue, []
        for end in queue:
            end.reset("far")

    def startReading(self) -> None:
        self.reading = True
        queue, self.queue = self.queue, []
        for end in queue:
            self.process.callLater(0, self.accept, end)

    def stopReading(self) -> None:
        self.reading = False

    def accept_pending(self) -> bool:
        """Accepts all pending connections; returns whether none is left."""
        queue, self.queue = self.queue, []
        for end in queue:
            self._take(end)
        return True

    def fileno(self) -> int:
        return -1

    def accept(self, end: Transport) -> None:
        """Takes a new connection, or queues it while reading is stopped."""
        if not self.reading:
            self.queue.append(end)
            return
        self._take(end)

    def _take(self, end: Transport) -> None:
        protocol = self.factory.buildProtocol(end.getPeer())
        if protocol is None:
            end.abortConnection()
            return
        end.attach_protocol(protocol)
