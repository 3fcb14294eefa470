"""Slow start: a node's share of what may be sent to cold hosts, as slots staggered over all nodes.

Session loads are milliseconds of work a second, times are float milliseconds.
"""

from __future__ import annotations

import math
from abc import abstractmethod

from .host_table import HostTable
from .model import SessionState
from .warmup import mean_share, warm_time

COLD_BUDGET_SHARE = 0.75  # share of a cold host's budget that all nodes together use
RECHECK_SHARE = 0.5  # part of the shortest time to the next slot until it is computed again, as rates change


class ColdSlots(HostTable):
    """This node's share of cold hosts' budgets. The base class of Node, which knows the sessions' loads."""

    @abstractmethod
    def chance(self) -> float:
        """A random number from 0 to under 1."""

    @abstractmethod
    def _forecast(self, now: float, session: SessionState) -> float:
        """The load that the session is expected to bring."""

    @abstractmethod
    def _warm_capacity(self, host: int) -> float:
        """The load that fills a host once it is warm."""

    def _cold_fill_rate(self, now: float, host: int) -> float:
        """The share of a cold host's warm capacity that all nodes together send it in a millisecond."""
        return self._warm_share(now, host) * self._warm_fill_rate()

    def _warm_fill_rate(self) -> float:
        """The same rate at the end of the warm-up, when it no longer grows."""
        # a cold host takes new load no faster than would fill it over its warm-up
        return COLD_BUDGET_SHARE * self.settings.fall_multiple / self.settings.warm_after

    def _slot_size(self, now: float, host: int) -> float:
        """Brings this node's slots at a cold host up to date; returns the load of one slot."""
        # If each node drew its moments at random, what all nodes send in a second would vary by its root, and
        # push one host in twenty over. As the slots are staggered over the fleet by node number, and taken up
        # from the common clock by a process that starts, those of all nodes come due one after the other.
        slot, budget, warm_rate = self._typical_session_load(), host + 1, self.warm_host_share(host)
        if not slot:
            return math.inf
        if not self.slots_started[host]:
            grown = warm_time(now - self.started_at[host], self.settings.cold_from, self.settings.warm_after)
            phase = warm_rate * grown / slot + self.settings.node_number / self.settings.nodes
            self.quotas.set_balance(now, budget, (phase + self.stable_id[host] / 2**32) % 1 * slot)
            self.slots_started[host] = True
        self.accrue_cold(now, host)
        # Slots left unused for long would all be used at once by a wave of clients. The slots kept are those
        # of this moment and of the span of the overload rule: the budget and most of its random variation.
        rate = warm_rate * self._warm_share(now, host)
        calls = rate * self.settings.nodes * self.settings.fall_span / COLD_BUDGET_SHARE / slot
        kept_span = ((1 + 1.5 * (calls**-0.5 + 1 / calls)) / COLD_BUDGET_SHARE - 1) * self.settings.fall_span
        self.quotas.expire(budget, slot, slot + rate * kept_span)
        return slot

    def accrue_cold(self, now: float, host: int, cap: float = math.inf) -> None:
        """Accrues this node's share of a cold host's budget since it was last accrued."""
        span = now - self.quotas.accrued_at[host + 1]
        if span > 0:
            share = mean_share(
                now - self.started_at[host], span, self.settings.cold_from, self.settings.warm_after
            )
            self.quotas.accrue(now, host + 1, self.warm_host_share(host) * share, cap)

    def _open_slots(self, now: float, session: SessionState) -> list[int]:
        """The cold hosts with a slot that is open to the session."""
        if self.slots_handed_over:
            return []
        idle_until = self.quotas.idle_until
        return [
            host
            for host in self.cold
            if idle_until[host + 1] <= now and self._slot_is_open(now, session, host)
        ]

    def _slot_is_open(self, now: float, session: SessionState, host: int) -> bool:
        """Whether a slot at a cold host is open to the session."""
        slot = self._slot_size(now, host)
        if (lacking := slot - self.quotas.available(now, host + 1)) > 0:
            # Computing the slots of thousands of cold hosts for each session would take a whole core.
            if lacking < math.inf:
                soonest = lacking / (self.warm_host_share(host) or math.inf)
                self.quotas.idle_until[host + 1] = now + RECHECK_SHARE * soonest
            return False
        price = self._slot_price(now, session)
        if price <= slot or self.chance() * price < slot:
            return True
        # a session heavier than the slot is admitted at random, and uses up the slot either way
        self.quotas.spend(now, host + 1, slot)
        return False

    def cold_host_share(self, now: float, host: int) -> float:
        """This node's share, in load a millisecond, of what all nodes together send to a cold host."""
        return self._warm_share(now, host) * self.warm_host_share(host)

    def warm_host_share(self, host: int) -> float:
        """The same share at the end of the warm-up."""
        fill = (
            self._warm_capacity(host) or self.mean_hint * self.settings.warm_after / self.settings.fall_span
        )
        return self._warm_fill_rate() * fill / self.settings.nodes

    def _typical_session_load(self) -> float:
        """The mean load of established sessions, or of requested ones while none is known."""
        return self.mean_session_load or self.mean_hint

    def _slot_price(self, now: float, session: SessionState) -> float:
        # If every session cost the mean, several heavy ones would sometimes come in one second and push a
        # host over. The mean of requests alone is too high: refused clients retry, heavy ones most of all,
        # and can double it.
        return max(self._forecast(now, session), self._typical_session_load())

    def _slot_available(self, now: float, session: SessionState, host: int) -> bool:
        """Whether the host is warm, or an open slot at it still has enough quota."""
        slot = self._typical_session_load()
        if self._warm_share(now, host) >= 1:
            return True
        return (
            not self.slots_handed_over
            and host in session.open_slots
            and self.quotas.available(now, host + 1) >= slot
        )

    def _take_slot(self, now: float, session: SessionState, host: int) -> bool:
        """Takes the slot for a dial to a cold host; False if none is available."""
        if not self._slot_available(now, session, host):
            return False
        if self._warm_share(now, host) < 1:
            self.quotas.spend(now, host + 1, self._typical_session_load())
        return True

    # ---- two processes of one node during an upgrade

    def hand_over_slots(self, now: float) -> dict[int, float]:
        """Leaves the slots to another process of this node; returns their balances by host."""
        # The slots belong to the node: two processes that use them at the same time would use them twice.
        self.slots_handed_over = True
        for host in self.cold:
            self._slot_size(now, host)
        return {host: self.quotas.saved[host + 1] for host in self.cold if self.slots_started[host]}

    def take_over_slots(self, now: float, slots: dict[int, float]) -> None:
        """Continues the slots of another process of this node from their balances."""
        for host, saved in slots.items():
            self.quotas.set_balance(now, host + 1, saved)
            self.slots_started[host] = True

    def take_slots_back(self) -> None:
        """Uses the slots again after the other process has ended; they are set up anew, as at a start."""
        self.slots_handed_over = False
        for host in self.cold:
            self.slots_started[host] = False
            self.quotas.clear_idle(host + 1)
