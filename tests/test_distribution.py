"""Distribution of configuration: single steps of each state machine, and fault scenarios in virtual time."""

from collections import Counter

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caperdeck.distribution import document
from caperdeck.distribution import publisher as publisher_module
from caperdeck.distribution import subscriber as subscriber_module
from caperdeck.distribution import table as table_module
from caperdeck.distribution.publisher_selection import Place, publishers_by_preference
from caperdeck.distribution.document import DocumentError, apply_changes, difference, digest
from caperdeck.distribution.messages import (
    Acknowledge, Busy, Closed, Delta, Heartbeat, MessageError, Refusal, Snapshot, Subscribe, decode, encode,
)  # fmt: skip
from caperdeck.distribution.publisher import Publisher
from caperdeck.distribution.status import REPORT_VALID_MS, summarise
from caperdeck.distribution.subscriber import (
    NO_VERSION,
    Apply,
    HeldVersion,
    Leave,
    Phase,
    Send,
    State,
    Subscriber,
)
from caperdeck.distribution.table import VersionTable, publish_command
from caperdeck.lab.distribution.schedule import Fault, Publish
from caperdeck.lab.distribution.world import World, simulate
from caperdeck.raft.log import Entry, Kind
from caperdeck.raft.sessions import Sessions

EMPTY = NO_VERSION.digest
PLACES = [Place(f"p{i}", f"z{i}", "north") for i in range(3)]


def versions(*documents, max_history=table_module.MAX_HISTORY_VERSIONS):
    version_table = VersionTable(max_history)
    for new in documents:
        publish(version_table, new)
    return version_table


def publish(version_table, new, term=1):
    answer = version_table.apply(publish_command(version_table, version_table.newest.revision, new, term))
    assert answer.get("ok"), answer


def subscribe(name="n", number=1, revision=0, known=EMPTY, **more):
    return Subscribe(name, "z", "north", number, revision, known, False, **more)


def acknowledge(version_table, name="n", number=2, subscription=1, revision=None, **more):
    """Reports the newest version, or `revision` with the empty document."""
    newest = version_table.newest
    version = (newest.revision, newest.digest) if revision is None else (revision, EMPTY)
    return Acknowledge(name, subscription, number, *version, False, **more)


def messages_of(sends, kind):
    return [send.message for send in sends if isinstance(send.message, kind)]


def heartbeat(request, version, age=0.0, **more):
    number = request.number
    subscription = number if isinstance(request, Subscribe) else request.subscription
    return Heartbeat(subscription, number, version.revision, version.digest, age, **more)


def held_version(revision, value):
    return HeldVersion(revision, digest(value), value)


def watching_subscriber(version=NO_VERSION, now=0.0, number=100, newest=None):
    """A subscriber that has found its publisher, and the last message that it sent."""
    subscriber = Subscriber(Place("n", "z0", "north"), PLACES, version, number, 7, now)
    (send,) = subscriber.tick(subscriber.due)
    subscriber.receive(subscriber.tried_at, send.publisher, heartbeat(send.message, newest or version))
    assert subscriber.phase is Phase.WATCHING
    return subscriber, send


# ---- documents, messages, the table

values = st.recursive(
    st.none() | st.booleans() | st.integers(-9, 9) | st.sampled_from([0.0, 1.0, "", "a"]),
    lambda inner: st.lists(inner, max_size=2) | st.dictionaries(st.sampled_from("abc"), inner, max_size=3),
    max_leaves=8,
)
documents = st.dictionaries(st.sampled_from("abcd"), values, max_size=4)


@settings(max_examples=200, derandomize=True, database=None, deadline=None)
@given(documents, documents)
def test_changes_make_exactly_the_new_document(old, new):
    before = document.canonical(old)
    changes = document.decode_changes(
        orjson.loads(orjson.dumps(document.encode_changes(difference(old, new))))
    )
    assert document.canonical(apply_changes(old, changes, digest(new))) == document.canonical(new)
    assert document.canonical(old) == before
    assert bool(changes) == (before != document.canonical(new))


def test_changes_on_another_base_fail_without_effect():
    changes = difference({"a": {"b": 1}}, {"a": {"b": 2}})
    with pytest.raises(DocumentError, match="digest: "):
        apply_changes({"a": {"b": 1, "c": 1}}, changes, digest({"a": {"b": 2}}))
    with pytest.raises(DocumentError, match=r"a\.b: a is no object"):
        apply_changes({"a": 1}, changes, digest({"a": {"b": 2}}))
    with pytest.raises(DocumentError, match="x: is not there to be removed"):
        apply_changes({}, difference({"x": 1}, {}), EMPTY)


def nested(levels):
    return {"a": nested(levels - 1)} if levels else 1


@pytest.mark.parametrize("on, new, text", [
    (1, [1], "document: no JSON object"),
    (1, {"a": "x" * document.MAX_DOCUMENT_BYTES}, "document: .* bytes, over"),
    (1, nested(document.MAX_DEPTH + 1), "document.a.*: deeper than 16"),
    (0, {"a": 2}, "on: builds on 0, 1 is the newest"),
    (2, {"a": 2}, "on: builds on 2, 1 is the newest"),
    (1, {"a": 1}, "changes: none"),
])  # fmt: skip
def test_an_invalid_version_is_not_proposed(on, new, text):
    with pytest.raises(DocumentError, match=text) as caught:
        publish_command(versions({"a": 1}), on, new, 1)
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize("change, text", [
    ({"do": "other"}, "do: unknown command"),
    ({"on": 0}, "on: builds on 0, 1 is the newest"),
    ({"on": True}, "on: no whole number from 0"),
    ({"term": -1}, "term: no whole number from 0"),
    ({"term": 2}, "term: 2 is older than 3, that of the newest"),
    ({"digest": None}, "digest: no text"),
    ({"digest": "0" * 32}, f"digest: {digest({'a': 2})} after the changes, {'0' * 32} was expected"),
    ({"changes": {}}, "changes: no list"),
    ({"changes": [[[]]]}, "changes.0: a path of 1 to 16 keys is needed"),
    ({"changes": [[["a"], 2], [[1], 2]]}, "changes.1: a key that is no text"),
    ({"changes": [[["a"], 2, 3]]}, "changes.0: not a path, or a path and a value"),
    ({"changes": [[["a", "b"], 2]]}, "a.b: a is no object"),
    ({"changes": [], "digest": digest({"a": 1})}, "changes: none, this document is the newest version"),
])  # fmt: skip
def test_a_refused_command_does_not_change_the_table(change, text):
    version_table = VersionTable()
    publish(version_table, {"a": 1}, term=3)
    before = version_table.dump()
    assert version_table.apply(publish_command(version_table, 1, {"a": 2}, 3) | change) == {"no": text}
    assert version_table.dump() == before and version_table.apply(None) == {"no": "do: unknown command"}


def test_versions_are_numbered_without_gaps_and_survive_a_snapshot_of_the_log():
    machine = Sessions(VersionTable(3))
    for value in (1, 2, 3, 4):
        version_table = machine.machine
        command = publish_command(version_table, version_table.newest.revision, {"a": value, "b": {}}, 5)
        entry = Entry(5, Kind.COMMAND, orjson.dumps(command), client=9, serial=value)
        assert machine.apply(entry)["revision"] == value
    assert machine.apply(entry)["revision"] == 4, "a retried command is one version"
    copy = Sessions(VersionTable(3))
    copy.load(machine.dump())
    assert copy.dump() == machine.dump() and copy.machine.document == {"a": 4, "b": {}}
    known = {row.version.revision: row.version.digest for row in copy.machine.history}
    assert sorted(known) == [2, 3, 4], "the history is bounded"
    assert len(copy.machine.delta(2, known[2])) == 1 and copy.machine.delta(2, known[3]) is None
    assert copy.machine.delta(1, digest({"a": 1, "b": {}})) is None
    publish(copy.machine, {"a": 1}, term=5)
    publish(machine.machine, {"a": 2}, term=5)
    assert copy.machine.newest.chain != machine.machine.newest.chain


def test_the_history_is_bounded_in_bytes(monkeypatch):
    monkeypatch.setattr(table_module, "MAX_HISTORY_BYTES", 1000)
    assert len(versions(*({"a": str(k) * 400} for k in range(6))).history) == 3


MESSAGES = [
    subscribe(refused=Refusal(3, "no")), Acknowledge("n", 1, 2, 0, EMPTY, True),
    Snapshot(1, 2, EMPTY, {"a": 1}),
    Delta(1, 2, 3, EMPTY, difference({"a": 1}, {"b": {"c": 1}})), Heartbeat(1, 2, 3, EMPTY, None, True),
    Busy(1, 5.0), Closed(1, "silent"),
]  # fmt: skip


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_a_message_round_trips_and_invalid_fields_are_rejected(message):
    assert decode(encode(message)) == message
    kind, whole = type(message).__name__.lower(), orjson.loads(encode(message))
    for field in message._fields:
        with pytest.raises(MessageError, match=rf"^{kind}\.{field}: missing$"):
            decode(orjson.dumps({key: value for key, value in whole.items() if key != field}))
        with pytest.raises(MessageError, match=rf"^{kind}\.{field}: [^\n]+$"):
            decode(orjson.dumps(whole | {field: -1}))
    with pytest.raises(MessageError, match=f"^{kind}.x: unknown$"):
        decode(orjson.dumps(whole | {"x": 1}))


@pytest.mark.parametrize("data, text", [
    (b"{", "message: no JSON"), (b"[]", "message: no JSON object"), (b"{}", "kind: unknown"),
    (b'{"kind": []}', "kind: unknown"),
    (encode(subscribe("a\nb")), "subscribe.node: not a text"),
    (encode(subscribe("n" * 65)), "subscribe.node: not a text"),
    (encode(subscribe(known="0" * 31)), "subscribe.digest: not 32 digits"),
    (encode(subscribe(number=1 << 53)), "subscribe.number: no whole number"),
    (encode(subscribe(refused=Refusal(1, "x" * 201))), "subscribe.refused: not a line of up to 200"),
    (encode(Heartbeat(1, 2, 3, EMPTY, 1e9)), "heartbeat.age: not from 0 to"),
    (encode(Snapshot(1, 2, EMPTY, nested(17))), "snapshot.document: .*deeper than 16"),
])  # fmt: skip
def test_an_invalid_message_is_reported_by_field_and_reason(data, text):
    with pytest.raises(MessageError, match=f"^{text}") as caught:
        decode(data)
    assert "\n" not in str(caught.value)


# ---- publisher selection


def test_publishers_of_the_zone_come_before_those_of_the_region_before_all_others():
    places = [Place("p0", "a", "north"), Place("p1", "b", "north"), Place("p2", "c", "south")]
    for k in range(20):
        order = publishers_by_preference(Place(f"n{k}", "b", "north"), places)
        assert [place.name for place in order] == ["p1", "p0", "p2"]


def test_nodes_spread_evenly_and_only_those_of_a_failed_publisher_move():
    publishers = [Place(f"p{i}", "z", "north") for i in range(7)]
    nodes = [Place(f"n{k}", "z", "north") for k in range(2190)]
    before = {node: publishers_by_preference(node, publishers)[0] for node in nodes}
    after = {node: publishers_by_preference(node, publishers[:3] + publishers[4:])[0] for node in nodes}
    counts = Counter(before.values())
    assert max(counts.values()) < 1.25 * 2190 / 7 and min(counts.values()) > 0.75 * 2190 / 7
    moved = [node for node in nodes if before[node] != after[node]]
    assert {before[node] for node in moved} == {publishers[3]} and len(moved) == counts[publishers[3]]
    assert len({after[node] for node in moved}) == 6


# ---- the publisher


def test_a_slow_subscriber_has_one_version_in_flight_and_does_not_delay_others():
    version_table = versions({"a": 0})
    publisher = Publisher("p", version_table, 0.0)
    for name in ("slow", "quick"):
        publisher.receive(0.0, subscribe(name))
        publisher.receive(1.0, acknowledge(version_table, name))
    sent = []
    for k in range(1, 31):
        publish(version_table, {"a": k})
        sent += publisher.versions_changed(k * 100.0)
        publisher.receive(k * 100.0 + 50, acknowledge(version_table, "quick", number=2 + k))
    assert Counter(send.node for send in sent) == {"slow": 1, "quick": 30}
    early = version_table.history[2].version
    late = Acknowledge("slow", 1, 3, early.revision, early.digest, False)
    (delta,) = messages_of(publisher.receive(3100.0, late), Delta)
    assert (delta.base, delta.revision) == (2, 31), "one step to the newest"
    assert publisher.receive(3100.0, late) == [], "a duplicate"
    assert messages_of(publisher.tick(13_200.0 - publisher_module.TICK_INTERVAL_MS), Closed) == [], (
        "the tick was late"
    )
    closed = messages_of(publisher.tick(13_200.0), Closed)
    assert {message.reason for message in closed} == {"silent"}


def test_a_publisher_that_was_suspended_reads_reports_before_it_closes_silent_nodes():
    # After a suspension the timer runs before the sockets are read. Nodes whose reports were still unread
    # would be closed as silent.
    version_table = versions({"a": 0})
    publisher = Publisher("p", version_table, 0.0)
    for name in ("speaks", "silent"):
        publisher.receive(0.0, subscribe(name))
        publisher.receive(1.0, acknowledge(version_table, name))
    woken = REPORT_VALID_MS + 2000.0
    assert messages_of(publisher.tick(woken), Closed) == []
    publisher.receive(woken + 1.0, acknowledge(version_table, "speaks", number=3))
    late_again = woken + 3 * publisher_module.TICK_INTERVAL_MS
    assert [send.node for send in publisher.tick(late_again) if isinstance(send.message, Closed)] == [
        "silent"
    ]


def test_a_version_that_is_never_answered_ends_the_subscription():
    version_table = versions({"a": 0})
    publisher = Publisher("p", version_table, 0.0)
    publisher.receive(0.0, subscribe())
    for number in range(2, 13):
        publisher.receive(number * 900.0, acknowledge(version_table, number=number, revision=0))
    assert (
        messages_of(
            publisher.tick(publisher_module.UNANSWERED_VERSION_MS + 1 - publisher_module.TICK_INTERVAL_MS),
            Closed,
        )
        == []
    )
    assert messages_of(publisher.tick(publisher_module.UNANSWERED_VERSION_MS + 1), Closed) == [
        Closed(1, "unanswered")
    ]
    (unknown,) = messages_of(publisher.receive(11_000.0, acknowledge(version_table, number=20)), Closed)
    assert unknown.reason == "unknown"


def test_connects_and_snapshots_are_limited():
    publisher = Publisher("p", versions({"a": 0}), 0.0)
    answers = [publisher.receive(0.0, subscribe(f"n{k}")) for k in range(150)]
    assert sum(bool(messages_of(answer, Busy)) for answer in answers) == 150 - publisher_module.CONNECT_BURST
    assert (
        sum(bool(messages_of(answer, Snapshot)) for answer in answers)
        == publisher_module.MAX_CONCURRENT_SNAPSHOTS
    )
    assert sum(beat.queued for answer in answers for beat in messages_of(answer, Heartbeat)) == 100 - 32
    assert messages_of(publisher.receive(100.0, subscribe("later")), Heartbeat), (
        "the bucket refills by 40 in a tenth of a second"
    )
    load = publisher.peak_load
    assert (load.connects_in_a_second, load.snapshots_at_once, load.turned_away) == (101, 32, 50)
    publisher.receive(1000.0, subscribe("much later"))
    assert load.connects_in_a_second == 101, "the burst is over a second old"
    (turn,) = [
        send.node
        for send in publisher.receive(101.0, acknowledge(publisher.table, "n5"))
        if messages_of([send], Snapshot)
    ]
    assert turn == "n32", "the node that waited longest"
    (turn,) = [
        send.node for send in publisher.connection_lost(102.0, "n6", 1) if messages_of([send], Snapshot)
    ]
    assert turn == "n33"
    assert len(messages_of(publisher.tick(publisher_module.SNAPSHOT_SLOT_MS), Snapshot)) == 30, (
        "slow nodes have lost their slots"
    )


def test_a_confirmation_counts_from_the_start_of_its_read():
    publisher = Publisher("p", versions({"a": 0}), 0.0)
    (beat,) = messages_of(publisher.receive(0.0, subscribe()), Heartbeat)
    assert beat.age is None and not publisher.status(0.0).confirmed
    publisher.newest_confirmed(100.0, revision=2)
    assert publisher.age(100.0) is None, "the instance is behind the quorum"
    publisher.newest_confirmed(100.0, revision=1)
    assert publisher.age(600.0) == 500.0 and publisher.age(10_100.0) is None, "the confirmation has expired"


def test_the_status_has_only_what_nodes_have_reported():
    version_table = versions({"a": 0}, {"a": 1})
    publisher, other = Publisher("p", version_table, 0.0), Publisher("q", version_table, 0.0)
    for name in ("new", "sent", "refuses", "moved", "gone", "stray"):
        publisher.receive(0.0, subscribe(name))
    publisher.receive(5.0, acknowledge(version_table, "new"))
    publisher.receive(6.0, acknowledge(version_table, "refuses", revision=1, refused=Refusal(2, "a: is 1")))
    publisher.receive(7.0, acknowledge(version_table, "moved"))
    other.receive(
        9.0, subscribe("moved", number=3, revision=1, known=version_table.history[1].version.digest)
    )
    publisher.connection_lost(8.0, "gone", 1)
    expected = ["new", "sent", "refuses", "moved", "gone", "silent"]
    summary = summarise([publisher.status(10.0), other.status(10.0)], expected)
    assert summary._replace(up_to_date=(), unexpected=()) == (
        False, 2, (), 6, 0, (("refuses", Refusal(2, "a: is 1")),), ("silent",), (), (),
    )  # fmt: skip
    assert summary.up_to_date == ("new",) and summary.unexpected == ("stray",), (
        "a version that was sent may not be active"
    )
    late = summarise([publisher.status(REPORT_VALID_MS + 20.0)], expected)
    assert late.up_to_date == () and late.oldest is None and late.not_heard == tuple(sorted(expected))
    publisher.receive(20.0, acknowledge(version_table, "new", number=4, revision=1))
    publisher.receive(21.0, acknowledge(version_table, "new", number=3))
    assert "new" not in summarise([publisher.status(22.0)], expected).up_to_date, (
        "a delayed report does not count"
    )


# ---- the subscriber


def test_a_refused_version_is_reported_and_not_applied_again():
    subscriber, send = watching_subscriber(held_version(3, {"a": 3}))
    new = held_version(5, {"a": 5})
    message = Snapshot(send.message.number, *new)
    assert subscriber.receive(10.0, send.publisher, message) == [Apply(new)]
    ((_, told),) = subscriber.refused(20.0, 5, "a: is 5\n" + "x" * 300)
    assert told.revision == 3 and told.refused == (5, "a: is 5 " + "x" * 192) and decode(encode(told)) == told
    older = Snapshot(send.message.number, *held_version(4, {}))
    assert (
        subscriber.receive(30.0, send.publisher, message)
        == subscriber.receive(30.0, send.publisher, older)
        == []
    )
    assert (
        subscriber.receive(30.0, send.publisher, heartbeat(told, new)) == []
        and subscriber.behind_since is None
    )
    delta = Delta(send.message.number, 3, 6, digest({"a": 6}), difference({"a": 3}, {"a": 6}))
    assert subscriber.receive(40.0, send.publisher, delta) == [Apply(held_version(6, {"a": 6}))]


def test_while_a_version_is_applied_only_the_newest_of_later_ones_is_kept():
    subscriber, send = watching_subscriber()
    for k in (1, 3, 2):
        subscriber.receive(10.0, send.publisher, Snapshot(send.message.number, *held_version(k, {"a": k})))
    assert subscriber.applied(20.0, 2) == [], "another revision was applied"
    (told, following) = subscriber.applied(20.0, 1)
    assert told.message.revision == 1 and following == Apply(held_version(3, {"a": 3}))


@pytest.mark.parametrize("message", [
    Delta(0, 2, 4, digest({"a": 4}), difference({"a": 3}, {"a": 4})),  # for another base
    Delta(0, 3, 4, digest({"a": 5}), difference({"a": 3}, {"a": 4})),  # with another result
    Snapshot(0, 4, digest({"a": 5}), {"a": 4}),  # with a document that does not match the digest
])  # fmt: skip
def test_a_version_that_does_not_fit_is_dropped_and_a_snapshot_requested(message):
    subscriber, send = watching_subscriber(held_version(3, {"a": 3}))
    left, again = subscriber.receive(10.0, send.publisher, message._replace(subscription=send.message.number))
    assert left == Leave(send.publisher) and again.publisher == send.publisher
    assert again.message.whole and again.message.revision == 3
    assert subscriber.dropped == {"does-not-fit": 1}


def test_messages_of_another_subscription_or_publisher_are_dropped():
    subscriber, send = watching_subscriber()
    message = Snapshot(send.message.number, *held_version(1, {"a": 1}))
    assert subscriber.receive(10.0, "another", message) == []
    assert subscriber.receive(10.0, send.publisher, message._replace(subscription=99)) == []
    assert subscriber.dropped == {"other-subscription": 2}


def test_a_node_starts_from_its_file_is_current_once_confirmed_and_stale_after_six_seconds():
    version = held_version(3, {"a": 3})
    subscriber = Subscriber(Place("n", "z0", "north"), PLACES, version, 100, 7, 0.0)
    assert subscriber.state(0.0) is State.STARTING and subscriber.held == version
    (send,) = subscriber.tick(subscriber.due)
    asked = subscriber.tried_at
    assert send.message.stale
    subscriber.receive(asked + 300, send.publisher, heartbeat(send.message, version, age=1000.0))
    confirmed = asked - 1000.0 * (1 + subscriber_module.MAX_CLOCK_DRIFT)
    assert subscriber.state(confirmed + subscriber_module.STALE_AFTER_MS) is State.CURRENT
    assert subscriber.state(confirmed + subscriber_module.STALE_AFTER_MS + 1) is State.STALE
    damaged = Subscriber(subscriber.place, PLACES, version._replace(document={"a": 4}), 100, 7, 0.0)
    assert damaged.held == NO_VERSION


@pytest.mark.parametrize("age, revision", [(None, 3), (0.0, 2)])
def test_a_publisher_that_is_unconfirmed_or_behind_is_left(age, revision):
    subscriber, send = watching_subscriber(held_version(3, {"a": 3}))
    beat = heartbeat(send.message, held_version(revision, {"a": revision}), age)
    assert subscriber.receive(100.0, send.publisher, beat) == [Leave(send.publisher)]
    (following,) = subscriber.tick(subscriber.due)
    assert (
        subscriber.tried_at <= 100.0 + subscriber_module.NEXT_PUBLISHER_SPREAD_MS
        and following.publisher != send.publisher
    )


def test_all_publishers_are_tried_before_one_is_tried_again_and_then_more_slowly():
    subscriber = Subscriber(Place("n", "z0", "north"), PLACES, NO_VERSION, 100, 7, 0.0)
    tries, now = [], 0.0
    while len(tries) < 9:
        now = subscriber.due
        tries += [(now, act.publisher) for act in subscriber.tick(now) if isinstance(act, Send)]
        if subscriber.phase is Phase.ASKING:
            subscriber.lost(now + 1.0, subscriber.publisher)
    assert all(len({name for _, name in tries[k : k + 3]}) == 3 for k in (0, 3, 6))
    assert min(b - a for (a, _), (b, _) in zip(tries[4:], tries[5:], strict=False)) >= 699.0


def test_a_missing_version_is_requested_again_unless_it_is_queued():
    subscriber, send = watching_subscriber(held_version(3, {"a": 3}))
    newer, now = held_version(4, {"a": 4}), subscriber.tried_at
    for queued in (True, False):
        for _ in range(3):
            now += 900.0
            (asked,) = subscriber.tick(now) or [send]
            send = asked if isinstance(asked, Send) else send
            subscriber.receive(now, send.publisher, heartbeat(send.message, newer, queued=queued))
        assert (subscriber.behind_since is None) == queued
    left, again = subscriber.tick(subscriber.behind_since + subscriber_module.MISSING_VERSION_MS)
    assert isinstance(again.message, Subscribe) and again.publisher == left.publisher


def test_a_busy_publisher_is_retried_and_then_skipped():
    subscriber = Subscriber(Place("n", "z0", "north"), PLACES, NO_VERSION, 100, 7, 0.0)
    names = []
    for _ in range(subscriber_module.MAX_BUSY_RETRIES + 2):
        (send,) = subscriber.tick(subscriber.due)
        names.append(send.publisher)
        subscriber.receive(subscriber.tried_at, send.publisher, Busy(send.message.number, 1000.0))
        assert subscriber.due <= subscriber.tried_at + 1000.0
    assert len(set(names[:-1])) == 1 and names[-1] != names[0]


def test_a_node_returns_to_its_preferred_publisher_in_time():
    subscriber, send = watching_subscriber()
    subscriber.lost(50.0, send.publisher)
    (second,) = subscriber.tick(subscriber.due)
    subscriber.receive(subscriber.tried_at, second.publisher, heartbeat(second.message, NO_VERSION))
    assert (
        subscriber_module.RETURN_TO_PREFERRED_MS / 2
        <= subscriber.return_at - subscriber.tried_at
        <= subscriber_module.RETURN_TO_PREFERRED_MS
    )
    subscriber.heard_at = subscriber.asked_at = now = subscriber.return_at
    left, back = subscriber.tick(now)
    assert left == Leave(second.publisher) and back.publisher == send.publisher
    assert subscriber.phase is Phase.ASKING


# ---- fault scenarios, in virtual time

MANY_NODE_ZONES = [("north", "a"), ("north", "b"), ("north", "c"), ("south", "d"), ("south", "e")] * 42


def active_revisions(world):
    return [node.active_version.revision for node in world.nodes]


def test_a_leader_killed_between_commit_and_send():
    world = simulate([Publish(3000.0)], [], 3000.0)
    while not world.committed:
        world.run(1.0)
    assert world.instances[0].applied == 0, "the leader has not sent it to any node"
    world.inject_fault(Fault("kill", 0, 0.0, 20_000.0))
    world.run(9000.0)
    assert active_revisions(world) == [1] * 6 and world.breaches == []


def test_an_instance_resumed_with_old_data_takes_no_node_back():
    world = simulate([Publish(1000.0), Publish(6000.0)], [Fault("sleep", 1, 5000.0, 10_000.0)], 14_900.0)
    assert world.instances[1].table.newest.revision == 1 and active_revisions(world) == [2] * 6
    world.run(10_000.0)
    assert active_revisions(world) == [2] * 6 and world.breaches == []


def test_a_region_partitioned_for_a_minute_keeps_serving_as_stale_and_catches_up():
    changes = [Publish(1000.0)] + [Publish(5000.0 + 2000.0 * k) for k in range(30)]
    world = simulate(changes, [Fault("cut", 0, 4000.0, 60_000.0)], 63_000.0)
    assert active_revisions(world)[:4] == [30] * 4 and active_revisions(world)[4:] == [1] * 2
    assert [node.subscriber.state(world.now) for node in world.nodes[4:]] == [State.STALE] * 2
    world.run(10_000.0)
    assert active_revisions(world) == [31] * 6 and world.breaches == []


def test_a_node_replaced_without_a_quorum_gets_the_committed_version_but_is_not_current():
    world = simulate([Publish(1000.0)], [Fault("cut", 0, 4000.0, 30_000.0)], 10_000.0)
    node = world.nodes[4]
    node.die(True)
    node.start()
    world.run(8000.0)
    assert node.active_version.revision == 1 and node.subscriber.state(world.now) is State.STARTING
    assert world.breaches == []


def test_thirty_changes_in_one_minute_are_applied_in_time():
    world = simulate([Publish(1000.0 + 2000.0 * k) for k in range(30)], [], 62_000.0)
    assert active_revisions(world) == [30] * 6 and world.breaches == []


def test_a_version_that_half_of_the_nodes_refuse():
    world = simulate([Publish(1000.0), Publish(4000.0, refused_by_half=True)], [], 8000.0)
    summary = summarise([i.publisher.status(world.now) for i in world.instances], world.node_by_name)
    assert (summary.up_to_date, summary.oldest) == (("n0", "n2", "n4"), 1)
    assert [name for name, _ in summary.refused] == ["n1", "n3", "n5"]
    world.publish(Publish(0.0))
    world.run(3000.0)
    assert active_revisions(world) == [3] * 6 and world.breaches == []


def test_the_loss_of_an_instance_moves_its_subscribers_evenly_within_four_seconds():
    world = simulate([Publish(500.0)], [], 5000.0, places=MANY_NODE_ZONES)
    lost = [node for node in world.nodes if node.subscriber.publisher == "p2"]
    assert len(lost) > 30
    world.inject_fault(Fault("sleep", 2, 0.0, 60_000.0))
    tries, send = [], world.send_to_publisher

    def counted(node, name, message):
        if isinstance(message, Subscribe):
            tries.append(world.now)
        send(node, name, message)

    world.send_to_publisher = counted
    world.run(4000.0)
    assert all(node.subscriber.phase is Phase.WATCHING for node in world.nodes)
    now_at = Counter(node.subscriber.publisher for node in lost)
    assert set(now_at) == {"p0", "p1", "p3"} and max(now_at.values()) < 0.6 * len(lost)
    most = max(Counter(int(at // 100) for at in tries).values())
    assert most < 0.5 * len(lost), "reconnects are spread over time"


@pytest.mark.parametrize("do", ["restart", "replace"])
def test_seventy_percent_of_the_nodes_restart_at_once(do):
    world = simulate(
        [Publish(500.0), Publish(6000.0)], [Fault(do, 0, 5000.0, 1500.0)], 15_500.0, places=MANY_NODE_ZONES
    )
    assert set(active_revisions(world)) == {2} and world.breaches == []


def test_all_nodes_start_together():
    world = World(places=MANY_NODE_ZONES)
    world.publish(Publish(0.0))
    world.run(9000.0)
    assert set(active_revisions(world)) == {1} and world.breaches == []
    assert {node.subscriber.state(world.now) for node in world.nodes} == {State.CURRENT}
