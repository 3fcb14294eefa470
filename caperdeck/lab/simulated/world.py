"""What all simulated processes of a run have in common."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from caperdeck.lab.links import Links

from .clock import Heap

Address = tuple[str, int]


class World:
    """The clock, the links, and who listens at which address."""

    links: Links
    emit: Callable[..., None]

    def __init__(self) -> None:
        self.clock = Heap()
        self.listening: dict[Address, Any] = {}  # Port by address
        self.datagrams: dict[Address, Any] = {}  # Socket by address
        self.names: dict[Address, str] = {}  # of the place that an address belongs to, also while it is down
        self.everyone: dict[Address, list[Address]] = {}  # by the address for all peers
        self.numbers = 20000

    def number(self) -> int:
        self.numbers += 1
        return self.numbers
