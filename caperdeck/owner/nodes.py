"""One act at one node: a line to its second address, and its answer."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson
from twisted.protocols.basic import LineOnlyReceiver

from caperdeck.state.addresses import Address
from caperdeck.state.timers import cancel
from caperdeck.wire.lines import OneConnection

ANSWER = 1.0  # seconds from the first knock to the answer
LONGEST = 8192


class Errand(LineOnlyReceiver):
    """`then` takes the answer's object, one with `no` where it was refused, None where nobody knows."""

    delimiter = b"\n"
    MAX_LENGTH = LONGEST

    def __init__(self, reactor: Any, address: Address, line: bytes, then: Callable[[Any], None]) -> None:
        self.line, self.then = line, then
        self.timer = reactor.callLater(ANSWER, self._late)
        self.connector = reactor.connectTCP(*address, OneConnection(self), ANSWER)

    def _late(self) -> None:
        self._end(None)
        self.connector.disconnect()

    def connectionMade(self) -> None:
        if self.then is None:
            self.transport.abortConnection()
        else:
            self.transport.write(self.line)

    def lineReceived(self, line: bytes) -> None:
        self._end(read(line.strip()))
        self.transport.loseConnection()

    def lineLengthExceeded(self, line: bytes) -> None:
        self.transport.abortConnection()

    def failed(self) -> None:
        self._end(None)

    def connectionLost(self, reason: Any) -> None:
        self._end(None)

    def _end(self, answer: Any) -> None:
        cancel(self.timer)
        then, self.then = self.then, None
        if then is not None:
            then(answer)


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
