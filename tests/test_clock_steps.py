"""Steps of the wall clock while a node runs, and a wrong wall clock at its start.

Twisted's reactor sets its timers by `time.time`: after a backward step no timer fires until the clock has
caught up, and after a forward step all fire at once. On four nodes whose clocks were set back by 20 s to an
hour, clients that wait 2 s got their final answer after 9 to 30 s, and sessions of vanished hosts ended after
15 s.

Discovery gives start times of hosts in Unix time. A process that started with a clock off by an hour took a
cold host for a warm one, or treated it as cold for the next hour.
"""

import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
from helpers import (
    CONFIG, OPEN_LINE, START, free_ports, host_row, make_handler, serve_host_list, serve_lines, write_config,
)  # fmt: skip

from caperdeck.lab.wall_clock import WallClock
from caperdeck.state.clocks import WallClockMonitor, node_clock
from caperdeck.state.start_times import StartTimes

ROOT = Path(__file__).parents[1]
HOUR_S = 3600.0
CLIENT_WAIT_S = 1.2
SLACK_S = 0.05
RUN = "import sys; from caperdeck.lab.wall_clock import follow_stepped_clock; " \
      "follow_stepped_clock(sys.argv[1])\n" \
      "from caperdeck.__main__ import main; sys.exit(main(['serve']))"  # fmt: skip


class FakePeers:
    """A discovery with one host, which answers each line as the current test says."""

    def __init__(self):
        self.at_host = None
        host = serve_lines(lambda line: self.at_host(line))
        self.discovery = serve_host_list(host_row("s-0", port=host))


class RunningNode:
    """A node process whose wall clock the test can step."""

    def __init__(self, folder, discovery):
        self.clock = WallClock(folder / "wall-clock")
        (self.port,) = free_ports(1)
        config = CONFIG | {"listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery}",
                           "known": {"rev": 41, "targets": []}}  # fmt: skip
        environment = os.environ | write_config(folder / "c", config)
        self.process = subprocess.Popen(
            [sys.executable, "-c", RUN, str(self.clock.path)], env=environment, stderr=subprocess.PIPE
        )
        assert b"start node=n1" in self.process.stderr.readline()

    def client(self):
        return socket.create_connection(("127.0.0.1", self.port), 10)

    def end(self):
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()


@pytest.fixture(scope="module")
def fake_peers():
    return FakePeers()


@pytest.fixture
def run_node(tmp_path, fake_peers):
    nodes = []

    def run(at_host):
        fake_peers.at_host = at_host
        nodes.append(RunningNode(tmp_path, fake_peers.discovery))
        return nodes[-1]

    yield run
    for node in nodes:
        node.end()


class SlowHost:
    """Answers a request line after a delay, or never; sets an event when one has come."""

    def __init__(self, after):
        self.after = after
        self.asked = threading.Event()
        self.requests = 0

    def __call__(self, line):
        if not line.startswith(b"OPEN"):
            return line
        self.requests += 1
        self.asked.set()
        if self.after is None:
            return None
        time.sleep(self.after)
        return b"UP r1\r\n"


@pytest.mark.parametrize("step", [-HOUR_S, -5.0])
def test_client_of_a_hanging_host_is_answered_in_time_after_a_backward_step(run_node, step):
    host = SlowHost(None)
    node = run_node(host)
    with node.client() as client:
        sent = time.monotonic()
        client.sendall(OPEN_LINE + b"\r\n")
        assert host.asked.wait(5)
        node.clock.step_to(step)
        answer = client.makefile("rb").readline()
    assert answer and not answer.startswith(b"UP")
    assert time.monotonic() - sent <= CLIENT_WAIT_S + SLACK_S


@pytest.mark.parametrize("step", [HOUR_S, 5.0])
def test_forward_step_ends_no_wait_early(run_node, step):
    host = SlowHost(0.15)  # less than the time-out of the first dial
    node = run_node(host)
    with node.client() as client, node.client() as other:
        client.sendall(OPEN_LINE + b"\r\n")
        assert host.asked.wait(5)
        node.clock.step_to(step)
        other.sendall(b"PING\r\n")  # wakes the node before the host answers
        assert other.makefile("rb").readline() == b"PONG\r\n"
        assert client.makefile("rb").readline() == b"UP r1\r\n"
    assert host.requests == 1


@pytest.mark.parametrize("step", [-HOUR_S, HOUR_S])
def test_duration_of_a_stop_does_not_depend_on_the_wall_clock(run_node, step):
    node = run_node(SlowHost(0.0))
    with node.client() as client:
        answers = client.makefile("rb")
        client.sendall(OPEN_LINE + b"\r\n")
        assert answers.readline() == b"UP r1\r\n"
        sent = time.monotonic()
        node.process.send_signal(signal.SIGTERM)
        assert b"stop sessions=1" in node.process.stderr.readline()
        node.clock.step_to(step)
        assert answers.readline() == b"MOVE\r\n"
        assert 0.4 < time.monotonic() - sent < CLIENT_WAIT_S + 0.3
    assert node.process.wait(5) == 0


def test_session_of_a_vanished_host_is_ended_in_time_after_a_backward_step(run_node):
    vanished = threading.Event()

    def at_host(line):
        if line.startswith(b"OPEN"):
            return b"UP r1\r\n"
        return None if vanished.is_set() else line

    node = run_node(at_host)
    with node.client() as client:
        answers = client.makefile("rb")
        client.sendall(OPEN_LINE + b"\r\n")
        assert answers.readline() == b"UP r1\r\n"
        vanished.set()
        node.clock.step_to(-HOUR_S)
        sent = time.monotonic()
        client.sendall(b"say\r\n")
        assert answers.readline() == b"MOVE\r\n"
        assert time.monotonic() - sent < 3.0


# ---- starts of hosts

NOW = START + 50_000.0
BOOT = 1_780_000_000_000.0


def observed_age_and_warmth(wall_clock_error, true_age=1000.0, whole=False):
    """The age and warmth that a node with this error of its wall clock gives a host of this true age."""
    handler = make_handler(hosts=1)
    handler.hosts.start_times.set_wall_clock_offset(BOOT - handler.clock() + wall_clock_error)
    handler.update_roster(whole, [host_row("s-0"), host_row("s-9", boot=BOOT - true_age)])
    node, h = handler.balancer._node, handler.hosts.index_by_uid["s-9"]
    return handler.clock() - node.started_at[h], node._warm_share(handler.clock(), h)


@pytest.mark.parametrize(
    "wall_clock_error", [-HOUR_S * 1000, -20_000.0, -5000.0, 5000.0, 20_000.0, HOUR_S * 1000]
)
def test_newly_started_host_is_cold_whatever_the_wall_clock(wall_clock_error):
    age, warmth = observed_age_and_warmth(wall_clock_error)
    assert 0.0 <= age <= 1000.0 and warmth < 0.4


@pytest.mark.parametrize("wall_clock_error", [-HOUR_S * 1000, -20_000.0, 20_000.0, HOUR_S * 1000])
def test_cold_host_is_not_taken_for_warm_when_the_process_starts_with_a_wrong_clock(wall_clock_error):
    age, warmth = observed_age_and_warmth(wall_clock_error, whole=True)
    assert 0.0 <= age <= 1000.0 and warmth < 0.4


def test_wall_clock_that_agrees_with_discovery_is_trusted():
    assert observed_age_and_warmth(0.0, 3000.0)[0] == pytest.approx(3000.0)
    assert observed_age_and_warmth(0.0, 7000.0, whole=True)[0] == pytest.approx(7000.0)


def test_warm_up_takes_its_time_with_a_clock_an_hour_behind():
    handler = make_handler(hosts=1)
    handler.hosts.start_times.set_wall_clock_offset(BOOT - handler.clock() - HOUR_S * 1000)
    handler.update_roster(False, [host_row("s-9", boot=BOOT)])
    handler.reactor.advance(8.1)
    assert handler.balancer._node._warm_share(handler.clock(), 1) == 1.0


def test_starts_in_one_message_keep_their_distances():
    starts = StartTimes()
    starts.observe(NOW, True, {0: BOOT, 1: BOOT - 5000.0, 2: 0.0})
    assert [starts.node_time(0, BOOT), starts.node_time(1, BOOT - 5000.0), starts.node_time(2, 0.0)] == [
        NOW,
        NOW - 5000.0,
        0.0,
    ]
    starts.observe(NOW + 9000.0, False, {0: BOOT, 1: BOOT + 8000.0})
    assert (starts.node_time(0, BOOT), starts.node_time(1, BOOT + 8000.0)) == (NOW, NOW + 8000.0)


def test_starts_of_a_saved_list_are_mapped_anew_by_discovery():
    starts = StartTimes()
    starts.set_wall_clock_offset(BOOT + 20_500.0 - NOW)
    starts.observe(NOW, True, {0: BOOT, 1: BOOT - 2000.0})
    assert starts.node_time(0, BOOT) == NOW  # a list that may be old says little about the clock
    starts.mark_as_saved()
    starts.observe(NOW + 300.0, True, {0: BOOT, 1: BOOT - 2000.0, 2: BOOT + 20_000.0})
    assert starts.node_time(2, BOOT + 20_000.0) == NOW - 500.0 and starts.node_time(0, BOOT) == NOW - 20_500.0


def test_processes_of_one_node_share_the_clock_and_the_starts(monkeypatch):
    before = make_handler(hosts=1)
    before.update_roster(False, [host_row("s-9", boot=BOOT)])
    read = node_clock()
    monkeypatch.setattr("time.time", lambda: 0.0)
    assert 0 <= node_clock() - read < 1000.0
    after = make_handler(hosts=0)
    after.hosts.import_starts(*before.hosts.export_starts())
    after.reactor.advance(2.0)
    after.update_roster(True, before.hosts.export_rows())
    age = after.clock() - after.balancer._node.started_at[after.hosts.index_by_uid["s-9"]]
    assert age == pytest.approx(2000.0)


# ---- no other module reads the wall clock

WALL_CLOCK_READS = {"caperdeck/state/clocks.py": 1, "caperdeck/lab/real.py": 2, "caperdeck/lab/launch.py": 2,
                     "caperdeck/lab/wall_clock.py": 2, "caperdeck/lab/slopes/record.py": 3}  # fmt: skip
WALL_CLOCK = re.compile(
    r"time\.time\b(?!\w)|datetime|localtime|gmtime|CLOCK_REALTIME|internet import reactor"
)


def test_no_duration_is_measured_by_the_wall_clock():
    found = {}
    for path in (ROOT / "caperdeck").rglob("*.py"):
        code = "\n".join(line.partition("#")[0] for line in path.read_text().splitlines())
        code = re.sub(r'"""[\s\S]*?"""|`[^`]*`', "", code)
        if hits := len(WALL_CLOCK.findall(code)):
            found[str(path.relative_to(ROOT))] = hits
    assert found == WALL_CLOCK_READS


def test_process_with_another_reactor_refuses_to_start():
    code = "from twisted.internet import reactor\n" \
           "from caperdeck.lifecycle.reactor import install_reactor\ninstall_reactor()"  # fmt: skip
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert "WallClockReactorError: EPollReactor is installed already" in done.stderr


def test_step_of_the_wall_clock_is_detected_once():
    steady, date = [0.0], [5000.0]
    watch = WallClockMonitor(lambda: steady[0], lambda: date[0])
    for passed, stepped, detected in ((250, 0, None), (250, -HOUR_S * 1000, -HOUR_S * 1000), (250, 0, None),
                                  (250, 150, None), (250, 20_000, 20_000)):  # fmt: skip
        steady[0] += passed
        date[0] += passed + stepped
        assert watch.detect_step() == (None if detected is None else pytest.approx(detected))
    assert watch.step_count == 2
