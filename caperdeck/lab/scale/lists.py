"""A process that serves discovery to all stub nodes: an empty roster, and an empty line every two seconds."""

from __future__ import annotations

import os
import sys

from twisted.internet import stdio
from twisted.internet.protocol import Protocol

from caperdeck.lab.discovery import Agent, Roster
from caperdeck.lab.parent_death import end_with_parent
from caperdeck.lifecycle.reactor import install_reactor
from caperdeck.state.addresses import parse_address

reactor = install_reactor()

READY_LINE = b"open\n"


class ExitAtEndOfInput(Protocol):
    """Ends the process when its standard input is closed."""

    def connectionLost(self, reason: object) -> None:
        os._exit(0)


def main() -> int:
    end_with_parent()
    address = parse_address(sys.argv[1])
    Agent(reactor, Roster(), {}).listen(address.host, address.port)
    stdio.StandardIO(ExitAtEndOfInput()).write(READY_LINE)
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
