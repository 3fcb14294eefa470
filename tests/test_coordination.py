"""Choices that add up: subsets, turns, signals, further tries; properties over fleets of any size."""

import pytest
from helpers import host_row, make_handler
from hypothesis import given, settings
from hypothesis import strategies as st

from caperdeck.coordination.hashing import mixed
from caperdeck.coordination.episodes import EPISODE, LIFE, SPREAD, Episodes, Retries, Seen
from caperdeck.coordination.subset import (
    COVER, LEAST, MOST_HOSTS, Place, Ring, SubsetError, Subsets, stands_at, wanted,
)  # fmt: skip
from caperdeck.coordination.stagger import MOST_STEPS, STEP, Work, period, wait

SIZES = st.lists(st.floats(0.1, 10.0), min_size=1, max_size=120)


def places(sizes, zones=1):
    return [Place(i, mixed_mark(i), size, i % zones) for i, size in enumerate(sizes)]


def mixed_mark(i):
    return int(mixed(i, 99) * 2**32)


def arcs(sizes, nodes, ids=None, at=stands_at):
    ring, least = Ring(places(sizes)), wanted(len(sizes), nodes)
    return [ring.arc(at(me), least) for me in (ids or range(nodes))]


def offered(sizes, parts):
    """What each host is meant to get for what its size is worth, over all nodes."""
    got = [0.0] * len(sizes)
    for arc in parts:
        for p in arc:
            got[p.host] += p.share
    return [x / len(parts) * sum(sizes) / size for x, size in zip(got, sizes, strict=True)]


def covered(sizes, parts):
    counts = [0] * len(sizes)
    for arc in parts:
        for p in arc:
            counts[p.host] += 1
    return counts


# ---- subsets


@given(SIZES, st.integers(1, 1000), st.integers(0, 10**6))
def test_a_subset_is_shares_of_distinct_hosts_that_add_up(sizes, nodes, me):
    (arc,) = arcs(sizes, nodes, [me])
    hosts = [p.host for p in arc]
    assert len(set(hosts)) == len(hosts) >= wanted(len(sizes), nodes)
    assert sum(p.share for p in arc) == pytest.approx(1.0) and all(p.share >= 0 for p in arc)


@settings(deadline=None, max_examples=40)
@given(st.integers(1, 1000), st.integers(1, 300))
def test_each_host_is_covered_by_its_least_number_of_nodes(nodes, hosts):
    counts = covered([1.0] * hosts, arcs([1.0] * hosts, nodes))
    # of a row of numbers no gap is over 2.7 times the mean one
    assert min(counts) >= max(min(COVER, nodes) // 3, 1)


@pytest.mark.parametrize("nodes, hosts, most", [
    (1, 1, 1.0), (1, 1000, 1.0), (3, 90, 1.0), (200, 5, 1.0), (200, 60, 1.05), (200, 90, 1.07),
    (40, 12, 1.04), (1000, 300, 1.04), (1000, 1000, 1.15), (8, 10, 1.1), (20, 90, 1.3),
])  # fmt: skip
@pytest.mark.parametrize("sizes", ["alike", "one as big as ten", "uneven"])
def test_load_is_offered_in_proportion_to_size(nodes, hosts, most, sizes):
    if sizes == "uneven":
        rows = [0.5 + i % 3 for i in range(hosts)]
    else:
        rows = [10.0 if i == 1 and sizes != "alike" else 1.0 for i in range(hosts)]
    assert max(offered(rows, arcs(rows, nodes))) <= most + 1e-9


@pytest.mark.parametrize("ids, most", [
    (range(1000, 1200), 1.05),  # numbers that begin anywhere
    ([i for i in range(300) if mixed(i) > 1 / 3], 1.35),  # with gaps
    (range(0, 600, 3), 1.10),  # one zone's, every third
    ([i for i in range(200) if i % 10 != 4], 1.15),  # a tenth restarts
    ([i for i in range(200) if i // 20 != 4], 1.15),  # or a row of twenty
])  # fmt: skip
def test_gaps_and_rows_of_numbers_leave_load_near_even(ids, most):
    assert max(offered([1.0] * 60, arcs([1.0] * 60, 200, ids))) <= most


def test_a_node_more_changes_no_other_subset_while_the_length_stays():
    assert arcs([1.0] * 60, 200) == arcs([1.0] * 60, 201)[:200]


@pytest.mark.parametrize("nodes, hosts", [(200, 60), (200, 90), (40, 12), (1000, 300)])
def test_a_host_fewer_changes_few_subsets(nodes, hosts):
    """About half a host a node and event; the least possible is one for each node that had the host."""
    rows = places([1.0] * hosts)
    ring, other, least = Ring(rows), Ring(rows[:7] + rows[8:]), wanted(hosts, nodes)
    changes = possible = 0
    for me in range(nodes):
        old = {p.host for p in ring.arc(stands_at(me), least)}
        new = {p.host for p in other.arc(stands_at(me), least)}
        changes += len(old - new)
        possible += 7 in old
        assert len(old & new) >= len(old) - 2  # so that no host is left, or met, by all at once
    assert possible <= changes <= 0.6 * nodes + possible


@pytest.mark.parametrize("bad", [0.3, 0.6, 0.9])
def test_no_subset_is_of_ill_or_cold_or_draining_hosts_only(bad):
    ring = Ring(places([1.0] * 60))

    def good(host):
        return mixed(host, 7) >= bad

    healthy = sum(map(good, range(60)))
    for me in range(200):
        assert sum(good(p.host) for p in ring.arc(stands_at(me), 8, good)) >= min(8, healthy)


def test_a_subset_of_the_own_zone_and_of_all_when_that_zone_is_lost():
    s = Subsets(5, 30, zone=1)
    assert s.update(places([1.0] * 30, zones=3)) is None
    assert {p.host % 3 for p in s.pick(near=True)} == {1} and len(s.pick(near=True)) >= LEAST
    assert s.update([p for p in places([1.0] * 30, zones=3) if p.zone != 1]) is None
    assert s.pick(near=True) == [] and len(s.pick(near=False)) >= LEAST


@pytest.mark.parametrize("row, text", [
    (Place(9, mixed_mark(0), 1.0), "twice"),
    (Place(9, 5, 0.0), "not over 0"), (Place(9, 5, -1.0), "not over 0"),
    (Place(9, 5, float("nan")), "no number"), (Place(9, 5, float("inf")), "no number"),
    (Place(9, 5, "1"), "no number"), (Place(9, 5, True), "no number"), (Place(9, 5, 1e9), "absurd"),
])  # fmt: skip
def test_a_list_that_cannot_be_used_is_named_and_the_last_one_kept(row, text):
    s = Subsets(2, 10)
    s.update(places([1.0] * 20))
    before = s.pick(False)
    assert text in s.update([*places([1.0] * 20), row]) and s.pick(False) == before
    assert s.update(places([1.0] * 21)) is None and s.refused == ""


def test_a_node_is_told_its_subset_with_each_list_and_none_where_that_leaves_nobody_out():
    d = make_handler(hosts=30)
    d.subsets = Subsets(3, 40)
    d.update_roster(True, [host_row(f"s-{h}", port=9000 + h) for h in range(30)])
    first = d.balancer._node.preferred
    assert len(first) in (8, 9) and first == d.subsets.narrowed(False)
    gone = d.hosts.uids[first[0]]
    d.update_roster(False, [host_row(gone, state="Gone")])
    assert first[0] not in d.balancer._node.preferred and len(d.balancer._node.preferred) in (8, 9)
    d.update_roster(True, [host_row(f"s-{h}", port=9000 + h) for h in range(5)])
    assert d.balancer._node.preferred == []


def test_a_list_with_one_mark_twice_leaves_the_last_subset_and_is_served():
    d = make_handler(hosts=30)
    d.subsets = Subsets(3, 40)
    d.update_subsets()
    first = d.balancer._node.preferred
    d.hosts.entries[2] = d.hosts.entries[2]._replace(stable_id=d.hosts.entries[1].stable_id)
    d.update_subsets()
    assert d.balancer._node.preferred == first and d.subsets.refused


def test_bounds_of_a_list():
    assert Subsets(0, 1).pick(False) == [] and Subsets(0, 0).update([]) is None
    with pytest.raises(SubsetError, match="over"):
        Ring(Place(i, i, 1.0) for i in range(MOST_HOSTS + 1))
    for me in (-1, None, True, "3"):
        with pytest.raises(SubsetError, match="own number"):
            Subsets(me, 3)


def by_hash_alone(me):
    return mixed(me, 1)


def modulo_of_the_count(nodes):
    return lambda me: me % nodes / nodes


@pytest.mark.parametrize("at, ids", [
    (by_hash_alone, range(200)), (modulo_of_the_count(200), [i for i in range(300) if i % 3]),
])  # fmt: skip
def test_a_planted_way_to_stand_is_found(at, ids):
    """Drawn places, or the number over the count with gaps, load hosts unevenly."""
    assert max(offered([1.0] * 60, arcs([1.0] * 60, 200, ids, at))) > 1.2


# ---- turns


@pytest.mark.parametrize("nodes", [1, 3, 40, 200, 1000])
@pytest.mark.parametrize("dead", [0.0, 0.7])
def test_so_many_have_done_it_after_a_time_as_steps_have_gone_by(nodes, dead):
    """However many there are: it grows with time, not with nodes; who is dead takes no turn away."""
    hosts, done = 400, 0
    living = [me for me in range(nodes) if me < 1 or mixed(me, 3) >= dead]
    for mark in range(hosts):
        done += sum(wait(me, nodes, mark, Work.CROWDED, 5) <= 4 * STEP for me in living)
    mean = done / hosts
    assert mean <= 4 * 1.25 and mean >= min(4 * len(living) / nodes * 0.8, 0.8)


def test_nothing_is_left_alone_longer_than_stated_and_turns_go_round():
    first = [min(range(40), key=lambda me: wait(me, 40, 7, Work.FIRST, k)) for k in range(200)]
    longest = max(wait(me, 1000, 7, Work.FIRST, 1) for me in range(1000))
    assert len(set(first)) > 35 and longest <= MOST_STEPS * STEP


def test_hosts_begin_their_periods_apart_and_clocks_that_are_off_only_shift_them():
    numbers = [period(10_000.0, mark, Work.RETURNING, 1000.0) for mark in range(1000)]
    assert set(numbers) == {10, 11} or set(numbers) == {10}
    changes = sum(
        period(10_000.0, m, Work.RETURNING, 1000.0) != period(10_100.0, m, Work.RETURNING, 1000.0)
        for m in range(1000)
    )  # fmt: skip
    assert 60 < changes < 140  # a tenth of them in a tenth of a period, not all at once


# ---- signals


def heard(me, load=1.2, at=0.0, origin=9, now=0.0, limit=0.85):
    e = Episodes(me, limit)
    e.saw(now, Seen(5, load, at, origin))
    return e


@pytest.mark.parametrize("hear", [1.0, 0.5, 0.1])
def test_the_excess_is_moved_once_by_those_that_heard_of_it(hear):
    own = [mixed(me, 1) for me in range(200)]  # of the host's load, by node
    moved, moments = 0.0, []
    for me in range(200):
        if mixed(me, 2) < hear:
            e = heard(me)
            for again in range(3):  # told more than once, by others, and seen itself a little later
                e.saw(100.0 * again, Seen(5, 1.25, 50.0 * again, again))
            for due in e.take(SPREAD + 1):
                moved += due.part * own[me]
                moments.append(due.at)
    excess = (1.2 - 0.85) / 1.2 * sum(own[me] for me in range(200) if mixed(me, 2) < hear)
    assert moved == pytest.approx(excess) and len({round(t / 10) for t in moments}) > 10 * hear


def test_what_is_old_or_from_the_future_or_under_the_limit_starts_nothing():
    assert not heard(1, load=0.85).waiting and not heard(1, at=0.0, now=LIFE + 1).waiting
    assert not heard(1, at=10.0, now=0.0).waiting
    e = heard(1)
    assert e.take(EPISODE + 1) == []  # it slept through its moment
    assert e.saw(EPISODE + 1, Seen(5, 1.1, EPISODE, 9))


def test_who_saw_it_itself_acts_at_once_and_the_rest_spread_out():
    assert heard(9).waiting[5].at == 0.0
    assert len({round(heard(me).waiting[5].at / 50) for me in range(200)}) >= 9


@pytest.mark.parametrize("tries", [1, 10, 1000])
def test_further_tries_stay_under_their_multiple_whoever_hears_of_whom(tries):
    made = 0
    for _ in range(50):
        r = Retries(0.2, 5.0)
        for _ in range(tries):
            r.first()
            made += sum(r.again() for _ in range(4))
    assert made <= 50 * (0.2 * tries + 5.0)
