"""Simulates a cluster of Raft instances in virtual time and checks the safety properties of the Raft paper.

Messages are lost, delayed and duplicated, links are cut, and processes crash at any write, are suspended, and
have clocks that run at different rates.
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

from .events import EventQueue
from .exploration import PropertyViolationError
from .linearizability import check_history
from .suspension import Suspendable

WRITE_DELAY_MS = (0.2, 8.0)  # shortest and longest time until a write is on disk
COMPACTION_ENTRIES = 40  # log length at which an instance takes a snapshot


class ListStateMachine:
    """The replicated state machine: a list to which each command appends its value."""

    def __init__(self) -> None:
        self.values: list[Any] = []

    def apply(self, command: Any) -> int:
        self.values.append(command)
        return len(self.values)

    def dump(self) -> Any:
        return self.values

    def load(self, state: Any) -> None:
        self.values = list(state or [])


class SimulatedDisk:
    """The persistent state that an instance finds when it restarts."""

    def __init__(self, members: Members) -> None:
        self.term, self.voted_for = 0, None
        self.log = Log(Snapshot(0, 0, members))

    def write(self, save: Save) -> None:
        self.term, self.voted_for = save.term, save.voted_for
        if save.snapshot is not None:
            self.log.compact(save.snapshot)
        self.log.replace_from(save.first, save.entries)


class Instance(Suspendable):
    """A process that runs the program's Raft driver with a simulated disk, network and clock."""

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
        """Time of the instance's own clock, in milliseconds."""
        return self.world.now * self.rate

    def start(self) -> None:
        """Starts a new life from what is on disk."""
        disk, self.life = self.world.disks[self.me], self.life + 1
        log = Log(disk.log.snapshot, disk.log.entries)
        seed = self.world.seed * 101 + self.me * 13 + self.life
        raft = self.world.raft_class(self.me, disk.term, disk.voted_for, log, seed, self.now())
        machine = Sessions(ListStateMachine())
        machine.load(log.snapshot.data)
        self.driver = Driver(
            raft, machine, self.now, self.write, lambda to, m: self.world.send(self.me, to, m),
            lambda role, term, _: self.world.role_changed(self.me, role, term, raft.log),
            lambda index, entry, _: self.world.entry_applied(self.me, index, entry), COMPACTION_ENTRIES,
        )  # fmt: skip
        self.up, self.suspended, self.deferred_calls = True, False, []
        self.tick(self.life)

    def crash(self) -> None:
        self.up = False
        self.driver.close()

    def tick(self, life: int) -> None:
        if life == self.life:
            self.call_when_running(self._tick, life)

    def _tick(self, life: int) -> None:
        self.driver.tick()
        delay_ms = max((self.raft.due - self.now()) / self.rate, 1.0)
        self.world.call_later(delay_ms, self.tick, life)

    def write(self, save: Save, on_done: Callable[[], None]) -> None:
        """Starts a write, which completes after a random time."""
        self.world.call_later(
            self.world.rng.uniform(*WRITE_DELAY_MS), self.write_completed, save, on_done, self.life
        )

    def write_completed(self, save: Save, on_done: Callable[[], None], life: int) -> None:
        """Completes a write, also while the process is suspended, but not if it crashed in the meantime."""
        if life != self.life or not self.up:
            return
        self.world.disks[self.me].write(save)
        if self.world.crashes_at_write():
            self.world.crash(self.me)
        else:
            self.call_when_running(on_done)


class World(EventQueue):
    """The instances, their disks and the network between them.

    `crash_rate` is the probability of a crash at each write.
    """

    def __init__(
        self, size: int, seed: int, raft_class: type[Raft] = Raft, loss: float = 0.05,
        duplication: float = 0.05, delay_ms: tuple[float, float] = (0.3, 30.0), crash_rate: float = 0.0,
    ) -> None:  # fmt: skip
        super().__init__()
        self.seed, self.raft_class, self.rng = seed, raft_class, random.Random(seed)
        self.loss, self.duplication, self.delay_ms, self.crash_rate = loss, duplication, delay_ms, crash_rate
        members = Members(tuple(range(size)))
        self.disks = [SimulatedDisk(members) for _ in range(size)]
        self.cut_links: set[tuple[int, int]] = set()
        self.leader_by_term: dict[int, int] = {}
        self.first_applied: dict[int, Entry] = {}  # by index, as the first instance applied it
        self.applied_terms: dict[int, int] = {}  # by index, the term of the first instance that applied it
        self.commit_times_ms: list[float] = []  # from a client's proposal to its result
        self.election_times_ms: list[float] = []
        self.instances = [Instance(self, i) for i in range(size)]
        for instance in self.instances:
            instance.start()

    # ---- network and processes

    def send(self, source: int, target: int, message: Any) -> None:
        """Sends a message, which may be lost, duplicated or delayed."""
        if (source, target) in self.cut_links or self.rng.random() < self.loss:
            return
        for _ in range(1 + (self.rng.random() < self.duplication)):
            self.call_later(self.rng.uniform(*self.delay_ms), self.deliver, target, message)

    def deliver(self, target: int, message: Any) -> None:
        if target < len(self.instances) and self.instances[target].up:
            self.instances[target].call_when_running(self.instances[target].driver.receive, message)

    def crashes_at_write(self) -> bool:
        return self.rng.random() < self.crash_rate

    def crash(self, i: int) -> None:
        """Crashes an instance, which restarts after a random time."""
        if self.instances[i].up:
            self.instances[i].crash()
            self.call_later(self.rng.uniform(50, 900), self.start, i)

    def start(self, i: int) -> None:
        if not self.instances[i].up:
            self.instances[i].start()

    def suspend(self, i: int, duration_ms: float) -> None:
        if self.instances[i].is_running:
            self.instances[i].suspend()
            self.call_later(duration_ms, self.instances[i].resume)

    # ---- safety properties

    def role_changed(self, me: int, role: Role, term: int, log: Log) -> None:
        """Checks election safety and leader completeness when an instance becomes leader."""
        if role is not Role.LEADER:
            return
        self.election_times_ms.append(self.now)
        if self.leader_by_term.setdefault(term, me) != me:
            raise PropertyViolationError(
                f"election safety: {self.leader_by_term[term]} and {me} lead term {term}"
            )
        for index, entry in self.first_applied.items():
            if term <= self.applied_terms[index]:
                continue
            if index > log.snapshot.index and (index > log.last_index or log.entry_at(index) != entry):
                raise PropertyViolationError(
                    f"leader completeness: {me} leads term {term} without entry {index}"
                )

    def entry_applied(self, me: int, index: int, entry: Entry) -> None:
        """Checks state machine safety when an instance applies an entry."""
        self.applied_terms.setdefault(index, self.instances[me].raft.term)
        if self.first_applied.setdefault(index, entry) != entry:
            raise PropertyViolationError(f"state machine safety: {me} applies another entry at {index}")

    def check_logs(self) -> None:
        """Log matching: if two logs have an entry of the same index and term, they agree up to it."""
        logs = [(i.me, i.raft.log) for i in self.instances if i.up]
        for i, (first_name, first_log) in enumerate(logs):
            for second_name, second_log in logs[i + 1 :]:
                common = min(first_log.last_index, second_log.last_index)
                first = max(first_log.snapshot.index, second_log.snapshot.index)
                while common > first and first_log.term_at(common) != second_log.term_at(common):
                    common -= 1
                for index in range(first + 1, common + 1):
                    if first_log.entry_at(index) != second_log.entry_at(index):
                        raise PropertyViolationError(
                            f"log matching: {first_name} and {second_name} differ at {index} before {common}"
                        )

    def leader(self) -> Instance | None:
        """The running leader with the highest term, if there is one."""
        leaders = [i for i in self.instances if i.is_running and i.raft.role is Role.LEADER]
        return max(leaders, key=lambda i: i.raft.term, default=None)


class Client:
    """Appends one value after another, retries each until it is committed, and reads now and then."""

    def __init__(self, world: World, number: int, operations: list[dict[str, Any]]) -> None:
        self.world, self.number, self.operations = world, number, operations
        self.serial = 0
        self.world.call_later(200.0 + 10 * number, self.start_operation)

    def start_operation(self) -> None:
        self.serial += 1
        read = self.world.rng.random() < 0.3
        value = f"{self.number}.{self.serial}"
        operation = {
            "read": read,
            "value": value,
            "started_at": self.world.now,
            "ended_at": None,
            "result": None,
        }
        self.operations.append(operation)
        self.attempt(operation, self.serial)

    def attempt(self, operation: dict[str, Any], serial: int) -> None:
        """Sends an operation to a random instance, and again until it is completed."""
        if operation["ended_at"] is not None or serial != self.serial:
            return
        rng = self.world.rng
        self.world.call_later(rng.uniform(60, 200), self.attempt, operation, serial)
        instance = rng.choice(self.world.instances)
        if not instance.is_running:
            return
        if operation["read"]:
            instance.driver.read(
                lambda machine: self.complete(operation, None if machine is None else list(machine.values))
            )
        else:
            data = orjson.dumps(operation["value"])
            instance.driver.propose(
                data, self.number + 1, serial, lambda result: self.complete(operation, result)
            )

    def complete(self, operation: dict[str, Any], result: Any) -> None:
        if result is None or operation["ended_at"] is not None:
            return
        operation["ended_at"], operation["result"] = self.world.now, result
        if not operation["read"]:
            self.world.commit_times_ms.append(operation["ended_at"] - operation["started_at"])
        self.world.call_later(self.world.rng.uniform(5, 60), self.start_operation)


def inject_faults(world: World, duration_ms: float) -> None:
    """Injects crashes, suspensions, two-way and one-way cuts, and leadership transfers at random times."""
    rng, until = world.rng, world.now + duration_ms
    size = len(world.instances)
    while world.now < until:
        action = rng.choice(("crash", "suspend", "cut", "one-way", "heal", "heal", "transfer"))
        i = rng.randrange(size)
        if action == "crash":
            world.crash(i)
        elif action == "suspend":
            world.suspend(i, rng.uniform(20, 1500))
        elif action == "cut":
            world.cut_links = {
                (source, target)
                for source in range(size)
                for target in range(size)
                if (source == i) != (target == i)
            }
        elif action == "one-way":
            world.cut_links = {(i, target) for target in range(size)}
        elif action == "transfer" and (leader := world.leader()) is not None:
            leader.raft.transfer_leadership(leader.now(), i)
        else:
            world.cut_links = set()
        world.run(rng.uniform(20, 600))
        world.check_logs()


def simulate(
    size: int, seed: int, duration_ms: float, raft_class: type[Raft] = Raft, clients: int = 3, **faults: Any,
) -> World:  # fmt: skip
    """Runs a cluster under faults and then without; raises PropertyViolationError."""
    world = World(size, seed, raft_class, **faults)
    for i, instance in enumerate(world.instances):
        instance.rate = 1 + (i - size // 2) * 0.02
    operations: list[dict[str, Any]] = []
    for number in range(clients):
        Client(world, number, operations)
    inject_faults(world, duration_ms)
    world.cut_links, world.loss, world.crash_rate = set(), 0.0, 0.0
    world.run(6000.0)
    world.check_logs()
    if (leader := world.leader()) is None:
        raise PropertyViolationError("no leader after the faults ended")
    check_history(operations, leader.values)
    if not any(
        operation["ended_at"] is not None and operation["ended_at"] > world.now - 4500
        for operation in operations
    ):
        raise PropertyViolationError("no operation completed after the faults ended")
    return world
