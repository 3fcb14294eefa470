"""The wall clock of a node's machine is stepped while the node runs, or is wrong as it starts.

Seen: clients with a wait of 2 s had their final answer after 9 to 30 s, and connections whose host had vanished
were ended after 15 s, at four nodes; nothing but what a timer does was late.
How it came about: the date of each of these machines had gone back by 20 s to an hour while dials were out.
Cause: the reactor of the network library sets its timers by `time.time`. After a step back no timer runs until
the date has caught up, after a step forward all run at once.
Proof: the node's log names each instant at which its date steps, and no dial ran out of time from there until
the date stepped forward; the same step on a node between a host that hangs and one client, below, does the same.

Related: starts of hosts are told in Unix time. A process that starts while its date is wrong by an hour took a
cold host for a warm one, or for a cold one for the next hour.
"""

import os
import signal
import socket
import subprocess
import sys
import threading
import time

import pytest
from helpers import CONFIG, OPEN, free_ports, row, serve_lines, serve_list, write

from caperdeck.lab.wall_clock import WallClock

HOUR = 3600.0
WAIT = 1.2  # seconds that the client waits
SLACK = 0.05
RUN = "import sys; from caperdeck.lab.wall_clock import follow; follow(sys.argv[1])\n" \
      "from caperdeck.__main__ import main; sys.exit(main(['serve']))"  # fmt: skip


class RunningNode:
    """A node as a process whose wall clock a test steps; one host answers by what the test hands in."""

    def __init__(self, folder, at_host):
        self.clock = WallClock(folder / "wall-clock")
        (self.port,) = free_ports(1)
        discovery = serve_list(row("s-0", port=serve_lines(at_host)))
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


@pytest.fixture
def run_node(tmp_path):
    nodes = []

    def run(at_host):
        nodes.append(RunningNode(tmp_path, at_host))
        return nodes[-1]

    yield run
    for node in nodes:
        node.end()


class SlowHost:
    """Answers a request line after a while, or never; tells when one has come."""

    def __init__(self, after):
        self.after = after
        self.asked = threading.Event()

    def __call__(self, line):
        if not line.startswith(b"OPEN"):
            return line
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
