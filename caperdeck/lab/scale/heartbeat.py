"""How late a process of the run is: a beat that is due every 20 ms."""

from __future__ import annotations

import msgspec

BEAT = 0.02  # seconds


class Late(msgspec.Struct):
    worst_ms: float = 0.0
    late_s: float = 0.0  # in beats later than the scenario allows
    seconds: float = 0.0

    @property
    def share(self) -> float:
        return self.late_s / self.seconds if self.seconds else 0.0


class Beats:
    """Is told the time at each beat; `beat_ms` is the lateness from which a beat counts."""

    def __init__(self, beat_ms: float) -> None:
        self.beat_ms = beat_ms
        self.zero(0.0)

    def zero(self, now: float) -> None:
        """Counts anew from that time, in seconds."""
        self.late, self.last = Late(), now

    def beat(self, now: float) -> None:
        behind = max(now - self.last - BEAT, 0.0)
        self.late.seconds += now - self.last
        self.late.worst_ms = max(self.late.worst_ms, behind * 1000.0)
        if behind * 1000.0 > self.beat_ms:
            self.late.late_s += behind
        self.last = now
