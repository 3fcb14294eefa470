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

from .publisher_selection import Place, preferred
from .document import EMPTY, Document, DocumentError, apply, digest
from .messages import (
    Acknowledge, Busy, Closed, Delta, FromNode, FromPublisher, Heartbeat, Refusal, Snapshot, Subscribe,
    one_line,
)  # fmt: skip

HEARTBEAT = 1000.0  # between two questions
SILENT = 2000.0  # without an answer a publisher is left
ANSWER = 800.0  # for the first answer of a publisher
BEHIND = 2000.0  # a version that was told of and does not come is asked for anew
CONFIRMED_WITHIN = 6000.0  # a node that has not been confirmed for so long is stale
FIRST_TRY = 500.0  # all that lose a publisher in one instant spread over this
NEXT_TRY = 400.0  # longest from a refusal to the next try, while some were not tried yet
LATER_TRY = 1000.0  # longest from try to try once all have failed
MOST_BUSY = 3  # times in a row that a busy publisher is waited for
RETURN = 120_000.0  # longest until a node away from its preferred publisher tries that again
DRIFT = 0.05  # clocks run within this part of true time
MOST_QUESTIONS = 8  # whose times are kept
IN_PARTS = 4000.0  # bytes of a message count as an answer for so long after the last whole one


class State(IntEnum):
    STARTING = 0  # not confirmed in this life; serves from its file
    CURRENT = 1  # what is in force was the newest version within CONFIRMED_WITHIN
    STALE = 2  # serves on, and does not know


class Held(NamedTuple):
    """A whole version."""

    revision: int
    digest: str
    document: Document


NOTHING = Held(0, digest(EMPTY), EMPTY)


class Send(NamedTuple):
    """To that publisher; a Subscribe opens a connection for it."""

    publisher: str
    message: FromNode


class Leave(NamedTuple):
    """The connection to that publisher is closed."""

    publisher: str


class Apply(NamedTuple):
    """Check this version whole, write it to the node's file, put it in force; then call `applied`.

    If it cannot be served nothing of it is kept, and `refused` is called. The file comes first: a node that
    dies in between starts with a newer version, never with an older one than it told of.
    """

    version: Held


Action = Send | Leave | Apply


class Phase(IntEnum):
    WAITING = 0  # until the next try
    ASKING = 1  # subscribed, and no answer yet
    WATCHING = 2


class Subscriber:
    """`held` is what the node's file had. `number` is higher than any that an earlier life of it used."""

    def __init__(
        self, place: Place, publishers: Iterable[Place], held: Held, number: int, seed: int, now: float,
        refusal: Refusal | None = None,
    ) -> None:  # fmt: skip
        self.place = place
        self.order = [publisher.name for publisher in preferred(place, publishers)]
        # Danger: a file that was damaged would be served, and told of, as the version it is named after.
        self.held = held if digest(held.document) == held.digest else NOTHING
        self.number, self.seed, self.draws = number, seed, 0
        self.applying: Held | None = None
        self.pending: Snapshot | Delta | None = None  # the newest that came while one is being applied
        self.refusal = refusal  # in this life of the node
        self.current_at = -math.inf  # when what is in force was surely the newest version
        self.confirmed = False  # in this life
        self.phase = Phase.WAITING
        self.publisher: str | None = None
        self.subscription = 0
        self.tried: set[str] = set()  # without success since one was found
        self.rounds = 0  # in which all were tried
        self.busy = 0
        self.questions: dict[int, float] = {}  # when each was asked
        self.heard_at = self.asked_at = self.tried_at = self.whole_at = -math.inf
        self.behind_since: float | None = None
        self.whole = False
        self.dropped: dict[str, int] = {}  # by reason
        self.return_at = math.inf
        self.try_at = now + self._draw(FIRST_TRY)
        self.out: list[Action] = []

    # ---- events

    @property
    def due(self) -> float:
        if self.phase is Phase.WAITING:
            return self.try_at
        if self.phase is Phase.ASKING:
            return max(self.tried_at, self.heard_at) + ANSWER
        behind = math.inf if self.behind_since is None else self.behind_since + BEHIND
        return min(self.asked_at + HEARTBEAT, self.heard_at + SILENT, behind, self.return_at)

    def tick(self, now: float) -> list[Action]:
        if now >= self.due:
            self._due(now)
        return self._done()

    def receive(self, now: float, publisher: str, message: FromPublisher) -> list[Action]:
        if publisher == self.publisher:
            self.whole_at = now
        if not self._is_of_the_watch(publisher, message):
            self._drop("other-subscription")
        elif isinstance(message, Heartbeat):
            self._heartbeat(now, message)
        elif isinstance(message, Snapshot | Delta):
            self.heard_at = now
            self._version(now, message)
        elif isinstance(message, Busy):
            self._busy(now, message)
        elif isinstance(message, Closed):
            self._leave(now, 0.0)
        return self._done()

    def heard(self, now: float, publisher: str) -> None:
        """A part of a message came: a large version takes longer than an answer may."""
        # Danger: a publisher that sends a byte now and then would be waited for without end.
        if publisher == self.publisher and now <= self.whole_at + IN_PARTS:
            self.heard_at = now

    def number_from(self, number: int) -> None:
        """The next questions have higher numbers than this one."""
        self.number = max(self.number, number)

    def lost(self, now: float, publisher: str) -> list[Action]:
        """The connection to that publisher has ended, or did not come up."""
        if publisher == self.publisher:
            self._leave(now, FIRST_TRY if self.phase is Phase.WATCHING else 0.0)
        return self._done()

    def applied(self, now: float, revision: int) -> list[Action]:
        """That version is in the node's file and in force."""
        if self.applying is not None and self.applying.revision == revision:
            self.held, self.applying = self.applying, None
            if self.refusal is not None and self.refusal.revision == revision:
                self.refusal = None
            self._after_applying(now)
        return self._done()

    def retry(self, version: Held) -> bool:
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
        return self._done()

    def state(self, now: float) -> State:
        if now - self.current_at <= CONFIRMED_WITHIN:
            return State.CURRENT
        return State.STALE if self.confirmed else State.STARTING

    # ---- versions

    @property
    def highest(self) -> int:
        """The highest revision that needs no try any more."""
        return max(self.held.revision, self.refusal.revision if self.refusal else 0)

    def _version(self, now: float, message: Snapshot | Delta) -> None:
        # Danger: an old publisher, or a message that comes late or twice, would undo a later version.
        if not self._is_newer(message.revision):
            self._drop("not-newer")
        elif self.applying is not None:
            if self.pending is None or message.revision > self.pending.revision:
                self.pending = message
        else:
            self._apply(now, message)

    def _is_newer(self, revision: int) -> bool:
        return revision > self.highest

    def _apply(self, now: float, message: Snapshot | Delta) -> None:
        try:
            document = self._document(message)
        except DocumentError:
            self._drop("does-not-fit")
            self.whole = True
            self._subscribe(now, self.publisher)
            return
        self.whole, self.behind_since = False, None
        self.applying = Held(message.revision, message.digest, document)
        self.out.append(Apply(self.applying))

    def _document(self, message: Snapshot | Delta) -> Document:
        """The whole document that the message stands for, with the digest it is to have."""
        if isinstance(message, Delta):
            if message.base != self.held.revision:
                raise DocumentError(f"base: {message.base}, and {self.held.revision} is in force")
            return apply(self.held.document, message.changes, message.digest)
        return apply(message.document, (), message.digest)

    def _after_applying(self, now: float) -> None:
        if self.phase is Phase.WATCHING:
            self._acknowledge(now)
        message, self.pending = self.pending, None
        # What it waited for may be of a watch that was left since.
        if message is not None and self.publisher and message.subscription == self.subscription:
            self._version(now, message)

    # ---- the watch

    def _is_of_the_watch(self, publisher: str, message: FromPublisher) -> bool:
        return publisher == self.publisher and message.subscription == self.subscription

    def _heartbeat(self, now: float, message: Heartbeat) -> None:
        self.heard_at = now
        if self._must_leave(message):
            self._leave(now, NEXT_TRY)
            return
        if self.phase is Phase.ASKING:
            self._found(now)
        self._confirm(message)
        needs = message.revision > self.highest and self.applying is None and not message.queued
        if not needs:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = now

    def _must_leave(self, message: Heartbeat) -> bool:
        """It has not confirmed itself with the quorum lately, or is older than what this node has."""
        return message.age is None or message.revision < self.highest

    def _confirm(self, message: Heartbeat) -> None:
        asked = self.questions.get(message.number)
        if asked is None or message.age is None:
            return
        if (message.revision, message.digest) == (self.held.revision, self.held.digest):
            # Danger: counted from the answer, one that lay there while either side slept would count as new.
            self.current_at = max(self.current_at, asked - message.age * (1 + DRIFT))
            self.confirmed = True

    def _found(self, now: float) -> None:
        self.phase, self.busy, self.rounds = Phase.WATCHING, 0, 0
        self.tried.clear()
        away = self.publisher != self.order[0]
        self.return_at = now + RETURN * (1 + self._draw(1.0)) / 2 if away else math.inf

    def _due(self, now: float) -> None:
        if self.phase is Phase.WAITING:
            self._try(now)
        elif self.phase is Phase.ASKING:
            self._leave(now, 0.0)
        elif now >= self.heard_at + SILENT:
            self._leave(now, FIRST_TRY)
        elif now >= self.return_at:
            self._return(now)
        elif self.behind_since is not None and now >= self.behind_since + BEHIND:
            self._subscribe(now, self.publisher)
        else:
            self._acknowledge(now)

    def _try(self, now: float) -> None:
        left = [name for name in self.order if name not in self.tried]
        if not left:
            self.tried.clear()
            self.rounds += 1
            left = self.order
        self._subscribe(now, left[0])

    def _subscribe(self, now: float, publisher: str) -> None:
        if self.publisher is not None:
            self.out.append(Leave(self.publisher))
        self.publisher, self.phase, self.tried_at, self.whole_at = publisher, Phase.ASKING, now, now
        self.behind_since, self.pending = None, None
        self.subscription = self._question(now)
        # Questions of all nodes that begin together are spread over the second that follows.
        self.asked_at = now - self._draw(HEARTBEAT)
        place, held, stale = self.place, self.held, self.state(now) is not State.CURRENT
        self.out.append(Send(publisher, Subscribe(
            place.name, place.zone, place.region, self.subscription, held.revision, held.digest, stale,
            self.refusal, self.whole,
        )))  # fmt: skip

    def _acknowledge(self, now: float) -> None:
        self.asked_at = now
        number, held, stale = self._question(now), self.held, self.state(now) is not State.CURRENT
        self.out.append(Send(self.publisher, Acknowledge(
            self.place.name, self.subscription, number, held.revision, held.digest, stale, self.refusal,
        )))  # fmt: skip

    def _question(self, now: float) -> int:
        self.number += 1
        self.questions[self.number] = now
        if len(self.questions) > MOST_QUESTIONS:
            del self.questions[next(iter(self.questions))]
        return self.number

    # ---- looking for another

    def _leave(self, now: float, spread: float) -> None:
        """For the next publisher, after a part of `spread` that is drawn."""
        self.tried.add(self.publisher)
        self._wait(now, now + self._draw(spread))
        if self.rounds:
            # Danger: with no quorum all nodes would go round all publishers as fast as these answer.
            self.try_at = max(self.try_at, self.tried_at + LATER_TRY * (0.7 + self._draw(0.3)))

    def _busy(self, now: float, message: Busy) -> None:
        self.busy += 1
        if self.busy > MOST_BUSY:
            self.busy = 0
            self._leave(now, 0.0)
        else:
            self._wait(now, now + message.wait * (0.5 + self._draw(0.5)))

    def _return(self, now: float) -> None:
        """To the preferred publisher, which was lost and may be back."""
        self.tried.clear()
        self._subscribe(now, self.order[0])

    def _wait(self, now: float, until: float) -> None:
        self.out.append(Leave(self.publisher))
        self.publisher, self.phase, self.try_at = None, Phase.WAITING, until
        self.behind_since, self.return_at, self.pending = None, math.inf, None

    def _draw(self, span: float) -> float:
        self.draws += 1
        return span * chance(self.seed, self.draws)

    def _drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    def _done(self) -> list[Action]:
        out, self.out = self.out, []
        return out
