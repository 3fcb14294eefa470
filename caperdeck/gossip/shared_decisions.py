"""Translates between this node's host indices and the stable ids of hosts that all nodes share."""

from __future__ import annotations

import zlib
from collections.abc import Callable

from caperdeck.core.facade import Event, HostOverloaded
from caperdeck.core.fleet_state import FleetState
from caperdeck.core.quotas import HEADROOM_BUDGET

from .judgements import FAILING_SHARE_LIMIT, HostCondition
from .sharing import DIALS_ENDED, DIALS_STARTED, SHARED_HEADROOM_BUDGET, LocalObservations, SharingFeatures


def cold_host_budget(stable_id: int, started_at: float) -> int:
    """Returns the id of the budget for sessions to one start of a host."""
    return max(zlib.crc32(int(started_at).to_bytes(8, "big", signed=True), stable_id), DIALS_ENDED + 1)


class SharedIdDecisions:
    """Implements `Decisions` on the fleet state of this node."""

    def __init__(
        self, fleet_state: FleetState, features: SharingFeatures, report: Callable[[Event], None]
    ) -> None:
        self.fleet_state, self.features, self.report = fleet_state, features, report
        self.index: dict[int, int] = {}  # by stable id
        self.indexed_ids: list[int] = []  # the ids that the index was built from

    def _host(self, stable_id: int) -> int | None:
        """Returns the host's index, or None for a host that is not on this node's list."""
        stable_ids = self.fleet_state.node.stable_id
        if stable_ids != self.indexed_ids:
            self.indexed_ids = list(stable_ids)
            # Two hosts with the same id could not be distinguished, so neither is shared.
            duplicates = {m for i, m in enumerate(stable_ids) if stable_ids.index(m) != i}
            self.index = {m: i for i, m in enumerate(stable_ids) if m not in duplicates}
        return self.index.get(stable_id)

    def _budget(self, shared_budget: int) -> int | None:
        if shared_budget == SHARED_HEADROOM_BUDGET:
            return HEADROOM_BUDGET
        host = self._host(shared_budget)
        return None if host is None else host + 1

    def observations(self, now: float) -> LocalObservations:
        node, features, stable_id = self.fleet_state.node, self.features, self.fleet_state.node.stable_id
        host_observations = self.fleet_state.host_observations(now) if features.lost else []
        return LocalObservations(
            self.counters() if features.weight else [],
            [(stable_id[host], load, at) for host, load, at in self.fleet_state.load_reports(now)]
            if features.prior
            else [],
            [
                (
                    stable_id[observation.host],
                    HostCondition.HEALTHY if observation.reachable else HostCondition.LOST,
                    observation.observed_at,
                )
                for observation in host_observations
            ],
            features.lost and self.fleet_state.sees_most_failing(FAILING_SHARE_LIMIT),
            len(node.running),
        )

    def wanted_quota(self, now: float) -> list[tuple[int, float]]:
        stable_id = self.fleet_state.node.stable_id
        return [
            (SHARED_HEADROOM_BUDGET if budget == HEADROOM_BUDGET else stable_id[budget - 1], amount)
            for budget, amount in self.fleet_state.wanted_quota(now)
        ]

    def counters(self) -> list[tuple[int, int]]:
        state, stable_id = self.fleet_state, self.fleet_state.node.stable_id
        # counted per start of a host, which all nodes know by the same stable id and start time
        cold = [
            (cold_host_budget(stable_id[host], started_at), count)
            for host, started_at, count in state.cold_host_dials()
        ]
        return [(DIALS_STARTED, state.dials_started()), (DIALS_ENDED, state.dials_ended()), *cold]

    def lend(self, now: float, budget: int, limit: float) -> float:
        local_budget = self._budget(budget)
        return 0.0 if local_budget is None else self.fleet_state.lend(now, local_budget, limit)

    def borrow(self, now: float, budget: int, amount: float, until: float) -> None:
        if (local_budget := self._budget(budget)) is not None:
            self.fleet_state.borrow(now, local_budget, amount, until)

    def take_peer_load(self, now: float, host: int, load_ratio: float, observed_at: float) -> None:
        if (index := self._host(host)) is not None:
            self.fleet_state.take_peer_load(now, index, load_ratio, observed_at)

    def take_unreachable_report(self, now: float, host: int, until: float) -> None:
        if (index := self._host(host)) is not None:
            self.fleet_state.take_unreachable_report(now, index, until)

    def overloaded_hosts(self, now: float, since: float) -> list[tuple[int, float, float]]:
        stable_id = self.fleet_state.node.stable_id
        return [
            (stable_id[host], load, at) for host, load, at in self.fleet_state.overloaded_hosts(now, since)
        ]

    def relieve_overloaded_host(self, now: float, host: int, load_ratio: float) -> None:
        if (index := self._host(host)) is not None:
            self.report(HostOverloaded(index, load_ratio))

    def set_sender_count(self, senders: float | None) -> None:
        self.fleet_state.set_sender_count(senders)
