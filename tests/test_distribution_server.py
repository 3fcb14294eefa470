"""Distribution at one instance: the replicated tables, watch connections, confirmations, and commands."""

import json
import socket

import orjson
import pytest
from helpers import CONFIG
from twisted.internet.testing import MemoryReactorClock, StringTransport

from caperdeck.distribution import commands
from caperdeck.distribution.confirmation import READ_INTERVAL_MS, VersionConfirmation
from caperdeck.distribution.document import DocumentError, digest
from caperdeck.distribution.messages import Acknowledge, MessageError, Refusal, Snapshot, Subscribe
from caperdeck.distribution.publisher import (
    CONFIRMATION_VALID_MS,
    TICK_INTERVAL_MS,
    UNANSWERED_VERSION_MS,
    Publisher,
)
from caperdeck.distribution.status import Status, StatusRow, decode_status, encode_status
from caperdeck.distribution.stream import MAX_NODE_FRAME_BYTES, decode_from_publisher, encode
from caperdeck.distribution.table import MAX_CHANGES_BYTES, VersionTable, publish_command
from caperdeck.distribution.watch_server import MAX_UNSENT_BYTES, MAX_REJECTED_CONNECTIONS, WatchServer
from caperdeck.owner.replicated_state import ReplicatedState, wrap_versions_command
from caperdeck.owner.config import OwnerEndpoints
from caperdeck.raft.codec import MAX_FRAME_BYTES, encode_frame
from caperdeck.raft.codec import encode as encode_raft
from caperdeck.raft.core import AppendEntriesRequest
from caperdeck.raft.log import Entry, Kind
from caperdeck.raft.sessions import Sessions
from caperdeck.raft.transport import Network
from caperdeck.state.addresses import Address

EMPTY = digest({})
ACQUIRE = {"work": "hosts", "do": "acquire", "holder": "o1", "span": 1500.0}


def publish(versions, document, term=1):
    answer = versions.apply(publish_command(versions, versions.newest.revision, document, term))
    assert answer["ok"], answer


# ---- the agreed machine


def test_a_command_reaches_only_the_table_of_its_key():
    agreed = ReplicatedState()
    command = publish_command(agreed.versions, 0, {"a": 1}, 1)
    assert agreed.apply(command) == {"no": "no-work-named"}
    assert agreed.apply(wrap_versions_command(ACQUIRE)) == {"no": "do: unknown command"}
    assert agreed.apply(wrap_versions_command(command) | ACQUIRE) == {"no": "two-tables"}
    assert agreed.apply([]) == {"no": "no-work-named"}
    assert (agreed.versions.newest.revision, agreed.leases.works) == (0, {})
    assert agreed.apply(wrap_versions_command(command))["revision"] == 1 and agreed.leases.works == {}
    assert agreed.apply(ACQUIRE)["token"] == 1 and agreed.versions.newest.revision == 1


def test_snapshots_without_versions_load_and_snapshots_with_versions_round_trip():
    old = Sessions(ReplicatedState().leases)
    old.apply(Entry(1, Kind.COMMAND, orjson.dumps(ACQUIRE), 7, 1))
    new = Sessions(ReplicatedState())
    new.load(old.dump())
    assert new.machine.leases.row("hosts")["token"] == 1 and new.machine.versions.newest.revision == 0
    assert new.dump() == old.dump()  # so an instance without versions can load it
    publish(new.machine.versions, {"a": 1})
    copy = Sessions(ReplicatedState())
    copy.load(new.dump())
    assert copy.dump() == new.dump() and copy.machine.versions.document == {"a": 1}
    copy.load(old.dump())
    assert copy.machine.versions.newest.revision == 0 and copy.machine.leases.row("hosts")["token"] == 1


def test_the_largest_changes_fit_into_a_frame_between_instances_and_larger_ones_are_refused():
    command = orjson.dumps(wrap_versions_command({"changes": "x" * MAX_CHANGES_BYTES}))
    append = AppendEntriesRequest(1, 0, 1, 1, (Entry(1, Kind.COMMAND, command, 1, 1),), 1, 1)
    assert len(encode_raft(append, "c" * 64)) < MAX_FRAME_BYTES
    versions, key = VersionTable(), "k" * 2000
    publish(versions, {key: {"x": 0}})
    first = versions.newest
    with pytest.raises(DocumentError, match="changes: .* bytes, over"):
        publish_command(versions, 1, {key: {str(i): 0 for i in range(1500)}}, 1)
    publish(versions, {key: {str(i): 0 for i in range(900)}})
    publish(versions, {key: {str(i): 0 for i in range(1800)}})
    assert versions.delta(first.revision, first.digest) is None  # a snapshot is smaller


# ---- connections


class World:
    """The network and the publisher of an instance, in memory."""

    def __init__(self, limit=8):
        self.now = 0.0
        self.versions = VersionTable()
        publish(self.versions, {"a": 1})
        self.publisher = Publisher("o0", self.versions, 0.0)
        addresses = {0: ("127.0.0.1", 1), 1: ("127.0.0.1", 2)}
        self.net = Network(
            MemoryReactorClock(), "t", 0, addresses, lambda message: None,
            lambda body, callback: callback("yes"), lambda: 0.5,
        )  # fmt: skip
        self.watch_server = WatchServer(self.publisher, "t", lambda: self.now, self.net.count_drop, limit)
        self.net.handlers["watch"] = self.watch_server.accept

    def open(self):
        connection, wire = self.net.buildProtocol(None), Wire()
        wire.setTcpNoDelay, wire.getHandle = lambda on: None, lambda: socket.socket()
        connection.makeConnection(wire)
        return connection, wire

    def open_subscribed(self, node="n", number=1, **more):
        connection, wire = self.open()
        connection.dataReceived(encode(subscribe(node, number, **more), "t"))
        return connection, wire


class Wire(StringTransport):
    def __init__(self):
        super().__init__()
        self.aborted = self.reads = False

    def abortConnection(self):
        self.aborted = True

    def pauseProducing(self):
        self.reads = False

    def resumeProducing(self):
        self.reads = True

    def messages(self):
        data, found = self.value(), []
        self.clear()
        while data:
            end = 4 + int.from_bytes(data[:4], "big")
            found.append(decode_from_publisher(data[4:end], "t"))
            data = data[end:]
        return found

    def kinds(self):
        return [type(message).__name__ for message in self.messages()]


def subscribe(node="n", number=1, **more):
    return Subscribe(node, "a", "north", number, 0, EMPTY, False, **more)


def acknowledge(world, node="n", subscription=1, number=2):
    newest = world.versions.newest
    return Acknowledge(node, subscription, number, newest.revision, newest.digest, False)


def test_a_node_gets_a_snapshot_then_deltas_and_its_watch_ends_with_its_connection():
    world = World()
    connection, wire = world.open_subscribed()
    assert wire.kinds() == ["Snapshot", "Heartbeat"] and not world.net.inbound
    connection.dataReceived(encode(acknowledge(world), "t"))
    assert wire.kinds() == ["Heartbeat"]
    publish(world.versions, {"a": 2})
    world.watch_server.send(world.publisher.versions_changed(0.0))
    assert wire.kinds() == ["Delta"]
    connection.connectionLost(None)
    assert (
        not world.publisher.subscriptions
        and not world.watch_server.sessions
        and not world.watch_server.by_key
    )


def framed(data):
    return len(data).to_bytes(4, "big") + data


@pytest.mark.parametrize("data, reason", [
    (encode(subscribe(number=2), "t"), "second-subscription"),
    (encode(Acknowledge("n", 3, 4, 0, EMPTY, False), "t"), "other-subscription"),
    (encode(Acknowledge("m", 1, 4, 0, EMPTY, False), "t"), "other-subscription"),
    (encode(Snapshot(1, 1, EMPTY, {}), "t"), "wrong-direction"),
    (encode(subscribe(number=2), "other"), "other-cluster"), (framed(b"{"), "no-json"),
    (framed(encode_frame("t", "call", [1, {}])), "unknown-kind"),
    (framed(encode_frame("t", "watch", {})), "bad-message"),
    ((MAX_NODE_FRAME_BYTES + 1).to_bytes(4, "big"), "too-long"),
])  # fmt: skip
def test_an_invalid_frame_ends_the_watch_and_later_frames_are_ignored(data, reason):
    world = World()
    connection, wire = world.open_subscribed()
    wire.clear()
    connection.dataReceived(data + encode(acknowledge(world), "t"))
    assert world.net.dropped == {reason: 1} and wire.aborted and not wire.value()
    assert world.publisher.subscriptions["n"].report == subscribe()


@pytest.mark.parametrize("data, reason", [
    (encode(Acknowledge("n", 1, 2, 0, EMPTY, False), "t"), "no-subscription"),
    (
        framed(encode_frame("t", "watch", {"kind": "subscribe", "node": "x" * MAX_NODE_FRAME_BYTES})),
        "too-long",
    ),
])  # fmt: skip
def test_a_connection_with_an_invalid_first_frame_is_closed(data, reason):
    world = World()
    connection, wire = world.open()
    connection.dataReceived(data + encode(subscribe(), "t"))
    assert world.net.dropped == {reason: 1} and wire.aborted and not world.publisher.subscriptions
    connection.connectionLost(None)
    assert not world.watch_server.sessions


def test_a_new_subscription_ends_the_node_s_older_connection_and_older_numbers_are_rejected():
    world = World()
    first, first_wire = world.open_subscribed(number=5)
    _, second_wire = world.open_subscribed(number=6)
    assert first_wire.aborted and not second_wire.aborted
    first.connectionLost(None)
    assert world.publisher.subscriptions["n"].number == 6
    for number in (6, 5):
        _, late = world.open_subscribed(number=number)
        assert late.aborted and late.value() == b""
    assert world.net.dropped == {"old-subscription": 2}
    assert world.publisher.subscriptions["n"].number == 6


def test_nodes_beyond_the_limit_are_told_to_retry_and_far_beyond_it_are_disconnected():
    world = World(limit=2)
    made = [world.open_subscribed(f"n{i}") for i in range(3 + MAX_REJECTED_CONNECTIONS)]
    assert [made[k][1].kinds() for k in (0, 2)] == [["Snapshot", "Heartbeat"], ["Busy"]]
    assert made[2][1].disconnecting and len(world.publisher.subscriptions) == 2
    assert made[-1][1].aborted and world.net.dropped["too-many-watches"] == MAX_REJECTED_CONNECTIONS + 1
    made[0][0].connectionLost(None)
    for connection, _ in made[2:]:
        connection.connectionLost(None)
    assert world.open_subscribed("m")[1].kinds() == ["Snapshot", "Heartbeat"]


def test_a_node_that_does_not_read_is_not_read_from_and_is_disconnected_past_the_limit():
    world = World()
    connection, wire = world.open_subscribed()
    session = next(iter(world.watch_server.sessions))
    wire.producer.pauseProducing()
    assert not wire.reads
    wire.producer.resumeProducing()
    assert wire.reads
    wire.producer.pauseProducing()
    session.send(b"x" * MAX_UNSENT_BYTES)
    assert not wire.aborted
    session.send(b"x")
    assert wire.aborted and world.net.dropped == {"not-read": 1}


def test_a_watch_that_leaves_a_version_unanswered_is_closed():
    world = World()
    _, wire = world.open_subscribed()
    wire.clear()
    for world.now in (UNANSWERED_VERSION_MS - TICK_INTERVAL_MS + 1.0, UNANSWERED_VERSION_MS + 1.0):
        assert not wire.disconnecting
        world.publisher.subscriptions["n"].heard_at = world.now
        world.watch_server.send(world.publisher.tick(world.now))
    assert wire.kinds() == ["Closed"] and wire.disconnecting


# ---- confirmations


def test_a_read_counts_from_its_start_and_only_once_the_local_table_has_caught_up():
    versions = VersionTable()
    publisher = Publisher("o0", versions, 0.0)
    confirmation = VersionConfirmation(publisher)
    assert (
        confirmation.should_read(10.0)
        and not confirmation.should_read(10.0 + READ_INTERVAL_MS - 1)
        and confirmation.should_read(10.0 + READ_INTERVAL_MS)
    )
    confirmation.read_answered(10.0, 1)
    assert publisher.age(20.0) is None
    publish(versions, {"a": 1})
    confirmation.table_changed()
    assert publisher.age(20.0) == 10.0 and not confirmation.pending
    assert publisher.age(10.0 + CONFIRMATION_VALID_MS + 1) is None


# ---- commands

VERSION = {"discovery": CONFIG["discovery"], "settings": {"listeners": CONFIG["settings"]["listeners"]}}
OWNERS = OwnerEndpoints("t", (Address("127.0.0.1", 1), Address("127.0.0.1", 2)))


class Instances:
    """Answers calls with the given answers in turn, the last one repeatedly; records the calls."""

    def __init__(self, *answers):
        self.answers, self.calls = list(answers), []

    def __call__(self, address, cluster, body):
        self.calls.append(body)
        return self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]


NOTHING_YET = {"revision": 0, "digest": EMPTY, "document": {}}


def test_an_unanswered_call_is_retried_with_the_same_numbers(capsys):
    ask = Instances(
        None, NOTHING_YET, None, {"no": "too-many-calls"}, {"ok": True, "revision": 1, "digest": "d"}
    )
    assert commands.publish(OWNERS, {"a": 1}, None, ask) == 0
    assert capsys.readouterr().out == "revision 1 committed, digest d\n"
    calls = [body for body in ask.calls if body["do"] == "publish"]
    assert len(calls) == 3 and calls[0] == calls[1] == calls[2] and calls[0]["on"] == 0


def test_without_any_answer_the_outcome_is_reported_as_unknown(monkeypatch):
    monkeypatch.setattr(commands, "RETRY_TIMEOUT_S", 0.0)
    with pytest.raises(commands.UnknownError, match="may be committed or not"):
        commands.publish(OWNERS, {"a": 1}, None, Instances(NOTHING_YET, None))
    with pytest.raises(commands.UnknownError, match="nothing was proposed"):
        commands.publish(
            OWNERS, {"a": 1}, None, Instances({"revision": 1, "digest": EMPTY, "document": {"a": 1}})
        )


def test_a_refusal_by_the_table_is_bad_input():
    with pytest.raises(commands.InputError, match="on: builds on 0, 1 is the newest"):
        commands.publish(OWNERS, {"a": 1}, None,
                         Instances(NOTHING_YET, {"refused": "on: builds on 0, 1 is the newest"}))  # fmt: skip


NESTED = {"a": 1}
for _ in range(16):
    NESTED = {"a": NESTED}


def file(tmp_path, value):
    path = tmp_path / "version.json"
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    return path


@pytest.mark.parametrize("value, words", [
    ("{", "no JSON"), ([], "document: no JSON object"), ({"settings": 7}, "settings: no JSON object"),
    ({"settings": {"listeners": [{"name": "x"}]}}, "document: .*listeners"),
    ({"settings": {"limits": {}}}, "document: .*mostDials"), ({"discovery": 7}, "document: .*7"),
    ({"limits": {"sockets": 1}}, "document: limits: not for a version to set"),
    ({"settings": {"locality": "a"}}, "document: settings.locality: not for a version to set"),
    ({"listen": "127.0.0.1:1"}, "document: listen: not for a version to set"),
    ({"x": "y" * (2 << 20)}, "document: .* bytes, over"), (NESTED, "document.a.*: deeper than"),
])  # fmt: skip
def test_an_invalid_version_file_is_reported_in_one_line_with_exit_code_2(value, words, tmp_path, capsys):
    instances = tmp_path / "owners.toml"
    instances.write_text('cluster = "t"\n[instances]\n0 = "127.0.0.1:1"\n')
    arguments = {
        "status": False,
        "FILE": str(file(tmp_path, value)),
        "--instances": str(instances),
        "--on": None,
    }
    assert commands.main(arguments) == 2
    said = capsys.readouterr().err
    assert said.startswith("caperdeck: ") and said.count("\n") == 1
    with pytest.raises(Exception, match=words):
        commands.read_document(arguments["FILE"])


def test_settings_common_to_all_nodes_form_a_valid_version(tmp_path):
    for version in (VERSION, {"settings": {"fleetSize": 3}}):
        assert commands.read_document(str(file(tmp_path, version))) == version


STATUS = Status("o1", True, 2, "a" * 32, (
    StatusRow("n0", 5, 2, "a" * 32, False, None, 100.0),
    StatusRow("n1", 6, 1, "b" * 32, True, Refusal(2, "no such class"), 200.0),
))  # fmt: skip


def test_a_status_round_trips_and_a_damaged_one_is_rejected():
    said = json.loads(json.dumps(encode_status(STATUS)))
    assert decode_status(said) == STATUS
    for damage in (
        {"rows": 1},
        {"confirmed": 1},
        {"rows": [{}]},
        {"rows": [said["rows"][0] | {"age": None}]},
    ):
        with pytest.raises(MessageError):
            decode_status(said | damage)
    with pytest.raises(MessageError):
        decode_status(None)


def only_first_instance_answers(status, newest):
    """Calls that only the first instance answers; `newest` is the answer of the quorum."""
    answers = {"distribution": encode_status(status), "versions": newest}
    return lambda address, _, body: answers[body["do"]] if address.port == 1 else None


def test_status_prints_what_is_known_and_does_not_count_silence_as_consent(capsys):
    names = ["n0", "n1", "n2"]
    newest = {"revision": 2, "term": 1, "digest": "a" * 32}
    assert commands.status(OWNERS, names, only_first_instance_answers(STATUS, newest)) == 0
    assert capsys.readouterr().out.splitlines() == [
        "revision 2, confirmed", "in force at 1 of 3", "oldest revision 1",
        "refused n1 revision=2 no such class", "not heard of: n2", "stale: n1",
        "instance 127.0.0.1:2 no answer",
    ]  # fmt: skip
    alone = STATUS._replace(confirmed=False, rows=())
    assert commands.status(OWNERS, ["n0"], only_first_instance_answers(alone, None)) == 1
    assert "in force at 0 of 1" in (said := capsys.readouterr().out)
    assert "o1 unconfirmed" in said and "not confirmed: there may be" in said


def test_a_version_that_only_a_killed_leader_had_published_counts_as_the_newest(capsys):
    # The other instances had confirmed the previous version within the last two seconds.
    newest = {"revision": 3, "term": 2, "digest": "c" * 32}
    assert commands.status(OWNERS, ["n0", "n1"], only_first_instance_answers(STATUS, newest)) == 0
    assert capsys.readouterr().out.splitlines()[:2] == ["revision 3, confirmed", "in force at 0 of 2"]


@pytest.mark.parametrize("answer", [None, {"no": "no-leader"}, {"revision": "3"}])
def test_without_a_quorum_no_version_counts_as_the_newest_despite_recent_confirmations(answer, capsys):
    assert commands.status(OWNERS, ["n0"], only_first_instance_answers(STATUS, answer)) == 1
    assert capsys.readouterr().out.startswith("revision 2, not confirmed: there may be a newer one")


def test_the_age_of_reports_includes_the_time_spent_asking_other_instances(monkeypatch):
    times = iter([0.0, 7.0])
    monkeypatch.setattr(commands.time, "monotonic", lambda: next(times))
    known = commands.read_statuses(OWNERS, lambda *call: encode_status(STATUS))
    assert {row.age for status in known.values() for row in status.rows} == {7100.0, 7200.0}


@pytest.mark.parametrize("text, words", [("", "0 names"), ("a\na\n", "'a' twice"), ("x" * 65, "is no name")])
def test_an_invalid_list_of_nodes_is_reported(text, words, tmp_path):
    path = tmp_path / "nodes"
    path.write_text(text)
    with pytest.raises(commands.InputError, match=words):
        commands.read_node_names(str(path))
