"""Entry point of the processes on both sides of a measured node: one for all hosts, one for all clients.

Commands arrive as lines of JSON on standard input, with the name in `do` and its arguments beside it. Each
is answered by one line with its result. The process exits when its input ends. Times on relayed lines are
CLOCK_MONOTONIC in nanoseconds, which reads the same in both processes.
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


class CommandReceiver(LineOnlyReceiver):
    """Passes each command to the endpoint's method `do_NAME` and writes its reply."""

    delimiter = b"\n"
    MAX_LENGTH = 1 << 20

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint

    def lineReceived(self, line: bytes) -> None:
        command = msgspec.json.decode(line)
        getattr(self.endpoint, f"do_{command.pop('do')}")(self.reply, **command)

    def reply(self, value: Any) -> None:
        self.transport.write(msgspec.json.encode(value) + b"\n")

    def connectionLost(self, reason: Any) -> None:
        os._exit(0)


def main() -> None:
    stdio.StandardIO(CommandReceiver(ROLES[sys.argv[1]]()))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
