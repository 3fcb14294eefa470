"""The process of all hosts: accepts sessions, and sends stamped lines over them."""

from __future__ import annotations

import random
import socket
import threading
import time
from array import array
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineOnlyReceiver

from caperdeck.lab.discovery import Agent, Roster
from caperdeck.lifecycle.reactor import install_reactor

from .end import LOOPBACK, POLL_INTERVAL_S, Endpoint, Reply, stamped_line

reactor = install_reactor()

LISTEN_BACKLOG = 4096
NANOSECONDS_PER_SECOND = 1e9


class HostConnection(LineOnlyReceiver):
    """A connection at a host: a probe's, or that of a session, which is accepted at its first line."""

    delimiter = b"\r\n"

    def __init__(self, host: SimulatedHost) -> None:
        self.host = host
        self.session_id: bytes | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def lineReceived(self, line: bytes) -> None:
        if line.startswith(b"OPEN "):
            self.session_id = line.split(b" ", 2)[1]
            self.host.sessions[self.session_id] = self
            self.sendLine(b"UP r-" + self.session_id)
        elif line == b"STATS":
            session_count = len(self.host.sessions)
            self.sendLine(b"PONG inflight=%d,x0=%.4f" % (session_count, session_count / self.host.capacity))
        elif line == b"PING":
            self.sendLine(b"PONG")

    def connectionLost(self, reason: Any) -> None:
        if self.session_id is not None:
            self.host.sessions.pop(self.session_id, None)


class SimulatedHost(ServerFactory):
    """A host with its sessions by id."""

    noisy = False

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity  # in sessions
        self.sessions: dict[bytes, HostConnection] = {}

    def buildProtocol(self, addr: Any) -> HostConnection:
        return HostConnection(self)


class LineSender(threading.Thread):
    """Sends stamped lines over several connections in turn, as a Poisson process of the given rate."""

    def __init__(self, sockets: list[socket.socket], rate: float, seconds: float, length: int) -> None:
        super().__init__(daemon=True)
        self.sockets, self.rate, self.seconds, self.length = sockets, rate, seconds, length
        self.sent, self.blocked, self.partial = 0, 0, 0  # lines sent completely, not at all, in part
        self.lateness_s = array("d")  # of each line, against its due time

    def run(self) -> None:
        next_gap = random.Random(self.length).expovariate
        due = started_at = time.monotonic()
        end, number = started_at + self.seconds, 0
        while (due := due + next_gap(self.rate)) < end:
            now = time.monotonic()
            if due > now:
                time.sleep(due - now)
            elif now > end:
                break
            self.send(self.sockets[number % len(self.sockets)], due)
            number += 1

    def send(self, sock: socket.socket, due: float) -> None:
        sent_at_ns = time.monotonic_ns()
        line = stamped_line(sent_at_ns, self.length)
        try:
            # A line sent in part would shift all later lines of its connection, so it is counted apart.
            complete = sock.send(line) == len(line)
            self.sent += complete
            self.partial += not complete
        except BlockingIOError:
            self.blocked += 1
        self.lateness_s.append(sent_at_ns / NANOSECONDS_PER_SECOND - due)


class HostsEndpoint(Endpoint):
    """Runs the hosts and their discovery agent, and sends lines over the sessions on command."""

    def do_open(self, reply: Reply, hosts: int, capacity: int) -> None:
        """Starts the hosts, each with capacity for that many sessions, and the agent that lists them."""
        self.simulated_hosts = [SimulatedHost(capacity) for _ in range(hosts)]
        endpoints = {}
        roster = Roster()
        for number, simulated_host in enumerate(self.simulated_hosts):
            port = reactor.listenTCP(0, simulated_host, LISTEN_BACKLOG, LOOPBACK).getHost()
            roster.add(f"h{number}", az="east", state="Ready", boot_ms=0)
            endpoints[f"h{number}"] = f"{port.host}:{port.port}"
        host, port = Agent(reactor, roster, endpoints).listen(LOOPBACK)
        rows = [row | {"endpoint": endpoints[uid]} for uid, row in roster.rows.items()]
        reply({"discovery": f"{host}:{port}", "rows": rows})

    def do_sessions(self, reply: Reply) -> None:
        """Replies with the number of sessions at all hosts."""
        reply(sum(len(host.sessions) for host in self.simulated_hosts))

    def do_send(self, reply: Reply, prefix: str, rate: float, seconds: float, length: int) -> None:
        """Sends lines over the sessions whose ids start with `prefix`; replies after the last line."""
        connections = [
            connection for host in self.simulated_hosts for name, connection in sorted(host.sessions.items())
            if name.startswith(prefix.encode())
        ]  # fmt: skip
        sender = LineSender(
            [connection.transport.getHandle() for connection in connections], rate, seconds, length
        )
        self.take_processor_time()
        sender.start()

        def check() -> None:
            if sender.is_alive():
                reactor.callLater(POLL_INTERVAL_S, check)
                return
            lateness_s = sorted(sender.lateness_s) or [0.0]
            reply({
                "sent": sender.sent, "blocked": sender.blocked, "cut": sender.partial,
                "late": lateness_s[int(0.99 * len(lateness_s))], "processor": self.take_processor_time(),
            })  # fmt: skip

        check()
