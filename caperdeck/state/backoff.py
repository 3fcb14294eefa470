"""How long to wait before discovery, one service for the whole fleet, is asked again. No I/O, no clock."""

from __future__ import annotations

from typing import NamedTuple

from caperdeck.core.seeded_random import chance

LEAST = 0.2  # seconds; the span of the first wait is at least this


class Spans(NamedTuple):
    """How the spans grow, in seconds."""

    call: float  # in which discovery should be able to take one node's call
    longest: float  # no span, doubled with each failure, is more than this
    least: float  # the part of a span that is waited in any case


LOST = Spans(0.003, 0.6, 0.0)  # discovery cannot be reached, or says nothing: a call costs it next to nothing
# Danger: a discovery that turns calls away works on each of them. Asked by all nodes each second it turns all
# away for good; asked later than this it would be back for too long before a node hears of it.
REFUSED = Spans(0.1, 4.8, 0.5)


class BackOff:
    """Exponential back-off with jitter: the span grows, and where in it to ask each node draws."""

    def __init__(self, seed: int, nodes: int) -> None:
        self.seed = seed
        self.nodes = nodes
        self.draws = 0
        self.heard()

    def next(self, kind: Spans = LOST) -> float:
        """Seconds to wait now; the next wait is out of twice the span, unless something is heard before."""
        # Danger: all nodes lose discovery in one instant, and would ask again in step.
        # Danger: with spans that grow without a near end a node has no list long after discovery is back,
        # while what discovery has to tell counts as told.
        if kind is not self.kind:
            self.kind, self.span = kind, min(max(kind.call * self.nodes, LEAST), kind.longest)
        span, self.span = self.span, min(self.span * 2, kind.longest)
        self.draws += 1
        return span * (kind.least + (1 - kind.least) * chance(self.seed, self.draws))

    def heard(self) -> None:
        self.kind: Spans | None = None

    @property
    def fresh(self) -> bool:
        """Nothing has failed since something was heard."""
        return self.kind is None
