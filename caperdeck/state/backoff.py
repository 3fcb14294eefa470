"""How long to wait before discovery, one service for the whole fleet, is asked again. No I/O, no clock."""

from __future__ import annotations

from caperdeck.core.chance import chance

CALL = 0.1  # seconds in which discovery should be able to take one node's call
LEAST = 0.2  # seconds; the span of the first wait is at least this
MOST = 4.0  # and at the most this, doubled with each failure up to
LONGEST = 16.0


class BackOff:
    """The span in which a node asks again; where in it, each node draws for itself."""

    def __init__(self, seed: int, nodes: int) -> None:
        self.seed = seed
        self.first = min(max(CALL * nodes, LEAST), MOST)
        self.span = self.first
        self.draws = 0

    def next(self) -> float:
        """Seconds to wait now; the next wait is out of twice the span, unless something is heard before."""
        # Danger: all nodes lose discovery in one instant. Asking again in step they fill its queue with calls
        # that it answers only after they were given up, and none of them ever gets the list.
        span, self.span = self.span, min(self.span * 2, LONGEST)
        self.draws += 1
        return span * chance(self.seed, self.draws)

    def heard(self) -> None:
        self.span = self.first

    @property
    def fresh(self) -> bool:
        """Nothing has failed since something was heard."""
        return self.span == self.first
