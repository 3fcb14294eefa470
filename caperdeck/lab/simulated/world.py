"""The state that all simulated processes of a run share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from caperdeck.lab.links import Links

from .clock import HeapClock

Address = tuple[str, int]


class World:
    """The clock, the links, and the ports and sockets by address."""

    links: Links
    emit: Callable[..., None]

    def __init__(self) -> None:
        self.clock = HeapClock()
        self.listening_ports: dict[Address, Any] = {}  # Port objects
        self.datagram_sockets: dict[Address, Any] = {}  # Socket objects
        self.process_names: dict[Address, str] = {}  # owner of each address, also while it is down
        self.broadcast_members: dict[Address, list[Address]] = {}  # members by their broadcast address
        self.last_port = 20000

    def next_port(self) -> int:
        """Returns an unused port number."""
        self.last_port += 1
        return self.last_port
