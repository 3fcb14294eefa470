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

from .confirmation import VersionConfirmation
from .messages import MAX_NUMBER
from .publisher import Publisher
from .status import encode_status
from .stream import WATCH
from .table import MAX_CHANGES_BYTES, VersionTable
from .watch_server import WatchServer, max_watches

MAX_COMMAND_BYTES = MAX_CHANGES_BYTES + 4096  # bytes; in base 64 it fits into a frame between instances

LeaderCheck = Callable[[dict[str, Any], AnswerCallback], bool]  # False: the call has gone on to the leader


class Distribution:
    """`versions` is the instance's own copy; `command` makes a command of the agreed machine for it."""

    def __init__(
        self, driver: Driver, network: Network, versions: VersionTable, name: str, is_at_leader: LeaderCheck,
        command: Callable[[dict[str, Any]], dict[str, Any]],
    ) -> None:  # fmt: skip
        self.driver, self.network, self.versions = driver, network, versions
        self.is_at_leader, self.command, self.clock = is_at_leader, command, driver.clock
        self.publisher = Publisher(name, versions, self.clock())
        self.confirmation = VersionConfirmation(self.publisher)
        self.watch_server = WatchServer(
            self.publisher, network.cluster, self.clock, network.count_drop, max_watches()
        )
        self.announced_revision = versions.newest.revision  # that was publish_answer to the publisher
        self.calls = {
            "versions": self._on_versions, "publish": self._on_publish, "distribution": self._on_status,
        }  # fmt: skip
        network.handlers[WATCH] = self.watch_server.accept

    @property
    def due(self) -> float:
        return min(self.publisher.due, self.confirmation.due)

    def run_due(self) -> None:
        """All that is due, and what entries that were applied have changed."""
        now = self.clock()
        if self.versions.newest.revision != self.announced_revision:
            self.announced_revision = self.versions.newest.revision
            self.confirmation.table_changed()
            self.watch_server.send(self.publisher.versions_changed(now))
        if now >= self.publisher.due:
            self.watch_server.send(self.publisher.tick(now))
        if self.confirmation.should_read(now):
            # Danger: counted from its answer, a read that lay there while this one slept would count as new.
            self._read(lambda answer: self._confirmed(now, answer))

    def close(self) -> None:
        self.watch_server.close()

    # ---- confirmation

    def _read(self, callback: AnswerCallback) -> None:
        leader = self.driver.raft.leader
        if self.driver.raft.role is Role.LEADER:
            self._read_here(False, callback)
        elif leader is not None:
            self.network.call(leader, {"do": "versions", "passed": True}, callback)

    def _read_here(self, with_document: bool, callback: AnswerCallback) -> None:
        self.driver.read(
            lambda machine: callback(
                None if machine is None else describe_newest(self.versions, with_document)
            )
        )

    def _confirmed(self, asked_at: float, answer: Any) -> None:
        revision = answer.get("revision") if isinstance(answer, dict) else None
        if isinstance(revision, int) and not isinstance(revision, bool):
            self.confirmation.read_answered(asked_at, revision)

    # ---- calls

    def _on_versions(self, body: dict[str, Any], callback: AnswerCallback) -> None:
        if self.is_at_leader(body, callback):
            self._read_here(body.get("document") is True, callback)

    def _on_publish(self, body: dict[str, Any], callback: AnswerCallback) -> None:
        client, serial = body["client"], body["serial"]
        if not all(type(number) is int and 0 < number < MAX_NUMBER for number in (client, serial)):
            raise ValueError
        if not self.is_at_leader(body, callback):
            return
        # The term is written in the event that appends the entry: it is the one that it commits under.
        command = {"do": "publish", "term": self.driver.raft.term}
        command |= {field: body[field] for field in ("on", "digest", "changes")}
        data = orjson.dumps(self.command(command))
        if len(data) > MAX_COMMAND_BYTES:
            # Danger: an entry that fits into no frame would be sent to the others again for ever.
            callback({"refused": f"changes: {len(data)} bytes, over {MAX_CHANGES_BYTES}"})
            return
        self.driver.propose(data, client, serial, lambda result: callback(publish_answer(result)))

    def _on_status(self, body: dict[str, Any], callback: AnswerCallback) -> None:
        callback(encode_status(self.publisher.status(self.clock())))


def describe_newest(versions: VersionTable, with_document: bool) -> dict[str, Any]:
    newest = versions.newest
    answer: dict[str, Any] = {"revision": newest.revision, "term": newest.term, "digest": newest.digest}
    return answer | {"document": versions.document} if with_document else answer


def publish_answer(result: Any) -> Any:
    """A table's answer, its refusal under a key that no other failure of a call has."""
    return {"refused": result["no"]} if isinstance(result, dict) and "no" in result else result
