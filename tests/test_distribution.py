"""Distribution of configuration: single steps of each state machine, and the hard cases in virtual time."""

from collections import Counter

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from caperdeck.distribution import document, publisher, subscriber, table
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
from caperdeck.lab.distribution.world import World, play
from caperdeck.raft.log import Entry, Kind
from caperdeck.raft.sessions import Sessions

EMPTY = NO_VERSION.digest
PLACES = [Place(f"p{i}", f"z{i}", "north") for i in range(3)]


def versions(*documents, max_history=table.MAX_HISTORY_VERSIONS):
    agreed = VersionTable(max_history)
    for new in documents:
        publish(agreed, new)
    return agreed


def publish(agreed, new, term=1):
    answer = agreed.apply(publish_command(agreed, agreed.newest.revision, new, term))
    assert answer.get("ok"), answer


def subscribe(name="n", number=1, revision=0, known=EMPTY, **more):
    return Subscribe(name, "z", "north", number, revision, known, False, **more)


def acknowledge(agreed, name="n", number=2, subscription=1, revision=None, **more):
    """Of the newest version, or of none."""
    newest = agreed.newest
    has = (newest.revision, newest.digest) if revision is None else (revision, EMPTY)
    return Acknowledge(name, subscription, number, *has, False, **more)


def of(sends, kind):
    return [send.message for send in sends if isinstance(send.message, kind)]


def heartbeat(sent, held, age=0.0, **more):
    number = sent.number
    subscription = number if isinstance(sent, Subscribe) else sent.subscription
    return Heartbeat(subscription, number, held.revision, held.digest, age, **more)


def held(revision, value):
    return HeldVersion(revision, digest(value), value)


def watching(has=NO_VERSION, now=0.0, number=100, newest=None):
    """A subscriber that has found its publisher; its last message."""
    one = Subscriber(Place("n", "z0", "north"), PLACES, has, number, 7, now)
    (send,) = one.tick(one.due)
    one.receive(one.tried_at, send.publisher, heartbeat(send.message, newest or has))
    assert one.phase is Phase.WATCHING
    return one, send


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


def test_changes_on_another_base_fail_whole():
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
def test_a_version_that_cannot_be_is_not_proposed(on, new, text):
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
def test_the_table_refuses_and_stays_as_it_is(change, text):
    agreed = VersionTable()
    publish(agreed, {"a": 1}, term=3)
    before = agreed.dump()
    assert agreed.apply(publish_command(agreed, 1, {"a": 2}, 3) | change) == {"no": text}
    assert agreed.dump() == before and agreed.apply(None) == {"no": "do: unknown command"}


def test_versions_are_numbered_without_gaps_and_survive_a_snapshot_of_the_log():
    machine = Sessions(VersionTable(3))
    for value in (1, 2, 3, 4):
        agreed = machine.machine
        command = publish_command(agreed, agreed.newest.revision, {"a": value, "b": {}}, 5)
        entry = Entry(5, Kind.COMMAND, orjson.dumps(command), client=9, serial=value)
        assert machine.apply(entry)["revision"] == value
    assert machine.apply(entry)["revision"] == 4, "proposed twice, it is one version"
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
    monkeypatch.setattr(table, "MAX_HISTORY_BYTES", 1000)
    assert len(versions(*({"a": str(k) * 400} for k in range(6))).history) == 3


MESSAGES = [
    subscribe(refused=Refusal(3, "no")), Acknowledge("n", 1, 2, 0, EMPTY, True),
    Snapshot(1, 2, EMPTY, {"a": 1}),
    Delta(1, 2, 3, EMPTY, difference({"a": 1}, {"b": {"c": 1}})), Heartbeat(1, 2, 3, EMPTY, None, True),
    Busy(1, 5.0), Closed(1, "silent"),
]  # fmt: skip


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_a_message_is_read_as_it_was_written_and_no_other(message):
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
def test_a_bad_message_is_named_by_field_and_reason(data, text):
    with pytest.raises(MessageError, match=f"^{text}") as caught:
        decode(data)
    assert "\n" not in str(caught.value)


# ---- the choice of a publisher


def test_a_zone_comes_before_its_region_before_any():
    places = [Place("p0", "a", "north"), Place("p1", "b", "north"), Place("p2", "c", "south")]
    for k in range(20):
        order = publishers_by_preference(Place(f"n{k}", "b", "north"), places)
        assert [place.name for place in order] == ["p1", "p0", "p2"]


def test_nodes_spread_evenly_and_only_those_of_a_lost_publisher_move():
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


def test_a_slow_subscriber_has_one_version_on_its_way_and_delays_nobody():
    agreed = versions({"a": 0})
    one = Publisher("p", agreed, 0.0)
    for name in ("slow", "quick"):
        one.receive(0.0, subscribe(name))
        one.receive(1.0, acknowledge(agreed, name))
    sent = []
    for k in range(1, 31):
        publish(agreed, {"a": k})
        sent += one.versions_changed(k * 100.0)
        one.receive(k * 100.0 + 50, acknowledge(agreed, "quick", number=2 + k))
    assert Counter(send.node for send in sent) == {"slow": 1, "quick": 30}
    early = agreed.history[2].version
    late = Acknowledge("slow", 1, 3, early.revision, early.digest, False)
    (delta,) = of(one.receive(3100.0, late), Delta)
    assert (delta.base, delta.revision) == (2, 31), "one step to the newest"
    assert one.receive(3100.0, late) == [], "doubled"
    assert of(one.tick(13_200.0 - publisher.TICK_INTERVAL_MS), Closed) == [], "it was late itself"
    closed = of(one.tick(13_200.0), Closed)
    assert {message.reason for message in closed} == {"silent"}


def test_a_publisher_that_was_stopped_reads_before_it_calls_a_node_silent():
    # Danger: at its wake the timer runs before the sockets are read, and all that had spoken were closed.
    agreed = versions({"a": 0})
    one = Publisher("p", agreed, 0.0)
    for name in ("speaks", "silent"):
        one.receive(0.0, subscribe(name))
        one.receive(1.0, acknowledge(agreed, name))
    woken = REPORT_VALID_MS + 2000.0
    assert of(one.tick(woken), Closed) == []
    one.receive(woken + 1.0, acknowledge(agreed, "speaks", number=3))
    late_again = woken + 3 * publisher.TICK_INTERVAL_MS
    assert [send.node for send in one.tick(late_again) if isinstance(send.message, Closed)] == ["silent"]


def test_a_version_that_is_never_answered_ends_the_subscription():
    agreed = versions({"a": 0})
    one = Publisher("p", agreed, 0.0)
    one.receive(0.0, subscribe())
    for number in range(2, 13):
        one.receive(number * 900.0, acknowledge(agreed, number=number, revision=0))
    assert of(one.tick(publisher.UNANSWERED_VERSION_MS + 1 - publisher.TICK_INTERVAL_MS), Closed) == []
    assert of(one.tick(publisher.UNANSWERED_VERSION_MS + 1), Closed) == [Closed(1, "unanswered")]
    (unknown,) = of(one.receive(11_000.0, acknowledge(agreed, number=20)), Closed)
    assert unknown.reason == "unknown"


def test_connects_and_snapshots_are_bounded():
    one = Publisher("p", versions({"a": 0}), 0.0)
    answers = [one.receive(0.0, subscribe(f"n{k}")) for k in range(150)]
    assert sum(bool(of(answer, Busy)) for answer in answers) == 150 - publisher.CONNECT_BURST
    assert sum(bool(of(answer, Snapshot)) for answer in answers) == publisher.MAX_CONCURRENT_SNAPSHOTS
    assert sum(beat.queued for answer in answers for beat in of(answer, Heartbeat)) == 100 - 32
    assert of(one.receive(100.0, subscribe("later")), Heartbeat), "a tenth of a second makes room for 40"
    load = one.peak_load
    assert (load.connects_in_a_second, load.snapshots_at_once, load.turned_away) == (101, 32, 50)
    one.receive(1000.0, subscribe("much later"))
    assert load.connects_in_a_second == 101, "the first hundred are a second ago"
    (turn,) = [send.node for send in one.receive(101.0, acknowledge(one.table, "n5")) if of([send], Snapshot)]
    assert turn == "n32", "the longest in the queue"
    (turn,) = [send.node for send in one.connection_lost(102.0, "n6", 1) if of([send], Snapshot)]
    assert turn == "n33"
    assert len(of(one.tick(publisher.SNAPSHOT_SLOT_MS), Snapshot)) == 30, "slow ones have lost their turns"


def test_a_confirmation_counts_from_when_it_was_asked_for():
    one = Publisher("p", versions({"a": 0}), 0.0)
    (beat,) = of(one.receive(0.0, subscribe()), Heartbeat)
    assert beat.age is None and not one.status(0.0).confirmed
    one.newest_confirmed(100.0, revision=2)
    assert one.age(100.0) is None, "the instance lacks what the quorum has"
    one.newest_confirmed(100.0, revision=1)
    assert one.age(600.0) == 500.0 and one.age(10_100.0) is None, "it slept since"


def test_the_status_has_only_what_nodes_have_said():
    agreed = versions({"a": 0}, {"a": 1})
    one, other = Publisher("p", agreed, 0.0), Publisher("q", agreed, 0.0)
    for name in ("new", "sent", "refuses", "moved", "gone", "stray"):
        one.receive(0.0, subscribe(name))
    one.receive(5.0, acknowledge(agreed, "new"))
    one.receive(6.0, acknowledge(agreed, "refuses", revision=1, refused=Refusal(2, "a: is 1")))
    one.receive(7.0, acknowledge(agreed, "moved"))
    other.receive(9.0, subscribe("moved", number=3, revision=1, known=agreed.history[1].version.digest))
    one.connection_lost(8.0, "gone", 1)
    expected = ["new", "sent", "refuses", "moved", "gone", "silent"]
    summary = summarise([one.status(10.0), other.status(10.0)], expected)
    assert summary._replace(up_to_date=(), unexpected=()) == (
        False, 2, (), 6, 0, (("refuses", Refusal(2, "a: is 1")),), ("silent",), (), (),
    )  # fmt: skip
    assert summary.up_to_date == ("new",) and summary.unexpected == ("stray",), "sent is not in force"
    late = summarise([one.status(REPORT_VALID_MS + 20.0)], expected)
    assert late.up_to_date == () and late.oldest is None and late.not_heard == tuple(sorted(expected))
    one.receive(20.0, acknowledge(agreed, "new", number=4, revision=1))
    one.receive(21.0, acknowledge(agreed, "new", number=3))
    assert "new" not in summarise([one.status(22.0)], expected).up_to_date, "a late word does not count"


# ---- the subscriber


def test_a_refused_version_is_kept_out_told_and_not_tried_again():
    one, send = watching(held(3, {"a": 3}))
    new = held(5, {"a": 5})
    message = Snapshot(send.message.number, *new)
    assert one.receive(10.0, send.publisher, message) == [Apply(new)]
    ((_, told),) = one.refused(20.0, 5, "a: is 5\n" + "x" * 300)
    assert told.revision == 3 and told.refused == (5, "a: is 5 " + "x" * 192) and decode(encode(told)) == told
    older = Snapshot(send.message.number, *held(4, {}))
    assert one.receive(30.0, send.publisher, message) == one.receive(30.0, send.publisher, older) == []
    assert one.receive(30.0, send.publisher, heartbeat(told, new)) == [] and one.behind_since is None
    delta = Delta(send.message.number, 3, 6, digest({"a": 6}), difference({"a": 3}, {"a": 6}))
    assert one.receive(40.0, send.publisher, delta) == [Apply(held(6, {"a": 6}))]


def test_while_one_version_is_applied_the_newest_of_the_others_waits():
    one, send = watching()
    for k in (1, 3, 2):
        one.receive(10.0, send.publisher, Snapshot(send.message.number, *held(k, {"a": k})))
    assert one.applied(20.0, 2) == [], "another's"
    (told, following) = one.applied(20.0, 1)
    assert told.message.revision == 1 and following == Apply(held(3, {"a": 3}))


@pytest.mark.parametrize("message", [
    Delta(0, 2, 4, digest({"a": 4}), difference({"a": 3}, {"a": 4})),  # on another base
    Delta(0, 3, 4, digest({"a": 5}), difference({"a": 3}, {"a": 4})),  # with another result
    Snapshot(0, 4, digest({"a": 5}), {"a": 4}),  # not what its digest says
])  # fmt: skip
def test_what_does_not_fit_is_dropped_and_a_snapshot_asked_for(message):
    one, send = watching(held(3, {"a": 3}))
    left, again = one.receive(10.0, send.publisher, message._replace(subscription=send.message.number))
    assert left == Leave(send.publisher) and again.publisher == send.publisher
    assert again.message.whole and again.message.revision == 3
    assert one.dropped == {"does-not-fit": 1}


def test_messages_of_another_subscription_or_publisher_are_dropped():
    one, send = watching()
    message = Snapshot(send.message.number, *held(1, {"a": 1}))
    assert one.receive(10.0, "another", message) == []
    assert one.receive(10.0, send.publisher, message._replace(subscription=99)) == []
    assert one.dropped == {"other-subscription": 2}


def test_a_node_serves_from_its_file_and_is_current_once_confirmed_stale_after_six_seconds():
    has = held(3, {"a": 3})
    one = Subscriber(Place("n", "z0", "north"), PLACES, has, 100, 7, 0.0)
    assert one.state(0.0) is State.STARTING and one.held == has
    (send,) = one.tick(one.due)
    asked = one.tried_at
    assert send.message.stale
    one.receive(asked + 300, send.publisher, heartbeat(send.message, has, age=1000.0))
    confirmed = asked - 1000.0 * (1 + subscriber.MAX_CLOCK_DRIFT)
    assert one.state(confirmed + subscriber.STALE_AFTER_MS) is State.CURRENT
    assert one.state(confirmed + subscriber.STALE_AFTER_MS + 1) is State.STALE
    damaged = Subscriber(one.place, PLACES, has._replace(document={"a": 4}), 100, 7, 0.0)
    assert damaged.held == NO_VERSION


@pytest.mark.parametrize("age, revision", [(None, 3), (0.0, 2)])
def test_a_publisher_that_is_unconfirmed_or_older_is_left(age, revision):
    one, send = watching(held(3, {"a": 3}))
    beat = heartbeat(send.message, held(revision, {"a": revision}), age)
    assert one.receive(100.0, send.publisher, beat) == [Leave(send.publisher)]
    (following,) = one.tick(one.due)
    assert (
        one.tried_at <= 100.0 + subscriber.NEXT_PUBLISHER_SPREAD_MS and following.publisher != send.publisher
    )


def test_all_publishers_are_tried_before_one_is_tried_again_and_then_more_slowly():
    one = Subscriber(Place("n", "z0", "north"), PLACES, NO_VERSION, 100, 7, 0.0)
    tries, now = [], 0.0
    while len(tries) < 9:
        now = one.due
        tries += [(now, act.publisher) for act in one.tick(now) if isinstance(act, Send)]
        if one.phase is Phase.ASKING:
            one.lost(now + 1.0, one.publisher)
    assert all(len({name for _, name in tries[k : k + 3]}) == 3 for k in (0, 3, 6))
    assert min(b - a for (a, _), (b, _) in zip(tries[4:], tries[5:], strict=False)) >= 699.0


def test_a_version_that_does_not_come_is_asked_for_anew_but_not_while_it_is_queued():
    one, send = watching(held(3, {"a": 3}))
    newer, now = held(4, {"a": 4}), one.tried_at
    for queued in (True, False):
        for _ in range(3):
            now += 900.0
            (asked,) = one.tick(now) or [send]
            send = asked if isinstance(asked, Send) else send
            one.receive(now, send.publisher, heartbeat(send.message, newer, queued=queued))
        assert (one.behind_since is None) == queued
    left, again = one.tick(one.behind_since + subscriber.MISSING_VERSION_MS)
    assert isinstance(again.message, Subscribe) and again.publisher == left.publisher


def test_a_busy_publisher_is_waited_for_and_then_passed_over():
    one = Subscriber(Place("n", "z0", "north"), PLACES, NO_VERSION, 100, 7, 0.0)
    names = []
    for _ in range(subscriber.MAX_BUSY_RETRIES + 2):
        (send,) = one.tick(one.due)
        names.append(send.publisher)
        one.receive(one.tried_at, send.publisher, Busy(send.message.number, 1000.0))
        assert one.due <= one.tried_at + 1000.0
    assert len(set(names[:-1])) == 1 and names[-1] != names[0]


def test_a_node_away_from_its_preferred_publisher_goes_back_in_time():
    one, send = watching()
    one.lost(50.0, send.publisher)
    (second,) = one.tick(one.due)
    one.receive(one.tried_at, second.publisher, heartbeat(second.message, NO_VERSION))
    assert (
        subscriber.RETURN_TO_PREFERRED_MS / 2
        <= one.return_at - one.tried_at
        <= subscriber.RETURN_TO_PREFERRED_MS
    )
    one.heard_at = one.asked_at = now = one.return_at
    left, back = one.tick(now)
    assert left == Leave(second.publisher) and back.publisher == send.publisher
    assert one.phase is Phase.ASKING


# ---- the hard cases, in virtual time

MANY = [("north", "a"), ("north", "b"), ("north", "c"), ("south", "d"), ("south", "e")] * 42


def in_force(world):
    return [node.file.revision for node in world.nodes]


def test_a_leader_killed_between_commit_and_send():
    world = play([Publish(3000.0)], [], 3000.0)
    while not world.committed:
        world.run(1.0)
    assert world.instances[0].applied == 0, "it has told nobody"
    world.begin(Fault("kill", 0, 0.0, 20_000.0))
    world.run(9000.0)
    assert in_force(world) == [1] * 6 and world.breaches == []


def test_an_instance_woken_with_old_data_takes_nobody_back():
    world = play([Publish(1000.0), Publish(6000.0)], [Fault("sleep", 1, 5000.0, 10_000.0)], 14_900.0)
    assert world.instances[1].table.newest.revision == 1 and in_force(world) == [2] * 6
    world.run(10_000.0)
    assert in_force(world) == [2] * 6 and world.breaches == []


def test_a_region_cut_off_for_a_minute_serves_on_says_so_and_catches_up():
    changes = [Publish(1000.0)] + [Publish(5000.0 + 2000.0 * k) for k in range(30)]
    world = play(changes, [Fault("cut", 0, 4000.0, 60_000.0)], 63_000.0)
    assert in_force(world)[:4] == [30] * 4 and in_force(world)[4:] == [1] * 2
    assert [node.subscriber.state(world.now) for node in world.nodes[4:]] == [State.STALE] * 2
    world.run(10_000.0)
    assert in_force(world) == [31] * 6 and world.breaches == []


def test_a_node_replaced_without_a_quorum_gets_what_is_committed_and_does_not_call_it_current():
    world = play([Publish(1000.0)], [Fault("cut", 0, 4000.0, 30_000.0)], 10_000.0)
    node = world.nodes[4]
    node.die(True)
    node.start()
    world.run(8000.0)
    assert node.file.revision == 1 and node.subscriber.state(world.now) is State.STARTING
    assert world.breaches == []


def test_thirty_changes_in_one_minute_are_in_force_in_time():
    world = play([Publish(1000.0 + 2000.0 * k) for k in range(30)], [], 62_000.0)
    assert in_force(world) == [30] * 6 and world.breaches == []


def test_a_version_that_half_of_the_nodes_refuse():
    world = play([Publish(1000.0), Publish(4000.0, refused_by_half=True)], [], 8000.0)
    summary = summarise([i.publisher.status(world.now) for i in world.instances], world.node_of)
    assert (summary.up_to_date, summary.oldest) == (("n0", "n2", "n4"), 1)
    assert [name for name, _ in summary.refused] == ["n1", "n3", "n5"]
    world.publish(Publish(0.0))
    world.run(3000.0)
    assert in_force(world) == [3] * 6 and world.breaches == []


def test_the_loss_of_an_instance_moves_its_subscribers_within_four_seconds_and_spread():
    world = play([Publish(500.0)], [], 5000.0, places=MANY)
    lost = [node for node in world.nodes if node.subscriber.publisher == "p2"]
    assert len(lost) > 30
    world.begin(Fault("sleep", 2, 0.0, 60_000.0))
    tries, send = [], world.to_publisher

    def counted(node, name, message):
        if isinstance(message, Subscribe):
            tries.append(world.now)
        send(node, name, message)

    world.to_publisher = counted
    world.run(4000.0)
    assert all(node.subscriber.phase is Phase.WATCHING for node in world.nodes)
    now_at = Counter(node.subscriber.publisher for node in lost)
    assert set(now_at) == {"p0", "p1", "p3"} and max(now_at.values()) < 0.6 * len(lost)
    most = max(Counter(int(at // 100) for at in tries).values())
    assert most < 0.5 * len(lost), "not in one tenth of a second"


@pytest.mark.parametrize("do", ["restart", "replace"])
def test_seven_in_ten_nodes_killed_and_back_at_once(do):
    world = play([Publish(500.0), Publish(6000.0)], [Fault(do, 0, 5000.0, 1500.0)], 15_500.0, places=MANY)
    assert set(in_force(world)) == {2} and world.breaches == []


def test_all_nodes_start_together():
    world = World(places=MANY)
    world.publish(Publish(0.0))
    world.run(9000.0)
    assert set(in_force(world)) == {1} and world.breaches == []
    assert {node.subscriber.state(world.now) for node in world.nodes} == {State.CURRENT}
