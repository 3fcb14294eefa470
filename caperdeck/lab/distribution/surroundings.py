"""The interface of the simulation that simulated instances and nodes use."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from caperdeck.distribution.publisher_selection import Place
from caperdeck.distribution.messages import NodeMessage, PublisherMessage
from caperdeck.distribution.publisher import Publisher
from caperdeck.distribution.subscriber import HeldVersion, Subscriber
from caperdeck.raft.log import Entry


class SimulationEnvironment(Protocol):
    """The simulation as seen by an instance or a node."""

    now: float  # milliseconds
    random: Random
    publisher_kind: type[Publisher]
    subscriber_kind: type[Subscriber]
    places: list[Place]  # of the instances
    log: list[Entry]  # committed
    leader: int | None

    def call_later(self, delay_ms: float, function: Callable, *args: Any) -> None:
        """Schedules a call."""

    def latency(self) -> float:
        """Draws the latency of one message between instances, in milliseconds."""

    def has_quorum(self, number: int) -> bool:
        """Whether an instance runs and reaches a majority of instances that run."""

    def send_to_node(self, number: int, name: str, message: PublisherMessage) -> None:
        """Sends a message from the instance with that number to the node with that name."""

    def send_to_publisher(self, node: Any, name: str, message: NodeMessage) -> None:
        """Sends a message from a node to the instance with that name."""

    def node_left(self, node: Any, name: str) -> None:
        """Called when a node has left the instance with that name."""

    def check_version(self, node: Any, version: HeldVersion) -> None:
        """Called when a node is about to apply a version."""
