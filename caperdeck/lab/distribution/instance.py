"""A simulated instance of the control side, with a replica of the version table and a publisher."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from caperdeck.distribution.messages import NodeMessage
from caperdeck.distribution.table import VersionTable
from caperdeck.lab.suspension import Suspendable
from caperdeck.raft.log import Entry
from caperdeck.raft.sessions import Sessions

from .surroundings import SimulationEnvironment

LEARN_INTERVAL_MS = 100.0  # between two reads of an instance from the leader
HISTORY_LENGTH = 3  # versions that a delta can start from; few, so that snapshots are sent often


class Instance(Suspendable):
    """An instance with a replica of the version table and a publisher."""

    def __init__(self, world: SimulationEnvironment, number: int) -> None:
        super().__init__()
        self.world, self.number = world, number
        self.place = world.places[number]
        self.machine = Sessions(VersionTable(HISTORY_LENGTH))
        self.applied = 0
        self.isolated = False
        self.start()

    @property
    def table(self) -> VersionTable:
        return self.machine.machine

    def start(self) -> None:
        """Starts from the instance's disk: the table is kept, the subscriptions are not."""
        saved_state = self.machine.dump()
        self.machine = Sessions(VersionTable(HISTORY_LENGTH))
        self.machine.load(saved_state)
        self.publisher = self.world.publisher_kind(self.place.name, self.table, self.world.now)
        self.up, self.deferred_calls = True, []

    def ask_leader(self) -> None:
        """Reads the committed log from the leader; the answer arrives after a latency."""
        if self.is_running:
            self.send(self.publisher.tick(self.world.now))
            if self.world.leader is not None and self.world.has_quorum(self.number):
                self.world.call_later(
                    self.world.latency(),
                    self.call_when_running,
                    self.learn,
                    self.world.now,
                    len(self.world.log),
                )
        self.world.call_later(LEARN_INTERVAL_MS, self.ask_leader)

    def learn(self, requested_at: float, index: int) -> None:
        """Applies the committed entries up to an index; the version is confirmed as of the request."""
        for entry in self.world.log[self.applied : index]:
            self.machine.apply(entry)
        has_new_entries, self.applied = index > self.applied, max(index, self.applied)
        if has_new_entries:
            self.send(self.publisher.versions_changed(self.world.now))
        self.publisher.newest_confirmed(requested_at, self.table.newest.revision)

    def proposed(self, entry: Entry) -> None:
        """Called for an entry that is in the log but not committed, which must have no effect."""

    def receive(self, message: NodeMessage) -> None:
        self.send(self.publisher.receive(self.world.now, message))

    def send(self, sends: Iterable[Any]) -> None:
        for send in sends:
            self.world.send_to_node(self.number, send.node, send.message)
