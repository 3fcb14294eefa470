"""Simulated clients: open-loop Poisson arrivals, assigned to nodes by a simulated front end.

A client measures its times from the moment at which its request was due, not from when it was sent, so a slow
fleet is not offered less load than a fast one.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Protocol
from twisted.protocols.basic import LineReceiver

from .scenario import Scenario, host_name
from .seeded_random import SeededRandom
from .single_connection import SingleConnectionFactory

LINE_INTERVAL_MS = 2000.0  # between two lines that a client sends on an established session
RESUME_TIMEOUT_MS = 40_000.0  # of clients that resume a session from before the run
PROMPT_ANSWER_MS = 1000.0  # lines echoed later than this count as badly served
MAX_BACKOFF_MS = 4000.0  # clients do not honour a longer back-off


class Client(LineReceiver):
    """One attempt of a client to get a session, and the session if it is established.

    `resumes_at_host` names the host of a session from before the run, which this client resumes.
    """

    MAX_LENGTH = 4096

    def __init__(
        self, clients: Clients, number: int, attempt: int, load: float, ends_at: float,
        resumes_at_host: str = "",
    ) -> None:  # fmt: skip
        self.clients, self.number, self.attempt, self.load, self.ends_at = (
            clients,
            number,
            attempt,
            load,
            ends_at,
        )
        self.resumes_at_host = resumes_at_host
        self.id, self.node = clients.next_session_id(), ""
        self.requested_at = clients.now()
        self.is_answered, self.is_established, self.is_finished = False, False, False
        self.timer: Any = None
        self.unanswered_lines_at: list[float] = []  # when lines were sent that have not been echoed yet
        self.established_at, self.badly_served_ms = 0.0, 0.0
        self.request_sent = False

    def connectionMade(self) -> None:
        rest_range_ms = self.clients.scenario.clients.rest
        if rest_range_ms[1] and not self.resumes_at_host:
            request_delay_ms = self.clients.between(rest_range_ms)
            self.requested_at += request_delay_ms
            self.timer = self.clients.reactor.callLater(request_delay_ms / 1000.0, self.send_request)
        else:
            self.send_request()

    def send_request(self) -> None:
        if self.is_finished:
            return
        self.request_sent = True
        scenario = self.clients.scenario
        wait = RESUME_TIMEOUT_MS if self.resumes_at_host else scenario.clients.wait
        remaining_ms = max(wait - (self.clients.now() - self.requested_at), 1.0)
        open_line = (
            f"OPEN {self.id} k{self.number} "
            f"c=live,t=t,d={remaining_ms:.0f},h={self.load / 1000:.5f},n={self.node}"
        )
        if self.resumes_at_host:
            open_line += f",at={self.resumes_at_host}"
        resumed_host = {"at": host_name(self.resumes_at_host)} if self.resumes_at_host else {}
        self.clients.emit("ask", who=self.node, id=self.id, wait=round(remaining_ms, 1), **resumed_host)
        self.sendLine(open_line.encode())
        self.timer = self.clients.reactor.callLater(remaining_ms / 1000.0, self.time_out)
        impatient = 0.0 if self.resumes_at_host else scenario.clients.impatient
        if impatient and self.clients.chance() < impatient:
            self.clients.reactor.callLater(remaining_ms * self.clients.chance() / 1000.0, self.leave_early)

    def leave_early(self) -> None:
        """Disconnects before the request is answered."""
        if not self.is_answered and not self.is_finished:
            self.is_answered = self.is_finished = True
            self.timer.cancel()
            self.clients.emit("left", who=self.node, id=self.id)
            self.transport.loseConnection()

    def connect_failed(self) -> None:
        """Handles a connection to the node that could not be made; the node has accepted nothing."""
        if not self.is_finished:
            self.is_finished = True
            self.clients.retry_refused(self, 0.0)

    def time_out(self) -> None:
        if not self.is_answered:
            self.record_answer("none")
            self.close()

    def record_answer(self, what: str) -> None:
        if self.is_answered:
            self.clients.emit("extra", who=self.node, id=self.id, what=what)
            return
        self.is_answered = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        answer_ms = round(self.clients.now() - self.requested_at, 1)
        self.clients.emit("answer", who=self.node, id=self.id, what=what, ms=answer_ms)

    def lineReceived(self, line: bytes) -> None:
        word = line.split(b" ", 1)[0]
        if self.is_established:
            self.handle_line(word)
        elif not self.request_sent:
            self.closed_before_request()
        elif self.is_answered:
            self.record_answer(word.decode("utf-8", "replace").lower())
        elif word == b"UP":
            self.record_answer("up")
            self.is_established, self.established_at = True, self.clients.now()
            self.clients.established[self] = None
            self.send_line()
        else:
            self.record_answer("busy" if word == b"BUSY" else "err")
            if word == b"BUSY":
                backoff_text = line.partition(b" ")[2]
                self.clients.retry_refused(
                    self, min(float(backoff_text) if backoff_text.isdigit() else 0.0, MAX_BACKOFF_MS)
                )
            else:
                self.clients.retry_refused(self, 0.0)
            self.is_finished = True
            self.transport.loseConnection()

    def closed_before_request(self) -> None:
        """Handles a connection that the node closed before the request was sent."""
        if not self.is_finished:
            self.is_finished = True
            self.timer.cancel()
            self.clients.retry_refused(self, 0.0)
            self.close()

    def send_line(self) -> None:
        if self.is_finished:
            return
        now = self.clients.now()
        if now >= self.ends_at:
            self.leave("lived")
            return
        self.unanswered_lines_at.append(now)
        self.sendLine(b"say")
        self.timer = self.clients.reactor.callLater(
            min(LINE_INTERVAL_MS, self.ends_at - now + 1) / 1000.0, self.send_line
        )

    def handle_line(self, word: bytes) -> None:
        now = self.clients.now()
        if word == b"say":
            if self.unanswered_lines_at and now - self.unanswered_lines_at.pop(0) > PROMPT_ANSWER_MS:
                self.badly_served_ms += LINE_INTERVAL_MS
        elif word in (b"MOVE", b"BYE"):
            self.leave(word.decode().lower())
            if word == b"MOVE":
                self.clients.reconnect(self)
        else:
            self.record_answer(word.decode("utf-8", "replace").lower())

    def leave(self, how: str) -> None:
        self.record_end(how)
        self.transport.loseConnection()

    def record_end(self, how: str) -> None:
        if self.is_finished:
            return
        self.is_finished = True
        self.clients.established.pop(self, None)
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        now = self.clients.now()
        lifetime_ms = now - self.established_at
        self.badly_served_ms += LINE_INTERVAL_MS * sum(
            now - at > PROMPT_ANSWER_MS for at in self.unanswered_lines_at
        )
        self.clients.emit(
            "end", who=self.node, id=self.id, how=how, ms=round(lifetime_ms, 1),
            well=round(max(lifetime_ms - self.badly_served_ms, 0.0), 1),
        )  # fmt: skip

    def close(self) -> None:
        self.is_finished = True
        if self.connected:
            self.transport.loseConnection()

    def connectionLost(self, reason: Any) -> None:
        if not self.request_sent:
            self.closed_before_request()
        elif self.is_established and not self.is_finished:
            self.record_end("broke")
            self.clients.reconnect(self)
        elif not self.is_finished:
            self.is_finished = True
            self.record_answer("closed")
            self.clients.retry_refused(self, 0.0)
        elif self.timer is not None and self.timer.active():
            self.timer.cancel()


class IdleConnection(Protocol):
    """A connection that never sends anything."""

    def leave(self) -> None:
        if self.transport is not None:
            self.transport.loseConnection()


class Clients(SeededRandom):
    """All clients and the front end: assigns clients to nodes and schedules arrivals and reconnects."""

    def __init__(
        self, reactor: Any, scenario: Scenario, seed: int, addresses: dict[str, tuple[str, int]],
        clock: Callable[[], float], emit: Callable[..., None],
    ) -> None:  # fmt: skip
        super().__init__(seed)
        self.reactor, self.scenario, self.addresses = reactor, scenario, addresses
        self.now, self.emit = clock, emit
        self.client_count, self.session_count = 0, 0
        self.excluded: dict[
            str, float
        ] = {}  # nodes that the front end does not use, by the time of exclusion
        self.pending_exclusions: list[tuple[float, str]] = []  # heap: when a node's death is noticed
        weights = scenario.clients
        self.weight = {n: 1.0 + (weights.uneven if i % 5 == 0 else 0.0) for i, n in enumerate(addresses)}
        self.stopped = False
        self.established: dict[Client, None] = {}  # clients with an established session
        self.idle_connections: dict[str, list[IdleConnection]] = {}  # by node

    def next_session_id(self) -> str:
        self.session_count += 1
        return f"{self.session_count:08x}"

    def start(self) -> None:
        self.next_at = self.now()
        self.resume_standing_clients()
        self.admit_due_clients()

    def resume_standing_clients(self) -> None:
        """Connects all clients that resume sessions from before the run, at the same instant."""
        now, settings, names = self.now(), self.scenario.clients, list(self.scenario.listed_names())
        for _ in range(settings.standing):
            life, load = self.between(settings.life) * 1000.0, self.between(settings.load)
            self.client_count += 1
            host = names[int(self.chance() * len(names))]
            self.connect(Client(self, self.client_count, 0, load, now + life, host))

    def admit_due_clients(self) -> None:
        """Connects every client whose arrival time has passed, and schedules the next arrival."""
        now = self.now()
        while self.next_at <= now and not self.stopped:
            self.add_client(self.next_at)
            self.next_at += self._next_interval_ms()
        if not self.stopped:
            self.reactor.callLater(max(self.next_at - now, 0.0) / 1000.0, self.admit_due_clients)

    def _next_interval_ms(self) -> float:
        """Exponentially distributed time until the next arrival."""
        return -math.log(max(1.0 - self.chance(), 1e-9)) * 1000.0 / self.scenario.clients.rate

    def add_client(self, at: float) -> None:
        settings = self.scenario.clients
        life, load = self.between(settings.life) * 1000.0, self.between(settings.load)
        self.client_count += 1
        wanted_ms = min(at + life, self.scenario.seconds * 1000.0) - at
        self.emit("wanted", ms=round(wanted_ms, 1))
        self.connect(Client(self, self.client_count, 0, load, at + life))

    def connect(self, client: Client) -> None:
        if self.stopped:
            return
        client.node = node = self.choose_node()
        if not node:
            client.connect_failed()
            return
        host, port = self.addresses[node]
        wait = self.scenario.clients.wait / 1000.0
        self.reactor.connectTCP(host, port, SingleConnectionFactory(client, client.connect_failed), wait)

    def open_idle_connections(self, node: str, number: int) -> None:
        """Replaces the idle connections to a node by the given number of new ones."""
        for connection in self.idle_connections.pop(node, ()):
            connection.leave()
        self.idle_connections[node] = [IdleConnection() for _ in range(number)]
        host, port = self.addresses[node]
        for connection in self.idle_connections[node]:
            self.reactor.connectTCP(host, port, SingleConnectionFactory(connection, lambda: None), 2.0)

    def choose_node(self) -> str:
        now = self.now()
        while self.pending_exclusions and self.pending_exclusions[0][0] <= now:
            self.excluded[heapq.heappop(self.pending_exclusions)[1]] = now
        nodes = [n for n in self.addresses if n not in self.excluded]
        remaining_weight = self.chance() * sum(self.weight[n] for n in nodes)
        for n in nodes:
            remaining_weight -= self.weight[n]
            if remaining_weight <= 0:
                return n
        return nodes[-1] if nodes else ""

    def update_node(self, what: str, node: str) -> None:
        """Tells the front end that a node died (noticed after a delay), leaves as planned, or is ready."""
        if what == "died":
            heapq.heappush(
                self.pending_exclusions, (self.now() + self.between(self.scenario.clients.notice), node)
            )
        elif what == "leaves":
            self.excluded[node] = self.now()
        else:
            self.pending_exclusions = [(at, n) for at, n in self.pending_exclusions if n != node]
            heapq.heapify(self.pending_exclusions)
            self.excluded.pop(node, None)

    def retry_refused(self, client: Client, backoff_ms: float) -> None:
        """Schedules a limited number of retries, after the back-off from the node or a random one."""
        settings, remaining_ms = self.scenario.clients, client.ends_at - self.now()
        if client.attempt < settings.retries and remaining_ms > 0 and not self.stopped:
            wait = backoff_ms or self.between((15.0, 120.0)) * 2**client.attempt
            new_client = Client(self, client.number, client.attempt + 1, client.load, client.ends_at)
            self.connect_later(wait, new_client)

    def reconnect(self, client: Client) -> None:
        """Schedules a new session for a client whose connection broke or was moved."""
        if client.ends_at > self.now() and not self.stopped:
            new_client = Client(self, client.number, 0, client.load, client.ends_at)
            self.connect_later(self.between(self.scenario.clients.back), new_client)

    def connect_later(self, wait: float, client: Client) -> None:
        client.requested_at = self.now() + wait
        self.reactor.callLater(wait / 1000.0, self.connect, client)

    def stop(self) -> None:
        """Stops arrivals and ends all established sessions."""
        self.stopped = True
        for client in list(self.established):
            client.leave("run-over")
