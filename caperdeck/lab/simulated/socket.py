"""A datagram socket in memory."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address

from caperdeck.lab.links import DATAGRAM

from .process import Process
from .world import Address


class Socket:
    """A datagram socket."""

    def __init__(self, place: Process, address: Address, protocol: Any) -> None:
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
            far.place.call_when_running(far.protocol.datagramReceived, data, self.address)
