"""What a process that takes over knows of the hosts that the one before it has met."""

import random

import orjson
import pytest
from helpers import START, ask, desk, dials, entry, figures, logged, node, row, service_over, standing

from caperdeck.core.host_record import HostRecord, RecordError, record_of, take_records
from caperdeck.core.model import HostState, Outcome, Refuse, Report, RosterScope
from caperdeck.core.rights import ROOM_POT


def successor_of(n, entries=None, now=START, **changes):
    """Another process of the node: other draws, the same list of hosts, and the records as they are sent."""
    later = node(entries=entries or [entry(h) for h in range(len(n.state))], seed=11, **changes)
    later.seen_at = [-1e9] * len(later.state)
    later.unit, later.each, later.mean_hint, later.asked = n.unit, n.each, n.mean_hint, n.asked
    sent = {h: record_of(n, h).as_message() for h in range(len(n.state))}
    take_records(later, now, {h: HostRecord.from_message(message) for h, message in sent.items()})
    return later


def test_hosts_that_were_full_are_full_to_the_successor():
    n = node(3)
    figures(n, [0.9, 1.1, 0.95])
    later = successor_of(n)
    assert [type(a) for a in later.ask(START, ask(1, left=50.0))] == [Refuse]


def test_the_room_that_is_left_is_no_more_at_the_successor():
    n = node(3)
    n.unit = 100.0
    figures(n, [0.9, 0.9, 0.5])
    later = successor_of(n)
    assert later.part == pytest.approx(n.part) and later.rights.have(START, ROOM_POT) <= later.part


def test_what_was_sent_since_the_last_figure_still_counts():
    n = node(2)
    n.unit = 100.0
    figures(n, [0.3, 0.6])
    n._add(START, 0, 40.0)
    later = successor_of(n)
    assert n._load(START, 0) > 0.6 and later._load(START, 0) == pytest.approx(n._load(START, 0))
    later._know(START + 1500, 0, 0.35)
    assert later._load(START + 1500, 0) == 0.35


def test_a_host_that_failed_is_shunned_as_long_by_the_successor():
    n = node(3)
    figures(n, [0.2, 0.3, 0.3])
    for _ in range(4):
        n._failed(START, 0)
    later = successor_of(n)
    hosts = {dials(later.ask(START, ask(i)))[0].host for i in range(20)}
    assert hosts == {1, 2}
    until = n.shunned[0]
    assert not later._well(until - 1, 0) and later._well(until, 0)


def test_an_error_that_most_hosts_show_shuns_none_at_the_successor_either():
    n = node(3)
    figures(n, [0.2, 0.3, 0.3])
    for h in (0, 1):
        for _ in range(4):
            n._failed(START, h)
    n._survey(START)
    later = successor_of(n)
    assert n.most_ill and later.most_ill and later._well(START, 0)


def test_a_host_that_was_called_back_counts_as_cold_over_an_upgrade():
    n = node(2)
    figures(n, [0.3, 0.3])
    n.ban(START - 9000, 0, True)
    n.ban(START - 1000, 0, False)
    later = successor_of(n)
    assert later._warmth(START, 0) == n._warmth(START, 0) < 1 and later.cold == [0]


def test_a_host_that_has_started_since_is_another_one():
    n = node(2)
    figures(n, [0.9, 0.3])
    n._failed(START, 0)
    later = successor_of(n, entries=[entry(0, born=START - 500), entry(1)])
    assert later.born[0] == START - 500 and later.figure[0] is None and not later.ill[0]
    assert later.figure[1] == 0.3


def test_a_host_that_has_started_and_told_nothing_yet_has_no_figure_at_the_successor():
    n = node(2)
    figures(n, [0.9, 0.3])
    n.roster(START, RosterScope.CHANGES, [entry(0, born=START)])
    later = successor_of(n)
    assert later.figure[0] is None and later.born[0] == START and set(later.known) == {1}


def test_figures_grow_old_at_the_successor_as_they_would_have():
    n = node(3)
    for h, at in enumerate((START - 6000, START - 9000, START)):
        n._know(at, h, 0.2)
    later = successor_of(n)
    assert list(later.known) == [0, 2] and later._figure(START, 0) == 0.2
    later._survey(START + 1000)
    assert list(later.known) == [2]


def test_times_from_a_clock_that_is_ahead_are_taken_for_now():
    n = node(1)
    figures(n, [0.2], at=START + 80)
    later = successor_of(n)
    assert later.figure_at[0] == later.seen_at[0] == START


def test_the_mean_load_of_those_that_stand_is_kept_until_some_stand_here():
    n = node(2)
    standing(n, 0, [10.0] * 20)
    for h in range(2):
        n.probed(START, h, Outcome.GOOD, Report(0.4, None, 40))
    n._survey(START)
    n.mean_hint = 300.0
    assert successor_of(n).each == n.each < 30.0


def test_records_are_read_as_they_were_sent_and_blank_ones_take_no_space():
    rng = random.Random(5)
    names = HostRecord.__slots__
    for _ in range(200):
        some = HostRecord(**{name: rng.choice([0.0, 1.5, 1e12]) for name in rng.sample(names, 5)})
        assert HostRecord.from_message(some.as_message()) == some
    assert HostRecord().as_message() == {}
    assert HostRecord.from_message({"of_a_later_version": [1]}) == HostRecord()


@pytest.mark.parametrize(
    "message", [None, [1.0], {"figure": "0.4"}, {"born": True}, {"sent": -1.0}, {"pile": float("nan")}]
)
def test_what_is_no_record_is_named(message):
    with pytest.raises(RecordError):
        HostRecord.from_message(message)


# ---- on the way from process to process


class Port:
    """The clients' port as far as an upgrade asks for it."""

    def fileno(self):
        return 9


def test_a_successor_is_told_of_each_host_under_its_own_index(tmp_path):
    d, later = desk(hosts=3), desk(hosts=0)
    service, successor = service_over(d, tmp_path), service_over(later, tmp_path)
    service.port, successor.listen, successor.discovery.start = Port(), lambda fd: None, lambda: None
    figures(d.balancer._node, [0.9, 0.2, 0.4], at=d.clock())
    d.ban("s-2", True)
    d.ban("s-2", False)
    told = orjson.dumps(service.upgrade.tell_state())
    rows, state, fds = orjson.loads(told)
    successor.upgrade.take_state(list(reversed(rows)), state, fds)
    m = later.balancer._node
    hosts = [later.hosts.index[f"s-{i}"] for i in range(3)]
    assert [m.figure[h] for h in hosts] == [0.9, 0.2, None]
    assert m.cold == [hosts[2]] and hosts != [0, 1, 2]


def test_rows_of_a_version_that_tells_no_records_and_a_broken_one_are_taken_all_the_same():
    later = desk(hosts=0)
    rows = [row("s-0"), {**row("s-1", port=9001), "seen": {"figure": "full"}}]
    later.listed(True, rows)
    with logged() as lines:
        later.take_records(rows)
    assert ["bad-record" in line for line in lines] == [True]
    assert later.balancer._node.state == [HostState.RUNNING] * 2
