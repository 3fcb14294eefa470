"""The few settings that the network code reads itself, in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    connect_time_out: float
    probes: bool  # hosts may be probed
    reports: bool  # hosts answer STATS
    max_back_off: float  # 0 where clients are told none
    longest_wait: float  # of any client
    idle: float  # a standing connection without a line for so long is ended
    list_life: float  # of the list once its watch has ended; infinite where lists are not pushed
