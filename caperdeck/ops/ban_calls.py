"""The admin calls `exclude` and `include`, which take a host out or let it serve again.

A call takes effect here at once, and in every other process of the node before it is answered with ACK.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from loguru import logger

from .bans import BanChange, Bans, BansError
from .admin_calls import Answer, AnswerCallback, ack, nak

SAVE_RETRY_S = 0.02  # between two attempts to write the file while a caller waits
SAVE_TIMEOUT_S = 0.6  # of those attempts; an answer is due within 1 s


class BanNode(Protocol):
    """The node that the calls are made to."""

    def clock(self) -> float:
        """The time in milliseconds."""

    def knows_host(self, uid: str) -> bool: ...

    def apply_ban(self, change: BanChange) -> None: ...

    def notify_other_process(self, change: BanChange, on_done: Callable[[], None]) -> None:
        """Calls `on_done` once the other process has applied the change, or has had the time to."""


@dataclass
class _PendingCall:
    """A call that has not been answered yet."""

    change: BanChange
    on_answer: AnswerCallback
    received_at: float
    notified: bool = False  # the other process has applied the change
    saved: bool = False  # the file holds the change


class BanCalls:
    """Carries out the calls, and keeps the bans in step with the file and the node's other processes."""

    def __init__(self, reactor: Any, bans: Bans, node: BanNode) -> None:
        self.reactor, self.bans, self.node = reactor, bans, node
        self.queued: list[_PendingCall] | None = []  # until the node has its list of hosts
        self.unwritable = self.unreadable = False  # the last write, or read, failed

    def exclude(self, uid: str, on_answer: AnswerCallback) -> None:
        self._call(_PendingCall(BanChange(uid, True), on_answer, self.node.clock()))

    def include(self, uid: str, on_answer: AnswerCallback) -> None:
        self._call(_PendingCall(BanChange(uid, False), on_answer, self.node.clock()))

    def begin(self) -> None:
        """The node has its hosts and its bans: carries out the calls that came before."""
        queued, self.queued = self.queued or [], None
        for pending in queued:
            self._call(pending)

    def _call(self, pending: _PendingCall) -> None:
        if self.queued is not None:
            # A successor that does not have the list of hosts yet would answer that a listed host is unknown.
            self.queued.append(pending)
        elif not self.node.knows_host(pending.change.uid):
            self._answer(pending, nak("unknown-host"))
        else:
            self._carry_out(pending)

    def _carry_out(self, pending: _PendingCall) -> None:
        # The operator proceeds one second after the call, whatever the answer was. So the change applies in
        # this process even if it cannot be written to the disk.
        self.bans.apply(pending.change)
        self.node.apply_ban(pending.change)
        self._save(pending, self.reactor.seconds() + SAVE_TIMEOUT_S)
        self.node.notify_other_process(pending.change, lambda: self._other_process_done(pending))

    def _other_process_done(self, pending: _PendingCall) -> None:
        pending.notified = True
        self._answer_if_done(pending)

    def _save(self, pending: _PendingCall, deadline: float) -> None:
        if self.save():
            pending.saved = True
            self._answer_if_done(pending)
        elif self.reactor.seconds() < deadline:
            self.reactor.callLater(SAVE_RETRY_S, self._save, pending, deadline)
        else:
            # An ACK would promise a ban that a process started after a kill does not know of.
            self._answer(pending, nak("bans-unwritable"))

    def _answer_if_done(self, pending: _PendingCall) -> None:
        if pending.notified and pending.saved:
            self._answer(pending, ack())

    def _answer(self, pending: _PendingCall, answer: Answer) -> None:
        verb, elapsed_ms = (
            "exclude" if pending.change.excluded else "include",
            self.node.clock() - pending.received_at,
        )
        word = "_".join(answer[0].split())
        logger.info("call verb={} uid={} answer={} ms={:.0f}", verb, pending.change.uid, word, elapsed_ms)
        pending.on_answer(answer)

    # ---- the node's other processes

    def apply_notified(self, change: BanChange) -> None:
        """Applies a change that another process was called with."""
        self.bans.apply(change)
        self.node.apply_ban(change)
        self.save()

    def read_file_changes(self) -> None:
        """Applies what other processes have written; called before anything new is sent to a host."""
        if self.queued is not None or self.bans.path is None:
            return
        try:
            changes = self.bans.read_external_changes(self.node.clock())
        except BansError as error:
            if not self.unreadable:
                logger.error("roster reason=bans-unreadable {}", error)
            self.unreadable = True
            return
        self.unreadable = False
        for change in changes:
            self.node.apply_ban(change)

    def save(self) -> bool:
        """Whether the file holds all changes; a write that failed is tried again at each sweep."""
        try:
            self.bans.save()
        except BansError as error:
            if not self.unwritable:
                logger.error("call reason=bans-unwritable {}", error)
            self.unwritable = True
            return False
        if self.unwritable:
            logger.info("call reason=bans-written")
        self.unwritable = False
        return True
