"""Links, pipes and the in-memory reactor: what a fault does to what is under way."""

import socket
import subprocess
import sys

import pytest
from twisted.internet.address import IPv4Address
from twisted.internet.protocol import ClientFactory, DatagramProtocol, Protocol, ServerFactory
from twisted.internet.task import Clock

from caperdeck.lab.links import Edge, Links, Pipe
from caperdeck.lab.ports import Ports
from caperdeck.lab.relay import Relay
from caperdeck.lab.simulated.reactor import Place
from caperdeck.lab.simulated.world import World


def links():
    return Links(1, lambda a, b: (1.0, 2.0))


def pipe(made, came):
    clock = Clock()
    return clock, Pipe(made, clock.seconds, clock.callLater, "a", "b", lambda x: came.append(x))


def test_what_is_put_in_comes_out_in_order_and_later():
    made, came = links(), []
    made.trouble("a", "b").delay = (0.0, 50.0)
    clock, p = pipe(made, came)
    for i in range(20):
        p.put(i)
    assert came == []
    clock.advance(0.06)
    assert came == list(range(20))


@pytest.mark.parametrize("way, holds", [(("a", "b"), True), (("b", "a"), False)])
def test_a_cut_is_one_way_and_what_it_held_up_comes_once_it_heals(way, holds):
    made, came = links(), []
    clock, p = pipe(made, came)
    p.put("before")
    made.cut(*way, True)
    p.put("within")
    clock.advance(5.0)
    assert (came == []) is holds and not made.reachable("a", "b")
    made.cut(*way, False)
    clock.advance(0.05)
    assert came == ["before", "within"]


def test_two_cuts_of_one_link_are_healed_by_the_second_end():
    made = links()
    made.cut("a", "b", True)
    made.cut("a", "b", True)
    made.cut("a", "b", False)
    assert made.is_cut("a", "b")


@pytest.mark.parametrize(
    "trouble, copies", [({}, 1), ({"loss": 1.0}, 0), ({"double": 1.0}, 2), ({"cut": 1}, 0)],
)  # fmt: skip
def test_datagrams_are_lost_and_doubled(trouble, copies):
    made = links()
    for key, value in trouble.items():
        setattr(made.trouble("a", "b"), key, value)
    assert len(made.datagram("a", "b")) == copies


def test_a_datagram_that_is_reordered_comes_after_a_later_one():
    made = links()
    made.trouble("a", "b").reorder = 1.0
    late = made.datagram("a", "b")[0]
    made.trouble("a", "b").reorder = 0.0
    assert late > made.datagram("a", "b")[0] + 2.0


def test_the_edge_tells_heads_answers_and_lists():
    seen = []
    edge = Edge("host", "n0", "h1", lambda ev, **v: seen.append((ev, v.get("id"), v.get("what"))))
    edge.wrote(b"OPEN 7f k c=l")
    edge.wrote(b",d=3\r\n")
    edge.arrived(b"UP r")
    edge.arrived(b"\r\nmore\r\n")
    edge.ended("node")
    edge.ended("far")
    assert seen == [("dial", "7f", None), ("back", "7f", "UP"), ("undial", "7f", None)]
    told = []
    listing = Edge("list", "n0", "d0", lambda ev, **v: told.append(v["rev"]))
    listing.arrived(b'5c\r\n{"rev":12,"all"')
    listing.arrived(b":true}\n\r\n1\r\n\n\r\n")
    assert told == [12]


class Says(Protocol):
    def __init__(self):
        self.came, self.gone = [], None

    def dataReceived(self, data):
        self.came.append(data)

    def connectionLost(self, reason):
        self.gone = reason.type.__name__


class One(ClientFactory, ServerFactory):
    def __init__(self):
        self.made, self.failed = [], None

    def buildProtocol(self, addr):
        self.made.append(Says())
        return self.made[-1]

    def clientConnectionFailed(self, connector, reason):
        self.failed = reason.type.__name__


def world():
    w = World()
    w.links, w.emit = links(), lambda *a, **v: None
    return w, Place(w, "n0"), Place(w, "h0")


def joined():
    w, a, b = world()
    near, far = One(), One()
    b.listenTCP(9000, far, 0, "127.0.0.2")
    a.connectTCP("127.0.0.2", 9000, near, 0.25)
    w.clock.run(0.1)
    return w, a, b, near.made[0], far.made[0]


def test_a_process_that_sleeps_reads_all_as_it_wakes_and_its_timers_come_first():
    w, a, b, near, far = joined()
    b.suspend()
    b.callLater(1.0, lambda: far.came.append("timer"))
    near.transport.write(b"one")
    w.clock.run(3.0)
    assert far.came == []
    b.resume()
    assert far.came == ["timer", b"one"]


def test_a_timer_cancelled_by_one_before_it_does_not_run_after_a_sleep():
    w, a, b, near, far = joined()
    second = b.callLater(0.2, lambda: far.came.append("second"))
    b.callLater(0.1, second.cancel)
    b.suspend()
    w.clock.run(1.0)
    b.resume()
    assert far.came == []


def test_nothing_can_be_written_once_a_reset_lies_there_unread():
    # Danger: a head counted as sent on such a connection, and the next dial as a second one beside it.
    w, a, b, near, far = joined()
    a.suspend()
    b.die()
    w.clock.run(0.2)
    with pytest.raises(ConnectionResetError):
        near.transport.sendmsg([b"OPEN 1 k c=l"])
    assert near.gone is None


def test_a_process_that_dies_resets_and_then_refuses():
    w, a, b, near, far = joined()
    b.die()
    w.clock.run(0.2)
    assert near.gone == "ConnectionLost" and far.gone is None
    again = One()
    a.connectTCP("127.0.0.2", 9000, again, 0.25)
    w.clock.run(0.3)
    assert again.failed == "ConnectionRefusedError"


def test_across_a_cut_nothing_is_refused_and_nothing_comes_up():
    w, a, b, near, far = joined()
    w.links.cut("h0", "n0", True)
    again = One()
    a.connectTCP("127.0.0.2", 9000, again, 0.25)
    near.transport.write(b"one")
    w.clock.run(0.3)
    assert far.came == [b"one"] and again.failed is None
    w.clock.run(0.5)
    assert again.failed == "TimeoutError" and near.gone is None


def test_a_clock_that_drifts_runs_its_timers_early():
    w, a, b = world()
    a.rate, rang = 2.0, []
    a.callLater(1.0, lambda: rang.append(w.clock.seconds()))
    w.clock.run(2.0)
    assert rang == [0.5] and a.seconds() == 4.0


def test_datagrams_to_all_reach_all_but_the_sender():
    w, a, b = world()
    c, came = Place(w, "n1"), []

    class Keeps(DatagramProtocol):
        def datagramReceived(self, data, addr):
            came.append((data, addr))

    places = [("127.4.0.1", 7946), ("127.4.0.2", 7946), ("127.4.0.3", 7946)]
    sockets = [p.listenUDP(7946, Keeps(), ip) for p, (ip, _) in zip((a, b, c), places, strict=True)]
    w.everyone["127.5.0.1", 7946] = places
    sockets[0].write(b"all", ("127.5.0.1", 7946))
    w.clock.run(0.1)
    assert came == [(b"all", places[0])] * 2


# ---- the relay


class Ends(Clock):
    """A reactor as far as the relay's datagrams use one."""

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
def test_a_datagram_comes_from_the_address_by_which_its_receiver_knows_the_sender(to, reached):
    reactor = Ends()
    relay = Relay(reactor, links(), lambda *a, **v: None)
    relay.peers = {n: ("127.0.0.1", 9000 + i) for i, n in enumerate(("n0", "n1", "n2"))}
    for a, b in (("n0", to), ("n1", "n0"), ("n2", "n0")):
        relay.add_datagram_route(a, b)
    relay.datagram("n0", to, b"hello")
    reactor.advance(1.0)
    sent = {n: relay.datagram_routes[n, "n0"].sent for n in ("n1", "n2")}
    assert sent == {n: [(b"hello", relay.peers[n])] * (n in reached) for n in sent}


KNOCKS = """
import socket, threading, time
from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol
from caperdeck.lab.links import Links
from caperdeck.lab.ports import Ports
from caperdeck.lab.relay import Relay
from caperdeck.lab.simulated.reactor import Place
from caperdeck.lab.simulated.world import World
class Echo(Protocol):
    def dataReceived(self, data): self.transport.write(data)
port = reactor.listenTCP(0, Factory.forProtocol(Echo), 50, "127.0.0.1").getHost().port
relay = Relay(reactor, Links(1, lambda a, b: (0.0, 1.0)), lambda *a, **v: None)
route = relay.add_stream_route("n0", "h0", ("127.0.0.1", port))
def knock(wait=10.0):
    try:
        with socket.create_connection(route, wait) as sock:
            sock.sendall(b"x")
            return sock.recv(1).decode()
    except OSError as error:
        return type(error).__name__
def in_reactor(do, *args):
    done = threading.Event()
    reactor.callFromThread(lambda: (do(*args), done.set()))
    done.wait()
    time.sleep(0.1)
def cut(on): relay.set_link_faults("h0", "n0", {"cut": int(on)})
def play():
    said = [knock()]
    for do, arg in ((cut, True), (cut, False), (lambda d: relay.set_down("h0", d), True), (lambda d: relay.set_down("h0", d), False)):
        in_reactor(do, arg)
        said.append(knock(0.3 if (do, arg) == (cut, True) else 10.0))
    print(*said, flush=True)
    reactor.callFromThread(reactor.stop)
threading.Thread(target=play, daemon=True).start()
reactor.callLater(50, reactor.stop)
reactor.run()
"""  # noqa: E501


def test_a_cut_link_is_silent_and_a_dead_far_end_refuses():
    run = [sys.executable, "-c", KNOCKS]
    done = subprocess.run(run, capture_output=True, text=True, timeout=60, check=False)
    assert done.stdout.split() == ["x", "TimeoutError", "x", "ConnectionRefusedError", "x"], done.stderr


def test_a_port_that_is_dealt_out_is_kept_for_its_owner(monkeypatch):
    """Two rigs at once drew the same port, and a node of one was taken for ready by the other's PONG."""
    one, other = Ports(), Ports()
    port = one.reserve(socket.SOCK_STREAM)
    draws = iter([port, port, port + 1])
    monkeypatch.setattr("caperdeck.lab.ports.random.randrange", lambda *_: next(draws, port + 2))
    assert other.reserve(socket.SOCK_DGRAM) > port
    for _ in range(2):  # also once its owner has come back
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            sock.listen()
    one.close()
    other.close()
