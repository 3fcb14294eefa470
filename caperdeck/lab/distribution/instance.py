"""A simulated control machine: a copy of the agreed table, and a publisher."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from caperdeck.distribution.messages import NodeMessage
from caperdeck.distribution.table import VersionTable
from caperdeck.lab.suspension import Suspendable
from caperdeck.raft.log import Entry
from caperdeck.raft.sessions import Sessions

from .surroundings import Surroundings

LEARN = 100.0  # milliseconds between two questions of an instance to the leader
HISTORY = 3  # versions that a delta can begin at: few, so that snapshots are sent often


class Instance(Suspendable):
    """A control machine: a copy of the agreed table, and a publisher."""

    def __init__(self, world: Surroundings, number: int) -> None:
        super().__init__()
        self.world, self.number = world, number
        self.place = world.places[number]
        self.machine = Sessions(VersionTable(HISTORY))
        self.applied = 0
        self.isolated = False
        self.start()

    @property
    def table(self) -> VersionTable:
        return self.machine.machine

    def start(self) -> None:
        """On its own disk: subscribers are forgotten, the table is not."""
        kept = self.machine.dump()
        self.machine = Sessions(VersionTable(HISTORY))
        self.machine.load(kept)
        self.publisher = self.world.publisher_kind(self.place.name, self.table, self.world.now)
        self.up, self.deferred_calls = True, []

    def ask_leader(self) -> None:
        """Reads the newest from the leader; the answer comes a little later."""
        if self.is_running:
            self.send(self.publisher.tick(self.world.now))
            if self.world.leader is not None and self.world.is_current(self.number):
                self.world.at(
                    self.world.latency(),
                    self.call_when_running,
                    self.learn,
                    self.world.now,
                    len(self.world.log),
                )
        self.world.at(LEARN, self.ask_leader)

    def learn(self, asked: float, index: int) -> None:
        for entry in self.world.log[self.applied : index]:
            self.machine.apply(entry)
        grown, self.applied = index > self.applied, max(index, self.applied)
        if grown:
            self.send(self.publisher.versions_changed(self.world.now))
        self.publisher.newest_confirmed(asked, self.table.newest.revision)

    def proposed(self, entry: Entry) -> None:
        """In its log, and not committed: nothing follows from that."""

    def receive(self, message: NodeMessage) -> None:
        self.send(self.publisher.receive(self.world.now, message))

    def send(self, sends: Iterable[Any]) -> None:
        for send in sends:
            self.world.to_node(self.number, send.node, send.message)
