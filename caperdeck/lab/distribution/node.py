"""A simulated node process with its version file."""

from __future__ import annotations

from caperdeck.distribution.publisher_selection import Place
from caperdeck.distribution.messages import PublisherMessage
from caperdeck.distribution.subscriber import NO_VERSION, Action, Apply, HeldVersion, Leave, Send
from caperdeck.lab.suspension import Suspendable

from .surroundings import SimulationEnvironment

APPLY_DELAY_MS = (20.0, 200.0)  # from the arrival of a version until it is applied


class Node(Suspendable):
    """A node process with its version file.

    Nodes with an odd number refuse versions that are marked as refused.
    """

    def __init__(self, world: SimulationEnvironment, number: int, region: str, zone: str) -> None:
        super().__init__()
        self.world, self.number = world, number
        self.place = Place(f"n{number}", zone, region)
        self.active_version = NO_VERSION  # also what the file contains
        self.refusal: tuple[int, str] | None = None
        self.highest_revision = 0
        self.life = self.timer_generation = 0
        self.start()

    def start(self) -> None:
        self.up, self.life, self.refusal, self.deferred_calls = True, self.life + 1, None, []
        seed, first = self.number * 101 + self.life, self.life << 32
        kind = self.world.subscriber_kind
        self.subscriber = kind(
            self.place, list(self.world.places), self.active_version, first, seed, self.world.now
        )
        self.execute([])

    def die(self, replaced: bool) -> None:
        """Ends the process; `replaced` also deletes its version file."""
        self.up, self.suspended = False, False
        if replaced:
            self.active_version, self.highest_revision = NO_VERSION, 0

    def tick(self, timer: int) -> None:
        if timer == self.timer_generation:
            self.execute(self.subscriber.tick(self.world.now))

    def receive(self, publisher: str, message: PublisherMessage) -> None:
        """Takes a message, which may have been sent to an earlier life of the node."""
        self.execute(self.subscriber.receive(self.world.now, publisher, message))

    def connection_lost(self, life: int, publisher: str) -> None:
        if life == self.life:
            self.execute(self.subscriber.lost(self.world.now, publisher))

    def execute(self, actions: list[Action]) -> None:
        """Carries out the subscriber's actions and sets its timer."""
        for action in actions:
            if isinstance(action, Send):
                self.world.send_to_publisher(self, action.publisher, action.message)
            elif isinstance(action, Apply):
                delay_ms = self.world.random.uniform(*APPLY_DELAY_MS)
                self.world.call_later(
                    delay_ms, self.call_when_running, self.apply_version, self.life, action.version
                )
            elif isinstance(action, Leave):
                self.world.node_left(self, action.publisher)
        self.timer_generation += 1
        self.world.call_later(
            max(self.subscriber.due - self.world.now, 1.0),
            self.call_when_running,
            self.tick,
            self.timer_generation,
        )

    def apply_version(self, life: int, version: HeldVersion) -> None:
        """Applies or refuses a version, unless the node has restarted since it arrived."""
        if life != self.life:
            return
        if version.document.get("refused") and self.number % 2:
            self.refusal = version.revision, "refused: not by this node"
            self.execute(self.subscriber.refused(self.world.now, *self.refusal))
            return
        self.world.check_version(self, version)
        self.active_version, self.highest_revision = version, max(self.highest_revision, version.revision)
        self.execute(self.subscriber.applied(self.world.now, version.revision))
