"""A node's watch: the subscriber with its connection, its disk and its timer.

Nothing here waits: the disk is written in a thread of its own, and the subscriber is told when that is done.
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
from .messages import FromPublisher, Refusal, Subscribe, one_line
from .subscriber import Action, Apply, Held, Leave, Phase, Send, State, Subscriber
from .version_file import BLOCK, DiskError, Reserved, VersionFile, VersionFileError

RESERVE_AGAIN = 5000.0  # ms until numbers are asked of a disk that failed once more
FIRST_RETRY = 5000.0  # ms until a version that the disk did not take is written again; doubled each time
LONGEST_RETRY = 60_000.0
MOST_RETRIES = 30  # of one version: for a little over 27 minutes
LEAST_WAIT = 1.0  # ms between two turns

Then = Callable[[Any], None]  # what the call gave, or the VersionFileError that it raised
Disk = Callable[[Callable[[], Any], Then], None]  # makes a call that waits, and tells what came of it


class UnservableError(Exception):
    """This node cannot serve the version; the text has the field and the reason."""


class Unwritten(NamedTuple):
    """A version that the disk did not take."""

    version: Held
    tries: int

    @property
    def wait(self) -> float:
        """Until the next try, in ms."""
        return min(FIRST_RETRY * 2 ** (self.tries - 1), LONGEST_RETRY)


class Service(Protocol):
    """Whoever serves under the versions."""

    def prepare(self, held: Held) -> Any:
        """Checks a version whole and changes nothing; raises UnservableError."""

    def put_in_force(self, held: Held, prepared: Any) -> None:
        """Serves under the version that was prepared, and nothing has been prepared since."""


class DiskThread:
    """Makes calls one after the other in a thread, which does not hold the process up at its end."""

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.pool = ThreadPool(1, 1, "disk")
        self.pool.threadFactory = partial(threading.Thread, daemon=True)
        self.pool.start()

    def __call__(self, call: Callable[[], Any], then: Then) -> None:
        deferred = deferToThreadPool(self.reactor, self.pool, call)
        deferred.addErrback(lambda failure: failure.trap(VersionFileError) and failure.value)
        deferred.addCallback(then)
        deferred.addErrback(lambda failure: logger.error("internal reason=exception {!r}", failure.value))


class NodeWatch:
    """`clock` gives float ms, never steps, and counts on while the process is stopped; `date` is Unix time.

    `held` is what is in force at the start, `refused` a version that was refused in this life already.
    """

    def __init__(
        self, reactor: Any, clock: Callable[[], float], cluster: str, place: Place,
        instances: dict[str, tuple[Place, Address]], file: VersionFile, disk: Disk, service: Service,
        held: Held, refused: Refusal | None = None, date: Callable[[], float] = unix_time,
    ) -> None:  # fmt: skip
        self.reactor, self.clock, self.date = reactor, clock, date
        self.cluster, self.place, self.instances = cluster, place, instances
        self.file, self.disk, self.service = file, disk, service
        self.in_force, self.refused = held, refused
        self.subscriber: Subscriber | None = None  # while it watches
        self.connection: WatchConnection | None = None
        self.watched = ""  # the publisher of that connection
        self.first: Subscribe | None = None  # goes out when the connection is up
        self.end = 0  # numbers under it are reserved
        self.reserving = False
        self.life = 0  # what was asked of the disk in an earlier one changes nothing
        self.running = False
        self.timer: Any = None
        self.reserve_timer: Any = None
        self.unwritten: Unwritten | None = None
        self.retry_timer: Any = None
        self.writing = False  # a version is checked and not in force yet
        self.waiting: list[Callable[[], None]] = []  # until that is so
        self.dropped: dict[str, int] = {}  # ends of connections, by reason

    def start(self) -> None:
        """Watches from now on, once the disk has given numbers to it."""
        if not self.running:
            self.running = True
            self.life += 1
            self._reserve()

    def stop(self) -> None:
        """Watches no more; what is in force stays so. Another process of the node may watch."""
        self.running = False
        self.life += 1
        cancel(self.timer)
        cancel(self.reserve_timer)
        cancel(self.retry_timer)
        self._close()
        self.subscriber, self.reserving, self.writing = None, False, False
        self._go_on()

    def after_writing(self, call: Callable[[], None]) -> bool:
        """Whether a version is being written; the call is then made when that has ended."""
        if self.writing:
            self.waiting.append(call)
        return self.writing

    @property
    def publisher(self) -> str | None:
        """The one that is watched and has answered."""
        subscriber = self.subscriber
        return subscriber.publisher if subscriber and subscriber.phase is Phase.WATCHING else None

    def state(self) -> State:
        return self.subscriber.state(self.clock()) if self.subscriber else State.STARTING

    def confirmed_at(self) -> float:
        """When what is in force was surely the newest version; minus infinity where that is not known."""
        return self.subscriber.current_at if self.subscriber else float("-inf")

    # ---- numbers

    def _reserve(self) -> None:
        self.reserving = True
        self._on_disk(partial(self.file.reserve, self.date()), self._reserved)

    def _reserved(self, result: Reserved | VersionFileError) -> None:
        self.reserving = False
        if isinstance(result, VersionFileError):
            logger.error("version reason=disk {}", result)
            self.reserving = True
            self.reserve_timer = self.reactor.callLater(RESERVE_AGAIN / 1000, self._reserve)
            return
        self.end = result.end
        if self.subscriber is None:
            self._take_up(result.held)
            self._watch(result.first)
        else:
            self.subscriber.number_from(result.first)

    def _take_up(self, held: Held) -> None:
        """What another process of this node has left in the file."""
        refused = self.refused.revision if self.refused else 0
        if held.revision <= max(self.in_force.revision, refused):
            return
        try:
            self._put_in_force(held, self.service.prepare(held))
        except UnservableError as error:
            self._refuse(held, str(error))

    def _watch(self, first: int) -> None:
        now, publishers = self.clock(), [place for place, _ in self.instances.values()]
        seed = int.from_bytes(os.urandom(4), "big")
        self.subscriber = Subscriber(
            self.place, publishers, self.in_force, first, seed, now, self.refused,
        )  # fmt: skip
        self._set_timer()
        self._set_retry()

    # ---- turns

    def _set_timer(self) -> None:
        cancel(self.timer)
        if self.subscriber is None:
            return
        wait = max(self.subscriber.due - self.clock(), LEAST_WAIT)
        self.timer = self.reactor.callLater(wait / 1000, self._tick)

    def _tick(self) -> None:
        self._carry_out(self.subscriber.tick(self.clock()))

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Send(publisher, message):
                    self._send(publisher, message)
                case Leave():
                    self._close()
                case Apply(held):
                    self._apply(held)
        self._mind_numbers()
        self._set_timer()

    def _mind_numbers(self) -> None:
        """Reserves the next numbers when half of them are used."""
        if self.subscriber is None or self.reserving:
            return
        if self.subscriber.number + BLOCK // 2 > self.end:
            self._reserve()

    def _send(self, publisher: str, message: Any) -> None:
        # Danger: a later life of this node may use a number that is not reserved.
        if message.number >= self.end:
            self._drop("no-numbers")
        elif isinstance(message, Subscribe):
            self._close()
            self.first, self.watched = message, publisher
            address = self.instances[publisher][1]
            self.connection = WatchConnection(self.reactor, address, self.cluster, self)
        elif self.connection is not None:
            self.connection.send(message)

    def _close(self) -> None:
        if self.connection is not None:
            self.connection.close()
            self.connection = None

    def _drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # ---- of the connection

    def opened(self, connection: WatchConnection) -> None:
        connection.send(self.first)

    def received(self, connection: WatchConnection) -> None:
        self.subscriber.heard(self.clock(), self.watched)
        self._set_timer()

    def message(self, connection: WatchConnection, message: FromPublisher) -> None:
        self._carry_out(self.subscriber.receive(self.clock(), self.watched, message))

    def lost(self, connection: WatchConnection, reason: str) -> None:
        self._drop(reason)
        self.connection = None
        self._carry_out(self.subscriber.lost(self.clock(), self.watched))

    # ---- versions

    def _apply(self, held: Held) -> None:
        self.unwritten = None
        cancel(self.retry_timer)
        self._write(held)

    def _write(self, held: Held) -> None:
        try:
            prepared = self.service.prepare(held)
        except UnservableError as error:
            self._refuse(held, str(error))
            return
        except Exception as error:  # a fault of this program, whatever it is
            self._refuse_fault(held, error)
            return
        self.writing = True
        self._on_disk(partial(self.file.keep, held), partial(self._kept, held, prepared))

    def _kept(self, held: Held, prepared: Any, result: VersionFileError | None) -> None:
        self.writing = False
        if isinstance(result, DiskError):
            self._refuse_unwritten(held, result)
        elif result is not None:
            self._refuse(held, str(result))
        elif self._put_in_force(held, prepared):
            self._carry_out(self.subscriber.applied(self.clock(), held.revision))
        self._go_on()

    def _put_in_force(self, held: Held, prepared: Any) -> bool:
        try:
            self.service.put_in_force(held, prepared)
        except Exception as error:  # a fault of this program, whatever it is
            self._refuse_fault(held, error)
            return False
        self.in_force = held
        if self.refused is not None and self.refused.revision == held.revision:
            self.refused = None
        logger.info("version in-force revision={} digest={}", held.revision, held.digest)
        return True

    def _refuse(self, held: Held, reason: str) -> None:
        self.refused = Refusal(held.revision, one_line(reason))
        logger.error("version refused revision={} {}", held.revision, self.refused.reason)
        if self.subscriber is not None:
            self._carry_out(self.subscriber.refused(self.clock(), held.revision, reason))

    def _refuse_fault(self, held: Held, error: Exception) -> None:
        # Danger: a version that is neither applied nor refused would keep out all later ones.
        self._refuse(held, f"internal: {error!r}")

    # ---- a disk that did not take a version

    def _refuse_unwritten(self, held: Held, error: DiskError) -> None:
        before = self.unwritten.tries if self.unwritten is not None else 0
        self.unwritten = Unwritten(held, before + 1) if before < MOST_RETRIES else None
        self._set_retry()
        self._refuse(held, str(error))

    def _set_retry(self) -> None:
        cancel(self.retry_timer)
        if self.unwritten is not None:
            self.retry_timer = self.reactor.callLater(self.unwritten.wait / 1000, self._retry)

    def _retry(self) -> None:
        version = self.unwritten.version
        if self.subscriber.retry(version):
            self._write(version)

    def _go_on(self) -> None:
        waiting, self.waiting = self.waiting, []
        for call in waiting:
            call()

    def _on_disk(self, call: Callable[[], Any], then: Then) -> None:
        life = self.life

        def told(result: Any) -> None:
            if life == self.life:
                then(result)

        self.disk(call, told)
