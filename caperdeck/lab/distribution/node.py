"""A simulated node process with its file."""

from __future__ import annotations

from caperdeck.distribution.publisher_selection import Place
from caperdeck.distribution.messages import PublisherMessage
from caperdeck.distribution.subscriber import NO_VERSION, Action, Apply, HeldVersion, Leave, Send
from caperdeck.lab.suspension import Suspendable

from .surroundings import Surroundings

APPLY = (20.0, 200.0)  # milliseconds until a version is in force


class Node(Suspendable):
    """A node process with its file; every other one cannot serve versions of a certain kind."""

    def __init__(self, world: Surroundings, number: int, region: str, zone: str) -> None:
        super().__init__()
        self.world, self.number = world, number
        self.place = Place(f"n{number}", zone, region)
        self.file = NO_VERSION  # what is in force too
        self.refusal: tuple[int, str] | None = None
        self.highest = 0
        self.life = self.timers = 0
        self.start()

    def start(self) -> None:
        self.up, self.life, self.refusal, self.deferred_calls = True, self.life + 1, None, []
        seed, first = self.number * 101 + self.life, self.life << 32
        kind = self.world.subscriber_kind
        self.subscriber = kind(self.place, list(self.world.places), self.file, first, seed, self.world.now)
        self.carry_out([])

    def die(self, replaced: bool) -> None:
        self.up, self.suspended = False, False
        if replaced:
            self.file, self.highest = NO_VERSION, 0

    def tick(self, timer: int) -> None:
        if timer == self.timers:
            self.carry_out(self.subscriber.tick(self.world.now))

    def receive(self, publisher: str, message: PublisherMessage) -> None:
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
                wait = self.world.random.uniform(*APPLY)
                self.world.at(wait, self.call_when_running, self.put_in_force, self.life, action.version)
            elif isinstance(action, Leave):
                self.world.left(self, action.publisher)
        self.timers += 1
        self.world.at(
            max(self.subscriber.due - self.world.now, 1.0), self.call_when_running, self.tick, self.timers
        )

    def put_in_force(self, life: int, version: HeldVersion) -> None:
        if life != self.life:
            return
        if version.document.get("refused") and self.number % 2:
            self.refusal = version.revision, "refused: not by this node"
            self.carry_out(self.subscriber.refused(self.world.now, *self.refusal))
            return
        self.world.check_version(self, version)
        self.file, self.highest = version, max(self.highest, version.revision)
        self.carry_out(self.subscriber.applied(self.world.now, version.revision))
