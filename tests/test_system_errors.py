"""System calls that fail for a moment, in the ways that Linux documents, and a disk that does.

Seen: none of it in service; found by looking through every module for waits and errors that are taken for
something else, after timers had been found to run on the wall clock. Each was forced on the program before as
well: 24 of 45 cases failed there, the others hold what held already.
"""

import errno
import json
import os
import socket
from contextlib import suppress

import pytest
from helpers import (
    CONFIG, OPEN_LINE, SETUP, LoopbackNode, captured_log, closing_factory, connect, establish, host_row,
    lose_connection, make_handler, open_line, read_all, service_over,
)  # fmt: skip
from test_race_conditions import answers, serve_all

from caperdeck.ops.bans import FILE, Ban, Bans, BansError
from caperdeck.state.errors import MAX_RETRIES, call_with_retries


@pytest.fixture
def loop():
    yield from closing_factory(LoopbackNode)


class Faulty:
    """A method of every socket that fails with these errors first, one a call, and then works."""

    def __init__(self, monkeypatch, name, errors):
        self.left, self.calls, call = list(errors), 0, getattr(socket.socket, name)

        def failing(sock, *arguments):
            self.calls += 1
            if self.left:
                number = self.left.pop(0)
                if name == "connect_ex":
                    return number
                raise OSError(number, os.strerror(number))
            return call(sock, *arguments)

        monkeypatch.setattr(socket.socket, name, failing, raising=False)


# accept(2): what the machine lacks, and errors of the connection that is accepted
ACCEPT = [
    errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.EPERM,
    errno.ENETDOWN, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EOPNOTSUPP,
]  # fmt: skip


@pytest.mark.parametrize("number", ACCEPT)
def test_clients_in_the_queue_are_served_once_accept_works_again(loop, monkeypatch, number):
    loopback = loop()
    faulty = Faulty(monkeypatch, "accept", [number])
    client = loopback.client(OPEN_LINE)
    loopback.reactor.advance_in_steps(0.1, step=0.01)
    loopback.accept_at_host().send(b"UP r1\r\n")
    loopback.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "") and faulty.calls > 1


def test_while_accept_fails_the_reactor_does_not_turn_on_it(loop, monkeypatch):
    loopback = loop()
    faulty = Faulty(monkeypatch, "accept", [errno.ENFILE] * 100)
    client = loopback.client(OPEN_LINE)
    loopback.reactor.settle(50)
    assert faulty.calls == 1 and read_all(client) == (b"", "")


# guards against: a core in full use at a port that is read while no descriptor is left for a client
def test_while_no_client_can_be_let_in_the_reactor_does_not_turn_on_the_port(loop, monkeypatch):
    loopback = loop()
    loopback.handler.set_accepting = lambda on: (
        loopback.port.startReading if on else loopback.port.stopReading
    )()
    loopback.handler.budget.used_by_other_process = loopback.handler.budget.limit
    client, reads, read = loopback.client(OPEN_LINE), [], loopback.port.doRead
    monkeypatch.setattr(loopback.port, "doRead", lambda: reads.append(read()))
    loopback.reactor.settle(50)
    assert len(reads) == 1
    loopback.handler.budget.used_by_other_process = 0
    loopback.handler.sweep()
    loopback.accept_at_host().send(b"UP r1\r\n")
    loopback.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "")


def test_a_queue_that_cannot_be_let_in_just_now_is_not_closed_over_its_clients(loop, monkeypatch, tmp_path):
    loopback = loop()
    service = service_over(loopback.handler, tmp_path)
    service.port, service.takes, ended = loopback.port, True, []
    loopback.reactor.stop = lambda: ended.append(loopback.reactor.now)
    service.stop()
    serve_all(loopback, 0.8)
    with loopback.reactor.unmonitored(loopback.port):
        client = loopback.client(OPEN_LINE)
        Faulty(monkeypatch, "accept", [errno.ENFILE])
        service.stopped_at -= 10_000
        service.move_some()
    serve_all(loopback, 2.5)
    assert answers(client) == ([b"UP r1", b"MOVE"], "end") and ended


# connect(2) and socket(2)
CONNECT = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ENOMEM, errno.ENETDOWN, errno.EINTR]


@pytest.mark.parametrize("number", CONNECT)
def test_a_connect_that_fails_for_a_moment_uses_up_no_dial_and_blames_no_host(loop, monkeypatch, number):
    loopback = loop(mostDials=2)
    Faulty(monkeypatch, "connect_ex", [number] * 4)
    client, s = loopback.open_session()
    loopback.reactor.advance_in_steps(0.12, step=0.01)
    loopback.accept_at_host().send(b"UP r1\r\n")
    loopback.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "") and s.dial == 0
    assert loopback.handler.balancer._node.ill == [0.0]


@pytest.mark.parametrize("number", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_dial_that_finds_no_socket_for_a_moment_is_made_a_moment_later(loop, monkeypatch, number):
    loopback = loop(mostDials=2)
    client = loopback.client(OPEN_LINE)
    loopback.reactor.run_until(lambda: loopback.handler.idle_clients)
    kind, left = socket.socket, [number] * 3

    def scarce(*arguments, **named):
        if left and "fileno" not in named:
            raise OSError(left.pop(), "scarce")
        return kind(*arguments, **named)

    monkeypatch.setattr("twisted.internet.tcp.socket.socket", scarce)
    loopback.reactor.advance_in_steps(0.12, step=0.01)
    monkeypatch.undo()
    loopback.accept_at_host().send(b"UP r1\r\n")
    loopback.reactor.settle()
    assert not left and read_all(client) == (b"UP r1\r\n", "")


def test_a_network_that_stays_away_costs_its_client_no_answer(loop, monkeypatch):
    loopback = loop()
    Faulty(monkeypatch, "connect_ex", [errno.ENETUNREACH] * 10_000)
    client = loopback.client(OPEN_LINE)
    loopback.reactor.advance_in_steps(1.25, step=0.01)
    assert answers(client)[0][0].startswith(b"BUSY")


# recv(2): a look that the machine has no memory for is no end of the client
@pytest.mark.parametrize("number", [errno.ENOMEM, errno.ENOBUFS])
def test_a_look_at_a_client_that_fails_for_a_moment_does_not_lose_it(loop, monkeypatch, number):
    loopback = loop()
    client, s = loopback.open_session()
    loopback.hold_dial(s)
    Faulty(monkeypatch, "recv", [number])
    loopback.finish_dial(s)
    monkeypatch.undo()
    loopback.hosts[0].accepted[-1].send(b"UP r1\r\n")
    loopback.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "")


@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_a_client_whose_connection_has_broken_is_sent_nowhere(loop, monkeypatch, number):
    loopback = loop()
    _, s = loopback.open_session()
    host = loopback.hold_dial(s)
    Faulty(monkeypatch, "recv", [number])
    loopback.finish_dial(s)
    assert read_all(host)[0] == b"" and not loopback.handler.sessions.by_index


# setsockopt(2) on a connection that has broken by the time that it is accepted
def test_a_client_that_is_gone_as_it_is_let_in_is_counted_out_again(loop, monkeypatch):
    loopback = loop()
    Faulty(monkeypatch, "setsockopt", [errno.EINVAL])
    client = loopback.client()
    loopback.reactor.run_until(lambda: loopback.handler.idle_clients)
    client.close()
    loopback.reactor.settle()
    assert loopback.handler.budget.client_connections == 0 and not loopback.handler.idle_clients


def test_a_start_waits_for_what_the_machine_lacks_for_a_moment_and_for_nothing_else(monkeypatch):
    waits = []
    monkeypatch.setattr("caperdeck.state.errors.time.sleep", waits.append)
    errors = [OSError(errno.ENFILE, ""), OSError(errno.ENOBUFS, "")]

    def listen():
        if errors:
            raise errors.pop()
        return "listening"

    assert call_with_retries(listen) == "listening" and len(waits) == 2
    for number, calls in ((errno.EADDRINUSE, 0), (errno.ENFILE, MAX_RETRIES)):
        waits.clear()
        with pytest.raises(OSError):
            call_with_retries(lambda number=number: os.close(-1) if number == errno.EBADF else raised(number))
        assert len(waits) == calls


def raised(number):
    raise OSError(number, os.strerror(number))


# ---- a disk that is full for a while


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_bans_that_cannot_be_written_hold_at_a_successor_all_the_same(tmp_path, monkeypatch, number):
    d = make_handler()
    service = service_over(d, tmp_path)
    monkeypatch.setattr("caperdeck.ops.bans.os.rename", lambda *_: raised(number))
    with captured_log() as lines:
        service.know([host_row("s-0"), host_row("s-1")], {"bans": ["s-1"]})
    assert service.bans.uids == {"s-1": None} and 1 in d.balancer._node.banned
    assert "reason=bans-unwritable" in "".join(lines)


def test_a_ban_that_a_full_disk_did_not_take_leaves_the_file_before_whole(tmp_path, monkeypatch):
    bans = Bans(str(tmp_path))
    bans.change(Ban("s-0", True))
    bans.save()
    with monkeypatch.context() as full:
        full.setattr("caperdeck.ops.bans.os.rename", lambda *_: raised(errno.ENOSPC))
        bans.change(Ban("s-1", True))
        with pytest.raises(BansError, match="No space"):
            bans.save()
    again = Bans(str(tmp_path))
    again.load()
    assert again.uids == {"s-0": None} and bans.uids == {"s-0": None, "s-1": None}
    assert [path.name for path in tmp_path.iterdir()] == [FILE]
    bans.save()
    again.load()
    assert again.uids == {"s-0": None, "s-1": None}


# ---- the end of a process, and of a connection that rests


@pytest.fixture
def stopping(loop, tmp_path):
    """A service over a loopback desk that has been told to end; the longest wait of a client is 1.2 s."""
    loopback = loop(mostDials=1)
    service = service_over(loopback.handler, tmp_path)
    service.port, service.takes = loopback.port, True
    loopback.reactor.stop = lambda: None
    service.stop()
    return loopback, service


KILLED = 1.2 + 0.7  # seconds after SIGTERM at the earliest


def pass_while_hosts_hang(loopback, seconds):
    """Time goes on; no host answers."""
    end = loopback.reactor.now + seconds
    while loopback.reactor.now < end:
        loopback.reactor.advance_in_steps(0.01, step=0.01)
        loopback.handler.last_turn_at = loopback.handler.read_clock()


@pytest.mark.parametrize("at", [0.0, 0.6, 1.0, 1.15, 1.39, 1.6, 1.8])
def test_a_request_that_comes_while_the_process_ends_is_answered_before_the_earliest_kill(stopping, at):
    loopback, service = stopping
    before = loopback.client(OPEN_LINE)  # holds the port open
    pass_while_hosts_hang(loopback, at)
    client = loopback.client(open_line(1))
    pass_while_hosts_hang(loopback, KILLED - at - 0.05)
    assert not loopback.handler.sessions.by_index
    for each in (before, client):
        (line,), end = answers(each)
        assert line.split()[0] in (b"BUSY", b"ERR") and end == "end"


def test_a_session_that_fails_to_move_does_not_keep_the_process_from_ending(tmp_path, monkeypatch):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    bad, good = establish(d)[0], establish(d)[0]
    move, ended = d.redirect, []
    service.reactor.stop = lambda: ended.append(True)

    def fails_once(s, reason, failures=[True]):  # noqa: B006
        if s.client is bad and failures:
            raise RuntimeError(failures.pop())
        move(s, reason)

    monkeypatch.setattr(d, "redirect", fails_once)
    service.stop()
    with suppress(RuntimeError):
        d.reactor.advance(0.5)
    for _ in range(60):
        d.reactor.advance(0.05)
    assert good.transport.lines() == bad.transport.lines() == [b"MOVE"]
    for client in (good, bad):
        lose_connection(client)
    for _ in range(40):
        d.reactor.advance(0.05)
    assert ended


def test_a_configuration_that_comes_after_the_stop_does_not_put_it_off(stopping, tmp_path):
    loopback, service = stopping
    longer = SETUP | {"listeners": [SETUP["listeners"][0] | {"hardLimit": 30.0}]}
    (tmp_path / "c").write_text(json.dumps(CONFIG | {"admin_addr": "127.0.0.1:9100", "settings": longer}))
    service.reload()
    assert service.config.limits.max_client_wait == 30_000.0
    service.stop()
    clients = [loopback.client(open_line(n)) for n in range(40)]
    serve_all(loopback, KILLED - 0.05)
    assert all(answers(client) == ([b"UP r1", b"MOVE"], "end") for client in clients)


def test_a_session_whose_timer_was_lost_is_answered_all_the_same():
    d = make_handler(mostDials=1)
    client = connect(d, open_line(1))
    (s,) = d.sessions.by_index.values()
    s.dial_timer.cancel()
    with captured_log() as lines:
        for _ in range(8):
            d.reactor.advance(0.25)
            d.sweep()
    assert client.transport.lines() == [b"ERR"] and not d.sessions.by_index
    assert "reason=overdue" in "".join(lines) and d.metrics.overdue_answers == 1


def test_why_sessions_and_dials_ended_is_told_in_the_log_and_in_the_figures():
    d = make_handler(mostDials=1)
    with captured_log() as lines:
        connect(d, open_line(1))
        for _ in range(12):
            d.reactor.advance(0.25)
            d.sweep()
    (line,) = [line for line in lines if line.startswith("dial id=")]
    assert "dial=0 host=s-" in line and "outcome=unreached sent=False ms=" in line
    told = d.metrics.lines(d.gauges())
    assert 'app_failed_dials_total{outcome="unreached"} 1' in told
    assert any(text.startswith('app_ended_total{reason="refused"} 1') for text in told)
