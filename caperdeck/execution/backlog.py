"""Reads what lies in the sockets before anything is decided: after a stall, and at the start of a process.

A node stalls where it is stopped, starved of processor time, swapped out or in a long collection of garbage.
What came meanwhile lies in the sockets in no order. Times are milliseconds.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from caperdeck.core.settings import MS

SWEEP = 250.0  # housekeeping is due so often
OVERDUE = 250.0  # late by so much, the node has stalled
FIGURES_LAST = 1000.0  # after a stall of so long, what was known of hosts is void
READ_TURNS = 2  # turns of the reactor of which one at least has read every socket that had something
MOST_TURNS = 600  # and so many at the most, enough to read a full buffer of discovery's
LIST_WAIT = 500.0  # for the list where discovery has to be asked anew, or for the first time
LIST_LAG = 50.0  # before a request goes out discovery's socket has been found empty within so long
CALL_AGAIN = 5.0  # between turns while the list is waited for


class BacklogSource(Protocol):
    """Where the list of hosts is read."""

    reads: int  # how often anything of it has come
    open: bool  # what comes can be read, and a line of it has been

    def expired(self) -> bool:
        """Whether the list is too old to send by: once for each end of what tells it, and asks anew."""

    def woke(self) -> None: ...

    def unread(self) -> bool:
        """Whether anything of it lies in the socket, its end too; costs a system call."""


class BacklogReader(ABC):
    """The clock of a node, and what waits until all that had come has been read."""

    def __init__(self, reactor: Any, clock: Callable[[], float]) -> None:
        self.reactor = reactor
        self.read_clock = clock
        self.source: BacklogSource | None = None
        self.last_turn_at = math.inf  # a turn of the reactor has run since; without a sweep none is awaited
        self.catching_up = False  # what came in a stall, or the first list, is not all read yet
        self.stall = 0.0  # how old what is read now may be meanwhile
        self.list_empty_at = -math.inf  # when nothing of the list was last seen to lie in its socket
        self.turns, self.reads, self.list_until = 0, 0, 0.0  # since it began to catch up
        self.held: deque[Callable[[], None]] = deque()  # what waits until then, in the order it came

    @abstractmethod
    def _stalled(self, span: float) -> None:
        """A stall of so long is noticed."""

    @abstractmethod
    def _forget_figures(self, now: float) -> None:
        """What was known of hosts is void."""

    @abstractmethod
    def _caught_up(self) -> None:
        """All that had come has been read, and what waited for that is done."""

    def clock(self) -> float:
        """The time; whoever reads it first after a stall finds it out here."""
        now = self.read_clock()
        if now - self.last_turn_at > SWEEP + OVERDUE:
            self._end_stall(now, now - self.last_turn_at)
        return now

    def _end_stall(self, now: float, span: float) -> None:
        # Danger: what came meanwhile lies in the sockets in no order: a session is read before the list that
        # takes its host away, a timer runs out before the answer that it waits for.
        self._stalled(span)
        self.stall, self.last_turn_at = self.stall + span, now
        if self.source is not None:
            self.source.woke()
        self._read_first(now)

    def wait_for_list(self) -> None:
        """Nothing is sent by the list that a new process is given until discovery's has come, for a while."""
        # Danger: what discovery has counts as told from the first moment of a process, and loading it alone
        # may take as long as the grace; who lies in the queue of its port is read before the list is.
        self._read_first(self.read_clock())

    def bound_list_wait(self, until: float) -> None:
        """The list is waited for no longer than that (ms of the clock)."""
        self.list_until = min(self.list_until, until)

    def _read_first(self, now: float) -> None:
        again, self.catching_up = self.catching_up, True
        self.turns, self.list_until = 0, now + LIST_WAIT
        if self.source is not None:
            self.reads = self.source.reads
        if not again:
            self.reactor.callLater(0, self._read_on)

    def _read_on(self) -> None:
        """A turn later: whether all that had come has been read."""
        now, source = self.clock(), self.source
        self.turns += 1
        shut = source is not None and not source.open and now < self.list_until
        reads, self.reads = self.reads, source.reads if source is not None else 0
        read = self.turns >= READ_TURNS and reads == self.reads and not shut
        if not read and self.turns < MOST_TURNS:
            self.reactor.callLater(CALL_AGAIN / MS if shut else 0, self._read_on)
        else:
            self._finish(now)

    def _finish(self, now: float) -> None:
        if self.observations_stale:
            self._forget_figures(now)
        self.catching_up, self.stall, self.last_turn_at = False, 0.0, now
        held, self.held = self.held, deque()
        for do in held:
            do()
        self._caught_up()

    @property
    def observations_stale(self) -> bool:
        """Whether figures that are read now are too old to be used."""
        return self.stall >= FIGURES_LAST

    def read_delay(self) -> float:
        """How long a line that is read now may have lain there; 0 once all that did has been read."""
        return self.stall if self.turns <= READ_TURNS else 0.0

    def defer(self, do: Callable[[], None]) -> bool:
        """Whether the node has yet to read what came before; then this is done after that."""
        now = self.clock()
        if not self.catching_up and self.source is not None and self.source.expired():
            self._read_first(now)
        if self.catching_up:
            self.held.append(do)
        return self.catching_up

    def list_waits(self) -> bool:
        """Whether the list has anything that is not read yet; asks the socket once in LIST_LAG at most."""
        # Danger: a turn reads sockets in any order, and stalls too short to be noticed add up; the grace
        # counts from when discovery wrote.
        now = self.clock()
        if self.source is None or now - self.list_empty_at <= LIST_LAG:
            return False
        if self.source.unread():
            return True
        self.list_empty_at = now
        return False
