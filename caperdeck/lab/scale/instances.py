"""The control machines of a run: real `caperdeck owner serve` processes, and whether they agree."""

from __future__ import annotations

from caperdeck.lab.history import Event
from caperdeck.owner.config import MAX_NODES, WORKS


def told_nodes(addresses: dict[str, str]) -> dict[str, str]:
    """The second addresses that an instance is told of: as many as its configuration takes."""
    return dict(list(addresses.items())[:MAX_NODES])


class Agreement:
    """Who leads the instances and who holds each work, by what they say themselves."""

    def __init__(self) -> None:
        self.leader: str | None = None
        self.holders: dict[str, str] = {}

    def take(self, event: Event) -> None:
        """Any event of the history."""
        kind = event["ev"]
        if kind == "leader" and event["leader"] == event["who"]:
            self.leader = event["who"]
        elif kind == "held":
            self.holders[event["work"]] = event["who"]
        elif kind == "lost" and self.holders.get(event["work"]) == event["who"]:
            del self.holders[event["work"]]

    def forget(self, name: str) -> None:
        """That instance is dead; what it led or held is nobody's until another says that it has it."""
        if self.leader == name:
            self.leader = None
        self.holders = {work: who for work, who in self.holders.items() if who != name}

    @property
    def agreed(self) -> bool:
        return self.leader is not None and all(work in self.holders for work in WORKS)
