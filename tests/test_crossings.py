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
