"""Decisions that add up over many nodes: subsets, staggered work, overload episodes, retry budgets.

They are checked over fleets of any size.
"""

import pytest
from helpers import host_row, make_handler
from hypothesis import given, settings
from hypothesis import strategies as st

from caperdeck.coordination.hashing import uniform_hash
from caperdeck.coordination.episodes import (
    ACT_SPREAD_MS, EPISODE_LENGTH_MS, MAX_OBSERVATION_AGE_MS, LoadObservation, OverloadEpisodes, RetryBudget,
)  # fmt: skip
from caperdeck.coordination.subset import (
    MAX_HOSTS, MIN_SUBSET_HOSTS, NODES_PER_HOST, Ring, RingHost, SubsetError, Subsets, ring_position,
    subset_size,
)  # fmt: skip
from caperdeck.coordination.stagger import MAX_STEPS, STEP_MS, StaggeredWork, period_number, stagger_delay

SIZES = st.lists(st.floats(0.1, 10.0), min_size=1, max_size=120)


def ring_hosts(sizes, zones=1):
    return [RingHost(i, hashed_id(i), size, i % zones) for i, size in enumerate(sizes)]


def hashed_id(i):
    return int(uniform_hash(i, 99) * 2**32)


def arcs(sizes, nodes, numbers=None, position=ring_position):
    """The subsets of the nodes with these numbers, of all nodes if none are given."""
    ring, min_hosts = Ring(ring_hosts(sizes)), subset_size(len(sizes), nodes)
    return [ring.arc(position(number), min_hosts) for number in (numbers or range(nodes))]


def offered(sizes, subsets):
    """Each host's share of all nodes' sessions, as a multiple of the share that its size calls for."""
    got = [0.0] * len(sizes)
    for arc in subsets:
        for member in arc:
            got[member.host] += member.share
    return [x / len(subsets) * sum(sizes) / size for x, size in zip(got, sizes, strict=True)]


def covered(sizes, subsets):
    """How many subsets each host is in."""
    counts = [0] * len(sizes)
    for arc in subsets:
        for member in arc:
            counts[member.host] += 1
    return counts


# ---- subsets


@given(SIZES, st.integers(1, 1000), st.integers(0, 10**6))
def test_a_subset_has_distinct_hosts_whose_shares_add_up_to_one(sizes, nodes, number):
    (arc,) = arcs(sizes, nodes, [number])
    hosts = [member.host for member in arc]
    assert len(set(hosts)) == len(hosts) >= subset_size(len(sizes), nodes)
    assert sum(x.share for x in arc) == pytest.approx(1.0) and all(x.share >= 0 for x in arc)


@settings(deadline=None, max_examples=40)
@given(st.integers(1, 1000), st.integers(1, 300))
def test_each_host_is_in_the_subset_of_a_minimum_number_of_nodes(nodes, hosts):
    counts = covered([1.0] * hosts, arcs([1.0] * hosts, nodes))
    # between the positions of consecutive numbers no gap is over 2.7 times the mean
    assert min(counts) >= max(min(NODES_PER_HOST, nodes) // 3, 1)


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


@pytest.mark.parametrize("numbers, most", [
    (range(1000, 1200), 1.05),  # numbers that do not begin at 0
    ([i for i in range(300) if uniform_hash(i) > 1 / 3], 1.35),  # with gaps
    (range(0, 600, 3), 1.10),  # every third number, as of one zone
    ([i for i in range(200) if i % 10 != 4], 1.15),  # every tenth node restarts
    ([i for i in range(200) if i // 20 != 4], 1.15),  # twenty nodes in a row restart
])  # fmt: skip
def test_load_stays_near_even_with_gaps_in_the_node_numbers(numbers, most):
    assert max(offered([1.0] * 60, arcs([1.0] * 60, 200, numbers))) <= most


def test_an_added_node_changes_no_other_subset_while_the_subset_size_stays():
    assert arcs([1.0] * 60, 200) == arcs([1.0] * 60, 201)[:200]


@pytest.mark.parametrize("nodes, hosts", [(200, 60), (200, 90), (40, 12), (1000, 300)])
def test_a_removed_host_changes_few_subsets(nodes, hosts):
    """Each node changes about half a host; the minimum is one for each node that had the removed host."""
    rows = ring_hosts([1.0] * hosts)
    ring, other, min_hosts = Ring(rows), Ring(rows[:7] + rows[8:]), subset_size(hosts, nodes)
    changes = minimum = 0
    for number in range(nodes):
        old = {member.host for member in ring.arc(ring_position(number), min_hosts)}
        new = {member.host for member in other.arc(ring_position(number), min_hosts)}
        changes += len(old - new)
        minimum += 7 in old
        assert len(old & new) >= len(old) - 2  # so that no host is dropped or gained by all nodes at once
    assert minimum <= changes <= 0.6 * nodes + minimum


@pytest.mark.parametrize("unusable", [0.3, 0.6, 0.9])
def test_no_subset_has_only_failing_or_cold_or_draining_hosts(unusable):
    ring = Ring(ring_hosts([1.0] * 60))

    def usable(host):
        return uniform_hash(host, 7) >= unusable

    healthy = sum(map(usable, range(60)))
    for number in range(200):
        assert sum(usable(x.host) for x in ring.arc(ring_position(number), 8, usable)) >= min(8, healthy)


def test_subsets_are_of_the_nodes_zone_and_of_all_hosts_and_the_latter_outlives_the_zone():
    subsets = Subsets(5, 30, zone=1)
    assert subsets.update(ring_hosts([1.0] * 30, zones=3)) is None
    assert {x.host % 3 for x in subsets.select(in_zone=True)} == {1} and len(
        subsets.select(in_zone=True)
    ) >= MIN_SUBSET_HOSTS
    assert subsets.update([row for row in ring_hosts([1.0] * 30, zones=3) if row.zone != 1]) is None
    assert subsets.select(in_zone=True) == [] and len(subsets.select(in_zone=False)) >= MIN_SUBSET_HOSTS


@pytest.mark.parametrize("row, text", [
    (RingHost(9, hashed_id(0), 1.0), "twice"),
    (RingHost(9, 5, 0.0), "not over 0"), (RingHost(9, 5, -1.0), "not over 0"),
    (RingHost(9, 5, float("nan")), "not a finite number"),
    (RingHost(9, 5, float("inf")), "not a finite number"),
    (RingHost(9, 5, "1"), "not a finite number"), (RingHost(9, 5, True), "not a finite number"),
    (RingHost(9, 5, 1e9), "out of proportion"),
])  # fmt: skip
def test_an_unusable_list_is_reported_and_the_last_good_one_kept(row, text):
    subsets = Subsets(2, 10)
    subsets.update(ring_hosts([1.0] * 20))
    before = subsets.select(False)
    assert text in subsets.update([*ring_hosts([1.0] * 20), row]) and subsets.select(False) == before
    assert subsets.update(ring_hosts([1.0] * 21)) is None and subsets.refusal == ""


def test_a_node_gets_its_subset_with_each_list_and_none_where_that_has_all_hosts():
    d = make_handler(hosts=30)
    d.subsets = Subsets(3, 40)
    d.update_roster(True, [host_row(f"s-{h}", port=9000 + h) for h in range(30)])
    first = d.balancer._node.preferred
    assert len(first) in (8, 9) and first == d.subsets.restricted_hosts(False)
    gone = d.hosts.uids[first[0]]
    d.update_roster(False, [host_row(gone, state="Gone")])
    assert first[0] not in d.balancer._node.preferred and len(d.balancer._node.preferred) in (8, 9)
    d.update_roster(True, [host_row(f"s-{h}", port=9000 + h) for h in range(5)])
    assert d.balancer._node.preferred == []


def test_a_list_with_a_duplicate_id_leaves_the_last_subset_and_is_served():
    d = make_handler(hosts=30)
    d.subsets = Subsets(3, 40)
    d.update_subsets()
    first = d.balancer._node.preferred
    d.hosts.entries[2] = d.hosts.entries[2]._replace(stable_id=d.hosts.entries[1].stable_id)
    d.update_subsets()
    assert d.balancer._node.preferred == first and d.subsets.refusal


def test_limits_of_a_list_and_of_the_node_number():
    assert Subsets(0, 1).select(False) == [] and Subsets(0, 0).update([]) is None
    with pytest.raises(SubsetError, match="over"):
        Ring(RingHost(i, i, 1.0) for i in range(MAX_HOSTS + 1))
    for number in (-1, None, True, "3"):
        with pytest.raises(SubsetError, match="this node's number"):
            Subsets(number, 3)


def hashed_position(number):
    return uniform_hash(number, 1)


def position_by_node_count(nodes):
    return lambda number: number % nodes / nodes


@pytest.mark.parametrize("position, numbers", [
    (hashed_position, range(200)), (position_by_node_count(200), [i for i in range(300) if i % 3]),
])  # fmt: skip
def test_a_position_that_spreads_load_unevenly_is_found(position, numbers):
    """Hashed positions, or the number over the count where numbers have gaps, load hosts unevenly."""
    assert max(offered([1.0] * 60, arcs([1.0] * 60, 200, numbers, position))) > 1.2


# ---- staggered work


@pytest.mark.parametrize("nodes", [1, 3, 40, 200, 1000])
@pytest.mark.parametrize("dead", [0.0, 0.7])
def test_the_number_of_nodes_that_have_acted_grows_with_the_steps_passed(nodes, dead):
    """It does not grow with the number of nodes, and dead nodes do not leave work undone."""
    hosts, done = 400, 0
    living = [number for number in range(nodes) if number < 1 or uniform_hash(number, 3) >= dead]
    for host in range(hosts):
        done += sum(
            stagger_delay(number, nodes, host, StaggeredWork.OVERLOADED_PROBE, 5) <= 4 * STEP_MS
            for number in living
        )
    mean = done / hosts
    assert mean <= 4 * 1.25 and mean >= min(4 * len(living) / nodes * 0.8, 0.8)


def test_no_work_waits_longer_than_the_longest_delay_and_the_first_node_changes_by_period():
    first = [
        min(range(40), key=lambda number: stagger_delay(number, 40, 7, StaggeredWork.FIRST_PROBE, k))
        for k in range(200)
    ]
    longest = max(stagger_delay(number, 1000, 7, StaggeredWork.FIRST_PROBE, 1) for number in range(1000))
    assert len(set(first)) > 35 and longest <= MAX_STEPS * STEP_MS


def test_periods_of_hosts_begin_at_different_times_and_clock_offsets_only_shift_them():
    numbers = [period_number(10_000.0, host, StaggeredWork.COLD_PROBE, 1000.0) for host in range(1000)]
    assert set(numbers) == {10, 11} or set(numbers) == {10}
    changes = sum(
        period_number(10_000.0, host, StaggeredWork.COLD_PROBE, 1000.0)
        != period_number(10_100.0, host, StaggeredWork.COLD_PROBE, 1000.0)
        for host in range(1000)
    )
    assert 60 < changes < 140  # a tenth of the hosts in a tenth of a period, not all at once


# ---- overload episodes


def observing(node_number, load=1.2, at=0.0, origin=9, now=0.0, limit=0.85):
    """A node that has been given one observation of a host."""
    episodes = OverloadEpisodes(node_number, limit)
    episodes.observe(now, LoadObservation(5, load, at, origin))
    return episodes


@pytest.mark.parametrize("hear", [1.0, 0.5, 0.1])
def test_nodes_that_heard_of_an_overload_together_move_their_share_of_the_excess_once(hear):
    own_load = [uniform_hash(number, 1) for number in range(200)]  # on the host, by node
    moved, moments = 0.0, []
    for number in range(200):
        if uniform_hash(number, 2) < hear:
            episodes = observing(number)
            for again in range(3):  # notified again by others, and by a probe of its own a little later
                episodes.observe(100.0 * again, LoadObservation(5, 1.25, 50.0 * again, again))
            for move in episodes.take_due(ACT_SPREAD_MS + 1):
                moved += move.fraction * own_load[number]
                moments.append(move.due_at)
    excess = (1.2 - 0.85) / 1.2 * sum(own_load[n] for n in range(200) if uniform_hash(n, 2) < hear)
    assert moved == pytest.approx(excess) and len({round(t / 10) for t in moments}) > 10 * hear


def test_old_and_future_observations_and_those_under_the_limit_start_no_episode():
    assert (
        not observing(1, load=0.85).scheduled
        and not observing(1, at=0.0, now=MAX_OBSERVATION_AGE_MS + 1).scheduled
    )
    assert not observing(1, at=10.0, now=0.0).scheduled
    episodes = observing(1)
    assert episodes.take_due(EPISODE_LENGTH_MS + 1) == []  # the node slept through the episode
    assert episodes.observe(EPISODE_LENGTH_MS + 1, LoadObservation(5, 1.1, EPISODE_LENGTH_MS, 9))


def test_the_node_that_probed_acts_at_once_and_the_others_spread_out():
    assert observing(9).scheduled[5].due_at == 0.0
    assert len({round(observing(number).scheduled[5].due_at / 50) for number in range(200)}) >= 9


@pytest.mark.parametrize("tries", [1, 10, 1000])
def test_retries_stay_under_their_multiple_of_first_tries(tries):
    made = 0
    for _ in range(50):
        budget = RetryBudget(0.2, 5.0)
        for _ in range(tries):
            budget.record_first_try()
            made += sum(budget.try_retry() for _ in range(4))
    assert made <= 50 * (0.2 * tries + 5.0)
