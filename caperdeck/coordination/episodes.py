"""What one node saw, used by many without acting at once, and so that what they do adds up once.

A host past its limit is an *episode*, from the look that shows it. Every node takes part in it once, whoever
it heard it from and however often, at a drawn moment, by its own load there alone: the parts of all nodes add
up to the excess, and the parts of those that heard of it to their part of it.
"""

from __future__ import annotations

from typing import NamedTuple

from .hashing import mixed

SPREAD = 500.0  # milliseconds in which the nodes that heard of it act
LIFE = 1500.0  # a look older than this starts nothing
EPISODE = 2500.0  # the moves of an episode do not show in looks for so long
MOST = 256  # hosts


class Seen(NamedTuple):
    """A look at a host: its load over capacity, at a time on this node's clock, by that node."""

    mark: int
    load: float
    at: float
    origin: int


class Due(NamedTuple):
    mark: int
    part: float  # of the own load there
    at: float


class Episodes:
    """One node's side; a host goes by its mark."""

    def __init__(self, me: int, limit: float) -> None:
        self.me, self.limit = me, limit
        self.since: dict[int, float] = {}  # by mark: when the look was made whose episode this node is in
        self.waiting: dict[int, Due] = {}

    def saw(self, now: float, seen: Seen) -> bool:
        """Whether this starts an episode here; `take` says when its part is due."""
        if seen.load <= self.limit or now - seen.at > LIFE or seen.at > now:
            return False
        last = self.since.get(seen.mark)
        # Danger: a look at the host before its moves had gone would move the same excess again.
        if last is not None and seen.at - last < EPISODE:
            return False
        if last is None and len(self.since) >= MOST:
            self.since = {m: at for m, at in self.since.items() if now - at < EPISODE}
            if len(self.since) >= MOST:
                return False
        self.since[seen.mark] = seen.at
        part = (seen.load - self.limit) / seen.load
        # whoever looked itself acts at once; the rest spread out, each host's by a draw of its own
        wait = 0.0 if seen.origin == self.me else SPREAD * mixed(seen.mark, int(seen.at), self.me)
        self.waiting[seen.mark] = Due(seen.mark, part, now + wait)
        return True

    def take(self, now: float) -> list[Due]:
        """What is due, each once; what a sleeping node finds long past is void."""
        due = [d for d in self.waiting.values() if d.at <= now]
        for d in due:
            del self.waiting[d.mark]
        return [d for d in due if now - self.since[d.mark] < EPISODE]


class Retries:
    """How many further tries a node may make: a part of its first ones, saved up to a bound.

    Each node keeps it alone, so all together keep `1 + part` times the first tries and a burst a node,
    whoever hears of whom, also in a wave in which every client comes back at once.
    """

    def __init__(self, part: float, burst: float) -> None:
        self.part, self.burst, self.left = part, burst, burst

    def first(self) -> None:
        self.left = min(self.left + self.part, self.burst)

    def again(self) -> bool:
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True
