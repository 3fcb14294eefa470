"""Distribution at one instance: the publisher, its watch connections, confirmations by the quorum, and calls.

The calls are `versions` (the newest version as of after the call, with its document if requested), `publish`
(changes to the newest version) and `distribution` (what this publisher knows of its nodes).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import orjson

from caperdeck.raft.core import Role
from caperdeck.raft.driver import Driver
from caperdeck.raft.transport import AnswerCallback, Network

from .confirmation import VersionConfirmation
from .messages import MAX_NUMBER
from .publisher import Publisher
from .status import encode_status
from .stream import WATCH
from .table import MAX_CHANGES_BYTES, VersionTable
from .watch_server import WatchServer, max_watches

MAX_COMMAND_BYTES = MAX_CHANGES_BYTES + 4096  # encoded in base64 it fits into a frame between instances

# Whether this instance leads; if not, the call was forwarded to the leader or answered None.
LeaderCheck = Callable[[dict[str, Any], AnswerCallback], bool]


class Distribution:
    """`versions` is this instance's copy; `command` wraps a command for the replicated state machine."""

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
        # The newest revision that the publisher was told of.
        self.announced_revision = versions.newest.revision
        self.calls = {
            "versions": self._on_versions, "publish": self._on_publish, "distribution": self._on_status,
        }  # fmt: skip
        network.handlers[WATCH] = self.watch_server.accept

    @property
    def due(self) -> float:
        return min(self.publisher.due, self.confirmation.due)

    def run_due(self) -> None:
        """Runs whatever is due, and publishes versions that were applied since the last call."""
        now = self.clock()
        if self.versions.newest.revision != self.announced_revision:
            self.announced_revision = self.versions.newest.revision
            self.confirmation.table_changed()
            self.watch_server.send(self.publisher.versions_changed(now))
        if now >= self.publisher.due:
            self.watch_server.send(self.publisher.tick(now))
        if self.confirmation.should_read(now):
            # Counted from its answer, a read that was delayed by a suspension would look recent.
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
        # The term is read in the event that appends the entry, so the entry commits under this term.
        command = {"do": "publish", "term": self.driver.raft.term}
        command |= {field: body[field] for field in ("on", "digest", "changes")}
        data = orjson.dumps(self.command(command))
        if len(data) > MAX_COMMAND_BYTES:
            # An entry that fits into no frame would be sent to the other instances again for ever.
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
    """The table's answer; a refusal is moved to a key that no other failure of a call uses."""
    return {"refused": result["no"]} if isinstance(result, dict) and "no" in result else result
