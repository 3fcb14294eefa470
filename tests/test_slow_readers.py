"""Peers that send without reading: what the node keeps for them stays bounded."""

import socket
from contextlib import suppress

import pytest
from helpers import OPEN_LINE, LoopbackNode, closing_factory, read_all

from caperdeck.execution.executor import IDLE_MS
from caperdeck.wire.client import MAX_LINES_PER_TURN
from caperdeck.wire.lines import LINGER_S

PING = b"PING\r\n"
PINGS = b"PING\r\n" * 20_000
MAX_UNSENT_BYTES = 256 << 10  # a transport's buffer, and the answers to one read


@pytest.fixture
def loop():
    yield from closing_factory(LoopbackNode)


def small_buffers(loopback):
    """A client for whose answers the kernel keeps little."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    client.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32 << 10)
    client.connect(("127.0.0.1", loopback.port_number))
    client.setblocking(False)
    loopback.reactor.run_until(lambda: loopback.handler.idle_clients)
    (connection,) = loopback.handler.idle_clients
    connection.transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return client


def flood(loopback, client, turns=400):
    """Sends calls as fast as the node takes them; returns the bytes sent and the most that was kept."""
    (connection,) = loopback.handler.idle_clients
    sent = kept = 0
    for _ in range(turns):
        with suppress(BlockingIOError):
            sent += client.send(PINGS[sent % 6 :])
        loopback.reactor.run_turn(0.0002)
        transport = connection.transport
        kept = max(kept, len(transport.dataBuffer) + sum(map(len, transport._tempDataBuffer)))
    return sent, kept


def test_answers_to_a_client_that_does_not_read_are_bounded(loop):
    # Guards against memory without end, by one client that sends PING at full speed and reads nothing.
    loopback = loop()
    with small_buffers(loopback) as client:
        _, kept = flood(loopback, client)
        assert 0 < kept <= MAX_UNSENT_BYTES


def test_a_client_that_reads_its_answers_late_gets_all_of_them_and_is_served(loop):
    # Guards against a client that is no longer read once its answers have waited.
    loopback = loop()
    with small_buffers(loopback) as client:
        sent, _ = flood(loopback, client)
        rest = b"PING\r\n"[sent % 6 :] if sent % 6 else b""
        unsent, received = rest + OPEN_LINE + b"\r\n", b""
        for _ in range(20_000):
            received += read_all(client)[0]
            with suppress(BlockingIOError):
                unsent = unsent[client.send(unsent) :] if unsent else b""
            loopback.reactor.run_turn(0.0001)
            if loopback.handler.sessions.by_index:
                break
        host = loopback.accept_at_host()
        host.send(b"UP r1\r\n")
        for _ in range(2_000):
            loopback.reactor.run_turn(0.0005)
            received += read_all(client)[0]
            if received.endswith(b"UP r1\r\n"):
                break
        assert received == b"PONG\r\n" * -(-sent // 6) + b"UP r1\r\n"
        client.send(b"one\r\n")
        loopback.reactor.settle()
        assert read_all(host)[0].endswith(b"one\r\n")


def test_a_client_that_sends_many_lines_at_once_does_not_delay_others(loop):
    # Guards against clients answered late or never, beside some that send small lines at full speed.
    loopback = loop()
    with loopback.client() as rude, loopback.client() as usual:
        loopback.reactor.run_until(lambda: len(loopback.handler.idle_clients) == 2)
        rude.send(PING * 5_000)
        usual.send(PING)
        for _ in range(4):
            loopback.reactor.run_turn(0.0005)
        assert read_all(usual)[0] == b"PONG\r\n"
        assert 0 < read_all(rude)[0].count(b"PONG") <= 4 * MAX_LINES_PER_TURN


def test_lines_left_over_from_a_turn_are_all_handled_and_end_with_the_client(loop):
    # Guards against lines that are lost, or handled out of order, as they are spread over turns.
    loopback = loop()
    lines = [b"%d" % number for number in range(10 * MAX_LINES_PER_TURN)]
    client = loopback.client(OPEN_LINE)
    host = loopback.accept_at_host()
    host.send(b"UP r1\r\n")
    loopback.reactor.settle()
    client.send(b"\r\n".join(lines) + b"\r\n")
    client.shutdown(socket.SHUT_WR)
    loopback.reactor.settle(60)
    received, ended = read_all(host)
    assert received.split(b"\r\n")[1:-1] == lines and ended == "end"
    client.close()


def test_lines_left_over_from_a_turn_wait_while_the_host_does_not_read(loop):
    # Guards against memory without end, by lines that are handled although the host takes no more.
    loopback = loop()
    client = loopback.client(OPEN_LINE)
    host = loopback.accept_at_host()
    host.send(b"UP r1\r\n")
    loopback.reactor.settle()
    connection = loopback.session().client
    connection.pauseProducing()
    client.send(b"one\r\n" * 100)
    loopback.reactor.settle()
    assert b"one" not in read_all(host)[0]
    connection.resumeProducing()
    loopback.reactor.run_turn()
    connection.pauseProducing()
    loopback.reactor.settle()
    assert read_all(host)[0].count(b"one") <= MAX_LINES_PER_TURN
    connection.resumeProducing()
    loopback.reactor.settle()
    assert read_all(host)[0].count(b"one") >= 100 - MAX_LINES_PER_TURN
    client.close()


def test_a_client_that_does_not_read_its_answers_is_closed_as_an_idle_one(loop):
    # Guards against a descriptor held for good by a client whose unread data looks like a first line.
    loopback = loop()
    with small_buffers(loopback) as client:
        flood(loopback, client)
        for _ in range(20):
            loopback.handler.sweep()
            loopback.reactor.advance_in_steps((IDLE_MS / 1000 + LINGER_S + 0.4) / 20)
        assert not loopback.handler.budget.client_connections
