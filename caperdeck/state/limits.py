"""The settings that the network code reads itself; durations are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Limits:
    connect_timeout: float
    may_probe: bool  # hosts may be probed
    hosts_report_load: bool  # hosts answer STATS
    max_back_off: float  # 0 if refused clients are told no back-off
    max_client_wait: float  # the longest time that a client of any class waits for an answer
    idle_timeout: float  # an established session without a line from its client for so long is ended
    list_lifetime: (
        float  # how long the host list is used once its watch has ended; inf if lists are not pushed
    )
