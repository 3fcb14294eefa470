"""Races between a change of the host list and a request, on loopback sockets with a test clock.

A change counts as notified when its bytes are in the node's socket. No request may be sent to a host that the
change removes later than the grace period after that, whatever kept the node from reading.
"""

import errno
import os

import pytest
from helpers import (
    CONFIG, OPEN_LINE, FakePeer, LoopbackNode, SteppedReactor, closing_factory, free_ports, host_row,
    open_line, read_all, resume_line, write_config,
)  # fmt: skip
from test_race_conditions import HEADERS, chunk, list_of
from twisted.internet.defer import fail
from twisted.internet.error import getConnectError
from twisted.internet.tcp import Client

from caperdeck.execution.backlog import LIST_WAIT_MS, MS
from caperdeck.lifecycle.config import load_config, reload_config
from caperdeck.lifecycle.logs import Sink
from caperdeck.lifecycle.service import Service
from caperdeck.state.backoff import UNREACHABLE, BackOff
from caperdeck.wire.discovery import ANSWER_TIMEOUT_S, SILENCE_TIMEOUT_S, Discovery
from caperdeck.wire.list_currency import NEW_ADDRESS_GRACE_S


class WatchingNode(LoopbackNode):
    """A loopback node that watches the host list; the test acts as discovery, too."""

    def __init__(self, hosts=2, nodes=3, grace=0.25, **parts):
        super().__init__(hosts=hosts, **parts)
        self.discovery = FakePeer()
        self.handler.source = self.watch = Discovery(
            self.reactor, f"127.0.0.1:{self.discovery.port}", 1, self.handler.update_roster,
            self.handler.discovery_heard, lambda *_: None, BackOff(7, nodes), self.is_catching_up, grace / 2,
        )  # fmt: skip
        self.watch.start()
        self.handler.last_turn_at = self.handler.read_clock()

    def is_catching_up(self):
        self.handler.clock()
        return bool(self.handler.stall)

    def row(self, h, state="Ready"):
        return host_row(f"s-{h}", state, self.hosts[h].port)

    def open_watch(self):
        """Opens the watch and lets the node read its first line; returns discovery's socket."""
        self.reactor.run_until(self.discovery.accept)
        list_socket = self.discovery.accepted[-1]
        list_socket.send(HEADERS + chunk(b"\n"))
        self.reactor.run_until(lambda: self.watch.read_count)
        return list_socket

    def list_transport(self):
        """Returns the node's transport of the watch."""
        clients = [reader for reader in self.reactor.getReaders() if isinstance(reader, Client)]
        (transport,) = [client for client in clients if client.getPeer().port == self.discovery.port]
        return transport

    def stall_node(self, seconds):
        """Stalls the node for so long."""
        self.reactor.now += seconds

    def sweep(self):
        self.handler.sweep()

    def received_by(self, h):
        """Returns the new data on all connections of the host."""
        while self.hosts[h].accept():
            pass
        return b"".join(read_all(sock)[0] for sock in self.hosts[h].accepted)

    def close(self):
        super().close()
        self.discovery.close()


@pytest.fixture
def watching_node():
    yield from closing_factory(WatchingNode)


# ---- the host's socket is read before the list's in one reactor turn


@pytest.mark.parametrize("stalls", [(0.3,), (0.3, 0.3), (0.12,) * 6], ids=["one", "two", "six-short"])
def test_unread_drain_is_read_before_a_request_is_sent(watching_node, stalls):
    # Guards against stalls that are each too short to be detected, but together exceed the grace period.
    loopback = watching_node(dialTimeout=5.0)
    list_socket = loopback.open_watch()
    client, session = loopback.open_session()
    first = session.host
    loopback.hold_dial(session)
    session.dial_timer.reset(60.0)
    with loopback.reactor.unmonitored(loopback.list_transport()):
        list_socket.send(list_of(2, loopback.row(first, "Terminating"), whole=False))
        for seconds in stalls:
            loopback.stall_node(seconds)
            loopback.sweep()
            loopback.reactor.run_turn(0.0005)
        loopback.finish_dial(session)
        assert not loopback.handler.stall and not loopback.received_by(first)
    loopback.reactor.settle()
    assert not loopback.received_by(first) and loopback.received_by(1 - first).startswith(b"OPEN ")


def test_list_without_unread_data_delays_no_request(watching_node):
    loopback = watching_node(hosts=1)
    loopback.open_watch()
    client, session = loopback.open_session()
    loopback.hold_dial(session)
    loopback.stall_node(0.15)
    loopback.finish_dial(session)
    assert loopback.received_by(0).startswith(b"OPEN ")


def test_response_headers_after_a_stall_do_not_count_as_a_list(watching_node):
    # The watch broke during the stall, and the first line of the next one arrives in pieces.
    loopback = watching_node()
    loopback.open_watch().close()
    loopback.sweep()
    loopback.stall_node(3.0)
    client = loopback.client(OPEN_LINE.replace(b"d=1200", b"d=9000"))
    loopback.reactor.advance_in_steps(0.06, step=0.01)
    assert loopback.handler.stall and loopback.discovery.accept()
    loopback.discovery.accepted[-1].send(HEADERS)
    loopback.reactor.advance_in_steps(0.06, step=0.01)
    assert not loopback.received_by(0) and not loopback.received_by(1)
    loopback.discovery.accepted[-1].send(list_of(2, loopback.row(0, "Terminating"), loopback.row(1)))
    loopback.reactor.advance_in_steps(0.06, step=0.01)
    assert (
        not loopback.received_by(0)
        and loopback.received_by(1).startswith(b"OPEN ")
        and not read_all(client)[1]
    )


# ---- the watch has ended, and the next call is delayed


class DelayingNode(WatchingNode):
    """A node with an open watch, which delays each call after a failure for the longest time."""

    def __init__(self, grace=0.25):
        super().__init__(dialTimeout=5.0, nodes=200, grace=grace, listener={"handshakeTarget": 3.0})
        self.watch.back_off.next_delay = lambda policy=UNREACHABLE: UNREACHABLE.max_span_s
        self.list_socket = self.open_watch()
        self.drains = list_of(2, self.row(0, "Terminating"), self.row(1))  # a change that discovery will have

    def run_until_delay(self):
        """Runs until the next call is delayed."""
        while self.watch.retry_timer is None or not self.watch.retry_timer.active():
            self.advance_with_sweeps(0.01)

    def advance_with_sweeps(self, seconds):
        for _ in range(round(seconds / 0.01)):
            self.sweep()
            self.reactor.advance_in_steps(0.01, step=0.005)

    def take_requested_ids(self):
        """Returns the ids of the requests that have reached the hosts since the last call."""
        lines = (self.received_by(0) + self.received_by(1)).split(b"\r\n")
        return {line.split()[1][:4] for line in lines if line.startswith(b"OPEN ")}

    def answer_calls(self):
        """Answers the pending calls to discovery."""
        while self.discovery.accept():
            self.discovery.accepted[-1].send(HEADERS + self.drains)


class NodeWithoutWatch(DelayingNode):
    """Discovery has ended the watch, and has the change from now on."""

    def __init__(self, grace):
        super().__init__(grace)
        self.list_socket.close()
        self.reactor.run_until(lambda: self.watch.retry_timer is not None)


@pytest.fixture
def delaying_node():
    yield from closing_factory(DelayingNode)


@pytest.fixture
def node_without_watch():
    yield from closing_factory(NodeWithoutWatch)


@pytest.mark.parametrize("grace", [0.25, 0.5])
def test_no_request_after_the_grace_to_a_host_that_drains_while_no_watch_is_open(node_without_watch, grace):
    # Changes count as notified while no watch is open, and the delay before the next one exceeds the grace.
    loopback = node_without_watch(grace=grace)
    loopback.advance_with_sweeps(grace + 0.01)
    clients = [loopback.client(open_line(n)) for n in range(8)]
    for _ in range(5):
        loopback.advance_with_sweeps(0.01)
        assert not loopback.received_by(0)
        loopback.answer_calls()
    assert loopback.received_by(1).count(b"OPEN ") == len(clients)


def test_dial_under_way_when_the_watch_ends_waits_for_the_next_watch(node_without_watch):
    loopback = node_without_watch(grace=0.25)
    client, session = loopback.open_session()
    first = session.host
    loopback.drains = list_of(2, loopback.row(first, "Terminating"), loopback.row(1 - first))
    loopback.hold_dial(session)
    loopback.advance_with_sweeps(0.26)
    loopback.finish_dial(session)
    loopback.advance_with_sweeps(0.02)
    assert not loopback.received_by(first) and loopback.discovery.accept()
    loopback.discovery.accepted[-1].send(HEADERS + loopback.drains)
    loopback.advance_with_sweeps(0.02)
    assert not loopback.received_by(first) and loopback.received_by(1 - first).startswith(b"OPEN ")


def test_requests_are_not_delayed_within_the_grace_or_without_discovery(node_without_watch):
    loopback = node_without_watch(grace=0.25)
    clients = [loopback.client(open_line(1))]
    loopback.advance_with_sweeps(0.02)
    assert loopback.take_requested_ids() == {b"0001"}
    loopback.advance_with_sweeps(0.3)
    loopback.discovery.server.close()
    clients.append(loopback.client(open_line(2)))
    loopback.advance_with_sweeps(0.05)
    assert loopback.take_requested_ids() == {b"0002"}


def test_calls_to_a_discovery_that_ends_each_watch_are_limited(node_without_watch):
    loopback = node_without_watch(grace=0.25)
    calls, began, clients, asked = 0, loopback.reactor.now, [], set()
    for n in range(100):
        clients.append(loopback.client(open_line(n)))
        loopback.advance_with_sweeps(0.01)
        asked |= loopback.take_requested_ids()
        while loopback.discovery.accept():
            calls += 1
            loopback.discovery.accepted[-1].send(HEADERS + chunk(b"\n"))
            loopback.discovery.accepted[-1].close()
    assert 4 <= calls <= (loopback.reactor.now - began) * 2 / 0.25 and len(asked) > 80


# ---- discovery has been silent, and has a change as it returns


def silent_watch(loopback):
    loopback.run_until_delay()


def unanswered_call(loopback):
    loopback.run_until_delay()
    while not loopback.discovery.accept():
        loopback.advance_with_sweeps(0.01)
    loopback.run_until_delay()


def failed_call(loopback):
    loopback.list_socket.close()
    while not loopback.discovery.accept():
        loopback.advance_with_sweeps(0.01)
    loopback.discovery.accepted[-1].close()
    loopback.run_until_delay()


def nobody_listens(loopback):
    loopback.discovery.server.close()
    loopback.list_socket.close()
    loopback.advance_with_sweeps(UNREACHABLE.max_span_s + 0.1)
    loopback.run_until_delay()
    loopback.discovery.listen(loopback.discovery.port)


@pytest.mark.parametrize("before", [silent_watch, unanswered_call, failed_call, nobody_listens])
def test_no_request_after_the_grace_to_a_host_that_drains_as_discovery_returns(delaying_node, before):
    # Guards against a delay before the next call that is longer than the grace.
    loopback = delaying_node()
    before(loopback)
    returned_at, clients = loopback.reactor.now, []
    while loopback.reactor.now < returned_at + 0.25:
        clients.append(loopback.client(open_line(len(clients))))
        loopback.advance_with_sweeps(0.01)
        loopback.answer_calls()
    loopback.take_requested_ids()
    for _ in range(60):
        clients.append(loopback.client(open_line(len(clients))))
        loopback.advance_with_sweeps(0.01)
        loopback.answer_calls()
        assert not loopback.received_by(0)
    assert loopback.received_by(1)


def test_clients_are_served_throughout_an_outage_in_which_discovery_is_silent(delaying_node):
    # Guards against clients refused while discovery accepts calls and sends nothing.
    loopback = delaying_node()
    while loopback.reactor.now < 12.0:
        with loopback.client(OPEN_LINE):
            loopback.advance_with_sweeps(0.02)
            loopback.discovery.accept()
            assert len(loopback.take_requested_ids()) == 1
        loopback.advance_with_sweeps(0.03)


# ---- a new process


class StartedService:
    """A service that has just started on loopback with an old host list."""

    def __init__(self, folder, monkeypatch, hosts=2, discovery_listens=True):
        monkeypatch.setattr(Service, "install_signal_handlers", lambda self: None)
        self.reactor, self.discovery, self.hosts = (
            SteppedReactor(),
            FakePeer(),
            [FakePeer() for _ in range(hosts)],
        )
        if not discovery_listens:
            self.discovery.server.close()
        (port,) = free_ports(1)
        environment = write_config(folder / "c", CONFIG | {
            "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{self.discovery.port}",
            "known": {"rev": 41, "all": True, "targets": [self.row(h) for h in range(hosts)]},
        }) | {"TMPDIR": str(folder)}  # fmt: skip
        self.service = Service(
            self.reactor,
            load_config(environment),
            Sink(2),
            lambda: reload_config(environment),
            lambda: 1e6 + self.reactor.now * MS,
        )
        self.service.start()
        self.port_number = port

    def row(self, h, state="Ready"):
        return host_row(f"s-{h}", state, self.hosts[h].port)

    client, received_by = LoopbackNode.client, WatchingNode.received_by

    def close(self):
        self.reactor.close()
        for peer in (*self.hosts, self.discovery):
            peer.close()


@pytest.fixture
def started(tmp_path, monkeypatch):
    made = StartedService(tmp_path, monkeypatch)
    yield made
    made.close()


def test_new_process_sends_no_request_by_its_saved_list(started):
    # Changes count as notified from the first moment of a process, and starting up alone takes as long as the
    # grace period. Clients that wait in the queue of the port are read before the list.
    clients = [started.client(open_line(n)) for n in range(8)]
    started.reactor.run_until(started.discovery.accept)
    started.reactor.advance_in_steps(0.06, step=0.01)
    assert (
        not started.received_by(0)
        and not started.received_by(1)
        and len(started.service.handler.sessions.by_index) == 8
    )
    list_socket = started.discovery.accepted[0]
    list_socket.send(HEADERS)
    started.reactor.advance_in_steps(0.06, step=0.01)
    line = list_of(42, started.row(0, "Terminating"), started.row(1))
    list_socket.send(line[:60])
    started.reactor.advance_in_steps(0.06, step=0.01)
    assert not started.received_by(0) and not started.received_by(1)
    list_socket.send(line[60:])
    started.reactor.advance_in_steps(0.06, step=0.01)
    assert not started.received_by(0) and started.received_by(1).count(b"OPEN ") == len(clients)


def answers(client):
    """Returns what a client has been answered so far, as lines."""
    return read_all(client)[0].split(b"\r\n")[:-1]


def assert_refused(client):
    (answer,) = answers(client)
    assert answer.startswith(b"BUSY ")


# Guards against requests to hosts that began to drain before an outage of discovery in which a node started.
def test_new_process_refuses_new_sessions_until_a_silent_discovery_sends_its_list(started):
    client = started.client(OPEN_LINE)
    started.reactor.advance_in_steps(LIST_WAIT_MS / MS - 0.05, step=0.01)
    assert not answers(client)
    started.reactor.advance_in_steps(0.1, step=0.01)
    started.reactor.settle()
    assert_refused(client)
    for number in range(20):  # past calls that are given up, and the delays after them
        later = started.client(open_line(number))
        started.reactor.advance_in_steps(0.5, step=0.01)
        started.reactor.settle()
        assert_refused(later)
        started.discovery.accept()
    assert not started.received_by(0) + started.received_by(1)
    started.reactor.run_until(lambda: started.service.discovery.call is not None)
    while started.discovery.accept():
        pass
    drains = list_of(42, started.row(0, "Terminating"), started.row(1))
    started.discovery.accepted[-1].send(HEADERS + drains)
    started.reactor.advance_in_steps(0.1, step=0.01)
    client = started.client(open_line(99))
    started.reactor.advance_in_steps(0.1, step=0.01)
    assert not started.received_by(0) and started.received_by(1).startswith(b"OPEN ")
    assert not read_all(client)[1]


def test_new_process_waits_for_the_list_for_at_most_half_of_a_clients_time(started):
    client = started.client(OPEN_LINE.replace(b"d=1200", b"d=300"))
    started.reactor.advance_in_steps(0.13, step=0.01)
    assert not answers(client)
    started.reactor.advance_in_steps(0.05, step=0.01)
    started.reactor.settle()
    assert_refused(client)
    assert not started.received_by(0) + started.received_by(1)


NO_LIST = {
    "refused": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
    "unreadable": HEADERS + chunk(b"[]\n"),
    "no whole line": HEADERS + chunk(b'{"rev":42,"all":true,'),
}


@pytest.mark.parametrize("answer", NO_LIST.values(), ids=NO_LIST)
def test_an_answer_without_a_list_does_not_make_the_saved_list_current(started, answer):
    # Guards against requests by a saved list after any answer of discovery.
    started.reactor.run_until(started.discovery.accept)
    started.discovery.accepted[0].send(answer)
    started.reactor.advance_in_steps(LIST_WAIT_MS / MS + 0.1, step=0.01)
    client = started.client(OPEN_LINE)
    started.reactor.advance_in_steps(0.1, step=0.01)
    assert_refused(client)
    assert not started.received_by(0) + started.received_by(1)


def test_an_empty_line_confirms_the_saved_list(started):
    started.reactor.run_until(started.discovery.accept)
    started.discovery.accepted[0].send(HEADERS + chunk(b"\n"))
    started.reactor.advance_in_steps(0.1, step=0.01)
    client = started.client(OPEN_LINE)
    started.reactor.advance_in_steps(0.1, step=0.01)
    assert (started.received_by(0) + started.received_by(1)).startswith(b"OPEN ")
    assert not read_all(client)[1]


def test_a_session_from_before_the_start_is_resumed_while_discovery_is_silent(started):
    started.reactor.advance_in_steps(1.0, step=0.01)
    client = started.client(resume_line(1))
    started.reactor.advance_in_steps(0.1, step=0.01)
    assert started.received_by(0).startswith(b"OPEN ")
    assert not read_all(client)[1]


def test_new_process_uses_its_saved_list_where_nobody_listens_as_discovery(tmp_path, monkeypatch):
    # Nobody is there who could have notified the node; it must not turn everybody away for good.
    made = StartedService(tmp_path, monkeypatch, discovery_listens=False)
    made.reactor.advance_in_steps(LIST_WAIT_MS / MS + 0.1, step=0.01)
    client = made.client(OPEN_LINE)
    made.reactor.advance_in_steps(0.1, step=0.01)
    assert (made.received_by(0) + made.received_by(1)).startswith(b"OPEN ")
    assert not read_all(client)[1]
    made.close()


class SwitchedNode(WatchingNode):
    """A node that has been given another discovery, which accepts calls and says nothing."""

    def __init__(self):
        super().__init__(dialTimeout=9.0, listener={"handshakeTarget": 6.0, "hardLimit": 8.0})
        self.open_watch()
        self.silent = FakePeer()
        self.watch.switch_to(f"127.0.0.1:{self.silent.port}")

    def keep_silent_until(self, seconds):
        while self.reactor.now < seconds:
            self.sweep()
            self.reactor.advance_in_steps(0.05, step=0.01)
            self.silent.accept()

    def close(self):
        super().close()
        self.silent.close()


@pytest.fixture
def switched_node():
    yield from closing_factory(SwitchedNode)


def test_requests_are_refused_once_the_changes_of_a_new_discovery_that_is_silent_count(switched_node):
    # Guards against the list of the discovery before, used for good while a new one is down.
    loopback = switched_node()
    loopback.keep_silent_until(NEW_ADDRESS_GRACE_S - 0.5)
    client = loopback.client(open_line(1))
    loopback.keep_silent_until(NEW_ADDRESS_GRACE_S - 0.2)
    assert (loopback.received_by(0) + loopback.received_by(1)).count(b"OPEN ") == 1
    loopback.keep_silent_until(NEW_ADDRESS_GRACE_S + 0.1)
    refused = loopback.client(open_line(2))
    loopback.keep_silent_until(NEW_ADDRESS_GRACE_S + 0.4)
    assert_refused(refused)
    assert not loopback.received_by(0) + loopback.received_by(1)
    assert not read_all(client)[1]


def test_a_dial_under_way_is_not_sent_once_the_list_is_no_longer_current(switched_node):
    # Guards against a request to a host whose drain the silent discovery knows of.
    loopback = switched_node()
    loopback.keep_silent_until(NEW_ADDRESS_GRACE_S - 0.5)
    client, session = loopback.open_session(OPEN_LINE.replace(b"d=1200", b"d=8000"))
    loopback.hold_dial(session)
    loopback.keep_silent_until(NEW_ADDRESS_GRACE_S + 0.1)
    loopback.finish_dial(session)
    loopback.keep_silent_until(NEW_ADDRESS_GRACE_S + 0.5)
    assert not loopback.received_by(0) + loopback.received_by(1)
    assert_refused(client)


@pytest.mark.parametrize("idle_s", [0.0, ANSWER_TIMEOUT_S + 1.0], ids=["in use", "idle"])
def test_a_call_without_an_answer_does_not_prolong_a_list_whose_watch_has_ended(node_without_watch, idle_s):
    # Guards against requests to hosts that began to drain between the end of a watch and an outage.
    loopback = node_without_watch(grace=0.5)
    loopback.advance_with_sweeps(0.26)
    silent = []
    while loopback.reactor.now < idle_s:
        loopback.advance_with_sweeps(0.05)
        loopback.discovery.accept()
    for number in range(8):
        silent.append(loopback.client(open_line(number)))
        loopback.advance_with_sweeps(0.6)
        loopback.discovery.accept()
    for client in silent:
        assert_refused(client)
    assert not loopback.take_requested_ids()
    loopback.reactor.run_until(lambda: loopback.watch.call is not None)
    loopback.answer_calls()
    loopback.discovery.accepted[-1].send(HEADERS + loopback.drains)
    loopback.advance_with_sweeps(0.1)
    client = loopback.client(open_line(99))
    loopback.advance_with_sweeps(0.1)
    assert not loopback.received_by(0) and loopback.received_by(1).startswith(b"OPEN ")


def test_the_end_of_a_watch_during_a_stall_counts_from_before_it_is_read(watching_node):
    # Guards against the lifetime of a list that begins when a node wakes, long after its watch has ended.
    loopback = watching_node(grace=4.0, dialTimeout=5.0, listener={"handshakeTarget": 3.0})
    list_socket = loopback.open_watch()
    loopback.sweep()
    loopback.stall_node(3.0)
    list_socket.close()
    client = loopback.client(OPEN_LINE.replace(b"d=1200", b"d=9000"))
    for _ in range(30):
        loopback.sweep()
        loopback.reactor.advance_in_steps(0.05, step=0.01)
        loopback.discovery.accept()  # and no answer
    assert_refused(client)
    assert not loopback.received_by(0) + loopback.received_by(1)


@pytest.mark.parametrize("number", [errno.ENETUNREACH, errno.EADDRNOTAVAIL, errno.ENFILE])
def test_a_call_that_fails_for_lack_of_resources_does_not_make_the_list_current(node_without_watch, number):
    # Guards against a list used on after any failed call: discovery was there and could tell of drains.
    loopback = node_without_watch(grace=0.5)
    lacking = getConnectError(OSError(number, os.strerror(number)))
    loopback.watch.agent.request = lambda *_: fail(lacking)
    loopback.advance_with_sweeps(0.26)
    clients = [loopback.client(open_line(1))]
    loopback.advance_with_sweeps(0.7)
    clients.append(loopback.client(open_line(2)))
    loopback.advance_with_sweeps(0.1)
    for client in clients:
        assert_refused(client)
    assert not loopback.take_requested_ids()


def test_a_silent_watch_leaves_the_list_in_use(watching_node):
    # In an outage the agent learns nothing, so the list stays what it was when the watch fell silent.
    loopback = watching_node()
    loopback.open_watch()
    while loopback.reactor.now < 8.0:
        loopback.sweep()
        loopback.reactor.advance_in_steps(0.05, step=0.01)
        loopback.discovery.accept()
    client = loopback.client(OPEN_LINE)
    loopback.reactor.settle()
    assert (loopback.received_by(0) + loopback.received_by(1)).startswith(b"OPEN ")
    assert not read_all(client)[1]


def test_new_process_answers_the_front_end_before_it_has_the_list(started):
    front = started.client(b"PING")
    started.reactor.settle(60)
    assert read_all(front)[0] == b"PONG\r\n"


# ---- time-outs of the watch on a node that stalls


def test_silent_watch_is_reopened_in_time_by_a_node_that_stalls_repeatedly(watching_node):
    # Guards against a silence time-out that restarts after each stall, and so never ends.
    loopback = watching_node()
    loopback.open_watch()
    fell = loopback.reactor.now
    while not loopback.discovery.accept():
        for _ in range(4):
            loopback.stall_node(0.05)
            loopback.sweep()
            loopback.reactor.run_turn(0.0005)
            loopback.reactor.run_turn(0.0005)
        loopback.stall_node(0.6)
        loopback.reactor.settle(6)
        assert loopback.reactor.now - fell < SILENCE_TIMEOUT_S + 1.0


@pytest.mark.parametrize("stall", [0.45, 0.6, 5.0])
def test_call_that_was_due_in_a_stall_is_made_and_waited_for(watching_node, stall):
    loopback = watching_node(nodes=200)
    list_socket = loopback.open_watch()
    list_socket.close()
    loopback.reactor.run_until(lambda: loopback.watch.retry_timer is not None)
    loopback.stall_node(0.6 + stall)
    loopback.reactor.run_until(loopback.discovery.accept)
    loopback.stall_node(ANSWER_TIMEOUT_S - stall - 0.05 if stall < 0.5 else ANSWER_TIMEOUT_S - 0.05)
    loopback.handler.last_turn_at = loopback.handler.read_clock()
    loopback.reactor.settle(6)
    assert loopback.watch.call is not None and not loopback.discovery.accept()


@pytest.mark.parametrize("stall", [0.1, 0.24, 0.45])
def test_late_timers_do_not_add_up_past_the_bound(watching_node, stall):
    # Silence, a delay, a call without an answer and another delay are each late by one stall.
    loopback = watching_node(nodes=200)
    loopback.watch.back_off.next_delay = lambda policy=UNREACHABLE: (
        UNREACHABLE.max_span_s
    )  # the longest delay
    loopback.open_watch()
    fell, calls = loopback.reactor.now, 0
    while calls < 2:
        loopback.stall_node(stall)
        loopback.sweep()
        loopback.reactor.settle(6)
        calls += loopback.discovery.accept()
    assert (
        loopback.reactor.now - fell
        <= SILENCE_TIMEOUT_S + ANSWER_TIMEOUT_S + 2 * UNREACHABLE.max_span_s + stall + 0.01
    )
