"""The parts of the core that make no decisions, and the size limits of the policy files."""

import math
import tomllib
from collections import Counter
from pathlib import Path

import pytest
from helpers import START, make_node, make_settings, roster_entry, session_request

from caperdeck.core.forecast import FORECAST_TAU_MS, forecast, take_load_note
from caperdeck.core.host_table import HostTable
from caperdeck.core.model import HostState, RosterScope
from caperdeck.core.sampling import without_replacement
from caperdeck.core.warmup import warm_share, warm_time

ROOT = Path(__file__).parent.parent
POLICY_LINES = 680  # of all policy files together
POLICY_COLUMNS = 110


def test_the_policy_files_keep_to_their_line_and_column_limits():
    policy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
    texts = [(ROOT / name).read_text() for name in policy]
    assert sum(text.count("\n") for text in texts) <= POLICY_LINES
    assert max(len(line) for text in texts for line in text.split("\n")) <= POLICY_COLUMNS


@pytest.mark.parametrize(
    "age, share", [(-5.0, 0.3), (0.0, 0.3), (4000.0, 0.65), (8000.0, 1.0), (9000.0, 1.0)]
)
def test_a_host_warms_up_linearly(age, share):
    assert warm_share(age, 0.3, 8000.0) == pytest.approx(share)


def test_without_a_warm_up_a_host_is_warm_at_once():
    assert warm_share(0.0, 0.3, 0.0) == 1.0


@pytest.mark.parametrize("age", [-5.0, 0.0, 1000.0, 4000.0, 8000.0, 20000.0])
def test_the_warm_time_is_the_integral_of_the_share_up_to_the_end_of_the_warm_up(age):
    steps = int(min(max(age, 0.0), 8000.0))
    summed = sum(warm_share(i + 0.5, 0.3, 8000.0) for i in range(steps))
    assert warm_time(age, 0.3, 8000.0) == pytest.approx(summed)


def test_a_forecast_starts_at_the_hint_or_the_mean_and_approaches_the_last_note():
    node = make_node(1)
    node.resume_session(START, session_request(1, load=10.0), 0)
    node.resume_session(START, session_request(2, load=None), 0)
    hinted, unknown = node.sessions[1], node.sessions[2]
    assert forecast(hinted, START, 30.0) == 10.0 and forecast(unknown, START, 30.0) == 30.0
    take_load_note(hinted, START, 50.0, 30.0)
    take_load_note(unknown, START, 50.0, 30.0)
    assert forecast(hinted, START, 30.0) == 10.0 and forecast(unknown, START, 30.0) == 50.0
    assert forecast(hinted, START + FORECAST_TAU_MS, 30.0) == pytest.approx(50.0 - 40.0 / math.e)


def test_a_sample_takes_one_random_number_per_item_and_leaves_the_list_unchanged():
    numbers, items = iter([0.0, 0.99, 0.0]), [5, 6, 7, 8]
    assert list(without_replacement(items, 3, lambda: next(numbers))) == [5, 8, 7]
    assert items == [5, 6, 7, 8] and next(numbers, None) is None


def test_each_item_is_equally_likely_to_come_first_and_none_comes_twice():
    shares = [(i + 0.5) / 12 for i in range(12)]
    firsts = Counter(
        next(without_replacement([1, 2, 3, 4], 2, lambda share=share: share)) for share in shares
    )
    assert firsts == {1: 3, 2: 3, 3: 3, 4: 3}
    for share in shares:
        assert sorted(without_replacement([1, 2, 3, 4], 9, lambda share=share: share)) == [1, 2, 3, 4]


def make_table(*entries) -> HostTable:
    hosts = HostTable(make_settings())
    for row in entries:
        hosts._apply_entry(START, row)
    hosts._refresh_subsets(START)
    return hosts


def test_the_table_knows_running_hosts_those_in_the_zone_and_cold_ones():
    hosts = make_table(
        roster_entry(0), roster_entry(1, zone=1), roster_entry(2, HostState.DRAINING),
        roster_entry(3, started_at=START - 4000.0, size=2.0),
    )  # fmt: skip
    assert (hosts.running, hosts.running_in_zone, hosts.cold) == ([0, 1, 3], [0, 3], [3])
    assert hosts.total_size == 4.0 and hosts._warm_share(START, 3) == pytest.approx(0.65)


def test_a_restarted_host_loses_what_was_learned_and_keeps_its_sessions():
    hosts = make_table(roster_entry(0))
    hosts.reported_load[0], hosts.failure_score[0], hosts.connections[0] = 0.5, 3.0, 2
    hosts._apply_entry(START, roster_entry(0, started_at=0.0))
    assert (hosts.reported_load[0], hosts.failure_score[0]) == (0.5, 3.0)
    hosts._apply_entry(START, roster_entry(0, started_at=START - 10.0))
    assert (hosts.reported_load[0], hosts.failure_score[0], hosts.connections[0]) == (None, 0.0, 2)


def test_a_banned_host_counts_as_draining_and_as_cold_after_its_ban():
    hosts = make_table(roster_entry(0), roster_entry(1))
    hosts._apply_ban(START, 0, True)
    hosts._refresh_subsets(START)
    assert (hosts.state[0], hosts.running) == (HostState.DRAINING, [1])
    hosts._apply_ban(START + 5.0, 0, False)
    hosts._refresh_subsets(START + 5.0)
    assert (hosts.running, hosts.cold, hosts.started_at[0]) == ([0, 1], [0], START + 5.0)


def test_a_host_missing_from_a_complete_roster_is_gone():
    node = make_node(3)
    node.update_roster(START, RosterScope.FULL, [roster_entry(1)])
    assert node.listed_state == [HostState.GONE, HostState.RUNNING, HostState.GONE]


def test_dials_and_established_sessions_count_at_their_host():
    node = make_node(1)
    node.open_session(START, session_request(1))
    assert (node.connections, node.pending_dials, node.dial_counts, node.unreported_total) == (
        [1],
        [1],
        {(0, 0.0): 1},
        [10.0],
    )
    node.session_established(START, 1)
    assert (node.connections, node.pending_dials, list(node.established[0]), list(node.used_hosts)) == (
        [1],
        [0],
        [1],
        [0],
    )
