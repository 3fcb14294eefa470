"""The node's side of a watch: which publisher it watches, which version is active, and what it reports.

A state machine without I/O: events and times in, actions out. Times are float milliseconds on the node's
clock, which keeps counting while the process is suspended. The active revision never goes back: a version
that is not newer than the active one, and than one that was refused, is dropped.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

from caperdeck.core.seeded_random import chance

from .publisher_selection import Place, publishers_by_preference
from .document import EMPTY_DOCUMENT, Document, DocumentError, apply_changes, digest
from .messages import (
    Acknowledge, Busy, Closed, Delta, NodeMessage, PublisherMessage, Heartbeat, Refusal, Snapshot, Subscribe,
    one_line,
)  # fmt: skip

HEARTBEAT_INTERVAL_MS = 1000.0  # between two reports
PUBLISHER_SILENT_MS = 2000.0  # a publisher that does not answer for this long is left
FIRST_ANSWER_MS = 800.0  # longest wait for a publisher's first answer
MISSING_VERSION_MS = 2000.0  # a version that was announced and does not arrive is requested again after this
STALE_AFTER_MS = 6000.0  # without a confirmation for this long the node is stale
# Nodes that lose a publisher at the same moment spread their reconnects over this.
RECONNECT_SPREAD_MS = 500.0
NEXT_PUBLISHER_SPREAD_MS = 400.0  # longest delay after a rejection, while there are untried publishers
RETRY_INTERVAL_MS = 1000.0  # longest time between two attempts once all publishers have failed
MAX_BUSY_RETRIES = 3  # consecutive times that a busy publisher is retried
# Longest time until a node at another publisher tries its preferred one again.
RETURN_TO_PREFERRED_MS = 120_000.0
MAX_CLOCK_DRIFT = 0.05  # the largest error of a clock's rate, as a fraction
MAX_PENDING_REQUESTS = 8  # requests whose times are kept
PARTIAL_MESSAGE_MS = 4000.0  # how long after the last complete message partial ones count as an answer


class State(IntEnum):
    STARTING = 0  # not confirmed since the process started; serves the version in its file
    CURRENT = 1  # the active version was the newest one within STALE_AFTER_MS
    STALE = 2  # still serves the active version, which may not be the newest


class HeldVersion(NamedTuple):
    """A whole version."""

    revision: int
    digest: str
    document: Document


NO_VERSION = HeldVersion(0, digest(EMPTY_DOCUMENT), EMPTY_DOCUMENT)


class Send(NamedTuple):
    """Send a message to a publisher; a Subscribe opens a connection for it."""

    publisher: str
    message: NodeMessage


class Leave(NamedTuple):
    """Close the connection to a publisher."""

    publisher: str


class Apply(NamedTuple):
    """Validate this version, write it to the node's file and activate it; then call `applied`.

    If it cannot be served, discard it and call `refused`. It is written before it is activated: a node that
    crashes in between restarts with a newer version, never with an older one than it has reported.
    """

    version: HeldVersion


Action = Send | Leave | Apply


class Phase(IntEnum):
    WAITING = 0  # until the next attempt
    ASKING = 1  # subscribed, without an answer so far
    WATCHING = 2


class Subscriber:
    """Chooses a publisher, subscribes to it, and takes versions from it.

    `held` is the version in the node's file. `number` is above all numbers that the node has used before.
    """

    def __init__(
        self, place: Place, publishers: Iterable[Place], held: HeldVersion, number: int, seed: int,
        now: float, refusal: Refusal | None = None,
    ) -> None:  # fmt: skip
        self.place = place
        self.publishers = [publisher.name for publisher in publishers_by_preference(place, publishers)]
        # A damaged file would otherwise be served, and reported, as the version that its header names.
        self.held = held if digest(held.document) == held.digest else NO_VERSION
        self.number, self.seed, self.draws = number, seed, 0
        self.applying: HeldVersion | None = None
        # The newest version that arrived while another one was being applied.
        self.pending: Snapshot | Delta | None = None
        self.refusal = refusal  # since the process started
        self.confirmed_at = -math.inf  # when the active version was last known to be the newest
        self.confirmed = False  # at least once since the process started
        self.phase = Phase.WAITING
        self.publisher: str | None = None
        self.subscription = 0
        self.tried_publishers: set[str] = set()  # without success since the last publisher was found
        self.failed_rounds = 0  # rounds in which every publisher failed
        self.busy_answers = 0
        self.request_times: dict[int, float] = {}  # by number: when the request was sent
        self.heard_at = self.asked_at = self.tried_at = self.last_message_at = -math.inf
        self.behind_since: float | None = None
        self.needs_snapshot = False
        self.dropped: dict[str, int] = {}  # by reason
        self.return_at = math.inf
        self.try_at = now + self._draw(RECONNECT_SPREAD_MS)
        self.actions: list[Action] = []

    # ---- events

    @property
    def due(self) -> float:
        if self.phase is Phase.WAITING:
            return self.try_at
        if self.phase is Phase.ASKING:
            return max(self.tried_at, self.heard_at) + FIRST_ANSWER_MS
        behind = math.inf if self.behind_since is None else self.behind_since + MISSING_VERSION_MS
        return min(
            self.asked_at + HEARTBEAT_INTERVAL_MS, self.heard_at + PUBLISHER_SILENT_MS, behind, self.return_at
        )

    def tick(self, now: float) -> list[Action]:
        if now >= self.due:
            self._run_due(now)
        return self._take_actions()

    def receive(self, now: float, publisher: str, message: PublisherMessage) -> list[Action]:
        if publisher == self.publisher:
            self.last_message_at = now
        if not self._is_current_subscription(publisher, message):
            self._count_drop("other-subscription")
        elif isinstance(message, Heartbeat):
            self._on_heartbeat(now, message)
        elif isinstance(message, Snapshot | Delta):
            self.heard_at = now
            self._receive_version(now, message)
        elif isinstance(message, Busy):
            self._on_busy(now, message)
        elif isinstance(message, Closed):
            self._leave_publisher(now, 0.0)
        return self._take_actions()

    def data_received(self, now: float, publisher: str) -> None:
        """Part of a message arrived; a large version takes longer than the time limit for an answer."""
        # The limit is needed for a publisher that sends a byte now and then, which would be kept for ever.
        if publisher == self.publisher and now <= self.last_message_at + PARTIAL_MESSAGE_MS:
            self.heard_at = now

    def reserve_numbers_from(self, number: int) -> None:
        """Later messages have numbers above this one."""
        self.number = max(self.number, number)

    def lost(self, now: float, publisher: str) -> list[Action]:
        """The connection to the publisher has ended or could not be established."""
        if publisher == self.publisher:
            self._leave_publisher(now, RECONNECT_SPREAD_MS if self.phase is Phase.WATCHING else 0.0)
        return self._take_actions()

    def applied(self, now: float, revision: int) -> list[Action]:
        """The version is in the node's file and active."""
        if self.applying is not None and self.applying.revision == revision:
            self.held, self.applying = self.applying, None
            if self.refusal is not None and self.refusal.revision == revision:
                self.refusal = None
            self._after_applying(now)
        return self._take_actions()

    def retry(self, version: HeldVersion) -> bool:
        """Whether a refused version may still be applied; if so, it now counts as being applied."""
        refused = self.refusal is not None and self.refusal.revision == version.revision
        if not refused or self.applying is not None or version.revision < self.highest:
            return False
        self.applying = version
        return True

    def refused(self, now: float, revision: int, reason: str) -> list[Action]:
        """The node cannot serve the version; the previous one stays active."""
        if self.applying is not None and self.applying.revision == revision:
            self.applying, self.refusal = None, Refusal(revision, one_line(reason))
            self._after_applying(now)
        return self._take_actions()

    def state(self, now: float) -> State:
        if now - self.confirmed_at <= STALE_AFTER_MS:
            return State.CURRENT
        return State.STALE if self.confirmed else State.STARTING

    # ---- versions

    @property
    def highest(self) -> int:
        """The highest revision that was applied or refused."""
        return max(self.held.revision, self.refusal.revision if self.refusal else 0)

    def _receive_version(self, now: float, message: Snapshot | Delta) -> None:
        # An outdated publisher, or a delayed or duplicated message, would otherwise undo a later version.
        if not self._is_newer(message.revision):
            self._count_drop("not-newer")
        elif self.applying is not None:
            if self.pending is None or message.revision > self.pending.revision:
                self.pending = message
        else:
            self._apply(now, message)

    def _is_newer(self, revision: int) -> bool:
        return revision > self.highest

    def _apply(self, now: float, message: Snapshot | Delta) -> None:
        try:
            document = self._document_of(message)
        except DocumentError:
            self._count_drop("does-not-fit")
            self.needs_snapshot = True
            self._subscribe(now, self.publisher)
            return
        self.needs_snapshot, self.behind_since = False, None
        self.applying = HeldVersion(message.revision, message.digest, document)
        self.actions.append(Apply(self.applying))

    def _document_of(self, message: Snapshot | Delta) -> Document:
        """The whole document of the version, verified against its digest. Raises DocumentError."""
        if isinstance(message, Delta):
            if message.base != self.held.revision:
                raise DocumentError(f"base: {message.base}, and {self.held.revision} is in force")
            return apply_changes(self.held.document, message.changes, message.digest)
        return apply_changes(message.document, (), message.digest)

    def _after_applying(self, now: float) -> None:
        if self.phase is Phase.WATCHING:
            self._acknowledge(now)
        message, self.pending = self.pending, None
        # The pending version may belong to a subscription that has ended.
        if message is not None and self.publisher and message.subscription == self.subscription:
            self._receive_version(now, message)

    # ---- the current subscription

    def _is_current_subscription(self, publisher: str, message: PublisherMessage) -> bool:
        return publisher == self.publisher and message.subscription == self.subscription

    def _on_heartbeat(self, now: float, message: Heartbeat) -> None:
        self.heard_at = now
        if self._must_leave(message):
            self._leave_publisher(now, NEXT_PUBLISHER_SPREAD_MS)
            return
        if self.phase is Phase.ASKING:
            self._publisher_found(now)
        self._confirm(message)
        is_missing = message.revision > self.highest and self.applying is None and not message.queued
        if not is_missing:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now

    def _must_leave(self, message: Heartbeat) -> bool:
        """Whether the publisher has no recent confirmation by the quorum, or is behind this node."""
        return message.age is None or message.revision < self.highest

    def _confirm(self, message: Heartbeat) -> None:
        asked_at = self.request_times.get(message.number)
        if asked_at is None or message.age is None:
            return
        if (message.revision, message.digest) == (self.held.revision, self.held.digest):
            # Counted from its arrival, an answer that was delayed by a suspension would look recent.
            self.confirmed_at = max(self.confirmed_at, asked_at - message.age * (1 + MAX_CLOCK_DRIFT))
            self.confirmed = True

    def _publisher_found(self, now: float) -> None:
        self.phase, self.busy_answers, self.failed_rounds = Phase.WATCHING, 0, 0
        self.tried_publishers.clear()
        is_fallback = self.publisher != self.publishers[0]
        self.return_at = now + RETURN_TO_PREFERRED_MS * (1 + self._draw(1.0)) / 2 if is_fallback else math.inf

    def _run_due(self, now: float) -> None:
        if self.phase is Phase.WAITING:
            self._try_next_publisher(now)
        elif self.phase is Phase.ASKING:
            self._leave_publisher(now, 0.0)
        elif now >= self.heard_at + PUBLISHER_SILENT_MS:
            self._leave_publisher(now, RECONNECT_SPREAD_MS)
        elif now >= self.return_at:
            self._return_to_preferred(now)
        elif self.behind_since is not None and now >= self.behind_since + MISSING_VERSION_MS:
            self._subscribe(now, self.publisher)
        else:
            self._acknowledge(now)

    def _try_next_publisher(self, now: float) -> None:
        remaining = [name for name in self.publishers if name not in self.tried_publishers]
        if not remaining:
            self.tried_publishers.clear()
            self.failed_rounds += 1
            remaining = self.publishers
        self._subscribe(now, remaining[0])

    def _subscribe(self, now: float, publisher: str) -> None:
        if self.publisher is not None:
            self.actions.append(Leave(self.publisher))
        self.publisher, self.phase, self.tried_at, self.last_message_at = publisher, Phase.ASKING, now, now
        self.behind_since, self.pending = None, None
        self.subscription = self._next_number(now)
        # Nodes that subscribe at the same moment spread their next reports over an interval.
        self.asked_at = now - self._draw(HEARTBEAT_INTERVAL_MS)
        place, held, stale = self.place, self.held, self.state(now) is not State.CURRENT
        self.actions.append(Send(publisher, Subscribe(
            place.name, place.zone, place.region, self.subscription, held.revision, held.digest, stale,
            self.refusal, self.needs_snapshot,
        )))  # fmt: skip

    def _acknowledge(self, now: float) -> None:
        self.asked_at = now
        number, held, stale = self._next_number(now), self.held, self.state(now) is not State.CURRENT
        self.actions.append(Send(self.publisher, Acknowledge(
            self.place.name, self.subscription, number, held.revision, held.digest, stale, self.refusal,
        )))  # fmt: skip

    def _next_number(self, now: float) -> int:
        self.number += 1
        self.request_times[self.number] = now
        if len(self.request_times) > MAX_PENDING_REQUESTS:
            del self.request_times[next(iter(self.request_times))]
        return self.number

    # ---- changing the publisher

    def _leave_publisher(self, now: float, spread: float) -> None:
        """Leaves for the next publisher, after a random part of `spread`."""
        self.tried_publishers.add(self.publisher)
        self._wait_until(now, now + self._draw(spread))
        if self.failed_rounds:
            # Without a quorum, all nodes would otherwise cycle through the publishers as fast as
            # these answer.
            self.try_at = max(self.try_at, self.tried_at + RETRY_INTERVAL_MS * (0.7 + self._draw(0.3)))

    def _on_busy(self, now: float, message: Busy) -> None:
        self.busy_answers += 1
        if self.busy_answers > MAX_BUSY_RETRIES:
            self.busy_answers = 0
            self._leave_publisher(now, 0.0)
        else:
            self._wait_until(now, now + message.wait * (0.5 + self._draw(0.5)))

    def _return_to_preferred(self, now: float) -> None:
        """Tries the preferred publisher, which failed earlier and may have recovered."""
        self.tried_publishers.clear()
        self._subscribe(now, self.publishers[0])

    def _wait_until(self, now: float, until: float) -> None:
        self.actions.append(Leave(self.publisher))
        self.publisher, self.phase, self.try_at = None, Phase.WAITING, until
        self.behind_since, self.return_at, self.pending = None, math.inf, None

    def _draw(self, span: float) -> float:
        self.draws += 1
        return span * chance(self.seed, self.draws)

    def _count_drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def _take_actions(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions
