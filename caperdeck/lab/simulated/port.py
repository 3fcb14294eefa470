"""The listening side of connections in memory."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address

from .process import Process
from .transport import Transport
from .world import Address


class Port:
    """A listening side."""

    def __init__(self, place: Process, address: Address, factory: Any) -> None:
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

    def accept_pending(self) -> bool:
        """Takes in those who wait; whether nobody waits any more."""
        queue, self.queue = self.queue, []
        for end in queue:
            self._take(end)
        return True

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
