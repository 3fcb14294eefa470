"""The publisher at one instance: its subscriptions, what was sent to each node and what each has reported.

A state machine without I/O: events and times in, messages out. Times are float milliseconds on the instance's
clock, which keeps counting while the process is suspended. A node has at most one version in flight; whatever
is committed meanwhile is sent as one step to the newest version once the node has answered. Nothing waits for
a node.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from .document import Change
from .peak_load import PeakLoad
from .messages import (
    Acknowledge, Busy, Closed, Delta, NodeMessage, PublisherMessage, Heartbeat, Snapshot, Subscribe,
)  # fmt: skip
from .status import REPORT_VALID_MS, Status, StatusRow
from .table import VersionTable

CONFIRMATION_VALID_MS = 2000.0  # counted from the start of the read
MAX_CONNECTS_PER_SECOND = 400.0
CONNECT_BURST = 100.0
BUSY_RETRY_MS = 1000.0
MAX_CONCURRENT_SNAPSHOTS = 32
SNAPSHOT_SLOT_MS = 2000.0  # after this a slow node's slot for a snapshot is given to another
UNANSWERED_VERSION_MS = 10_000.0  # a subscription that leaves a version unanswered for this long is closed
TICK_INTERVAL_MS = 250.0


class Send(NamedTuple):
    node: str
    message: PublisherMessage


class Subscription:
    """A node that watches here, and its latest report."""

    __slots__ = ("report", "number", "heard_at", "sent_revision", "sent_at", "needs_snapshot")

    def __init__(self, report: Subscribe, now: float) -> None:
        self.report: NodeMessage = report
        self.number = report.number
        self.heard_at = now
        self.sent_revision: int | None = None  # the revision in flight
        self.sent_at = 0.0
        self.needs_snapshot = report.whole or not report.revision

    def has_seen(self, revision: int) -> bool:
        """Whether the node has applied or refused this revision or a later one."""
        refused = self.report.refused.revision if self.report.refused else 0
        return max(self.report.revision, refused) >= revision

    def record_report(self, report: Acknowledge, now: float) -> None:
        self.report, self.heard_at = report, now
        if self.sent_revision is not None and self.has_seen(self.sent_revision):
            self.sent_revision, self.needs_snapshot = None, False


class Publisher:
    """`table` is this instance's copy, which has applied committed entries only."""

    def __init__(self, name: str, table: VersionTable, now: float) -> None:
        self.name, self.table = name, table
        self.confirmed_at = -math.inf  # when the latest successful read began
        self.subscriptions: dict[str, Subscription] = {}
        # Last reports of nodes that left, and when they arrived.
        self.departed: dict[str, tuple[NodeMessage, float]] = {}
        self.snapshot_slots: dict[str, float] = {}  # by node: when its slot expires
        self.snapshot_queue: dict[str, None] = {}  # nodes that wait for a slot, first come first served
        self.connect_tokens, self.connect_tokens_at = CONNECT_BURST, now
        self.peak_load = PeakLoad()
        # Changes to the newest version, by base revision and digest.
        self.deltas: dict[tuple[int, str], tuple[Change, ...] | None] = {}
        self.deltas_revision = -1
        self.due = now + TICK_INTERVAL_MS
        # The last tick was late and closed no subscription; never twice in a row.
        self.skipped_closing = False
        self.outbox: list[Send] = []

    # ---- events

    def receive(self, now: float, message: NodeMessage) -> list[Send]:
        if isinstance(message, Subscribe):
            self._subscribe(now, message)
        else:
            self._acknowledge(now, message)
        return self._take_outbox()

    def versions_changed(self, now: float) -> list[Send]:
        """The table has applied new versions."""
        for node in list(self.subscriptions):
            self._send_newest(now, node)
        return self._take_outbox()

    def newest_confirmed(self, asked_at: float, revision: int) -> None:
        """A linearizable read that began at `asked_at` found `revision` to be the newest committed one."""
        # Counted from the answer, a read that was delayed while the instance was suspended would look recent.
        if revision <= self.table.newest.revision:
            self.confirmed_at = max(self.confirmed_at, asked_at)

    def connection_lost(self, now: float, node: str, number: int) -> list[Send]:
        """The connection of that subscription has ended."""
        subscription = self.subscriptions.get(node)
        if subscription is not None and subscription.number == number:
            self._remove(node)
            self._send_queued_snapshots(now)
        return self._take_outbox()

    def tick(self, now: float) -> list[Send]:
        # A late tick closes no subscription as silent: reports that arrived while this process was suspended
        # are read only after the tick.
        self.skipped_closing = now - self.due > TICK_INTERVAL_MS and not self.skipped_closing
        self.due = now + TICK_INTERVAL_MS
        if not self.skipped_closing:
            self._close_silent(now)
        self.departed = {
            node: entry for node, entry in self.departed.items() if now - entry[1] <= REPORT_VALID_MS
        }
        self._send_queued_snapshots(now)
        return self._take_outbox()

    def _close_silent(self, now: float) -> None:
        for node, subscription in list(self.subscriptions.items()):
            if now - subscription.heard_at > REPORT_VALID_MS:
                self._close(node, "silent")
            elif (
                subscription.sent_revision is not None and now - subscription.sent_at > UNANSWERED_VERSION_MS
            ):
                self._close(node, "unanswered")

    # ---- queries

    def age(self, now: float) -> float | None:
        """Time since the newest version here was known to be the newest committed one; None if too long."""
        age = now - self.confirmed_at
        return age if age <= CONFIRMATION_VALID_MS else None

    def status(self, now: float) -> Status:
        reports = dict(self.departed)
        reports.update(
            (node, (subscription.report, subscription.heard_at))
            for node, subscription in self.subscriptions.items()
        )
        rows = tuple(
            StatusRow(
                node,
                report.number,
                report.revision,
                report.digest,
                report.stale,
                report.refused,
                now - heard_at,
            )
            for node, (report, heard_at) in reports.items()
        )
        newest = self.table.newest
        return Status(self.name, self.age(now) is not None, newest.revision, newest.digest, rows)

    # ---- subscriptions

    def _last_report_number(self, node: str) -> int:
        """The number of the node's latest report; -1 if there is none."""
        if node in self.subscriptions:
            return self.subscriptions[node].report.number
        return self.departed[node][0].number if node in self.departed else -1

    def _subscribe(self, now: float, message: Subscribe) -> None:
        if message.number <= self._last_report_number(message.node):
            return  # delayed or duplicated
        if not self._admit_connect(now):
            self._send(message.node, Busy(message.number, BUSY_RETRY_MS))
            return
        self._remove(message.node)
        self.subscriptions[message.node] = Subscription(message, now)
        # The version goes first, because the heartbeat of an unconfirmed publisher makes the node leave it.
        self._send_newest(now, message.node)
        self._send_heartbeat(now, message.node, message.number)

    def _admit_connect(self, now: float) -> bool:
        """Token bucket: limits the burst and the rate of connects."""
        refilled = self.connect_tokens + (now - self.connect_tokens_at) * MAX_CONNECTS_PER_SECOND / 1000
        self.connect_tokens, self.connect_tokens_at = min(refilled, CONNECT_BURST), now
        if self.connect_tokens < 1:
            self.peak_load.turned_away += 1
            return False
        self.connect_tokens -= 1
        self.peak_load.record_connect(now)
        return True

    def _acknowledge(self, now: float, message: Acknowledge) -> None:
        # A delayed report would show a revision that is no longer active.
        if message.number <= self._last_report_number(message.node):
            return
        subscription = self.subscriptions.get(message.node)
        if subscription is None or subscription.number != message.subscription:
            self._send(message.node, Closed(message.subscription, "unknown"))
            return
        subscription.record_report(message, now)
        if subscription.sent_revision is None and self.snapshot_slots.pop(message.node, None) is not None:
            self._send_queued_snapshots(now)
        self._send_newest(now, message.node)
        self._send_heartbeat(now, message.node, message.number)

    def _send_heartbeat(self, now: float, node: str, number: int) -> None:
        newest, subscription = self.table.newest, self.subscriptions[node]
        self._send(node, Heartbeat(
            subscription.number, number, newest.revision, newest.digest, self.age(now),
            node in self.snapshot_queue,
        ))  # fmt: skip

    def _close(self, node: str, reason: str) -> None:
        self._send(node, Closed(self.subscriptions[node].number, reason))
        self._remove(node)

    def _remove(self, node: str) -> None:
        subscription = self.subscriptions.pop(node, None)
        if subscription is not None:
            self.departed[node] = subscription.report, subscription.heard_at
        self.snapshot_slots.pop(node, None)
        self.snapshot_queue.pop(node, None)

    # ---- versions

    def _send_newest(self, now: float, node: str) -> None:
        """Sends the newest version if the node lacks it and no version is in flight to it."""
        subscription = self.subscriptions[node]
        if subscription.sent_revision is not None or subscription.has_seen(self.table.newest.revision):
            self.snapshot_queue.pop(node, None)
            return
        changes = None if subscription.needs_snapshot else self._delta(subscription.report)
        if changes is None:
            self.snapshot_queue.setdefault(node)
            self._send_queued_snapshots(now)
            return
        self.snapshot_queue.pop(node, None)
        newest, base = self.table.newest, subscription.report.revision
        self._mark_sent(now, subscription)
        self._send(node, Delta(subscription.number, base, newest.revision, newest.digest, changes))

    def _delta(self, report: NodeMessage) -> tuple[Change, ...] | None:
        newest, base = self.table.newest, (report.revision, report.digest)
        if self.deltas_revision != newest.revision:
            self.deltas, self.deltas_revision = {}, newest.revision
        if base not in self.deltas:
            self.deltas[base] = self.table.delta(*base)
        return self.deltas[base]

    def _send_queued_snapshots(self, now: float) -> None:
        """Sends snapshots to the nodes that have waited longest, as far as there are free slots."""
        self.snapshot_slots = {node: until for node, until in self.snapshot_slots.items() if now < until}
        while self.snapshot_queue and len(self.snapshot_slots) < MAX_CONCURRENT_SNAPSHOTS:
            node = next(iter(self.snapshot_queue))
            del self.snapshot_queue[node]
            self.snapshot_slots[node] = now + SNAPSHOT_SLOT_MS
            self.peak_load.record_snapshots(len(self.snapshot_slots))
            newest, subscription = self.table.newest, self.subscriptions[node]
            self._mark_sent(now, subscription)
            document = self.table.document
            self._send(node, Snapshot(subscription.number, newest.revision, newest.digest, document))

    def _mark_sent(self, now: float, subscription: Subscription) -> None:
        subscription.sent_revision, subscription.sent_at = self.table.newest.revision, now

    def _send(self, node: str, message: PublisherMessage) -> None:
        self.outbox.append(Send(node, message))

    def _take_outbox(self) -> list[Send]:
        outbox, self.outbox = self.outbox, []
        return outbox
