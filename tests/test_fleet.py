"""The terms of the full fleet that one node can break alone."""

import pytest
from helpers import OPEN_LINE, SETUP, accept, connect, host_row, lose_connection, make_handler
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.python.failure import Failure


def once_only(d):
    """The desk's listener with effects that may not happen twice."""
    listener = d.balancer._node.settings.listeners[0]
    object.__setattr__(listener, "effect", type(listener.effect).ONCE_ONLY)
    return d


def refused_by_all(d):
    while d.reactor.tcpClients and d.sessions.by_index:
        d.reactor.tcpClients.pop()[2].clientConnectionFailed(None, Failure(Refused()))
        d.reactor.advance(0.11)


def test_a_session_never_sent_on_is_refused_with_a_back_off_and_not_failed():
    d = once_only(make_handler())
    client = connect(d, OPEN_LINE)
    refused_by_all(d)
    (line,) = client.transport.lines()
    assert line.startswith(b"BUSY ") and 500 <= int(line[5:]) <= 1000


def test_a_once_only_session_whose_answer_is_lost_fails_and_is_sent_to_nobody_else():
    d = once_only(make_handler())
    client = connect(d, OPEN_LINE)
    lose_connection(accept(d), clean=False)
    assert client.transport.lines() == [b"ERR"] and len(d.reactor.tcpClients) == 1


@pytest.mark.parametrize("late", [b"UP r1\r\n", b"\x00\xff spoilt\r\n", b"BUSY\r\n", b""])
def test_what_a_host_says_after_the_dial_timeout_reaches_nobody(late):
    d = make_handler(mostDials=1)
    client = connect(d, OPEN_LINE)
    host = accept(d)
    d.reactor.pump([0.05] * 24)
    answered = client.transport.lines()
    host.dataReceived(late)
    assert len(answered) == 1 and client.transport.lines() == answered and not d.sessions.by_index


def test_an_answer_is_not_held_back_once_it_is_given_up():
    d = make_handler(hosts=1)
    d.update_roster(False, [host_row("s-0", "Terminating")])
    client = connect(d, OPEN_LINE)
    d.reactor.advance(SETUP["listeners"][0]["handshakeTarget"])
    assert client.transport.lines()[0].startswith(b"BUSY ")


def test_a_client_that_comes_again_with_its_id_is_served_each_time_and_held_once():
    d = make_handler()
    for _ in range(50):
        client = connect(d, OPEN_LINE)
        accept(d)
        lose_connection(client, clean=False)
    again = connect(d, OPEN_LINE)
    accept(d).dataReceived(b"UP r1\r\n")
    assert again.transport.lines() == [b"UP r1"] and len(d.sessions.by_index) == d.budget.session_count == 1
