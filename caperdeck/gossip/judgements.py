"""What the nodes say of hosts, and when enough of them say it to matter to one that has not seen it.

A judgement is one node's: a host, a kind, how long ago it was seen. It counts for SPAN from then on. A host
is held for lost here only while WITNESSES nodes say so, heard through INFORMANTS nodes, none of which sees
ill everywhere, more than say that the host has answered them, and for at most PART of the hosts. It never
takes a host out: it puts one's next look off, as a failed look of one's own does.
"""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple

VALIDITY_MS = 3000.0  # a judgement counts for so long from what it rests on
MIN_WITNESSES = 3
MIN_INFORMANTS = 2  # one node passes on what others say, and may say it wrongly of all of them
MAX_LOST_SHARE = 0.25  # of the listed hosts, at the most
FAILING_SHARE_LIMIT = 0.3  # of the hosts that a node has seen lately: past this its word counts for nothing
MAX_JUDGEMENTS = 512  # judgements kept
MAX_JUDGEMENTS_PER_MEMBER = 16


class HostCondition(IntEnum):
    HEALTHY = 0  # it has answered
    LOST = 1  # dials and looks do not come up, or fail
    FULL = 2  # it turns away


class Judgement(NamedTuple):
    host: int  # its mark
    condition: HostCondition
    member: int  # who says so
    age: float  # milliseconds, of what it rests on, when it was sent


class Judgements:
    def __init__(self) -> None:
        self.rows: dict[
            tuple[int, int], tuple[HostCondition, float, int]
        ] = {}  # by host, member: seen at, from whom
        self.unsound: dict[int, float] = {}  # members that see ill everywhere, and until when they do

    def record(self, now: float, judgement: Judgement, asked_at: float, informant: int) -> str | None:
        """A word in that node's answer to a question asked at that time, by this node's clock.

        Returns the reason if it is not taken.
        """
        # Danger: an age by another node's clock and a datagram minutes late; what was seen is dated back from
        # this node's own question, so it is never taken for newer than it can be.
        observed_at = asked_at - judgement.age
        if now - observed_at > VALIDITY_MS:
            return "old-judgement"
        key = judgement.host, judgement.member
        if key not in self.rows:
            if (
                sum(member == judgement.member for _, member in self.rows) >= MAX_JUDGEMENTS_PER_MEMBER
                or len(self.rows) >= MAX_JUDGEMENTS
            ):
                return "too-many-judgements"
        elif self.rows[key][1] >= observed_at:
            return None
        self.rows[key] = judgement.condition, observed_at, informant
        return None

    def mark_unsound(self, now: float, member: int) -> None:
        self.unsound[member] = now + VALIDITY_MS

    def expire(self, now: float) -> None:
        self.rows = {k: row for k, row in self.rows.items() if now - row[1] <= VALIDITY_MS}
        self.unsound = {m: until for m, until in self.unsound.items() if until > now}

    def lost_hosts(self, now: float, hosts: int) -> dict[int, float]:
        """Hosts held for lost by enough of the others, by mark, and until when; of `hosts` listed ones."""
        self.expire(now)
        lost_reports: dict[int, list[tuple[float, int]]] = {}
        healthy_counts: dict[int, int] = {}
        for (host, member), (condition, observed_at, informant) in self.rows.items():
            if member in self.unsound:
                continue
            if condition is HostCondition.LOST:
                lost_reports.setdefault(host, []).append((observed_at, informant))
            elif condition is HostCondition.HEALTHY:
                healthy_counts[host] = healthy_counts.get(host, 0) + 1
        found = []
        for host, reports in lost_reports.items():
            needed = max(MIN_WITNESSES, healthy_counts.get(host, 0) + 1)
            if len(reports) >= needed and len({informant for _, informant in reports}) >= MIN_INFORMANTS:
                # it ends when the last word without which there are not enough of them does
                found.append(
                    (-len(reports), host, sorted(reports, reverse=True)[needed - 1][0] + VALIDITY_MS)
                )
        limit = math.floor(MAX_LOST_SHARE * hosts)
        # Danger: a cut that many see would take most hosts out at once; past the part none of them counts.
        return {} if len(found) > limit else {host: until for _, host, until in sorted(found)}
