"""Resuming sessions that were established before the node started; clients name their host with `at=`."""

import pytest
from helpers import (
    OPEN_LINE, RESUME_WITHIN_S, accept, captured_log, connect, establish, host_row, lose_connection,
    make_handler, resume_line,
)  # fmt: skip
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.python.failure import Failure


@pytest.fixture(autouse=True)
def log():
    with captured_log() as lines:
        yield lines


def connect_for_resumption(handler, host="s-0", number=0, wait=b"9223372036854"):
    """Connects a client whose session was established on that host before."""
    return connect(handler, resume_line(number, host, wait))


def finish_resumption(handler, client):
    accept(handler).dataReceived(b"UP r1\r\n")
    return client.transport.lines() == [b"UP r1"]


def pass_time(handler, seconds):
    for _ in range(round(seconds / 0.1)):
        handler.reactor.advance(0.1)
        handler.sweep()


# Guards against the loss of a session whose host is not on the node's first list yet.
def test_resumption_waits_until_the_host_is_listed():
    handler = make_handler()
    client = connect_for_resumption(handler, "s-9")
    pass_time(handler, 5.0)
    assert client.transport.lines() == []
    handler.update_roster(False, [host_row("s-9", port=9009)])
    pass_time(handler, 0.5)
    assert handler.reactor.tcpClients[-1][1] == 9009 and finish_resumption(handler, client)


# Guards against a client closed without an answer because its host is known only from an operator's ban.
def test_resumption_waits_for_the_address_of_a_host_known_from_a_ban():
    handler = make_handler()
    handler.set_ban("s-9", True)
    client = connect_for_resumption(handler, "s-9")
    handler.update_roster(False, [host_row("s-9", port=9009)])
    pass_time(handler, 0.5)
    assert finish_resumption(handler, client)


# Guards against a refusal for lack of descriptors, which the session had before the node's start.
def test_resumption_waits_for_a_descriptor():
    handler = make_handler(sockets=40)
    others = [establish(handler) for _ in range(handler.budget.session_headroom)]
    idle = [connect(handler) for _ in range(handler.budget.free_descriptors - 1)]
    client = connect_for_resumption(handler, number=99)
    dialed = len(handler.reactor.tcpClients)
    assert client.transport.lines() == [] and dialed == len(others)
    lose_connection(idle[0])
    pass_time(handler, 0.3)
    assert len(handler.reactor.tcpClients) == dialed + 1 and finish_resumption(handler, client)


# Guards against exceeding the descriptor limit when many sessions come back at one instant.
def test_resuming_many_sessions_stays_within_the_descriptor_limit():
    handler = make_handler(sockets=200)
    clients = []
    while more := handler.budget.acceptable_clients:
        clients += [connect(handler) for _ in range(more)]
        for i, client in enumerate(clients[-more:]):
            client.dataReceived(resume_line(len(clients) + i) + b"\r\n")
    fixed = handler.budget.used + handler.budget.probe_descriptors
    assert fixed + len(clients) + len(handler.reactor.tcpClients) <= 200 - handler.budget.reserve // 2
    for client in clients[1::2]:
        lose_connection(client)
    pass_time(handler, 0.5)
    assert len(handler.reactor.tcpClients) >= len(clients[::2]) and not handler.budget.undialed_sessions


# Guards against a client that waits forever for a host that is not listed or does not accept connections.
@pytest.mark.parametrize("host", ["s-9", "s-0"])
@pytest.mark.parametrize("wait, within", [(b"9223372036854", RESUME_WITHIN_S), (b"2000", 2.0)])
def test_session_that_cannot_be_resumed_is_answered_in_time(host, wait, within, log):
    handler = make_handler()
    client = connect_for_resumption(handler, host, wait=wait)
    for _ in range(round(within / 0.1)):
        for *_, factory, _, _ in handler.reactor.tcpClients[-1:]:
            if not factory.conn.ended:
                factory.clientConnectionFailed(None, Failure(Refused()))
        handler.reactor.advance(0.1)
    assert client.transport.lines() == [b"ERR"] and not handler.sessions.by_index
    assert "reason=host-lost" in log[-1] and any("waits=" in line for line in log)


# Guards against a missing answer when the host has received the request line and sends nothing.
def test_session_resumed_at_a_silent_host_is_answered_in_time():
    handler = make_handler()
    client = connect_for_resumption(handler, wait=b"2000")
    accept(handler)
    handler.reactor.advance(1.99)
    assert client.transport.lines() == [b"ERR"] and not handler.metrics.overdue_answers


# Guards against a descriptor that stays counted for a client that left while it waited.
def test_client_that_leaves_during_resumption_is_no_longer_counted():
    handler = make_handler()
    room = handler.budget.session_headroom
    lose_connection(connect_for_resumption(handler, "s-9"))
    pass_time(handler, 1.0)
    assert (handler.budget.session_headroom, handler.budget.undialed_sessions, handler.sessions.by_index) == (
        room,
        0,
        {},
    )


# Guards against new clients that take the descriptors that sessions to be resumed still need.
def test_new_clients_are_refused_while_resumption_needs_the_descriptors():
    handler = make_handler(sockets=100)
    for i in range(handler.budget.session_headroom):
        connect_for_resumption(handler, "s-9", number=i)
    client = connect(handler, OPEN_LINE)
    assert client.transport.lines()[0].startswith(b"BUSY") and not handler.reactor.tcpClients
