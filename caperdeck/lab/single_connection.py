"""A client factory for a single outgoing connection with an existing protocol instance."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IProtocol
from twisted.internet.protocol import ClientFactory


class SingleConnectionFactory(ClientFactory):
    """Returns the given protocol; calls `connect_failed` if the connection cannot be made."""

    noisy = False

    def __init__(self, protocol: IProtocol, connect_failed: Callable[[], None]) -> None:
        self.connection, self.connect_failed = protocol, connect_failed

    def buildProtocol(self, addr: Any) -> IProtocol:
        return self.connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self.connect_failed()
