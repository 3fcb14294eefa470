"""Simulates a fleet to which versions are published: commits, network and faults."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson

from caperdeck.distribution.publisher_selection import Place
from caperdeck.distribution.messages import NodeMessage, PublisherMessage, Subscribe
from caperdeck.distribution.publisher import Publisher
from caperdeck.distribution.subscriber import HeldVersion, Subscriber
from caperdeck.distribution.table import VersionTable, publish_command
from caperdeck.lab.events import EventQueue
from caperdeck.raft.log import Entry, Kind

from .instance import LEARN_INTERVAL_MS, Instance
from .node import Node
from .schedule import Fault, Publish

ELECTION_MS = 600.0  # from the loss of a leader to the next election
LATENCY_MS = (1.0, 30.0)
TORMENT_LATENCY_MS = (1.0, 1500.0)
TORMENT_LOSS, TORMENT_DUPLICATION = 0.3, 0.3
# Region and zone of the seven instances, and of the nodes unless a simulation names others.
ZONES = [
    ("north", "a"), ("north", "a"), ("north", "b"), ("north", "c"),
    ("south", "d"), ("south", "d"), ("south", "e"),
]  # fmt: skip
NODE_ZONES = [
    ("north", "a"), ("north", "a"), ("north", "b"), ("north", "c"), ("south", "d"), ("south", "e"),
]  # fmt: skip


class Simulation(EventQueue):
    """Instances and nodes, the committed log, the network between them, and faults.

    The properties are checked in `World`.
    """

    def __init__(
        self, seed: int = 0, publisher_kind: type[Publisher] = Publisher,
        subscriber_kind: type[Subscriber] = Subscriber, instance_kind: type[Instance] = Instance,
        places: list[tuple[str, str]] = NODE_ZONES,
    ) -> None:  # fmt: skip
        super().__init__()
        self.random = random.Random(seed)
        self.publisher_kind, self.subscriber_kind = publisher_kind, subscriber_kind
        self.log: list[Entry] = []
        self.committed_table = VersionTable()
        self.committed: dict[int, tuple[str, float]] = {}  # digest and commit time, by revision
        self.leader: int | None = 0
        self.term = 1
        self.cut = self.torment = 0  # numbers of active faults of these kinds
        # Revision, digest and refusal of a node when it sent a message, by node and message number.
        self.reported_states: dict[tuple[str, int], tuple[Any, ...]] = {}
        self.subscriptions: dict[tuple[str, str], int] = {}
        self.last_arrivals: dict[tuple[str, str], float] = {}  # by sender and receiver
        self.places = [Place(f"p{i}", zone, region) for i, (region, zone) in enumerate(ZONES)]
        self.instances = [instance_kind(self, i) for i in range(len(ZONES))]
        self.nodes = [Node(self, i, *place) for i, place in enumerate(places)]
        self.node_by_name = {node.place.name: node for node in self.nodes}
        self.instance_by_name = {instance.place.name: instance for instance in self.instances}
        for i, instance in enumerate(self.instances):
            self.call_later(i * LEARN_INTERVAL_MS / len(self.instances), instance.ask_leader)

    # ---- commits

    def is_connected(self, a: Instance, b: Instance) -> bool:
        """Whether two instances can reach each other."""
        is_separated = self.cut and a.place.region != b.place.region
        return a is b or not (is_separated or a.isolated or b.isolated)

    def has_quorum(self, number: int) -> bool:
        """Whether the instance runs and reaches a majority of instances that run."""
        instance = self.instances[number]
        reachable = sum(other.is_running and self.is_connected(instance, other) for other in self.instances)
        return instance.is_running and reachable > len(self.instances) // 2

    def check_leader(self) -> None:
        """Deposes a leader that has lost its quorum and schedules an election."""
        if self.leader is not None and not self.has_quorum(self.leader):
            self.leader = None
            self.call_later(ELECTION_MS, self.elect)

    def elect(self) -> None:
        candidates = [i for i in range(len(self.instances)) if self.has_quorum(i)]
        if self.leader is None and candidates:
            self.leader, self.term = self.random.choice(candidates), self.term + 1
            # An elected leader has all committed entries.
            self.instances[self.leader].learn(self.now, len(self.log))
        elif self.leader is None:
            self.call_later(ELECTION_MS, self.elect)

    def publish(self, change: Publish) -> None:
        """Proposes a new version at the leader and at instances that may still think that they lead.

        The leader commits it after a latency. A leader that was cut off has proposals in its log that are
        never committed.
        """
        self.check_leader()
        for number, instance in enumerate(self.instances):
            if instance.is_running and (number == self.leader or instance.isolated or self.cut):
                newest = instance.table.newest.revision
                command = publish_command(instance.table, newest, self.next_document(change), self.term)
                entry = Entry(self.term, Kind.COMMAND, orjson.dumps(command))
                instance.proposed(entry)
                if number == self.leader:
                    self.call_later(self.latency(), self.commit, number, self.term, entry)

    def next_document(self, change: Publish) -> dict[str, Any]:
        """The newest document with random changes, and the mark for refusal if the change asks for it."""
        document = orjson.loads(orjson.dumps(self.committed_table.document))
        document["count"] = self.random.random()
        group = document.setdefault(f"group{self.random.randrange(4)}", {})
        group[f"key{self.random.randrange(4)}"] = [self.random.randrange(100)]
        if len(group) > 2:
            del group[next(iter(group))]
        document.pop("refused", None)
        if change.refused_by_half:
            document["refused"] = True
        return document

    def commit(self, leader: int, term: int, entry: Entry) -> None:
        """Commits an entry, unless its leader has lost its quorum or its term in the meantime."""
        self.check_leader()
        if (self.leader, self.term) != (leader, term):
            return  # the entry was lost with its leader
        self.log.append(entry)
        answer = self.committed_table.apply(orjson.loads(entry.data))
        if "ok" in answer:
            self.committed[answer["revision"]] = answer["digest"], self.now

    # ---- the network

    def latency(self) -> float:
        return self.random.uniform(*LATENCY_MS)

    def is_linked(self, node: Node, instance: Instance) -> bool:
        """Whether a node can reach an instance."""
        return not (self.cut and node.place.region != instance.place.region)

    def deliver(self, a: str, b: str, function: Callable, *args: Any) -> None:
        """Delivers a message in order and once, but neither of it while links are tormented."""
        if not self.torment:
            arrival = max(self.now + self.latency(), self.last_arrivals.get((a, b), 0.0))
            self.last_arrivals[a, b] = arrival
            self.call_later(arrival - self.now, function, *args)
        elif self.random.random() >= TORMENT_LOSS:
            for _ in range(1 + (self.random.random() < TORMENT_DUPLICATION)):
                self.call_later(self.random.uniform(*TORMENT_LATENCY_MS), function, *args)

    def send_to_publisher(self, node: Node, name: str, message: NodeMessage) -> None:
        reported_state = node.active_version.revision, node.active_version.digest, node.refusal
        self.reported_states[node.place.name, message.number] = reported_state
        if isinstance(message, Subscribe):
            self.subscriptions[node.place.name, name] = message.number
        instance = self.instance_by_name[name]
        if not self.is_linked(node, instance):
            return
        if not instance.up:
            self.call_later(self.latency(), node.call_when_running, node.connection_lost, node.life, name)
            return
        self.deliver(node.place.name, name, instance.call_when_running, instance.receive, message)

    def send_to_node(self, number: int, name: str, message: PublisherMessage) -> None:
        node, instance = self.node_by_name[name], self.instances[number]
        if self.is_linked(node, instance):
            self.deliver(
                instance.place.name, name, node.call_when_running, node.receive, instance.place.name, message
            )

    def node_left(self, node: Node, name: str) -> None:
        number, instance = self.subscriptions[node.place.name, name], self.instance_by_name[name]
        if self.is_linked(node, instance):
            self.deliver(
                node.place.name,
                name,
                instance.call_when_running,
                self.disconnect,
                instance,
                node.place.name,
                number,
            )

    def disconnect(self, instance: Instance, name: str, number: int) -> None:
        instance.send(instance.publisher.connection_lost(self.now, name, number))

    # ---- faults

    def inject_fault(self, fault: Fault) -> None:
        """Starts a fault and schedules its end."""
        instance = self.instances[fault.of]
        match fault.do:
            case "kill" if instance.up:
                instance.up, instance.suspended = False, False
                self.call_later(fault.span, instance.start)
            case "sleep" if instance.is_running:
                instance.suspend()
                self.call_later(fault.span, instance.resume)
            case "isolate" if not instance.isolated:
                instance.isolated = True
                self.call_later(fault.span, setattr, instance, "isolated", False)
            case "cut" | "torment":
                setattr(self, fault.do, getattr(self, fault.do) + 1)
                self.call_later(fault.span, self.heal, fault.do)
            case "restart" | "replace":
                for node in self.random.sample(self.nodes, round(0.7 * len(self.nodes))):
                    if node.up:
                        node.die(fault.do == "replace")
                        self.call_later(fault.span, node.start)
            case "doze":
                for node in self.random.sample(self.nodes, len(self.nodes) // 2):
                    if node.is_running:
                        node.suspend()
                        self.call_later(fault.span, node.resume)

    def heal(self, do: str) -> None:
        setattr(self, do, getattr(self, do) - 1)

    # ---- hook for checks

    def check_version(self, node: Node, version: HeldVersion) -> None:
        """Called when a node is about to apply a version."""
