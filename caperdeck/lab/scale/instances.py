"""The control instances of a run, which are real `caperdeck owner serve` processes, and what they own."""

from __future__ import annotations

from caperdeck.lab.history import Event
from caperdeck.owner.config import MAX_NODES, WORKS


def configured_nodes(addresses: dict[str, str]) -> dict[str, str]:
    """The admin addresses for an instance's configuration: at most as many as it may hold."""
    return dict(list(addresses.items())[:MAX_NODES])


class OwnershipTracker:
    """Which instance leads and which one holds each work, as the instances report it."""

    def __init__(self) -> None:
        self.leader: str | None = None
        self.holders: dict[str, str] = {}

    def record(self, event: Event) -> None:
        """Takes any event of the history and ignores those of other kinds."""
        kind = event["ev"]
        if kind == "leader" and event["leader"] == event["who"]:
            self.leader = event["who"]
        elif kind == "held":
            self.holders[event["work"]] = event["who"]
        elif kind == "lost" and self.holders.get(event["work"]) == event["who"]:
            del self.holders[event["work"]]

    def remove(self, name: str) -> None:
        """Drops a killed instance: its lead and works have no holder until another instance reports them."""
        if self.leader == name:
            self.leader = None
        self.holders = {work: who for work, who in self.holders.items() if who != name}

    @property
    def complete(self) -> bool:
        """Whether there is a leader and every work has a holder."""
        return self.leader is not None and all(work in self.holders for work in WORKS)
