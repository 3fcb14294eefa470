"""The processes at both ends of a measured node: one for all hosts, one for all clients.

Commands come as lines of JSON on standard input, `do` and its values; each is answered by one line with its
result. When the input ends, the process exits. Times on the lines that are relayed are CLOCK_MONOTONIC in
nanoseconds, which both processes read alike.
"""

from __future__ import annotations

import gc
import os
import random
import socket
import struct
import sys
import threading
import time
from array import array
from collections.abc import Callable
from typing import Any

import msgspec
from hdrh.histogram import HdrHistogram
from twisted.internet import reactor, stdio
from twisted.internet.protocol import Protocol, ServerFactory
from twisted.protocols.basic import LineOnlyReceiver

from caperdeck.lab.discovery import Agent, Roster
from caperdeck.lab.single_connection import SingleConnectionFactory

LOOPBACK = "127.0.0.1"
BACKLOG = 4096
STAMP = 20  # digits of the time at the start of a relayed line
WAIT = 5000  # milliseconds that a client waits for its answer
LOAD = 0.002  # seconds of work a second that a client announces
RETRY = 0.1  # seconds until a client that was refused comes again
AT_ONCE = 64  # clients that are on the way in, or are sent away, at a time
NANOSECONDS = 1e9
LONGEST = 60_000_000  # microseconds of the histogram, and its digits
DIGITS = 3
PERCENTILES = {"p50": 50.0, "p99": 99.0, "p999": 99.9}
STEP = 0.001  # seconds between looks at whether something has come to its end

Reply = Callable[[Any], None]


def stamped(at: int, length: int) -> bytes:
    """A line of so many bytes, its end of line among them, that begins with its time of sending."""
    return b"%0*d " % (STAMP, at) + b"x" * (length - STAMP - 3) + b"\r\n"


class End:
    """What both processes answer to."""

    def __init__(self) -> None:
        self.used_at = 0.0

    def do_quiet(self, reply: Reply) -> None:
        """No collection of garbage while something is measured."""
        gc.collect()
        gc.freeze()
        gc.disable()
        reply(None)

    def processor(self) -> float:
        """Processor seconds since the last call."""
        before, self.used_at = self.used_at, time.process_time()
        return self.used_at - before


# ---- hosts


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
            roster.put(f"h{number}", az="east", state="Ready", boot_ms=0)
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

        def look() -> None:
            if sender.is_alive():
                reactor.callLater(STEP, look)
                return
            late = sorted(sender.late) or [0.0]
            reply({
                "sent": sender.sent, "blocked": sender.blocked, "cut": sender.cut,
                "late": late[int(0.99 * len(late))], "processor": self.processor(),
            })  # fmt: skip

        look()


# ---- clients


class Client(Protocol):
    """A client's connection: its first line, its answer, then stamped lines that are only timed."""

    def __init__(self, crowd: ClientsEnd, name: bytes) -> None:
        self.crowd, self.name = crowd, name
        self.held = b""
        self.up = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.transport.write(b"OPEN %s k c=live,t=t,d=%d,h=%g\r\n" % (self.name, WAIT, LOAD))

    def dataReceived(self, data: bytes) -> None:
        if self.up:
            self.timed(data)
            return
        self.held += data
        if self.held.endswith(b"\r\n"):
            answer, self.held = self.held, b""
            self.up = answer.startswith(b"UP ")
            if self.up:
                self.crowd.stands(self)
            else:
                self.transport.loseConnection()

    def timed(self, data: bytes) -> None:
        now = time.monotonic_ns()
        length, data = self.crowd.length, self.held + data if self.held else data
        whole = len(data) - len(data) % length
        for start in range(0, whole, length):
            self.crowd.delays.append(now - int(data[start : start + STAMP]))
        self.held = data[whole:]

    def connectionLost(self, reason: Any) -> None:
        self.crowd.gone(self)


class ClientsEnd(End):
    def __init__(self) -> None:
        super().__init__()
        self.standing: dict[Client, None] = {}
        self.delays = array("q")  # nanoseconds
        self.length = 0

    def do_open(self, reply: Reply, host: str, port: int, prefix: str, count: int) -> None:
        """So many clients more, a few at a time; answered once all stand."""
        self.address, self.prefix, self.wanted = (host, port), prefix, count
        self.begun, self.up, self.refused = 0, 0, 0
        self.all_up = reply
        for _ in range(min(AT_ONCE, count)):
            self.next()

    def next(self) -> None:
        if self.begun < self.wanted:
            self.begun += 1
            self.connect(b"%s%07d" % (self.prefix.encode(), self.begun))

    def connect(self, name: bytes) -> None:
        client = Client(self, name)
        factory = SingleConnectionFactory(client, lambda: self.gone(client))
        reactor.connectTCP(*self.address, factory, WAIT / 1000)

    def stands(self, client: Client) -> None:
        self.standing[client] = None
        self.up += 1
        if self.up == self.wanted:
            self.all_up({"refused": self.refused})
        self.next()

    def gone(self, client: Client) -> None:
        if client.up:
            self.standing.pop(client, None)
        else:
            self.refused += 1
            reactor.callLater(RETRY, self.connect, client.name)

    def do_watch(self, reply: Reply, length: int) -> None:
        """From now on lines of this length are timed."""
        self.length, self.delays = length, array("q")
        self.processor()
        reply(None)

    def do_received(self, reply: Reply) -> None:
        reply({"received": len(self.delays), "processor": self.processor()})

    def do_delays(self, reply: Reply) -> None:
        """How many lines came, and the percentiles of their times, in seconds."""
        histogram = HdrHistogram(1, LONGEST, DIGITS)
        for delay in self.delays:
            histogram.record_value(max(delay // 1000, 1))
        at = {name: histogram.get_value_at_percentile(p) / 1e6 for name, p in PERCENTILES.items()}
        reply({"received": len(self.delays), "percentiles": at})

    def do_close(self, reply: Reply, reset: bool) -> None:
        """Ends all, by a reset or politely; answered once none stands."""
        if reset:
            # no connection is left waiting for its time, which would show in the next figure
            for client in list(self.standing):
                linger = struct.pack("ii", 1, 0)
                client.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        waiting = list(self.standing)

        def some() -> None:
            for client in waiting[-AT_ONCE:]:
                client.transport.abortConnection() if reset else client.transport.loseConnection()
            del waiting[-AT_ONCE:]
            if waiting or self.standing:
                reactor.callLater(STEP, some)
            else:
                reply(None)

        some()


ROLES = {"hosts": HostsEnd, "clients": ClientsEnd}


class Commands(LineOnlyReceiver):
    delimiter = b"\n"
    MAX_LENGTH = 1 << 20

    def __init__(self, end: End) -> None:
        self.end = end

    def lineReceived(self, line: bytes) -> None:
        command = msgspec.json.decode(line)
        getattr(self.end, f"do_{command.pop('do')}")(self.reply, **command)

    def reply(self, value: Any) -> None:
        self.transport.write(msgspec.json.encode(value) + b"\n")

    def connectionLost(self, reason: Any) -> None:
        os._exit(0)


def main() -> None:
    stdio.StandardIO(Commands(ROLES[sys.argv[1]]()))
    reactor.run(installSignalHandlers=False)


if __name__ == "__main__":
    main()
