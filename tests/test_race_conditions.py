"""Where two events cross: real loopback sockets, stand-in peers, and a clock that only the test moves."""

import json
import resource
from contextlib import suppress

import pytest
from helpers import (
    OPEN, START, Loopback, Peer, Stepped, made_and_closed, opening, read_all, reset, row, service_over,
)  # fmt: skip
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from caperdeck.state.backoff import REFUSED, UNREACHABLE, BackOff
from caperdeck.wire.discovery import ANSWER, SILENT, Discovery

TOLD = 6.0  # seconds after which a change counts as told, discovery having it and being there
HEADERS = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def list_of(rev, *rows, whole=True):
    return chunk(json.dumps({"rev": rev, "all": whole, "targets": rows}).encode() + b"\n")


# ---- the watch on the list


class Agent(Peer):
    """A stand-in discovery: what it does with each call is the test's."""

    def __init__(self):
        super().__init__()
        self.reactor, self.told = Stepped(), []
        self.watch = Discovery(
            self.reactor, f"127.0.0.1:{self.port}", 1, lambda whole, rows: self.told.append(self.reactor.now),
            lambda: None, lambda *_: None, BackOff(7, 200),
        )  # fmt: skip

    def close(self):
        super().close()
        self.reactor.close()

    def step(self, way, seconds, step=0.05):
        """Time goes on; whoever calls meanwhile is dealt with in that way."""
        end = self.reactor.now + seconds
        while self.reactor.now < end - 1e-9:
            self.reactor.now += step
            for _ in range(3):
                self.reactor.turn(0.0003)
                while self.accept():
                    self.deal(way, self.accepted[-1])

    def deal(self, way, sock):
        match way:
            case "reset":
                reset(sock)
            case "refused":
                sock.send(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 9\r\n\r\ntoo many\n")
            case "refused-open":  # and its text never ends
                sock.send(b"HTTP/1.1 503 Service Unavailable\r\n\r\ntoo many\n")
            case "headers":
                sock.send(HEADERS)
            case "no-end":  # a line without an end
                sock.send(HEADERS + chunk(b'{"rev":2,"all":true,"targets":['))
            case "silent":  # a watch that says one thing and no more
                sock.send(HEADERS + chunk(b"\n"))
            case "good":
                sock.send(HEADERS + list_of(2, row("s-0", "Terminating")))


WAYS = ("hangs", "reset", "refused", "refused-open", "headers", "no-end", "silent")


@pytest.mark.parametrize("way", WAYS)
def test_a_change_is_heard_in_time_whatever_became_of_the_calls_before(way):
    # Danger: 5 s of silence, spans of 4 s that doubled up to 16; what discovery had counted as told by 6 s.
    agent = Agent()
    agent.watch.start()
    agent.step(way, 23.0)  # discovery is in trouble for that long
    back = agent.reactor.now
    agent.step("good", TOLD)
    assert agent.told and agent.told[0] - back < TOLD - 0.5
    agent.close()


@pytest.mark.parametrize("way", ["hangs", "reset", "headers"])
def test_a_silent_watch_and_a_lost_call_fit_into_the_bound(way):
    agent = Agent()
    agent.watch.start()
    agent.step("silent", 0.3)
    fell, calls = agent.reactor.now, len(agent.accepted)
    while len(agent.accepted) == calls:
        agent.step(way, 0.05)
    agent.step("good", TOLD + fell - agent.reactor.now)
    assert agent.told and agent.told[0] - fell < TOLD
    agent.close()


def test_the_bound_is_the_sum_of_its_parts():
    assert SILENT + ANSWER + 2 * UNREACHABLE.max_span_s < TOLD - 0.15 and REFUSED.max_span_s < TOLD - 1


@runs(max_examples=25, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(WAYS), st.floats(0.05, 4.0)), min_size=1, max_size=6))
def test_in_any_order_of_failures_the_list_comes_in_time(troubles):
    agent = Agent()
    agent.watch.start()
    for way, seconds in troubles:
        agent.step(way, seconds, step=0.1)
    back = agent.reactor.now
    agent.step("good", TOLD, step=0.1)
    agent.close()
    assert agent.told and agent.told[0] - back < TOLD - 0.5


def test_a_move_to_a_discovery_that_is_down_is_heard_from_soon_after_it_is_up():
    agent = Agent()
    agent.watch.start()
    agent.step("silent", 0.3)
    down = Peer()
    down.close()
    agent.watch.move_to(f"127.0.0.1:{down.port}")
    agent.step("silent", 9.0)
    up = agent.reactor.now
    agent.listen(down.port)
    agent.step("good", TOLD)
    assert agent.told[0] - up < UNREACHABLE.max_span_s + 0.5 and agent.watch.rev == 2
    agent.close()


def test_a_call_that_is_out_at_a_move_says_nothing_any_more():
    agent = Agent()
    agent.watch.start()
    agent.step("hangs", 0.2)
    late = agent.accepted[-1]
    agent.watch.move_to(f"127.0.0.1:{agent.port}")
    agent.step("headers", 0.2)
    with pytest.raises((BrokenPipeError, ConnectionResetError)):
        for _ in range(20):
            late.send(HEADERS + list_of(9, row("s-9")))
            agent.step("headers", 0.05)
    assert not agent.told and len(agent.accepted) == 2
    agent.close()


def test_a_refusal_that_stays_open_is_not_waited_for():
    agent = Agent()
    agent.watch.start()
    agent.step("refused-open", 0.2)
    first = agent.accepted[0]
    agent.step("good", REFUSED.max_span_s + 0.2)
    assert agent.told and read_all(first)[1]
    agent.close()


def test_what_200_nodes_ask_of_discovery_is_spread_and_bounded():
    # the load that the page states: all watches lost in one instant, no connection, calls that hang, refusals
    waits = [BackOff(n * 7919, 200) for n in range(200)]
    first = sorted(w.next_delay() for w in waits)
    assert max(sum(at <= x < at + 0.1 for x in first) for at in first) <= 45
    later = sum(w.next_delay() for w in waits for _ in range(20)) / 4000
    refused = sum(w.next_delay(REFUSED) for w in waits for _ in range(20)) / 4000
    assert 200 / later <= 680 and 200 / (later + ANSWER) <= 81 and 200 / refused <= 57  # calls a second


# ---- from the decision to the first byte


def lines_at(sock):
    return read_all(sock)[0].split(b"\r\n")[:-1]


@pytest.fixture
def loop():
    yield from made_and_closed(Loopback)


@pytest.mark.parametrize("leaves", [lambda sock: sock.close(), reset], ids=["end", "reset"])
def test_no_request_goes_out_for_a_client_whose_end_lies_there_unread(loop, leaves):
    # Danger: the host's socket is looked at before the client's, and the request runs for nobody.
    lo = loop()
    client, s = lo.taken()
    host = lo.hold(s)
    leaves(client)
    with lo.reactor.unwatched(s.client.transport):
        lo.comes_up(s)
    lo.reactor.settle()
    assert (
        not read_all(host)[0]
        and not lo.handler.sessions.by_index
        and lo.handler.metrics.relayed_requests == 0
    )
    assert not any(lo.handler.balancer._node.connections + lo.handler.balancer._node.pending_dials)


def test_no_dial_begins_for_a_client_whose_end_lies_there_as_the_timer_runs(loop):
    # Danger: after a stall timers run before what lies in the sockets is read.
    lo = loop(hosts=2)
    client, s = lo.taken()
    lo.reactor.until(lambda: any(peer.accept() for peer in lo.hosts))
    client.close()
    first = s.dial
    lo.reactor.now += 0.2  # past the first dial's time-out of 180 ms, no sleep yet
    with lo.reactor.unwatched(s.client.transport):
        lo.reactor.settle()
    lo.reactor.settle()
    assert first == 0 and sum(peer.accept() for peer in lo.hosts) == 0 and not lo.handler.sessions.by_index
    assert not any(lo.handler.balancer._node.connections + lo.handler.balancer._node.pending_dials)


def test_a_client_that_does_not_wait_is_turned_away_before_its_request_goes_out(loop):
    lo = loop()
    client, s = lo.taken()
    host = lo.hold(s)
    client.send(b"FURTHER\r\n")
    with lo.reactor.unwatched(s.client.transport):
        lo.comes_up(s)
    lo.reactor.settle()
    assert not read_all(host)[0] and lines_at(client) == [b"ERR"]


def test_an_end_and_the_hosts_answer_in_one_turn_leave_nothing_behind(loop):
    lo = loop()
    client, s = lo.taken()
    host = lo.host_side()
    lo.reactor.until(lambda: s.host_connection.request_sent)
    host.send(b"UP r1\r\n")
    client.close()
    lo.reactor.settle(60)
    assert (
        not lo.handler.sessions.by_index
        and lo.handler.budget.session_count == lo.handler.budget.client_connections == 0
    )
    assert read_all(host)[1]


REFERENCED = {"effect": "deduplicated", "memorySpan": 0.3}


def second_dial(lo):
    """The first host took the request and said nothing; the dial to the second has not been seen to be up."""
    client, s = lo.taken()
    lo.reactor.until(lambda: any(peer.accept() for peer in lo.hosts) and s.host_connection.request_sent)
    lo.reactor.now += 0.181
    lo.reactor.runUntilCurrent()
    assert s.dial == 1
    return client, s, lo.hold(s)


def test_a_repeat_whose_connection_comes_up_in_time_goes_out(loop):
    lo = loop(hosts=2, listener=REFERENCED | {"memorySpan": 5.0})
    client, s, host = second_dial(lo)
    lo.comes_up(s)
    assert lines_at(host)[0].startswith(b"OPEN ")


def test_a_repeat_whose_window_ran_out_while_its_connection_came_up_is_not_sent(loop):
    lo = loop(hosts=2, listener=REFERENCED, dialTimeout=1.0)
    client, s, host = second_dial(lo)
    lo.reactor.now += 0.15
    lo.comes_up(s)
    assert not read_all(host)[0] and lines_at(client) == [b"ERR"]


@pytest.mark.parametrize("born", [0, START + 5000])
def test_a_request_whose_host_started_anew_while_its_connection_came_up_goes_elsewhere(loop, born):
    # Danger: what was paid for a warm host would reach a cold one, all dials under way at once.
    lo = loop()
    client, s = lo.taken()
    host = lo.hold(s)
    lo.handler.update_roster(False, [row("s-0", port=lo.hosts[0].port, boot=born)])
    lo.comes_up(s)
    assert bool(lines_at(host)) is not bool(born)


@pytest.mark.parametrize("after, sent", [(0.1, True), (1.25, False)])
def test_a_request_whose_time_is_up_as_its_connection_comes_up_is_not_sent(loop, after, sent):
    lo = loop(mostDials=1, dialTimeout=5.0)
    client, s = lo.taken()
    host = lo.hold(s)
    s.dial_timer.cancel()  # a timer that runs after the sockets of its turn
    lo.reactor.now += after
    lo.handler.last_turn_at = lo.handler.read_clock()
    lo.comes_up(s)
    assert bool(lines_at(host)) is sent


def test_what_is_left_of_a_request_line_does_not_follow_once_its_dial_is_given_up(loop):
    # Danger: the library sends the rest before it closes, and the first dial runs beside the second.
    lo = loop(hosts=2, listener=REFERENCED | {"memorySpan": 5.0})
    client, s = lo.taken()
    first, conn = lo.hold(s), s.host_connection
    conn.send_request = lambda pieces: type(conn).send_request(Part(conn), pieces)
    lo.reactor.addWriter(conn.connector.transport)
    lo.reactor.until(lambda: conn.request_sent)
    lo.reactor.removeWriter(conn.transport)  # no room at the system meanwhile
    lo.reactor.now += 0.181
    lo.reactor.runUntilCurrent()
    assert s.dial == 1
    lo.reactor.settle()
    data, end = read_all(first)
    assert len(data) == 10 and end


class Part:
    """A host connection whose system takes ten bytes of the request line."""

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


def resting(lo):
    """A client that has connected, was let in and has said nothing."""
    client = lo.client()
    lo.reactor.until(lambda: lo.handler.idle_clients)
    return client


def test_a_request_that_comes_as_a_resting_client_is_closed_is_served(loop):
    # Danger: closed over the line the connection is reset, and the request has no answer.
    lo = loop()
    client = resting(lo)
    lo.reactor.now += 2.1
    lo.handler.last_turn_at = lo.handler.read_clock()
    client.sendall(OPEN + b"\r\n")
    lo.handler.sweep()
    lo.host_side().send(b"UP r1\r\n")
    lo.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "")


def test_a_resting_client_that_is_closed_is_told_to_come_again_and_sees_a_plain_end(loop):
    lo = loop()
    client = resting(lo)
    lo.reactor.now += 2.1
    lo.handler.last_turn_at = lo.handler.read_clock()
    lo.handler.sweep()
    lo.reactor.settle()
    client.send(OPEN + b"\r\n")  # read after the shutdown: never sent on, and answered by what went before
    lo.reactor.settle()
    assert read_all(client) == (b"BUSY\r\n", "end") and not lo.hosts[0].accept()
    assert not lo.handler.sessions.by_index


def test_the_answer_is_read_though_more_lines_come_while_sockets_are_short(loop):
    # Danger: closed over unread lines the connection is reset, and the answer goes with it.
    lo = loop(sockets=20)
    client = lo.client()
    lo.reactor.until(lambda: lo.handler.idle_clients)
    lo.handler.budget.limit = 0
    client.sendall(OPEN + b"\r\n")
    (conn,) = lo.handler.idle_clients
    lo.reactor.until(lambda: conn.closing)
    client.sendall(b"more\r\n" * 50)
    lo.reactor.pass_time(0.2, step=0.01)
    data, end = read_all(client)
    assert data.startswith(b"BUSY") and end == "end" and lo.handler.budget.client_connections == 0


def test_half_a_line_of_a_host_at_a_move_does_not_reach_the_client(loop):
    lo = loop()
    client, s = lo.taken()
    host = lo.host_side()
    host.send(b"UP r1\r\n")
    lo.reactor.until(lambda: s.established_at)
    host.send(b"half of a")
    lo.reactor.settle()
    lo.handler.redirect(s, "stop")
    host.send(b" line\r\n")
    lo.reactor.settle()
    assert read_all(client) == (b"UP r1\r\nMOVE\r\n", "end")


@pytest.mark.parametrize("ends", [b"UP r", b"U", b"\r", b"UP r1\r", b"x" * 5000])
def test_an_answer_that_breaks_off_is_never_passed_on_as_served(loop, ends):
    lo = loop(listener={"effect": "at_most_once"})
    client, s = lo.taken()
    host = lo.host_side()
    lo.reactor.until(lambda: s.host_connection.request_sent)
    host.send(ends)
    host.close()
    lo.reactor.settle(60)
    assert lines_at(client) == [b"ERR"]


def test_an_answer_without_an_end_in_single_bytes_ends_with_its_dial(loop):
    lo = loop(mostDials=1, listener={"effect": "at_most_once"})
    client, s = lo.taken()
    host = lo.host_side()
    lo.reactor.until(lambda: s.host_connection.request_sent)
    for _ in range(30):
        with suppress(OSError):
            host.send(b"x")
        lo.reactor.pass_time(0.05)
    assert lines_at(client) == [b"ERR"] and not lo.handler.sessions.by_index


# ---- the stop


@pytest.fixture
def stopping(loop, tmp_path):
    """A service over a loopback desk that has been told to end, and when it has ended."""
    lo = loop()
    service = service_over(lo.handler, tmp_path)
    service.port, service.takes_clients, service.ended = lo.port, True, []
    lo.handler.set_accepting = service.set_accepting
    lo.reactor.stop = lambda: service.ended.append(lo.reactor.now)
    service.stop()
    return lo, service


def serve_all(lo, seconds, step=0.01):
    """Time goes on; hosts take whoever comes to them."""
    for _ in range(int(seconds / step)):
        lo.reactor.now += step
        for _ in range(2):
            lo.reactor.turn(0.0002)
        lo.handler.last_turn_at = lo.handler.read_clock()
        for peer in lo.hosts:
            while peer.accept():
                peer.accepted[-1].send(b"UP r1\r\n")


def answers(client):
    data, end = read_all(client)
    return data.split(b"\r\n")[:-1], end


@pytest.mark.parametrize("at", [0.0, 0.3, 0.85, 0.89, 0.91, 0.95, 1.0, 1.04, 1.1])
def test_a_client_that_comes_at_any_moment_of_a_stop_is_answered_and_moved_or_not_let_in(stopping, at):
    # Danger: let in between the last look for clients and the exit, it was cut off without a word.
    lo, service = stopping
    serve_all(lo, at)
    try:
        client = lo.client(OPEN)
    except ConnectionRefusedError:
        assert at > 0.9  # the port is shut, nothing was taken
    else:
        serve_all(lo, 3.0 - at)
        assert answers(client) == ([b"UP r1", b"MOVE"], "end")
    serve_all(lo, 1.0)
    assert len(service.ended) == 1 and service.ended[0] < 1.2 + 0.7 + 0.5


def test_who_lies_in_the_queue_as_the_port_is_shut_is_let_in(stopping):
    lo, service = stopping
    serve_all(lo, 0.8)
    with lo.reactor.unwatched(lo.port):
        clients = [lo.client(opening(n)) for n in range(5)]
        service.stopped_at -= 10_000
        service.redirect_some()
        serve_all(lo, 0.1)
    lo.reactor.removeReader(lo.port)
    serve_all(lo, 2.0)
    assert all(answers(c) == ([b"UP r1", b"MOVE"], "end") for c in clients) and len(service.ended) == 1


def test_a_request_of_a_resting_client_at_the_stop_is_answered(stopping):
    lo, service = stopping
    client = resting(lo)
    lo.reactor.now += 0.6
    lo.handler.last_turn_at = lo.handler.read_clock()
    client.sendall(OPEN + b"\r\n")
    service.redirect_some()
    serve_all(lo, 2.5)
    assert answers(client) == ([b"UP r1", b"MOVE"], "end") and service.ended


def test_a_host_that_hangs_at_the_stop_costs_its_client_no_answer(stopping):
    lo, service = stopping
    client = lo.client(OPEN)
    for _ in range(300):
        lo.reactor.pass_time(0.01, step=0.01)
        lo.handler.last_turn_at = lo.handler.read_clock()
    (line,), end = answers(client)
    assert line.startswith(b"BUSY") and end == "end" and service.ended[0] < 1.2 + 0.7 + 0.5


# ---- descriptors


def test_a_call_to_discovery_that_finds_no_descriptor_is_made_again_and_heard(monkeypatch):
    agent = Agent()
    agent.watch.start()
    agent.step("silent", 0.3)
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    reset(agent.accepted[-1])
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, most))
    try:
        for _ in range(40):
            agent.reactor.now += 0.1
            agent.reactor.runUntilCurrent()
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (most, most))
    free = agent.reactor.now
    agent.step("good", TOLD)
    assert agent.told[0] - free < UNREACHABLE.max_span_s + 0.5
    agent.close()


def test_idle_clients_that_fill_the_descriptors_leave_room_for_discovery_and_go_in_time(loop):
    lo = loop(sockets=64)
    idle = [lo.client() for _ in range(60)]
    lo.reactor.settle(100)
    held = lo.handler.budget.client_connections
    budget = lo.handler.budget
    assert (
        held + budget.used + budget.probe_descriptors < 64 - 4
    )  # a connection to discovery, a probe, an accept
    client = lo.client(OPEN)  # behind all of them
    for _ in range(6):
        serve_all(lo, 0.25)
        lo.handler.sweep()
    assert answers(client)[0] == [b"UP r1"] and sum(bool(read_all(c)[1]) for c in idle) >= held


def test_a_client_behind_a_crowd_that_says_nothing_is_answered_in_time(loop):
    """Seen in the soak: 200 idle connections, 160 descriptors, and clients that wait 0.8 s had no answer."""
    lo = loop(sockets=64)
    crowd = [lo.client() for _ in range(200)]
    client = lo.client(OPEN)
    for step in range(60):
        serve_all(lo, 0.01)
        if step % 25 == 24:
            lo.handler.sweep()
    assert answers(client)[0] == [b"UP r1"]
    for idle in crowd:
        idle.close()
