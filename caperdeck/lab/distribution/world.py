"""The simulation with checks of all properties, and a run of one schedule."""

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

PROPAGATION_BOUND_MS = 9000.0  # bound of the target for the propagation of a version
CHECK_INTERVAL_MS = 100.0


class Breach(NamedTuple):
    """A violation of a property."""

    rule: str
    text: str


class World(Simulation):
    """A simulation that records violations of its properties.

    - `back`: a node never applies a lower revision after a higher one.
    - `committed`: a node applies committed versions only.
    - `whole`: the document of a node is the one that was published.
    - `in-force`: a node that reaches an instance with a quorum has every version within the bound.
    - `current`: a node that reports itself as current has a version that was the newest a short time ago.
    - `status`: a status contains only what nodes have reported, and confirms only the newest version.
    """

    def __init__(self, **kinds: Any) -> None:
        self.breaches: list[Breach] = []
        self.reached_since: dict[tuple[int, int], float] = {}  # by numbers of node and instance
        super().__init__(**kinds)
        self.check()

    def breach(self, rule: str, text: str) -> None:
        self.breaches.append(Breach(rule, f"at {self.now:.0f}: {text}"))

    def check_version(self, node: Node, version: HeldVersion) -> None:
        """Checks a version when a node applies it."""
        name, (revision, version_digest, document) = node.place.name, version
        if revision < node.highest_revision:
            self.breach("back", f"{name} from {node.highest_revision} to {revision}")
        if self.committed.get(revision, ("", 0))[0] != version_digest:
            self.breach("committed", f"{name} took {revision}, which is not committed so")
        if digest(document) != version_digest:
            self.breach("whole", f"{name} has a document of its own as {revision}")

    def check(self) -> None:
        """Checks the properties that hold at any time; is called at a fixed interval."""
        self.check_leader()
        current = [instance for i, instance in enumerate(self.instances) if self.has_quorum(i)]
        for node in self.nodes:
            self.check_propagation(node, current)
            self.check_current(node)
        if round(self.now / CHECK_INTERVAL_MS) % 5 == 0:
            self.check_status()
        self.call_later(CHECK_INTERVAL_MS, self.check)

    def check_propagation(self, node: Node, current: list[Instance]) -> None:
        """Checks that a node that could reach an instance for long enough has the newest version."""
        for instance in self.instances:
            link = node.number, instance.number
            if (
                instance in current
                and node.is_running
                and not self.torment
                and self.is_linked(node, instance)
            ):
                self.reached_since.setdefault(link, self.now)
            else:
                self.reached_since.pop(link, None)
        since = min(self.reached_since.get((node.number, i), math.inf) for i in range(len(self.instances)))
        if self.now - since < PROPAGATION_BOUND_MS:
            return
        wanted = self.newest_revision_at(self.now - PROPAGATION_BOUND_MS)
        if max(node.active_version.revision, node.refusal[0] if node.refusal else 0) < wanted:
            self.breach("in-force", f"{node.place.name} has {node.active_version.revision}, not {wanted}")

    def newest_revision_at(self, time: float) -> int:
        """The newest revision that was committed by that time; 0 for none."""
        return max((revision for revision, (_, at) in self.committed.items() if at <= time), default=0)

    def check_current(self, node: Node) -> None:
        """Checks that a node that reports itself as current has a version that was the newest recently."""
        if node.is_running and node.subscriber.state(self.now) is State.CURRENT:
            wanted = self.newest_revision_at(self.now - STALE_AFTER_MS)
            if node.active_version.revision < wanted:
                self.breach(
                    "current", f"{node.place.name} calls {node.active_version.revision} current, not {wanted}"
                )

    def check_status(self) -> None:
        """Checks the statuses of all publishers against what nodes have reported."""
        statuses = [i.publisher.status(self.now) for i in self.instances if i.is_running]
        for status in statuses:
            for row in status.rows:
                reported = row.revision, row.digest, row.refused and tuple(row.refused)
                if self.reported_states.get((row.node, row.number)) != reported:
                    self.breach("status", f"{status.publisher} has {row}, which was never so")
            if status.confirmed and status.revision < self.newest_revision_at(
                self.now - CONFIRMATION_VALID_MS
            ):
                self.breach("status", f"{status.publisher} calls {status.revision} the newest")
        if statuses:
            self.check_summary(statuses)

    def check_summary(self, statuses: list[Any]) -> None:
        """Checks the combined status that operators see."""
        summary = summarise(statuses, self.node_by_name)
        reported_revisions = {(node, state[0]) for (node, _), state in self.reported_states.items()}
        for name in summary.up_to_date:
            if (name, summary.revision) not in reported_revisions or name in summary.not_heard:
                self.breach("status", f"{name} has never said that {summary.revision} is in force")
        if len(summary.up_to_date) + len(summary.not_heard) > summary.expected:
            self.breach("status", "more nodes than there are")


def simulate(changes: Iterable[Publish], faults: Iterable[Fault], span: float, **kinds: Any) -> World:
    """Runs a schedule for `span` milliseconds; returns the world with the violations that were found."""
    world = World(**kinds)
    for change in changes:
        world.call_later(change.at, world.publish, change)
    for fault in faults:
        world.call_later(fault.at, world.inject_fault, fault)
    world.run(span)
    return world
