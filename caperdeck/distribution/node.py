"""A node's watch: a subscriber with its connection, version file and timers.

Nothing here blocks the reactor: the file is written in a thread of its own, which reports the result.
"""

from __future__ import annotations

import os
import threading
from collections.abc import Callable
from functools import partial
from typing import Any, NamedTuple, Protocol

from loguru import logger
from twisted.internet.threads import deferToThreadPool
from twisted.python.threadpool import ThreadPool

from caperdeck.state.addresses import Address
from caperdeck.state.clocks import unix_time
from caperdeck.state.timers import cancel

from .publisher_selection import Place
from .connection import WatchConnection
from .messages import PublisherMessage, Refusal, Subscribe, one_line
from .subscriber import Action, Apply, HeldVersion, Leave, Phase, Send, State, Subscriber
from .version_file import NUMBER_BLOCK, DiskError, ReservedNumbers, VersionFile, VersionFileError

RESERVE_RETRY_MS = 5000.0  # delay before number blocks are requested again after a disk failure
# Delay before a version that could not be written is retried; doubled each time.
FIRST_WRITE_RETRY_MS = 5000.0
MAX_WRITE_RETRY_MS = 60_000.0
MAX_WRITE_RETRIES = 30  # per version; with the growing delays they take a little over 27 minutes
MIN_TIMER_MS = 1.0  # shortest delay between two ticks

ResultCallback = Callable[[Any], None]  # takes the result of the call, or the VersionFileError that it raised
# Makes a blocking call and passes its result to the callback.
DiskExecutor = Callable[[Callable[[], Any], ResultCallback], None]


class UnservableError(Exception):
    """This node cannot serve the version. The text has the field and the reason."""


class UnwrittenVersion(NamedTuple):
    """A version that could not be written to disk."""

    version: HeldVersion
    attempts: int

    @property
    def retry_delay(self) -> float:
        """Time until the next attempt, in milliseconds."""
        return min(FIRST_WRITE_RETRY_MS * 2 ** (self.attempts - 1), MAX_WRITE_RETRY_MS)


class VersionUser(Protocol):
    """The service that runs under the published versions."""

    def prepare(self, held: HeldVersion) -> Any:
        """Validates the whole version without changing anything. Raises UnservableError."""

    def activate(self, held: HeldVersion, prepared: Any) -> None:
        """Starts to serve under `prepared`, the result of the latest call of `prepare`."""


class DiskThread:
    """Runs blocking calls one by one in a daemon thread, which does not delay the end of the process."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.pool = ThreadPool(1, 1, "disk")
        self.pool.threadFactory = partial(threading.Thread, daemon=True)
        self.pool.start()

    def __call__(self, call: Callable[[], Any], callback: ResultCallback) -> None:
        deferred = deferToThreadPool(self.reactor, self.pool, call)
        deferred.addErrback(lambda failure: failure.trap(VersionFileError) and failure.value)
        deferred.addCallback(callback)
        deferred.addErrback(lambda failure: logger.error("internal reason=exception {!r}", failure.value))


class NodeWatch:
    """Watches a publisher and activates the versions that it sends.

    `clock` gives float milliseconds, never steps, and keeps counting while the process is suspended; `date`
    gives Unix time. `held` is the version that is active at the start, `refused` a version that this process
    refused earlier.
    """

    def __init__(
        self, reactor: Any, clock: Callable[[], float], cluster: str, place: Place,
        instances: dict[str, tuple[Place, Address]], file: VersionFile, disk: DiskExecutor,
        service: VersionUser, held: HeldVersion, refused: Refusal | None = None,
        date: Callable[[], float] = unix_time,
    ) -> None:  # fmt: skip
        self.reactor, self.clock, self.date = reactor, clock, date
        self.cluster, self.place, self.instances = cluster, place, instances
        self.file, self.disk, self.service = file, disk, service
        self.active, self.refused = held, refused
        self.subscriber: Subscriber | None = None  # None while not watching
        self.connection: WatchConnection | None = None
        self.watched_publisher = ""  # the publisher at the other end of `connection`
        self.subscribe_message: Subscribe | None = None  # sent once the connection is established
        self.numbers_end = 0  # message numbers below this are reserved
        self.reserving = False
        self.generation = 0  # results of disk calls of an earlier generation are ignored
        self.running = False
        self.timer: Any = None
        self.reserve_timer: Any = None
        self.unwritten: UnwrittenVersion | None = None
        self.retry_timer: Any = None
        self.writing = False  # a version is being written and is not active yet
        self.after_write: list[Callable[[], None]] = []  # called once the write has ended
        self.dropped: dict[str, int] = {}  # ended connections and unsent messages, by reason

    def start(self) -> None:
        """Starts to watch, once the version file has reserved message numbers."""
        if not self.running:
            self.running = True
            self.generation += 1
            self._reserve()

    def stop(self) -> None:
        """Stops to watch; the active version stays active. Another process of this node may then watch."""
        self.running = False
        self.generation += 1
        cancel(self.timer)
        cancel(self.reserve_timer)
        cancel(self.retry_timer)
        self._close()
        self.subscriber, self.reserving, self.writing = None, False, False
        self._run_waiting_calls()

    def after_writing(self, call: Callable[[], None]) -> bool:
        """Whether a version is being written; if so, `call` is called once the write has ended."""
        if self.writing:
            self.after_write.append(call)
        return self.writing

    @property
    def publisher(self) -> str | None:
        """The publisher that is watched, once it has answered."""
        subscriber = self.subscriber
        return subscriber.publisher if subscriber and subscriber.phase is Phase.WATCHING else None

    def state(self) -> State:
        return self.subscriber.state(self.clock()) if self.subscriber else State.STARTING

    def confirmed_at(self) -> float:
        """When the active version was last known to be the newest; minus infinity if it never was."""
        return self.subscriber.confirmed_at if self.subscriber else float("-inf")

    # ---- message numbers

    def _reserve(self) -> None:
        self.reserving = True
        self._run_on_disk(partial(self.file.reserve, self.date()), self._reserved)

    def _reserved(self, result: ReservedNumbers | VersionFileError) -> None:
        self.reserving = False
        if isinstance(result, VersionFileError):
            logger.error("version reason=disk {}", result)
            self.reserving = True
            self.reserve_timer = self.reactor.callLater(RESERVE_RETRY_MS / 1000, self._reserve)
            return
        self.numbers_end = result.end
        if self.subscriber is None:
            self._adopt(result.held)
            self._watch(result.first)
        else:
            self.subscriber.reserve_numbers_from(result.first)

    def _adopt(self, held: HeldVersion) -> None:
        """Activates a newer version that another process of this node has written to the file."""
        refused = self.refused.revision if self.refused else 0
        if held.revision <= max(self.active.revision, refused):
            return
        try:
            self._activate(held, self.service.prepare(held))
        except UnservableError as error:
            self._refuse(held, str(error))

    def _watch(self, first: int) -> None:
        now, publishers = self.clock(), [place for place, _ in self.instances.values()]
        seed = int.from_bytes(os.urandom(4), "big")
        self.subscriber = Subscriber(
            self.place, publishers, self.active, first, seed, now, self.refused,
        )  # fmt: skip
        self._set_timer()
        self._set_retry()

    # ---- the subscriber's actions

    def _set_timer(self) -> None:
        cancel(self.timer)
        if self.subscriber is None:
            return
        wait = max(self.subscriber.due - self.clock(), MIN_TIMER_MS)
        self.timer = self.reactor.callLater(wait / 1000, self._tick)

    def _tick(self) -> None:
        self._execute(self.subscriber.tick(self.clock()))

    def _execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(publisher, message):
                    self._send(publisher, message)
                case Leave():
                    self._close()
                case Apply(held):
                    self._apply(held)
        self._reserve_more_numbers()
        self._set_timer()

    def _reserve_more_numbers(self) -> None:
        """Reserves the next block of numbers once half of the current one is used."""
        if self.subscriber is None or self.reserving:
            return
        if self.subscriber.number + NUMBER_BLOCK // 2 > self.numbers_end:
            self._reserve()

    def _send(self, publisher: str, message: Any) -> None:
        # A number that is not reserved might be used again by a later process of this node.
        if message.number >= self.numbers_end:
            self._count_drop("no-numbers")
        elif isinstance(message, Subscribe):
            self._close()
            self.subscribe_message, self.watched_publisher = message, publisher
            address = self.instances[publisher][1]
            self.connection = WatchConnection(self.reactor, address, self.cluster, self)
        elif self.connection is not None:
            self.connection.send(message)

    def _close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _count_drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # ---- called by the connection

    def opened(self, connection: WatchConnection) -> None:
        connection.send(self.subscribe_message)

    def data_received(self, connection: WatchConnection) -> None:
        self.subscriber.data_received(self.clock(), self.watched_publisher)
        self._set_timer()

    def message_received(self, connection: WatchConnection, message: PublisherMessage) -> None:
        self._execute(self.subscriber.receive(self.clock(), self.watched_publisher, message))

    def lost(self, connection: WatchConnection, reason: str) -> None:
        self._count_drop(reason)
        self.connection = None
        self._execute(self.subscriber.lost(self.clock(), self.watched_publisher))

    # ---- versions

    def _apply(self, held: HeldVersion) -> None:
        self.unwritten = None
        cancel(self.retry_timer)
        self._write(held)

    def _write(self, held: HeldVersion) -> None:
        try:
            prepared = self.service.prepare(held)
        except UnservableError as error:
            self._refuse(held, str(error))
            return
        except Exception as error:  # any defect in the service
            self._refuse_fault(held, error)
            return
        self.writing = True
        self._run_on_disk(partial(self.file.save, held), partial(self._saved, held, prepared))

    def _saved(self, held: HeldVersion, prepared: Any, result: VersionFileError | None) -> None:
        self.writing = False
        if isinstance(result, DiskError):
            self._refuse_unwritten(held, result)
        elif result is not None:
            self._refuse(held, str(result))
        elif self._activate(held, prepared):
            self._execute(self.subscriber.applied(self.clock(), held.revision))
        self._run_waiting_calls()

    def _activate(self, held: HeldVersion, prepared: Any) -> bool:
        try:
            self.service.activate(held, prepared)
        except Exception as error:  # any defect in the service
            self._refuse_fault(held, error)
            return False
        self.active = held
        if self.refused is not None and self.refused.revision == held.revision:
            self.refused = None
        logger.info("version in-force revision={} digest={}", held.revision, held.digest)
        return True

    def _refuse(self, held: HeldVersion, reason: str) -> None:
        self.refused = Refusal(held.revision, one_line(reason))
        logger.error("version refused revision={} {}", held.revision, self.refused.reason)
        if self.subscriber is not None:
            self._execute(self.subscriber.refused(self.clock(), held.revision, reason))

    def _refuse_fault(self, held: HeldVersion, error: Exception) -> None:
        # A version that is neither applied nor refused would block all later ones.
        self._refuse(held, f"internal: {error!r}")

    # ---- retries of failed writes

    def _refuse_unwritten(self, held: HeldVersion, error: DiskError) -> None:
        attempts = self.unwritten.attempts if self.unwritten is not None else 0
        self.unwritten = UnwrittenVersion(held, attempts + 1) if attempts < MAX_WRITE_RETRIES else None
        self._set_retry()
        self._refuse(held, str(error))

    def _set_retry(self) -> None:
        cancel(self.retry_timer)
        if self.unwritten is not None:
            self.retry_timer = self.reactor.callLater(self.unwritten.retry_delay / 1000, self._retry)

    def _retry(self) -> None:
        version = self.unwritten.version
        if self.subscriber.retry(version):
            self._write(version)

    def _run_waiting_calls(self) -> None:
        calls, self.after_write = self.after_write, []
        for call in calls:
            call()

    def _run_on_disk(self, call: Callable[[], Any], callback: ResultCallback) -> None:
        generation = self.generation

        def finished(result: Any) -> None:
            if generation == self.generation:
                callback(result)

        self.disk(call, finished)
