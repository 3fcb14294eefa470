"""The processes at both ends of a measured node: one for all hosts, one for all clients.

Commands come as lines of JSON on standard input, `do` and its values; each is answered by one line with its
result. When the input ends, the process exits. Times on the lines that are relayed are CLOCK_MONOTONIC in
nanoseconds, which both processes read alike.
"""

from __future__ import annotations

import os
import sys
from typing import Any

import msgspec
from twisted.internet import stdio
from twisted.protocols.basic import LineOnlyReceiver

from caperdeck.lifecycle.reactor import install_reactor

from .clients_end import ClientsEndpoint
from .end import Endpoint
from .hosts_end import HostsEndpoint

reactor = install_reactor()

ROLES = {"hosts": HostsEndpoint, "clients": ClientsEndpoint}


class Commands(LineOnlyReceiver):
    delimiter = b"\n"
    MAX_LENGTH = 1 << 20

    def __init__(self, end: Endpoint) -> None:
        self.end = end

    def lineReceived(self, line: bytes) -> None:
        command = msgspec.json.decode(line)
        getattr(self.end, f"do_{command.pop('do')}")(self.reply, **command)

    def reply(self, value: Any) -> None:
        self.transport.write(msgspec.json.encode(value) + b"\n")

    def connectionLost(self, reason: Any) -> None:
        os._exit(0)


def main() -> None:
    stdio.StandardIO(Commands(ROLES[sys.argv[1]]()))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
