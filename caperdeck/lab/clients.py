"""Simulated clients: arrivals as an open loop (Poisson), assigned to nodes by a front.

A client's times count from the moment it should have sent, so a slow fleet is not asked less.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.protocols.basic import LineReceiver

from .scenario import Scenario, host_of
from .seeded_random import SeededRandom
from .single_connection import SingleConnectionFactory

SPEAK = 2000.0  # a client sends a line so often
RESUME_WAIT = 40_000.0  # so long a client whose connection stood before the run waits for it
IN_TIME = 1000.0  # a line that comes back in this time was served well
MOST_BACK = 4000.0  # the longest back-off that a client honours


class Client(LineReceiver):
    MAX_LENGTH = 4096

    def __init__(
        self, clients: Clients, number: int, tries: int, load: float, ends: float, stood_at: str = "",
    ) -> None:  # fmt: skip
        self.clients, self.number, self.tries, self.load, self.ends = clients, number, tries, load, ends
        self.stood_at = stood_at  # the host, where its connection stood before the run
        self.id, self.node = clients.name(), ""
        self.asked = clients.now()
        self.answered, self.up, self.over = False, False, False
        self.waits: Any = None
        self.spoke: list[float] = []  # lines that no answer has come to yet
        self.up_at, self.badly = 0.0, 0.0  # how long it was served badly
        self.sent = False

    def connectionMade(self) -> None:
        span = self.clients.scenario.clients.rest
        if span[1] and not self.stood_at:
            rest = self.clients.between(span)
            self.asked += rest
            self.waits = self.clients.reactor.callLater(rest / 1000.0, self.ask)
        else:
            self.ask()

    def ask(self) -> None:
        if self.over:
            return
        self.sent = True
        scenario = self.clients.scenario
        wait = RESUME_WAIT if self.stood_at else scenario.clients.wait
        left = max(wait - (self.clients.now() - self.asked), 1.0)
        head = f"OPEN {self.id} k{self.number} c=live,t=t,d={left:.0f},h={self.load / 1000:.5f},n={self.node}"
        if self.stood_at:
            head += f",at={self.stood_at}"
        at = {"at": host_of(self.stood_at)} if self.stood_at else {}
        self.clients.emit("ask", who=self.node, id=self.id, wait=round(left, 1), **at)
        self.sendLine(head.encode())
        self.waits = self.clients.reactor.callLater(left / 1000.0, self.give_up)
        impatient = 0.0 if self.stood_at else scenario.clients.impatient
        if impatient and self.clients.chance() < impatient:
            self.clients.reactor.callLater(left * self.clients.chance() / 1000.0, self.lose_patience)

    def lose_patience(self) -> None:
        """Leaves before it has an answer."""
        if not self.answered and not self.over:
            self.answered = self.over = True
            self.waits.cancel()
            self.clients.emit("left", who=self.node, id=self.id)
            self.transport.loseConnection()

    def connect_failed(self) -> None:
        """The node is not there, or cut off; it has taken nothing."""
        if not self.over:
            self.over = True
            self.clients.refused(self, 0.0)

    def give_up(self) -> None:
        if not self.answered:
            self.answer("none")
            self.close()

    def answer(self, what: str) -> None:
        if self.answered:
            self.clients.emit("extra", who=self.node, id=self.id, what=what)
            return
        self.answered = True
        if self.waits is not None and self.waits.active():
            self.waits.cancel()
        took = round(self.clients.now() - self.asked, 1)
        self.clients.emit("answer", who=self.node, id=self.id, what=what, ms=took)

    def lineReceived(self, line: bytes) -> None:
        word = line.split(b" ", 1)[0]
        if self.up:
            self.heard(word)
        elif not self.sent:
            self.turned_away()
        elif self.answered:
            self.answer(word.decode("utf-8", "replace").lower())
        elif word == b"UP":
            self.answer("up")
            self.up, self.up_at = True, self.clients.now()
            self.clients.live[self] = None
            self.speak()
        else:
            self.answer("busy" if word == b"BUSY" else "err")
            if word == b"BUSY":
                back = line.partition(b" ")[2]
                self.clients.refused(self, min(float(back) if back.isdigit() else 0.0, MOST_BACK))
            else:
                self.clients.refused(self, 0.0)
            self.over = True
            self.transport.loseConnection()

    def turned_away(self) -> None:
        """The node has ended a connection on which nothing had been asked."""
        if not self.over:
            self.over = True
            self.waits.cancel()
            self.clients.refused(self, 0.0)
            self.close()

    def speak(self) -> None:
        if self.over:
            return
        now = self.clients.now()
        if now >= self.ends:
            self.leave("lived")
            return
        self.spoke.append(now)
        self.sendLine(b"say")
        self.waits = self.clients.reactor.callLater(min(SPEAK, self.ends - now + 1) / 1000.0, self.speak)

    def heard(self, word: bytes) -> None:
        now = self.clients.now()
        if word == b"say":
            if self.spoke and now - self.spoke.pop(0) > IN_TIME:
                self.badly += SPEAK
        elif word in (b"MOVE", b"BYE"):
            self.leave(word.decode().lower())
            if word == b"MOVE":
                self.clients.again(self)
        else:
            self.answer(word.decode("utf-8", "replace").lower())

    def leave(self, how: str) -> None:
        self.finish(how)
        self.transport.loseConnection()

    def finish(self, how: str) -> None:
        if self.over:
            return
        self.over = True
        self.clients.live.pop(self, None)
        if self.waits is not None and self.waits.active():
            self.waits.cancel()
        now = self.clients.now()
        lived = now - self.up_at
        self.badly += SPEAK * sum(now - at > IN_TIME for at in self.spoke)
        self.clients.emit(
            "end", who=self.node, id=self.id, how=how, ms=round(lived, 1),
            well=round(max(lived - self.badly, 0.0), 1),
        )  # fmt: skip

    def close(self) -> None:
        self.over = True
        if self.connected:
            self.transport.loseConnection()

    def connectionLost(self, reason: Any) -> None:
        if not self.sent:
            self.turned_away()
        elif self.up and not self.over:
            self.finish("broke")
            self.clients.again(self)
        elif not self.over:
            self.over = True
            self.answer("closed")
            self.clients.refused(self, 0.0)
        elif self.waits is not None and self.waits.active():
            self.waits.cancel()


class Idler(Protocol):
    """A connection on which nothing is ever said."""

    def leave(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


class Clients(SeededRandom):
    """All clients and the front: which node a client comes to, and when it comes again."""

    def __init__(
        self, reactor: Any, scenario: Scenario, seed: int, addresses: dict[str, tuple[str, int]],
        clock: Callable[[], float], emit: Callable[..., None],
    ) -> None:  # fmt: skip
        super().__init__(seed)
        self.reactor, self.scenario, self.addresses = reactor, scenario, addresses
        self.now, self.emit = clock, emit
        self.made, self.named = 0, 0
        self.out: dict[str, float] = {}  # nodes that the front leaves out, until when at the least
        self.left_out: list[tuple[float, str]] = []  # when the front will notice that a node has died
        weights = scenario.clients
        self.weight = {n: 1.0 + (weights.uneven if i % 5 == 0 else 0.0) for i, n in enumerate(addresses)}
        self.ended = False
        self.live: dict[Client, None] = {}  # the ones that stand
        self.crowds: dict[str, list[Idler]] = {}  # who says nothing, by node

    def name(self) -> str:
        self.named += 1
        return f"{self.named:08x}"

    def start(self) -> None:
        self.next_at = self.now()
        self.come_back()
        self.arrive()

    def come_back(self) -> None:
        """The clients whose connections stood before the run, in one instant."""
        now, table, names = self.now(), self.scenario.clients, list(self.scenario.listed_names())
        for _ in range(table.standing):
            life, load = self.between(table.life) * 1000.0, self.between(table.load)
            self.made += 1
            host = names[int(self.chance() * len(names))]
            self.connect(Client(self, self.made, 0, load, now + life, host))

    def arrive(self) -> None:
        """Every client that is due by now, late or not."""
        now = self.now()
        while self.next_at <= now and not self.ended:
            self.come(self.next_at)
            self.next_at += self._gap()
        if not self.ended:
            self.reactor.callLater(max(self.next_at - now, 0.0) / 1000.0, self.arrive)

    def _gap(self) -> float:
        """Milliseconds to the next arrival, exponentially distributed."""
        return -math.log(max(1.0 - self.chance(), 1e-9)) * 1000.0 / self.scenario.clients.rate

    def come(self, at: float) -> None:
        table = self.scenario.clients
        life, load = self.between(table.life) * 1000.0, self.between(table.load)
        self.made += 1
        rest = min(at + life, self.scenario.seconds * 1000.0) - at
        self.emit("wanted", ms=round(rest, 1))
        self.connect(Client(self, self.made, 0, load, at + life))

    def connect(self, client: Client) -> None:
        if self.ended:
            return
        client.node = node = self.choose_node()
        if not node:
            client.connect_failed()
            return
        host, port = self.addresses[node]
        wait = self.scenario.clients.wait / 1000.0
        self.reactor.connectTCP(host, port, SingleConnectionFactory(client, client.connect_failed), wait)

    def crowd(self, node: str, number: int) -> None:
        """So many connections to the node that say nothing; those of before end."""
        for idler in self.crowds.pop(node, ()):
            idler.leave()
        self.crowds[node] = [Idler() for _ in range(number)]
        host, port = self.addresses[node]
        for idler in self.crowds[node]:
            self.reactor.connectTCP(host, port, SingleConnectionFactory(idler, lambda: None), 2.0)

    def choose_node(self) -> str:
        now = self.now()
        while self.left_out and self.left_out[0][0] <= now:
            self.out[heapq.heappop(self.left_out)[1]] = now
        nodes = [n for n in self.addresses if n not in self.out]
        pick = self.chance() * sum(self.weight[n] for n in nodes)
        for n in nodes:
            pick -= self.weight[n]
            if pick <= 0:
                return n
        return nodes[-1] if nodes else ""

    def node(self, what: str, node: str) -> None:
        """What the front learns of a node: it died (noticed late), leaves by plan, or is ready."""
        if what == "died":
            heapq.heappush(self.left_out, (self.now() + self.between(self.scenario.clients.notice), node))
        elif what == "leaves":
            self.out[node] = self.now()
        else:
            self.left_out = [(at, n) for at, n in self.left_out if n != node]
            heapq.heapify(self.left_out)
            self.out.pop(node, None)

    def refused(self, client: Client, back_off: float) -> None:
        """The client comes again a few times, after the wait that it was told or one of its own."""
        table, left = self.scenario.clients, client.ends - self.now()
        if client.tries < table.retries and left > 0 and not self.ended:
            wait = back_off or self.between((15.0, 120.0)) * 2**client.tries
            again = Client(self, client.number, client.tries + 1, client.load, client.ends)
            self.later(wait, again)

    def again(self, client: Client) -> None:
        """Its connection broke or was moved."""
        if client.ends > self.now() and not self.ended:
            again = Client(self, client.number, 0, client.load, client.ends)
            self.later(self.between(self.scenario.clients.back), again)

    def later(self, wait: float, client: Client) -> None:
        client.asked = self.now() + wait
        self.reactor.callLater(wait / 1000.0, self.connect, client)

    def stop(self) -> None:
        """Nobody comes any more, and who stands leaves."""
        self.ended = True
        for client in list(self.live):
            client.leave("run-over")
