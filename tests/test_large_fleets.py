"""Fleets of thousands of hosts: the work and memory for each host must not affect the node's clients."""

import subprocess
import sys
import time
from contextlib import suppress

import orjson
import pytest
from helpers import (
    CONFIG, RESUME_WITHIN_S, START, RecordingTransport, answer_as_host, free_ports, host_row, make_handler,
    make_node, open_line, ping_until_ready, resume_line, roster_entry, serve_host_list, serve_lines,
    session_request, write_config,
)  # fmt: skip
from node_processes import connected
from test_race_conditions import HEADERS, FakeDiscovery
from twisted.internet.testing import MemoryReactorClock

from caperdeck.core.decide import TICK_TOKEN
from caperdeck.core.model import LoadReport, Outcome
from caperdeck.state.backoff import BackOff
from caperdeck.wire.discovery import Discovery, LineInProgress, WatchBody

ESTABLISHED = 60  # connections from before the start
SPARE_DESCRIPTORS = 512  # beyond two for each of those, the minimum of deployments
READY_WITHIN = 30.0  # seconds, the stated target for a node's start


class LargeFleet:
    """A node as a process; all hosts of its list are one simulated host."""

    def __init__(self, folder, servers):
        port = serve_lines(answer_as_host)
        rows = [host_row(f"s-{i:08x}", port=port) for i in range(servers)]
        self.port = free_ports(1)[0]
        config = CONFIG | {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{serve_host_list(*rows)}",
            "limits": {"sockets": SPARE_DESCRIPTORS + 2 * ESTABLISHED},
            "known": {"rev": 41, "all": True, "targets": rows},
        }
        self.sockets = []
        with open(folder / "log", "wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "caperdeck", "serve"],
                env=write_config(folder / "c", config),
                stderr=log,
            )

    def client(self, line):
        """Connects a client that sends this first line."""
        self.sockets.append(connected(self.port))
        self.sockets[-1].sendall(line + b"\r\n")

    def answers(self, until):
        """The answer of each client, or b"" if none has come by this time."""
        return [answer_of(sock, until) for sock in self.sockets]

    def end(self):
        for sock in self.sockets:
            sock.close()
        self.process.kill()
        self.process.wait()


def answer_of(sock, until):
    sock.settimeout(max(until - time.monotonic(), 0.01))
    try:
        return sock.recv(100)
    except OSError:
        return b""


@pytest.fixture
def fleet(tmp_path, request):
    made = LargeFleet(tmp_path, request.param)
    yield made
    made.end()


# Guards against losing the connections established before a node's start in a fleet of thousands of hosts.
@pytest.mark.parametrize("fleet", [1200, 3200], indirect=True)
def test_earlier_connections_are_resumed_in_a_fleet_of_thousands_of_hosts(fleet):
    until = time.monotonic() + RESUME_WITHIN_S
    ping_until_ready(fleet.port, until)
    for i in range(ESTABLISHED):
        fleet.client(resume_line(i, f"s-{7 * i:08x}"))
    assert fleet.answers(until) == [b"UP r1\r\n"] * ESTABLISHED


# Guards against refusing new clients for lack of descriptors in a fleet of thousands of hosts.
@pytest.mark.parametrize("fleet", [1200, 3200], indirect=True)
def test_new_clients_are_served_in_a_fleet_of_thousands_of_hosts(fleet):
    ping_until_ready(fleet.port, time.monotonic() + READY_WITHIN)
    for i in range(ESTABLISHED):
        fleet.client(open_line(i))
    assert fleet.answers(time.monotonic() + 5.0) == [b"UP r1\r\n"] * ESTABLISHED


def probe_host(d, host, answers=True):
    """Lets the handler probe the host, which answers unless told otherwise."""
    d.probes.probe(host, d.hosts.addresses[host])
    if answers:
        conn = d.reactor.tcpClients[-1][2].buildProtocol(None)
        conn.makeConnection(RecordingTransport())
        conn.dataReceived(b"PONG x0=0.2\r\n")


# Guards against keeping a descriptor open for each of thousands of hosts that were probed once.
def test_probes_of_thousands_of_hosts_use_a_bounded_number_of_connections():
    d = make_handler(hosts=3200, sockets=SPARE_DESCRIPTORS, mayProbe=True)
    room = d.budget.session_headroom
    for host in range(3200):
        probe_host(d, host)
    assert len(d.probes.connections) == d.budget.max_probes and d.budget.session_headroom == room
    assert list(d.probes.connections)[-1] == 3199 and min(d.balancer._node.probed_at) > 0


# Guards against treating hosts as failing, and moving sessions off them, when the node has no free
# descriptor.
def test_a_probe_that_finds_no_descriptor_says_nothing_about_its_host():
    d = make_handler(hosts=40, sockets=64, mayProbe=True)
    for host in range(d.budget.max_probes):
        probe_host(d, host, answers=False)
    d.budget.client_connections += d.budget.free_descriptors
    dialed = len(d.reactor.tcpClients)
    d.probes.probe(39, d.hosts.addresses[39])
    node = d.balancer._node
    assert len(d.reactor.tcpClients) == dialed and 39 not in d.probes.connections
    assert not any(node.failure_score) and not node.no_probe_until[39] and not node.probe_sent_at[39]


GROWTH = 1.4  # the stated target for a node's processor time at sixteen times the hosts


def calls_made(work):
    """The number of function calls that the work makes: a reproducible measure of processor time."""
    made = [0]

    def count(frame, event, argument):
        made[0] += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        work()
    finally:
        sys.setprofile(None)
    return made[0]


def busy_node(servers, cold):
    """A node of a fleet of 200 during a release; with more hosts each is smaller, at the same total load."""
    started_at = [START - 2000.0] * cold + [0.0] * (servers - cold)
    node = make_node(
        nodes=200, entries=[roster_entry(h, zone=h % 3, started_at=started_at[h]) for h in range(servers)]
    )
    for h in range(0, servers, servers // 60):
        node.probe_completed(START, h, Outcome.GOOD, LoadReport(0.4, None, 6000.0 / servers))
    for i in range(40):
        node.resume_session(START, session_request(1000 + i), i * servers // 40)
    node.timer_fired(START, TICK_TOKEN)
    return node


def serve_for_a_second(node, start):
    """20 sessions, each of its own group, arrive, wait for probes and leave; with two ticks."""
    for i in range(20):
        now, number = start + 50.0 * i, int(start) + i
        node.open_session(now, session_request(number, group=number))
        node.timer_fired(now + 20.0, number)
        node.client_disconnected(now + 40.0, number)
        if i % 10 == 9:
            node.timer_fired(now, TICK_TOKEN)


def calls_in_service(servers, cold):
    """The calls of a second, after a first second in which the node has met the started hosts."""
    node = busy_node(servers, cold)
    serve_for_a_second(node, START)
    return calls_made(lambda: serve_for_a_second(node, START + 1000.0))


# Guards against processor time that grows with the number of hosts, in particular of those in slow start.
@pytest.mark.parametrize("cold", [0, 100])
def test_sessions_take_hardly_more_work_at_sixteen_times_the_hosts(cold):
    assert calls_in_service(3200, 16 * cold) <= GROWTH * calls_in_service(200, cold)


def large_list(servers):
    rows = [host_row(f"s-{i:08x}", port=9000 + i) for i in range(servers)]
    return orjson.dumps({"rev": 9, "all": True, "targets": rows}) + b"\n"


def make_watch(reactor, heard):
    return Discovery(
        reactor, "127.0.0.1:8500", 4, lambda whole, rows: heard.append(len(rows)), lambda: None,
        lambda *_: None, BackOff(7, 200),
    )  # fmt: skip


def seconds_to_read_in_pieces(servers, size):
    """Processor seconds to read a list of this many hosts in pieces of this size."""
    heard, text = [], large_list(servers)
    body = WatchBody(make_watch(MemoryReactorClock(), heard))
    body.makeConnection(RecordingTransport())
    began = time.process_time()
    for at in range(0, len(text), size):
        body.dataReceived(text[at : at + size])
    assert heard == [servers]
    return time.process_time() - began


# Guards against processor time that grows with the square of a list's length if it arrives in small pieces.
def test_the_time_to_read_a_list_in_pieces_grows_with_its_length_only():
    few, many = (min(seconds_to_read_in_pieces(servers, 16) for _ in range(3)) for servers in (400, 3200))
    assert many < 2 * 8 * few


def send_list_over(seconds, discovery):
    """Sends the answer to the last call, with the list of a large fleet, evenly over this time."""
    sock, text, watch = discovery.accepted[-1], large_list(3200), discovery.watch
    sock.send(HEADERS + b"%x\r\n" % len(text))
    discovery.reactor.run_until(lambda: watch.body)
    steps = round(seconds / 0.1)
    for i in range(steps):
        end = len(text) * (i + 1) // steps
        sock.send(text[len(text) * i // steps : end])
        # the kernel takes real time, which the reactor's clock does not show
        discovery.reactor.run_until(
            lambda end=end: not watch.body or discovery.received_at or watch.body.length >= end
        )
        discovery.run("hangs", 0.1)


# Guards against never reading a list that takes longer to arrive than a node waits for the end of a line.
@pytest.mark.parametrize("seconds", [2.8, 5.0])
def test_a_list_that_arrives_slowly_is_read(seconds):
    discovery = FakeDiscovery()
    discovery.watch.start()
    discovery.run("hangs", 0.1)
    for _ in range(4):
        with suppress(OSError):
            send_list_over(seconds, discovery)
        discovery.run("hangs", 1.5)
        if discovery.received_at:
            break
    discovery.close()
    assert len(discovery.received_at) == 1


# Guards against counting the time that a line may take from the beginning of an earlier one.
def test_each_line_of_a_watch_has_its_own_time_limit():
    line = LineInProgress()
    line.bytes_received(0.0, ended=False, unfinished=True)
    line.bytes_received(5.0, ended=True, unfinished=True)
    assert line.is_arriving(5.4) and not line.is_arriving(5.6)
    line.bytes_received(5.5, ended=True, unfinished=False)
    assert not line.is_arriving(5.5)
