"""What a node's decisions tell the fleet and take from it: numbers and priors, never leave to send."""

from __future__ import annotations

import math
from typing import NamedTuple

from .decide import FIGURE_LIFE, FRESH, FULL_LOAD, ILL, SETTLE, TRIGGER, Node
from .model import Action, HostState
from .quotas import ROOM_BUDGET

SHORT_SPAN = 250.0  # a node is short for so long after a session found no host or no room
KEPT = 0.5  # of what it saves a node lends the rest


class HostObservation(NamedTuple):
    """What the node has seen of a host: whether it answers, and when."""

    host: int
    well: bool
    seen: float


class FleetState:
    """One node's decisions, as the part that speaks with other nodes sees them. Pots as in quotas.py."""

    def __init__(self, node: Node) -> None:
        self.node = node

    # ---- told to others

    def dialled(self) -> int:
        """Dials since the node started; grows only."""
        return sum(self.node.sent.values())

    def ended(self) -> int:
        """Of these the ones that have ended, with the streams that came of them."""
        return max(self.dialled() - sum(self.node.held), 0)

    def sent_cold(self) -> list[tuple[int, float, int]]:
        """Cold hosts, their starts as the roster tells them, the dials since; grows only for one start."""
        n = self.node
        return [
            (h, n.roster_start[h], n.sent[h, n.roster_start[h]])
            for h in n.cold
            if (h, n.roster_start[h]) in n.sent
        ]

    def wants(self, now: float) -> list[tuple[int, float]]:
        """Pots in which the node is short, and the load that it would take there."""
        n = self.node
        if now - n.short_at > SHORT_SPAN:
            return []
        short = [(ROOM_BUDGET, n.part)] if n.rights.have(now, ROOM_BUDGET) <= 0 and n.part < math.inf else []
        return short + [(h + 1, n.each) for h in n.cold if n.rights.have(now, h + 1) < n.each]

    def figures(self, now: float) -> list[tuple[int, float, float]]:
        """The node's own looks: host, load over capacity, seen at."""
        n = self.node
        return [
            (h, n.figure[h], n.figure_at[h]) for h in n.known
            if n.figure[h] is not None and now - n.figure_at[h] < FIGURE_LIFE
            and n.state[h] is HostState.RUNNING
        ]  # fmt: skip

    def overfull(self, now: float, since: float) -> list[tuple[int, float, float]]:
        """The node's own looks after that time which show a host past full load."""
        return [row for row in self.figures(now) if row[1] > FULL_LOAD and row[2] > since]

    def words(self, now: float) -> list[HostObservation]:
        """Hosts that do not answer this node, and those that have."""
        n = self.node
        ill = [
            HostObservation(h, False, now)
            for h in n.ailing
            if n.ill[h] >= ILL and n.state[h] is HostState.RUNNING
        ]
        return ill + [
            HostObservation(h, True, n.seen_at[h]) for h, _, _ in self.figures(now) if n.ill[h] < ILL
        ]

    def ill_everywhere(self, part: float) -> bool:
        """Whether so large a part of the hosts that the node knows of looks ill: then it is rather itself."""
        n = self.node
        seen = n.known.keys() | n.ailing.keys()
        return len(n.ailing) > part * len(seen)

    # ---- rights

    def lend(self, now: float, budget: int, most: float) -> float:
        """Gives away up to a half of what is saved; the node has it no more."""
        n, cap = self.node, self.node.part
        if budget != ROOM_BUDGET:
            if budget - 1 not in n.cold:
                return 0.0
            rate = n.part_of_cold(now, budget - 1)
            cap = rate * n.set.fall_span
            # Danger: a lot that was won is a whole session's, more than is ever saved; it is in use.
            if n.rights.saved[budget] <= cap:
                n.mint_cold(now, budget - 1, cap)
        saved = n.rights.saved[budget]
        return n.rights.lend(budget, min(most, saved * (1 - KEPT))) if saved <= cap < math.inf else 0.0

    def borrow(self, now: float, budget: int, amount: float, until: float) -> None:
        n = self.node
        if n.part < math.inf if budget == ROOM_BUDGET else budget - 1 in n.cold:
            n.rights.borrow(now, budget, amount, until)

    def told_full(self, now: float, h: int, figure: float) -> list[Action]:
        """Other nodes' looks show the host past full load: this node's share of the excess goes."""
        n = self.node
        if n.state[h] is HostState.RUNNING:
            n._relieve(now, h, figure + n._pile(now, h), TRIGGER, True, SETTLE)
        return n._done()

    # ---- priors

    def told(self, now: float, h: int, figure: float, seen: float) -> None:
        """Another node's look: says whether the host is worth one of the own, which then decides."""
        n = self.node
        if seen > n.prior_at[h]:
            n.prior[h], n.prior_at[h] = figure, min(seen, now)

    def told_lost(self, now: float, h: int, until: float) -> None:
        """Enough others found the host lost: as if the own look had failed, unless it has just answered."""
        n = self.node
        if n.state[h] is HostState.RUNNING and now - n.seen_at[h] > FRESH:
            n.unseen[h] = max(n.unseen[h], min(until, now + FRESH * (0.75 + n.chance() / 2)))

    def others_send(self, alike: float | None) -> None:
        """So many nodes like this one would send what all do together; None where that is not known."""
        n = self.node
        n.fleet = n.set.nodes if alike is None else min(max(alike, 1.0), float(n.set.nodes))
