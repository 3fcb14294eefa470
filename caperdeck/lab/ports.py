"""Ports for parts that come and go on loopback."""

from __future__ import annotations

import random
import socket
from contextlib import suppress

BELOW = 16000  # ports under the kernel's own range that are drawn from
TRIES = 1000


def free_port(kind: int, taken: set[int]) -> int:
    """A port under those that the kernel deals out, so that nobody is given it while its owner is away.

    Raises OSError if none is found.
    """
    with open("/proc/sys/net/ipv4/ip_local_port_range") as file:
        low = int(file.read().split()[0])
    for _ in range(TRIES):
        port = random.randrange(max(low - BELOW, 1024), low)
        if port in taken:
            continue
        with socket.socket(socket.AF_INET, kind) as sock, suppress(OSError):
            sock.bind(("127.0.0.1", port))
            taken.add(port)
            return port
    raise OSError("no free port")
