"""Distribution at one instance: its publisher, the nodes that watch, the quorum's confirmations, and calls.

The calls are `versions` (the newest version as of after the call, with its document where that is asked for),
`publish` (changes on the newest version) and `distribution` (what this publisher knows of its nodes).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from caperdeck.raft.core import Role
from caperdeck.raft.driver import Driver
from caperdeck.raft.transport import Network, AnswerCallback

from .confirmation import Confirming
from .messages import HIGHEST_NUMBER
from .publisher import Publisher
from .status import encode_status
from .stream import WATCH
from .table import LARGEST_CHANGES, Versions
from .watch_server import Watches, most_watches

LARGEST_COMMAND = LARGEST_CHANGES + 4096  # bytes; in base 64 it fits into a frame between instances

AtLeader = Callable[[dict[str, Any], AnswerCallback], bool]  # False: the call has gone on to the leader


class Distribution:
    """`versions` is the instance's own copy; `command` makes a command of the agreed machine for it."""

    def __init__(
        self, driver: Driver, net: Network, versions: Versions, name: str, at_leader: AtLeader,
        command: Callable[[dict[str, Any]], dict[str, Any]],
    ) -> None:  # fmt: skip
        self.driver, self.net, self.versions = driver, net, versions
        self.at_leader, self.command, self.clock = at_leader, command, driver.clock
        self.publisher = Publisher(name, versions, self.clock())
        self.confirming = Confirming(self.publisher)
        self.watches = Watches(self.publisher, net.cluster, self.clock, net.count_drop, most_watches())
        self.published = versions.newest.revision  # that was told to the publisher
        self.calls = {
            "versions": self._on_versions, "publish": self._on_publish, "distribution": self._on_status,
        }  # fmt: skip
        net.handlers[WATCH] = self.watches.take

    @property
    def due(self) -> float:
        return min(self.publisher.due, self.confirming.due)

    def turn(self) -> None:
        """All that is due, and what entries that were applied have changed."""
        now = self.clock()
        if self.versions.newest.revision != self.published:
            self.published = self.versions.newest.revision
            self.confirming.applied()
            self.watches.send(self.publisher.changed(now))
        if now >= self.publisher.due:
            self.watches.send(self.publisher.tick(now))
        if self.confirming.asks(now):
            # Danger: counted from its answer, a read that lay there while this one slept would count as new.
            self._read(lambda answer: self._confirmed(now, answer))

    def close(self) -> None:
        self.watches.close()

    # ---- confirmation

    def _read(self, then: AnswerCallback) -> None:
        leader = self.driver.raft.leader
        if self.driver.raft.role is Role.LEADER:
            self._read_here(False, then)
        elif leader is not None:
            self.net.call(leader, {"do": "versions", "passed": True}, then)

    def _read_here(self, whole: bool, then: AnswerCallback) -> None:
        self.driver.read(lambda machine: then(None if machine is None else newest_of(self.versions, whole)))

    def _confirmed(self, asked: float, answer: Any) -> None:
        revision = answer.get("revision") if isinstance(answer, dict) else None
        if isinstance(revision, int) and not isinstance(revision, bool):
            self.confirming.answered(asked, revision)

    # ---- calls

    def _on_versions(self, body: dict[str, Any], then: AnswerCallback) -> None:
        if self.at_leader(body, then):
            self._read_here(body.get("document") is True, then)

    def _on_publish(self, body: dict[str, Any], then: AnswerCallback) -> None:
        client, serial = body["client"], body["serial"]
        if not all(type(number) is int and 0 < number < HIGHEST_NUMBER for number in (client, serial)):
            raise ValueError
        if not self.at_leader(body, then):
            return
        # The term is written in the event that appends the entry: it is the one that it commits under.
        command = {"do": "publish", "term": self.driver.raft.term}
        command |= {field: body[field] for field in ("on", "digest", "changes")}
        data = orjson.dumps(self.command(command))
        if len(data) > LARGEST_COMMAND:
            # Danger: an entry that fits into no frame would be sent to the others again for ever.
            then({"refused": f"changes: {len(data)} bytes, over {LARGEST_CHANGES}"})
            return
        self.driver.propose(data, client, serial, lambda result: then(told(result)))

    def _on_status(self, body: dict[str, Any], then: AnswerCallback) -> None:
        then(encode_status(self.publisher.status(self.clock())))


def newest_of(versions: Versions, whole: bool) -> dict[str, Any]:
    newest = versions.newest
    said: dict[str, Any] = {"revision": newest.revision, "term": newest.term, "digest": newest.digest}
    return said | {"document": versions.document} if whole else said


def told(result: Any) -> Any:
    """A table's answer, its refusal under a key that no other failure of a call has."""
    return {"refused": result["no"]} if isinstance(result, dict) and "no" in result else result
