"""Races between two events, on loopback sockets with fake peers and a test clock."""

import json
import resource
from contextlib import suppress

import pytest
from helpers import (
    OPEN_LINE, START, FakePeer, LoopbackNode, SteppedReactor, closing_factory, host_row, open_line, read_all,
    reset_connection, service_over,
)  # fmt: skip
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from caperdeck.state.backoff import REFUSED, UNREACHABLE, BackOff
from caperdeck.wire.discovery import ANSWER_TIMEOUT_S, SILENCE_TIMEOUT_S, Discovery

NOTIFIED_WITHIN_S = 6.0  # a change counts as notified so long after a reachable discovery has it
HEADERS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def list_of(rev, *rows, whole=True):
    return chunk(json.dumps({"rev": rev, "all": whole, "targets": rows}).encode() + b"\n")


# ---- the watch on the host list


class FakeDiscovery(FakePeer):
    """A fake discovery that treats each call as the test says, with the node's watch on it."""

    def __init__(self):
        super().__init__()
        self.reactor, self.received_at = SteppedReactor(), []
        self.watch = Discovery(
            self.reactor, f"127.0.0.1:{self.port}", 1,
            lambda whole, rows: self.received_at.append(self.reactor.now), lambda: None, lambda *_: None,
            BackOff(7, 200),
        )  # fmt: skip

    def close(self):
        super().close()
        self.reactor.close()

    def run(self, behaviour, seconds, step=0.05):
        """Moves the clock by so many seconds, and treats each call in this way."""
        end = self.reactor.now + seconds
        while self.reactor.now < end - 1e-9:
            self.reactor.now += step
            for _ in range(3):
                self.reactor.run_turn(0.0003)
                while self.accept():
                    self.respond(behaviour, self.accepted[-1])

    def respond(self, behaviour, sock):
        match behaviour:
            case "reset":
                reset_connection(sock)
            case "refused":
                sock.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\ntoo many\n")
            case "refused-open":  # its body does not end
                sock.send(b"HTTP/1.1 503 Service Unavailable\r\n\r\ntoo many\n")
            case "headers":
                sock.send(HEADERS)
            case "no-end":  # a line that does not end
                sock.send(HEADERS + chunk(b'{"rev":2,"all":true,"targets":['))
            case "silent":  # a watch with one line, then nothing
                sock.send(HEADERS + chunk(b"\n"))
            case "good":
                sock.send(HEADERS + list_of(2, host_row("s-0", "Terminating")))


BEHAVIOURS = ("hangs", "reset", "refused", "refused-open", "headers", "no-end", "silent")


@pytest.mark.parametrize("behaviour", BEHAVIOURS)
def test_change_is_received_in_time_after_any_kind_of_failed_calls(behaviour):
    # Guards against time-outs beyond the bound: a silence of 5 s, and delays of 4 s that doubled up to 16 s.
    discovery = FakeDiscovery()
    discovery.watch.start()
    discovery.run(behaviour, 23.0)  # the failures last for that long
    back = discovery.reactor.now
    discovery.run("good", NOTIFIED_WITHIN_S)
    assert discovery.received_at and discovery.received_at[0] - back < NOTIFIED_WITHIN_S - 0.5
    discovery.close()


@pytest.mark.parametrize("behaviour", ["hangs", "reset", "headers"])
def test_silent_watch_and_a_lost_call_fit_into_the_bound(behaviour):
    discovery = FakeDiscovery()
    discovery.watch.start()
    discovery.run("silent", 0.3)
    fell, calls = discovery.reactor.now, len(discovery.accepted)
    while len(discovery.accepted) == calls:
        discovery.run(behaviour, 0.05)
    discovery.run("good", NOTIFIED_WITHIN_S + fell - discovery.reactor.now)
    assert discovery.received_at and discovery.received_at[0] - fell < NOTIFIED_WITHIN_S
    discovery.close()


def test_time_outs_add_up_to_less_than_the_bound():
    assert (
        SILENCE_TIMEOUT_S + ANSWER_TIMEOUT_S + 2 * UNREACHABLE.max_span_s < NOTIFIED_WITHIN_S - 0.15
        and REFUSED.max_span_s < NOTIFIED_WITHIN_S - 1
    )


@runs(max_examples=25, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(BEHAVIOURS), st.floats(0.05, 4.0)), min_size=1, max_size=6))
def test_list_arrives_in_time_after_any_sequence_of_failures(failures):
    discovery = FakeDiscovery()
    discovery.watch.start()
    for behaviour, seconds in failures:
        discovery.run(behaviour, seconds, step=0.1)
    back = discovery.reactor.now
    discovery.run("good", NOTIFIED_WITHIN_S, step=0.1)
    discovery.close()
    assert discovery.received_at and discovery.received_at[0] - back < NOTIFIED_WITHIN_S - 0.5


def test_switch_to_a_discovery_that_is_down_recovers_soon_after_it_is_up():
    discovery = FakeDiscovery()
    discovery.watch.start()
    discovery.run("silent", 0.3)
    down = FakePeer()
    down.close()
    discovery.watch.switch_to(f"127.0.0.1:{down.port}")
    discovery.run("silent", 9.0)
    up = discovery.reactor.now
    discovery.listen(down.port)
    discovery.run("good", NOTIFIED_WITHIN_S)
    assert discovery.received_at[0] - up < UNREACHABLE.max_span_s + 0.5 and discovery.watch.rev == 2
    discovery.close()


def test_pending_call_is_ignored_after_a_switch():
    discovery = FakeDiscovery()
    discovery.watch.start()
    discovery.run("hangs", 0.2)
    late = discovery.accepted[-1]
    discovery.watch.switch_to(f"127.0.0.1:{discovery.port}")
    discovery.run("headers", 0.2)
    with pytest.raises((BrokenPipeError, ConnectionResetError)):
        for _ in range(20):
            late.send(HEADERS + list_of(9, host_row("s-9")))
            discovery.run("headers", 0.05)
    assert not discovery.received_at and len(discovery.accepted) == 2
    discovery.close()


def test_refusal_whose_body_does_not_end_is_not_waited_for():
    discovery = FakeDiscovery()
    discovery.watch.start()
    discovery.run("refused-open", 0.2)
    first = discovery.accepted[0]
    discovery.run("good", REFUSED.max_span_s + 0.2)
    assert discovery.received_at and read_all(first)[1]
    discovery.close()


def test_calls_of_200_nodes_to_discovery_are_spread_and_bounded():
    # The stated load: all watches lost at one instant, then no connection, calls that hang, or refusals.
    waits = [BackOff(n * 7919, 200) for n in range(200)]
    first = sorted(w.next_delay() for w in waits)
    assert max(sum(at <= x < at + 0.1 for x in first) for at in first) <= 45
    later = sum(w.next_delay() for w in waits for _ in range(20)) / 4000
    refused = sum(w.next_delay(REFUSED) for w in waits for _ in range(20)) / 4000
    assert (
        200 / later <= 680 and 200 / (later + ANSWER_TIMEOUT_S) <= 81 and 200 / refused <= 57
    )  # calls a second


# ---- between the decision and the first byte


def lines_received(sock):
    return read_all(sock)[0].split(b"\r\n")[:-1]


@pytest.fixture
def loop():
    yield from closing_factory(LoopbackNode)


@pytest.mark.parametrize("disconnect", [lambda sock: sock.close(), reset_connection], ids=["end", "reset"])
def test_no_request_is_sent_for_a_client_whose_end_is_unread(loop, disconnect):
    # Guards against a request without a client: the host's socket may be handled before the client's.
    loopback = loop()
    client, session = loopback.open_session()
    host = loopback.hold_dial(session)
    disconnect(client)
    with loopback.reactor.unmonitored(session.client.transport):
        loopback.finish_dial(session)
    loopback.reactor.settle()
    assert (
        not read_all(host)[0]
        and not loopback.handler.sessions.by_index
        and loopback.handler.metrics.relayed_requests == 0
    )
    assert not any(
        loopback.handler.balancer._node.connections + loopback.handler.balancer._node.pending_dials
    )


def test_no_dial_begins_for_a_client_whose_end_is_unread_when_a_timer_fires(loop):
    # After a stall, timers fire before the data in the sockets is read.
    loopback = loop(hosts=2)
    client, session = loopback.open_session()
    loopback.reactor.run_until(lambda: any(peer.accept() for peer in loopback.hosts))
    client.close()
    first = session.dial
    loopback.reactor.now += 0.2  # past the first dial's time-out of 180 ms, but not a stall
    with loopback.reactor.unmonitored(session.client.transport):
        loopback.reactor.settle()
    loopback.reactor.settle()
    assert (
        first == 0
        and sum(peer.accept() for peer in loopback.hosts) == 0
        and not loopback.handler.sessions.by_index
    )
    assert not any(
        loopback.handler.balancer._node.connections + loopback.handler.balancer._node.pending_dials
    )


def test_client_that_does_not_wait_is_refused_before_its_request_is_sent(loop):
    loopback = loop()
    client, session = loopback.open_session()
    host = loopback.hold_dial(session)
    client.send(b"FURTHER\r\n")
    with loopback.reactor.unmonitored(session.client.transport):
        loopback.finish_dial(session)
    loopback.reactor.settle()
    assert not read_all(host)[0] and lines_received(client) == [b"ERR"]


def test_client_end_and_host_answer_in_one_turn_leave_nothing_behind(loop):
    loopback = loop()
    client, session = loopback.open_session()
    host = loopback.accept_at_host()
    loopback.reactor.run_until(lambda: session.host_connection.request_sent)
    host.send(b"UP r1\r\n")
    client.close()
    loopback.reactor.settle(60)
    assert (
        not loopback.handler.sessions.by_index
        and loopback.handler.budget.session_count == loopback.handler.budget.client_connections == 0
    )
    assert read_all(host)[1]


REFERENCED = {"effect": "deduplicated", "group": "all", "memorySpan": 0.3}


def second_dial(loopback):
    """Lets the first host hang on a request, and holds the dial to the second one."""
    client, session = loopback.open_session()
    loopback.reactor.run_until(
        lambda: any(peer.accept() for peer in loopback.hosts) and session.host_connection.request_sent
    )
    loopback.reactor.now += 0.181
    loopback.reactor.runUntilCurrent()
    assert session.dial == 1
    return client, session, loopback.hold_dial(session)


def test_repeat_is_sent_if_its_connection_opens_in_time(loop):
    loopback = loop(hosts=2, listener=REFERENCED | {"memorySpan": 5.0})
    client, session, host = second_dial(loopback)
    loopback.finish_dial(session)
    assert lines_received(host)[0].startswith(b"OPEN ")


def test_repeat_is_not_sent_if_its_window_expires_while_connecting(loop):
    loopback = loop(hosts=2, listener=REFERENCED, dialTimeout=1.0)
    client, session, host = second_dial(loopback)
    loopback.reactor.now += 0.15
    loopback.finish_dial(session)
    assert not read_all(host)[0] and lines_received(client) == [b"ERR"]


@pytest.mark.parametrize("born", [0, START + 5000])
def test_request_is_not_sent_to_a_host_that_restarted_while_connecting(loop, born):
    # Guards against sessions that were admitted for a warm host and reach a cold one, all at once.
    loopback = loop()
    client, session = loopback.open_session()
    host = loopback.hold_dial(session)
    loopback.handler.update_roster(False, [host_row("s-0", port=loopback.hosts[0].port, boot=born)])
    loopback.finish_dial(session)
    assert bool(lines_received(host)) is not bool(born)


@pytest.mark.parametrize("after, sent", [(0.1, True), (1.25, False)])
def test_request_is_not_sent_past_its_deadline(loop, after, sent):
    loopback = loop(mostDials=1, dialTimeout=5.0)
    client, session = loopback.open_session()
    host = loopback.hold_dial(session)
    session.dial_timer.cancel()  # as if the timer ran after the sockets of its turn
    loopback.reactor.now += after
    loopback.handler.last_turn_at = loopback.handler.read_clock()
    loopback.finish_dial(session)
    assert bool(lines_received(host)) is sent


def test_rest_of_a_request_line_is_not_sent_after_its_dial_has_ended(loop):
    # Twisted sends buffered data before it closes, so the first dial would run beside the second.
    loopback = loop(hosts=2, listener=REFERENCED | {"memorySpan": 5.0})
    client, session = loopback.open_session()
    first, conn = loopback.hold_dial(session), session.host_connection
    conn.send_request = lambda pieces: type(conn).send_request(PartialSend(conn), pieces)
    loopback.reactor.addWriter(conn.connector.transport)
    loopback.reactor.run_until(lambda: conn.request_sent)
    loopback.reactor.removeWriter(conn.transport)  # as if the kernel's buffer were full
    loopback.reactor.now += 0.181
    loopback.reactor.runUntilCurrent()
    assert session.dial == 1
    loopback.reactor.settle()
    data, end = read_all(first)
    assert len(data) == 10 and end


class PartialSend:
    """A host connection of whose request line the kernel takes ten bytes."""

    def __init__(self, conn):
        self.__dict__["conn"] = conn

    def __getattr__(self, name):
        return self if name == "transport" else getattr(self.conn, name)

    def __setattr__(self, name, value):
        setattr(self.conn, name, value)

    def getHandle(self):
        return self

    def sendmsg(self, pieces):
        return self.conn.transport.getHandle().send(b"".join(pieces)[:10])

    def write(self, data):
        self.conn.transport.write(data)


# ---- closing


def connect_idle_client(loopback):
    """Connects a client that is accepted and sends nothing."""
    client = loopback.client()
    loopback.reactor.run_until(lambda: loopback.handler.idle_clients)
    return client


def test_request_that_arrives_as_an_idle_client_is_closed_is_served(loop):
    # Closing a socket with an unread line would reset it, and the request would get no answer.
    loopback = loop()
    client = connect_idle_client(loopback)
    loopback.reactor.now += 2.1
    loopback.handler.last_turn_at = loopback.handler.read_clock()
    client.sendall(OPEN_LINE + b"\r\n")
    loopback.handler.sweep()
    loopback.accept_at_host().send(b"UP r1\r\n")
    loopback.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "")


def test_closed_idle_client_gets_a_refusal_and_an_orderly_end(loop):
    loopback = loop()
    client = connect_idle_client(loopback)
    loopback.reactor.now += 2.1
    loopback.handler.last_turn_at = loopback.handler.read_clock()
    loopback.handler.sweep()
    loopback.reactor.settle()
    client.send(OPEN_LINE + b"\r\n")  # read after the close: not passed on, and answered by the refusal
    loopback.reactor.settle()
    assert read_all(client) == (b"BUSY\r\n", "end") and not loopback.hosts[0].accept()
    assert not loopback.handler.sessions.by_index


def test_refusal_is_not_lost_when_more_lines_arrive_with_few_descriptors(loop):
    # Closing a socket with unread lines would reset it, and the answer would be lost.
    loopback = loop(sockets=20)
    client = loopback.client()
    loopback.reactor.run_until(lambda: loopback.handler.idle_clients)
    loopback.handler.budget.limit = 0
    client.sendall(OPEN_LINE + b"\r\n")
    (conn,) = loopback.handler.idle_clients
    loopback.reactor.run_until(lambda: conn.closing)
    client.sendall(b"more\r\n" * 50)
    loopback.reactor.advance_in_steps(0.2, step=0.01)
    data, end = read_all(client)
    assert data.startswith(b"BUSY") and end == "end" and loopback.handler.budget.client_connections == 0


def test_partial_line_of_a_host_is_not_passed_on_before_a_redirect(loop):
    loopback = loop()
    client, session = loopback.open_session()
    host = loopback.accept_at_host()
    host.send(b"UP r1\r\n")
    loopback.reactor.run_until(lambda: session.established_at)
    host.send(b"half of a")
    loopback.reactor.settle()
    loopback.handler.redirect(session, "stop")
    host.send(b" line\r\n")
    loopback.reactor.settle()
    assert read_all(client) == (b"UP r1\r\nMOVE\r\n", "end")


@pytest.mark.parametrize("data", [b"UP r", b"U", b"\r", b"UP r1\r", b"x" * 5000])
def test_truncated_answer_is_never_passed_on(loop, data):
    loopback = loop(listener={"effect": "at_most_once"})
    client, session = loopback.open_session()
    host = loopback.accept_at_host()
    loopback.reactor.run_until(lambda: session.host_connection.request_sent)
    host.send(data)
    host.close()
    loopback.reactor.settle(60)
    assert lines_received(client) == [b"ERR"]


def test_answer_that_never_ends_is_cut_off_with_its_dial(loop):
    loopback = loop(mostDials=1, listener={"effect": "at_most_once"})
    client, session = loopback.open_session()
    host = loopback.accept_at_host()
    loopback.reactor.run_until(lambda: session.host_connection.request_sent)
    for _ in range(30):
        with suppress(OSError):
            host.send(b"x")
        loopback.reactor.advance_in_steps(0.05)
    assert lines_received(client) == [b"ERR"] and not loopback.handler.sessions.by_index


# ---- stopping


@pytest.fixture
def stopping(loop, tmp_path):
    """A loopback node whose service is stopping, and the times at which it has ended."""
    loopback = loop()
    service = service_over(loopback.handler, tmp_path)
    service.port, service.takes_clients, service.ended = loopback.port, True, []
    loopback.handler.set_accepting = service.set_accepting
    loopback.reactor.stop = lambda: service.ended.append(loopback.reactor.now)
    service.stop()
    return loopback, service


def serve_all(loopback, seconds, step=0.01):
    """Moves the clock while hosts accept every session."""
    for _ in range(int(seconds / step)):
        loopback.reactor.now += step
        for _ in range(2):
            loopback.reactor.run_turn(0.0002)
        loopback.handler.last_turn_at = loopback.handler.read_clock()
        for peer in loopback.hosts:
            while peer.accept():
                peer.accepted[-1].send(b"UP r1\r\n")


def answers(client):
    data, end = read_all(client)
    return data.split(b"\r\n")[:-1], end


@pytest.mark.parametrize("at", [0.0, 0.3, 0.85, 0.89, 0.91, 0.95, 1.0, 1.04, 1.1])
def test_client_at_any_moment_of_a_stop_is_served_and_redirected_or_not_accepted(stopping, at):
    # Guards against a client that is accepted between the last check for clients and the exit, and cut off.
    loopback, service = stopping
    serve_all(loopback, at)
    try:
        client = loopback.client(OPEN_LINE)
    except ConnectionRefusedError:
        assert at > 0.9  # the port is closed, no request was accepted
    else:
        serve_all(loopback, 3.0 - at)
        assert answers(client) == ([b"UP r1", b"MOVE"], "end")
    serve_all(loopback, 1.0)
    assert len(service.ended) == 1 and service.ended[0] < 1.2 + 0.7 + 0.5


def test_clients_queued_when_the_port_closes_are_accepted(stopping):
    loopback, service = stopping
    serve_all(loopback, 0.8)
    with loopback.reactor.unmonitored(loopback.port):
        clients = [loopback.client(open_line(n)) for n in range(5)]
        service.stopped_at -= 10_000
        service.redirect_some()
        serve_all(loopback, 0.1)
    loopback.reactor.removeReader(loopback.port)
    serve_all(loopback, 2.0)
    assert all(answers(c) == ([b"UP r1", b"MOVE"], "end") for c in clients) and len(service.ended) == 1


def test_request_of_an_idle_client_during_a_stop_is_answered(stopping):
    loopback, service = stopping
    client = connect_idle_client(loopback)
    loopback.reactor.now += 0.6
    loopback.handler.last_turn_at = loopback.handler.read_clock()
    client.sendall(OPEN_LINE + b"\r\n")
    service.redirect_some()
    serve_all(loopback, 2.5)
    assert answers(client) == ([b"UP r1", b"MOVE"], "end") and service.ended


def test_client_of_a_hanging_host_is_answered_during_a_stop(stopping):
    loopback, service = stopping
    client = loopback.client(OPEN_LINE)
    for _ in range(300):
        loopback.reactor.advance_in_steps(0.01, step=0.01)
        loopback.handler.last_turn_at = loopback.handler.read_clock()
    (line,), end = answers(client)
    assert line.startswith(b"BUSY") and end == "end" and service.ended[0] < 1.2 + 0.7 + 0.5


# ---- descriptors


def test_call_to_discovery_is_retried_when_no_descriptor_is_free(monkeypatch):
    discovery = FakeDiscovery()
    discovery.watch.start()
    discovery.run("silent", 0.3)
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    reset_connection(discovery.accepted[-1])
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, most))
    try:
        for _ in range(40):
            discovery.reactor.now += 0.1
            discovery.reactor.runUntilCurrent()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    free = discovery.reactor.now
    discovery.run("good", NOTIFIED_WITHIN_S)
    assert discovery.received_at[0] - free < UNREACHABLE.max_span_s + 0.5
    discovery.close()


def test_idle_clients_leave_descriptors_for_discovery_and_are_closed_in_time(loop):
    loopback = loop(sockets=64)
    idle = [loopback.client() for _ in range(60)]
    loopback.reactor.settle(100)
    held = loopback.handler.budget.client_connections
    budget = loopback.handler.budget
    assert (
        held + budget.used + budget.probe_descriptors < 64 - 4
    )  # a connection to discovery, a probe, an accept
    client = loopback.client(OPEN_LINE)  # queued behind all of them
    for _ in range(6):
        serve_all(loopback, 0.25)
        loopback.handler.sweep()
    assert answers(client)[0] == [b"UP r1"] and sum(bool(read_all(c)[1]) for c in idle) >= held


def test_client_behind_a_crowd_of_silent_clients_is_answered_in_time(loop):
    """Guards against no answer for clients that wait 0.8 s behind 200 idle connections at 160 descriptors."""
    loopback = loop(sockets=64)
    crowd = [loopback.client() for _ in range(200)]
    client = loopback.client(OPEN_LINE)
    for step in range(60):
        serve_all(loopback, 0.01)
        if step % 25 == 24:
            loopback.handler.sweep()
    assert answers(client)[0] == [b"UP r1"]
    for idle in crowd:
        idle.close()
