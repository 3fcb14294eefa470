"""Loopback addresses of the stub nodes of a run: one IP address for each process, one port for each node.

The whole of 127.0.0.0/8 is loopback. A run takes a /24 network of it, so that the ports of its thousands of
nodes cannot collide with those of other runs. One bound socket reserves the network.
"""

from __future__ import annotations

import random
import socket

FIRST_PORT = 20_000
RESERVED_PORT = 19_999
DISCOVERY_SUFFIX = 1  # last octet of the address that serves discovery to the stub nodes
FIRST_RACK_SUFFIX = 2  # last octet of the first stub process
MAX_BIND_ATTEMPTS = 100


class LoopbackAddresses:
    """Reserves a random /24 loopback network until it is closed; raises OSError if none is free."""

    def __init__(self) -> None:
        for _ in range(MAX_BIND_ATTEMPTS):
            self.network = f"127.{random.randrange(64, 255)}.{random.randrange(256)}"
            self.reserved_socket = socket.socket()
            try:
                self.reserved_socket.bind((f"{self.network}.{DISCOVERY_SUFFIX}", RESERVED_PORT))
                return
            except OSError:
                self.reserved_socket.close()
        raise OSError("no free loopback addresses")

    def discovery_address(self) -> str:
        """The address of the process that serves discovery to the stub nodes."""
        return f"{self.network}.{DISCOVERY_SUFFIX}:{FIRST_PORT}"

    def node_addresses(self, racks: list[list[int]]) -> dict[int, str]:
        """The address of each node by its number, for datagrams and for admin calls alike."""
        return {
            number: f"{self.network}.{FIRST_RACK_SUFFIX + rack}:{FIRST_PORT + i}"
            for rack, numbers in enumerate(racks) for i, number in enumerate(numbers)
        }  # fmt: skip

    def close(self) -> None:
        """Releases the network."""
        self.reserved_socket.close()
