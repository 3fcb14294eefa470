"""Model of three nodes that lend each other quota, under message loss, duplication, restarts and suspensions.

Each unit of quota is tracked individually, beside the program's own bookkeeping. Three properties are
checked at every step, and together they give the bound of docs/ledger-design.md: a node accrues no more than
its share over all its lives; a unit is spent once; and it is spent at most ACCRUAL_PERIOD_MS +
TRANSFER_VALIDITY_MS after it accrued.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from caperdeck.core.quotas import Quotas
from caperdeck.gossip.quota_transfers import TRANSFER_VALIDITY_MS, QuotaTransfers

from .exploration import PropertyViolationError

ACCRUAL_PERIOD_MS = TRANSFER_VALIDITY_MS  # a node accrues one unit in this time and saves at most one
NODES = 3


class NodeModel:
    """A node: its quota as the program keeps it, and each unit that it holds.

    `own_units` are the times at which its own units accrued; `borrowed_units` are pairs of a unit (owner and
    accrual time) and the end of its loan.
    """

    __slots__ = ("me", "life", "quotas", "transfers", "own_units", "borrowed_units", "awake")

    def __init__(self, me: int, now: float, life: int = 1) -> None:
        self.me, self.life, self.awake = me, life, True
        self.quotas, self.transfers = Quotas(), QuotaTransfers(life * 100)
        self.quotas.add_budget(now, 0)
        self.own_units, self.borrowed_units = (), ()

    def clone(self) -> NodeModel:
        copy = object.__new__(type(self))
        copy.me, copy.life, copy.awake, copy.own_units, copy.borrowed_units = (
            self.me,
            self.life,
            self.awake,
            self.own_units,
            self.borrowed_units,
        )
        copy.quotas, copy.transfers = Quotas(), QuotaTransfers(self.transfers.last_nonce)
        for name in ("saved", "accrued_at", "loan", "loan_ends_at", "idle_until"):
            setattr(copy.quotas, name, list(getattr(self.quotas, name)))
        copy.transfers.pending_requests, copy.transfers.answered_requests = (
            dict(self.transfers.pending_requests),
            dict(self.transfers.answered_requests),
        )
        return copy

    def key(self) -> tuple:
        quotas = self.quotas
        return (self.life, self.awake, self.own_units, self.borrowed_units, quotas.saved[0],
                quotas.accrued_at[0], quotas.loan[0], quotas.loan_ends_at[0],
                tuple(self.transfers.pending_requests.items()),
                tuple(self.transfers.answered_requests))  # fmt: skip

    def quota_share(self, live_nodes: int) -> float:
        """Share of the fleet's rate that this node accrues."""
        return 1 / NODES

    def expiry(self, until: float) -> float:
        """Time until which borrowed units are used, given the end of their loan."""
        return until


class QuotaModel:
    """Three nodes and the messages between them, with one budget; a model to explore."""

    def __init__(
        self, node_class: type[NodeModel] = NodeModel, rates: Iterable[int] = (1, 1, 1), ticks: int = 3,
        asks: int = 2, doubles: int = 1, deaths: int = 1, sleeps: int = 1,
    ) -> None:  # fmt: skip
        self.rates, self.time, self.ticks = rates, 0.0, ticks
        self.nodes = [node_class(i, 0.0) for i in range(NODES)]
        self.messages = ()  # (kind, from, to, life of the borrower, nonce, amount, units)
        self.accrued_units, self.spent = (0,) * NODES, frozenset()
        self.remaining = {"ask": asks, "double": doubles, "die": deaths, "sleep": sleeps}

    def clone(self) -> QuotaModel:
        copy = object.__new__(QuotaModel)
        copy.rates, copy.time, copy.ticks, copy.messages = self.rates, self.time, self.ticks, self.messages
        copy.accrued_units, copy.spent, copy.remaining = self.accrued_units, self.spent, dict(self.remaining)
        copy.nodes = [node.clone() for node in self.nodes]
        return copy

    def key(self) -> tuple:
        return (self.time, self.messages, self.accrued_units, self.spent, tuple(self.remaining.values()),
                tuple(node.key() for node in self.nodes))  # fmt: skip

    def now(self, i: int) -> float:
        return self.time * self.rates[i]

    def choices(self) -> list[tuple]:
        steps = [("tick",)] if self.time < self.ticks * ACCRUAL_PERIOD_MS else []
        for i, node in enumerate(self.nodes):
            if not node.awake:
                steps.append(("wake", i))
                continue
            if self.remaining["ask"] and not node.transfers.pending_requests:
                steps += [("ask", i, j) for j in range(NODES) if j != i]
            if node.quotas.saved[0] or node.quotas.loan[0] or node.quotas.accrued_at[0] < self.now(i):
                steps.append(("spend", i))
            steps += [(fault, i) for fault in ("die", "sleep") if self.remaining[fault]]
        for message in dict.fromkeys(self.messages):
            if self.nodes[message[2]].awake:
                steps.append(("deliver", message))
                if self.remaining["double"]:
                    steps.append(("double", message))
        return steps

    def take_step(self, name: str, *args: Any) -> None:
        if name in self.remaining:
            self.remaining[name] -= 1
        getattr(self, name)(*args)

    # ---- steps; a message that is never delivered is lost, and one that is delivered later is delayed

    def tick(self) -> None:
        self.time += ACCRUAL_PERIOD_MS

    def ask(self, i: int, j: int) -> None:
        """Node i requests quota from node j."""
        node = self.nodes[i]
        self.messages += (("ask", i, j, node.life, node.transfers.request(self.now(i), j), 0, ()),)

    def die(self, i: int) -> None:
        """Restarts a node without its state."""
        self.nodes[i] = type(self.nodes[i])(i, self.now(i), self.nodes[i].life + 1)

    def sleep(self, i: int) -> None:
        self.nodes[i].awake = False

    def wake(self, i: int) -> None:
        self.nodes[i].awake = True

    def double(self, message: tuple) -> None:
        """Delivers a message and keeps a copy of it in flight."""
        self.messages += (message,)
        self.deliver(message)

    def deliver(self, message: tuple) -> None:
        """Delivers a request or a transfer of quota."""
        position = self.messages.index(message)
        self.messages = self.messages[:position] + self.messages[position + 1 :]
        kind, source, target, life, nonce, amount, quota_units = message
        node, now = self.nodes[target], self.now(target)
        if kind == "ask":
            self.accrue(node)
            grants = node.transfers.grant(source, life, nonce, [(0, 1.0)], node.quotas.lend)
            if grants:
                count = round(grants[0][1])
                granted_units, node.own_units = (
                    tuple((target, unit) for unit in node.own_units[:count]),
                    node.own_units[count:],
                )
                self.messages += (("give", target, source, life, nonce, grants[0][1], granted_units),)
        elif node.life == life:  # a nonce of an earlier life matches no pending request
            node.transfers.accept(
                now, source, nonce, [(0, amount)], lambda *grant: self.borrow(node, quota_units, *grant)
            )

    def borrow(self, node: NodeModel, quota_units: tuple, budget: int, amount: float, until: float) -> None:
        node.quotas.borrow(self.now(node.me), budget, amount, node.expiry(until))
        node.borrowed_units += tuple((unit, until) for unit in quota_units)

    def accrue(self, node: NodeModel) -> None:
        """Accrues the quota of a node and checks that it has not accrued more than its share."""
        i, now = node.me, self.now(node.me)
        live_nodes = sum(other.awake for other in self.nodes)
        rate = NODES / ACCRUAL_PERIOD_MS * node.quota_share(live_nodes)
        since, before = node.quotas.accrued_at[0], node.quotas.saved[0]
        node.quotas.accrue(now, 0, rate, rate * ACCRUAL_PERIOD_MS)
        accrued_count = round((now - since) * rate)
        accrual_times = [since + (k + 1) / rate for k in range(accrued_count)]
        node.own_units = (node.own_units + tuple(accrual_times))[
            max(len(node.own_units) + accrued_count - round(node.quotas.saved[0]), 0) :
        ]
        self.accrued_units = (
            self.accrued_units[:i] + (self.accrued_units[i] + accrued_count,) + self.accrued_units[i + 1 :]
        )
        if before < 0 or self.accrued_units[i] > self.now(i) / ACCRUAL_PERIOD_MS + 1e-9:
            raise PropertyViolationError(f"node {i} has accrued {self.accrued_units[i]} by {self.time}")

    def spend(self, i: int) -> None:
        """Spends all quota of a node and checks each unit that it spends."""
        node, now = self.nodes[i], self.now(i)
        self.accrue(node)
        available = node.quotas.available(now, 0)
        node.quotas.spend(now, 0, available)
        held_units = [unit for unit, until in node.borrowed_units if now < until] + [
            (i, unit) for unit in node.own_units
        ]
        held_units += [unit for unit, until in node.borrowed_units if now >= until]
        node.own_units, node.borrowed_units = (), ()
        if round(available) > len(held_units):
            raise PropertyViolationError(f"node {i} spends {available} but holds {len(held_units)} units")
        for owner, accrued_at in held_units[: round(available)]:
            if (owner, accrued_at) in self.spent:
                raise PropertyViolationError(f"a unit of node {owner} is spent twice")
            self.spent |= {(owner, accrued_at)}
            age = self.time - accrued_at / self.rates[owner]
            if age > (ACCRUAL_PERIOD_MS + TRANSFER_VALIDITY_MS) / min(self.rates) + 1e-9:
                raise PropertyViolationError(f"a unit of node {owner} is spent after {age} ms")
