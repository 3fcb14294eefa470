"""The simulation of a fleet to which versions are published: agreement, network, faults."""

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
from caperdeck.lab.events import Events
from caperdeck.raft.log import Entry, Kind

from .instance import LEARN, Instance
from .node import Node
from .schedule import Fault, Publish

ELECTION = 600.0  # milliseconds from the loss of a leader to the next
LATENCY = (1.0, 30.0)  # milliseconds, as is the next
TORMENT_LATENCY = (1.0, 1500.0)
TORMENT_LOSS, TORMENT_DOUBLE = 0.3, 0.3
# Region and zone of the seven instances, and of the nodes where a play names no others.
ZONES = [
    ("north", "a"), ("north", "a"), ("north", "b"), ("north", "c"),
    ("south", "d"), ("south", "d"), ("south", "e"),
]  # fmt: skip
NODE_ZONES = [
    ("north", "a"), ("north", "a"), ("north", "b"), ("north", "c"), ("south", "d"), ("south", "e"),
]  # fmt: skip


class Simulation(Events):
    """Instances and nodes, the agreed log, the network between them, and faults; checks are in `World`."""

    def __init__(
        self, seed: int = 0, publisher_kind: type[Publisher] = Publisher,
        subscriber_kind: type[Subscriber] = Subscriber, instance_kind: type[Instance] = Instance,
        places: list[tuple[str, str]] = NODE_ZONES,
    ) -> None:  # fmt: skip
        super().__init__()
        self.random = random.Random(seed)
        self.publisher_kind, self.subscriber_kind = publisher_kind, subscriber_kind
        self.log: list[Entry] = []
        self.agreed = VersionTable()
        self.committed: dict[int, tuple[str, float]] = {}  # by revision: digest, when
        self.leader: int | None = 0
        self.term = 1
        self.cut = self.torment = 0  # faults of the kind under way
        self.words: dict[tuple[str, int], tuple[Any, ...]] = {}  # what was so as a node said it
        self.subscriptions: dict[tuple[str, str], int] = {}
        self.arrivals: dict[tuple[str, str], float] = {}  # the last one in one direction
        self.places = [Place(f"p{i}", zone, region) for i, (region, zone) in enumerate(ZONES)]
        self.instances = [instance_kind(self, i) for i in range(len(ZONES))]
        self.nodes = [Node(self, i, *place) for i, place in enumerate(places)]
        self.node_of = {node.place.name: node for node in self.nodes}
        self.instance_of = {instance.place.name: instance for instance in self.instances}
        for i, instance in enumerate(self.instances):
            self.at(i * LEARN / len(self.instances), instance.ask_leader)

    # ---- agreement

    def meets(self, a: Instance, b: Instance) -> bool:
        apart = self.cut and a.place.region != b.place.region
        return a is b or not (apart or a.isolated or b.isolated)

    def is_current(self, number: int) -> bool:
        """The instance runs and meets a majority that runs."""
        me = self.instances[number]
        met = sum(other.is_running and self.meets(me, other) for other in self.instances)
        return me.is_running and met > len(self.instances) // 2

    def check_leader(self) -> None:
        if self.leader is not None and not self.is_current(self.leader):
            self.leader = None
            self.at(ELECTION, self.elect)

    def elect(self) -> None:
        able = [i for i in range(len(self.instances)) if self.is_current(i)]
        if self.leader is None and able:
            self.leader, self.term = self.random.choice(able), self.term + 1
            # a leader has all that is committed
            self.instances[self.leader].learn(self.now, len(self.log))
        elif self.leader is None:
            self.at(ELECTION, self.elect)

    def publish(self, change: Publish) -> None:
        """An operator's new version: proposed where somebody leads or thinks so, committed a little later."""
        self.check_leader()
        # Danger: one that led and was cut off has proposals in its log that are never committed.
        for number, instance in enumerate(self.instances):
            if instance.is_running and (number == self.leader or instance.isolated or self.cut):
                newest = instance.table.newest.revision
                command = publish_command(instance.table, newest, self.next(change), self.term)
                entry = Entry(self.term, Kind.COMMAND, orjson.dumps(command))
                instance.proposed(entry)
                if number == self.leader:
                    self.at(self.latency(), self.commit, number, self.term, entry)

    def next(self, change: Publish) -> dict[str, Any]:
        document = orjson.loads(orjson.dumps(self.agreed.document))
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
        self.check_leader()
        if (self.leader, self.term) != (leader, term):
            return  # lost with its leader
        self.log.append(entry)
        answer = self.agreed.apply(orjson.loads(entry.data))
        if "ok" in answer:
            self.committed[answer["revision"]] = answer["digest"], self.now

    # ---- the network

    def latency(self) -> float:
        return self.random.uniform(*LATENCY)

    def linked(self, node: Node, instance: Instance) -> bool:
        return not (self.cut and node.place.region != instance.place.region)

    def deliver(self, a: str, b: str, do: Callable, *args: Any) -> None:
        """In order and once; in torment neither."""
        if not self.torment:
            arrival = max(self.now + self.latency(), self.arrivals.get((a, b), 0.0))
            self.arrivals[a, b] = arrival
            self.at(arrival - self.now, do, *args)
        elif self.random.random() >= TORMENT_LOSS:
            for _ in range(1 + (self.random.random() < TORMENT_DOUBLE)):
                self.at(self.random.uniform(*TORMENT_LATENCY), do, *args)

    def to_publisher(self, node: Node, name: str, message: NodeMessage) -> None:
        in_force = node.file.revision, node.file.digest, node.refusal
        self.words[node.place.name, message.number] = in_force
        if isinstance(message, Subscribe):
            self.subscriptions[node.place.name, name] = message.number
        instance = self.instance_of[name]
        if not self.linked(node, instance):
            return
        if not instance.up:
            self.at(self.latency(), node.call_when_running, node.lost, node.life, name)
            return
        self.deliver(node.place.name, name, instance.call_when_running, instance.receive, message)

    def to_node(self, number: int, name: str, message: PublisherMessage) -> None:
        node, instance = self.node_of[name], self.instances[number]
        if self.linked(node, instance):
            self.deliver(
                instance.place.name, name, node.call_when_running, node.receive, instance.place.name, message
            )

    def left(self, node: Node, name: str) -> None:
        number, instance = self.subscriptions[node.place.name, name], self.instance_of[name]
        if self.linked(node, instance):
            self.deliver(
                node.place.name,
                name,
                instance.call_when_running,
                self.gone,
                instance,
                node.place.name,
                number,
            )

    def gone(self, instance: Instance, name: str, number: int) -> None:
        instance.send(instance.publisher.connection_lost(self.now, name, number))

    # ---- faults

    def begin(self, fault: Fault) -> None:
        instance = self.instances[fault.of]
        match fault.do:
            case "kill" if instance.up:
                instance.up, instance.suspended = False, False
                self.at(fault.span, instance.start)
            case "sleep" if instance.is_running:
                instance.suspend()
                self.at(fault.span, instance.resume)
            case "isolate" if not instance.isolated:
                instance.isolated = True
                self.at(fault.span, setattr, instance, "isolated", False)
            case "cut" | "torment":
                setattr(self, fault.do, getattr(self, fault.do) + 1)
                self.at(fault.span, self.heal, fault.do)
            case "restart" | "replace":
                for node in self.random.sample(self.nodes, round(0.7 * len(self.nodes))):
                    if node.up:
                        node.die(fault.do == "replace")
                        self.at(fault.span, node.start)
            case "doze":
                for node in self.random.sample(self.nodes, len(self.nodes) // 2):
                    if node.is_running:
                        node.suspend()
                        self.at(fault.span, node.resume)

    def heal(self, do: str) -> None:
        setattr(self, do, getattr(self, do) - 1)

    # ---- what is checked

    def check_version(self, node: Node, version: HeldVersion) -> None:
        """A node is about to put a version in force."""
