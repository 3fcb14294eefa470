"""The process of all hosts: sessions that stand from their first line, and a sender of stamped lines."""

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

from .end import LOOPBACK, POLL, End, Reply, stamped

reactor = install_reactor()

BACKLOG = 4096
NANOSECONDS = 1e9


class HostLine(LineOnlyReceiver):
    """A connection at a host: a probe's, or a session's that stands from its first line on."""

    delimiter = b"\r\n"

    def __init__(self, place: HostPlace) -> None:
        self.place = place
        self.id: bytes | None = None

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)

    def lineReceived(self, line: bytes) -> None:
        if line.startswith(b"OPEN "):
            self.id = line.split(b" ", 2)[1]
            self.place.sessions[self.id] = self
            self.sendLine(b"UP r-" + self.id)
        elif line == b"STATS":
            held = len(self.place.sessions)
            self.sendLine(b"PONG inflight=%d,x0=%.4f" % (held, held / self.place.capacity))
        elif line == b"PING":
            self.sendLine(b"PONG")

    def connectionLost(self, reason: Any) -> None:
        if self.id is not None:
            self.place.sessions.pop(self.id, None)


class HostPlace(ServerFactory):
    """One host: where it listens, and its sessions."""

    noisy = False

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity  # sessions that fill it
        self.sessions: dict[bytes, HostLine] = {}

    def buildProtocol(self, addr: Any) -> HostLine:
        return HostLine(self)


class Sender(threading.Thread):
    """Sends stamped lines over some sessions in turn, at the moments of a Poisson process of that rate."""

    def __init__(self, sockets: list[socket.socket], rate: float, seconds: float, length: int) -> None:
        super().__init__(daemon=True)
        self.sockets, self.rate, self.seconds, self.length = sockets, rate, seconds, length
        self.sent, self.blocked, self.cut = 0, 0, 0  # lines that went out, not at all, in part
        self.late = array("d")  # seconds by which each was sent after its moment

    def run(self) -> None:
        gap = random.Random(self.length).expovariate
        due = began = time.monotonic()
        end, number = began + self.seconds, 0
        while (due := due + gap(self.rate)) < end:
            now = time.monotonic()
            if due > now:
                time.sleep(due - now)
            elif now > end:
                break
            self.send(self.sockets[number % len(self.sockets)], due)
            number += 1

    def send(self, sock: socket.socket, due: float) -> None:
        at = time.monotonic_ns()
        line = stamped(at, self.length)
        try:
            # Danger: a part of a line shifts all that follow on its connection.
            whole = sock.send(line) == len(line)
            self.sent += whole
            self.cut += not whole
        except BlockingIOError:
            self.blocked += 1
        self.late.append(at / NANOSECONDS - due)


class HostsEnd(End):
    def do_open(self, reply: Reply, hosts: int, capacity: int) -> None:
        """Hosts with room for so many sessions each, and the agent that lists them."""
        self.places = [HostPlace(capacity) for _ in range(hosts)]
        ends = {}
        roster = Roster()
        for number, place in enumerate(self.places):
            port = reactor.listenTCP(0, place, BACKLOG, LOOPBACK).getHost()
            roster.add(f"h{number}", az="east", state="Ready", boot_ms=0)
            ends[f"h{number}"] = f"{port.host}:{port.port}"
        host, port = Agent(reactor, roster, ends).listen(LOOPBACK)
        rows = [row | {"endpoint": ends[uid]} for uid, row in roster.rows.items()]
        reply({"discovery": f"{host}:{port}", "rows": rows})

    def do_sessions(self, reply: Reply) -> None:
        reply(sum(len(place.sessions) for place in self.places))

    def do_send(self, reply: Reply, prefix: str, rate: float, seconds: float, length: int) -> None:
        """Lines over the sessions whose ids begin so; answered once the last has gone out."""
        lines = [
            line for place in self.places for name, line in sorted(place.sessions.items())
            if name.startswith(prefix.encode())
        ]  # fmt: skip
        sender = Sender([line.transport.getHandle() for line in lines], rate, seconds, length)
        self.processor()
        sender.start()

        def check() -> None:
            if sender.is_alive():
                reactor.callLater(POLL, check)
                return
            late = sorted(sender.late) or [0.0]
            reply({
                "sent": sender.sent, "blocked": sender.blocked, "cut": sender.cut,
                "late": late[int(0.99 * len(late))], "processor": self.processor(),
            })  # fmt: skip

        check()
