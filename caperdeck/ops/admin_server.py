"""The second address on sockets: one call a connection, answered in lines and closed.

After a call with a verb that `Calls` keeps, the connection stays open for the next one; idle for PATIENCE
it is ended.
"""

from __future__ import annotations

from typing import Any

from loguru import logger
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ServerFactory
from zope.interface import implementer

from caperdeck.state.addresses import Address
from caperdeck.state.errors import call_with_retries
from caperdeck.state.timers import cancel
from caperdeck.wire.lines import BoundedPort, LineConnection

from .admin_calls import Answer, Calls, no

LONGEST_CALL = 512
MOST_CALLERS = 24  # open at once, of the descriptors set apart for them
RESERVED = MOST_CALLERS + 8  # descriptors: with the address itself and what an answer opens
PATIENCE = 5.0  # seconds that a caller may take over its call and over reading the answer
LATE = 400.0  # an answer that took longer is logged, milliseconds
BACKLOG = 256


@implementer(IHalfCloseableProtocol)
class Caller(LineConnection):
    delimiter = b"\n"
    MAX_LENGTH = LONGEST_CALL

    def __init__(self, front: Front) -> None:
        self.front = front
        self.called = False  # a whole call has come; nothing more is read
        self.answered = self.ended = False  # the answer is written; the caller has ended its side
        self.kept = False  # it was kept open after a call
        self.timer: Any = None

    def connectionMade(self) -> None:
        self.disable_nagle()
        self.timer = self.front.reactor.callLater(PATIENCE, self.transport.abortConnection)
        self.front.came(self)

    def lineReceived(self, line: bytes) -> None:
        if not self.called:
            self.called = True
            at, verb = self.front.reactor.seconds(), line[:20]
            self.front.calls.call(line.removesuffix(b"\r"), lambda answer: self.answer(answer, verb, at))

    def lineLengthExceeded(self, line: bytes) -> None:
        if not self.called:
            self.called = True
            self.answer(no("long-line"), b"", self.front.reactor.seconds())

    def answer(self, lines: Answer, verb: bytes, at: float) -> None:
        took = (self.front.reactor.seconds() - at) * 1000
        if took > LATE:
            logger.warning("call verb={!r} reason=late ms={:.0f}", verb, took)
        if not self.connected or self.answered:
            return
        self.transport.writeSequence([line.encode() + b"\r\n" for line in lines])
        if not self.ended and verb.partition(b" ")[0] in self.front.calls.kept:
            self.keep()
            return
        self.answered = True
        if self.ended:
            self.transport.loseConnection()
        else:
            self.half_close(self.front.reactor)

    def keep(self) -> None:
        """Stays open for the next call."""
        self.called = False
        self.timer.reset(PATIENCE)
        if not self.kept:
            # Danger: answers to one that never reads would pile up here; no call is read until they are out.
            self.kept = True
            self.transport.registerProducer(self, True)

    def readConnectionLost(self) -> None:
        """The caller has ended its side, and may still read."""
        self.ended = True
        if self.answered or not self.called:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """The answer has gone out."""

    def connectionLost(self, reason) -> None:
        cancel(self.timer)
        cancel(self.linger_timer)
        self.front.left(self)


class Front(ServerFactory):
    noisy = False

    def __init__(self, reactor: Any, calls: Calls) -> None:
        self.reactor = reactor
        self.calls = calls
        self.open: dict[Caller, None] = {}  # the longest open first

    def listen(self, address: Address) -> BoundedPort:
        port = BoundedPort(address.port, self, BACKLOG, address.host, self.reactor)
        call_with_retries(port.startListening)
        return port

    @property
    def acceptable_connections(self) -> int:
        """Callers that there may still be; the rest waits in the kernel for a moment."""
        return max(MOST_CALLERS - len(self.open), 1)

    def buildProtocol(self, addr) -> Caller:
        return Caller(self)

    def came(self, caller: Caller) -> None:
        self.open[caller] = None
        # Danger: callers that send nothing, or half a call, and stay would stand before the whole calls.
        while len(self.open) > MOST_CALLERS:
            idle = next((c for c in self.open if not c.called), None) or next(iter(self.open))
            del self.open[idle]
            idle.transport.abortConnection()

    def left(self, caller: Caller) -> None:
        self.open.pop(caller, None)
