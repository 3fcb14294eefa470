"""What a simulated instance and a simulated node use of the simulation they are in."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from caperdeck.distribution.publisher_selection import Place
from caperdeck.distribution.messages import NodeMessage, PublisherMessage
from caperdeck.distribution.publisher import Publisher
from caperdeck.distribution.subscriber import HeldVersion, Subscriber
from caperdeck.raft.log import Entry


class Surroundings(Protocol):
    now: float  # milliseconds
    random: Random
    publisher_kind: type[Publisher]
    subscriber_kind: type[Subscriber]
    places: list[Place]  # of the instances
    log: list[Entry]  # committed
    leader: int | None

    def at(self, wait: float, do: Callable, *args: Any) -> None:
        """Calls it after so many milliseconds."""

    def latency(self) -> float:
        """Of one message between instances, in milliseconds."""

    def is_current(self, number: int) -> bool:
        """Whether an instance runs and meets a majority that runs."""

    def to_node(self, number: int, name: str, message: PublisherMessage) -> None:
        """From the instance of that number to the node of that name."""

    def to_publisher(self, node: Any, name: str, message: NodeMessage) -> None:
        """From a node to the instance of that name."""

    def left(self, node: Any, name: str) -> None:
        """A node has left the instance of that name."""

    def check_version(self, node: Any, version: HeldVersion) -> None:
        """A node is about to put a version in force."""
