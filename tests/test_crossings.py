"""Where two events cross: real loopback sockets, stand-in peers, and a clock that only the test moves."""

import json

import pytest
from helpers import START, Loopback, Peer, Stepped, read_all, reset, row
from hypothesis import given
from hypothesis import settings as runs
from hypothesis import strategies as st

from caperdeck.state.backoff import LOST, REFUSED, BackOff
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
    assert SILENT + ANSWER + 2 * LOST.longest < TOLD - 0.15 and REFUSED.longest < TOLD - 1


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
    assert agent.told[0] - up < LOST.longest + 0.5 and agent.watch.rev == 2
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
    agent.step("good", REFUSED.longest + 0.2)
    assert agent.told and read_all(first)[1]
    agent.close()


def test_what_200_nodes_ask_of_discovery_is_spread_and_bounded():
    # the load that the page states: all watches lost in one instant, no connection, calls that hang, refusals
    waits = [BackOff(n * 7919, 200) for n in range(200)]
    first = sorted(w.next() for w in waits)
    assert max(sum(at <= x < at + 0.1 for x in first) for at in first) <= 45
    later = sum(w.next() for w in waits for _ in range(20)) / 4000
    refused = sum(w.next(REFUSED) for w in waits for _ in range(20)) / 4000
    assert 200 / later <= 680 and 200 / (later + ANSWER) <= 81 and 200 / refused <= 57  # calls a second


# ---- from the decision to the first byte


def lines_at(sock):
    return read_all(sock)[0].split(b"\r\n")[:-1]


@pytest.fixture
def loop():
    made = []

    def make(**parts):
        made.append(Loopback(**parts))
        return made[-1]

    yield make
    for each in made:
        each.close()


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
    assert not read_all(host)[0] and not lo.desk.sessions.table and lo.desk.figures.relayed == 0
    assert not any(lo.desk.balancer._node.held + lo.desk.balancer._node.dialing)


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
    assert first == 0 and sum(peer.accept() for peer in lo.hosts) == 0 and not lo.desk.sessions.table
    assert not any(lo.desk.balancer._node.held + lo.desk.balancer._node.dialing)


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
    lo.reactor.until(lambda: s.conn.sent)
    host.send(b"UP r1\r\n")
    client.close()
    lo.reactor.settle(60)
    assert not lo.desk.sessions.table and lo.desk.budget.sessions == lo.desk.budget.clients == 0
    assert read_all(host)[1]


REFERENCED = {"effect": "deduplicated", "memorySpan": 0.3}


def second_dial(lo):
    """The first host took the request and said nothing; the dial to the second has not been seen to be up."""
    client, s = lo.taken()
    lo.reactor.until(lambda: any(peer.accept() for peer in lo.hosts) and s.conn.sent)
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
    lo.desk.listed(False, [row("s-0", port=lo.hosts[0].port, boot=born)])
    lo.comes_up(s)
    assert bool(lines_at(host)) is not bool(born)


@pytest.mark.parametrize("after, sent", [(0.1, True), (1.25, False)])
def test_a_request_whose_time_is_up_as_its_connection_comes_up_is_not_sent(loop, after, sent):
    lo = loop(mostDials=1, dialTimeout=5.0)
    client, s = lo.taken()
    host = lo.hold(s)
    s.timer.cancel()  # a timer that runs after the sockets of its turn
    lo.reactor.now += after
    lo.desk.turn_at = lo.desk.read_clock()
    lo.comes_up(s)
    assert bool(lines_at(host)) is sent


def test_what_is_left_of_a_request_line_does_not_follow_once_its_dial_is_given_up(loop):
    # Danger: the library sends the rest before it closes, and the first dial runs beside the second.
    lo = loop(hosts=2, listener=REFERENCED | {"memorySpan": 5.0})
    client, s = lo.taken()
    first, conn = lo.hold(s), s.conn
    conn.send_head = lambda pieces: type(conn).send_head(Part(conn), pieces)
    lo.reactor.addWriter(conn.connector.transport)
    lo.reactor.until(lambda: conn.sent)
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
