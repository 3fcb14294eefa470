"""The simulation with every property checked all along, and a play of one schedule."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any, NamedTuple

from caperdeck.distribution.document import digest
from caperdeck.distribution.publisher import CONFIRMATION_VALID_MS
from caperdeck.distribution.status import summarise
from caperdeck.distribution.subscriber import STALE_AFTER_MS, HeldVersion, State

from .instance import Instance
from .node import Node
from .schedule import Fault, Publish
from .simulation import Simulation

IN_FORCE_WITHIN = 9000.0  # milliseconds, the target's
CHECK = 100.0  # milliseconds between two checks of what must hold


class Breach(NamedTuple):
    """A property that did not hold."""

    rule: str
    text: str


class World(Simulation):
    """A simulation with what breaks the properties: back, committed, whole, in-force, current, status."""

    def __init__(self, **kinds: Any) -> None:
        self.breaches: list[Breach] = []
        self.reached: dict[tuple[int, int], float] = {}  # since when, by node and instance
        super().__init__(**kinds)
        self.check()

    def breach(self, rule: str, text: str) -> None:
        self.breaches.append(Breach(rule, f"at {self.now:.0f}: {text}"))

    def check_version(self, node: Node, version: HeldVersion) -> None:
        """As it is put in force."""
        name, (revision, named, document) = node.place.name, version
        if revision < node.highest:
            self.breach("back", f"{name} from {node.highest} to {revision}")
        if self.committed.get(revision, ("", 0))[0] != named:
            self.breach("committed", f"{name} took {revision}, which is not committed so")
        if digest(document) != named:
            self.breach("whole", f"{name} has a document of its own as {revision}")

    def check(self) -> None:
        self.check_leader()
        current = [instance for i, instance in enumerate(self.instances) if self.is_current(i)]
        for node in self.nodes:
            self.check_in_force(node, current)
            self.check_current(node)
        if round(self.now / CHECK) % 5 == 0:
            self.check_status()
        self.at(CHECK, self.check)

    def check_in_force(self, node: Node, current: list[Instance]) -> None:
        for instance in self.instances:
            link = node.number, instance.number
            if instance in current and node.is_running and not self.torment and self.linked(node, instance):
                self.reached.setdefault(link, self.now)
            else:
                self.reached.pop(link, None)
        since = min(self.reached.get((node.number, i), math.inf) for i in range(len(self.instances)))
        if self.now - since < IN_FORCE_WITHIN:
            return
        wanted = self.newest_before(self.now - IN_FORCE_WITHIN)
        if max(node.file.revision, node.refusal[0] if node.refusal else 0) < wanted:
            self.breach("in-force", f"{node.place.name} has {node.file.revision}, not {wanted}")

    def newest_before(self, moment: float) -> int:
        return max((revision for revision, (_, at) in self.committed.items() if at <= moment), default=0)

    def check_current(self, node: Node) -> None:
        """A node that calls itself current has the newest version of a moment not long ago."""
        if node.is_running and node.subscriber.state(self.now) is State.CURRENT:
            wanted = self.newest_before(self.now - STALE_AFTER_MS)
            if node.file.revision < wanted:
                self.breach("current", f"{node.place.name} calls {node.file.revision} current, not {wanted}")

    def check_status(self) -> None:
        statuses = [i.publisher.status(self.now) for i in self.instances if i.is_running]
        for status in statuses:
            for row in status.rows:
                said = row.revision, row.digest, row.refused and tuple(row.refused)
                if self.words.get((row.node, row.number)) != said:
                    self.breach("status", f"{status.publisher} has {row}, which was never so")
            if status.confirmed and status.revision < self.newest_before(self.now - CONFIRMATION_VALID_MS):
                self.breach("status", f"{status.publisher} calls {status.revision} the newest")
        if statuses:
            self.check_summary(statuses)

    def check_summary(self, statuses: list[Any]) -> None:
        summary = summarise(statuses, self.node_of)
        said = {(node, words[0]) for (node, _), words in self.words.items()}
        for name in summary.up_to_date:
            if (name, summary.revision) not in said or name in summary.not_heard:
                self.breach("status", f"{name} has never said that {summary.revision} is in force")
        if len(summary.up_to_date) + len(summary.not_heard) > summary.expected:
            self.breach("status", "more nodes than there are")


def play(changes: Iterable[Publish], faults: Iterable[Fault], span: float, **kinds: Any) -> World:
    """The world after so many ms, with the breaches that were found."""
    world = World(**kinds)
    for change in changes:
        world.at(change.at, world.publish, change)
    for fault in faults:
        world.at(fault.at, world.begin, fault)
    world.run(span)
    return world
