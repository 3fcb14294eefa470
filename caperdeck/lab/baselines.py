"""Policies to measure the module against, under the same rules; never run in service."""

from __future__ import annotations

from collections.abc import Generator
from itertools import islice
from typing import Any

from caperdeck.core.decide import Node
from caperdeck.core.model import Probe, SessionState


class TwoByCount(Node):
    """The host with fewer of the own connections out of two random ones; nothing is looked at or moved."""

    def _choose_host(self, s: SessionState) -> Generator[list[Probe], None, int]:
        yield from ()
        pair = list(islice((h for h in self._sample(self.running) if self._may_dial(self.now, s, h)), 2))
        return min(pair, key=lambda h: self.connections[h], default=-1)

    def _shed_load(self, *unused: Any) -> None:
        pass

    def _probe(self, now: float, h: int) -> bool:
        return False


class LeastLoaded(Node):
    """The host that was least loaded when it was last looked at, out of all; nothing is moved."""

    def _choose_host(self, s: SessionState) -> Generator[list[Probe], None, int]:
        yield from ()
        open_ = [h for h in self.running if self._may_dial(self.now, s, h)]
        return min(
            open_, key=lambda h: (self._recent_load(self.now, h) or 0.0, self.connections[h]), default=-1
        )

    def _tick(self, now: float) -> None:
        super()._tick(now)
        for h in self.running:
            if self._is_stale(h):
                self._probe(now, h)

    def _shed_load(self, *unused: Any) -> None:
        pass


POLICIES = {"module": Node, "two-by-count": TwoByCount, "least-loaded": LeastLoaded}
