"""An in-memory datagram socket."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address

from caperdeck.lab.links import MAX_DATAGRAM_BYTES

from .process import SimulatedProcess
from .world import Address


class Socket:
    """A datagram socket, with the interface of a Twisted UDP port."""

    def __init__(self, process: SimulatedProcess, address: Address, protocol: Any) -> None:
        self.process, self.address, self.protocol = process, address, protocol
        process.world.datagram_sockets[address] = self
        process.ports[self] = None
        protocol.makeConnection(self)

    def getHost(self) -> IPv4Address:
        return IPv4Address("UDP", *self.address)

    def stopListening(self) -> None:
        self.process.world.datagram_sockets.pop(self.address, None)
        self.process.ports.pop(self, None)

    def write(self, data: bytes, address: Address) -> None:
        """Sends a datagram to an address, or to all members of a broadcast address but itself."""
        world = self.process.world
        for to in world.broadcast_members.get(address, [address]):
            if to == self.address:
                continue
            far = world.datagram_sockets.get(to)
            name = far.process.name if far is not None else ""
            world.emit(
                "datagram", who=self.process.name, to=name, size=len(data), ok=len(data) <= MAX_DATAGRAM_BYTES
            )
            for late in world.links.datagram_delays(self.process.name, name) if far is not None else ():
                world.clock.schedule(late / 1000.0, self._arrive, to, bytes(data))

    def _arrive(self, to: Address, data: bytes) -> None:
        far = self.process.world.datagram_sockets.get(to)
        if far is not None:
            far.process.call_when_running(far.protocol.datagramReceived, data, self.address)
