"""Judgements of hosts by the nodes, and when enough of them count for a node that has no observation of its
own.

A judgement is one node's: a host, its condition, the age of the observation. It is valid for VALIDITY_MS. A
host counts as lost only while MIN_WITNESSES nodes say so, reported by MIN_INFORMANTS nodes, and more than
report it healthy; nodes that see most hosts failing do not count. At most MAX_LOST_SHARE of the hosts can be
lost. A lost host is not ejected: its next probe is postponed, as after a failed probe by this node.
"""

from __future__ import annotations

import math
from enum import IntEnum
from typing import NamedTuple

VALIDITY_MS = 3000.0  # from the time of the observation
MIN_WITNESSES = 3
MIN_INFORMANTS = 2  # a single node could misreport what all others say
MAX_LOST_SHARE = 0.25  # of the listed hosts
FAILING_SHARE_LIMIT = 0.3  # share of recently observed hosts above which a node's judgements do not count
MAX_JUDGEMENTS = 512
MAX_JUDGEMENTS_PER_MEMBER = 16


class HostCondition(IntEnum):
    """Condition of a host as judged by a node; the values are part of the wire format."""

    HEALTHY = 0  # it has answered
    LOST = 1  # dials and probes fail or time out
    FULL = 2  # it refuses sessions


class Judgement(NamedTuple):
    """One node's observation of a host."""

    host: int  # stable id
    condition: HostCondition
    member: int  # the observer
    age: float  # age of the observation in milliseconds, when it was sent


class Judgements:
    """Judgements of all nodes, including relayed ones."""

    def __init__(self) -> None:
        # by host and observer: condition, time of observation, informant
        self.rows: dict[tuple[int, int], tuple[HostCondition, float, int]] = {}
        # members that see most hosts failing, and until when they do not count
        self.unsound: dict[int, float] = {}

    def record(self, now: float, judgement: Judgement, asked_at: float, informant: int) -> str | None:
        """Records a judgement that was part of the answer to a request of this node.

        `asked_at` is the time of the request by this node's clock, `informant` the node that answered.
        Returns the reason if the judgement is rejected.
        """
        # The age is by another node's clock, and the datagram may be minutes late. The observation is
        # therefore dated back from this node's request, so it never appears newer than it can be.
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
        """Ignores the judgements of a member that sees most hosts failing, for VALIDITY_MS."""
        self.unsound[member] = now + VALIDITY_MS

    def expire(self, now: float) -> None:
        """Drops judgements that are no longer valid."""
        self.rows = {k: row for k, row in self.rows.items() if now - row[1] <= VALIDITY_MS}
        self.unsound = {m: until for m, until in self.unsound.items() if until > now}

    def lost_hosts(self, now: float, hosts: int) -> dict[int, float]:
        """Returns the hosts that count as lost, by stable id, and until when; `hosts` is the number of listed
        hosts.
        """
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
                # the loss lasts until too few of these reports are valid
                found.append(
                    (-len(reports), host, sorted(reports, reverse=True)[needed - 1][0] + VALIDITY_MS)
                )
        limit = math.floor(MAX_LOST_SHARE * hosts)
        # A partition seen by many nodes would take out most hosts at once; above the limit no loss counts.
        return {} if len(found) > limit else {host: until for _, host, until in sorted(found)}
