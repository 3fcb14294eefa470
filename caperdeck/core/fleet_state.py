"""What a node exchanges with the others: counts, load reports and quotas, but never permission to dial."""

from __future__ import annotations

import math
from typing import NamedTuple

from .decide import (
    EJECTION_SCORE, FRESH_MS, FULL_LOAD, REPORT_LIFE_MS, SHED_INTERVAL_MS, SHED_THRESHOLD, Node,
)  # fmt: skip
from .model import Action, HostState
from .quotas import HEADROOM_BUDGET

SHORTAGE_MS = 250.0  # how long a node counts as short of quota after a session found no host or no headroom
KEPT_SHARE = 0.5  # share of its saved quota that a node keeps when it lends


class HostObservation(NamedTuple):
    """Whether a host answers this node, and when that was observed."""

    host: int
    reachable: bool
    observed_at: float


class FleetState:
    """One node's decisions as seen by the exchange with other nodes. Budgets are numbered as in quotas.py."""

    def __init__(self, node: Node) -> None:
        self.node = node

    # ---- reported to other nodes

    def dials_started(self) -> int:
        """Dials since the node started; never decreases."""
        return sum(self.node.dial_counts.values())

    def dials_ended(self) -> int:
        """Those of them that have ended, together with the sessions established by them."""
        return max(self.dials_started() - sum(self.node.connections), 0)

    def cold_host_dials(self) -> list[tuple[int, float, int]]:
        """Cold hosts, their starts per the roster, and the dials since; never decreases for one start."""
        node = self.node
        return [
            (host, node.roster_start[host], node.dial_counts[host, node.roster_start[host]])
            for host in node.cold
            if (host, node.roster_start[host]) in node.dial_counts
        ]

    def wanted_quota(self, now: float) -> list[tuple[int, float]]:
        """Budgets in which the node is short of quota, and the amount that it would borrow."""
        node = self.node
        if now - node.no_headroom_at > SHORTAGE_MS:
            return []
        short = (
            [(HEADROOM_BUDGET, node.headroom_share)]
            if node.quotas.available(now, HEADROOM_BUDGET) <= 0 and node.headroom_share < math.inf
            else []
        )
        return short + [
            (host + 1, node.mean_session_load)
            for host in node.cold
            if node.quotas.available(now, host + 1) < node.mean_session_load
        ]

    def load_reports(self, now: float) -> list[tuple[int, float, float]]:
        """The node's own probe results: host, load over capacity, time of the report."""
        node = self.node
        return [
            (host, node.reported_load[host], node.reported_at[host]) for host in node.reported
            if node.reported_load[host] is not None and now - node.reported_at[host] < REPORT_LIFE_MS
            and node.state[host] is HostState.RUNNING
        ]  # fmt: skip

    def overloaded_hosts(self, now: float, since: float) -> list[tuple[int, float, float]]:
        """The node's own probe results after `since` that show a host over full load."""
        return [row for row in self.load_reports(now) if row[1] > FULL_LOAD and row[2] > since]

    def host_observations(self, now: float) -> list[HostObservation]:
        """Hosts that do not answer this node, and those that have answered it."""
        node = self.node
        failing = [
            HostObservation(host, False, now)
            for host in node.failing
            if node.failure_score[host] >= EJECTION_SCORE and node.state[host] is HostState.RUNNING
        ]
        return failing + [
            HostObservation(host, True, node.probed_at[host])
            for host, _, _ in self.load_reports(now)
            if node.failure_score[host] < EJECTION_SCORE
        ]

    def sees_most_failing(self, share: float) -> bool:
        """Whether more than this share of the known hosts fail, so that the node itself is suspect."""
        node = self.node
        observed = node.reported.keys() | node.failing.keys()
        return len(node.failing) > share * len(observed)

    # ---- quotas

    def lend(self, now: float, budget: int, limit: float) -> float:
        """Gives up at most half of the saved quota of a budget, for another node to use."""
        node, cap = self.node, self.node.headroom_share
        if budget != HEADROOM_BUDGET:
            if budget - 1 not in node.cold:
                return 0.0
            rate = node.cold_host_share(now, budget - 1)
            cap = rate * node.settings.fall_span
            # A balance over the cap is a slot won for a whole session; it is in use and must not be cut.
            if node.quotas.saved[budget] <= cap:
                node.accrue_cold(now, budget - 1, cap)
        saved = node.quotas.saved[budget]
        return (
            node.quotas.lend(budget, min(limit, saved * (1 - KEPT_SHARE))) if saved <= cap < math.inf else 0.0
        )

    def borrow(self, now: float, budget: int, amount: float, until: float) -> None:
        """Takes a loan from another node, unless the budget does not apply here any more."""
        node = self.node
        if node.headroom_share < math.inf if budget == HEADROOM_BUDGET else budget - 1 in node.cold:
            node.quotas.borrow(now, budget, amount, until)

    def relieve_overloaded_host(self, now: float, host: int, load_ratio: float) -> list[Action]:
        """Moves this node's share of the excess off a host that other nodes saw over full load."""
        node = self.node
        if node.state[host] is HostState.RUNNING:
            node._shed_load(
                now, host, load_ratio + node._backlog_load(now, host), SHED_THRESHOLD, True, SHED_INTERVAL_MS
            )
        return node._take_actions()

    # ---- load and reachability as other nodes report them

    def take_peer_load(self, now: float, host: int, load_ratio: float, reported_at: float) -> None:
        """Records another node's probe result, which only tells whether a probe by this node is worth it."""
        node = self.node
        if reported_at > node.peer_load_at[host]:
            node.peer_load[host], node.peer_load_at[host] = load_ratio, min(reported_at, now)

    def take_unreachable_report(self, now: float, host: int, until: float) -> None:
        """Treats the report of enough others as a failed probe, unless the host has just answered here."""
        node = self.node
        if node.state[host] is HostState.RUNNING and now - node.probed_at[host] > FRESH_MS:
            node.no_probe_until[host] = max(
                node.no_probe_until[host], min(until, now + FRESH_MS * (0.75 + node.chance() / 2))
            )

    def set_sender_count(self, senders: float | None) -> None:
        """How many nodes like this one would send as much as all nodes together do; None if unknown."""
        node = self.node
        node.senders = (
            node.settings.nodes if senders is None else min(max(senders, 1.0), float(node.settings.nodes))
        )
