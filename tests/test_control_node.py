"""A node with published versions of its configuration.

Service, subscriber and publisher are real; transports and disk are in memory, except where a test says so.
"""

import socket
import subprocess
import sys

import pytest
from helpers import (
    CONFIG, SETUP, START, RecordingTransport, SteppedReactor, captured_log, make_handler, write_config,
)  # fmt: skip
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.protocol import ServerFactory
from twisted.internet.testing import MemoryReactorClock
from twisted.protocols.basic import Int32StringReceiver

from caperdeck.distribution.publisher_selection import Place
from caperdeck.distribution.document import digest
from caperdeck.distribution.messages import Subscribe
from caperdeck.distribution.node import MAX_WRITE_RETRY_MS
from caperdeck.distribution.publisher import Publisher
from caperdeck.distribution.stream import encode, message_from_node
from caperdeck.distribution.subscriber import (
    FIRST_ANSWER_MS,
    PARTIAL_MESSAGE_MS,
    HeldVersion,
    State,
    Subscriber,
)
from caperdeck.distribution.table import VersionTable, publish_command
from caperdeck.distribution.version_file import NUMBER_BLOCK, DiskError, VersionFile, VersionFileError
from caperdeck.lifecycle.config import load_config, reload_config
from caperdeck.lifecycle.control import Control, Instance
from caperdeck.lifecycle.logs import Sink
from caperdeck.lifecycle.published import PublishedConfig
from caperdeck.lifecycle.service import Service
from caperdeck.raft.codec import decode_frame
from caperdeck.state.addresses import Address


ADDRESS = Address("127.0.0.1", 7100)


def fleet_size(nodes):
    return {"settings": {"fleetSize": nodes}}


class FakeTransport(RecordingTransport):
    def setsockopt(self, *_):
        pass


class FakeDisk:
    """Makes calls at once. While delayed it keeps their results back; while it is full all calls fail."""

    def __init__(self):
        self.delayed, self.full, self.pending_results = False, False, []

    def __call__(self, call, then):
        try:
            if self.full:
                raise DiskError("version: No space left on device")
            result = call()
        except VersionFileError as error:
            result = error
        self.pending_results.append((then, result))
        if not self.delayed:
            self.deliver_results()

    def deliver_results(self):
        results, self.pending_results = self.pending_results, []
        for then, result in results:
            then(result)


class FakeInstances:
    """One publisher over a table without consensus; it confirms itself unless `confirms` is off."""

    def __init__(self, clock):
        self.clock, self.table, self.confirms = clock, VersionTable(), True
        self.publisher = Publisher("o0", self.table, clock())
        self.send_to = {}  # by node
        self.heard = []

    def publish(self, document):
        newest = self.table.newest.revision
        assert self.table.apply(publish_command(self.table, newest, document, 1)).get("ok")
        self.step()

    def step(self):
        if self.confirms:
            self.publisher.newest_confirmed(self.clock(), self.table.newest.revision)
        self.send(self.publisher.versions_changed(self.clock()))
        self.send(self.publisher.tick(self.clock()))

    def send(self, sends):
        for send in sends:
            if send.node in self.send_to:
                self.send_to[send.node](encode(send.message, "t"))

    def receive(self, frame, write):
        """Takes a node's frame without its length prefix, and the function that writes to that node."""
        message = message_from_node(*decode_frame(frame, "t"), len(frame))
        self.heard.append(message)
        if isinstance(message, Subscribe):
            self.send_to[message.node] = write
        self.send(self.publisher.receive(self.clock(), message))


class NodeUnderTest:
    """One process of a node: its service, with everything around it in memory except the folder."""

    def __init__(self, folder, name="n1", reactor=None, address=ADDRESS, **own):
        self.folder, self.disk = folder, FakeDisk()
        self.reactor = reactor or MemoryReactorClock()
        self.environment = write_config(folder / "c", CONFIG | own | {"name": name})
        place = Place("o0", "z0", "north")
        control = Control("t", Place(name, "z0", "north"), str(folder), {"o0": Instance(place, address)})
        self.published = PublishedConfig(self.reactor, control, self.read_file, self.disk)
        config = self.published.initial_config(load_config(self.environment, keep_file_values=True))
        self.service = Service(
            self.reactor, config, Sink(2), self.published.reread, published=self.published,
        )  # fmt: skip
        self.service.handler = d = make_handler(reactor=self.reactor)
        self.service.clock, self.service.knows = d.clock, True
        self.connections = []

    def read_file(self):
        return reload_config(self.environment, keep_file_values=True)

    def start(self):
        self.published.start(self.service)
        return self

    @property
    def watch(self):
        return self.published.watch

    @property
    def revision(self):
        return self.watch.active.revision

    def run(self, instances, seconds=3.0):
        """Advances the clock and carries the messages between the node and the instances."""
        for _ in range(round(seconds / 0.1)):
            self.reactor.advance(0.1)
            instances.step()
            for _ in range(4):
                self.exchange(instances)
        return self

    def exchange(self, instances):
        for *_, factory, _, _ in self.reactor.tcpClients[len(self.connections) :]:
            connection, wire = factory.buildProtocol(None), FakeTransport()
            self.connections.append((connection, wire))
            connection.makeConnection(wire)
        for connection, wire in self.connections:
            data = wire.value()
            wire.clear()
            while data and not wire.disconnected:
                size = int.from_bytes(data[:4], "big")
                instances.receive(data[4 : 4 + size], connection.dataReceived)
                data = data[4 + size :]

    def lines(self):
        answer = []
        self.service.telemetry(answer.extend)
        return [line for line in answer if line.startswith("app_config_")]


def instances_for(node):
    return FakeInstances(node.service.clock)


def node_with_versions(folder, *documents, **parts):
    """A node on which the newest of these versions is active, and its instances."""
    node = NodeUnderTest(folder, **parts).start()
    instances = instances_for(node)
    for document in documents:
        instances.publish(document)
        node.run(instances)
    assert node.revision == len(documents)
    return node, instances


def test_a_version_is_stored_applied_and_reported(tmp_path):
    node, instances = node_with_versions(tmp_path, fleet_size(5), fleet_size(6))
    assert node.service.config.settings.nodes == 6 and node.watch.state() is State.CURRENT
    assert VersionFile(str(tmp_path), "t", "n1").read().held.document == fleet_size(6)
    (row,) = instances.publisher.status(instances.clock()).rows
    assert (row.node, row.revision, row.stale) == ("n1", 2, False)
    assert node.service.handler.metrics.accepted_configs == 2


def test_the_metrics_report_the_active_and_the_refused_version(tmp_path):
    node, instances = node_with_versions(tmp_path, fleet_size(5))
    lines = node.lines()
    assert [line for line in lines if "confirmed" not in line] == [
        "app_config_revision 1",
        'app_config_state{state="starting"} 0',
        'app_config_state{state="current"} 1',
        'app_config_state{state="stale"} 0',
        'app_config_publisher{name="o0"} 1',
    ]
    name, age = lines[4].split()
    assert name == "app_config_confirmed_ms" and 0 <= int(age) <= 1500
    instances.publish({"listen": "127.0.0.1:1"})
    instances.confirms = False
    node.run(instances, 9.0)
    said = "\n".join(node.lines())
    assert 'refused{revision="2",reason="listen: not for a version to set' in said
    assert 'state="stale"} 1' in said and "publisher" not in said


def test_without_a_control_file_there_are_no_metrics_of_versions(tmp_path):
    node = NodeUnderTest(tmp_path)
    node.service.published = None
    assert node.lines() == []


def test_a_version_refused_by_one_of_two_nodes_is_skipped_there_and_the_next_reaches_both(tmp_path):
    nodes, reactor = [], MemoryReactorClock()
    for name, specifics in (("n1", {}), ("n2", {"specifics": {"messageAim": [0.3, "none"]}})):
        (tmp_path / name).mkdir()
        own = {"settings": SETUP | specifics}
        nodes.append(NodeUnderTest(tmp_path / name, name, reactor, **own).start())
    instances = instances_for(nodes[0])
    nodes[1].connections = nodes[0].connections  # both nodes are on one reactor
    instances.publish(fleet_size(5))
    nodes[0].run(instances)
    row = SETUP["listeners"][0]
    instances.publish({"settings": {"listeners": [row, row | {"name": "second"}]}})
    nodes[0].run(instances)
    assert [node.revision for node in nodes] == [2, 1]
    refused = {r.node: r.refused for r in instances.publisher.status(instances.clock()).rows}
    assert refused["n1"] is None and refused["n2"].revision == 2
    assert refused["n2"].reason.startswith("settings.listeners: a value of the wrong kind")
    assert (
        nodes[1].service.config.settings.nodes == 5 and nodes[1].service.handler.metrics.rejected_configs == 1
    )
    instances.publish(fleet_size(7))
    nodes[0].run(instances)
    assert [node.revision for node in nodes] == [3, 3]


def test_a_restarted_node_serves_from_its_stored_version_and_is_current_once_confirmed(tmp_path):
    _, instances = node_with_versions(tmp_path, fleet_size(5))
    node = NodeUnderTest(tmp_path)
    assert node.service.config.settings.nodes == 5
    node.start()
    assert (node.revision, node.watch.state()) == (1, State.STARTING)
    instances.clock = node.service.clock
    instances.publisher = Publisher("o0", instances.table, instances.clock())
    node.run(instances)
    assert node.watch.state() is State.CURRENT


def test_a_node_that_dies_between_storing_and_applying_starts_with_the_newer_version(tmp_path):
    node, instances = node_with_versions(tmp_path, fleet_size(5))
    node.disk.delayed = True
    instances.publish(fleet_size(6))
    node.run(instances)
    assert node.revision == 1 and node.service.config.settings.nodes == 5
    assert all(message.revision < 2 for message in instances.heard)
    assert NodeUnderTest(tmp_path).service.config.settings.nodes == 6


def test_a_stored_version_that_has_become_unusable_is_refused_and_reported(tmp_path):
    row = SETUP["listeners"][0]
    node_with_versions(tmp_path, {"settings": {"listeners": [row, row | {"name": "second"}]}})
    aims = {"settings": SETUP | {"specifics": {"messageAim": [0.3, "none"]}}}
    with captured_log() as log:
        node = NodeUnderTest(tmp_path, **aims).start()
    assert any("version refused revision=1 settings.listeners: " in line for line in log)
    assert node.revision == 0 and node.watch.subscriber.refusal.revision == 1
    assert node.watch.subscriber.highest == 1  # no older version may replace it


def test_a_reload_during_an_update_waits_for_it_and_both_take_effect(tmp_path):
    node, instances = node_with_versions(tmp_path, fleet_size(5))
    node.disk.delayed = True
    instances.publish(fleet_size(6))
    node.run(instances)
    write_config(tmp_path / "c", CONFIG | {"limits": {"sockets": 512}})
    node.service.reload()
    assert node.service.config.sockets == 256
    node.disk.deliver_results()
    assert (node.service.config.sockets, node.service.config.settings.nodes, node.revision) == (512, 6, 2)


def test_a_reload_merges_the_version_into_the_nodes_file_again(tmp_path):
    node, _ = node_with_versions(tmp_path, fleet_size(5))
    write_config(tmp_path / "c", CONFIG | {"discovery": "127.0.0.1:8600", "limits": {"sockets": 512}})
    node.service.reload()
    config = node.service.config
    assert (config.discovery, config.sockets, config.settings.nodes) == ("127.0.0.1:8600", 512, 5)
    write_config(tmp_path / "c", "{")
    node.service.reload()
    assert node.service.config is config and node.service.handler.metrics.rejected_configs == 1
    write_config(tmp_path / "c", {key: value for key, value in CONFIG.items() if key != "limits"})
    node.service.reload()
    assert node.service.config is config  # the file was truncated


def test_a_version_does_not_supply_the_missing_keys_of_a_truncated_file(tmp_path):
    node, _ = node_with_versions(tmp_path, {"settings": {"projects": [{"name": "acme"}]}})
    config = node.service.config
    short = {key: value for key, value in SETUP.items() if key != "projects"}
    write_config(tmp_path / "c", CONFIG | {"settings": short, "limits": {"sockets": 512}})
    node.service.reload()
    assert node.service.config is config and node.service.handler.metrics.rejected_configs == 1


def test_with_a_full_disk_the_version_is_refused_and_the_node_goes_on_serving(tmp_path):
    node, instances = node_with_versions(tmp_path, fleet_size(5))
    node.disk.full = True
    instances.publish(fleet_size(6))
    node.run(instances)
    (row,) = instances.publisher.status(instances.clock()).rows
    assert (row.revision, row.refused) == (1, (2, "version: No space left on device"))
    assert node.service.config.settings.nodes == 5 and node.watch.state() is not State.STARTING
    node.disk.full = False
    instances.publish(fleet_size(7))
    node.run(instances)
    assert (node.revision, node.service.config.settings.nodes) == (3, 7)


def test_a_version_that_could_not_be_written_is_retried_with_growing_delays(tmp_path):
    node, instances = node_with_versions(tmp_path, fleet_size(5))
    node.disk.full = True
    with captured_log() as log:
        instances.publish(fleet_size(6))
        node.run(instances, 200.0)
    tries = [line for line in log if "version refused revision=2" in line]
    assert len(tries) == 7  # at 0, 5, 15, 35, 75, 135 and 195 s
    node.disk.full = False
    node.run(instances, MAX_WRITE_RETRY_MS / 1000.0)
    assert (node.revision, node.service.config.settings.nodes) == (2, 6)
    assert node.watch.refused is None and node.watch.state() is State.CURRENT
    (row,) = instances.publisher.status(instances.clock()).rows
    assert (row.revision, row.refused) == (2, None)
    assert VersionFile(str(tmp_path), "t", "n1").read().held.revision == 2


def test_write_retries_are_limited_and_end_with_a_newer_version(tmp_path, monkeypatch):
    monkeypatch.setattr("caperdeck.distribution.node.MAX_WRITE_RETRIES", 2)
    node, instances = node_with_versions(tmp_path, fleet_size(5))
    node.disk.full = True
    with captured_log() as log:
        instances.publish(fleet_size(6))
        node.run(instances, 60.0)
        assert sum("version refused revision=2" in line for line in log) == 3
        instances.publish(fleet_size(7))
        node.run(instances, 2.0)
        node.disk.full = False
        instances.publish(fleet_size(8))
        node.run(instances, 30.0)
    assert sum("version refused revision=3" in line for line in log) == 1
    assert (node.revision, node.service.config.settings.nodes) == (4, 8)


@pytest.mark.parametrize("step", ["prepare", "activate"])
def test_after_an_internal_error_the_version_is_refused_and_the_next_one_applied(step, tmp_path, monkeypatch):
    # A version that is neither applied nor refused would block all later ones.
    node, instances = node_with_versions(tmp_path, fleet_size(5))

    def fails(*_):
        raise TypeError("a fault")

    with monkeypatch.context() as patched:
        patched.setattr(node.published, step, fails)
        instances.publish(fleet_size(6))
        node.run(instances)
    (row,) = instances.publisher.status(instances.clock()).rows
    assert row.refused == (2, "internal: TypeError('a fault')")
    instances.publish(fleet_size(7))
    node.run(instances)
    assert (node.revision, node.service.config.settings.nodes) == (3, 7)


def test_a_node_whose_disk_fails_at_the_start_watches_once_it_works(tmp_path):
    node = NodeUnderTest(tmp_path)
    node.disk.full = True
    node.start()
    instances = instances_for(node)
    instances.publish(fleet_size(5))
    node.run(instances)
    assert not instances.heard and node.watch.state() is State.STARTING
    node.disk.full = False
    node.run(instances, 8.0)
    assert node.revision == 1


def test_a_damaged_file_is_reported_and_counts_as_empty(tmp_path):
    node, instances = node_with_versions(tmp_path, fleet_size(5))
    (tmp_path / "version").write_bytes(b"{}")
    with captured_log() as log:
        second = NodeUnderTest(tmp_path)
    assert len([line for line in log if "version reason=file" in line and "damaged" in line]) == 1
    second.reactor.advance(node.reactor.seconds())
    second.start()
    instances.clock = second.service.clock
    second.run(instances)
    assert second.revision == 1


def test_no_message_number_is_used_twice_or_without_being_reserved(tmp_path):
    node, instances = node_with_versions(tmp_path, fleet_size(5))
    node.watch.subscriber.reserve_numbers_from(node.watch.numbers_end - 1)
    node.disk.full = True
    before = len(instances.heard)
    node.run(instances)
    assert len(instances.heard) == before and node.watch.dropped["no-numbers"]
    node.disk.full = False
    node.run(instances, 8.0)
    numbers = [message.number for message in instances.heard]
    assert numbers == sorted(set(numbers)) and len(numbers) > before
    assert numbers[-1] >= START + NUMBER_BLOCK
    highest, node = numbers[-1], NodeUnderTest(tmp_path).start()
    assert node.watch.subscriber.number > highest


def test_a_successor_process_takes_over_the_version(tmp_path):
    old, instances = node_with_versions(tmp_path, fleet_size(5))
    new = NodeUnderTest(tmp_path)
    instances.publish(fleet_size(6))
    old.run(instances)
    old.published.stop()
    assert (new.service.config.settings.nodes, old.watch.subscriber) == (5, None)
    new.start()
    assert (new.revision, new.service.config.settings.nodes) == (2, 6)
    new.published.stop()
    old.start()
    assert old.revision == 2


def test_a_late_write_does_not_undo_the_successors_version(tmp_path):
    old, _ = node_with_versions(tmp_path, fleet_size(5))
    new = VersionFile(str(tmp_path), "t", "n1")
    new.save(HeldVersion(3, digest(fleet_size(7)), fleet_size(7)))
    with pytest.raises(VersionFileError, match="revision 3 is there already"):
        old.published.version_file.save(HeldVersion(2, digest(fleet_size(6)), fleet_size(6)))
    assert new.read().held.revision == 3


def test_a_partial_message_counts_as_an_answer_for_a_limited_time():
    one = Subscriber(Place("n", "z", "r"), [Place("o0", "z", "r")], HeldVersion(0, digest({}), {}), 1, 7, 0.0)
    one.tick(one.due)
    start = one.tried_at
    one.data_received(start + 700.0, "o0")
    assert one.due == start + 700.0 + FIRST_ANSWER_MS
    one.data_received(start + 700.0, "o1")
    one.data_received(start + PARTIAL_MESSAGE_MS + 1.0, "o0")
    assert one.due == start + 700.0 + FIRST_ANSWER_MS


# ---- the active revision never decreases

EVENT_KINDS = [
    "publish",
    "refusable",
    "restart",
    "die-writing",
    "full",
    "free",
    "older",
    "reload",
    "take-over",
]


@settings(max_examples=30, derandomize=True, database=None, deadline=None)
@given(st.lists(st.sampled_from(EVENT_KINDS), min_size=3, max_size=10))
def test_the_active_revision_never_decreases_over_restarts(tmp_path_factory, events):
    folder = tmp_path_factory.mktemp("node")
    node = NodeUnderTest(folder).start()
    instances, seconds, highest = instances_for(node), 0.0, 0
    for count, event in enumerate(events):
        match event:
            case "publish":
                instances.publish(fleet_size(count + 2))
            case "refusable":
                instances.publish({"settings": {"fleetSize": count + 2, "limits": {"mostDials": 0}}})
            case "full" | "free":
                node.disk.full = event == "full"
            case "older":  # an instance that has lost all but its first version
                instances.table = VersionTable()
                instances.publisher = Publisher("o0", instances.table, instances.clock())
                instances.publish(fleet_size(99))
            case "reload":
                node.service.reload()
            case "restart" | "die-writing" | "take-over":
                if event == "die-writing":
                    node.disk.delayed = True
                    instances.publish(fleet_size(count + 2))
                    node.run(instances)
                if event == "take-over":
                    node.published.stop()
                seconds = node.reactor.seconds()
                node = NodeUnderTest(folder)
                node.reactor.advance(seconds)
                node.start()
                instances.clock = node.service.clock
        node.run(instances, 1.5)
        assert node.revision >= highest
        highest = node.revision
        assert (
            node.service.config.settings.nodes
            == node.watch.active.document.get("settings", {"fleetSize": 3})["fleetSize"]
        )


# ---- over sockets


class InstanceConnection(Int32StringReceiver):
    """An instance's end of a watch connection."""

    def stringReceived(self, data):
        self.factory.instances.receive(data, self.transport.write)


def test_versions_arrive_over_loopback_sockets(tmp_path):
    reactor = SteppedReactor()
    factory = ServerFactory.forProtocol(InstanceConnection)
    port = reactor.listenTCP(0, factory, interface="127.0.0.1")
    address = Address("127.0.0.1", port.getHost().port)
    node = NodeUnderTest(tmp_path, reactor=reactor, address=address).start()
    factory.instances = instances = instances_for(node)
    instances.publish(fleet_size(5))

    def until(done):
        for _ in range(400):
            if done():
                return
            instances.step()
            reactor.advance_in_steps(0.05)
        raise AssertionError("the condition never became true")

    until(lambda: node.revision == 1 and node.watch.state() is State.CURRENT)
    assert node.service.config.settings.nodes == 5
    instances.publish({"settings": {"projects": [{"name": "x" * 100 + str(i)} for i in range(9000)]}})
    until(lambda: node.revision == 2)
    node.published.stop()
    port.stopListening()
    with pytest.raises(OSError, match="refused"):
        reactor.settle()
        socket.create_connection(address, 1.0)
    reactor.close()


def test_a_write_in_the_disk_thread_calls_back_in_the_reactor_thread(tmp_path):
    code = f"""
from twisted.internet import reactor
from caperdeck.distribution.node import DiskThread
from caperdeck.distribution.version_file import VersionFile
import threading
disk, file, results = DiskThread(reactor), VersionFile({str(tmp_path)!r}, "t", "n1"), []
def second(result):
    results.append((type(result).__name__, threading.current_thread() is threading.main_thread()))
    reactor.stop()
def first(result):
    results.append((result.first, threading.current_thread() is threading.main_thread()))
    file.path = "/nowhere/version"
    file.folder = "/nowhere"
    disk(lambda: file.reserve(9.0), second)
reactor.callWhenRunning(disk, lambda: file.reserve(7.0), first)
reactor.run()
print(results)
"""
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=30)
    assert done.stdout == "[(7, True), ('DiskError', True)]\n", done.stderr
