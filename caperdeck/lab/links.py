"""Simulated network links between processes and their faults, used by the relay and by in-memory transports.

A link is directed and identified by the names of its two ends. The module does no I/O; times are in
milliseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .seeded_random import SeededRandom


RETRANSMIT_DELAY_MS = 200.0  # added to the delay of a stream segment for each time it is lost
HEAL_DELAY_MS = 20.0  # items queued during a cut arrive between one and two times this after it ends
MAX_DATAGRAM_BYTES = 256
MAX_QUEUED_ITEMS = 4096  # per pipe; further items are dropped and counted in `Links.dropped`


@dataclass(slots=True)
class LinkFaults:
    """The faults that are active on one link."""

    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)
    cut: int = 0  # number of active faults that cut the link


class Links(SeededRandom):
    """All links of a fleet: their usual delays, their faults, and the pipes to notify when a cut ends."""

    def __init__(self, seed: int, usual_delay: Callable[[str, str], tuple[float, float]]) -> None:
        super().__init__(seed)
        self.usual_delay = usual_delay
        self.usual_delays: dict[tuple[str, str], tuple[float, float]] = {}
        self.active_faults: dict[tuple[str, str], LinkFaults] = {}
        self.pipes: dict[tuple[str, str], dict[Pipe, None]] = {}
        self.dropped = 0

    def between(self, span: tuple[float, float]) -> float:
        """Draws a delay from a range; one of equal bounds takes no draw."""
        return super().between(span) if span[1] > span[0] else span[0]

    def link_faults(self, a: str, b: str) -> LinkFaults:
        """The faults of a link, which callers may change."""
        return self.active_faults.setdefault((a, b), LinkFaults())

    def is_cut(self, a: str, b: str) -> bool:
        faults = self.active_faults.get((a, b))
        return faults is not None and faults.cut > 0

    def reachable(self, a: str, b: str) -> bool:
        """Whether a new connection can be established, which needs both directions."""
        return not self.is_cut(a, b) and not self.is_cut(b, a)

    def cut(self, a: str, b: str, on: bool) -> None:
        """Adds or removes one cut of a link, which is whole again once all its cuts are removed."""
        self.link_faults(a, b).cut += 1 if on else -1
        if not self.is_cut(a, b):
            for pipe in list(self.pipes.get((a, b), ())):
                pipe.link_healed()

    def delay(self, a: str, b: str) -> float:
        """Delay of a stream segment; each loss adds a retransmission delay."""
        span = self.usual_delays.get((a, b))
        if span is None:
            span = self.usual_delays[a, b] = self.usual_delay(a, b)
        total, faults = self.between(span), self.active_faults.get((a, b))
        if faults is not None:
            total += self.between(faults.delay)
            while faults.loss and self.chance() < faults.loss:
                total += RETRANSMIT_DELAY_MS
        return total

    def datagram_delays(self, a: str, b: str) -> list[float]:
        """Delays of the copies of a datagram that arrive; empty if it is lost."""
        span, faults = self.usual_delay(a, b), self.active_faults.get((a, b))
        if faults is None:
            return [self.between(span)]
        if faults.cut or self.chance() < faults.loss:
            return []
        copies = [self.between(span) + self.between(faults.delay)]
        if self.chance() < faults.double:
            copies.append(copies[0] + self.between(span))
        if self.chance() < faults.reorder:
            copies[0] += 4 * span[1] + self.between(faults.delay)
        return copies


class Pipe:
    """One direction of a connection: items are delivered in order after the link's delay.

    Items are held while the link is cut and are delivered after the cut has ended.
    """

    def __init__(
        self, links: Links, seconds: Callable[[], float], call_later: Callable[..., Any], a: str, b: str,
        deliver: Callable[[Any], None],
    ) -> None:  # fmt: skip
        self.links, self.seconds, self.call_later = links, seconds, call_later
        self.ends, self.deliver = (a, b), deliver
        self.queue: deque[tuple[float, Any]] = deque()
        self.scheduled: Any = None
        self.last_due = 0.0
        links.pipes.setdefault((a, b), {})[self] = None

    def put(self, item: Any) -> None:
        """Queues an item for delivery; items beyond the limit are dropped."""
        if len(self.queue) >= MAX_QUEUED_ITEMS:
            self.links.dropped += 1
            return
        now = self.seconds() * 1000.0
        self.last_due = max(now + self.links.delay(*self.ends), self.last_due)
        self.queue.append((self.last_due, item))
        if self.scheduled is None:
            self._schedule(now)

    def _schedule(self, now: float) -> None:
        if self.queue and not self.links.is_cut(*self.ends):
            self.scheduled = self.call_later(max(self.queue[0][0] - now, 0.0) / 1000.0, self._deliver_due)

    def _deliver_due(self) -> None:
        self.scheduled = None
        now = self.seconds() * 1000.0
        while self.queue and self.queue[0][0] <= now + 0.01 and not self.links.is_cut(*self.ends):
            self.deliver(self.queue.popleft()[1])
        if self.scheduled is None:
            self._schedule(self.seconds() * 1000.0)

    def link_healed(self) -> None:
        """Schedules the items held during a cut, as late as their next retransmission would be."""
        if self.scheduled is None and self.queue:
            now = self.seconds() * 1000.0
            late = now + HEAL_DELAY_MS * (1 + self.links.chance())
            self.queue = deque((max(at, late), item) for at, item in self.queue)
            self.last_due = max(self.last_due, late)
            self._schedule(now)

    def close(self) -> None:
        if self.scheduled is not None and self.scheduled.active():
            self.scheduled.cancel()
        self.scheduled = None
        self.queue.clear()
        self.links.pipes.get(self.ends, {}).pop(self, None)


class ConnectionRecorder:
    """Records the node's end of a connection to a host or to discovery as events of the history.

    `data_sent` is called when the node writes and `data_received` when data arrives at the node. The relay
    and the in-memory transports use the same recorder, so their histories agree.
    """

    def __init__(self, kind: str, node: str, far: str, emit: Callable[..., None]) -> None:
        self.kind, self.node, self.far, self.emit = kind, node, far, emit
        self.id = ""
        self.head_complete = self.reply_recorded = False
        self.head, self.received = b"", b""

    def data_sent(self, data: bytes) -> None:
        if self.kind == "host" and not self.id and not self.head_complete:
            self.head += data
            if self.head.startswith(b"OPEN ") and b" " in self.head[5:]:
                self.id = self.head[5 : self.head.index(b" ", 5)].decode("utf-8", "replace")
                self.head_complete = True
                self.emit("dial", who=self.node, to=self.far, id=self.id)
            elif len(self.head) > 64:
                self.head_complete = True  # this is the connection of a probe
            elif self.head.startswith((b"STATS", b"PING")):
                self.head = b""
                self.emit("look", who=self.node, to=self.far)

    def data_received(self, data: bytes) -> None:
        if self.kind == "host" and self.id and not self.reply_recorded:
            self.received += data
            if b"\r\n" in self.received:
                self.reply_recorded = True
                word = self.received.split(b"\r\n", 1)[0].split(b" ", 1)[0].decode("utf-8", "replace")
                self.emit("back", who=self.node, to=self.far, id=self.id, what=word)
        elif self.kind == "list":
            self.received += data
            *lines, self.received = self.received.split(b"\n")
            for line in lines:
                if line.startswith(b'{"rev":'):
                    self.emit("told", who=self.node, rev=int(line[7 : line.index(b",")]))

    def connection_ended(self, by: str) -> None:
        """Records that the node closed the connection, or learned that the far side did."""
        if self.kind == "host" and self.id:
            self.emit("undial", who=self.node, to=self.far, id=self.id, by=by)
            self.id, self.head_complete = "", True
