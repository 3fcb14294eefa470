"""Every order of messages, losses, doublings, deaths and sleeps of three nodes that lend each other rights.

Each right is followed by itself, beside the program's own bookkeeping. Three things hold at every step, and
together they are the bound of docs/ledger-design.md: a name mints no more than its part, over all its lives;
a right is spent once; it is spent at most SAVED + LOAN after it was minted.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from caperdeck.core.quotas import Quotas
from caperdeck.gossip.quota_transfers import TRANSFER_VALIDITY_MS, QuotaTransfers

from .exploration import BrokenError

SAVED = TRANSFER_VALIDITY_MS  # milliseconds; in so long a node mints one right, and it saves one
NODES = 3


class NodeModel:
    """One node: its rights as the program keeps them, and each in its hands by owner and minting time."""

    __slots__ = ("me", "life", "rights", "transfers", "own", "lent", "awake")

    def __init__(self, me: int, now: float, life: int = 1) -> None:
        self.me, self.life, self.awake = me, life, True
        self.rights, self.transfers = Quotas(), QuotaTransfers(life * 100)
        self.rights.add_budget(now, 0)
        self.own, self.lent = (), ()

    def clone(self) -> NodeModel:
        c = object.__new__(type(self))
        c.me, c.life, c.awake, c.own, c.lent = self.me, self.life, self.awake, self.own, self.lent
        c.rights, c.transfers = Quotas(), QuotaTransfers(self.transfers.last_nonce)
        for name in ("saved", "accrued_at", "loan", "loan_ends_at", "idle_until"):
            setattr(c.rights, name, list(getattr(self.rights, name)))
        c.transfers.pending_requests, c.transfers.answered_requests = (
            dict(self.transfers.pending_requests),
            dict(self.transfers.answered_requests),
        )
        return c

    def key(self) -> tuple:
        r = self.rights
        return (self.life, self.awake, self.own, self.lent, r.saved[0], r.accrued_at[0], r.loan[0],
                r.loan_ends_at[0], tuple(self.transfers.pending_requests.items()),
                tuple(self.transfers.answered_requests))  # fmt: skip

    def part(self, heard: int) -> float:
        """Of the fleet's rate, what this node mints."""
        return 1 / NODES

    def end(self, until: float) -> float:
        return until


class RightsModel:
    """Three nodes and the messages between them; a model to explore."""

    def __init__(
        self, kind: type[NodeModel] = NodeModel, rates: Iterable[int] = (1, 1, 1), ticks: int = 3,
        asks: int = 2, doubles: int = 1, deaths: int = 1, sleeps: int = 1,
    ) -> None:  # fmt: skip
        self.rates, self.time, self.ticks = rates, 0.0, ticks
        self.nodes = [kind(i, 0.0) for i in range(NODES)]
        self.flying = ()  # (what, from, to, life of the asker, number, amount, rights)
        self.minted, self.spent = (0,) * NODES, frozenset()
        self.left = {"ask": asks, "double": doubles, "die": deaths, "sleep": sleeps}

    def clone(self) -> RightsModel:
        w = object.__new__(RightsModel)
        w.rates, w.time, w.ticks, w.flying = self.rates, self.time, self.ticks, self.flying
        w.minted, w.spent, w.left = self.minted, self.spent, dict(self.left)
        w.nodes = [n.clone() for n in self.nodes]
        return w

    def key(self) -> tuple:
        return (self.time, self.flying, self.minted, self.spent, tuple(self.left.values()),
                tuple(n.key() for n in self.nodes))  # fmt: skip

    def now(self, i: int) -> float:
        return self.time * self.rates[i]

    def choices(self) -> list[tuple]:
        out = [("tick",)] if self.time < self.ticks * SAVED else []
        for i, n in enumerate(self.nodes):
            if not n.awake:
                out.append(("wake", i))
                continue
            if self.left["ask"] and not n.transfers.pending_requests:
                out += [("ask", i, j) for j in range(NODES) if j != i]
            if n.rights.saved[0] or n.rights.loan[0] or n.rights.accrued_at[0] < self.now(i):
                out.append(("spend", i))
            out += [(fault, i) for fault in ("die", "sleep") if self.left[fault]]
        for m in dict.fromkeys(self.flying):
            if self.nodes[m[2]].awake:
                out.append(("deliver", m))
                if self.left["double"]:
                    out.append(("double", m))
        return out

    def do(self, what: str, *args: Any) -> None:
        if what in self.left:
            self.left[what] -= 1
        getattr(self, what)(*args)

    # ---- what can happen; a message that is never delivered is lost, one delivered later is late

    def tick(self) -> None:
        self.time += SAVED

    def ask(self, i: int, j: int) -> None:
        n = self.nodes[i]
        self.flying += (("ask", i, j, n.life, n.transfers.request(self.now(i), j), 0, ()),)

    def die(self, i: int) -> None:
        self.nodes[i] = type(self.nodes[i])(i, self.now(i), self.nodes[i].life + 1)

    def sleep(self, i: int) -> None:
        self.nodes[i].awake = False

    def wake(self, i: int) -> None:
        self.nodes[i].awake = True

    def double(self, message: tuple) -> None:
        self.flying += (message,)
        self.deliver(message)

    def deliver(self, message: tuple) -> None:
        at = self.flying.index(message)
        self.flying = self.flying[:at] + self.flying[at + 1 :]
        what, a, b, life, number, amount, rights = message
        n, now = self.nodes[b], self.now(b)
        if what == "ask":
            self.mint(n)
            grants = n.transfers.grant(a, life, number, [(0, 1.0)], n.rights.lend)
            if grants:
                count = round(grants[0][1])
                given, n.own = tuple((b, x) for x in n.own[:count]), n.own[count:]
                self.flying += (("give", b, a, life, number, grants[0][1], given),)
        elif n.life == life:  # otherwise no number of this life is the answer's
            n.transfers.accept(now, a, number, [(0, amount)], lambda *grant: self.borrow(n, rights, *grant))

    def borrow(self, n: NodeModel, rights: tuple, budget: int, amount: float, until: float) -> None:
        n.rights.borrow(self.now(n.me), budget, amount, n.end(until))
        n.lent += tuple((right, until) for right in rights)

    def mint(self, n: NodeModel) -> None:
        i, now = n.me, self.now(n.me)
        heard = sum(x.awake for x in self.nodes)
        rate = NODES / SAVED * n.part(heard)
        since, before = n.rights.accrued_at[0], n.rights.saved[0]
        n.rights.accrue(now, 0, rate, rate * SAVED)
        new = round((now - since) * rate)
        minted = [since + (k + 1) / rate for k in range(new)]
        n.own = (n.own + tuple(minted))[max(len(n.own) + new - round(n.rights.saved[0]), 0) :]
        self.minted = self.minted[:i] + (self.minted[i] + new,) + self.minted[i + 1 :]
        if before < 0 or self.minted[i] > self.now(i) / SAVED + 1e-9:
            raise BrokenError(f"node {i} has minted {self.minted[i]} by {self.time}")

    def spend(self, i: int) -> None:
        n, now = self.nodes[i], self.now(i)
        self.mint(n)
        have = n.rights.available(now, 0)
        n.rights.spend(now, 0, have)
        held = [right for right, until in n.lent if now < until] + [(i, x) for x in n.own]
        held += [right for right, until in n.lent if now >= until]
        n.own, n.lent = (), ()
        if round(have) > len(held):
            raise BrokenError(f"node {i} spends {have}, and {len(held)} are in its hands")
        for owner, minted in held[: round(have)]:
            if (owner, minted) in self.spent:
                raise BrokenError(f"a right of node {owner} is spent twice")
            self.spent |= {(owner, minted)}
            age = self.time - minted / self.rates[owner]
            if age > (SAVED + TRANSFER_VALIDITY_MS) / min(self.rates) + 1e-9:
                raise BrokenError(f"a right of node {owner} is spent after {age} ms")
