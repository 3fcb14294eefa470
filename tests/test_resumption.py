"""Connections that stood at their servers before a node started, and come back to it with `at=`."""

import pytest
from helpers import UP_WITHIN, OPEN, accept, connect, make_handler, logged, lost, opening_at, row, up
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.python.failure import Failure


@pytest.fixture(autouse=True)
def log():
    with logged() as lines:
        yield lines


def standing(d, host="s-0", number=0, wait=b"9223372036854"):
    """A client whose connection stood at that server."""
    return connect(d, opening_at(number, host, wait))


def comes_up(d, client):
    accept(d).dataReceived(b"UP r1\r\n")
    return client.transport.lines() == [b"UP r1"]


def pass_time(d, seconds):
    for _ in range(round(seconds / 0.1)):
        d.reactor.advance(0.1)
        d.sweep()


# guards against: a standing connection lost as the list of the node's start does not name its server yet
def test_a_connection_whose_server_is_told_late_comes_up():
    d = make_handler()
    client = standing(d, "s-9")
    pass_time(d, 5.0)
    assert client.transport.lines() == []
    d.update_roster(False, [row("s-9", port=9009)])
    pass_time(d, 0.5)
    assert d.reactor.tcpClients[-1][1] == 9009 and comes_up(d, client)


# guards against: a standing connection closed unanswered, as only a call of an operator has named its server
def test_a_connection_whose_server_has_no_address_yet_waits_for_it():
    d = make_handler()
    d.set_ban("s-9", True)
    client = standing(d, "s-9")
    d.update_roster(False, [row("s-9", port=9009)])
    pass_time(d, 0.5)
    assert comes_up(d, client)


# guards against: a standing connection refused for want of descriptors, which it had before the node's start
def test_a_connection_that_finds_no_descriptor_waits_for_one():
    d = make_handler(sockets=40)
    others = [up(d) for _ in range(d.budget.session_headroom)]
    idle = [connect(d) for _ in range(d.budget.free_descriptors - 1)]
    client = standing(d, number=99)
    dialed = len(d.reactor.tcpClients)
    assert client.transport.lines() == [] and dialed == len(others)
    lost(idle[0])
    pass_time(d, 0.3)
    assert len(d.reactor.tcpClients) == dialed + 1 and comes_up(d, client)


# guards against: descriptors used past the limit, as many connections that stood come back in one instant
def test_connections_that_come_back_together_stay_within_the_descriptors():
    d = make_handler(sockets=200)
    clients = []
    while more := d.budget.acceptable_clients:
        clients += [connect(d) for _ in range(more)]
        for i, client in enumerate(clients[-more:]):
            client.dataReceived(opening_at(len(clients) + i) + b"\r\n")
    fixed = d.budget.used + d.budget.probe_descriptors
    assert fixed + len(clients) + len(d.reactor.tcpClients) <= 200 - d.budget.reserve // 2
    for client in clients[1::2]:
        lost(client)
    pass_time(d, 0.5)
    assert len(d.reactor.tcpClients) >= len(clients[::2]) and not d.budget.undialed_sessions


# guards against: a client that waits without end for a server that is on no list, or does not take it up
@pytest.mark.parametrize("host", ["s-9", "s-0"])
@pytest.mark.parametrize("wait, within", [(b"9223372036854", UP_WITHIN), (b"2000", 2.0)])
def test_a_connection_that_cannot_be_taken_up_is_answered_in_its_time(host, wait, within, log):
    d = make_handler()
    client = standing(d, host, wait=wait)
    for _ in range(round(within / 0.1)):
        for *_, factory, _, _ in d.reactor.tcpClients[-1:]:
            if not factory.conn.ended:
                factory.clientConnectionFailed(None, Failure(Refused()))
        d.reactor.advance(0.1)
    assert client.transport.lines() == [b"ERR"] and not d.sessions.by_index
    assert "reason=host-lost" in log[-1] and any("waits=" in line for line in log)


# guards against: no answer in its time from a node whose server has taken the line and says nothing
def test_a_connection_whose_server_says_nothing_is_answered_in_its_time():
    d = make_handler()
    client = standing(d, wait=b"2000")
    accept(d)
    d.reactor.advance(1.99)
    assert client.transport.lines() == [b"ERR"] and not d.metrics.overdue_answers


# guards against: a descriptor counted for good for a client that left while it waited to be taken up
def test_a_client_that_leaves_while_it_waits_is_not_counted_any_more():
    d = make_handler()
    room = d.budget.session_headroom
    lost(standing(d, "s-9"))
    pass_time(d, 1.0)
    assert (d.budget.session_headroom, d.budget.undialed_sessions, d.sessions.by_index) == (room, 0, {})


# guards against: new clients let in on descriptors that connections from before the start still need
def test_new_clients_are_refused_while_those_that_stood_need_the_room():
    d = make_handler(sockets=100)
    for i in range(d.budget.session_headroom):
        standing(d, "s-9", number=i)
    client = connect(d, OPEN)
    assert client.transport.lines()[0].startswith(b"BUSY") and not d.reactor.tcpClients
