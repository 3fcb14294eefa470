"""A model of the census under faults, step by step.

Owners follow one another and do not let go, acts and answers come late, twice or not at all, nodes die and
forget. At every step the shares in force add up to 1 at most.
"""

from __future__ import annotations

import copy
import random
from typing import Any

from caperdeck.leases.census import Census
from caperdeck.leases.runner import SaveState
from caperdeck.leases.target import CENSUS, Target

from .exploration import BrokenError

TICK = 1100.0  # milliseconds
EPSILON = 1e-6


class Owner:
    def __init__(self, census: Census) -> None:
        self.census, self.token = census, 0


class CensusModel:
    """`left` bounds how often each fault can come; a message that is never delivered is lost."""

    def __init__(
        self, nodes: int = 2, owners: int = 2, ticks: int = 5, grants: int = 2, deaths: int = 1,
        doubles: int = 1, lates: int = 1, kind: type[Census] = Census, target: type[Target] = Target,
    ) -> None:  # fmt: skip
        self.now, self.kind, self.target = 0.0, kind, target
        self.names = [f"n{i}" for i in range(nodes)]
        self.owners = [Owner(kind(self.names, i)) for i in range(owners)]
        self.lives = dict.fromkeys(self.names, 0)
        self.nodes = {}
        for name in self.names:
            self.born(name)
        self.token, self.state = 0, None  # what the instances have agreed on
        self.flying: list[tuple] = []
        self.left = {"tick": ticks, "grant": grants, "die": deaths, "double": doubles, "late": lates}

    def born(self, name: str) -> None:
        self.lives[name] += 1
        life = self.lives[name]
        # traffic that goes from node to node, so that shares do
        place, size = self.names.index(name), len(self.names)
        self.nodes[name] = self.target(
            life, size, list, list, lambda uid: False,
            lambda: 1000 * sum((place + k // 4) % size for k in range(int(self.now / TICK) + 1)),
        )  # fmt: skip

    def clone(self) -> CensusModel:
        return copy.deepcopy(self)

    def key(self) -> Any:
        nodes = tuple(
            (t.life, t.epoch, t.share, tuple(t.fence.highest.items())) for t in self.nodes.values()
        )  # fmt: skip
        owners = tuple(
            (o.token, o.census.dump(), repr(o.census.scheduler.in_flight), repr(o.census.lives),
             o.census.dirty, o.census.epoch_started_at, repr(o.census.scheduler.replies),
             repr(o.census.scheduler.next_at))
            for o in self.owners
        )  # fmt: skip
        return (self.now, nodes, owners, self.token, self.state, repr(sorted(self.flying, key=repr)),
                tuple(self.left.values()))  # fmt: skip

    def choices(self) -> list[tuple]:
        out: list[tuple] = [("tick",)] if self.left["tick"] else []
        for i, o in enumerate(self.owners):
            if self.left["grant"]:
                out.append(("grant", i))
            if o.token:
                out.append(("turn", i))
                if self.left["late"]:
                    out += [("late", i, n) for n in self.names if o.census.scheduler.in_flight[n] is not None]
        for name, t in self.nodes.items():
            if self.left["die"]:
                out.append(("die", name))
            if CENSUS not in t.fence.highest and self.token:
                out.append(("learn", name))
        for k in range(len(self.flying)):
            out.append(("deliver", k))
            if self.left["double"]:
                out.append(("double", k))
        return out

    def do(self, what: str, *args: Any) -> None:
        if what in self.left:
            self.left[what] -= 1
        getattr(self, what)(*args)
        if (whole := sum(t.share for t in self.nodes.values())) > 1 + EPSILON:
            raise BrokenError(f"shares add up to {whole:.4f} after {what}")

    # ---- what can happen

    def tick(self) -> None:
        self.now += TICK

    def grant(self, i: int) -> None:
        self.token += 1
        self.owners[i].token = self.token
        self.owners[i].census.begin(self.now, self.state)

    def turn(self, i: int) -> None:
        o = self.owners[i]
        got = o.census.next_step(self.now)
        if isinstance(got, SaveState):
            if o.token != self.token:
                o.token = 0  # what it would keep is refused, and it is told so
                return
            self.state = got.state
            o.census.state_committed(self.now)
            return
        self.flying += [("act", i, o.token, act.target, act.body) for act in got]

    def late(self, i: int, name: str) -> None:
        """The owner waits no longer for an answer; the act, or the answer, is under way still."""
        self.owners[i].census.handle_reply(self.now, name, None)
        self.flying = [
            m for m in self.flying if m[:4] != ("reply", i, self.owners[i].token, name)
        ]  # fmt: skip

    def double(self, k: int) -> None:
        message = self.flying[k]
        self.deliver(k)
        self.flying.append(message)

    def deliver(self, k: int) -> None:
        what, i, token, name, body = self.flying.pop(k)
        o = self.owners[i]
        if what == "act":
            reply = self.nodes[name].execute(self.now, CENSUS, token, copy.deepcopy(body))
            if reply.get("no") == "older-token":
                o.token = 0 if o.token == token else o.token
            elif o.token == token and o.census.scheduler.in_flight[name] == body:
                self.flying.append(("reply", i, token, name, None if "no" in reply else reply))
        elif o.token == token and o.census.scheduler.in_flight[name] is not None:
            o.census.handle_reply(self.now, name, body)

    def die(self, name: str) -> None:
        self.born(name)

    def learn(self, name: str) -> None:
        self.nodes[name].fence.record_token(CENSUS, self.token)


def walk(seed: int, steps: int, **options: Any) -> CensusModel:
    """One random order of steps; raises BrokenError."""
    generator, world = random.Random(seed), CensusModel(**options)
    for _ in range(steps):
        choices = world.choices()
        # what moves things on is chosen more often than what disturbs them
        weights = [1 if c[0] in world.left else 4 for c in choices]
        world.do(*generator.choices(choices, weights)[0])
    return world
