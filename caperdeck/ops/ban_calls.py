"""Calls that take a host out or let it serve again: in force here at once, and at every process of the node
before the yes.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from loguru import logger

from .bans import Ban, Bans, BansError
from .admin_calls import Answer, AnswerCallback, nak, ack

SAVE_AGAIN = 0.02  # seconds until a write that failed is tried again while a caller waits
SAVE_WAIT = 0.6  # seconds that a caller waits for it; an answer is due within 1 s


class NodeOfBans(Protocol):
    """The node that the calls are made to."""

    def clock(self) -> float:
        """Milliseconds."""

    def knows_host(self, uid: str) -> bool: ...

    def put_in_force(self, ban: Ban) -> None: ...

    def tell_other_process(self, ban: Ban, then: Callable[[], None]) -> None:
        """Calls then once the other process obeys, or has had the time to."""


@dataclass
class _Waiting:
    """A caller without its answer."""

    ban: Ban
    then: AnswerCallback
    came_at: float
    told: bool = False  # the other process obeys
    saved: bool = False  # the file holds it


class BanCalls:
    def __init__(self, reactor: Any, bans: Bans, node: NodeOfBans) -> None:
        self.reactor, self.bans, self.node = reactor, bans, node
        self.early: list[_Waiting] | None = []  # until the node has its list of hosts
        self.unwritable = self.unreadable = False  # the last write, or read, failed

    def exclude(self, uid: str, then: AnswerCallback) -> None:
        self._call(_Waiting(Ban(uid, True), then, self.node.clock()))

    def include(self, uid: str, then: AnswerCallback) -> None:
        self._call(_Waiting(Ban(uid, False), then, self.node.clock()))

    def begin(self) -> None:
        """The node has its hosts and its bans from now on."""
        early, self.early = self.early or [], None
        for waiting in early:
            self._call(waiting)

    def _call(self, waiting: _Waiting) -> None:
        if self.early is not None:
            # Danger: a successor that has not been told of the hosts yet would deny one that is listed.
            self.early.append(waiting)
        elif not self.node.knows_host(waiting.ban.uid):
            self._answer(waiting, nak("unknown-host"))
        else:
            self._carry_out(waiting)

    def _carry_out(self, waiting: _Waiting) -> None:
        # Danger: the operator goes on a second after the call, whatever was answered; it holds here though
        # the disk may not take it.
        self.bans.change(waiting.ban)
        self.node.put_in_force(waiting.ban)
        self._save(waiting, self.reactor.seconds() + SAVE_WAIT)
        self.node.tell_other_process(waiting.ban, lambda: self._told(waiting))

    def _told(self, waiting: _Waiting) -> None:
        waiting.told = True
        self._answer_if_done(waiting)

    def _save(self, waiting: _Waiting, until: float) -> None:
        if self.save():
            waiting.saved = True
            self._answer_if_done(waiting)
        elif self.reactor.seconds() < until:
            self.reactor.callLater(SAVE_AGAIN, self._save, waiting, until)
        else:
            # Danger: a yes would promise what a process that is started after a kill knows nothing of.
            self._answer(waiting, nak("bans-unwritable"))

    def _answer_if_done(self, waiting: _Waiting) -> None:
        if waiting.told and waiting.saved:
            self._answer(waiting, ack())

    def _answer(self, waiting: _Waiting, answer: Answer) -> None:
        verb, took = "exclude" if waiting.ban.out else "include", self.node.clock() - waiting.came_at
        said = "_".join(answer[0].split())
        logger.info("call verb={} uid={} answer={} ms={:.0f}", verb, waiting.ban.uid, said, took)
        waiting.then(answer)

    # ---- the other processes of the node

    def told(self, ban: Ban) -> None:
        """Another process was called, and tells this one."""
        self.bans.change(ban)
        self.node.put_in_force(ban)
        self.save()

    def look(self) -> None:
        """Puts into force what other processes have written; before anything new is sent to a host."""
        if self.early is not None or self.bans.path is None:
            return
        try:
            changes = self.bans.changed_elsewhere(self.node.clock())
        except BansError as error:
            if not self.unreadable:
                logger.error("roster reason=bans-unreadable {}", error)
            self.unreadable = True
            return
        self.unreadable = False
        for ban in changes:
            self.node.put_in_force(ban)

    def save(self) -> bool:
        """Whether the file holds all that is in force; tried again at each sweep."""
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
