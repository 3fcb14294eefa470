"""Exponential back-off with jitter for calls to discovery, which all nodes of a fleet share.

Pure: no I/O and no clock. Durations are in seconds.
"""

from __future__ import annotations

from typing import NamedTuple

from caperdeck.core.seeded_random import chance

MIN_FIRST_SPAN_S = 0.2


class BackOffPolicy(NamedTuple):
    """How the span out of which a delay is drawn grows with each failure."""

    call_s: float  # time in which discovery can answer one node's call; the first span is this for each node
    max_span_s: float
    min_fraction: float  # part of the span that is always waited; the rest is drawn at random


# Discovery cannot be reached or does not answer: such a call costs it next to nothing.
UNREACHABLE = BackOffPolicy(0.003, 0.6, 0.0)
# Discovery refuses calls, and each refusal costs it work: called by all nodes every second, it would go on
# refusing all of them. With a longer maximum, nodes would hear of its recovery too late.
REFUSED = BackOffPolicy(0.1, 4.8, 0.5)


class BackOff:
    """Draws the delay before the next call; the span doubles with each failure up to the policy's maximum."""

    def __init__(self, seed: int, node_count: int) -> None:
        self.seed = seed
        self.node_count = node_count
        self.draws = 0
        self.reset()

    def next_delay(self, policy: BackOffPolicy = UNREACHABLE) -> float:
        """Returns the delay in seconds; the next one is drawn from twice the span, unless reset before."""
        # Jitter: all nodes lose discovery at the same instant and would otherwise call again in step.
        # The span is capped: without a cap a node would have no host list long after discovery is back,
        # although the changes that discovery publishes meanwhile count as notified.
        if policy is not self.policy:
            self.policy, self.span = (
                policy,
                min(max(policy.call_s * self.node_count, MIN_FIRST_SPAN_S), policy.max_span_s),
            )
        span, self.span = self.span, min(self.span * 2, policy.max_span_s)
        self.draws += 1
        return span * (policy.min_fraction + (1 - policy.min_fraction) * chance(self.seed, self.draws))

    def reset(self) -> None:
        """Starts over with the first span, after discovery has answered."""
        self.policy: BackOffPolicy | None = None

    @property
    def is_reset(self) -> bool:
        """Whether no call has failed since the last reset."""
        return self.policy is None
