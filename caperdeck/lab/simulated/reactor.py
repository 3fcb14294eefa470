"""The reactor of a simulated process."""

from __future__ import annotations

from typing import Any

from .connector import Connector
from .port import Port
from .process import SimulatedProcess
from .socket import Socket


class SimulatedReactor(SimulatedProcess):
    """Implements the reactor methods that the program uses."""

    def connectTCP(
        self, host: str, port: int, factory: Any, timeout: float = 30, bindAddress: Any = None,
    ) -> Connector:  # fmt: skip
        connector = Connector(self, (host, port), factory, timeout)
        connector.connect()
        return connector

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Port:
        listening = Port(self, (interface, port or self.world.next_port()), factory)
        listening.startListening()
        return listening

    def listenUDP(self, port: int, protocol: Any, interface: str = "", maxPacketSize: int = 8192) -> Socket:
        return Socket(self, (interface, port or self.world.next_port()), protocol)
