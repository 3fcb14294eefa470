"""Model of two lease holders, the replicated lease table, its expiry monitor, and one target of actions.

A process that takes no step is suspended; a message that is not delivered is delayed or lost. Three
properties are checked: two holders may not act at the same time as long as clocks keep to the allowed drift;
no token is granted twice; and the target never takes an action after one with a higher token, whatever the
clocks do.
"""

from __future__ import annotations

import copy
from typing import Any

from caperdeck.leases.fence import Fence
from caperdeck.leases.expiry import LeaseHolder, LeaseExpiryMonitor
from caperdeck.leases.table import MIN_SPAN_MS, LeaseTable

from .exploration import PropertyViolationError

TICK_MS = MIN_SPAN_MS / 2
WORK = "w"


class LeaseModel:
    """A state of the model; the numbers of steps of each kind that remain bound its size.

    `rates` are the clock rates of the two holders and of the expiry monitor. `disk` says whether the target
    remembers the highest token over a restart.
    """

    def __init__(
        self, ticks: int = 4, asks: int = 3, acts: int = 2, deaths: int = 1, snapshots: int = 0,
        rates: tuple[float, float, float] = (1.0, 1.0, 1.0), disk: bool = False,
        holder: type[LeaseHolder] = LeaseHolder, fence: type[Fence] = Fence,
        table: type[LeaseTable] = LeaseTable,
    ) -> None:  # fmt: skip
        self.time, self.rates, self.disk = 0.0, rates, disk
        self.remaining = {"tick": ticks, "ask": asks, "check": acts, "die": deaths, "snapshot": snapshots}
        self.holders = [holder(WORK, name, MIN_SPAN_MS) for name in "ab"]
        self.checked_tokens = [
            0,
            0,
        ]  # by holder, the token checked for an action that was not sent yet; 0 for none
        self.table = table()
        self.expiry_monitor = LeaseExpiryMonitor(self.table, 0.0)
        self.target = fence({})
        self.messages: list[tuple] = []
        self.highest_taken = 0  # highest token among the actions that the target took
        self.granted_tokens: list[int] = []

    def key(self) -> Any:
        holders = tuple((holder.token, holder.expires_at, holder.requested_at) for holder in self.holders)
        row = self.table.works.get(WORK)
        return (
            self.time, tuple(self.remaining.values()), holders, tuple(self.checked_tokens), self.table.token,
            tuple(row.items()) if row else None, tuple(self.expiry_monitor.observed.items()),
            self.target.remembers, tuple(self.target.highest.items()),
            tuple(sorted(map(repr, self.messages))), self.highest_taken,
        )  # fmt: skip

    def clone(self) -> LeaseModel:
        return copy.deepcopy(self)

    def now(self, i: int) -> float:
        """Time of the clock of a holder (0 or 1) or of the expiry monitor (2)."""
        return self.time * self.rates[i]

    def choices(self) -> list[tuple]:
        steps: list[tuple] = [(name,) for name in ("tick", "die", "snapshot") if self.remaining[name]]
        steps.append(("watch",))
        for i, holder in enumerate(self.holders):
            if self.remaining["ask"]:
                steps.append(("ask", i))
            if self.checked_tokens[i]:
                steps.append(("act", i))
            elif self.remaining["check"] and holder.may_act(self.now(i)):
                steps.append(("check", i))
        steps += [("deliver", k) for k in range(len(self.messages))]
        if not self.target.remembers and WORK not in self.target.highest:
            steps.append(("learn",))
        return steps

    def take_step(self, name: str, *args: Any) -> None:
        if name in self.remaining:
            self.remaining[name] -= 1
        getattr(self, name)(*args)
        both_may_act = all(holder.may_act(self.now(i)) for i, holder in enumerate(self.holders))
        if both_may_act and max(self.rates) <= 1.05 and min(self.rates) >= 0.95:
            raise PropertyViolationError("two owners at the same time")

    def tick(self) -> None:
        self.time += TICK_MS

    def ask(self, i: int) -> None:
        """Sends a request of a holder to the table."""
        command = self.holders[i].next_command(self.now(i))
        if command is not None:
            self.messages.append(("ask", i, command, self.now(i)))

    def check(self, i: int) -> None:
        """Lets a holder check its lease; its action is sent in a later step."""
        self.checked_tokens[i] = self.holders[i].token

    def act(self, i: int) -> None:
        """Sends the action for which a holder has checked its lease."""
        self.messages.append(("act", i, self.checked_tokens[i], 0.0))
        self.checked_tokens[i] = 0

    def deliver(self, position: int) -> None:
        """Delivers a request, an answer or an action."""
        kind, i, payload, requested_at = self.messages.pop(position)
        if kind == "ask":
            answer = self.table.apply(payload)
            if payload["do"] == "acquire" and "token" in answer:
                self.granted_tokens.append(answer["token"])
                if len(set(self.granted_tokens)) < len(self.granted_tokens):
                    raise PropertyViolationError(f"token {answer['token']} is given twice")
            self.watch()
            self.messages.append(("answer", i, answer, requested_at))
        elif kind == "answer":
            self.holders[i].handle_answer(self.now(i), requested_at, payload)
        elif self.target.check(WORK, payload) is None:
            if payload < self.highest_taken:
                raise PropertyViolationError(
                    f"an action with token {payload} is taken after one with {self.highest_taken}"
                )
            self.highest_taken = payload

    def watch(self) -> None:
        """Lets the expiry monitor check the table, and starts to observe what that changed."""
        for command in self.expiry_monitor.check(self.now(2)):
            self.table.apply(command)
        self.expiry_monitor.check(self.now(2))

    def die(self) -> None:
        """Restarts the target."""
        self.target = type(self.target)(self.target.highest if self.disk else None)

    def learn(self) -> None:
        """Tells a restarted target the newest token."""
        self.target.record_token(WORK, self.table.token)

    def snapshot(self) -> None:
        """Restarts the table and the expiry monitor from a snapshot."""
        state = copy.deepcopy(self.table.dump())
        self.table = type(self.table)()
        self.table.load(state)
        self.expiry_monitor = LeaseExpiryMonitor(self.table, self.now(2))
