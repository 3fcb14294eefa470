"""A node's side: which publisher it watches, which version it has in force, what it says of it.

Events and time in (float ms on the node's own clock, which counts on while it is stopped), actions out.
A revision never goes back: what is not newer than the version in force, or than one refused, is dropped.
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

HEARTBEAT_INTERVAL_MS = 1000.0  # between two questions
PUBLISHER_SILENT_MS = 2000.0  # without an answer a publisher is left
FIRST_ANSWER_MS = 800.0  # for the first answer of a publisher
MISSING_VERSION_MS = 2000.0  # a version that was told of and does not come is asked for anew
STALE_AFTER_MS = 6000.0  # a node that has not been confirmed for so long is stale
RECONNECT_SPREAD_MS = 500.0  # all that lose a publisher in one instant spread over this
NEXT_PUBLISHER_SPREAD_MS = 400.0  # longest from a refusal to the next try, while some were not tried yet
RETRY_INTERVAL_MS = 1000.0  # longest from try to try once all have failed
MAX_BUSY_RETRIES = 3  # times in a row that a busy publisher is waited for
RETURN_TO_PREFERRED_MS = 120_000.0  # longest until a node away from its preferred publisher tries that again
MAX_CLOCK_DRIFT = 0.05  # clocks run within this part of true time
MAX_PENDING_QUESTIONS = 8  # whose times are kept
PARTIAL_MESSAGE_MS = 4000.0  # bytes of a message count as an answer for so long after the last whole one


class State(IntEnum):
    STARTING = 0  # not confirmed in this life; serves from its file
    CURRENT = 1  # what is in force was the newest version within STALE_AFTER_MS
    STALE = 2  # serves on, and does not know


class HeldVersion(NamedTuple):
    """A whole version."""

    revision: int
    digest: str
    document: Document


NO_VERSION = HeldVersion(0, digest(EMPTY_DOCUMENT), EMPTY_DOCUMENT)


class Send(NamedTuple):
    """To that publisher; a Subscribe opens a connection for it."""

    publisher: str
    message: NodeMessage


class Leave(NamedTuple):
    """The connection to that publisher is closed."""

    publisher: str


class Apply(NamedTuple):
    """Check this version whole, write it to the node's file, put it in force; then call `applied`.

    If it cannot be served nothing of it is kept, and `refused` is called. The file comes first: a node that
    dies in between starts with a newer version, never with an older one than it told of.
    """

    version: HeldVersion


Action = Send | Leave | Apply


class Phase(IntEnum):
    WAITING = 0  # until the next try
    ASKING = 1  # subscribed, and no answer yet
    WATCHING = 2


class Subscriber:
    """`held` is what the node's file had. `number` is higher than any that an earlier life of it used."""

    def __init__(
        self, place: Place, publishers: Iterable[Place], held: HeldVersion, number: int, seed: int,
        now: float, refusal: Refusal | None = None,
    ) -> None:  # fmt: skip
        self.place = place
        self.publishers = [publisher.name for publisher in publishers_by_preference(place, publishers)]
        # Danger: a file that was damaged would be served, and told of, as the version it is named after.
        self.held = held if digest(held.document) == held.digest else NO_VERSION
        self.number, self.seed, self.draws = number, seed, 0
        self.applying: HeldVersion | None = None
        self.pending: Snapshot | Delta | None = None  # the newest that came while one is being applied
        self.refusal = refusal  # in this life of the node
        self.confirmed_at = -math.inf  # when what is in force was surely the newest version
        self.confirmed = False  # in this life
        self.phase = Phase.WAITING
        self.publisher: str | None = None
        self.subscription = 0
        self.tried_publishers: set[str] = set()  # without success since one was found
        self.failed_rounds = 0  # in which all were tried
        self.busy_answers = 0
        self.question_times: dict[int, float] = {}  # when each was asked
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
        """A part of a message came: a large version takes longer than an answer may."""
        # Danger: a publisher that sends a byte now and then would be waited for without end.
        if publisher == self.publisher and now <= self.last_message_at + PARTIAL_MESSAGE_MS:
            self.heard_at = now

    def reserve_numbers_from(self, number: int) -> None:
        """The next questions have higher numbers than this one."""
        self.number = max(self.number, number)

    def lost(self, now: float, publisher: str) -> list[Action]:
        """The connection to that publisher has ended, or did not come up."""
        if publisher == self.publisher:
            self._leave_publisher(now, RECONNECT_SPREAD_MS if self.phase is Phase.WATCHING else 0.0)
        return self._take_actions()

    def applied(self, now: float, revision: int) -> list[Action]:
        """That version is in the node's file and in force."""
        if self.applying is not None and self.applying.revision == revision:
            self.held, self.applying = self.applying, None
            if self.refusal is not None and self.refusal.revision == revision:
                self.refusal = None
            self._after_applying(now)
        return self._take_actions()

    def retry(self, version: HeldVersion) -> bool:
        """Whether that version, which was refused, may be applied after all; if so it is being applied."""
        refused = self.refusal is not None and self.refusal.revision == version.revision
        if not refused or self.applying is not None or version.revision < self.highest:
            return False
        self.applying = version
        return True

    def refused(self, now: float, revision: int, reason: str) -> list[Action]:
        """The node cannot serve that version; the one before stays in force."""
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
        """The highest revision that needs no try any more."""
        return max(self.held.revision, self.refusal.revision if self.refusal else 0)

    def _receive_version(self, now: float, message: Snapshot | Delta) -> None:
        # Danger: an old publisher, or a message that comes late or twice, would undo a later version.
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
        """The whole document that the message stands for, with the digest it is to have."""
        if isinstance(message, Delta):
            if message.base != self.held.revision:
                raise DocumentError(f"base: {message.base}, and {self.held.revision} is in force")
            return apply_changes(self.held.document, message.changes, message.digest)
        return apply_changes(message.document, (), message.digest)

    def _after_applying(self, now: float) -> None:
        if self.phase is Phase.WATCHING:
            self._acknowledge(now)
        message, self.pending = self.pending, None
        # What it waited for may be of a watch that was left since.
        if message is not None and self.publisher and message.subscription == self.subscription:
            self._receive_version(now, message)

    # ---- the watch

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
        """It has not confirmed itself with the quorum lately, or is older than what this node has."""
        return message.age is None or message.revision < self.highest

    def _confirm(self, message: Heartbeat) -> None:
        asked_at = self.question_times.get(message.number)
        if asked_at is None or message.age is None:
            return
        if (message.revision, message.digest) == (self.held.revision, self.held.digest):
            # Danger: counted from the answer, one that lay there while either side slept would count as new.
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
        self.subscription = self._question(now)
        # Questions of all nodes that begin together are spread over the second that follows.
        self.asked_at = now - self._draw(HEARTBEAT_INTERVAL_MS)
        place, held, stale = self.place, self.held, self.state(now) is not State.CURRENT
        self.actions.append(Send(publisher, Subscribe(
            place.name, place.zone, place.region, self.subscription, held.revision, held.digest, stale,
            self.refusal, self.needs_snapshot,
        )))  # fmt: skip

    def _acknowledge(self, now: float) -> None:
        self.asked_at = now
        number, held, stale = self._question(now), self.held, self.state(now) is not State.CURRENT
        self.actions.append(Send(self.publisher, Acknowledge(
            self.place.name, self.subscription, number, held.revision, held.digest, stale, self.refusal,
        )))  # fmt: skip

    def _question(self, now: float) -> int:
        self.number += 1
        self.question_times[self.number] = now
        if len(self.question_times) > MAX_PENDING_QUESTIONS:
            del self.question_times[next(iter(self.question_times))]
        return self.number

    # ---- looking for another

    def _leave_publisher(self, now: float, spread: float) -> None:
        """For the next publisher, after a part of `spread` that is drawn."""
        self.tried_publishers.add(self.publisher)
        self._wait_until(now, now + self._draw(spread))
        if self.failed_rounds:
            # Danger: with no quorum all nodes would go round all publishers as fast as these answer.
            self.try_at = max(self.try_at, self.tried_at + RETRY_INTERVAL_MS * (0.7 + self._draw(0.3)))

    def _on_busy(self, now: float, message: Busy) -> None:
        self.busy_answers += 1
        if self.busy_answers > MAX_BUSY_RETRIES:
            self.busy_answers = 0
            self._leave_publisher(now, 0.0)
        else:
            self._wait_until(now, now + message.wait * (0.5 + self._draw(0.5)))

    def _return_to_preferred(self, now: float) -> None:
        """To the preferred publisher, which was lost and may be back."""
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
