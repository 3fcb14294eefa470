"""A change of the list against a send: real loopback sockets, and a clock that only the test moves.

Discovery has told when its bytes lie in the node's socket. No request may go to a host that the list takes
away later than the grace after that, whatever kept the node from reading.
"""

import pytest
from helpers import (
    CONFIG, OPEN, Loopback, Peer, Stepped, free_ports, made_and_closed, opening, read_all, row, write,
)  # fmt: skip
from test_race_conditions import HEADERS, chunk, list_of
from twisted.internet.tcp import Client

from caperdeck.execution.backlog import LIST_WAIT, MS
from caperdeck.lifecycle.config import load_config
from caperdeck.lifecycle.logs import Sink
from caperdeck.lifecycle.service import Service
from caperdeck.state.backoff import UNREACHABLE, BackOff
from caperdeck.wire.discovery import ANSWER, SILENT, Discovery


class Watched(Loopback):
    """A desk that watches a list; the test is discovery, too."""

    def __init__(self, hosts=2, nodes=3, grace=0.25, **parts):
        super().__init__(hosts=hosts, **parts)
        self.agent = Peer()
        self.handler.source = self.watch = Discovery(
            self.reactor, f"127.0.0.1:{self.agent.port}", 1, self.handler.update_roster,
            self.handler.discovery_heard, lambda *_: None, BackOff(7, nodes), self.away, grace / 2,
        )  # fmt: skip
        self.watch.start()
        self.handler.last_turn_at = self.handler.read_clock()

    def away(self):
        self.handler.clock()
        return bool(self.handler.stall)

    def row(self, h, state="Ready"):
        return row(f"s-{h}", state, self.hosts[h].port)

    def opened(self):
        """The watch is open, and its first line has been read."""
        self.reactor.until(self.agent.accept)
        list_socket = self.agent.accepted[-1]
        list_socket.send(HEADERS + chunk(b"\n"))
        self.reactor.until(lambda: self.watch.reads)
        return list_socket

    def list_transport(self):
        """The transport under the watch."""
        clients = [reader for reader in self.reactor.getReaders() if isinstance(reader, Client)]
        (transport,) = [client for client in clients if client.getPeer().port == self.agent.port]
        return transport

    def stand(self, seconds):
        """The node stands still for so long."""
        self.reactor.now += seconds

    def sweeps(self):
        self.handler.sweep()

    def sent(self, h):
        """What has come to the host, on all its connections."""
        while self.hosts[h].accept():
            pass
        return b"".join(read_all(sock)[0] for sock in self.hosts[h].accepted)

    def close(self):
        super().close()
        self.agent.close()


@pytest.fixture
def watched():
    yield from made_and_closed(Watched)


# ---- one turn reads the host's socket before the list's


@pytest.mark.parametrize("stalls", [(0.3,), (0.3, 0.3), (0.12,) * 6], ids=["one", "two", "six-short"])
def test_a_drain_that_lies_in_the_socket_is_read_before_a_request_goes_out(watched, stalls):
    # Danger: no single stall is long enough to count as away, and together they are longer than the grace.
    lo = watched(dialTimeout=5.0)
    list_socket = lo.opened()
    client, s = lo.taken()
    first = s.host
    lo.hold(s)
    s.dial_timer.reset(60.0)
    with lo.reactor.unwatched(lo.list_transport()):
        list_socket.send(list_of(2, lo.row(first, "Terminating"), whole=False))
        for seconds in stalls:
            lo.stand(seconds)
            lo.sweeps()
            lo.reactor.turn(0.0005)
        lo.comes_up(s)
        assert not lo.handler.stall and not lo.sent(first)
    lo.reactor.settle()
    assert not lo.sent(first) and lo.sent(1 - first).startswith(b"OPEN ")


def test_a_list_with_nothing_to_read_holds_up_no_request(watched):
    lo = watched(hosts=1)
    lo.opened()
    client, s = lo.taken()
    lo.hold(s)
    lo.stand(0.15)
    lo.comes_up(s)
    assert lo.sent(0).startswith(b"OPEN ")


def test_after_an_absence_the_head_of_an_answer_is_no_list(watched):
    # Danger: the watch broke meanwhile, and the first line of the next one comes in pieces.
    lo = watched()
    lo.opened().close()
    lo.sweeps()
    lo.stand(3.0)
    client = lo.client(OPEN.replace(b"d=1200", b"d=9000"))
    lo.reactor.pass_time(0.06, step=0.01)
    assert lo.handler.stall and lo.agent.accept()
    lo.agent.accepted[-1].send(HEADERS)
    lo.reactor.pass_time(0.06, step=0.01)
    assert not lo.sent(0) and not lo.sent(1)
    lo.agent.accepted[-1].send(list_of(2, lo.row(0, "Terminating"), lo.row(1)))
    lo.reactor.pass_time(0.06, step=0.01)
    assert not lo.sent(0) and lo.sent(1).startswith(b"OPEN ") and not read_all(client)[1]


# ---- the watch has ended, and the next one waits to be opened


class Unwatched(Watched):
    """Discovery has ended the watch; the node waits as long as it may until it opens the next one."""

    def __init__(self, grace):
        super().__init__(dialTimeout=5.0, nodes=200, grace=grace, listener={"handshakeTarget": 3.0})
        self.watch.back_off.next_delay = lambda policy=UNREACHABLE: UNREACHABLE.max_span_s
        self.opened().close()
        self.reactor.until(lambda: self.watch.retry is not None)
        self.drains = list_of(2, self.row(0, "Terminating"), self.row(1))  # discovery has it from now on

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.sweeps()
            self.reactor.pass_time(0.01, step=0.005)

    def asked(self):
        """The sessions whose requests have come to the hosts since the last look."""
        lines = (self.sent(0) + self.sent(1)).split(b"\r\n")
        return {line.split()[1][:4] for line in lines if line.startswith(b"OPEN ")}

    def speak(self):
        """Discovery answers the calls that have come."""
        while self.agent.accept():
            self.agent.accepted[-1].send(HEADERS + self.drains)


@pytest.fixture
def unwatched():
    yield from made_and_closed(Unwatched)


@pytest.mark.parametrize("grace", [0.25, 0.5])
def test_nothing_goes_past_the_grace_to_a_host_that_drains_while_no_watch_is_open(unwatched, grace):
    # Danger: what discovery has counts as told with no watch open, and the wait for the next one is longer.
    lo = unwatched(grace=grace)
    lo.pass_time(grace + 0.01)
    clients = [lo.client(opening(n)) for n in range(8)]
    for _ in range(5):
        lo.pass_time(0.01)
        assert not lo.sent(0)
        lo.speak()
    assert lo.sent(1).count(b"OPEN ") == len(clients)


def test_a_dial_under_way_as_the_watch_ends_waits_for_the_next_one(unwatched):
    lo = unwatched(grace=0.25)
    client, s = lo.taken()
    first = s.host
    lo.drains = list_of(2, lo.row(first, "Terminating"), lo.row(1 - first))
    lo.hold(s)
    lo.pass_time(0.26)
    lo.comes_up(s)
    lo.pass_time(0.02)
    assert not lo.sent(first) and lo.agent.accept()
    lo.agent.accepted[-1].send(HEADERS + lo.drains)
    lo.pass_time(0.02)
    assert not lo.sent(first) and lo.sent(1 - first).startswith(b"OPEN ")


def test_requests_within_the_grace_and_with_a_discovery_that_is_gone_are_not_kept(unwatched):
    lo = unwatched(grace=0.25)
    clients = [lo.client(opening(1))]
    lo.pass_time(0.02)
    assert lo.asked() == {b"0001"}
    lo.pass_time(0.3)
    lo.agent.server.close()
    clients.append(lo.client(opening(2)))
    lo.pass_time(0.05)
    assert lo.asked() == {b"0002"}


def test_a_discovery_that_ends_each_watch_is_called_no_more_than_twice_a_grace_however_many_ask(unwatched):
    lo = unwatched(grace=0.25)
    calls, began, clients, asked = 0, lo.reactor.now, [], set()
    for n in range(100):
        clients.append(lo.client(opening(n)))
        lo.pass_time(0.01)
        asked |= lo.asked()
        while lo.agent.accept():
            calls += 1
            lo.agent.accepted[-1].send(HEADERS + chunk(b"\n"))
            lo.agent.accepted[-1].close()
    assert 4 <= calls <= (lo.reactor.now - began) * 2 / 0.25 and len(asked) > 80


# ---- a new process


class Started:
    """A service that has just started on loopback with an old list of hosts; the test is its surroundings."""

    def __init__(self, folder, monkeypatch, hosts=2):
        monkeypatch.setattr(Service, "install_signal_handlers", lambda self: None)
        self.reactor, self.agent, self.hosts = Stepped(), Peer(), [Peer() for _ in range(hosts)]
        (port,) = free_ports(1)
        environment = write(folder / "c", CONFIG | {
            "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{self.agent.port}",
            "known": {"rev": 41, "all": True, "targets": [self.row(h) for h in range(hosts)]},
        }) | {"TMPDIR": str(folder)}  # fmt: skip
        self.service = Service(
            self.reactor, load_config(environment), Sink(2), None, lambda: 1e6 + self.reactor.now * MS
        )
        self.service.start()
        self.number = port

    def row(self, h, state="Ready"):
        return row(f"s-{h}", state, self.hosts[h].port)

    client, sent = Loopback.client, Watched.sent

    def close(self):
        self.reactor.close()
        for peer in (*self.hosts, self.agent):
            peer.close()


@pytest.fixture
def started(tmp_path, monkeypatch):
    made = Started(tmp_path, monkeypatch)
    yield made
    made.close()


def test_a_new_process_sends_nothing_by_the_list_that_it_was_given(started):
    # Danger: what discovery has counts as told from the first moment of a process, and loading alone takes
    # as long as the grace; clients that lie in the queue of its port are read before the list is.
    clients = [started.client(opening(n)) for n in range(8)]
    started.reactor.until(started.agent.accept)
    started.reactor.pass_time(0.06, step=0.01)
    assert not started.sent(0) and not started.sent(1) and len(started.service.handler.sessions.by_index) == 8
    list_socket = started.agent.accepted[0]
    list_socket.send(HEADERS)
    started.reactor.pass_time(0.06, step=0.01)
    line = list_of(42, started.row(0, "Terminating"), started.row(1))
    list_socket.send(line[:60])
    started.reactor.pass_time(0.06, step=0.01)
    assert not started.sent(0) and not started.sent(1)
    list_socket.send(line[60:])
    started.reactor.pass_time(0.06, step=0.01)
    assert not started.sent(0) and started.sent(1).count(b"OPEN ") == len(clients)


def test_a_new_process_whose_discovery_says_nothing_serves_by_the_list_that_it_was_given(started):
    client = started.client(OPEN)
    started.reactor.pass_time(LIST_WAIT / MS - 0.05, step=0.01)
    assert not started.sent(0) + started.sent(1)
    started.reactor.pass_time(0.1, step=0.01)
    started.reactor.settle()
    assert (started.sent(0) + started.sent(1)).startswith(b"OPEN ")
    assert not read_all(client)[1]


def test_a_new_process_waits_for_the_list_half_of_the_time_that_its_clients_have_at_the_most(started):
    client = started.client(OPEN.replace(b"d=1200", b"d=300"))
    started.reactor.pass_time(0.13, step=0.01)
    assert not started.sent(0) + started.sent(1)
    started.reactor.pass_time(0.05, step=0.01)
    started.reactor.settle()
    assert (started.sent(0) + started.sent(1)).startswith(b"OPEN ")
    assert not read_all(client)[1]


def test_a_new_process_answers_the_front_before_it_has_the_list(started):
    front = started.client(b"PING")
    started.reactor.settle(60)
    assert read_all(front)[0] == b"PONG\r\n"


# ---- the clock of a silent watch, on a node that is starved


def test_a_watch_that_fell_silent_is_opened_anew_in_time_by_a_node_that_is_away_again_and_again(watched):
    # Danger: each return counted the silence from its start, so that it never ended.
    lo = watched()
    lo.opened()
    fell = lo.reactor.now
    while not lo.agent.accept():
        for _ in range(4):
            lo.stand(0.05)
            lo.sweeps()
            lo.reactor.turn(0.0005)
            lo.reactor.turn(0.0005)
        lo.stand(0.6)
        lo.reactor.settle(6)
        assert lo.reactor.now - fell < SILENT + 1.0


@pytest.mark.parametrize("stall", [0.45, 0.6, 5.0])
def test_a_call_that_was_due_as_the_node_stood_still_is_made_and_waited_for(watched, stall):
    lo = watched(nodes=200)
    list_socket = lo.opened()
    list_socket.close()
    lo.reactor.until(lambda: lo.watch.retry is not None)
    lo.stand(0.6 + stall)
    lo.reactor.until(lo.agent.accept)
    lo.stand(ANSWER - stall - 0.05 if stall < 0.5 else ANSWER - 0.05)
    lo.handler.last_turn_at = lo.handler.read_clock()
    lo.reactor.settle(6)
    assert lo.watch.asked is not None and not lo.agent.accept()


@pytest.mark.parametrize("stall", [0.1, 0.24, 0.45])
def test_timers_that_run_late_do_not_add_up_past_the_bound(watched, stall):
    # Danger: silence, a wait, a call without an answer and another wait, each late by one stall.
    lo = watched(nodes=200)
    lo.watch.back_off.next_delay = lambda policy=UNREACHABLE: UNREACHABLE.max_span_s  # as drawn at the worst
    lo.opened()
    fell, calls = lo.reactor.now, 0
    while calls < 2:
        lo.stand(stall)
        lo.sweeps()
        lo.reactor.settle(6)
        calls += lo.agent.accept()
    assert lo.reactor.now - fell <= SILENT + ANSWER + 2 * UNREACHABLE.max_span_s + stall + 0.01
