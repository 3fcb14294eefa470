"""What a node that has forgotten asks: the highest token of a work, of one instance after another."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from twisted.protocols.basic import Int32StringReceiver

from caperdeck.core.seeded_random import chance
from caperdeck.raft.codec import LONGEST, FrameError, frame, unwrap
from caperdeck.raft.transport import CALL, REPLY
from caperdeck.state.addresses import Address
from caperdeck.state.timers import cancel
from caperdeck.wire.lines import SingleConnectionFactory

from .config import Owners

ANSWER = 1.0  # seconds
AGAIN = (0.1, 0.4)  # seconds until the next instance is asked, drawn


class Question(Int32StringReceiver):
    MAX_LENGTH = LONGEST

    def __init__(self, reactor: Any, owners: Owners, address: Address, body: Any, then: Callable) -> None:
        self.cluster, self.body, self.then = owners.cluster, body, then
        self.timer = reactor.callLater(ANSWER, self.end, None)
        self.connector = reactor.connectTCP(*address, SingleConnectionFactory(self), ANSWER)

    def connectionMade(self) -> None:
        self.sendString(frame(self.cluster, CALL, [1, self.body]))

    def stringReceived(self, data: bytes) -> None:
        try:
            name, fields = unwrap(data, self.cluster)
        except FrameError:
            name, fields = "", None
        self.end(fields[1] if name == REPLY and isinstance(fields, list) and len(fields) == 2 else None)

    def failed(self) -> None:
        self.end(None)

    def connectionLost(self, reason: Any) -> None:
        self.end(None)

    def end(self, answer: Any) -> None:
        cancel(self.timer)
        then, self.then = self.then, None
        if then is not None:
            then(answer)
            self.connector.disconnect()


class Asking:
    """Asks until it is told; `learned` takes work and token."""

    def __init__(self, reactor: Any, owners: Owners, learned: Callable[[str, int], None]) -> None:
        self.reactor, self.owners, self.learned = reactor, owners, learned
        self.seed, self.draws = os.getpid(), 0
        self.under_way: dict[str, Any] = {}  # by work: the question, or the wait for the next
        self.stopped = False

    def ask(self, work: str) -> None:
        if work not in self.under_way and not self.stopped:
            self._ask(work)

    def _ask(self, work: str) -> None:
        self.draws += 1
        address = self.owners.instances[(self.seed + self.draws) % len(self.owners.instances)]
        body = {"do": "token", "work": work}
        self.under_way[work] = None
        Question(self.reactor, self.owners, address, body, lambda answer: self._told(work, answer))

    def _told(self, work: str, answer: Any) -> None:
        token = answer.get("token") if isinstance(answer, dict) else None
        if isinstance(token, int) and not isinstance(token, bool) and token >= 0:
            self.under_way.pop(work, None)
            self.learned(work, token)
        elif not self.stopped:
            low, high = AGAIN
            wait = low + (high - low) * chance(self.seed, self.draws)
            self.under_way[work] = self.reactor.callLater(wait, self._ask, work)

    def stop(self) -> None:
        self.stopped = True
        for timer in self.under_way.values():
            cancel(timer)
