"""Simulates the sharing of state between nodes, without the rest of a node, on a network with faults.

Time is virtual. Nodes spend a budget of quota at random times, and the amount that all of them spent in any
window can be compared with the bound of docs/ledger-design.md.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field

from caperdeck.core.quotas import Quotas
from caperdeck.gossip.quota_transfers import TRANSFER_VALIDITY_MS
from caperdeck.gossip.sharing import Sharing, LocalObservations, SharingFeatures

from .events import EventQueue

ALL_FEATURES = SharingFeatures(*[True] * len(SharingFeatures._fields))
# Units of quota that a node accrues in a millisecond; it saves at most what it accrues in the savings span.
ACCRUAL_RATE, SAVINGS_SPAN_MS = 1.0, 500.0


@dataclass
class StubDecisions:
    """Decisions with one budget of quota, which keep what the other nodes reported."""

    quotas: Quotas = field(default_factory=Quotas)
    needs_quota: bool = False
    dials: int = 0
    conditions: list = field(default_factory=list)
    loads: list = field(default_factory=list)
    unreachable_until: dict = field(default_factory=dict)
    peer_loads: dict = field(default_factory=dict)
    sender_count: float | None = None
    majority_failing: bool = False
    relief_calls: list = field(default_factory=list)

    def observations(self, now: float) -> LocalObservations:
        return LocalObservations([(0, self.dials)], self.loads, self.conditions, self.majority_failing, 20)

    def wanted_quota(self, now: float) -> list[tuple[int, float]]:
        return [(0, SAVINGS_SPAN_MS * ACCRUAL_RATE)] if self.needs_quota else []

    def accrue(self, now: float) -> float:
        return self.quotas.accrue(now, 0, ACCRUAL_RATE, ACCRUAL_RATE * SAVINGS_SPAN_MS)

    def lend(self, now: float, budget: int, limit: float) -> float:
        self.accrue(now)
        return self.quotas.lend(budget, limit)

    def borrow(self, now: float, budget: int, amount: float, until: float) -> None:
        self.quotas.borrow(now, budget, amount, until)

    def take_peer_load(self, now: float, host: int, load_ratio: float, observed_at: float) -> None:
        self.peer_loads[host] = load_ratio, observed_at

    def take_unreachable_report(self, now: float, host: int, until: float) -> None:
        self.unreachable_until[host] = until

    def overloaded_hosts(self, now: float, since: float) -> list[tuple[int, float, float]]:
        return [row for row in self.loads if row[2] > since]

    def relieve_overloaded_host(self, now: float, host: int, load_ratio: float) -> None:
        self.relief_calls.append((now, host, load_ratio))

    def set_sender_count(self, senders: float | None) -> None:
        self.sender_count = senders


class SharingNetwork(EventQueue):
    """The members, by number, and the network between them.

    `loss` and `duplication` are probabilities; `delay_ms` is the shortest and the longest delay.
    `is_cut(a, b)` says whether datagrams from a to b are lost.
    """

    def __init__(
        self, members: int, seed: int = 1, features: SharingFeatures = ALL_FEATURES, loss: float = 0.0,
        duplication: float = 0.0, delay_ms: tuple[float, float] = (0.2, 5.0),
        clock_rates: list[float] | None = None,
    ) -> None:  # fmt: skip
        super().__init__()
        self.random = random.Random(seed)
        self.members, self.seed, self.features = members, seed, features
        self.loss, self.duplication, self.delay_ms = loss, duplication, delay_ms
        self.clock_rates = clock_rates or [1.0] * members
        self.is_cut = lambda a, b: False
        self.nodes, self.stubs, self.lives = [None] * members, [None] * members, [0] * members
        self.suspended, self.inbox = set(), {}
        self.bytes_sent, self.datagrams_sent = [0] * members, [0] * members
        self.longest_datagram = 0
        for i in range(members):
            self.start(i)

    def clock(self, i: int) -> float:
        """Time of a member's own clock, in milliseconds."""
        return 1e6 + self.now * self.clock_rates[i]

    def start(self, i: int) -> None:
        """Starts a new life of a member."""
        self.lives[i] += 1
        stub = self.stubs[i] = StubDecisions()
        stub.quotas.add_budget(self.clock(i), 0)
        seed = self.seed * 1009 + i * 31 + self.lives[i]
        self.nodes[i] = Sharing(
            stub, i, self.members, 100 + self.lives[i], seed, self.clock(i), self.features
        )
        self.call_later(0.0, self.tick, i, self.lives[i])

    def kill(self, i: int) -> None:
        self.nodes[i] = None

    def suspend(self, i: int) -> None:
        self.suspended.add(i)
        self.inbox[i] = []

    def resume(self, i: int) -> None:
        self.suspended.discard(i)
        for data, sender in self.inbox.pop(i):
            self.deliver(i, data, sender)
        self.tick(i, self.lives[i])

    def tick(self, i: int, life: int) -> None:
        node = self.nodes[i]
        if node is None or life != self.lives[i] or i in self.suspended:
            return
        self.send(i, node.tick(self.clock(i)))
        self.call_later(max((node.due - self.clock(i)) / self.clock_rates[i], 1.0), self.tick, i, life)

    def send(self, i: int, sends: list[tuple[int, bytes]]) -> None:
        """Sends datagrams of a member; a negative receiver stands for all other members."""
        others = [j for j in range(self.members) if j != i]
        addressed = [(j, data) for receiver, data in sends for j in ([receiver] if receiver >= 0 else others)]
        for receiver, data in addressed:
            self.bytes_sent[i] += len(data)
            self.datagrams_sent[i] += 1
            self.longest_datagram = max(self.longest_datagram, len(data))
            if self.is_cut(i, receiver) or self.random.random() < self.loss:
                continue
            for _ in range(1 + (self.random.random() < self.duplication)):
                self.call_later(self.random.uniform(*self.delay_ms), self.deliver, receiver, data, i)

    def deliver(self, i: int, data: bytes, sender: int) -> None:
        if i in self.suspended:
            self.inbox[i].append((data, sender))
        elif self.nodes[i] is not None:
            self.send(i, self.nodes[i].receive_datagram(self.clock(i), data, sender))


class Spending:
    """Lets nodes spend all their quota at random times, and keeps when they spent how much."""

    def __init__(self, net: SharingNetwork, mean_interval_ms: float = 80.0) -> None:
        self.net, self.mean_interval_ms, self.spent, self.borrowed = net, mean_interval_ms, [], 0.0
        self.rng = random.Random(net.seed)
        for i in range(net.members):
            net.call_later(self.rng.uniform(0, mean_interval_ms), self.spend, i)

    def spend(self, i: int) -> None:
        net = self.net
        net.call_later(self.rng.uniform(0, 2 * self.mean_interval_ms), self.spend, i)
        if net.nodes[i] is None or i in net.suspended:
            return
        stub, now = net.stubs[i], net.clock(i)
        amount = stub.accrue(now)
        self.borrowed += stub.quotas.borrowed(now, 0)
        stub.quotas.spend(now, 0, amount)
        stub.needs_quota = self.rng.random() < 0.7
        self.spent.append((net.now, amount))

    def max_spent_in(self, window_ms: float) -> float:
        """Highest amount that all nodes together spent in any window of that length."""
        highest = total = 0.0
        first = 0
        for at, amount in self.spent:
            total += amount
            while self.spent[first][0] < at - window_ms:
                total -= self.spent[first][1]
                first += 1
            highest = max(highest, total)
        return highest


def inject_faults(net: SharingNetwork, rng: random.Random, duration_ms: float) -> None:
    """Kills and suspends nodes and cuts links at random times for `duration_ms`."""
    until = net.now + duration_ms
    while net.now < until:
        i = rng.randrange(net.members)
        action = rng.choice(("kill", "suspend", "cut", "heal", "cut-half"))
        if action == "kill" and i not in net.suspended:
            net.kill(i)
            net.call_later(rng.uniform(100, 3000), lambda i=i: net.nodes[i] is None and net.start(i))
        elif action == "suspend" and net.nodes[i] is not None and i not in net.suspended:
            net.suspend(i)
            net.call_later(rng.uniform(50, 5000), lambda i=i: i in net.suspended and net.resume(i))
        elif action == "cut":
            group_count, one_way = rng.choice((2, 3, net.members)), rng.random() < 0.5
            net.is_cut = lambda a, b, p=group_count, w=one_way: a % p != b % p and (not w or a < b)
        elif action == "cut-half":
            dead_links = {
                (a, b) for a, b in itertools.permutations(range(net.members), 2) if rng.random() < 0.5
            }
            net.is_cut = lambda a, b, d=dead_links: (a, b) in d
        else:
            net.is_cut = lambda a, b: False
        net.run(rng.uniform(50, 700))


def spending_bound(net: SharingNetwork, window_ms: float) -> float:
    """The bound of docs/ledger-design.md on what all nodes may spend in a window.

    It is what they accrue in the window and in the savings and lending spans before it.
    """
    slowest, fastest = min(net.clock_rates), max(net.clock_rates)
    return (
        net.members
        * ACCRUAL_RATE
        * fastest
        * (window_ms + (SAVINGS_SPAN_MS + TRANSFER_VALIDITY_MS) / slowest)
    )
