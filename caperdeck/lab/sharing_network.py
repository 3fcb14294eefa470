"""What nodes share, without the rest of a node, in virtual time on a network with faults.

Each spends a budget of rights at random moments; what all spent in any span is held against the bound of
docs/ledger-design.md.
"""

from __future__ import annotations

import itertools
import random
from dataclasses import dataclass, field

from caperdeck.core.quotas import Quotas
from caperdeck.gossip.quota_transfers import TRANSFER_VALIDITY_MS
from caperdeck.gossip.sharing import Sharing, LocalObservations, SharingFeatures

from .events import Events

ALL = SharingFeatures(*[True] * len(SharingFeatures._fields))
RATE, SAVED = 1.0, 500.0  # rights that a node mints in a millisecond, and for how long it saves


@dataclass
class Stub:
    """Decisions with one budget of rights, and what it has been given."""

    rights: Quotas = field(default_factory=Quotas)
    short: bool = False
    dialled: int = 0
    words: list = field(default_factory=list)
    figures: list = field(default_factory=list)
    lost: dict = field(default_factory=dict)
    priors: dict = field(default_factory=dict)
    alike: float | None = None
    ill: bool = False
    full: list = field(default_factory=list)

    def observations(self, now: float) -> LocalObservations:
        return LocalObservations([(0, self.dialled)], self.figures, self.words, self.ill, 20)

    def wanted_quota(self, now: float) -> list[tuple[int, float]]:
        return [(0, SAVED * RATE)] if self.short else []

    def mint(self, now: float) -> float:
        return self.rights.accrue(now, 0, RATE, RATE * SAVED)

    def lend(self, now: float, budget: int, most: float) -> float:
        self.mint(now)
        return self.rights.lend(budget, most)

    def borrow(self, now: float, budget: int, amount: float, until: float) -> None:
        self.rights.borrow(now, budget, amount, until)

    def take_peer_load(self, now: float, host: int, figure: float, seen: float) -> None:
        self.priors[host] = figure, seen

    def take_unreachable_report(self, now: float, host: int, until: float) -> None:
        self.lost[host] = until

    def overloaded_hosts(self, now: float, since: float) -> list[tuple[int, float, float]]:
        return [row for row in self.figures if row[2] > since]

    def relieve_overloaded_host(self, now: float, host: int, figure: float) -> None:
        self.full.append((now, host, figure))

    def set_sender_count(self, alike: float | None) -> None:
        self.alike = alike


class Net(Events):
    """Members by number; `loss`, `double` as shares, `late` in milliseconds, `cut(a, b)` is one-way."""

    def __init__(
        self, members: int, seed: int = 1, uses: SharingFeatures = ALL, loss: float = 0.0,
        double: float = 0.0, late: tuple[float, float] = (0.2, 5.0), rates: list[float] | None = None,
    ) -> None:  # fmt: skip
        super().__init__()
        self.random = random.Random(seed)
        self.members, self.seed, self.uses = members, seed, uses
        self.loss, self.double, self.late = loss, double, late
        self.rates = rates or [1.0] * members
        self.cut = lambda a, b: False
        self.nodes, self.stubs, self.lives = [None] * members, [None] * members, [0] * members
        self.suspended, self.inbox = set(), {}
        self.bytes, self.sends = [0] * members, [0] * members
        self.longest = 0
        for i in range(members):
            self.start(i)

    def clock(self, i: int) -> float:
        return 1e6 + self.now * self.rates[i]

    def start(self, i: int) -> None:
        self.lives[i] += 1
        stub = self.stubs[i] = Stub()
        stub.rights.add_budget(self.clock(i), 0)
        seed = self.seed * 1009 + i * 31 + self.lives[i]
        self.nodes[i] = Sharing(stub, i, self.members, 100 + self.lives[i], seed, self.clock(i), self.uses)
        self.at(0.0, self.tick, i, self.lives[i])

    def kill(self, i: int) -> None:
        self.nodes[i] = None

    def suspend(self, i: int) -> None:
        self.suspended.add(i)
        self.inbox[i] = []

    def resume(self, i: int) -> None:
        self.suspended.discard(i)
        for data, sender in self.inbox.pop(i):
            self.arrive(i, data, sender)
        self.tick(i, self.lives[i])

    def tick(self, i: int, life: int) -> None:
        node = self.nodes[i]
        if node is None or life != self.lives[i] or i in self.suspended:
            return
        self.send(i, node.tick(self.clock(i)))
        self.at(max((node.due - self.clock(i)) / self.rates[i], 1.0), self.tick, i, life)

    def send(self, i: int, sends: list[tuple[int, bytes]]) -> None:
        others = [j for j in range(self.members) if j != i]
        each = [(j, data) for to, data in sends for j in ([to] if to >= 0 else others)]
        for to, data in each:
            self.bytes[i] += len(data)
            self.sends[i] += 1
            self.longest = max(self.longest, len(data))
            if self.cut(i, to) or self.random.random() < self.loss:
                continue
            for _ in range(1 + (self.random.random() < self.double)):
                self.at(self.random.uniform(*self.late), self.arrive, to, data, i)

    def arrive(self, i: int, data: bytes, sender: int) -> None:
        if i in self.suspended:
            self.inbox[i].append((data, sender))
        elif self.nodes[i] is not None:
            self.send(i, self.nodes[i].receive_datagram(self.clock(i), data, sender))


class Spending:
    """Nodes that spend all they have at random moments, and what they spent, on the network's time."""

    def __init__(self, net: Net, every: float = 80.0) -> None:
        self.net, self.every, self.spent, self.lent = net, every, [], 0.0
        self.draw = random.Random(net.seed)
        for i in range(net.members):
            net.at(self.draw.uniform(0, every), self.spend, i)

    def spend(self, i: int) -> None:
        net = self.net
        net.at(self.draw.uniform(0, 2 * self.every), self.spend, i)
        if net.nodes[i] is None or i in net.suspended:
            return
        stub, now = net.stubs[i], net.clock(i)
        amount = stub.mint(now)
        self.lent += stub.rights.borrowed(now, 0)
        stub.rights.spend(now, 0, amount)
        stub.short = self.draw.random() < 0.7
        self.spent.append((net.now, amount))

    def worst(self, window: float) -> float:
        """The most that was spent in any window of that length."""
        most = total = 0.0
        first = 0
        for at, amount in self.spent:
            total += amount
            while self.spent[first][0] < at - window:
                total -= self.spent[first][1]
                first += 1
            most = max(most, total)
        return most


def torment(net: Net, draw: random.Random, span: float) -> None:
    """Deaths, suspensions and cuts at random moments for `span` milliseconds."""
    until = net.now + span
    while net.now < until:
        i = draw.randrange(net.members)
        what = draw.choice(("kill", "sleep", "cut", "heal", "half"))
        if what == "kill" and i not in net.suspended:
            net.kill(i)
            net.at(draw.uniform(100, 3000), lambda i=i: net.nodes[i] is None and net.start(i))
        elif what == "sleep" and net.nodes[i] is not None and i not in net.suspended:
            net.suspend(i)
            net.at(draw.uniform(50, 5000), lambda i=i: i in net.suspended and net.resume(i))
        elif what == "cut":
            parts, one_way = draw.choice((2, 3, net.members)), draw.random() < 0.5
            net.cut = lambda a, b, p=parts, w=one_way: a % p != b % p and (not w or a < b)
        elif what == "half":
            dead = {(a, b) for a, b in itertools.permutations(range(net.members), 2) if draw.random() < 0.5}
            net.cut = lambda a, b, d=dead: (a, b) in d
        else:
            net.cut = lambda a, b: False
        net.run(draw.uniform(50, 700))


def bound(net: Net, window: float) -> float:
    """docs/ledger-design.md: what all mint in the window and the spans of saving and lending before it."""
    slow, fast = min(net.rates), max(net.rates)
    return net.members * RATE * fast * (window + (SAVED + TRANSFER_VALIDITY_MS) / slow)
