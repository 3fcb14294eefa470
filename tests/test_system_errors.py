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
    CONFIG, OPEN, SETUP, Loopback, connect, make_handler, logged, lost, made_and_closed, opening, read_all,
    row, service_over, up,
)  # fmt: skip
from test_race_conditions import answers, serve_all

from caperdeck.ops.bans import FILE_NAME, BanChange, Bans, BansError
from caperdeck.state.errors import MAX_RETRIES, call_with_retries


@pytest.fixture
def loop():
    yield from made_and_closed(Loopback)


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
    lo = loop()
    faulty = Faulty(monkeypatch, "accept", [number])
    client = lo.client(OPEN)
    lo.reactor.pass_time(0.1, step=0.01)
    lo.host_side().send(b"UP r1\r\n")
    lo.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "") and faulty.calls > 1


def test_while_accept_fails_the_reactor_does_not_turn_on_it(loop, monkeypatch):
    lo = loop()
    faulty = Faulty(monkeypatch, "accept", [errno.ENFILE] * 100)
    client = lo.client(OPEN)
    lo.reactor.settle(50)
    assert faulty.calls == 1 and read_all(client) == (b"", "")


# guards against: a core in full use at a port that is read while no descriptor is left for a client
def test_while_no_client_can_be_let_in_the_reactor_does_not_turn_on_the_port(loop, monkeypatch):
    lo = loop()
    lo.handler.set_accepting = lambda on: (lo.port.startReading if on else lo.port.stopReading)()
    lo.handler.budget.used_by_other_process = lo.handler.budget.limit
    client, reads, read = lo.client(OPEN), [], lo.port.doRead
    monkeypatch.setattr(lo.port, "doRead", lambda: reads.append(read()))
    lo.reactor.settle(50)
    assert len(reads) == 1
    lo.handler.budget.used_by_other_process = 0
    lo.handler.sweep()
    lo.host_side().send(b"UP r1\r\n")
    lo.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "")


def test_a_queue_that_cannot_be_let_in_just_now_is_not_closed_over_its_clients(loop, monkeypatch, tmp_path):
    lo = loop()
    service = service_over(lo.handler, tmp_path)
    service.port, service.takes_clients, ended = lo.port, True, []
    lo.reactor.stop = lambda: ended.append(lo.reactor.now)
    service.stop()
    serve_all(lo, 0.8)
    with lo.reactor.unwatched(lo.port):
        client = lo.client(OPEN)
        Faulty(monkeypatch, "accept", [errno.ENFILE])
        service.stopped_at -= 10_000
        service.redirect_some()
    serve_all(lo, 2.5)
    assert answers(client) == ([b"UP r1", b"MOVE"], "end") and ended


# connect(2) and socket(2)
CONNECT = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ENOMEM, errno.ENETDOWN, errno.EINTR]


@pytest.mark.parametrize("number", CONNECT)
def test_a_connect_that_fails_for_a_moment_uses_up_no_dial_and_blames_no_host(loop, monkeypatch, number):
    lo = loop(mostDials=2)
    Faulty(monkeypatch, "connect_ex", [number] * 4)
    client, s = lo.taken()
    lo.reactor.pass_time(0.12, step=0.01)
    lo.host_side().send(b"UP r1\r\n")
    lo.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "") and s.dial == 0
    assert lo.handler.balancer._node.failure_score == [0.0]


@pytest.mark.parametrize("number", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_dial_that_finds_no_socket_for_a_moment_is_made_a_moment_later(loop, monkeypatch, number):
    lo = loop(mostDials=2)
    client = lo.client(OPEN)
    lo.reactor.until(lambda: lo.handler.idle_clients)
    kind, left = socket.socket, [number] * 3

    def scarce(*arguments, **named):
        if left and "fileno" not in named:
            raise OSError(left.pop(), "scarce")
        return kind(*arguments, **named)

    monkeypatch.setattr("twisted.internet.tcp.socket.socket", scarce)
    lo.reactor.pass_time(0.12, step=0.01)
    monkeypatch.undo()
    lo.host_side().send(b"UP r1\r\n")
    lo.reactor.settle()
    assert not left and read_all(client) == (b"UP r1\r\n", "")


def test_a_network_that_stays_away_costs_its_client_no_answer(loop, monkeypatch):
    lo = loop()
    Faulty(monkeypatch, "connect_ex", [errno.ENETUNREACH] * 10_000)
    client = lo.client(OPEN)
    lo.reactor.pass_time(1.25, step=0.01)
    assert answers(client)[0][0].startswith(b"BUSY")


# recv(2): a look that the machine has no memory for is no end of the client
@pytest.mark.parametrize("number", [errno.ENOMEM, errno.ENOBUFS])
def test_a_look_at_a_client_that_fails_for_a_moment_does_not_lose_it(loop, monkeypatch, number):
    lo = loop()
    client, s = lo.taken()
    lo.hold(s)
    Faulty(monkeypatch, "recv", [number])
    lo.comes_up(s)
    monkeypatch.undo()
    lo.hosts[0].accepted[-1].send(b"UP r1\r\n")
    lo.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "")


@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_a_client_whose_connection_has_broken_is_sent_nowhere(loop, monkeypatch, number):
    lo = loop()
    _, s = lo.taken()
    host = lo.hold(s)
    Faulty(monkeypatch, "recv", [number])
    lo.comes_up(s)
    assert read_all(host)[0] == b"" and not lo.handler.sessions.by_index


# setsockopt(2) on a connection that has broken by the time that it is accepted
def test_a_client_that_is_gone_as_it_is_let_in_is_counted_out_again(loop, monkeypatch):
    lo = loop()
    Faulty(monkeypatch, "setsockopt", [errno.EINVAL])
    client = lo.client()
    lo.reactor.until(lambda: lo.handler.idle_clients)
    client.close()
    lo.reactor.settle()
    assert lo.handler.budget.client_connections == 0 and not lo.handler.idle_clients


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
    with logged() as lines:
        service.load_hosts([row("s-0"), row("s-1")], {"bans": ["s-1"]})
    assert service.bans.uids == {"s-1": None} and 1 in d.balancer._node.banned_at
    assert "reason=bans-unwritable" in "".join(lines)


def test_a_ban_that_a_full_disk_did_not_take_leaves_the_file_before_whole(tmp_path, monkeypatch):
    bans = Bans(str(tmp_path))
    bans.apply(BanChange("s-0", True))
    bans.save()
    with monkeypatch.context() as full:
        full.setattr("caperdeck.ops.bans.os.rename", lambda *_: raised(errno.ENOSPC))
        bans.apply(BanChange("s-1", True))
        with pytest.raises(BansError, match="No space"):
            bans.save()
    again = Bans(str(tmp_path))
    again.load()
    assert again.uids == {"s-0": None} and bans.uids == {"s-0": None, "s-1": None}
    assert [path.name for path in tmp_path.iterdir()] == [FILE_NAME]
    bans.save()
    again.load()
    assert again.uids == {"s-0": None, "s-1": None}


# ---- the end of a process, and of a connection that rests


@pytest.fixture
def stopping(loop, tmp_path):
    """A service over a loopback desk that has been told to end; the longest wait of a client is 1.2 s."""
    lo = loop(mostDials=1)
    service = service_over(lo.handler, tmp_path)
    service.port, service.takes_clients = lo.port, True
    lo.reactor.stop = lambda: None
    service.stop()
    return lo, service


KILLED = 1.2 + 0.7  # seconds after SIGTERM at the earliest


def pass_while_hosts_hang(lo, seconds):
    """Time goes on; no host answers."""
    end = lo.reactor.now + seconds
    while lo.reactor.now < end:
        lo.reactor.pass_time(0.01, step=0.01)
        lo.handler.last_turn_at = lo.handler.read_clock()


@pytest.mark.parametrize("at", [0.0, 0.6, 1.0, 1.15, 1.39, 1.6, 1.8])
def test_a_request_that_comes_while_the_process_ends_is_answered_before_the_earliest_kill(stopping, at):
    lo, service = stopping
    before = lo.client(OPEN)  # holds the port open
    pass_while_hosts_hang(lo, at)
    client = lo.client(opening(1))
    pass_while_hosts_hang(lo, KILLED - at - 0.05)
    assert not lo.handler.sessions.by_index
    for each in (before, client):
        (line,), end = answers(each)
        assert line.split()[0] in (b"BUSY", b"ERR") and end == "end"


def test_a_session_that_fails_to_move_does_not_keep_the_process_from_ending(tmp_path, monkeypatch):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    bad, good = up(d)[0], up(d)[0]
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
        lost(client)
    for _ in range(40):
        d.reactor.advance(0.05)
    assert ended


def test_a_configuration_that_comes_after_the_stop_does_not_put_it_off(stopping, tmp_path):
    lo, service = stopping
    longer = SETUP | {"listeners": [SETUP["listeners"][0] | {"hardLimit": 30.0}]}
    (tmp_path / "c").write_text(json.dumps(CONFIG | {"admin_addr": "127.0.0.1:9100", "settings": longer}))
    service.reload()
    assert service.config.limits.max_client_wait == 30_000.0
    service.stop()
    clients = [lo.client(opening(n)) for n in range(40)]
    serve_all(lo, KILLED - 0.05)
    assert all(answers(client) == ([b"UP r1", b"MOVE"], "end") for client in clients)


def test_a_session_whose_timer_was_lost_is_answered_all_the_same():
    d = make_handler(mostDials=1)
    client = connect(d, opening(1))
    (s,) = d.sessions.by_index.values()
    s.dial_timer.cancel()
    with logged() as lines:
        for _ in range(8):
            d.reactor.advance(0.25)
            d.sweep()
    assert client.transport.lines() == [b"ERR"] and not d.sessions.by_index
    assert "reason=overdue" in "".join(lines) and d.metrics.overdue_answers == 1


def test_why_sessions_and_dials_ended_is_told_in_the_log_and_in_the_figures():
    d = make_handler(mostDials=1)
    with logged() as lines:
        connect(d, opening(1))
        for _ in range(12):
            d.reactor.advance(0.25)
            d.sweep()
    (line,) = [line for line in lines if line.startswith("dial id=")]
    assert "dial=0 host=s-" in line and "outcome=unreached sent=False ms=" in line
    told = d.metrics.lines(d.gauges())
    assert 'app_failed_dials_total{outcome="unreached"} 1' in told
    assert any(text.startswith('app_ended_total{reason="refused"} 1') for text in told)
