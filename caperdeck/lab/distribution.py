"""Distribution of configuration in virtual time: instances with one agreed log, publishers, nodes, faults.

Agreement itself is not played (`agree.py` does that): an entry is committed at one moment, instances that
reach a majority learn of it and confirm themselves, others do not. Every property is checked all along.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import orjson

from caperdeck.distribution.choice import Place
from caperdeck.distribution.document import digest
from caperdeck.distribution.messages import FromNode, FromPublisher, Subscribe
from caperdeck.distribution.publisher import CONFIRMED_FOR, Publisher
from caperdeck.distribution.status import summarise
from caperdeck.distribution.subscriber import (
    CONFIRMED_WITHIN, NOTHING, Action, Apply, Held, Leave, Send, State, Subscriber,
)  # fmt: skip
from caperdeck.distribution.table import Versions, propose
from caperdeck.raft.log import Entry, Kind
from caperdeck.raft.sessions import Sessions

from .events import Events

IN_FORCE_WITHIN = 9000.0  # ms, the target's
ELECTION = 600.0  # from the loss of a leader to the next
LEARN = 100.0  # between two looks of an instance at the leader
CHECK = 100.0  # between two checks of what must hold
LATENCY = (1.0, 30.0)
TORMENT_LATENCY = (1.0, 1500.0)
TORMENT_LOSS, TORMENT_DOUBLE = 0.3, 0.3
HISTORY = 3  # versions that a delta can begin at: few, so that snapshots are sent often
APPLY = (20.0, 200.0)  # until a version is in force
# Region and zone of the seven instances, and of the nodes where a play names no others.
ZONES = [
    ("north", "a"), ("north", "a"), ("north", "b"), ("north", "c"),
    ("south", "d"), ("south", "d"), ("south", "e"),
]  # fmt: skip
NODE_ZONES = [
    ("north", "a"), ("north", "a"), ("north", "b"), ("north", "c"), ("south", "d"), ("south", "e"),
]  # fmt: skip


class Fault(NamedTuple):
    """`do`: kill, sleep or isolate an instance (from the other instances); cut the south off; torment all
    links of nodes (messages lost, doubled, late); restart seven in ten nodes, or replace them, their files
    lost; doze: half of the nodes are stopped. Times in ms."""

    do: str
    of: int  # instance
    at: float
    span: float


class Publish(NamedTuple):
    at: float
    refused_by_half: bool = False


class Breach(NamedTuple):
    rule: str
    text: str


class Process:
    """What comes while it is stopped lies there until it is woken."""

    def __init__(self) -> None:
        self.up, self.asleep = True, False
        self.inbox: list[tuple[Callable, tuple]] = []

    @property
    def runs(self) -> bool:
        return self.up and not self.asleep

    def act(self, do: Callable, *args: Any) -> None:
        """Now, or when the process is woken."""
        if self.asleep:
            self.inbox.append((do, args))
        elif self.up:
            do(*args)

    def wake(self) -> None:
        self.asleep = False
        inbox, self.inbox = self.inbox, []
        for do, args in inbox:
            self.act(do, *args)


class Instance(Process):
    """A control machine: a copy of the agreed table, and a publisher."""

    def __init__(self, world: World, number: int) -> None:
        super().__init__()
        self.world, self.number = world, number
        region, zone = ZONES[number]
        self.place = Place(f"p{number}", zone, region)
        self.machine = Sessions(Versions(HISTORY))
        self.applied = 0
        self.isolated = False
        self.start()

    @property
    def table(self) -> Versions:
        return self.machine.machine

    def start(self) -> None:
        """On its own disk: subscribers are forgotten, the table is not."""
        kept = self.machine.dump()
        self.machine = Sessions(Versions(HISTORY))
        self.machine.load(kept)
        self.publisher = self.world.publisher_kind(self.place.name, self.table, self.world.now)
        self.up, self.inbox = True, []

    def look(self) -> None:
        """Reads the newest from the leader; the answer comes a little later."""
        if self.runs:
            self.send(self.publisher.tick(self.world.now))
            if self.world.leader is not None and self.world.is_current(self.number):
                self.world.at(self.world.latency(), self.act, self.learn, self.world.now, len(self.world.log))
        self.world.at(LEARN, self.look)

    def learn(self, asked: float, index: int) -> None:
        for entry in self.world.log[self.applied : index]:
            self.machine.apply(entry)
        grown, self.applied = index > self.applied, max(index, self.applied)
        if grown:
            self.send(self.publisher.changed(self.world.now))
        self.publisher.confirmed(asked, self.table.newest.revision)

    def proposed(self, entry: Entry) -> None:
        """In its log, and not committed: nothing follows from that."""

    def receive(self, message: FromNode) -> None:
        self.send(self.publisher.receive(self.world.now, message))

    def send(self, sends: Iterable[Any]) -> None:
        for send in sends:
            self.world.to_node(self.number, send.node, send.message)


class Node(Process):
    """A node process with its file; every other one cannot serve versions of a certain kind."""

    def __init__(self, world: World, number: int, region: str, zone: str) -> None:
        super().__init__()
        self.world, self.number = world, number
        self.place = Place(f"n{number}", zone, region)
        self.file = NOTHING  # what is in force too
        self.refusal: tuple[int, str] | None = None
        self.highest = 0
        self.life = self.timers = 0
        self.start()

    def start(self) -> None:
        self.up, self.life, self.refusal, self.inbox = True, self.life + 1, None, []
        publishers = [instance.place for instance in self.world.instances]
        seed, first = self.number * 101 + self.life, self.life << 32
        kind = self.world.subscriber_kind
        self.subscriber = kind(self.place, publishers, self.file, first, seed, self.world.now)
        self.carry_out([])

    def die(self, replaced: bool) -> None:
        self.up, self.asleep = False, False
        if replaced:
            self.file, self.highest = NOTHING, 0

    def tick(self, timer: int) -> None:
        if timer == self.timers:
            self.carry_out(self.subscriber.tick(self.world.now))

    def receive(self, publisher: str, message: FromPublisher) -> None:
        """A late message may come to a later life."""
        self.carry_out(self.subscriber.receive(self.world.now, publisher, message))

    def lost(self, life: int, publisher: str) -> None:
        if life == self.life:
            self.carry_out(self.subscriber.lost(self.world.now, publisher))

    def carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.world.to_publisher(self, action.publisher, action.message)
            elif isinstance(action, Apply):
                wait = self.world.draw.uniform(*APPLY)
                self.world.at(wait, self.act, self.put_in_force, self.life, action.version)
            elif isinstance(action, Leave):
                self.world.left(self, action.publisher)
        self.timers += 1
        self.world.at(max(self.subscriber.due - self.world.now, 1.0), self.act, self.tick, self.timers)

    def put_in_force(self, life: int, version: Held) -> None:
        if life != self.life:
            return
        if version.document.get("refused") and self.number % 2:
            self.refusal = version.revision, "refused: not by this node"
            self.carry_out(self.subscriber.refused(self.world.now, *self.refusal))
            return
        self.world.check_version(self, version)
        self.file, self.highest = version, max(self.highest, version.revision)
        self.carry_out(self.subscriber.applied(self.world.now, version.revision))


class World(Events):
    def __init__(
        self, seed: int = 0, publisher_kind: type[Publisher] = Publisher,
        subscriber_kind: type[Subscriber] = Subscriber, instance_kind: type[Instance] = Instance,
        places: list[tuple[str, str]] = NODE_ZONES,
    ) -> None:  # fmt: skip
        super().__init__()
        self.draw = random.Random(seed)
        self.publisher_kind, self.subscriber_kind = publisher_kind, subscriber_kind
        self.log: list[Entry] = []
        self.agreed = Versions()
        self.committed: dict[int, tuple[str, float]] = {}  # by revision: digest, when
        self.leader: int | None = 0
        self.term = 1
        self.cut = self.torment = 0  # faults of the kind under way
        self.breaches: list[Breach] = []
        self.words: dict[tuple[str, int], tuple[Any, ...]] = {}  # what was so as a node said it
        self.subscriptions: dict[tuple[str, str], int] = {}
        self.arrivals: dict[tuple[str, str], float] = {}  # the last one in one direction
        self.reached: dict[tuple[int, int], float] = {}  # since when, by node and instance
        self.instances = [instance_kind(self, i) for i in range(len(ZONES))]
        self.nodes = [Node(self, i, *place) for i, place in enumerate(places)]
        self.node_of = {node.place.name: node for node in self.nodes}
        self.instance_of = {instance.place.name: instance for instance in self.instances}
        for i, instance in enumerate(self.instances):
            self.at(i * LEARN / len(self.instances), instance.look)
        self.check()

    # ---- agreement

    def meets(self, a: Instance, b: Instance) -> bool:
        apart = self.cut and a.place.region != b.place.region
        return a is b or not (apart or a.isolated or b.isolated)

    def is_current(self, number: int) -> bool:
        """The instance runs and meets a majority that runs."""
        me = self.instances[number]
        met = sum(other.runs and self.meets(me, other) for other in self.instances)
        return me.runs and met > len(self.instances) // 2

    def check_leader(self) -> None:
        if self.leader is not None and not self.is_current(self.leader):
            self.leader = None
            self.at(ELECTION, self.elect)

    def elect(self) -> None:
        able = [i for i in range(len(self.instances)) if self.is_current(i)]
        if self.leader is None and able:
            self.leader, self.term = self.draw.choice(able), self.term + 1
            # a leader has all that is committed
            self.instances[self.leader].learn(self.now, len(self.log))
        elif self.leader is None:
            self.at(ELECTION, self.elect)

    def publish(self, change: Publish) -> None:
        """An operator's new version: proposed where somebody leads or thinks so, committed a little later."""
        self.check_leader()
        # Danger: one that led and was cut off has proposals in its log that are never committed.
        for number, instance in enumerate(self.instances):
            if instance.runs and (number == self.leader or instance.isolated or self.cut):
                newest = instance.table.newest.revision
                command = propose(instance.table, newest, self.next(change), self.term)
                entry = Entry(self.term, Kind.COMMAND, orjson.dumps(command))
                instance.proposed(entry)
                if number == self.leader:
                    self.at(self.latency(), self.commit, number, self.term, entry)

    def next(self, change: Publish) -> dict[str, Any]:
        document = orjson.loads(orjson.dumps(self.agreed.document))
        document["count"] = self.draw.random()
        group = document.setdefault(f"group{self.draw.randrange(4)}", {})
        group[f"key{self.draw.randrange(4)}"] = [self.draw.randrange(100)]
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
        return self.draw.uniform(*LATENCY)

    def linked(self, node: Node, instance: Instance) -> bool:
        return not (self.cut and node.place.region != instance.place.region)

    def deliver(self, a: str, b: str, do: Callable, *args: Any) -> None:
        """In order and once; in torment neither."""
        if not self.torment:
            arrival = max(self.now + self.latency(), self.arrivals.get((a, b), 0.0))
            self.arrivals[a, b] = arrival
            self.at(arrival - self.now, do, *args)
        elif self.draw.random() >= TORMENT_LOSS:
            for _ in range(1 + (self.draw.random() < TORMENT_DOUBLE)):
                self.at(self.draw.uniform(*TORMENT_LATENCY), do, *args)

    def to_publisher(self, node: Node, name: str, message: FromNode) -> None:
        in_force = node.file.revision, node.file.digest, node.refusal
        self.words[node.place.name, message.number] = in_force
        if isinstance(message, Subscribe):
            self.subscriptions[node.place.name, name] = message.number
        instance = self.instance_of[name]
        if not self.linked(node, instance):
            return
        if not instance.up:
            self.at(self.latency(), node.act, node.lost, node.life, name)
            return
        self.deliver(node.place.name, name, instance.act, instance.receive, message)

    def to_node(self, number: int, name: str, message: FromPublisher) -> None:
        node, instance = self.node_of[name], self.instances[number]
        if self.linked(node, instance):
            self.deliver(instance.place.name, name, node.act, node.receive, instance.place.name, message)

    def left(self, node: Node, name: str) -> None:
        number, instance = self.subscriptions[node.place.name, name], self.instance_of[name]
        if self.linked(node, instance):
            self.deliver(node.place.name, name, instance.act, self.gone, instance, node.place.name, number)

    def gone(self, instance: Instance, name: str, number: int) -> None:
        instance.send(instance.publisher.gone(self.now, name, number))

    # ---- faults

    def begin(self, fault: Fault) -> None:
        instance = self.instances[fault.of]
        match fault.do:
            case "kill" if instance.up:
                instance.up, instance.asleep = False, False
                self.at(fault.span, instance.start)
            case "sleep" if instance.runs:
                instance.asleep = True
                self.at(fault.span, instance.wake)
            case "isolate" if not instance.isolated:
                instance.isolated = True
                self.at(fault.span, setattr, instance, "isolated", False)
            case "cut" | "torment":
                setattr(self, fault.do, getattr(self, fault.do) + 1)
                self.at(fault.span, self.heal, fault.do)
            case "restart" | "replace":
                for node in self.draw.sample(self.nodes, round(0.7 * len(self.nodes))):
                    if node.up:
                        node.die(fault.do == "replace")
                        self.at(fault.span, node.start)
            case "doze":
                for node in self.draw.sample(self.nodes, len(self.nodes) // 2):
                    if node.runs:
                        node.asleep = True
                        self.at(fault.span, node.wake)

    def heal(self, do: str) -> None:
        setattr(self, do, getattr(self, do) - 1)

    # ---- what must hold

    def breach(self, rule: str, text: str) -> None:
        self.breaches.append(Breach(rule, f"at {self.now:.0f}: {text}"))

    def check_version(self, node: Node, version: Held) -> None:
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
            if instance in current and node.runs and not self.torment and self.linked(node, instance):
                self.reached.setdefault(link, self.now)
            else:
                self.reached.pop(link, None)
        since = min(self.reached.get((node.number, i), math.inf) for i in range(len(ZONES)))
        if self.now - since < IN_FORCE_WITHIN:
            return
        wanted = self.newest_before(self.now - IN_FORCE_WITHIN)
        if max(node.file.revision, node.refusal[0] if node.refusal else 0) < wanted:
            self.breach("in-force", f"{node.place.name} has {node.file.revision}, not {wanted}")

    def newest_before(self, moment: float) -> int:
        return max((revision for revision, (_, at) in self.committed.items() if at <= moment), default=0)

    def check_current(self, node: Node) -> None:
        """A node that calls itself current has the newest version of a moment not long ago."""
        if node.runs and node.subscriber.state(self.now) is State.CURRENT:
            wanted = self.newest_before(self.now - CONFIRMED_WITHIN)
            if node.file.revision < wanted:
                self.breach("current", f"{node.place.name} calls {node.file.revision} current, not {wanted}")

    def check_status(self) -> None:
        statuses = [i.publisher.status(self.now) for i in self.instances if i.runs]
        for status in statuses:
            for row in status.rows:
                said = row.revision, row.digest, row.refused and tuple(row.refused)
                if self.words.get((row.node, row.number)) != said:
                    self.breach("status", f"{status.publisher} has {row}, which was never so")
            if status.confirmed and status.revision < self.newest_before(self.now - CONFIRMED_FOR):
                self.breach("status", f"{status.publisher} calls {status.revision} the newest")
        if statuses:
            self.check_summary(statuses)

    def check_summary(self, statuses: list[Any]) -> None:
        summary = summarise(statuses, self.node_of)
        said = {(node, words[0]) for (node, _), words in self.words.items()}
        for name in summary.in_force:
            if (name, summary.revision) not in said or name in summary.not_heard:
                self.breach("status", f"{name} has never said that {summary.revision} is in force")
        if len(summary.in_force) + len(summary.not_heard) > summary.of:
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
