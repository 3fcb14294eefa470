"""Configuration, the facade's calls, logging, reloads, the stop, and a node as a process."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import conftest
import pytest
from conftest import known_red
from helpers import (
    CONFIG, OPEN_LINE, SETUP, START, accept, answer_as_host, captured_log, connect, establish, free_ports,
    host_row, make_handler, make_settings, serve_host_list, serve_lines, service_over, write_config,
)  # fmt: skip

from caperdeck.core.facade import (
    Balancer, ClientDisconnected, Connect, DialEnded, ProbeCompleted, ProbeHost, RedirectClient,
    RefuseSession, RosterUpdated, SessionEstablished,
)  # fmt: skip
from caperdeck.core.model import HostState, LoadReport, Outcome, RosterEntry
from caperdeck.lifecycle.config import ConfigError, load_config
from caperdeck.lifecycle.logs import MAX_PENDING_BYTES, Sink
from caperdeck.state.addresses import Address

# ---- the facade


def balancer(hosts=2, **changes):
    b = Balancer(make_settings(**changes), START)
    b.handle_event(
        START,
        RosterUpdated(True, [RosterEntry(h, HostState.RUNNING, 1.0, 0, 0, 0.0, h) for h in range(hosts)]),
    )
    return b


def test_a_session_that_waits_for_probes_is_placed_by_their_results():
    b = balancer()
    probes = b.open_session(START, 0, 0, -1, 1200.0)
    assert {type(command) for command in probes} == {ProbeHost} and len(probes) == 2
    assert b.handle_event(START + 1, ProbeCompleted(probes[0].host, Outcome.GOOD, LoadReport(0.5))) == []
    commands = b.handle_event(START + 2, ProbeCompleted(probes[1].host, Outcome.GOOD, LoadReport(0.2)))
    assert [(type(c), c.dial, c.host) for c in commands] == [(Connect, 0, probes[1].host)]


def test_a_session_whose_probes_are_not_answered_is_refused_by_a_timer():
    b = balancer(hosts=1, max_dials=2)
    b.open_session(START, 0, 0, -1, 1200.0)
    commands, now = [], START
    while not commands and now < START + 1200:
        now = b.next_timer_at
        commands = [c for c in b.run_timers(now) if not isinstance(c, ProbeHost)]
    assert [type(c) for c in commands] == [RefuseSession]


def test_dials_are_numbered_and_a_session_leaves_nothing_behind():
    b = balancer(may_probe=False)
    first = b.open_session(START, 0, 0, -1, 1200.0)[0]
    second = b.handle_event(START, DialEnded(0, first.dial, Outcome.ERROR, False))[0]
    assert (first.dial, second.dial) == (0, 1)
    b.handle_event(START, SessionEstablished(0))
    b.handle_event(START, DialEnded(0, 1, Outcome.GOOD, True))
    b.open_session(START, 1, 0, -1, 1200.0)
    b.handle_event(START, ClientDisconnected(1))
    assert not b._dials


def test_clients_of_an_overloaded_host_are_redirected():
    b = balancer()
    for i in range(10):
        b.resume_session(START - 60000, i, 0, -1, 0, 10.0)
    b.run_timers(START)
    commands = b.handle_event(START, ProbeCompleted(0, Outcome.GOOD, LoadReport(1.5)))
    assert commands and {type(command) for command in commands} == {RedirectClient}


# ---- configuration


def test_a_configuration_is_read_completely(tmp_path):
    config = load_config(write_config(tmp_path / "c", CONFIG))
    assert (config.listen, config.sockets, config.known_revision) == (Address("127.0.0.1", 9000), 256, 41)
    assert config.settings.seed == 0x8C1F30D27A5BE964 and config.names.listeners == {"chat": 0}


@pytest.mark.parametrize("change, word", [
    ("{", "no JSON"), ("[]", "no JSON object"), ({"listen": "here"}, "here"), ({"settings": {}}, "limits"),
    ({"settings": SETUP | {"listeners": []}}, "listeners"), ({"seed": "xyz"}, "wrong kind"),
    ({"limits": {"sockets": 8}}, "sockets"), ({"known": 7}, "wrong kind"), ({"discovery": None}, "address"),
    ({"settings": SETUP | {"listeners": [{"name": "a", "effect": "maybe", "handshakeTarget": 1}]}}, "maybe"),
])  # fmt: skip
def test_a_bad_configuration_has_a_named_reason(tmp_path, change, word):
    with pytest.raises(ConfigError, match=word):
        load_config(write_config(tmp_path / "c", change if isinstance(change, str) else CONFIG | change))


def test_a_missing_configuration_is_named():
    with pytest.raises(ConfigError, match="EDGE_CONFIG"):
        load_config({})
    with pytest.raises(ConfigError, match="No such file"):
        load_config({"EDGE_CONFIG": "/nowhere/at/all"})


# ---- logging


def test_a_log_that_is_not_read_neither_blocks_nor_grows():
    read, written = os.pipe()
    os.set_blocking(written, False)
    sink = Sink(written)
    for _ in range(3000):
        sink("x" * 1000)
    assert sink.pending_bytes <= MAX_PENDING_BYTES and sink.dropped_lines > 0
    os.close(read)
    os.close(written)


# ---- a new configuration


def test_a_reload_applies_another_discovery_and_other_limits_and_keeps_the_sessions(tmp_path):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    client, host = establish(d)
    service.discovery.start()
    write_config(
        tmp_path / "c", CONFIG | {"discovery": "127.0.0.2:8600", "limits": {"sockets": 512}, "name": "n2"}
    )
    service.reload()
    assert (d.reactor.tcpClients[-1][1], service.discovery.rev) == (8600, 0)
    assert (d.budget.limit, service.config.name, service.config.sockets) == (512, "n1", 512)
    client.dataReceived(b"one\r\n")
    assert host.transport.lines() == [b"one"] and not client.closing
    service.reload()
    assert len(d.reactor.tcpClients) == 3  # the host, both discoveries


@pytest.mark.parametrize("text", ["", "{", "[]", json.dumps(CONFIG | {"discovery": "nowhere"}), None])
def test_an_unusable_file_is_named_and_the_old_one_kept(tmp_path, text):
    d = make_handler()
    service = service_over(d, tmp_path)
    before = service.config
    (tmp_path / "c").unlink()
    if text is None:
        os.mkfifo(tmp_path / "c")
    else:
        write_config(tmp_path / "c", text)
    with captured_log() as log:
        service.reload()
    assert service.config is before and service.discovery.address == "127.0.0.1:8500"
    assert not d.reactor.tcpClients and [line for line in log if "reload reason=unusable" in line]


ROW = SETUP["listeners"][0]


def classes(*rows, **limits):
    """A configuration with these listeners."""
    return CONFIG | {"settings": SETUP | {"listeners": list(rows), "limits": SETUP["limits"] | limits}}


def test_an_added_listener_has_its_own_rules_and_sessions_keep_a_removed_one(tmp_path):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    old, host = establish(d)
    waiting = connect(d, OPEN_LINE.replace(b"9b1f", b"aaaa"))
    once = ROW | {"name": "once", "effect": "at_most_once"}
    write_config(tmp_path / "c", classes(once, mostDials=1))
    service.reload()
    assert connect(d, OPEN_LINE.replace(b"9b1f", b"bbbb")).transport.lines() == [b"ERR"]
    accept(d).dataReceived(
        b"ERR\r\n"
    )  # the waiting session began under a repeatable listener with three dials
    assert not waiting.transport.lines() and len(d.reactor.tcpClients) == 3
    new = connect(d, OPEN_LINE.replace(b"9b1f", b"cccc").replace(b"c=chat", b"c=once"))
    accept(d).dataReceived(b"ERR\r\n")
    assert new.transport.lines() == [b"ERR"]
    old.dataReceived(b"one\r\n")
    assert host.transport.lines() == [b"one"]
    assert d.metrics.answers == {"chat": [1, 0, 1], "once": [0, 0, 1]} and d.metrics.accepted_configs == 1


def test_a_connection_is_resumed_although_its_listener_was_removed(tmp_path):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    client = connect(d, OPEN_LINE + b",at=s-0")
    write_config(tmp_path / "c", classes(ROW | {"name": "other"}))
    service.reload()
    accept(d).dataReceived(b"UP r1\r\n")
    assert client.transport.lines() == [b"UP r1"]


def rules(**values):
    return CONFIG | {"settings": SETUP | {"invariants": SETUP["invariants"] | values}}


@pytest.mark.parametrize("config, field", [
    (classes(ROW | {"memorySpan": -1}), "listeners[0].memorySpan"),
    (classes(ROW | {"memorySpan": float("nan")}), "listeners[0].memorySpan"),
    (classes(ROW, maxRetryAfter=-0.1), "limits.maxRetryAfter"), (rules(coldFrom=0), "invariants.coldFrom"),
    (rules(coldFrom=1.5), "invariants.coldFrom"), (rules(warmAfter=-1), "invariants.warmAfter"),
    (rules(fall=0), "invariants.fall"), (rules(fallMultiple=-2), "invariants.fallMultiple"),
    (rules(askEvery=0), "invariants.askEvery"),
])  # fmt: skip
def test_a_value_out_of_range_is_named(tmp_path, config, field):
    text = json.dumps(config).replace("NaN", '"NaN"')
    with pytest.raises(ConfigError, match=field.replace("[", r"\[")):
        load_config(write_config(tmp_path / "c", text))


LONG = json.dumps(CONFIG)


@pytest.mark.parametrize("text", [
    LONG[: len(LONG) // 2], {k: v for k, v in CONFIG.items() if k != "limits"}, classes(ROW, mostDials=0),
    classes(ROW, mostDials=True), classes(ROW, mostDials=1.5), classes(ROW | {"hardLimit": 0}),
    classes(ROW | {"hardLimit": -1}), classes(ROW | {"handshakeTarget": 0}),
    classes(ROW | {"hardLimit": "1.2"}),
    classes({k: v for k, v in ROW.items() if k != "hardLimit"}), classes(ROW, ROW), classes(),
    CONFIG | {"settings": SETUP | {"invariants": SETUP["invariants"] | {"fall": None}}},
    CONFIG | {"settings": {k: v for k, v in SETUP.items() if k != "projects"}},
    CONFIG | {"settings": SETUP | {"limits": {"mostDials": 3}}},
])  # fmt: skip
def test_a_broken_file_changes_nothing_and_is_counted(tmp_path, text):
    d = make_handler()
    service = service_over(d, tmp_path)
    before = service.config, d.names, d.limits, d.balancer._node.settings
    write_config(tmp_path / "c", text)
    with captured_log() as log:
        service.reload()
    assert before == (service.config, d.names, d.limits, d.balancer._node.settings)
    assert (d.metrics.accepted_configs, d.metrics.rejected_configs) == (0, 1)
    assert any("reload reason=unusable" in x for x in log)


# ---- the stop


def test_a_stopping_node_moves_every_session_before_the_longest_wait_is_over(tmp_path):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    service.stopped_at, d.stopping = d.clock(), True
    sessions = [establish(d) for _ in range(20)]
    front = connect(d)
    service.redirect_some()
    first = sum(client.transport.lines() == [b"MOVE"] for client, _ in sessions)
    d.reactor.pump([0.05] * 24)
    late, _ = establish(d)
    d.reactor.pump([0.05] * 3)
    assert 0 < first < 10 and all(client.transport.lines() == [b"MOVE"] for client, _ in sessions)
    assert late.transport.lines() == [b"MOVE"] and front.closing


@pytest.mark.parametrize("longest, first, last", [(300, 450, 650), (1200, 450, 1400), (2000, 1000, 2200),
                                                  (9000, 2000, 3200)])  # fmt: skip
def test_a_stopping_node_moves_its_sessions_late_but_in_time(tmp_path, monkeypatch, longest, first, last):
    d = make_handler(hosts=1)
    service = service_over(d, tmp_path)
    service.config = replace(service.config, limits=replace(service.config.limits, max_client_wait=longest))
    at, clients = [], [establish(d)[0] for _ in range(20)]
    monkeypatch.setattr(
        d, "redirect", lambda s, reason: at.append(d.clock() - START) or d._end_session(s, reason)
    )
    service.stop()
    d.reactor.pump([0.01] * 400)
    assert len(at) == len(clients) and first <= at[0] <= first + 20 and at[-1] <= last


def test_sweeping_continues_after_an_exception(tmp_path, monkeypatch):
    d = make_handler()
    service = service_over(d, tmp_path)
    swept = []
    monkeypatch.setattr(service, "sweep", lambda: swept.append(1) or 1 // (len(swept) - 1))
    service.start_sweeping()
    d.reactor.pump([0.25] * 5)
    assert len(swept) > 2


# ---- a node as a process


def lines_of(connection):
    return connection.makefile("rb")


def test_a_node_serves_and_moves_its_clients_at_sigterm(tmp_path):
    port, discovery = free_ports(1)[0], serve_host_list(host_row("s-0", port=serve_lines(answer_as_host)))
    config = CONFIG | {"listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}",
                       "known": {"rev": 41, "targets": []}}  # fmt: skip
    environment = os.environ | write_config(tmp_path / "c", config)
    command = [sys.executable, "-m", "caperdeck", "serve"]
    node = subprocess.Popen(command, env=environment, stderr=subprocess.PIPE)
    try:
        assert b"start node=n1" in node.stderr.readline()
        with socket.create_connection(("127.0.0.1", port), 5) as front, \
                socket.create_connection(("127.0.0.1", port), 5) as client:  # fmt: skip
            front.sendall(b"PING\r\n")
            assert lines_of(front).readline() == b"PONG\r\n"
            answers = lines_of(client)
            client.sendall(OPEN_LINE + b"\r\n")
            assert answers.readline() == b"UP r1\r\n"
            client.sendall(b"hello\r\n")
            assert answers.readline() == b"hello\r\n"
            assert len(os.listdir(f"/proc/{node.pid}/task")) == 1  # no name resolution in threads
            node.send_signal(signal.SIGHUP)
            assert b"reload discovery=" in next(line for line in node.stderr if b"end " not in line)
            client.sendall(b"still\r\n")
            assert answers.readline() == b"still\r\n"
            sent = time.monotonic()
            node.send_signal(signal.SIGTERM)
            assert answers.readline() == b"MOVE\r\n" and answers.readline() == b""
            assert 0.4 < time.monotonic() - sent < 1.5
        assert node.wait(5) == 0
        log = node.stderr.read().decode()
        assert "reason=stop class=chat host=s-0" in log and "Traceback" not in log
    finally:
        node.kill()
        node.wait()


def test_a_sigterm_during_the_exit_does_not_change_the_exit_code(tmp_path):
    (port,) = free_ports(1)
    environment = os.environ | write_config(tmp_path / "c", CONFIG | {"listen": f"127.0.0.1:{port}"})
    node = subprocess.Popen(
        [sys.executable, "-m", "caperdeck", "serve"], env=environment, stderr=subprocess.PIPE,
    )  # fmt: skip
    try:
        assert b"start node=n1" in node.stderr.readline()
        while node.poll() is None:
            node.send_signal(signal.SIGTERM)
            time.sleep(0.0005)
        assert node.returncode == 0
    finally:
        node.kill()
        node.wait()
        node.stderr.close()


# ---- the list of known failures


LINE = "tests/test_lifecycle.py::test_x | cause | issue 1"


@pytest.mark.parametrize("text, wrong", [
    ("\n".join(LINE.replace("_x", f"_{n}") for n in range(4)), "4 lines"),
    ("tests/a.py::b | cause", "a line is"), ("a | | issue 1", "a line is"), (f"{LINE}\n{LINE}", "twice"),
])  # fmt: skip
def test_an_invalid_list_of_known_failures_fails_the_run(text, wrong):
    with pytest.raises(pytest.UsageError, match=wrong):
        known_red(text)


RED, GREEN = "def test_red():\n    assert False\n", "def test_green():\n    pass\n"


@pytest.mark.parametrize("tests, name, code", [
    (RED + GREEN, "test_a.py::test_red", 0), (GREEN, "test_a.py::test_green", 1), (RED, "", 1),
    (GREEN, "test_a.py::test_none", 4), (GREEN, "test_b.py::test_green", 4),
])  # fmt: skip
def test_only_a_listed_failure_passes(tmp_path, tests, name, code):
    (tmp_path / "t").mkdir()
    (tmp_path / "t" / "conftest.py").write_text(Path(conftest.__file__).read_text())
    (tmp_path / "t" / "test_a.py").write_text(tests)
    (tmp_path / "KNOWN-RED.txt").write_text(f"t/{name} | cause | issue 1\n" if name else "")
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "--rootdir", ".", "t"]
    environment = os.environ | {"PYTHONPATH": str(ROOT)}
    done = subprocess.run(command, cwd=tmp_path, capture_output=True, text=True, env=environment)
    assert done.returncode == code and (code or "KNOWN RED t/test_a.py::test_red: cause" in done.stdout)


ROOT = Path(__file__).parent.parent


def test_a_start_waits_for_nothing_and_loads_all_modules_before_it_serves(tmp_path):
    # Clients of a new process wait while it loads its modules, which takes half a second as it is.
    code = """
import sys, time
waits = []
time.sleep = waits.append
import caperdeck.__main__
from caperdeck.lifecycle.logs import start_logging
from caperdeck.lifecycle.reactor import install_reactor
from caperdeck.lifecycle.service import Service
reactor = install_reactor()
reactor.callWhenRunning(lambda: print(len(sys.modules)))
reactor.callLater(0.2, lambda: (print(len(sys.modules)), reactor.stop()))
reactor.run(installSignalHandlers=False)
print(len(waits))
"""
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    first, later, waits = map(int, done.stdout.split())
    assert first > 400 and later == first and waits == 0
