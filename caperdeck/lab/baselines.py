"""Baseline policies that the balancer is compared with under the same rules; never used in service."""

from __future__ import annotations

from collections.abc import Generator
from itertools import islice
from typing import Any

from caperdeck.core.decide import Node
from caperdeck.core.model import Probe, SessionState


class TwoByCount(Node):
    """Picks the host with fewer local connections out of two random ones; never probes or moves sessions."""

    def _choose_host(self, s: SessionState) -> Generator[list[Probe], None, int]:
        yield from ()
        candidates = list(
            islice((h for h in self._sample(self.running) if self._may_dial(self.now, s, h)), 2)
        )
        return min(candidates, key=lambda h: self.connections[h], default=-1)

    def _shed_load(self, *unused: Any) -> None:
        pass

    def _probe(self, now: float, h: int) -> bool:
        return False


class LeastLoaded(Node):
    """Picks the host with the lowest load at its last probe out of all; never moves sessions."""

    def _choose_host(self, s: SessionState) -> Generator[list[Probe], None, int]:
        yield from ()
        eligible = [h for h in self.running if self._may_dial(self.now, s, h)]
        return min(
            eligible, key=lambda h: (self._recent_load(self.now, h) or 0.0, self.connections[h]), default=-1
        )

    def _tick(self, now: float) -> None:
        super()._tick(now)
        for h in self.running:
            if self._is_stale(h):
                self._probe(now, h)

    def _shed_load(self, *unused: Any) -> None:
        pass


POLICIES = {"module": Node, "two-by-count": TwoByCount, "least-loaded": LeastLoaded}
