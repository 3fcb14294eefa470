"""Reads the backlog in the sockets before decisions are made: after a stall, and at the start of a process.

A node stalls when its process is stopped, starved of processor time, swapped out or in a long garbage
collection. Meanwhile data accumulates in its sockets, which are then read in no particular order. Times are
milliseconds.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from caperdeck.core.settings import MS

SWEEP_INTERVAL_MS = 250.0
STALL_MS = 250.0  # the node has stalled if a sweep is late by more
OBSERVATION_LIFETIME_MS = 1000.0  # a stall of this length makes all observations of hosts stale
READ_TURNS = 2  # reactor turns of which at least one has read every socket with data
MAX_TURNS = 600  # enough reactor turns to read a full socket buffer of discovery
LIST_WAIT_MS = 500.0  # for the list, when discovery is called again or for the first time
LIST_CHECK_INTERVAL_MS = 50.0  # a request is sent only if discovery's socket was empty at most so long ago
LIST_POLL_INTERVAL_MS = 5.0  # between reactor turns while the list is waited for


class BacklogSource(Protocol):
    """The connection on which the host list is read."""

    read_count: int  # reads that brought a part of the list
    is_open: bool  # the list can be read: a line has come, or a call for a fresh list has ended
    is_current: bool  # no change of the list that counts as notified can be missing

    def take_expiry(self) -> bool:
        """Whether the list has become too old since its watch ended; True once per watch, and calls anew."""

    def on_wake(self) -> None: ...

    def has_unread_data(self) -> bool:
        """Whether the socket holds unread data or the end of the stream; makes a system call."""


class BacklogReader(ABC):
    """Detects stalls by the node's clock, and defers callbacks until the backlog has been read."""

    def __init__(self, reactor: Any, clock: Callable[[], float]) -> None:
        self.reactor = reactor
        self.read_clock = clock
        self.source: BacklogSource | None = None
        self.last_turn_at = math.inf  # the reactor has run since; inf until sweeps begin
        self.catching_up = False  # the backlog of a stall, or the first list, is being read
        self.stall = 0.0  # length of the stall whose backlog is being read; 0 if there is none
        self.list_empty_at = -math.inf  # when the list's socket was last found empty
        self.turns_run, self.read_count, self.list_wait_ends_at = 0, 0, 0.0  # of the present backlog
        self.deferred: deque[Callable[[], None]] = deque()  # called in order once it has been read

    @abstractmethod
    def _on_stall(self, span: float) -> None:
        """Called when a stall is detected, with its length."""

    @abstractmethod
    def _discard_observations(self, now: float) -> None:
        """Discards observations of hosts that are too old after a stall."""

    @abstractmethod
    def _on_caught_up(self) -> None:
        """Called when the backlog has been read and deferred callbacks have run."""

    def clock(self) -> float:
        """Returns the time; the first call after a stall detects it."""
        now = self.read_clock()
        if now - self.last_turn_at > SWEEP_INTERVAL_MS + STALL_MS:
            self._end_stall(now, now - self.last_turn_at)
        return now

    def _end_stall(self, now: float, span: float) -> None:
        # The backlog comes in no particular order: a request may be read before the list that removes its
        # host, and a timer may fire before the answer that it waits for is read.
        self._on_stall(span)
        self.stall, self.last_turn_at = self.stall + span, now
        if self.source is not None:
            self.source.on_wake()
        self._start_reading(now)

    def wait_for_list(self) -> None:
        """Defers requests of a new process until the list has come from discovery, for a limited time."""
        # Changes at discovery count as notified from the first moment of the process, and starting up alone
        # may take as long as the grace period of a drain. Clients that wait in the queue of the port would be
        # read before the list. A request that the list does not reach in this time is refused.
        self._start_reading(self.read_clock())

    def limit_list_wait(self, until: float) -> None:
        """Ends the wait for the list at the given time at the latest."""
        self.list_wait_ends_at = min(self.list_wait_ends_at, until)

    def _start_reading(self, now: float) -> None:
        already_reading, self.catching_up = self.catching_up, True
        self.turns_run, self.list_wait_ends_at = 0, now + LIST_WAIT_MS
        if self.source is not None:
            self.read_count = self.source.read_count
        if not already_reading:
            self.reactor.callLater(0, self._continue_reading)

    def _continue_reading(self) -> None:
        """Runs once per reactor turn until the backlog has been read."""
        now, source = self.clock(), self.source
        self.turns_run += 1
        waiting_for_list = source is not None and not source.is_open and now < self.list_wait_ends_at
        read_count, self.read_count = self.read_count, source.read_count if source is not None else 0
        done = self.turns_run >= READ_TURNS and read_count == self.read_count and not waiting_for_list
        if not done and self.turns_run < MAX_TURNS:
            self.reactor.callLater(
                LIST_POLL_INTERVAL_MS / MS if waiting_for_list else 0, self._continue_reading
            )
        else:
            self._finish_reading(now)

    def _finish_reading(self, now: float) -> None:
        if self.observations_stale:
            self._discard_observations(now)
        self.catching_up, self.stall, self.last_turn_at = False, 0.0, now
        deferred, self.deferred = self.deferred, deque()
        for callback in deferred:
            callback()
        self._on_caught_up()

    @property
    def observations_stale(self) -> bool:
        """Whether load reports that are read now are too old to be used."""
        return self.stall >= OBSERVATION_LIFETIME_MS

    def read_delay(self) -> float:
        """Returns how long data that is read now may have waited unread; 0 once the backlog has been read."""
        return self.stall if self.turns_run <= READ_TURNS else 0.0

    def defer(self, callback: Callable[[], None]) -> bool:
        """Defers the callback if a backlog is being read; returns whether it did."""
        now = self.clock()
        if not self.catching_up and self.source is not None and self.source.take_expiry():
            self._start_reading(now)
        if self.catching_up:
            self.deferred.append(callback)
        return self.catching_up

    def may_use_list(self) -> bool:
        """Whether new sessions may be placed by the list as it was last read."""
        return self.source is None or self.source.is_current

    def has_unread_list(self) -> bool:
        """Whether the list has unread data; checks the socket at most once per LIST_CHECK_INTERVAL_MS."""
        # The reactor reads sockets in any order, and stalls too short to be detected add up, while the grace
        # period of a drain counts from when discovery wrote.
        now = self.clock()
        if self.source is None or now - self.list_empty_at <= LIST_CHECK_INTERVAL_MS:
            return False
        if self.source.has_unread_data():
            return True
        self.list_empty_at = now
        return False
