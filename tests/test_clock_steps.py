"""The wall clock of a node's machine is stepped while the node runs, or is wrong as it starts.

Seen: clients with a wait of 2 s had their final answer after 9 to 30 s, and connections whose host had
vanished were ended after 15 s, at four nodes; nothing but what a timer does was late.
How it came about: the date of each of these machines had gone back by 20 s to an hour with dials out.
Cause: the reactor of the network library sets its timers by `time.time`. After a step back no timer runs
until the date has caught up, after a step forward all run at once.
Proof: the node's log shows each instant at which its date steps, and no dial ran out of time from there until
the date stepped forward; the same step on a node between a host that hangs and one client does the same here.

Related: starts of hosts are told in Unix time. A process that starts while its date is wrong by an hour took
a cold host for a warm one, or for a cold one for the next hour.
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
from helpers import CONFIG, OPEN, START, make_handler, free_ports, row, serve_lines, serve_list, write

from caperdeck.lab.wall_clock import WallClock
from caperdeck.state.clocks import WallClockMonitor, node_clock
from caperdeck.state.start_times import StartTimes

ROOT = Path(__file__).parents[1]
HOUR = 3600.0
WAIT = 1.2  # seconds that the client waits
SLACK = 0.05
RUN = "import sys; from caperdeck.lab.wall_clock import follow; follow(sys.argv[1])\n" \
      "from caperdeck.__main__ import main; sys.exit(main(['serve']))"  # fmt: skip


class FakeFleet:
    """A discovery whose one host answers each line by what the test at hand says."""

    def __init__(self):
        self.at_host = None
        host = serve_lines(lambda line: self.at_host(line))
        self.discovery = serve_list(row("s-0", port=host))


class RunningNode:
    """A node as a process whose wall clock a test steps."""

    def __init__(self, folder, discovery):
        self.clock = WallClock(folder / "wall-clock")
        (self.port,) = free_ports(1)
        config = CONFIG | {"listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery}",
                           "known": {"rev": 41, "targets": []}}  # fmt: skip
        environment = os.environ | write(folder / "c", config)
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
def stand_ins():
    return FakeFleet()


@pytest.fixture
def run_node(tmp_path, stand_ins):
    nodes = []

    def run(at_host):
        stand_ins.at_host = at_host
        nodes.append(RunningNode(tmp_path, stand_ins.discovery))
        return nodes[-1]

    yield run
    for node in nodes:
        node.end()


class SlowHost:
    """Answers a request line after a while, or never; tells when one has come."""

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


@pytest.mark.parametrize("step", [-HOUR, -5.0])
def test_a_client_of_a_host_that_hangs_is_answered_in_time_after_a_step_back(run_node, step):
    host = SlowHost(None)
    node = run_node(host)
    with node.client() as client:
        sent = time.monotonic()
        client.sendall(OPEN + b"\r\n")
        assert host.asked.wait(5)
        node.clock.step_to(step)
        answer = client.makefile("rb").readline()
    assert answer and not answer.startswith(b"UP")
    assert time.monotonic() - sent <= WAIT + SLACK


@pytest.mark.parametrize("step", [HOUR, 5.0])
def test_a_step_forward_ends_no_wait_before_its_time(run_node, step):
    host = SlowHost(0.15)  # less than the time-out of a first dial
    node = run_node(host)
    with node.client() as client, node.client() as other:
        client.sendall(OPEN + b"\r\n")
        assert host.asked.wait(5)
        node.clock.step_to(step)
        other.sendall(b"PING\r\n")  # wakes the node before the host answers
        assert other.makefile("rb").readline() == b"PONG\r\n"
        assert client.makefile("rb").readline() == b"UP r1\r\n"
    assert host.requests == 1


@pytest.mark.parametrize("step", [-HOUR, HOUR])
def test_a_stop_takes_its_time_whatever_the_date_says(run_node, step):
    node = run_node(SlowHost(0.0))
    with node.client() as client:
        answers = client.makefile("rb")
        client.sendall(OPEN + b"\r\n")
        assert answers.readline() == b"UP r1\r\n"
        sent = time.monotonic()
        node.process.send_signal(signal.SIGTERM)
        assert b"stop sessions=1" in node.process.stderr.readline()
        node.clock.step_to(step)
        assert answers.readline() == b"MOVE\r\n"
        assert 0.4 < time.monotonic() - sent < WAIT + 0.3
    assert node.process.wait(5) == 0


def test_a_connection_whose_host_vanished_is_ended_in_time_after_a_step_back(run_node):
    vanished = threading.Event()

    def at_host(line):
        if line.startswith(b"OPEN"):
            return b"UP r1\r\n"
        return None if vanished.is_set() else line

    node = run_node(at_host)
    with node.client() as client:
        answers = client.makefile("rb")
        client.sendall(OPEN + b"\r\n")
        assert answers.readline() == b"UP r1\r\n"
        vanished.set()
        node.clock.step_to(-HOUR)
        sent = time.monotonic()
        client.sendall(b"say\r\n")
        assert answers.readline() == b"MOVE\r\n"
        assert time.monotonic() - sent < 3.0


# ---- starts of hosts

NOW = START + 50_000.0
BOOT = 1_780_000_000_000.0


def counted_as(date_ahead, true_age=1000.0, whole=False):
    """The age and the warmth of a host that started so long ago, at a node whose date is so much ahead."""
    d = make_handler(hosts=1)
    d.hosts.start_times.set_wall_clock_offset(BOOT - d.clock() + date_ahead)
    d.update_roster(whole, [row("s-0"), row("s-9", boot=BOOT - true_age)])
    node, h = d.balancer._node, d.hosts.index_by_uid["s-9"]
    return d.clock() - node.started_at[h], node._warm_share(d.clock(), h)


@pytest.mark.parametrize("ahead", [-HOUR * 1000, -20_000.0, -5000.0, 5000.0, 20_000.0, HOUR * 1000])
def test_a_host_that_has_just_started_is_cold_whatever_the_date_says(ahead):
    age, warmth = counted_as(ahead)
    assert 0.0 <= age <= 1000.0 and warmth < 0.4


@pytest.mark.parametrize("ahead", [-HOUR * 1000, -20_000.0, 20_000.0, HOUR * 1000])
def test_a_process_that_starts_under_a_wrong_date_takes_no_cold_host_for_a_warm_one(ahead):
    age, warmth = counted_as(ahead, whole=True)
    assert 0.0 <= age <= 1000.0 and warmth < 0.4


def test_a_date_that_fits_what_is_heard_is_believed():
    assert counted_as(0.0, 3000.0)[0] == pytest.approx(3000.0)
    assert counted_as(0.0, 7000.0, whole=True)[0] == pytest.approx(7000.0)


def test_a_host_is_cold_for_as_long_as_it_warms_up_under_a_date_an_hour_behind():
    d = make_handler(hosts=1)
    d.hosts.start_times.set_wall_clock_offset(BOOT - d.clock() - HOUR * 1000)
    d.update_roster(False, [row("s-9", boot=BOOT)])
    d.reactor.advance(8.1)
    assert d.balancer._node._warm_share(d.clock(), 1) == 1.0


def test_starts_heard_of_together_are_told_apart_by_what_discovery_says():
    starts = StartTimes()
    starts.observe(NOW, True, {0: BOOT, 1: BOOT - 5000.0, 2: 0.0})
    assert [starts.node_time(0, BOOT), starts.node_time(1, BOOT - 5000.0), starts.node_time(2, 0.0)] == [
        NOW,
        NOW - 5000.0,
        0.0,
    ]
    starts.observe(NOW + 9000.0, False, {0: BOOT, 1: BOOT + 8000.0})
    assert (starts.node_time(0, BOOT), starts.node_time(1, BOOT + 8000.0)) == (NOW, NOW + 8000.0)


def test_starts_of_a_saved_list_are_placed_anew_by_the_first_that_discovery_tells():
    starts = StartTimes()
    starts.set_wall_clock_offset(BOOT + 20_500.0 - NOW)
    starts.observe(NOW, True, {0: BOOT, 1: BOOT - 2000.0})
    assert starts.node_time(0, BOOT) == NOW  # a list that may be old says little of the date
    starts.mark_as_saved()
    starts.observe(NOW + 300.0, True, {0: BOOT, 1: BOOT - 2000.0, 2: BOOT + 20_000.0})
    assert starts.node_time(2, BOOT + 20_000.0) == NOW - 500.0 and starts.node_time(0, BOOT) == NOW - 20_500.0


def test_another_process_of_the_node_reads_the_same_clock_and_knows_the_same_starts(monkeypatch):
    before = make_handler(hosts=1)
    before.update_roster(False, [row("s-9", boot=BOOT)])
    read = node_clock()
    monkeypatch.setattr("time.time", lambda: 0.0)
    assert 0 <= node_clock() - read < 1000.0
    after = make_handler(hosts=0)
    after.hosts.import_starts(*before.hosts.export_starts())
    after.reactor.advance(2.0)
    after.update_roster(True, before.hosts.export_rows())
    age = after.clock() - after.balancer._node.started_at[after.hosts.index_by_uid["s-9"]]
    assert age == pytest.approx(2000.0)


# ---- nothing but these reads the date

READS_OF_THE_DATE = {"caperdeck/state/clocks.py": 1, "caperdeck/lab/real.py": 2, "caperdeck/lab/launch.py": 2,
                     "caperdeck/lab/wall_clock.py": 2, "caperdeck/lab/slopes/record.py": 3}  # fmt: skip
DATE = re.compile(r"time\.time\b(?!\w)|datetime|localtime|gmtime|CLOCK_REALTIME|internet import reactor")


def test_no_span_of_the_program_is_measured_by_the_date():
    found = {}
    for path in (ROOT / "caperdeck").rglob("*.py"):
        code = "\n".join(line.partition("#")[0] for line in path.read_text().splitlines())
        code = re.sub(r'"""[\s\S]*?"""|`[^`]*`', "", code)
        if hits := len(DATE.findall(code)):
            found[str(path.relative_to(ROOT))] = hits
    assert found == READS_OF_THE_DATE


def test_a_process_that_has_another_reactor_does_not_go_on():
    code = "from twisted.internet import reactor\n" \
           "from caperdeck.lifecycle.reactor import install_reactor\ninstall_reactor()"  # fmt: skip
    done = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True)
    assert "WallClockReactorError: EPollReactor is installed already" in done.stderr


def test_a_step_of_the_date_is_noticed_once_and_a_slow_reading_is_none():
    steady, date = [0.0], [5000.0]
    watch = WallClockMonitor(lambda: steady[0], lambda: date[0])
    for passed, stepped, said in ((250, 0, None), (250, -HOUR * 1000, -HOUR * 1000), (250, 0, None),
                                  (250, 150, None), (250, 20_000, 20_000)):  # fmt: skip
        steady[0] += passed
        date[0] += passed + stepped
        assert watch.detect_step() == (None if said is None else pytest.approx(said))
    assert watch.step_count == 2
