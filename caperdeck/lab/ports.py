"""Ports for parts that come and go on loopback."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

CANDIDATE_PORTS = 16000  # ports under the kernel's own range that are chosen from
MAX_TRIES = 1000


class Ports:
    """Each port taken is kept from other rigs on this machine while this object lives."""

    def __init__(self) -> None:
        self.reserved: list[socket.socket] = []

    def reserve(self, kind: int) -> int:
        """A port under those that the kernel assigns, so that nobody is given it while its owner is down.

        Raises OSError if none is found.
        """
        with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
            kernel_range_start = int(file.read().split()[0])
        for _ in range(MAX_TRIES):
            port = random.randrange(max(kernel_range_start - CANDIDATE_PORTS, 1024), kernel_range_start)
            # Danger: a port that is only looked at is taken by another rig as well before its owner listens;
            # a node is then taken for ready by the PONG of the other rig's, and cannot listen itself.
            reservation = socket.socket()
            try:
                reservation.bind(("127.0.0.1", port))
                # from now on its owner may listen there, as it sets this too; nobody else does
                reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if kind == socket.SOCK_DGRAM:
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
            self.reserved.append(reservation)
            return port
        raise OSError("no free port")

    def close(self) -> None:
        for reservation in self.reserved:
            with suppress(OSError):
                reservation.close()
        self.reserved = []
