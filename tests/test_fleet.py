"""Rules of the whole fleet that a single node can break."""

import pytest
from helpers import OPEN_LINE, SETUP, accept, connect, host_row, lose_connection, make_handler
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.python.failure import Failure


def make_once_only(d):
    """Makes the listener one whose sessions must not run twice."""
    listener = d.balancer._node.settings.listeners[0]
    object.__setattr__(listener, "effect", type(listener.effect).ONCE_ONLY)
    return d


def refuse_all_dials(d):
    while d.reactor.tcpClients and d.sessions.by_index:
        d.reactor.tcpClients.pop()[2].clientConnectionFailed(None, Failure(Refused()))
        d.reactor.advance(0.11)


def test_a_session_never_sent_to_a_host_is_refused_with_a_back_off_and_not_failed():
    d = make_once_only(make_handler())
    client = connect(d, OPEN_LINE)
    refuse_all_dials(d)
    (line,) = client.transport.lines()
    assert line.startswith(b"BUSY ") and 500 <= int(line[5:]) <= 1000


def test_a_once_only_session_whose_answer_is_lost_fails_and_is_sent_to_no_other_host():
    d = make_once_only(make_handler())
    client = connect(d, OPEN_LINE)
    lose_connection(accept(d), clean=False)
    assert client.transport.lines() == [b"ERR"] and len(d.reactor.tcpClients) == 1


@pytest.mark.parametrize("late", [b"UP r1\r\n", b"\x00\xff spoilt\r\n", b"BUSY\r\n", b""])
def test_what_a_host_sends_after_the_dial_timeout_is_dropped(late):
    d = make_handler(mostDials=1)
    client = connect(d, OPEN_LINE)
    host = accept(d)
    d.reactor.pump([0.05] * 24)
    answered = client.transport.lines()
    host.dataReceived(late)
    assert len(answered) == 1 and client.transport.lines() == answered and not d.sessions.by_index


def test_a_session_without_a_host_is_refused_by_its_handshake_target():
    d = make_handler(hosts=1)
    d.update_roster(False, [host_row("s-0", "Terminating")])
    client = connect(d, OPEN_LINE)
    d.reactor.advance(SETUP["listeners"][0]["handshakeTarget"])
    assert client.transport.lines()[0].startswith(b"BUSY ")


def test_a_client_that_reconnects_with_its_id_is_served_each_time_and_kept_once():
    d = make_handler()
    for _ in range(50):
        client = connect(d, OPEN_LINE)
        accept(d)
        lose_connection(client, clean=False)
    again = connect(d, OPEN_LINE)
    accept(d).dataReceived(b"UP r1\r\n")
    assert again.transport.lines() == [b"UP r1"] and len(d.sessions.by_index) == d.budget.session_count == 1
