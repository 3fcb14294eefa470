"""System calls and disk writes that fail for a moment, in the ways that Linux documents.

These guard against transient errors that are taken for something else, such as a failure of the other side or
the end of a client. None was seen in service; they come from a review of waits and error handling in all
modules. On the program before that review, 24 of 45 cases failed.
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

from caperdeck.ops.bans import FILE_NAME, BanChange, Bans, BansError
from caperdeck.state.errors import MAX_RETRIES, call_with_retries


@pytest.fixture
def loop():
    yield from closing_factory(LoopbackNode)


class FailingSocketCall:
    """Makes a method of all sockets fail with these errors, one per call, before it works."""

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


# accept(2): lack of local resources, and errors of the accepted connection
ACCEPT = [
    errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.EPERM,
    errno.ENETDOWN, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.EOPNOTSUPP,
]  # fmt: skip


@pytest.mark.parametrize("number", ACCEPT)
def test_queued_clients_are_served_once_accept_works_again(loop, monkeypatch, number):
    loopback = loop()
    faulty = FailingSocketCall(monkeypatch, "accept", [number])
    client = loopback.client(OPEN_LINE)
    loopback.reactor.advance_in_steps(0.1, step=0.01)
    loopback.accept_at_host().send(b"UP r1\r\n")
    loopback.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "") and faulty.calls > 1


def test_reactor_does_not_busy_loop_while_accept_fails(loop, monkeypatch):
    loopback = loop()
    faulty = FailingSocketCall(monkeypatch, "accept", [errno.ENFILE] * 100)
    client = loopback.client(OPEN_LINE)
    loopback.reactor.settle(50)
    assert faulty.calls == 1 and read_all(client) == (b"", "")


# Guards against a busy loop on a port with waiting clients while no descriptor is free.
def test_reactor_does_not_busy_loop_on_a_port_without_descriptors(loop, monkeypatch):
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


def test_port_is_not_closed_while_accept_fails_for_queued_clients(loop, monkeypatch, tmp_path):
    loopback = loop()
    service = service_over(loopback.handler, tmp_path)
    service.port, service.takes_clients, ended = loopback.port, True, []
    loopback.reactor.stop = lambda: ended.append(loopback.reactor.now)
    service.stop()
    serve_all(loopback, 0.8)
    with loopback.reactor.unmonitored(loopback.port):
        client = loopback.client(OPEN_LINE)
        FailingSocketCall(monkeypatch, "accept", [errno.ENFILE])
        service.stopped_at -= 10_000
        service.redirect_some()
    serve_all(loopback, 2.5)
    assert answers(client) == ([b"UP r1", b"MOVE"], "end") and ended


# connect(2) and socket(2)
CONNECT = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ENOMEM, errno.ENETDOWN, errno.EINTR]


@pytest.mark.parametrize("number", CONNECT)
def test_transient_connect_error_uses_up_no_dial_and_blames_no_host(loop, monkeypatch, number):
    loopback = loop(mostDials=2)
    FailingSocketCall(monkeypatch, "connect_ex", [number] * 4)
    client, session = loopback.open_session()
    loopback.reactor.advance_in_steps(0.12, step=0.01)
    loopback.accept_at_host().send(b"UP r1\r\n")
    loopback.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "") and session.dial == 0
    assert loopback.handler.balancer._node.failure_score == [0.0]


@pytest.mark.parametrize("number", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_dial_is_retried_when_no_socket_can_be_created_for_a_moment(loop, monkeypatch, number):
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


def test_client_is_answered_when_the_network_stays_unreachable(loop, monkeypatch):
    loopback = loop()
    FailingSocketCall(monkeypatch, "connect_ex", [errno.ENETUNREACH] * 10_000)
    client = loopback.client(OPEN_LINE)
    loopback.reactor.advance_in_steps(1.25, step=0.01)
    assert answers(client)[0][0].startswith(b"BUSY")


# recv(2): a peek that fails for lack of memory is not the end of the client
@pytest.mark.parametrize("number", [errno.ENOMEM, errno.ENOBUFS])
def test_transient_error_of_a_peek_does_not_lose_the_client(loop, monkeypatch, number):
    loopback = loop()
    client, session = loopback.open_session()
    loopback.hold_dial(session)
    FailingSocketCall(monkeypatch, "recv", [number])
    loopback.finish_dial(session)
    monkeypatch.undo()
    loopback.hosts[0].accepted[-1].send(b"UP r1\r\n")
    loopback.reactor.settle()
    assert read_all(client) == (b"UP r1\r\n", "")


@pytest.mark.parametrize("number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_request_of_a_broken_client_connection_is_not_sent(loop, monkeypatch, number):
    loopback = loop()
    _, session = loopback.open_session()
    host = loopback.hold_dial(session)
    FailingSocketCall(monkeypatch, "recv", [number])
    loopback.finish_dial(session)
    assert read_all(host)[0] == b"" and not loopback.handler.sessions.by_index


# setsockopt(2) on a connection that has broken before it is accepted
def test_client_that_is_gone_when_accepted_is_no_longer_counted(loop, monkeypatch):
    loopback = loop()
    FailingSocketCall(monkeypatch, "setsockopt", [errno.EINVAL])
    client = loopback.client()
    loopback.reactor.run_until(lambda: loopback.handler.idle_clients)
    client.close()
    loopback.reactor.settle()
    assert loopback.handler.budget.client_connections == 0 and not loopback.handler.idle_clients


def test_start_retries_transient_errors_only(monkeypatch):
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


# ---- a full disk


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_bans_that_cannot_be_written_are_applied_by_the_new_process(tmp_path, monkeypatch, number):
    handler = make_handler()
    service = service_over(handler, tmp_path)
    monkeypatch.setattr("caperdeck.ops.bans.os.rename", lambda *_: raised(number))
    with captured_log() as lines:
        service.load_hosts([host_row("s-0"), host_row("s-1")], {"bans": ["s-1"]})
    assert service.bans.uids == {"s-1": None} and 1 in handler.balancer._node.banned_at
    assert "reason=bans-unwritable" in "".join(lines)


def test_ban_that_a_full_disk_rejects_leaves_the_old_file_intact(tmp_path, monkeypatch):
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


# ---- stopping a process


@pytest.fixture
def stopping(loop, tmp_path):
    """A loopback node whose service is stopping; clients wait for at most 1.2 s."""
    loopback = loop(mostDials=1)
    service = service_over(loopback.handler, tmp_path)
    service.port, service.takes_clients = loopback.port, True
    loopback.reactor.stop = lambda: None
    service.stop()
    return loopback, service


EARLIEST_KILL_S = 1.2 + 0.7  # after SIGTERM


def pass_while_hosts_hang(loopback, seconds):
    """Moves the clock while no host answers."""
    end = loopback.reactor.now + seconds
    while loopback.reactor.now < end:
        loopback.reactor.advance_in_steps(0.01, step=0.01)
        loopback.handler.last_turn_at = loopback.handler.read_clock()


@pytest.mark.parametrize("at", [0.0, 0.6, 1.0, 1.15, 1.39, 1.6, 1.8])
def test_request_during_a_stop_is_answered_before_the_earliest_kill(stopping, at):
    loopback, service = stopping
    before = loopback.client(OPEN_LINE)  # keeps the port open
    pass_while_hosts_hang(loopback, at)
    client = loopback.client(open_line(1))
    pass_while_hosts_hang(loopback, EARLIEST_KILL_S - at - 0.05)
    assert not loopback.handler.sessions.by_index
    for sock in (before, client):
        (line,), end = answers(sock)
        assert line.split()[0] in (b"BUSY", b"ERR") and end == "end"


def test_session_that_fails_to_redirect_does_not_prevent_the_exit(tmp_path, monkeypatch):
    handler = make_handler(hosts=1)
    service = service_over(handler, tmp_path)
    bad, good = establish(handler)[0], establish(handler)[0]
    move, ended = handler.redirect, []
    service.reactor.stop = lambda: ended.append(True)

    def fails_once(session, reason, failures=[True]):  # noqa: B006
        if session.client is bad and failures:
            raise RuntimeError(failures.pop())
        move(session, reason)

    monkeypatch.setattr(handler, "redirect", fails_once)
    service.stop()
    with suppress(RuntimeError):
        handler.reactor.advance(0.5)
    for _ in range(60):
        handler.reactor.advance(0.05)
    assert good.transport.lines() == bad.transport.lines() == [b"MOVE"]
    for client in (good, bad):
        lose_connection(client)
    for _ in range(40):
        handler.reactor.advance(0.05)
    assert ended


def test_reload_after_a_stop_does_not_delay_the_exit(stopping, tmp_path):
    loopback, service = stopping
    longer = SETUP | {"listeners": [SETUP["listeners"][0] | {"hardLimit": 30.0}]}
    (tmp_path / "c").write_text(json.dumps(CONFIG | {"admin_addr": "127.0.0.1:9100", "settings": longer}))
    service.reload()
    assert service.config.limits.max_client_wait == 30_000.0
    service.stop()
    clients = [loopback.client(open_line(n)) for n in range(40)]
    serve_all(loopback, EARLIEST_KILL_S - 0.05)
    assert all(answers(client) == ([b"UP r1", b"MOVE"], "end") for client in clients)


def test_session_whose_timer_was_lost_is_answered_by_the_sweep():
    handler = make_handler(mostDials=1)
    client = connect(handler, open_line(1))
    (session,) = handler.sessions.by_index.values()
    session.dial_timer.cancel()
    with captured_log() as lines:
        for _ in range(8):
            handler.reactor.advance(0.25)
            handler.sweep()
    assert client.transport.lines() == [b"ERR"] and not handler.sessions.by_index
    assert "reason=overdue" in "".join(lines) and handler.metrics.overdue_answers == 1


def test_reasons_of_ended_sessions_and_dials_are_logged_and_counted():
    handler = make_handler(mostDials=1)
    with captured_log() as lines:
        connect(handler, open_line(1))
        for _ in range(12):
            handler.reactor.advance(0.25)
            handler.sweep()
    (line,) = [line for line in lines if line.startswith("dial id=")]
    assert "dial=0 host=s-" in line and "outcome=unreached sent=False ms=" in line
    metrics = handler.metrics.lines(handler.gauges())
    assert 'app_failed_dials_total{outcome="unreached"} 1' in metrics
    assert any(text.startswith('app_ended_total{reason="refused"} 1') for text in metrics)
