"""Looks up the highest token of a work after a restart of the node, at one instance after another."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

from twisted.protocols.basic import Int32StringReceiver

from caperdeck.core.seeded_random import chance
from caperdeck.raft.codec import MAX_FRAME_BYTES, FrameError, decode_frame, encode_frame
from caperdeck.raft.transport import CALL, REPLY
from caperdeck.state.addresses import Address
from caperdeck.state.timers import cancel
from caperdeck.wire.lines import SingleConnectionFactory

from .config import OwnerEndpoints

ANSWER_TIMEOUT_S = 1.0
RETRY_DELAY_S = (0.1, 0.4)  # random delay before the next instance is asked


class TokenRequest(Int32StringReceiver):
    """One call to an instance over a connection of its own; `on_answer` gets None if it fails."""

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(
        self, reactor: Any, owners: OwnerEndpoints, address: Address, body: Any, on_answer: Callable
    ) -> None:
        self.cluster, self.body, self.on_answer = owners.cluster, body, on_answer
        self.timer = reactor.callLater(ANSWER_TIMEOUT_S, self.finish, None)
        self.connector = reactor.connectTCP(*address, SingleConnectionFactory(self), ANSWER_TIMEOUT_S)

    def connectionMade(self) -> None:
        self.sendString(encode_frame(self.cluster, CALL, [1, self.body]))

    def stringReceived(self, data: bytes) -> None:
        try:
            name, fields = decode_frame(data, self.cluster)
        except FrameError:
            name, fields = "", None
        self.finish(fields[1] if name == REPLY and isinstance(fields, list) and len(fields) == 2 else None)

    def failed(self) -> None:
        self.finish(None)

    def connectionLost(self, reason: Any) -> None:
        self.finish(None)

    def finish(self, answer: Any) -> None:
        cancel(self.timer)
        on_answer, self.on_answer = self.on_answer, None
        if on_answer is not None:
            on_answer(answer)
            self.connector.disconnect()


class TokenRecovery:
    """Retries until an answer arrives, then calls `on_token` with the work and its token."""

    def __init__(self, reactor: Any, owners: OwnerEndpoints, on_token: Callable[[str, int], None]) -> None:
        self.reactor, self.owners, self.on_token = reactor, owners, on_token
        self.seed, self.draws = os.getpid(), 0
        self.pending: dict[str, Any] = {}  # by work: None during a request, or the timer of the next attempt
        self.stopped = False

    def recover(self, work: str) -> None:
        """Starts looking up the token of a work unless this is in progress."""
        if work not in self.pending and not self.stopped:
            self._send_request(work)

    def _send_request(self, work: str) -> None:
        self.draws += 1
        address = self.owners.instances[(self.seed + self.draws) % len(self.owners.instances)]
        body = {"do": "token", "work": work}
        self.pending[work] = None
        TokenRequest(
            self.reactor, self.owners, address, body, lambda answer: self._handle_answer(work, answer)
        )

    def _handle_answer(self, work: str, answer: Any) -> None:
        token = answer.get("token") if isinstance(answer, dict) else None
        if isinstance(token, int) and not isinstance(token, bool) and token >= 0:
            self.pending.pop(work, None)
            self.on_token(work, token)
        elif not self.stopped:
            low, high = RETRY_DELAY_S
            wait = low + (high - low) * chance(self.seed, self.draws)
            self.pending[work] = self.reactor.callLater(wait, self._send_request, work)

    def stop(self) -> None:
        self.stopped = True
        for timer in self.pending.values():
            cancel(timer)
