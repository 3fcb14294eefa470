"""The side that asks for a connection in memory; it comes up, is refused, or times out."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionRefusedError, TimeoutError, UserError
from twisted.python.failure import Failure

from .process import Process
from .transport import Transport
from .world import Address, World


class Connector:
    def __init__(self, place: Process, address: Address, factory: Any, timeout: float) -> None:
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
            world.clock.soon(back, self.place.call_when_running, self.fail, ConnectionRefusedError())
            return
        near, end = Transport.pair(self.place, far.place, self.address)
        far.place.call_when_running(far.accept, end)
        world.clock.soon(back, self.place.call_when_running, self._up, near)

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
