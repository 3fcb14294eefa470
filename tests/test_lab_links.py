"""Links, pipes and the in-memory reactor: the effect of faults on data and connections in transit."""

import socket
import subprocess
import sys

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Protocol, ServerFactory
from twisted.internet.task import Clock

from caperdeck.lab.links import ConnectionRecorder, Links, Pipe
from caperdeck.lab.ports import Ports
from caperdeck.lab.relay import Relay
from caperdeck.lab.simulated.reactor import SimulatedReactor
from caperdeck.lab.simulated.world import World


def make_links():
    return Links(1, lambda a, b: (1.0, 2.0))


def make_pipe(links, delivered):
    clock = Clock()
    return clock, Pipe(links, clock.seconds, clock.callLater, "a", "b", lambda x: delivered.append(x))


def test_a_pipe_delivers_in_order_and_after_the_delay():
    links, delivered = make_links(), []
    links.link_faults("a", "b").delay = (0.0, 50.0)
    clock, p = make_pipe(links, delivered)
    for i in range(20):
        p.put(i)
    assert delivered == []
    clock.advance(0.06)
    assert delivered == list(range(20))


@pytest.mark.parametrize("direction, is_held", [(("a", "b"), True), (("b", "a"), False)])
def test_a_cut_is_one_way_and_items_held_by_it_arrive_after_it_ends(direction, is_held):
    links, delivered = make_links(), []
    clock, p = make_pipe(links, delivered)
    p.put("before")
    links.cut(*direction, True)
    p.put("within")
    clock.advance(5.0)
    assert (delivered == []) is is_held and not links.reachable("a", "b")
    links.cut(*direction, False)
    clock.advance(0.05)
    assert delivered == ["before", "within"]


def test_a_link_that_is_cut_twice_stays_cut_until_both_cuts_end():
    links = make_links()
    links.cut("a", "b", True)
    links.cut("a", "b", True)
    links.cut("a", "b", False)
    assert links.is_cut("a", "b")


@pytest.mark.parametrize(
    "fault, copies", [({}, 1), ({"loss": 1.0}, 0), ({"double": 1.0}, 2), ({"cut": 1}, 0)],
)  # fmt: skip
def test_datagrams_are_lost_and_duplicated(fault, copies):
    links = make_links()
    for key, value in fault.items():
        setattr(links.link_faults("a", "b"), key, value)
    assert len(links.datagram_delays("a", "b")) == copies


def test_a_reordered_datagram_arrives_after_a_later_one():
    links = make_links()
    links.link_faults("a", "b").reorder = 1.0
    late = links.datagram_delays("a", "b")[0]
    links.link_faults("a", "b").reorder = 0.0
    assert late > links.datagram_delays("a", "b")[0] + 2.0


def test_the_recorder_emits_dials_replies_and_list_revisions():
    events = []
    recorder = ConnectionRecorder(
        "host", "n0", "h1", lambda ev, **v: events.append((ev, v.get("id"), v.get("what")))
    )
    recorder.data_sent(b"OPEN 7f k c=l")
    recorder.data_sent(b",d=3\r\n")
    recorder.data_received(b"UP r")
    recorder.data_received(b"\r\nmore\r\n")
    recorder.connection_ended("node")
    recorder.connection_ended("far")
    assert events == [("dial", "7f", None), ("back", "7f", "UP"), ("undial", "7f", None)]
    revisions = []
    list_recorder = ConnectionRecorder("list", "n0", "d0", lambda ev, **v: revisions.append(v["rev"]))
    list_recorder.data_received(b'5c\r\n{"rev":12,"all"')
    list_recorder.data_received(b":true}\n\r\n1\r\n\n\r\n")
    assert revisions == [12]


class RecordingProtocol(Protocol):
    def __init__(self):
        self.received, self.lost_reason = [], None

    def dataReceived(self, data):
        self.received.append(data)

    def connectionLost(self, reason):
        self.lost_reason = reason.type.__name__


class RecordingFactory(ClientFactory, ServerFactory):
    def __init__(self):
        self.built, self.failed = [], None

    def buildProtocol(self, addr):
        self.built.append(RecordingProtocol())
        return self.built[-1]

    def clientConnectionFailed(self, connector, reason):
        self.failed = reason.type.__name__


def make_world():
    w = World()
    w.links, w.emit = make_links(), lambda *a, **v: None
    return w, SimulatedReactor(w, "n0"), SimulatedReactor(w, "h0")


def connect_processes():
    w, a, b = make_world()
    near, far = RecordingFactory(), RecordingFactory()
    b.listenTCP(9000, far, 0, "127.0.0.2")
    a.connectTCP("127.0.0.2", 9000, near, 0.25)
    w.clock.run(0.1)
    return w, a, b, near.built[0], far.built[0]


def test_a_resumed_process_runs_overdue_timers_and_then_reads_its_input():
    w, a, b, near, far = connect_processes()
    b.suspend()
    b.callLater(1.0, lambda: far.received.append("timer"))
    near.transport.write(b"one")
    w.clock.run(3.0)
    assert far.received == []
    b.resume()
    assert far.received == ["timer", b"one"]


def test_an_overdue_timer_cancelled_by_an_earlier_one_does_not_run_after_resuming():
    w, a, b, near, far = connect_processes()
    second = b.callLater(0.2, lambda: far.received.append("second"))
    b.callLater(0.1, second.cancel)
    b.suspend()
    w.clock.run(1.0)
    b.resume()
    assert far.received == []


def test_writing_fails_once_a_reset_has_arrived_even_if_unread():
    """Otherwise a request would count as sent on that connection, and the next dial as a second one."""
    w, a, b, near, far = connect_processes()
    a.suspend()
    b.die()
    w.clock.run(0.2)
    with pytest.raises(ConnectionResetError):
        near.transport.sendmsg([b"OPEN 1 k c=l"])
    assert near.lost_reason is None


def test_a_killed_process_resets_its_connections_and_refuses_new_ones():
    w, a, b, near, far = connect_processes()
    b.die()
    w.clock.run(0.2)
    assert near.lost_reason == "ConnectionLost" and far.lost_reason is None
    second = RecordingFactory()
    a.connectTCP("127.0.0.2", 9000, second, 0.25)
    w.clock.run(0.3)
    assert second.failed == "ConnectionRefusedError"


def test_across_a_cut_a_connection_is_neither_refused_nor_established():
    w, a, b, near, far = connect_processes()
    w.links.cut("h0", "n0", True)
    second = RecordingFactory()
    a.connectTCP("127.0.0.2", 9000, second, 0.25)
    near.transport.write(b"one")
    w.clock.run(0.3)
    assert far.received == [b"one"] and second.failed is None
    w.clock.run(0.5)
    assert second.failed == "TimeoutError" and near.lost_reason is None


def test_a_clock_that_drifts_runs_its_timers_early():
    w, a, b = make_world()
    a.rate, fired = 2.0, []
    a.callLater(1.0, lambda: fired.append(w.clock.seconds()))
    w.clock.run(2.0)
    assert fired == [0.5] and a.seconds() == 4.0


def test_a_broadcast_datagram_reaches_all_members_but_the_sender():
    w, a, b = make_world()
    c, delivered = SimulatedReactor(w, "n1"), []

    class RecordingDatagrams(DatagramProtocol):
        def datagramReceived(self, data, addr):
            delivered.append((data, addr))

    places = [("127.4.0.1", 7946), ("127.4.0.2", 7946), ("127.4.0.3", 7946)]
    sockets = [
        p.listenUDP(7946, RecordingDatagrams(), ip) for p, (ip, _) in zip((a, b, c), places, strict=True)
    ]
    w.broadcast_members["127.5.0.1", 7946] = places
    sockets[0].write(b"all", ("127.5.0.1", 7946))
    w.clock.run(0.1)
    assert delivered == [(b"all", places[0])] * 2


# ---- the relay


class DatagramReactor(Clock):
    """Implements the reactor methods that the relay uses for datagrams."""

    def __init__(self):
        super().__init__()
        self.sockets = []

    def listenUDP(self, port, protocol, interface):
        socket = type("Socket", (), {"getHost": lambda s: IPv4Address("UDP", "127.0.0.1", s.port)})()
        socket.port, socket.sent = 7000 + len(self.sockets), []
        socket.write = lambda data, to: socket.sent.append((data, to))
        self.sockets.append(socket)
        return socket


@pytest.mark.parametrize("to, reached", [("n1", ["n1"]), ("*", ["n1", "n2"])])
def test_a_relayed_datagram_has_the_source_address_by_which_its_receiver_knows_the_sender(to, reached):
    reactor = DatagramReactor()
    relay = Relay(reactor, make_links(), lambda *a, **v: None)
    relay.peers = {n: ("127.0.0.1", 9000 + i) for i, n in enumerate(("n0", "n1", "n2"))}
    for a, b in (("n0", to), ("n1", "n0"), ("n2", "n0")):
        relay.add_datagram_route(a, b)
    relay.datagram("n0", to, b"hello")
    reactor.advance(1.0)
    sent = {n: relay.datagram_routes[n, "n0"].sent for n in ("n1", "n2")}
    assert sent == {n: [(b"hello", relay.peers[n])] * (n in reached) for n in sent}


CONNECTION_ATTEMPTS = """
import socket, threading, time
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol
from caperdeck.lab.links import Links
from caperdeck.lab.ports import Ports
from caperdeck.lab.relay import Relay
from caperdeck.lab.simulated.reactor import SimulatedReactor
from caperdeck.lab.simulated.world import World
class Echo(Protocol):
    def dataReceived(self, data): self.transport.write(data)
port = reactor.listenTCP(0, Factory.forProtocol(Echo), 50, "127.0.0.1").getHost().port
relay = Relay(reactor, Links(1, lambda a, b: (0.0, 1.0)), lambda *a, **v: None)
address = relay.add_stream_route("n0", "h0", ("127.0.0.1", port))
def attempt(timeout=10.0):
    try:
        with socket.create_connection(address, timeout) as sock:
            sock.sendall(b"x")
            return sock.recv(1).decode()
    except OSError as error:
        return type(error).__name__
def run_in_reactor(call, *args):
    done = threading.Event()
    reactor.callFromThread(lambda: (call(*args), done.set()))
    done.wait()
    time.sleep(0.1)
def cut(on): relay.set_link_faults("h0", "n0", {"cut": int(on)})
def run():
    results = [attempt()]
    for call, arg in ((cut, True), (cut, False), (lambda d: relay.set_down("h0", d), True), (lambda d: relay.set_down("h0", d), False)):
        run_in_reactor(call, arg)
        results.append(attempt(0.3 if (call, arg) == (cut, True) else 10.0))
    print(*results, flush=True)
    reactor.callFromThread(reactor.stop)
threading.Thread(target=run, daemon=True).start()
reactor.callLater(50, reactor.stop)
reactor.run()
"""  # noqa: E501


def test_connecting_over_a_cut_link_times_out_and_to_a_dead_process_is_refused():
    run = [sys.executable, "-c", CONNECTION_ATTEMPTS]
    done = subprocess.run(run, capture_output=True, text=True, timeout=60, check=False)
    assert done.stdout.split() == ["x", "TimeoutError", "x", "ConnectionRefusedError", "x"], done.stderr


def test_a_port_that_was_handed_out_stays_reserved_for_its_owner(monkeypatch):
    """Guards against two test rigs that draw the same port.

    A node of one rig would be taken for ready because a node of the other answers with PONG.
    """
    one, other = Ports(), Ports()
    port = one.reserve(socket.SOCK_STREAM)
    draws = iter([port, port, port + 1])
    monkeypatch.setattr("caperdeck.lab.ports.random.randrange", lambda *_: next(draws, port + 2))
    assert other.reserve(socket.SOCK_DGRAM) > port
    for _ in range(2):  # the owner can bind it again after closing it
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            sock.listen()
    one.close()
    other.close()
