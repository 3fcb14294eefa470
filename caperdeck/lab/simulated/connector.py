"""The connecting side of an in-memory connection, which is established, refused, or times out."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionRefusedError, TimeoutError, UserError
from twisted.python.failure import Failure

from .process import SimulatedProcess
from .transport import Transport
from .world import Address, World


class Connector:
    """Connects once to an address, with the interface of a Twisted connector."""

    def __init__(self, process: SimulatedProcess, address: Address, factory: Any, timeout: float) -> None:
        self.process, self.address, self.factory, self.timeout = process, address, factory, timeout
        self.end: Transport | None = None
        self.state = "connecting"
        self.timer: Any = None

    def getDestination(self) -> IPv4Address:
        return IPv4Address("TCP", *self.address)

    def connect(self) -> None:
        self.factory.doStart()
        self.factory.startedConnecting(self)
        world = self.process.world
        self.timer = self.process.callLater(self.timeout, self.fail, TimeoutError())
        # As with the real reactor, a connection is neither established nor refused within this call.
        self.process.callLater(0, self._send_connect_request, world)

    def _send_connect_request(self, world: World) -> None:
        if self.state != "connecting":
            return
        far = world.listening_ports.get(self.address)
        name = far.process.name if far is not None else world.process_names.get(self.address, "")
        here = self.process.name
        if not world.links.reachable(here, name):
            return  # no answer can come back, so the attempt ends by its timeout
        there = world.links.delay(here, name) / 1000.0
        world.clock.schedule(there, self._deliver_connect_request, world, name)

    def _deliver_connect_request(self, world: World, name: str) -> None:
        far, here = world.listening_ports.get(self.address), self.process.name
        back = world.links.delay(name, here) / 1000.0
        if far is None:
            world.clock.schedule(back, self.process.call_when_running, self.fail, ConnectionRefusedError())
            return
        near, end = Transport.pair(self.process, far.process, self.address)
        far.process.call_when_running(far.accept, end)
        world.clock.schedule(back, self.process.call_when_running, self._connection_established, near)

    def _connection_established(self, near: Transport) -> None:
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
        near.attach_protocol(protocol)

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
