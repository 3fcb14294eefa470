"""Test helpers: nodes and session handlers in memory, fake peers, and a reactor with a test clock."""

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
def captured_log():
    """Collects log lines."""
    lines = []
    number = logger.add(lines.append, format="{message}")
    yield lines
    logger.remove(number)


def make_settings(effect=Effect.REPEATABLE, scope=Scope.ALL, **changes) -> Settings:
    listener = Listener(effect, scope, 5000.0, 300.0, 100.0, 1.0)
    values = {
        "seed": 7, "node_number": 0, "nodes": 3, "zone": 0, "listeners": (listener,), "max_dials": 5,
        "may_withdraw": True, "may_probe": True, "reports_load": True, "may_back_off": True,
        "max_back_off": 1000.0,
        "cold_from": 0.3, "warm_after": 8000.0, "fall_multiple": 2.5, "fall_span": 1000.0, "subscribe": False,
        "ask_every": 10000.0, "cross_zone_price": 0.0, "sizes_are_nominal": True,
    }  # fmt: skip
    return Settings(**(values | changes))


def roster_entry(host, state=HostState.RUNNING, zone=0, cell=0, started_at=0.0, size=1.0) -> RosterEntry:
    return RosterEntry(host, state, size, zone, cell, started_at, 0x9E3779B1 * (host + 1) % 2**32, started_at)


def make_node(hosts=4, entries=None, **changes) -> Node:
    n = Node(make_settings(**changes), START)
    n.update_roster(START, RosterScope.SAVED, entries or [roster_entry(h) for h in range(hosts)])
    n.probed_at = [START] * len(n.state)  # probes were answered just now
    return n


def session_request(session, load=10.0, time_left=1200.0, group=None) -> SessionRequest:
    return SessionRequest(session, 0, 0, time_left, load, group)


def dials(acts):
    return [a for a in acts if isinstance(a, Dial)]


def report_loads(n, values, at=START):
    """Gives the node a fresh load report of each host, in order; None for no report."""
    for h, value in enumerate(values):
        if value is not None:
            n._record_load(at, h, value)
            n.probed_at[h] = at
    n._update_fleet_view(at)


def establish_sessions(n, host, loads, since=START - 60000.0, first=100):
    """Adds sessions of these loads, established on a host since long ago; returns their ids."""
    for i, load in enumerate(loads):
        n.resume_session(since, session_request(first + i, load), host)
        n.sessions[first + i].established_at = since
    return range(first, first + len(loads))


# ---- sockets


class RecordingTransport(StringTransport):
    """A transport that records what is written and how it was closed."""

    broken = False  # the peer has reset the connection before the request was sent
    flushed_bytes = 0  # written out before a reset

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
        self.flushed_bytes = len(self.value())

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
OPEN_LINE = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=chat,t=acme,d=1200,h=0.01,g=5c0f"


def open_line(number):
    """A request line with a unique id."""
    return OPEN_LINE.replace(b"9b1f", b"%04x" % number)


RESUME_WITHIN_S = 40.0  # the stated target for resuming sessions after a start


def resume_line(number, host="s-0", wait=b"9223372036854"):
    """The request line of a client whose session was established on that host."""
    return open_line(number).replace(b"d=1200", b"d=" + wait) + b",at=" + host.encode()


def host_row(uid, state="Ready", port=9000, boot=0):
    return {"uid": uid, "endpoint": f"127.0.0.1:{port}", "az": "east", "state": state, "boot_ms": boot}


def make_handler(hosts=2, sockets=1024, reactor=None, ports=(), listener=None, **limits):
    """A session handler with a balancer that knows these hosts, on an in-memory reactor if none is given."""
    setup = SETUP | {"limits": SETUP["limits"] | limits}
    setup["listeners"] = [SETUP["listeners"][0] | (listener or {})]
    reactor = reactor or MemoryReactorClock()

    def clock():
        return START + reactor.seconds() * 1000

    names = decode_names(setup)
    balancer = Balancer(decode_settings(7, setup), clock())
    budget = SocketBudget(sockets, 10)
    handler = SessionHandler(
        reactor, clock, balancer, names, decode_limits(setup), Hosts(names.zones), budget
    )
    handler.update_roster(
        True, [host_row(f"s-{h}", port=p) for h, p in enumerate(ports or range(9000, 9000 + hosts))]
    )
    return handler


CONFIG = {
    "name": "n1", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
    "limits": {"sockets": 256}, "known": {"rev": 41, "all": True, "targets": [host_row("s-0")]},
    "settings": SETUP,
}  # fmt: skip


NODE_CONFIG = CONFIG | {"admin_addr": "127.0.0.1:9100"}  # of service_over


def write_config(path, value):
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    return {"EDGE_CONFIG": str(path)}


def service_over(handler, folder, **changes):
    """A service with this session handler, whose files are in the folder."""
    config = NODE_CONFIG | changes
    environment = write_config(folder / "c", config) | {"TMPDIR": str(folder)}
    service = Service(handler.reactor, load_config(environment), Sink(2), lambda: reload_config(environment))
    service.handler, service.clock = handler, handler.clock
    handler.refresh_bans = service.ban_calls.read_file_changes
    service.upgrade.watch_ids()
    if handler.hosts.uids:
        service.ban_calls.begin()
    return service


def connect(handler, *lines):
    """Connects a client that sends these lines."""
    client = ClientConnection(handler)
    client.makeConnection(RecordingTransport())
    for line in lines:
        client.dataReceived(line + b"\r\n")
    return client


def accept(handler, transport=None):
    """Opens the connection that the node requested last, and returns its host side."""
    conn = handler.reactor.tcpClients[-1][2].buildProtocol(None)
    conn.makeConnection(transport or RecordingTransport())
    return conn


def establish(handler):
    """Establishes a session; returns its client and host connections."""
    client = connect(handler, open_line(handler.sessions.created_count))
    host = accept(handler)
    host.dataReceived(b"UP r1\r\n")
    client.transport.clear()
    host.transport.clear()
    return client, host


def lose_connection(protocol, clean=True):
    protocol.connectionLost(Failure(ConnectionDone() if clean else ConnectionLost()))


# ---- fake peers on loopback


def serve_lines(answer):
    """Listens on a port, and answers each line with the result of the function; returns the port."""
    server = socket.create_server(("127.0.0.1", 0))

    def one(connection):
        with suppress(ConnectionError):  # the node may reset a connection
            for line in connection.makefile("rb"):
                if (response := answer(line)) is not None:
                    connection.sendall(response)

    def loop():
        while True:
            connection, _ = server.accept()
            threading.Thread(target=one, args=(connection,), daemon=True).start()

    threading.Thread(target=loop, daemon=True).start()
    return server.getsockname()[1]


def answer_as_host(line):
    if line.startswith((b"STATS", b"PING")):
        return b"PONG x0=0.2\r\n"
    return b"UP r1\r\n" if line.startswith(b"OPEN") else line


def serve_host_list(*rows):
    """A discovery service that answers each watch with these hosts; returns its port."""
    body = json.dumps({"rev": 42, "all": True, "targets": rows}).encode() + b"\n"
    answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(body), body)
    return serve_lines(lambda line: answer if line.startswith(b"GET") else None)


def ping_until_ready(port, until):
    """Waits until the node answers PING; fails at that time of the monotonic clock."""
    while time.monotonic() < until:
        try:
            with socket.create_connection(("127.0.0.1", port), 5.0) as sock:
                sock.sendall(b"PING\r\n")
                if sock.recv(100) == b"PONG\r\n":
                    return
        except OSError:
            time.sleep(0.05)
    raise AssertionError("not ready in its time")


def processes_with_environment(mark):
    """Returns the command lines of processes whose environment contains the marker."""
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
    """Closes every socket of the reactor, including the pair by which threads wake it."""
    for selectable in (*reactor.removeAll(), reactor.waker):
        selectable.connectionLost(Failure(ConnectionDone()))


def closing_factory(kind):
    """For fixtures: yields a function that creates objects of this kind, and closes them after the test."""
    made = []

    def make(**parts):
        made.append(kind(**parts))
        return made[-1]

    yield make
    for each in made:
        each.close()


# ---- a reactor with real loopback sockets and a clock that only the test moves


class SteppedReactor(SelectReactor):
    """Handles sockets only in run_turn; its timers follow `now`, which the test sets."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def seconds(self):
        return self.now

    def run_turn(self, wait=0.0):
        """Runs the timers that are due, then handles every ready socket once."""
        self.runUntilCurrent()
        self.doIteration(wait)

    def run_until(self, done, turns=2000):
        """Runs turns until the condition holds, without moving the clock, as the kernel takes time."""
        for _ in range(turns):
            if done():
                return
            self.run_turn(0.001)
        raise AssertionError("condition not reached")

    def settle(self, turns=20):
        """Runs enough turns to read everything that peers have sent."""
        for _ in range(turns):
            self.run_turn(0.0005)

    @contextmanager
    def unmonitored(self, *transports):
        """Hides these sockets from the reactor for the duration of the block."""
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

    def advance_in_steps(self, seconds, step=0.05):
        """Moves the clock in small steps, and handles sockets at each of them."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            self.now = min(self.now + step, end)
            self.run_turn()
            self.run_turn(0.0002)


class FakePeer:
    """A listening socket whose connections the test accepts, reads and closes by hand."""

    def __init__(self):
        self.accepted = []
        self.listen(0)

    def listen(self, port):
        self.server = socket.create_server(("127.0.0.1", port), backlog=64)
        self.server.setblocking(False)
        self.port = self.server.getsockname()[1]

    def accept(self):
        """Accepts one connection; returns False if there is none."""
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
    """Returns the data received so far, and how the other side has closed: "end", "reset" or ""."""
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


def reset_connection(sock):
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class LoopbackNode:
    """A session handler whose clients and hosts are loopback sockets held by the test."""

    def __init__(self, hosts=1, **parts):
        self.reactor = SteppedReactor()
        self.hosts = [FakePeer() for _ in range(hosts)]
        self.handler = make_handler(reactor=self.reactor, ports=[peer.port for peer in self.hosts], **parts)
        self.port = ClientPort(0, ClientFactory(self.handler), 512, "127.0.0.1", self.reactor)
        self.port.startListening()
        self.port_number = self.port.getHost().port

    def client(self, *lines):
        """Connects a client that has sent these lines, which the node has not read yet."""
        sock = socket.create_connection(("127.0.0.1", self.port_number))
        sock.sendall(b"".join(line + b"\r\n" for line in lines))
        sock.setblocking(False)
        return sock

    def session(self):
        """Returns the only session of the node."""
        (session,) = self.handler.sessions.by_index.values()
        return session

    def open_session(self, line=OPEN_LINE):
        """Connects a client whose request line is read; returns it and its session, which is being dialed."""
        client = self.client(line)
        self.reactor.run_until(lambda: self.handler.sessions.by_index)
        return client, self.session()

    def hold_dial(self, session):
        """Keeps the reactor from noticing that the dial has connected; returns the host's socket."""
        self.reactor.runUntilCurrent()
        conn = session.host_connection.connector.transport
        self.reactor.removeReader(conn)
        self.reactor.removeWriter(conn)
        self.reactor.run_until(lambda: any(peer.accept() for peer in self.hosts))
        return next(p for p in self.hosts if ("127.0.0.1", p.port) == tuple(conn.addr)).accepted[-1]

    def finish_dial(self, session):
        """Lets the reactor notice that the dial has connected."""
        conn = session.host_connection.connector.transport
        self.reactor.addReader(conn)
        self.reactor.addWriter(conn)
        self.reactor.settle()

    def accept_at_host(self, host=0):
        """Accepts the next connection at the host; returns its socket."""
        self.reactor.run_until(self.hosts[host].accept)
        return self.hosts[host].accepted[-1]

    def close(self):
        self.reactor.close()
        for peer in self.hosts:
            peer.close()
