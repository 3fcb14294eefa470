"""Acts at nodes: one connection to each node's second address, kept from act to act, and the answers.

An act is a line, and so is its answer; answers come in the order of the acts. The token of the owner's term
is in each line. A node of an older program ends the connection after an answer: the next act opens another.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

import orjson
from twisted.protocols.basic import LineOnlyReceiver

from caperdeck.state.addresses import Address
from caperdeck.state.timers import cancel
from caperdeck.wire.lines import SingleConnectionFactory

ANSWER = 1.0  # seconds from an act until its answer, a connection that has to come up first included
LONGEST = 8192  # bytes of an answer

Then = Callable[[Any], None]
"""Takes the answer's object, one with `no` where the act was refused, None where nobody knows."""


class Waiting(NamedTuple):
    """An act without its answer yet."""

    then: Then
    timer: Any


class NodeLink(LineOnlyReceiver):
    """One connection to one node, from the first act until either side ends it; it is not opened again."""

    delimiter = b"\n"
    MAX_LENGTH = LONGEST

    def __init__(self, reactor: Any, address: Address) -> None:
        self.reactor = reactor
        self.waiting: deque[Waiting] = deque()  # the oldest first
        self.unsent: list[bytes] = []  # acts that wait for the connection to come up
        self.over = False
        self.connector = reactor.connectTCP(*address, SingleConnectionFactory(self), ANSWER)

    def act(self, line: bytes, then: Then) -> None:
        self.waiting.append(Waiting(then, self.reactor.callLater(ANSWER, self._late)))
        if self.connected:
            self.transport.write(line)
        else:
            self.unsent.append(line)

    def connectionMade(self) -> None:
        if self.over:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.writeSequence(self.unsent)
        self.unsent.clear()

    def lineReceived(self, line: bytes) -> None:
        if not self.waiting:
            self.close()  # an answer to nothing that was asked
            return
        waiting = self.waiting.popleft()
        cancel(waiting.timer)
        waiting.then(read(line.strip()))

    def lineLengthExceeded(self, line: bytes) -> None:
        self.close()

    def failed(self) -> None:
        self._end()

    def connectionLost(self, reason: Any) -> None:
        self._end()

    def _late(self) -> None:
        # Danger: an answer after its time would be taken for the one to the next act.
        self.close()

    def close(self) -> None:
        """Ends it once what was written has gone out; acts without an answer get none."""
        self._end()
        self.connector.disconnect()

    def _end(self) -> None:
        self.over = True
        self.unsent.clear()
        while self.waiting:
            waiting = self.waiting.popleft()
            cancel(waiting.timer)
            waiting.then(None)


class NodeLinks:
    """The connections of one instance to its nodes, by name of the node."""

    def __init__(self, reactor: Any, addresses: Mapping[str, Address]) -> None:
        self.reactor, self.addresses = reactor, addresses
        self.links: dict[str, NodeLink] = {}

    def act(self, node: str, line: bytes, then: Then) -> None:
        link = self.links.get(node)
        if link is None or link.over:
            link = self.links[node] = NodeLink(self.reactor, self.addresses[node])
        link.act(line, then)

    def close(self, node: str | None = None) -> None:
        """The connection to that node, or to all; the next act opens another."""
        for name in list(self.links) if node is None else [node] if node in self.links else []:
            self.links.pop(name).close()


def read(line: bytes) -> Any:
    word, _, rest = line.partition(b" ")
    if word == b"NAK":
        return {"no": rest.decode("utf-8", "replace")}
    try:
        answer = orjson.loads(rest) if word == b"ACK" else None
    except orjson.JSONDecodeError:
        return None
    return answer if isinstance(answer, dict) else None


def line_of(work: str, token: int, body: dict[str, Any]) -> bytes:
    return b"act %s %d %s\n" % (work.encode(), token, orjson.dumps(body))
