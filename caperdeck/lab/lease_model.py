"""Every order of steps of two would-be owners, the table agreed on, its warden, and one target of acts.

Whoever takes no step is asleep; what is not delivered is late or lost. Checked: no two owners may
act at one time while clocks keep to their drift; no token is given twice; and, always, no act is taken
after one with a higher token.
"""

from __future__ import annotations

import copy
from typing import Any

from caperdeck.leases.fence import Fence
from caperdeck.leases.expiry import LeaseHolder, LeaseExpiryMonitor
from caperdeck.leases.table import MIN_SPAN_MS, LeaseTable

from .exploration import BrokenError

TICK = MIN_SPAN_MS / 2
WORK = "w"


class LeaseModel:
    """`rates` are the owners' clocks and the warden's; `disk` whether the target remembers over a death."""

    def __init__(
        self, ticks: int = 4, asks: int = 3, acts: int = 2, deaths: int = 1, snapshots: int = 0,
        rates: tuple[float, float, float] = (1.0, 1.0, 1.0), disk: bool = False,
        holder: type[LeaseHolder] = LeaseHolder, fence: type[Fence] = Fence,
        table: type[LeaseTable] = LeaseTable,
    ) -> None:  # fmt: skip
        self.time, self.rates, self.disk = 0.0, rates, disk
        self.left = {"tick": ticks, "ask": asks, "check": acts, "die": deaths, "snapshot": snapshots}
        self.holders = [holder(WORK, name, MIN_SPAN_MS) for name in "ab"]
        self.ready = [0, 0]  # the token that an owner has just checked, before its act leaves
        self.table = table()
        self.expiry_monitor = LeaseExpiryMonitor(self.table, 0.0)
        self.target = fence({})
        self.flying: list[tuple] = []
        self.highest = 0  # among the acts taken
        self.given: list[int] = []

    def key(self) -> Any:
        holders = tuple((h.token, h.expires_at, h.requested_at) for h in self.holders)
        row = self.table.works.get(WORK)
        return (
            self.time, tuple(self.left.values()), holders, tuple(self.ready), self.table.token,
            tuple(row.items()) if row else None, tuple(self.expiry_monitor.observed.items()),
            self.target.remembers, tuple(self.target.highest.items()), tuple(sorted(map(repr, self.flying))),
            self.highest,
        )  # fmt: skip

    def clone(self) -> LeaseModel:
        return copy.deepcopy(self)

    def now(self, i: int) -> float:
        return self.time * self.rates[i]

    def choices(self) -> list[tuple]:
        out: list[tuple] = [(name,) for name in ("tick", "die", "snapshot") if self.left[name]]
        out.append(("watch",))
        for i, h in enumerate(self.holders):
            if self.left["ask"]:
                out.append(("ask", i))
            if self.ready[i]:
                out.append(("act", i))
            elif self.left["check"] and h.may_act(self.now(i)):
                out.append(("check", i))
        out += [("deliver", k) for k in range(len(self.flying))]
        if not self.target.remembers and WORK not in self.target.highest:
            out.append(("learn",))
        return out

    def do(self, what: str, *args: Any) -> None:
        if what in self.left:
            self.left[what] -= 1
        getattr(self, what)(*args)
        both = all(h.may_act(self.now(i)) for i, h in enumerate(self.holders))
        if both and max(self.rates) <= 1.05 and min(self.rates) >= 0.95:
            raise BrokenError("two owners at one time")

    def tick(self) -> None:
        self.time += TICK

    def ask(self, i: int) -> None:
        command = self.holders[i].next_command(self.now(i))
        if command is not None:
            self.flying.append(("ask", i, command, self.now(i)))

    def check(self, i: int) -> None:
        self.ready[i] = self.holders[i].token

    def act(self, i: int) -> None:
        self.flying.append(("act", i, self.ready[i], 0.0))
        self.ready[i] = 0

    def deliver(self, k: int) -> None:
        what, i, value, asked = self.flying.pop(k)
        if what == "ask":
            answer = self.table.apply(value)
            if value["do"] == "acquire" and "token" in answer:
                self.given.append(answer["token"])
                if len(set(self.given)) < len(self.given):
                    raise BrokenError(f"token {answer['token']} is given twice")
            self.watch()
            self.flying.append(("answer", i, answer, asked))
        elif what == "answer":
            self.holders[i].handle_answer(self.now(i), asked, value)
        elif self.target.check(WORK, value) is None:
            if value < self.highest:
                raise BrokenError(f"an act with token {value} is taken after one with {self.highest}")
            self.highest = value

    def watch(self) -> None:
        for command in self.expiry_monitor.check(self.now(2)):
            self.table.apply(command)
        self.expiry_monitor.check(self.now(2))

    def die(self) -> None:
        """The target starts again."""
        self.target = type(self.target)(self.target.highest if self.disk else None)

    def learn(self) -> None:
        self.target.record_token(WORK, self.table.token)

    def snapshot(self) -> None:
        state = copy.deepcopy(self.table.dump())
        self.table = type(self.table)()
        self.table.load(state)
        self.expiry_monitor = LeaseExpiryMonitor(self.table, self.now(2))
