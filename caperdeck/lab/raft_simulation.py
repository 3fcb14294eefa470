"""A cluster of Raft instances in virtual time: messages lost, late and doubled, links cut, processes that die
at any write, are suspended, and have clocks of their own rate. The paper's properties are checked as it runs.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import orjson

from caperdeck.raft.core import Raft, Role, Save
from caperdeck.raft.driver import Driver
from caperdeck.raft.log import Entry, Log, Members, Snapshot
from caperdeck.raft.sessions import Sessions

from .events import Events
from .exploration import BrokenError
from .linearizability import check_history
from .suspension import Suspendable

WRITE = (0.2, 8.0)  # milliseconds until a write is on disk
COMPACT_AT = 40  # entries


class Line:
    """The state machine: a list of values, each of which is put at its end."""

    def __init__(self) -> None:
        self.values: list[Any] = []

    def apply(self, command: Any) -> int:
        self.values.append(command)
        return len(self.values)

    def dump(self) -> Any:
        return self.values

    def load(self, state: Any) -> None:
        self.values = list(state or [])


class Disk:
    """What one instance finds when it starts again."""

    def __init__(self, members: Members) -> None:
        self.term, self.voted_for = 0, None
        self.log = Log(Snapshot(0, 0, members))

    def write(self, save: Save) -> None:
        self.term, self.voted_for = save.term, save.voted_for
        if save.snapshot is not None:
            self.log.compact(save.snapshot)
        self.log.replace_from(save.first, save.entries)


class Instance(Suspendable):
    """One process: the program's driver on a slow disk, a network with faults, a clock of its own rate."""

    def __init__(self, world: World, me: int) -> None:
        super().__init__()
        self.world, self.me = world, me
        self.up, self.life = False, 0
        self.rate = 1.0
        self.driver: Driver

    @property
    def raft(self) -> Raft:
        return self.driver.raft

    @property
    def values(self) -> list[Any]:
        return self.driver.machine.machine.values

    def now(self) -> float:
        return self.world.now * self.rate

    def start(self) -> None:
        disk, self.life = self.world.disks[self.me], self.life + 1
        log = Log(disk.log.snapshot, disk.log.entries)
        seed = self.world.seed * 101 + self.me * 13 + self.life
        raft = self.world.kind(self.me, disk.term, disk.voted_for, log, seed, self.now())
        machine = Sessions(Line())
        machine.load(log.snapshot.data)
        self.driver = Driver(
            raft, machine, self.now, self.write, lambda to, m: self.world.send(self.me, to, m),
            lambda role, term, _: self.world.became(self.me, role, term, raft.log),
            lambda index, entry, _: self.world.applied(self.me, index, entry), COMPACT_AT,
        )  # fmt: skip
        self.up, self.suspended, self.deferred_calls = True, False, []
        self.tick(self.life)

    def die(self) -> None:
        self.up = False
        self.driver.close()

    def tick(self, life: int) -> None:
        if life == self.life:
            self.call_when_running(self._tick, life)

    def _tick(self, life: int) -> None:
        self.driver.tick()
        wait = max((self.raft.due - self.now()) / self.rate, 1.0)
        self.world.at(wait, self.tick, life)

    def write(self, save: Save, done: Callable[[], None]) -> None:
        self.world.at(self.world.draw.uniform(*WRITE), self.written, save, done, self.life)

    def written(self, save: Save, done: Callable[[], None], life: int) -> None:
        """The write is on disk, suspended or not; a process that died before never knows."""
        if life != self.life or not self.up:
            return
        self.world.disks[self.me].write(save)
        if self.world.dies_at_write():
            self.world.die(self.me)
        else:
            self.call_when_running(done)


class World(Events):
    """`die_rate` is the chance to die at each write."""

    def __init__(
        self, size: int, seed: int, kind: type[Raft] = Raft, loss: float = 0.05, double: float = 0.05,
        late: tuple[float, float] = (0.3, 30.0), die_rate: float = 0.0,
    ) -> None:  # fmt: skip
        super().__init__()
        self.seed, self.kind, self.draw = seed, kind, random.Random(seed)
        self.loss, self.double, self.late, self.die_rate = loss, double, late, die_rate
        members = Members(tuple(range(size)))
        self.disks = [Disk(members) for _ in range(size)]
        self.cut: set[tuple[int, int]] = set()
        self.leaders: dict[int, int] = {}  # by term
        self.entries: dict[int, Entry] = {}  # by index, as first applied
        self.committed: dict[int, int] = {}  # and the term of whoever applied it first
        self.took: list[float] = []  # commit times
        self.elected: list[float] = []
        self.instances = [Instance(self, i) for i in range(size)]
        for instance in self.instances:
            instance.start()

    # ---- the network and the processes

    def send(self, a: int, b: int, message: Any) -> None:
        if (a, b) in self.cut or self.draw.random() < self.loss:
            return
        for _ in range(1 + (self.draw.random() < self.double)):
            self.at(self.draw.uniform(*self.late), self.arrive, b, message)

    def arrive(self, b: int, message: Any) -> None:
        if b < len(self.instances) and self.instances[b].up:
            self.instances[b].call_when_running(self.instances[b].driver.receive, message)

    def dies_at_write(self) -> bool:
        return self.draw.random() < self.die_rate

    def die(self, i: int) -> None:
        if self.instances[i].up:
            self.instances[i].die()
            self.at(self.draw.uniform(50, 900), self.start, i)

    def start(self, i: int) -> None:
        if not self.instances[i].up:
            self.instances[i].start()

    def suspend(self, i: int, span: float) -> None:
        if self.instances[i].is_running:
            self.instances[i].suspend()
            self.at(span, self.instances[i].resume)

    # ---- what must hold

    def became(self, me: int, role: Role, term: int, log: Log) -> None:
        if role is not Role.LEADER:
            return
        self.elected.append(self.now)
        if self.leaders.setdefault(term, me) != me:
            raise BrokenError(f"election safety: {self.leaders[term]} and {me} lead term {term}")
        for index, entry in self.entries.items():
            if term <= self.committed[index]:
                continue
            if index > log.snapshot.index and (index > log.last_index or log.entry_at(index) != entry):
                raise BrokenError(f"leader completeness: {me} leads term {term} without entry {index}")

    def applied(self, me: int, index: int, entry: Entry) -> None:
        self.committed.setdefault(index, self.instances[me].raft.term)
        if self.entries.setdefault(index, entry) != entry:
            raise BrokenError(f"state machine safety: {me} applies another entry at {index}")

    def check_logs(self) -> None:
        """Log matching: logs with an entry of one index and term are alike up to it."""
        logs = [(i.me, i.raft.log) for i in self.instances if i.up]
        for k, (a, one) in enumerate(logs):
            for b, other in logs[k + 1 :]:
                same = min(one.last_index, other.last_index)
                first = max(one.snapshot.index, other.snapshot.index)
                while same > first and one.term_at(same) != other.term_at(same):
                    same -= 1
                for index in range(first + 1, same + 1):
                    if one.entry_at(index) != other.entry_at(index):
                        raise BrokenError(f"log matching: {a} and {b} differ at {index} before {same}")

    def leader(self) -> Instance | None:
        led = [i for i in self.instances if i.is_running and i.raft.role is Role.LEADER]
        return max(led, key=lambda i: i.raft.term, default=None)


class Client:
    """Puts one value after another, again until it is told that it stands; reads in between."""

    def __init__(self, world: World, number: int, ops: list[dict[str, Any]]) -> None:
        self.world, self.number, self.ops = world, number, ops
        self.serial = 0
        self.world.at(200.0 + 10 * number, self.begin)

    def begin(self) -> None:
        self.serial += 1
        read = self.world.draw.random() < 0.3
        value = f"{self.number}.{self.serial}"
        op = {"read": read, "value": value, "from": self.world.now, "to": None, "got": None}
        self.ops.append(op)
        self.attempt(op, self.serial)

    def attempt(self, op: dict[str, Any], serial: int) -> None:
        if op["to"] is not None or serial != self.serial:
            return
        draw = self.world.draw
        self.world.at(draw.uniform(60, 200), self.attempt, op, serial)
        to = draw.choice(self.world.instances)
        if not to.is_running:
            return
        if op["read"]:
            to.driver.read(lambda line: self.answered(op, None if line is None else list(line.values)))
        else:
            data = orjson.dumps(op["value"])
            to.driver.propose(data, self.number + 1, serial, lambda got: self.answered(op, got))

    def answered(self, op: dict[str, Any], got: Any) -> None:
        if got is None or op["to"] is not None:
            return
        op["to"], op["got"] = self.world.now, got
        if not op["read"]:
            self.world.took.append(op["to"] - op["from"])
        self.world.at(self.world.draw.uniform(5, 60), self.begin)


def torment(world: World, span: float) -> None:
    """Deaths, suspensions, cuts both ways and one way, moments of loss, and quiet, at random moments."""
    draw, until = world.draw, world.now + span
    size = len(world.instances)
    while world.now < until:
        what = draw.choice(("die", "sleep", "cut", "one-way", "heal", "heal", "transfer"))
        i = draw.randrange(size)
        if what == "die":
            world.die(i)
        elif what == "sleep":
            world.suspend(i, draw.uniform(20, 1500))
        elif what == "cut":
            world.cut = {(a, b) for a in range(size) for b in range(size) if (a == i) != (b == i)}
        elif what == "one-way":
            world.cut = {(i, b) for b in range(size)}
        elif what == "transfer" and (leader := world.leader()) is not None:
            leader.raft.transfer_leadership(leader.now(), i)
        else:
            world.cut = set()
        world.run(draw.uniform(20, 600))
        world.check_logs()


def play(
    size: int, seed: int, span: float, kind: type[Raft] = Raft, clients: int = 3, **faults: Any,
) -> World:  # fmt: skip
    """One run under torment, then quiet; raises BrokenError."""
    world = World(size, seed, kind, **faults)
    for i, instance in enumerate(world.instances):
        instance.rate = 1 + (i - size // 2) * 0.02
    ops: list[dict[str, Any]] = []
    for number in range(clients):
        Client(world, number, ops)
    torment(world, span)
    world.cut, world.loss, world.die_rate = set(), 0.0, 0.0
    world.run(6000.0)
    world.check_logs()
    if (leader := world.leader()) is None:
        raise BrokenError("no leader in quiet")
    check_history(ops, leader.values)
    if not any(op["to"] is not None and op["to"] > world.now - 4500 for op in ops):
        raise BrokenError("nothing goes on in quiet")
    return world
