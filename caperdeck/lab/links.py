"""Links between the parts and what goes wrong on them; the relay and the memory transports both ask here.

A link is directed and known by the names of its ends. No I/O; times in milliseconds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from .seeded_random import SeededRandom


RETRANSMIT = 200.0  # a segment that was lost comes so much later
HEALED = 20.0  # what was held up by a cut comes so much after it, with chance up to twice that
DATAGRAM = 256  # bytes
MOST_HELD = 4096  # datagrams and segments of one pipe; more is dropped, and that is counted


@dataclass(slots=True)
class Trouble:
    """What is wrong with one link now."""

    loss: float = 0.0
    double: float = 0.0
    reorder: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)
    cut: int = 0  # faults that cut it just now


class Links(SeededRandom):
    """All links of a fleet: their usual delay, their troubles, and the pipes to tell when one heals."""

    def __init__(self, seed: int, usual: Callable[[str, str], tuple[float, float]]) -> None:
        super().__init__(seed)
        self.usual = usual
        self.spans: dict[tuple[str, str], tuple[float, float]] = {}
        self.troubles: dict[tuple[str, str], Trouble] = {}
        self.pipes: dict[tuple[str, str], dict[Pipe, None]] = {}
        self.dropped = 0

    def between(self, span: tuple[float, float]) -> float:
        return super().between(span) if span[1] > span[0] else span[0]

    def trouble(self, a: str, b: str) -> Trouble:
        return self.troubles.setdefault((a, b), Trouble())

    def is_cut(self, a: str, b: str) -> bool:
        trouble = self.troubles.get((a, b))
        return trouble is not None and trouble.cut > 0

    def reachable(self, a: str, b: str) -> bool:
        """Whether a new connection can come up: both ways are needed."""
        return not self.is_cut(a, b) and not self.is_cut(b, a)

    def cut(self, a: str, b: str, on: bool) -> None:
        self.trouble(a, b).cut += 1 if on else -1
        if not self.is_cut(a, b):
            for pipe in list(self.pipes.get((a, b), ())):
                pipe.healed()

    def delay(self, a: str, b: str) -> float:
        """How long a segment of a stream takes; a loss shows as a retransmission."""
        span = self.spans.get((a, b))
        if span is None:
            span = self.spans[a, b] = self.usual(a, b)
        took, trouble = self.between(span), self.troubles.get((a, b))
        if trouble is not None:
            took += self.between(trouble.delay)
            while trouble.loss and self.chance() < trouble.loss:
                took += RETRANSMIT
        return took

    def datagram(self, a: str, b: str) -> list[float]:
        """The delays of the copies of a datagram that arrive; none if it is lost."""
        span, trouble = self.usual(a, b), self.troubles.get((a, b))
        if trouble is None:
            return [self.between(span)]
        if trouble.cut or self.chance() < trouble.loss:
            return []
        copies = [self.between(span) + self.between(trouble.delay)]
        if self.chance() < trouble.double:
            copies.append(copies[0] + self.between(span))
        if self.chance() < trouble.reorder:
            copies[0] += 4 * span[1] + self.between(trouble.delay)
        return copies


class Pipe:
    """One direction of one connection: what is put in comes out in order, later, or when a cut has healed."""

    def __init__(
        self, links: Links, seconds: Callable[[], float], later: Callable[..., Any], a: str, b: str,
        deliver: Callable[[Any], None],
    ) -> None:  # fmt: skip
        self.links, self.seconds, self.later = links, seconds, later
        self.ends, self.deliver = (a, b), deliver
        self.queue: deque[tuple[float, Any]] = deque()
        self.call: Any = None
        self.last = 0.0
        links.pipes.setdefault((a, b), {})[self] = None

    def put(self, item: Any) -> None:
        if len(self.queue) >= MOST_HELD:
            self.links.dropped += 1
            return
        now = self.seconds() * 1000.0
        self.last = max(now + self.links.delay(*self.ends), self.last)
        self.queue.append((self.last, item))
        if self.call is None:
            self._set(now)

    def _set(self, now: float) -> None:
        if self.queue and not self.links.is_cut(*self.ends):
            self.call = self.later(max(self.queue[0][0] - now, 0.0) / 1000.0, self._come)

    def _come(self) -> None:
        self.call = None
        now = self.seconds() * 1000.0
        while self.queue and self.queue[0][0] <= now + 0.01 and not self.links.is_cut(*self.ends):
            self.deliver(self.queue.popleft()[1])
        if self.call is None:
            self._set(self.seconds() * 1000.0)

    def healed(self) -> None:
        """The link is whole again: what was held up comes, a retransmission's time later."""
        if self.call is None and self.queue:
            now = self.seconds() * 1000.0
            late = now + HEALED * (1 + self.links.chance())
            self.queue = deque((max(at, late), item) for at, item in self.queue)
            self.last = max(self.last, late)
            self._set(now)

    def close(self) -> None:
        if self.call is not None and self.call.active():
            self.call.cancel()
        self.call = None
        self.queue.clear()
        self.links.pipes.get(self.ends, {}).pop(self, None)


class Edge:
    """What the node's end of a connection to a host or to discovery shows, for the history.

    The node's side is fed as it writes, the far side as it arrives; both drivers feed the same.
    """

    def __init__(self, kind: str, node: str, far: str, emit: Callable[..., None]) -> None:
        self.kind, self.node, self.far, self.emit = kind, node, far, emit
        self.id = ""
        self.out = self.answered = False
        self.line, self.text = b"", b""

    def wrote(self, data: bytes) -> None:
        if self.kind == "host" and not self.id and not self.out:
            self.line += data
            if self.line.startswith(b"OPEN ") and b" " in self.line[5:]:
                self.id = self.line[5 : self.line.index(b" ", 5)].decode("utf-8", "replace")
                self.out = True
                self.emit("dial", who=self.node, to=self.far, id=self.id)
            elif len(self.line) > 64:
                self.out = True  # a probe's connection
            elif self.line.startswith((b"STATS", b"PING")):
                self.line = b""
                self.emit("look", who=self.node, to=self.far)

    def arrived(self, data: bytes) -> None:
        if self.kind == "host" and self.id and not self.answered:
            self.text += data
            if b"\r\n" in self.text:
                self.answered = True
                word = self.text.split(b"\r\n", 1)[0].split(b" ", 1)[0].decode("utf-8", "replace")
                self.emit("back", who=self.node, to=self.far, id=self.id, what=word)
        elif self.kind == "list":
            self.text += data
            *lines, self.text = self.text.split(b"\n")
            for line in lines:
                if line.startswith(b'{"rev":'):
                    self.emit("told", who=self.node, rev=int(line[7 : line.index(b",")]))

    def ended(self, by: str) -> None:
        """The connection is over at the node: it ended it, or learned that the far side did."""
        if self.kind == "host" and self.id:
            self.emit("undial", who=self.node, to=self.far, id=self.id, by=by)
            self.id, self.out = "", True
