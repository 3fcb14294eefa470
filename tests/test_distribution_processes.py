"""Distribution by three instance processes to nodes with the program's connections on real sockets."""

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
import tomli_w
from helpers import CONFIG, close_reactor, free_ports
from twisted.internet.selectreactor import SelectReactor

from caperdeck.distribution import commands
from caperdeck.distribution.publisher_selection import Place, publishers_by_preference
from caperdeck.distribution.connection import WatchConnection
from caperdeck.distribution.messages import Acknowledge, Heartbeat, Subscribe
from caperdeck.distribution.stream import MAX_NODE_FRAME_BYTES, decode_from_publisher, encode
from caperdeck.distribution.subscriber import NO_VERSION, Apply, Leave, State, Subscriber
from caperdeck.distribution.table import MAX_CHANGES_BYTES
from caperdeck.distribution.watch_server import MAX_WATCHES, RESERVED_DESCRIPTORS
from caperdeck.owner.commands import call_instance
from caperdeck.owner.config import load_owners
from caperdeck.owner.process import boottime_ms
from caperdeck.raft.codec import encode_frame

ROOT = Path(__file__).parents[1]
VERSION = {"discovery": CONFIG["discovery"], "settings": {"listeners": CONFIG["settings"]["listeners"]}}
COUNT = 3
PLACES = [Place(f"o{i}", "a", "north") for i in range(COUNT)]


class Instances:
    def __init__(self, folder):
        self.folder, self.ports = folder, free_ports(COUNT)
        addresses = {str(i): f"127.0.0.1:{port}" for i, port in enumerate(self.ports)}
        self.owners_file = folder / "owners.toml"
        self.owners_file.write_text(tomli_w.dumps({"cluster": "t", "instances": addresses}))
        self.owners = load_owners(str(self.owners_file))
        self.files = []
        for i in range(COUNT):
            self.files.append(folder / f"o{i}.toml")
            row = {"cluster": "t", "me": i, "folder": str(folder / f"d{i}"), "instances": addresses}
            self.files[i].write_text(tomli_w.dumps(row))
        self.processes = [self.start(i) for i in range(COUNT)]

    def start(self, i):
        words = [sys.executable, "-B", "-m", "caperdeck", "owner", "serve", f"--config={self.files[i]}"]
        return subprocess.Popen(words, cwd=ROOT, stderr=subprocess.DEVNULL)

    def ask(self, i, do):
        return call_instance(self.owners.instances[i], "t", {"do": do})

    def leader(self):
        """The number of the leader if it is known to have a quorum, else None."""
        for i in range(COUNT):
            if self.processes[i].poll() is None and (said := self.ask(i, "versions")) is not None:
                led = self.ask(i, "status")["leader"]
                return led if said else None
        return None

    def kill(self, i):
        self.processes[i].kill()
        self.processes[i].wait()

    def stop(self):
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()


@pytest.fixture(scope="module")
def instances(tmp_path_factory):
    made = Instances(tmp_path_factory.mktemp("instances"))
    try:
        until(lambda: made.leader() is not None, 20.0)
        yield made
    finally:
        made.stop()


class PausableInstances(Instances):
    """Instances that, on request, suspend themselves between a commit and its first message.

    See held_instance.py.
    """

    def start(self, i):
        words = [sys.executable, "-B", "tests/held_instance.py", str(self.files[i]), f"{self.files[i]}.order"]
        environment = os.environ | {"PYTHONPATH": str(ROOT)}
        return subprocess.Popen(words, cwd=ROOT, env=environment, stderr=subprocess.DEVNULL)

    def hold_at(self, i, revision):
        order = Path(f"{self.files[i]}.order")
        order.with_suffix(".new").write_text(str(revision))
        order.with_suffix(".new").rename(order)

    def is_held(self, i):
        return Path(f"{self.files[i]}.order.held").exists()

    def restart(self, i):
        Path(f"{self.files[i]}.order").unlink()
        self.processes[i] = self.start(i)


class Node:
    """A subscriber over the program's own connection, which activates versions at once."""

    def __init__(self, reactor, instances, name, refuses=(), number=1, places=PLACES):
        self.reactor, self.instances, self.refuses = reactor, instances, refuses
        self.subscriber = Subscriber(Place(name, "a", "north"), places, NO_VERSION, number, 7, boottime_ms())
        self.connection, self.first = None, None
        self.revisions, self.reasons = [], []
        self.received = []  # publisher and message

    @property
    def revision(self):
        return self.subscriber.held.revision

    @property
    def is_current(self):
        return self.subscriber.state(boottime_ms()) is State.CURRENT

    def pump(self):
        if boottime_ms() >= self.subscriber.due:
            self.do(self.subscriber.tick(boottime_ms()))

    def do(self, actions):
        for action in actions:
            if isinstance(action, Apply):
                self.activate(action.version)
            elif isinstance(action, Leave):
                if self.connection is not None:
                    self.connection.close()
            elif isinstance(action.message, Subscribe):
                self.first = action.message
                address = self.instances.owners.instances[int(action.publisher[1:])]
                self.connection = WatchConnection(self.reactor, address, "t", self)
            else:
                self.connection.send(action.message)

    def activate(self, version):
        if version.revision in self.refuses:
            self.do(self.subscriber.refused(boottime_ms(), version.revision, "no such class"))
            return
        self.revisions.append(version.revision)
        self.do(self.subscriber.applied(boottime_ms(), version.revision))

    def opened(self, connection):
        connection.send(self.first)

    def data_received(self, connection):
        pass

    def message_received(self, connection, message):
        self.received.append((self.subscriber.publisher, message))
        self.do(self.subscriber.receive(boottime_ms(), self.subscriber.publisher, message))

    def lost(self, connection, reason):
        self.reasons.append(reason)
        self.do(self.subscriber.lost(boottime_ms(), self.subscriber.publisher))

    def close(self):
        if self.connection is not None:
            self.connection.close()


class Fleet:
    """Nodes that share a reactor, which the test runs."""

    def __init__(self, instances):
        self.reactor, self.instances, self.nodes = SelectReactor(), instances, []
        self.reactor.startRunning(installSignalHandlers=False)

    def node(self, name, **more):
        self.nodes.append(Node(self.reactor, self.instances, name, **more))
        return self.nodes[-1]

    def until(self, what, seconds=9.0):
        def stepped():
            self.reactor.iterate(0.005)
            for node in self.nodes:
                node.pump()
            return what()

        return until(stepped, seconds, 0.0)

    def run_beside(self, do, *args):
        """The result of a blocking call, during which the nodes keep running."""
        return self.result_of(run_in_thread(do, *args))

    def result_of(self, call):
        self.until(call.done, 30.0)
        return call.result()

    def publish(self, document):
        assert self.run_beside(commands.publish, self.instances.owners, document, None) == 0

    def say(self, *words):
        done = self.run_beside(command, *words)
        return done.returncode, done.stdout + done.stderr

    def close(self):
        for node in self.nodes:
            node.close()
        for _ in range(5):
            self.reactor.iterate(0.001)
        close_reactor(self.reactor)


@pytest.fixture
def fleet(instances):
    made = Fleet(instances)
    yield made
    made.close()


def command(*words):
    return subprocess.run([sys.executable, "-B", "-m", "caperdeck", "config", *map(str, words)], cwd=ROOT,
                          capture_output=True, text=True, timeout=30, check=False)  # fmt: skip


def until(what, seconds, pause=0.05):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if got := what():
            return got
        time.sleep(pause)
    raise AssertionError("condition not met in time")


def run_in_thread(do, *args):
    """The future of a blocking call, made in a thread of its own."""
    pool = ThreadPoolExecutor(1)
    call = pool.submit(do, *args)
    pool.shutdown(wait=False)
    return call


def node_that_prefers(i, prefix):
    """The name of a node whose preferred publisher is instance `i`."""
    names = (f"{prefix}{k}" for k in range(100))
    return next(
        n for n in names if publishers_by_preference(Place(n, "a", "north"), PLACES)[0].name == f"o{i}"
    )


def newest(instances):
    return until(lambda: next(filter(None, (instances.ask(i, "versions") for i in range(COUNT))), None), 9.0)


def connected(instances, i):
    return socket.create_connection(instances.owners.instances[i], 5.0)


def read_message(wire):
    length = int.from_bytes(wire.recv(4, socket.MSG_WAITALL), "big")
    return decode_from_publisher(wire.recv(length, socket.MSG_WAITALL), "t")


# ---- commands


def test_a_version_is_published_its_status_is_printed_and_invalid_ones_are_refused(
    instances, fleet, tmp_path
):
    one, two = fleet.node("n0"), fleet.node("n1", refuses=(2,))
    file, names = tmp_path / "version.json", tmp_path / "names"
    file.write_text(json.dumps(VERSION))
    names.write_text("n0\nn1\nn9\n")
    asked = f"--instances={instances.owners_file}"
    code, text = fleet.say("publish", file, asked)
    assert (code, text[:20]) == (0, "revision 1 committed")
    fleet.until(lambda: one.revision == two.revision == 1 and one.is_current and two.is_current)
    assert one.subscriber.held.document == VERSION
    assert fleet.say("publish", file, asked) == (
        2, "caperdeck: changes: none, this document is the newest version\n",
    )  # fmt: skip
    file.write_text(json.dumps(VERSION | {"discovery": "127.0.0.1:8501"}))
    code, text = fleet.say("publish", file, asked, "--on=0")
    assert (code, text) == (2, "caperdeck: on: builds on 0, 1 is the newest\n")
    assert fleet.say("publish", file, asked, "--on=1")[0] == 0
    fleet.until(lambda: one.revision == 2 and two.subscriber.refusal is not None and one.is_current)
    code, text = fleet.say("status", asked, f"--nodes={names}")
    lines = text.splitlines()
    assert code == 0 and lines[:3] == ["revision 2, confirmed", "in force at 1 of 3", "oldest revision 1"]
    assert "refused n1 revision=2 no such class" in lines and "not heard of: n9" in lines
    assert newest(instances)["revision"] == 2


def test_an_oversized_or_unchecked_proposal_is_refused_and_the_next_one_is_committed(instances, fleet):
    address = instances.owners.instances[instances.leader()]
    before = newest(instances)["revision"]
    for command in ({"versions": {"do": "publish"}}, {"work": "x" * (2 << 20)}):
        body = {"do": "propose", "command": command, "client": 2, "serial": 1}
        assert call_instance(address, "t", body) == {"no": "bad-call"}
    changes = [[["a"], "x" * MAX_CHANGES_BYTES]]
    body = {"do": "publish", "on": before, "digest": "", "changes": changes, "client": 4, "serial": 1}
    # None: there was no leader at that moment
    refusal = until(lambda: call_instance(address, "t", body), 9.0)
    assert refusal["refused"].startswith("changes: ")
    assert newest(instances)["revision"] == before
    fleet.publish({"step": "next"})
    assert newest(instances)["revision"] == before + 1


def test_an_instance_takes_as_many_watches_as_its_hard_limit_of_descriptors_allows(tmp_path):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(soft, 512), hard))
    try:
        instances = Instances(tmp_path)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
    try:
        said = until(lambda: instances.ask(0, "status"), 20.0)
        assert said["watches"]["most"] == min(MAX_WATCHES, hard - RESERVED_DESCRIPTORS)
        limits = Path(f"/proc/{instances.processes[0].pid}/limits").read_text()
        (row,) = (line.split() for line in limits.splitlines() if line.startswith("Max open files"))
        assert row[3:5] == [str(hard), str(hard)]
    finally:
        instances.stop()


# ---- frames


@pytest.mark.parametrize("data, reason", [
    (len(b"{").to_bytes(4, "big") + b"{", "no-json"), (b"\xff" * 4, "too-long"),
    (encode(Subscribe("x", "a", "b", 1, 0, "0" * 32, False), "other"), "other-cluster"),
    (encode(Acknowledge("x", 1, 2, 0, "0" * 32, False), "t"), "no-subscription"),
    (encode(Subscribe("x", "a", "b", 1, 0, "0" * 32, False), "t") + b"\x00\x00\xff\xff", "too-long"),
    ((9000).to_bytes(4, "big") + encode_frame("t", "watch", {"a": "x" * 9000})[:9000], "no-json"),
])  # fmt: skip
def test_a_damaged_foreign_or_oversized_frame_is_counted_and_ends_the_connection(instances, data, reason):
    def dropped():
        return instances.ask(0, "status")["dropped"].get(reason, 0)

    before = dropped()
    with connected(instances, 0) as wire:
        wire.settimeout(5.0)
        wire.sendall(data)
        try:
            while wire.recv(65536):
                pass
        except ConnectionResetError:
            pass
    assert dropped() == before + 1
    assert MAX_NODE_FRAME_BYTES < 0xFFFF


# ---- faults


def test_a_slow_reader_delays_no_other_node_and_is_disconnected(instances, fleet):
    """The node reads one byte a second and reports nothing."""
    at = instances.leader()
    quick = fleet.node(node_that_prefers(at, "q"))
    start = newest(instances)["revision"]
    with socket.socket() as slow:
        slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        slow.connect(instances.owners.instances[at])
        slow.settimeout(1.0)
        slow.sendall(encode(Subscribe("slow", "a", "north", 1, 0, "0" * 32, True), "t"))
        for k in (1, 2, 3):
            fleet.publish({"big": str(k) * (1 << 20)})
            fleet.until(lambda k=k: quick.revision == start + k, 4.0)
            slow.recv(1)
        said = instances.ask(at, "distribution")
        assert [row["revision"] for row in said["rows"] if row["node"] == "slow"] == [0]

        def ended():
            rows = instances.ask(at, "distribution")["rows"]
            return all(row["node"] != "slow" for row in rows)

        fleet.until(lambda: fleet.run_beside(ended), 15.0)
    assert quick.revisions == sorted(set(quick.revisions)) and not quick.reasons


def test_a_suspended_instance_resumes_with_old_data_that_no_node_takes_for_new(instances, fleet):
    at = (instances.leader() + 1) % COUNT
    node = fleet.node(node_that_prefers(at, "s"))
    fleet.publish({"step": 0})
    first = newest(instances)["revision"]
    fleet.until(lambda: node.revision == first and node.is_current)
    with connected(instances, at) as wire:
        wire.settimeout(9.0)
        wire.sendall(
            encode(Subscribe("raw", "a", "north", 1, first, node.subscriber.held.digest, False), "t")
        )
        while not isinstance(read_message(wire), Heartbeat):
            pass
        instances.processes[at].send_signal(signal.SIGSTOP)
        try:
            fleet.publish({"step": 1})
            fleet.until(lambda: node.revision == first + 1 and node.is_current)
            wire.sendall(encode(Acknowledge("raw", 1, 2, first, node.subscriber.held.digest, False), "t"))
            # longer than a confirmation is valid
            end = boottime_ms() + 2500.0
            fleet.until(lambda: boottime_ms() > end)
        finally:
            instances.processes[at].send_signal(signal.SIGCONT)
        received = read_message(wire)
        while not isinstance(received, Heartbeat):
            received = read_message(wire)
    assert received.number == 2 and (received.age is None or received.revision == first + 1)
    fleet.publish({"step": 2})
    fleet.until(lambda: node.revision == first + 2 and node.is_current)
    assert node.revisions == sorted(set(node.revisions))
    until(lambda: (said := instances.ask(at, "distribution")) and said["revision"] == first + 2, 9.0)


def test_a_version_survives_a_leader_killed_between_commit_and_its_first_message(tmp_path):
    """The leader suspends itself at that moment and is killed then."""
    instances = PausableInstances(tmp_path)
    fleet = Fleet(instances)
    try:
        until(lambda: instances.leader() is not None, 20.0)
        fleet.publish({"step": 0})
        leader = instances.leader()
        nodes = [fleet.node(node_that_prefers(i, "c")) for i in range(COUNT)]
        fleet.until(lambda: all(node.revision == 1 and node.is_current for node in nodes))
        assert nodes[leader].subscriber.publisher == f"o{leader}"
        instances.hold_at(leader, 2)
        publishing = run_in_thread(commands.publish, instances.owners, {"step": 1}, None)
        fleet.until(lambda: instances.is_held(leader))
        instances.kill(leader)
        code, text = fleet.say("status", f"--instances={instances.owners_file}")
        assert "revision 1, confirmed" not in text and (code == 1 or "revision 2, confirmed" in text)
        fleet.until(lambda: all(node.revision == 2 and node.is_current for node in nodes))
        # Until it died the publisher sent nothing beyond revision 1; its nodes got revision 2 from others.
        assert all(
            getattr(message, "revision", 0) < 2
            for node in nodes
            for publisher, message in node.received
            if publisher == f"o{leader}"
        )
        # The answer of the call was lost too; the retry with the same numbers was not committed twice.
        assert fleet.result_of(publishing) == 0 and newest(instances)["revision"] == 2
        fleet.publish({"step": 2})
        instances.restart(leader)
        fleet.until(lambda: all(node.revision == 3 and node.is_current for node in nodes))
        until(lambda: (said := instances.ask(leader, "distribution")) and said["revision"] == 3, 15.0)
        assert all(node.revisions == [1, 2, 3] for node in nodes)
    finally:
        fleet.close()
        instances.stop()


def test_a_version_survives_a_leader_killed_right_after_the_commit(instances, fleet):
    leader = instances.leader()
    node = fleet.node(node_that_prefers(leader, "k"))
    fleet.publish({"step": 10})
    before = newest(instances)["revision"]
    fleet.until(lambda: node.revision == before and node.is_current)
    # The nodes do not run between the commit and the leader's death.
    assert commands.publish(instances.owners, {"step": 11}, None) == 0
    instances.kill(leader)
    fleet.until(lambda: node.revision == before + 1 and node.subscriber.publisher not in (None, f"o{leader}"))
    fleet.until(lambda: node.is_current)
    fleet.publish({"step": 12})
    fleet.until(lambda: node.revision == before + 2)
    instances.processes[leader] = instances.start(leader)
    until(lambda: (said := instances.ask(leader, "distribution")) and said["revision"] == before + 2, 15.0)
    assert node.revisions == sorted(set(node.revisions))
