"""Connections from an instance to the admin addresses of the nodes, over which actions are sent.

An action is one line, and so is its answer; answers arrive in the order of the actions. Each line carries the
fencing token of the owner. A node of an older version closes the connection after an answer; the next action
opens another one.
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

# from the action to its answer, including the time to connect
ANSWER_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 8192

ReplyHandler = Callable[[Any], None]
"""Called with the answer's object, which has `no` if the action was refused, or with None if the outcome is
unknown.
"""


class PendingAction(NamedTuple):
    """An action that waits for its answer."""

    on_reply: ReplyHandler
    timer: Any


class NodeLink(LineOnlyReceiver):
    """One connection to a node, from its first action until either side closes it; it is not reopened."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_ANSWER_BYTES

    def __init__(self, reactor: Any, address: Address) -> None:
        self.reactor = reactor
        self.pending: deque[PendingAction] = deque()  # oldest first
        self.unsent: list[bytes] = []  # actions that wait for the connection
        self.closed = False
        self.connector = reactor.connectTCP(*address, SingleConnectionFactory(self), ANSWER_TIMEOUT_S)

    def send(self, line: bytes, on_reply: ReplyHandler) -> None:
        """Sends an action, as soon as the connection is open."""
        self.pending.append(
            PendingAction(on_reply, self.reactor.callLater(ANSWER_TIMEOUT_S, self._timed_out))
        )
        if self.connected:
            self.transport.write(line)
        else:
            self.unsent.append(line)

    def connectionMade(self) -> None:
        if self.closed:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        self.transport.writeSequence(self.unsent)
        self.unsent.clear()

    def lineReceived(self, line: bytes) -> None:
        if not self.pending:
            self.close()  # an answer without an action
            return
        action = self.pending.popleft()
        cancel(action.timer)
        action.on_reply(parse_answer(line.strip()))

    def lineLengthExceeded(self, line: bytes) -> None:
        self.close()

    def failed(self) -> None:
        self._close_pending()

    def connectionLost(self, reason: Any) -> None:
        self._close_pending()

    def _timed_out(self) -> None:
        # A late answer would be taken for the answer to the next action.
        self.close()

    def close(self) -> None:
        """Closes the connection after pending output was sent; pending actions get no answer."""
        self._close_pending()
        self.connector.disconnect()

    def _close_pending(self) -> None:
        self.closed = True
        self.unsent.clear()
        while self.pending:
            action = self.pending.popleft()
            cancel(action.timer)
            action.on_reply(None)


class NodeLinks:
    """The connections of one instance to its nodes, by node name."""

    def __init__(self, reactor: Any, addresses: Mapping[str, Address]) -> None:
        self.reactor, self.addresses = reactor, addresses
        self.links: dict[str, NodeLink] = {}

    def send(self, node: str, line: bytes, on_reply: ReplyHandler) -> None:
        """Sends an action to a node, over its open connection or a new one."""
        link = self.links.get(node)
        if link is None or link.closed:
            link = self.links[node] = NodeLink(self.reactor, self.addresses[node])
        link.send(line, on_reply)

    def close(self, node: str | None = None) -> None:
        """Closes the connection to a node, or to all nodes; the next action opens another one."""
        for name in list(self.links) if node is None else [node] if node in self.links else []:
            self.links.pop(name).close()


def parse_answer(line: bytes) -> Any:
    """Parses an answer line; returns None for one that is malformed."""
    word, _, rest = line.partition(b" ")
    if word == b"NAK":
        return {"no": rest.decode("utf-8", "replace")}
    try:
        answer = orjson.loads(rest) if word == b"ACK" else None
    except orjson.JSONDecodeError:
        return None
    return answer if isinstance(answer, dict) else None


def action_line(work: str, token: int, body: dict[str, Any]) -> bytes:
    """Formats an action as a line of the admin protocol."""
    return b"act %s %d %s\n" % (work.encode(), token, orjson.dumps(body))
