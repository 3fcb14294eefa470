"""A model of the census (the work that assigns shares of the fleet's rate to nodes) under faults.

The work is granted to one owner after another while earlier owners go on, actions and replies are delayed,
duplicated or lost, and nodes restart without their state. The model checks at every step that the shares that
the nodes use add up to at most 1.
"""

from __future__ import annotations

import copy
import random
from typing import Any

from caperdeck.leases.census import Census
from caperdeck.leases.runner import SaveState
from caperdeck.leases.target import CENSUS, Target

from .exploration import PropertyViolationError

TICK_MS = 1100.0
ROUNDING_TOLERANCE = 1e-6


class Owner:
    """An instance that was granted the census; token 0 means that it does not hold it."""

    def __init__(self, census: Census) -> None:
        self.census, self.token = census, 0


class CensusModel:
    """The owners, the nodes and the messages in flight; a message that is never delivered is lost.

    `remaining` bounds how often each kind of fault can occur.
    """

    def __init__(
        self, nodes: int = 2, owners: int = 2, ticks: int = 5, grants: int = 2, deaths: int = 1,
        doubles: int = 1, lates: int = 1, census_class: type[Census] = Census,
        target_class: type[Target] = Target,
    ) -> None:  # fmt: skip
        self.now, self.census_class, self.target_class = 0.0, census_class, target_class
        self.names = [f"n{i}" for i in range(nodes)]
        self.owners = [Owner(census_class(self.names, i)) for i in range(owners)]
        self.lives = dict.fromkeys(self.names, 0)
        self.nodes = {}
        for name in self.names:
            self.start_node(name)
        self.token, self.state = 0, None  # the replicated state
        self.messages: list[tuple] = []
        self.remaining = {"tick": ticks, "grant": grants, "die": deaths, "double": doubles, "late": lates}

    def start_node(self, name: str) -> None:
        """Starts a new life of a node, without the state of the life before."""
        self.lives[name] += 1
        life = self.lives[name]
        # The traffic moves from node to node, so that the shares have to follow it.
        position, size = self.names.index(name), len(self.names)
        self.nodes[name] = self.target_class(
            life, size, list, list, lambda uid: False,
            lambda: 1000 * sum((position + tick // 4) % size for tick in range(int(self.now / TICK_MS) + 1)),
        )  # fmt: skip

    def clone(self) -> CensusModel:
        return copy.deepcopy(self)

    def key(self) -> Any:
        nodes = tuple(
            (node.life, node.epoch, node.share, tuple(node.fence.highest.items()))
            for node in self.nodes.values()
        )  # fmt: skip
        owners = tuple(
            (owner.token, owner.census.dump(), repr(owner.census.scheduler.in_flight),
             repr(owner.census.lives), owner.census.dirty, owner.census.epoch_started_at,
             repr(owner.census.scheduler.replies), repr(owner.census.scheduler.next_at))
            for owner in self.owners
        )  # fmt: skip
        return (self.now, nodes, owners, self.token, self.state, repr(sorted(self.messages, key=repr)),
                tuple(self.remaining.values()))  # fmt: skip

    def choices(self) -> list[tuple]:
        steps: list[tuple] = [("tick",)] if self.remaining["tick"] else []
        for i, owner in enumerate(self.owners):
            if self.remaining["grant"]:
                steps.append(("grant", i))
            if owner.token:
                steps.append(("turn", i))
                if self.remaining["late"]:
                    steps += [
                        ("late", i, n) for n in self.names if owner.census.scheduler.in_flight[n] is not None
                    ]
        for name, node in self.nodes.items():
            if self.remaining["die"]:
                steps.append(("die", name))
            if CENSUS not in node.fence.highest and self.token:
                steps.append(("learn", name))
        for index in range(len(self.messages)):
            steps.append(("deliver", index))
            if self.remaining["double"]:
                steps.append(("double", index))
        return steps

    def take_step(self, name: str, *args: Any) -> None:
        if name in self.remaining:
            self.remaining[name] -= 1
        getattr(self, name)(*args)
        if (total := sum(node.share for node in self.nodes.values())) > 1 + ROUNDING_TOLERANCE:
            raise PropertyViolationError(f"shares add up to {total:.4f} after {name}")

    # ---- steps

    def tick(self) -> None:
        self.now += TICK_MS

    def grant(self, i: int) -> None:
        """Grants the census to an owner, with a new token."""
        self.token += 1
        self.owners[i].token = self.token
        self.owners[i].census.begin(self.now, self.state)

    def turn(self, i: int) -> None:
        """Lets an owner take its next step."""
        owner = self.owners[i]
        result = owner.census.next_step(self.now)
        if isinstance(result, SaveState):
            if owner.token != self.token:
                owner.token = 0  # the save of an earlier owner is refused, and the owner learns of it
                return
            self.state = result.state
            owner.census.state_committed(self.now)
            return
        self.messages += [("act", i, owner.token, act.target, act.body) for act in result]

    def late(self, i: int, name: str) -> None:
        """The owner's wait for a reply times out, although the action or the reply may still be in flight."""
        self.owners[i].census.handle_reply(self.now, name, None)
        self.messages = [
            m for m in self.messages if m[:4] != ("reply", i, self.owners[i].token, name)
        ]  # fmt: skip

    def double(self, index: int) -> None:
        """Delivers a message and keeps a copy of it in flight."""
        message = self.messages[index]
        self.deliver(index)
        self.messages.append(message)

    def deliver(self, index: int) -> None:
        """Delivers an action or a reply."""
        kind, i, token, name, body = self.messages.pop(index)
        owner = self.owners[i]
        if kind == "act":
            reply = self.nodes[name].execute(self.now, CENSUS, token, copy.deepcopy(body))
            if reply.get("no") == "older-token":
                owner.token = 0 if owner.token == token else owner.token
            elif owner.token == token and owner.census.scheduler.in_flight[name] == body:
                self.messages.append(("reply", i, token, name, None if "no" in reply else reply))
        elif owner.token == token and owner.census.scheduler.in_flight[name] is not None:
            owner.census.handle_reply(self.now, name, body)

    def die(self, name: str) -> None:
        self.start_node(name)

    def learn(self, name: str) -> None:
        """Tells a restarted node the newest token."""
        self.nodes[name].fence.record_token(CENSUS, self.token)


def random_walk(seed: int, steps: int, **options: Any) -> CensusModel:
    """Takes random steps; raises PropertyViolationError."""
    rng, model = random.Random(seed), CensusModel(**options)
    for _ in range(steps):
        choices = model.choices()
        # Steps that make progress are chosen more often than faults.
        weights = [1 if c[0] in model.remaining else 4 for c in choices]
        model.take_step(*rng.choices(choices, weights)[0])
    return model
