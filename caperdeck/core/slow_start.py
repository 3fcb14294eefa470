"""Slots: what a node may send a cold host is open to it one by one, in its turn among all nodes.

Loads are milliseconds of work a second, times are float milliseconds.
"""

from __future__ import annotations

import math
from abc import abstractmethod

from .host_table import HostTable
from .model import SessionState
from .warmup import mean_share, warm_time

COLD_PART = 0.75  # of a cold host's budget, for all nodes' parts together
LOOK_AGAIN = 0.5  # of the time in which a slot opens at the soonest; what it takes may change meanwhile


class ColdSlots(HostTable):
    """The own part of the budgets of cold hosts. The base of Node, which says what sessions weigh."""

    @abstractmethod
    def chance(self) -> float:
        """A random number from 0 to under 1."""

    @abstractmethod
    def _forecast(self, now: float, s: SessionState) -> float:
        """The load that the session is expected to bring."""

    @abstractmethod
    def _fills(self, h: int) -> float:
        """The load that fills a host once it is warm."""

    def _cold_rate(self, now: float, h: int) -> float:
        """Of what fills a cold host, so much all nodes together send it in a millisecond."""
        return self._warmth(now, h) * self._warm_rate()

    def _warm_rate(self) -> float:
        """The same at the end of its warm-up, when it grows no more."""
        # a cold host takes new load no faster than would fill it over its warm-up
        return COLD_PART * self.set.fall_multiple / self.set.warm_after

    def _slot(self, now: float, h: int) -> float:
        """The load of one slot: what the node may send a cold host is open to it one by one, in its turn."""
        # Danger: drawn by each node for itself, what all of them send in a second scatters by its root, and
        # pushes one host in twenty over. Spread over the fleet by number, and taken up anew from the common
        # clock by a process that starts, the slots of all nodes together come due one after the other.
        slot, budget, warm_part = self._mean_load(), h + 1, self.part_of_warm(h)
        if not slot:
            return math.inf
        if not self.in_turn[h]:
            grown = warm_time(now - self.started_at[h], self.set.cold_from, self.set.warm_after)
            turn = warm_part * grown / slot + self.set.me / self.set.nodes
            self.rights.settle(now, budget, (turn + self.stable_id[h] / 2**32) % 1 * slot)
            self.in_turn[h] = True
        self.mint_cold(now, h)
        # Danger: kept open for long, slots that lay idle are used at once when clients come in a wave. Those
        # of this time and of the rule's span are the budget and most of what is put down to chance.
        rate = warm_part * self._warmth(now, h)
        calls = rate * self.set.nodes * self.set.fall_span / COLD_PART / slot
        lasts = ((1 + 1.5 * (calls**-0.5 + 1 / calls)) / COLD_PART - 1) * self.set.fall_span
        self.rights.lapse(budget, slot, slot + rate * lasts)
        return slot

    def mint_cold(self, now: float, h: int, most: float = math.inf) -> None:
        """The own part of a cold host's budget grows up to now, however long ago that was last worked out."""
        span = now - self.rights.at[h + 1]
        if span > 0:
            share = mean_share(now - self.started_at[h], span, self.set.cold_from, self.set.warm_after)
            self.rights.mint(now, h + 1, self.part_of_warm(h) * share, most)

    def _lots(self, now: float, s: SessionState) -> list[int]:
        """The cold hosts with a slot that is open to the session."""
        if self.slots_elsewhere:
            return []
        idle_until = self.rights.idle_until
        return [h for h in self.cold if idle_until[h + 1] <= now and self._lot(now, s, h)]

    def _lot(self, now: float, s: SessionState, h: int) -> bool:
        """Whether a slot at a cold host is open to the session."""
        slot = self._slot(now, h)
        if (lacking := slot - self.rights.have(now, h + 1)) > 0:
            # Danger: worked out for each of thousands of cold hosts and each session, slots use a whole core.
            if lacking < math.inf:
                soonest = lacking / (self.part_of_warm(h) or math.inf)
                self.rights.idle_until[h + 1] = now + LOOK_AGAIN * soonest
            return False
        price = self._price(now, s)
        if price <= slot or self.chance() * price < slot:
            return True
        # what is heavier draws, and has used the slot either way
        self.rights.spend(now, h + 1, slot)
        return False

    def part_of_cold(self, now: float, h: int) -> float:
        """The own part, in load a millisecond, of what all nodes together send a cold host."""
        return self._warmth(now, h) * self.part_of_warm(h)

    def part_of_warm(self, h: int) -> float:
        """The same at the end of its warm-up."""
        fill = self._fills(h) or self.mean_hint * self.set.warm_after / self.set.fall_span
        return self._warm_rate() * fill / self.set.nodes

    def _mean_load(self) -> float:
        """Of a connection: of those that stand, or of those that asked while none is known."""
        return self.each or self.mean_hint

    def _price(self, now: float, s: SessionState) -> float:
        # Danger: at the mean's price heavy sessions come by chance in one second, and a host is pushed over;
        # and clients that are refused ask again and again, heavy ones most, and double the mean of all.
        return max(self._forecast(now, s), self._mean_load())

    def _open(self, now: float, s: SessionState, h: int) -> bool:
        slot = self._mean_load()
        if self._warmth(now, h) >= 1:
            return True
        return not self.slots_elsewhere and h in s.lots and self.rights.have(now, h + 1) >= slot

    def _pay(self, now: float, s: SessionState, h: int) -> bool:
        """At the gate: what goes to a cold host takes a slot that is open to it."""
        if not self._open(now, s, h):
            return False
        if self._warmth(now, h) < 1:
            self.rights.spend(now, h + 1, self._mean_load())
        return True

    # ---- two processes of one node

    def hand_over_slots(self, now: float) -> dict[int, float]:
        """Another process of this node sends to the cold hosts from now on: what it goes on with, by host."""
        # Danger: the slots are the node's; two processes that use them at once use them twice.
        self.slots_elsewhere = True
        for h in self.cold:
            self._slot(now, h)
        return {h: self.rights.saved[h + 1] for h in self.cold if self.in_turn[h]}

    def take_over_slots(self, now: float, slots: dict[int, float]) -> None:
        """The same at that process."""
        for h, saved in slots.items():
            self.rights.settle(now, h + 1, saved)
            self.in_turn[h] = True

    def take_slots_back(self) -> None:
        """That process has ended; the slots are taken up anew, as at a start."""
        self.slots_elsewhere = False
        for h in self.cold:
            self.in_turn[h] = False
            self.rights.look_again(h + 1)
