"""Lets many nodes react to one observation of an overloaded host, spread over time and adding up to one
reaction.

A host past its limit is in an *episode* from the probe that shows it. Every node takes part in the episode
once, whichever node it heard of it from and however often, at a drawn moment and in proportion to its own
load on the host: the moves of all nodes add up to the excess, and those of the nodes that heard of it to
their share of the excess.
"""

from __future__ import annotations

from typing import NamedTuple

from .hashing import uniform_hash

ACT_SPREAD_MS = 500.0  # nodes that heard of an episode from others act within this time
MAX_OBSERVATION_AGE_MS = 1500.0  # an older observation starts no episode
EPISODE_LENGTH_MS = 2500.0  # until the moves of an episode show in the host's load
MAX_TRACKED_HOSTS = 256


class LoadObservation(NamedTuple):
    """A host's load over its capacity, as a node saw it at a time on this node's clock."""

    stable_id: int
    load: float
    observed_at: float
    origin: int


class ScheduledMove(NamedTuple):
    """The fraction of this node's load on a host that it is to move away, and when."""

    stable_id: int
    fraction: float
    due_at: float


class OverloadEpisodes:
    """The episodes that one node takes part in; hosts are known by their stable IDs."""

    def __init__(self, node_number: int, limit: float) -> None:
        self.node_number, self.limit = node_number, limit
        # by stable ID: when the observation was made that began the host's episode
        self.episode_start: dict[int, float] = {}
        self.scheduled: dict[int, ScheduledMove] = {}

    def observe(self, now: float, observation: LoadObservation) -> bool:
        """Whether this starts an episode here; `take_due` then returns the move once it is due."""
        if (
            observation.load <= self.limit
            or now - observation.observed_at > MAX_OBSERVATION_AGE_MS
            or observation.observed_at > now
        ):
            return False
        last = self.episode_start.get(observation.stable_id)
        # A probe from before the moves of the episode took effect would move the same excess again.
        if last is not None and observation.observed_at - last < EPISODE_LENGTH_MS:
            return False
        if last is None and len(self.episode_start) >= MAX_TRACKED_HOSTS:
            self.episode_start = {
                host: at for host, at in self.episode_start.items() if now - at < EPISODE_LENGTH_MS
            }
            if len(self.episode_start) >= MAX_TRACKED_HOSTS:
                return False
        self.episode_start[observation.stable_id] = observation.observed_at
        fraction = (observation.load - self.limit) / observation.load
        # The node that probed the host acts at once; the others spread out, by a separate draw for each host.
        delay = (
            0.0
            if observation.origin == self.node_number
            else ACT_SPREAD_MS
            * uniform_hash(observation.stable_id, int(observation.observed_at), self.node_number)
        )
        self.scheduled[observation.stable_id] = ScheduledMove(observation.stable_id, fraction, now + delay)
        return True

    def take_due(self, now: float) -> list[ScheduledMove]:
        """The moves that are due, each once; those of a past episode, as after a sleep, are dropped."""
        due = [move for move in self.scheduled.values() if move.due_at <= now]
        for move in due:
            del self.scheduled[move.stable_id]
        return [move for move in due if now - self.episode_start[move.stable_id] < EPISODE_LENGTH_MS]


class RetryBudget:
    """A token bucket of retries: each first try adds `ratio` of a retry, up to `burst`.

    Each node keeps its own, so all nodes together make at most `1 + ratio` times the first tries plus a burst
    per node, whichever nodes hear of each other, also when every client reconnects at once.
    """

    def __init__(self, ratio: float, burst: float) -> None:
        self.ratio, self.burst, self.tokens = ratio, burst, burst

    def record_first_try(self) -> None:
        self.tokens = min(self.tokens + self.ratio, self.burst)

    def try_retry(self) -> bool:
        """Takes one retry from the budget; False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
