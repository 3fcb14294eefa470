"""Measures how late a process of the run is, by a heartbeat that is due every 20 ms."""

from __future__ import annotations

import msgspec

HEARTBEAT_INTERVAL_S = 0.02


class LatenessStats(msgspec.Struct):
    """Lateness of one process since its monitor was reset."""

    worst_ms: float = 0.0
    late_s: float = 0.0  # sum over heartbeats later than the scenario allows
    seconds: float = 0.0  # observed time

    @property
    def share(self) -> float:
        """Share of the observed time that the process was late."""
        return self.late_s / self.seconds if self.seconds else 0.0


class HeartbeatMonitor:
    """Records heartbeats; one that is more than `late_after_ms` behind counts as late."""

    def __init__(self, late_after_ms: float) -> None:
        self.late_after_ms = late_after_ms
        self.reset(0.0)

    def reset(self, now: float) -> None:
        """Starts new statistics at `now`, in seconds."""
        self.stats, self.last_beat_at = LatenessStats(), now

    def record_beat(self, now: float) -> None:
        """Adds the time since the last heartbeat and its lateness to the statistics."""
        behind = max(now - self.last_beat_at - HEARTBEAT_INTERVAL_S, 0.0)
        self.stats.seconds += now - self.last_beat_at
        self.stats.worst_ms = max(self.stats.worst_ms, behind * 1000.0)
        if behind * 1000.0 > self.late_after_ms:
            self.stats.late_s += behind
        self.last_beat_at = now
