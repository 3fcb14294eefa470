"""Builds a node and its fleet, or a desk and its connections, directly."""

import json
import socket
import struct
import threading
import time
from contextlib import contextmanager, suppress
from pathlib import Path

from loguru import logger
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.selectreactor import SelectReactor
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from caperdeck.core.decide import Node
from caperdeck.core.facade import Balancer
from caperdeck.core.model import (
    Dial, Effect, HostState, Listener, RosterEntry, RosterScope, Scope, SessionRequest, Settings,
)  # fmt: skip
from caperdeck.core.settings import decode_names, decode_settings
from caperdeck.lifecycle.config import decode_limits, load_config, reload_config
from caperdeck.lifecycle.logs import Sink
from caperdeck.lifecycle.service import Service
from caperdeck.state.budget import SocketBudget
from caperdeck.state.hosts import Hosts
from caperdeck.wire.client import ClientConnection, ClientFactory, ClientPort
from caperdeck.wire.session_handler import SessionHandler

START = 1_000_000.0


@contextmanager
def logged():
    """The log lines of a test."""
    lines = []
    number = logger.add(lines.append, format="{message}")
    yield lines
    logger.remove(number)


def settings(effect=Effect.REPEATABLE, scope=Scope.ALL, **changes) -> Settings:
    listener = Listener(effect, scope, 5000.0, 300.0, 100.0, 1.0)
    values = {
        "seed": 7, "node_number": 0, "nodes": 3, "zone": 0, "listeners": (listener,), "max_dials": 5,
        "may_withdraw": True, "may_probe": True, "reports_load": True, "may_back_off": True,
        "max_back_off": 1000.0,
        "cold_from": 0.3, "warm_after": 8000.0, "fall_multiple": 2.5, "fall_span": 1000.0, "subscribe": False,
        "ask_every": 10000.0, "cross_zone_price": 0.0, "sizes_are_nominal": True,
    }  # fmt: skip
    return Settings(**(values | changes))


def entry(host, state=HostState.RUNNING, zone=0, cell=0, started_at=0.0, size=1.0) -> RosterEntry:
    return RosterEntry(host, state, size, zone, cell, started_at, 0x9E3779B1 * (host + 1) % 2**32, started_at)


def node(hosts=4, entries=None, **changes) -> Node:
    n = Node(settings(**changes), START)
    n.update_roster(START, RosterScope.SAVED, entries or [entry(h) for h in range(hosts)])
    n.probed_at = [START] * len(n.state)  # their answers to a probe are fresh
    return n


def session_request(session, load=10.0, time_left=1200.0, group=None) -> SessionRequest:
    return SessionRequest(session, 0, 0, time_left, load, group)


def dials(acts):
    return [a for a in acts if isinstance(a, Dial)]


def report_loads(n, values, at=START):
    """Fresh reports for the hosts in order."""
    for h, value in enumerate(values):
        if value is not None:
            n._record_load(at, h, value)
            n.probed_at[h] = at
    n._update_fleet_view(at)


def establish_sessions(n, host, loads, since=START - 60000.0, first=100):
    """Connections of these loads that stand on a host since long ago."""
    for i, load in enumerate(loads):
        n.resume_session(since, session_request(first + i, load), host)
        n.sessions[first + i].established_at = since
    return range(first, first + len(loads))


# ---- sockets


class Wire(StringTransport):
    """A transport that keeps what is written and how it was ended."""

    broken = False  # what the peer did before the request went out
    gone_out = 0  # bytes that a reset can no longer drop

    def setTcpNoDelay(self, on):
        pass

    def getHandle(self):
        return self

    def sendmsg(self, pieces):
        if self.broken:
            raise ConnectionResetError
        self.write(b"".join(pieces))
        return sum(len(piece) for piece in pieces)

    def recv(self, size, flags):
        raise BlockingIOError

    def unregisterProducer(self):
        self.producer = None

    def doWrite(self):
        self.gone_out = len(self.value())

    def loseWriteConnection(self):
        self.disconnecting = True

    @property
    def ended(self):
        return "reset" if self.disconnected else "end" if self.disconnecting else ""

    def abortConnection(self):
        self.disconnected = True

    def lines(self):
        return self.value().split(b"\r\n")[:-1]


SETUP = {
    "fleetSize": 3, "dcs": ["east", "west"], "locality": "east",
    "limits": {"mostDials": 3, "mayProbe": False, "cancel": True, "retryAfter": True, "maxRetryAfter": 1.0,
               "dialTimeout": 0.25},
    "invariants": {"coldFrom": 0.3, "warmAfter": 8.0, "fallMultiple": 2.5, "fall": 1.0},
    "listeners": [{"name": "chat", "effect": "idempotent", "handshakeTarget": 0.3, "hardLimit": 1.2}],
    "projects": [{"name": "acme"}], "report": {"how": "pull"},
}  # fmt: skip
OPEN = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=1200,h=0.01,g=5c0f"


def opening(number):
    """A first line with an id of its own."""
    return OPEN.replace(b"9b1f", b"%04x" % number)


UP_WITHIN = 40.0  # seconds, the stated target for connections that stood before a node's start


def opening_at(number, host="s-0", wait=b"9223372036854"):
    """The first line of a client whose connection stood at that host."""
    return opening(number).replace(b"d=1200", b"d=" + wait) + b",at=" + host.encode()


def row(uid, state="Ready", port=9000, boot=0):
    return {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "east", "state": state, "boot_ms": boot}


def make_handler(hosts=2, sockets=1024, reactor=None, ports=(), listener=None, **limits):
    """A desk between a reactor, in memory if none is given, and a balancer that knows these hosts."""
    setup = SETUP | {"limits": SETUP["limits"] | limits}
    setup["listeners"] = [SETUP["listeners"][0] | (listener or {})]
    reactor = reactor or MemoryReactorClock()

    def clock():
        return START + reactor.seconds() * 1000

    names = decode_names(setup)
    balancer = Balancer(decode_settings(7, setup), clock())
    budget = SocketBudget(sockets, 10)
    d = SessionHandler(reactor, clock, balancer, names, decode_limits(setup), Hosts(names.zones), budget)
    d.update_roster(True, [row(f"s-{h}", port=p) for h, p in enumerate(ports or range(9000, 9000 + hosts))])
    return d


CONFIG = {
    "name": "n1", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 256}, "known": {"rev": 41, "all": True, "targets": [row("s-0")]}, "settings": SETUP,
}  # fmt: skip


def write(path, value):
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    return {"EDGE_CONFIG": str(path)}


def service_over(d, folder, **changes):
    """A service whose desk is this one; its file and what it leaves to a successor lie in the folder."""
    config = CONFIG | {"admin_addr": "127.0.0.1:9100"} | changes
    environment = write(folder / "c", config) | {"TMPDIR": str(folder)}
    service = Service(d.reactor, load_config(environment), Sink(2), lambda: reload_config(environment))
    service.handler, service.clock = d, d.clock
    d.refresh_bans = service.ban_calls.read_file_changes
    if d.hosts.uids:
        service.ban_calls.begin()
    return service


def connect(d, *lines):
    """A client's connection to the desk that has sent these lines."""
    client = ClientConnection(d)
    client.makeConnection(Wire())
    for line in lines:
        client.dataReceived(line + b"\r\n")
    return client


def accept(d, transport=None):
    """The host's side of the connection that the node has asked for last comes up."""
    conn = d.reactor.tcpClients[-1][2].buildProtocol(None)
    conn.makeConnection(transport or Wire())
    return conn


def up(d):
    """A client and the host's side of its session, which stands."""
    client = connect(d, opening(d.sessions.created_count))
    host = accept(d)
    host.dataReceived(b"UP r1\r\n")
    client.transport.clear()
    host.transport.clear()
    return client, host


def lost(protocol, clean=True):
    protocol.connectionLost(Failure(ConnectionDone() if clean else ConnectionLost()))


# ---- stand-ins on loopback


def serve_lines(answer):
    """A listening socket; each line that comes is answered by what the function makes of it."""
    server = socket.create_server(("127.0.0.1", 0))

    def one(connection):
        with suppress(ConnectionError):  # the node ends a connection with a reset now and then
            for line in connection.makefile("rb"):
                if (said := answer(line)) is not None:
                    connection.sendall(said)

    def loop():
        while True:
            connection, _ = server.accept()
            threading.Thread(target=one, args=(connection,), daemon=True).start()

    threading.Thread(target=loop, daemon=True).start()
    return server.getsockname()[1]


def at_host(line):
    if line.startswith((b"STATS", b"PING")):
        return b"PONG x0=0.2\r\n"
    return b"UP r1\r\n" if line.startswith(b"OPEN") else line


def serve_list(*rows):
    """A discovery that answers each watch with these hosts."""
    body = json.dumps({"rev": 42, "all": True, "targets": rows}).encode() + b"\n"
    answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(body), body)
    return serve_lines(lambda line: answer if line.startswith(b"GET") else None)


def ping_until_ready(port, until):
    """Waits until the node there answers PING; it has to before that time of the steady clock."""
    while time.monotonic() < until:
        try:
            with socket.create_connection(("127.0.0.1", port), 5.0) as sock:
                sock.sendall(b"PING\r\n")
                if sock.recv(100) == b"PONG\r\n":
                    return
        except OSError:
            time.sleep(0.05)
    raise AssertionError("not ready in its time")


def left_running(mark):
    """Processes whose environment holds the mark."""
    found = []
    for entry in Path("/proc").iterdir():
        if entry.name.isdigit():
            try:
                if str(mark).encode() in (entry / "environ").read_bytes():
                    found.append((entry / "cmdline").read_bytes())
            except OSError:
                continue
    return found


def free_ports(count):
    servers = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [server.getsockname()[1] for server in servers]
    for server in servers:
        server.close()
    return ports


def close_reactor(reactor):
    """Every socket is closed, and the pair by which threads wake a reactor."""
    for selectable in (*reactor.removeAll(), reactor.waker):
        selectable.connectionLost(Failure(ConnectionDone()))


def made_and_closed(kind):
    """What a fixture yields from: a function that makes these, each closed after the test."""
    made = []

    def make(**parts):
        made.append(kind(**parts))
        return made[-1]

    yield make
    for each in made:
        each.close()


# ---- a stepped reactor: real loopback sockets, a clock that only the test moves


class Stepped(SelectReactor):
    """Reads and writes sockets when told to; its timers run by `now`, which a test sets."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def seconds(self):
        return self.now

    def turn(self, wait=0.0):
        """Timers that are due, then one look at every socket."""
        self.runUntilCurrent()
        self.doIteration(wait)

    def until(self, done, turns=2000):
        """Turns without the clock moving until it is so; what the kernel delivers takes a moment."""
        for _ in range(turns):
            if done():
                return
            self.turn(0.001)
        raise AssertionError("it never came to that")

    def settle(self, turns=20):
        """Everything that peers have sent by now is read."""
        for _ in range(turns):
            self.turn(0.0005)

    @contextmanager
    def unwatched(self, *transports):
        """The reactor has not come to these sockets yet, whatever lies there."""
        reads, writes = self.getReaders(), self.getWriters()
        for transport in transports:
            self.removeReader(transport)
            self.removeWriter(transport)
        yield
        for transport in transports:
            if transport in reads:
                self.addReader(transport)
            if transport in writes:
                self.addWriter(transport)

    def close(self):
        close_reactor(self)

    def pass_time(self, seconds, step=0.05):
        """The clock goes on in small steps, sockets are read at each of them."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(self.now + step, end)
            self.turn()
            self.turn(0.0002)


class Peer:
    """A stand-in peer: a listening socket whose connections the test accepts, reads and ends by hand."""

    def __init__(self):
        self.accepted = []
        self.listen(0)

    def listen(self, port):
        self.server = socket.create_server(("127.0.0.1", port), backlog=64)
        self.server.setblocking(False)
        self.port = self.server.getsockname()[1]

    def accept(self):
        """Takes in who has connected; True if anybody has."""
        with suppress(BlockingIOError):
            sock, _ = self.server.accept()
            sock.setblocking(False)
            self.accepted.append(sock)
            return True
        return False

    def close(self):
        for sock in (self.server, *self.accepted):
            sock.close()


def read_all(sock):
    """What has come by now, and whether the other side has ended ("end", "reset" or "")."""
    data = b""
    while True:
        try:
            piece = sock.recv(65536)
        except BlockingIOError:
            return data, ""
        except ConnectionResetError:
            return data, "reset"
        if not piece:
            return data, "end"
        data += piece


def reset(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class Loopback:
    """A desk whose clients and hosts are real sockets on loopback; the test is all of them."""

    def __init__(self, hosts=1, **parts):
        self.reactor = Stepped()
        self.hosts = [Peer() for _ in range(hosts)]
        self.handler = make_handler(reactor=self.reactor, ports=[peer.port for peer in self.hosts], **parts)
        self.port = ClientPort(0, ClientFactory(self.handler), 512, "127.0.0.1", self.reactor)
        self.port.startListening()
        self.number = self.port.getHost().port

    def client(self, *lines):
        """A client that has connected and sent these lines; the node has not read them yet."""
        sock = socket.create_connection(("127.0.0.1", self.number))
        sock.sendall(b"".join(line + b"\r\n" for line in lines))
        sock.setblocking(False)
        return sock

    def session(self):
        """The one that the node holds."""
        (s,) = self.handler.sessions.by_index.values()
        return s

    def taken(self, line=OPEN):
        """A client whose line has been read, and its session, whose dial is under way."""
        client = self.client(line)
        self.reactor.until(lambda: self.handler.sessions.by_index)
        return client, self.session()

    def hold(self, s):
        """The dial's connection is on its way, not seen to be up yet; returns the host's end of it."""
        self.reactor.runUntilCurrent()
        conn = s.host_connection.connector.transport
        self.reactor.removeReader(conn)
        self.reactor.removeWriter(conn)
        self.reactor.until(lambda: any(peer.accept() for peer in self.hosts))
        return next(p for p in self.hosts if ("127.0.0.1", p.port) == tuple(conn.addr)).accepted[-1]

    def comes_up(self, s):
        conn = s.host_connection.connector.transport
        self.reactor.addReader(conn)
        self.reactor.addWriter(conn)
        self.reactor.settle()

    def host_side(self, h=0):
        """The host's end of the connection that has come to it next."""
        self.reactor.until(self.hosts[h].accept)
        return self.hosts[h].accepted[-1]

    def close(self):
        self.reactor.close()
        for peer in self.hosts:
            peer.close()
