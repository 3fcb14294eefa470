"""A node whose list has thousands of servers: what it keeps and does for each must not cost its clients."""

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

STANDING = 60  # connections from before the start
OVER_STANDING = 512  # descriptors over two for each of those, the least that deployments give
READY_WITHIN = 30.0  # seconds, the stated target for a node's start


class LargeFleet:
    """A node as a process; all servers of its list are one stand-in."""

    def __init__(self, folder, servers):
        port = serve_lines(answer_as_host)
        rows = [host_row(f"s-{i:08x}", port=port) for i in range(servers)]
        self.port = free_ports(1)[0]
        config = CONFIG | {
            "listen": f"127.0.0.1:{self.port}",
            "discovery": f"127.0.0.1:{serve_host_list(*rows)}",
            "limits": {"sockets": OVER_STANDING + 2 * STANDING},
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
        """A client that has sent this first line."""
        self.sockets.append(connected(self.port))
        self.sockets[-1].sendall(line + b"\r\n")

    def answers(self, until):
        """The answer of each client so far, or b"" where none has come by then."""
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


# guards against: lost connections that stood before a node's start, where its list has thousands of servers
@pytest.mark.parametrize("fleet", [1200, 3200], indirect=True)
def test_connections_that_stood_before_come_up_in_a_fleet_of_thousands_of_servers(fleet):
    until = time.monotonic() + RESUME_WITHIN_S
    ping_until_ready(fleet.port, until)
    for i in range(STANDING):
        fleet.client(resume_line(i, f"s-{7 * i:08x}"))
    assert fleet.answers(until) == [b"UP r1\r\n"] * STANDING


# guards against: new clients refused for want of descriptors, where the list has thousands of servers
@pytest.mark.parametrize("fleet", [1200, 3200], indirect=True)
def test_new_clients_are_served_in_a_fleet_of_thousands_of_servers(fleet):
    ping_until_ready(fleet.port, time.monotonic() + READY_WITHIN)
    for i in range(STANDING):
        fleet.client(open_line(i))
    assert fleet.answers(time.monotonic() + 5.0) == [b"UP r1\r\n"] * STANDING


def looked_at(d, host, answers=True):
    """The desk has probed the host, whose answer has come where it gives one."""
    d.probes.probe(host, d.hosts.addresses[host])
    if answers:
        conn = d.reactor.tcpClients[-1][2].buildProtocol(None)
        conn.makeConnection(RecordingTransport())
        conn.dataReceived(b"PONG x0=0.2\r\n")


# guards against: a descriptor in use for each of thousands of servers that were probed once
def test_probes_of_thousands_of_servers_rest_on_a_bounded_number_of_connections():
    d = make_handler(hosts=3200, sockets=OVER_STANDING, mayProbe=True)
    room = d.budget.session_headroom
    for host in range(3200):
        looked_at(d, host)
    assert len(d.probes.connections) == d.budget.max_probes and d.budget.session_headroom == room
    assert list(d.probes.connections)[-1] == 3199 and min(d.balancer._node.probed_at) > 0


# guards against: servers held to be ill, and connections moved off them, as the node lacks a descriptor
def test_a_probe_that_finds_no_descriptor_says_nothing_about_its_server():
    d = make_handler(hosts=40, sockets=64, mayProbe=True)
    for host in range(d.budget.max_probes):
        looked_at(d, host, answers=False)
    d.budget.client_connections += d.budget.free_descriptors
    dialed = len(d.reactor.tcpClients)
    d.probes.probe(39, d.hosts.addresses[39])
    node = d.balancer._node
    assert len(d.reactor.tcpClients) == dialed and 39 not in d.probes.connections
    assert not any(node.failure_score) and not node.no_probe_until[39] and not node.probe_sent_at[39]


GROWTH = 1.4  # the stated target for a node's processor time at sixteen times the servers


def calls_made(work):
    """How many calls of functions the work takes: a measure of processor time that does not scatter."""
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
    """A node of a fleet of 200 in a release; more servers are smaller ones, all together do the same."""
    born = [START - 2000.0] * cold + [0.0] * (servers - cold)
    n = make_node(
        nodes=200, entries=[roster_entry(h, zone=h % 3, started_at=born[h]) for h in range(servers)]
    )
    for h in range(0, servers, servers // 60):
        n.probe_completed(START, h, Outcome.GOOD, LoadReport(0.4, None, 6000.0 / servers))
    for i in range(40):
        n.resume_session(START, session_request(1000 + i), i * servers // 40)
    n.timer_fired(START, TICK_TOKEN)
    return n


def serve_for_a_second(n, start):
    """20 sessions of groups of their own come, look, and leave; two ticks."""
    for i in range(20):
        now, number = start + 50.0 * i, int(start) + i
        n.open_session(now, session_request(number, group=number))
        n.timer_fired(now + 20.0, number)
        n.client_disconnected(now + 40.0, number)
        if i % 10 == 9:
            n.timer_fired(now, TICK_TOKEN)


def calls_in_service(servers, cold):
    """Of a second after one in which the node has met the servers that have started."""
    n = busy_node(servers, cold)
    serve_for_a_second(n, START)
    return calls_made(lambda: serve_for_a_second(n, START + 1000.0))


# guards against: processor time that grows with the servers, most of all with those in slow start
@pytest.mark.parametrize("cold", [0, 100])
def test_sessions_take_hardly_more_work_at_sixteen_times_the_servers(cold):
    assert calls_in_service(3200, 16 * cold) <= GROWTH * calls_in_service(200, cold)


def large_list(servers):
    rows = [host_row(f"s-{i:08x}", port=9000 + i) for i in range(servers)]
    return orjson.dumps({"rev": 9, "all": True, "targets": rows}) + b"\n"


def watch_of(reactor, heard):
    return Discovery(
        reactor, "127.0.0.1:8500", 4, lambda whole, rows: heard.append(len(rows)), lambda: None,
        lambda *_: None, BackOff(7, 200),
    )  # fmt: skip


def read_in_pieces(servers, size):
    """Processor seconds to read the list of so many servers in pieces of that size."""
    heard, text = [], large_list(servers)
    body = WatchBody(watch_of(MemoryReactorClock(), heard))
    body.makeConnection(RecordingTransport())
    began = time.process_time()
    for at in range(0, len(text), size):
        body.dataReceived(text[at : at + size])
    assert heard == [servers]
    return time.process_time() - began


# guards against: processor time for a list in small pieces that grows with the square of its length
def test_a_list_in_pieces_takes_time_by_its_length():
    few, many = (min(read_in_pieces(servers, 16) for _ in range(3)) for servers in (400, 3200))
    assert many < 2 * 8 * few


def arrives_over(seconds, discovery):
    """The answer to the last call, the list of a large fleet in it, comes evenly over that time."""
    sock, text, watch = discovery.accepted[-1], large_list(3200), discovery.watch
    sock.send(HEADERS + b"%x\r\n" % len(text))
    discovery.reactor.run_until(lambda: watch.body)
    steps = round(seconds / 0.1)
    for i in range(steps):
        end = len(text) * (i + 1) // steps
        sock.send(text[len(text) * i // steps : end])
        # the kernel takes real time, which the reactor's clock does not tell
        discovery.reactor.run_until(
            lambda end=end: not watch.body or discovery.received_at or watch.body.length >= end
        )
        discovery.run("hangs", 0.1)


# guards against: a list never read, as it takes longer to arrive than a node waits for the end of a line
@pytest.mark.parametrize("seconds", [2.8, 5.0])
def test_a_list_that_arrives_slowly_is_read(seconds):
    discovery = FakeDiscovery()
    discovery.watch.start()
    discovery.run("hangs", 0.1)
    for _ in range(4):
        with suppress(OSError):
            arrives_over(seconds, discovery)
        discovery.run("hangs", 1.5)
        if discovery.received_at:
            break
    discovery.close()
    assert len(discovery.received_at) == 1


# guards against: the time that a line may take counted from the beginning of an earlier one
def test_each_line_of_a_watch_has_its_own_time():
    line = LineInProgress()
    line.bytes_received(0.0, ended=False, unfinished=True)
    line.bytes_received(5.0, ended=True, unfinished=True)
    assert line.is_arriving(5.4) and not line.is_arriving(5.6)
    line.bytes_received(5.5, ended=True, unfinished=False)
    assert not line.is_arriving(5.5)
