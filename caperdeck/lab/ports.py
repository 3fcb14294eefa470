"""Reserves loopback ports for processes that are stopped and started during a run."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

CANDIDATE_PORTS = 16000  # just below the kernel's ephemeral range
MAX_TRIES = 1000


class Ports:
    """Ports reserved against other rigs on this machine until `close`."""

    def __init__(self) -> None:
        self.reserved: list[socket.socket] = []

    def reserve(self, kind: int) -> int:
        """Reserves a port that the kernel assigns to nobody while its owner is down.
        Raises OSError if no port is free.
        """
        with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
            kernel_range_start = int(file.read().split()[0])
        for _ in range(MAX_TRIES):
            port = random.randrange(max(kernel_range_start - CANDIDATE_PORTS, 1024), kernel_range_start)
            # The socket stays bound: another rig could otherwise draw the same port before its owner listens.
            # The PONG of the other rig's node would then pass for this one's, which could not listen itself.
            reservation = socket.socket()
            try:
                reservation.bind(("127.0.0.1", port))
                # The owner may listen beside this socket, as it sets the option too; nobody else does.
                reservation.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                if kind == socket.SOCK_DGRAM:
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind(("127.0.0.1", port))
            except OSError:
                reservation.close()
                continue
            self.reserved.append(reservation)
            return port
        raise OSError("no free port below the ephemeral range")

    def close(self) -> None:
        for reservation in self.reserved:
            with suppress(OSError):
                reservation.close()
        self.reserved = []
