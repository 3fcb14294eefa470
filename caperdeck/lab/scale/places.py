"""Loopback addresses of a run's hollow nodes: one address a process, one port a node.

The whole of 127.0.0.0/8 is loopback. A run takes 256 addresses of it, so that thousands of nodes need no port
to be kept from other runs; one bound socket keeps the addresses.
"""

from __future__ import annotations

import random
import socket

FIRST_PORT = 20_000
KEEPER_PORT = 19_999
LISTS = 1  # the last number of the address of the hollow nodes' discovery
FIRST_RACK = 2
TRIES = 100


class Places:
    def __init__(self) -> None:
        for _ in range(TRIES):
            self.net = f"127.{random.randrange(64, 255)}.{random.randrange(256)}"
            self.keeper = socket.socket()
            try:
                self.keeper.bind((f"{self.net}.{LISTS}", KEEPER_PORT))
                return
            except OSError:
                self.keeper.close()
        raise OSError("no free loopback addresses")

    def lists(self) -> str:
        return f"{self.net}.{LISTS}:{FIRST_PORT}"

    def of_racks(self, racks: list[list[int]]) -> dict[int, str]:
        """By a node's number its address, for datagrams and for calls alike."""
        return {
            number: f"{self.net}.{FIRST_RACK + rack}:{FIRST_PORT + i}"
            for rack, numbers in enumerate(racks) for i, number in enumerate(numbers)
        }  # fmt: skip

    def close(self) -> None:
        self.keeper.close()
