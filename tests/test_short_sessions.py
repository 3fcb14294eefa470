"""What a balancer keeps of sessions that end before any report shows their load."""

import pytest
from helpers import START, dials, make_node, report_loads, roster_entry, session_request

from caperdeck.core.decide import FULL_LOAD, MIN_MOVE_AGE_MS, SHED_THRESHOLD, TICK_TOKEN
from caperdeck.core.model import Move, Outcome
from caperdeck.core.quotas import HEADROOM_BUDGET

HOSTS = 6
SESSION_LOAD = 10.0  # milliseconds of work a second
UNIT_CAPACITY = 100.0


def node_with_headroom(**changes):
    node = make_node(HOSTS, **changes)
    node.unit_capacity = UNIT_CAPACITY
    report_loads(node, [0.1] * HOSTS)
    return node


def open_one(node, number, now):
    """Opens a session; the host that it is sent to, None if there is none."""
    found = dials(node.open_session(now, session_request(number, SESSION_LOAD)))
    return found[0].host if found else None


def served_and_closed(node, number, now):
    node.session_established(now, number)
    node.dial_ended(now, number, 0, Outcome.WITHDRAWN, True)


def served_to_its_end(node, number, now):
    node.session_established(now, number)
    node.dial_ended(now, number, 0, Outcome.GOOD, True)


def closed_before_its_answer(node, number, now):
    node.client_disconnected(now, number)
    node.dial_ended(now, number, 0, Outcome.WITHDRAWN, True)


@pytest.mark.parametrize("end", [served_and_closed, served_to_its_end, closed_before_its_answer])
def test_sessions_that_end_at_once_leave_the_hosts_to_other_clients(end):
    # Guards against clients refused while hosts are idle, beside one that opens and closes sessions.
    node, now = node_with_headroom(), START
    for number in range(400):
        assert open_one(node, number, now) is not None, f"session {number} found no host"
        end(node, number, now + 1.0)
        now += 2.0
    assert node.unreported_total == [0.0] * HOSTS and not node.unreported_hosts
    node.timer_fired(now, TICK_TOKEN)
    assert open_one(node, 1000, now) is not None


def test_sessions_that_stay_open_still_use_up_the_headroom():
    node = node_with_headroom()
    sent = sum(open_one(node, number, START) is not None for number in range(400))
    assert 0 < sent < HOSTS * UNIT_CAPACITY / SESSION_LOAD


def failed(node, number, now):
    node.dial_ended(now, number, 0, Outcome.ERROR, True)


def reset(node, number, now):
    node.session_established(now, number)
    node.dial_ended(now, number, 0, Outcome.RESET, True)


def left_when_the_host_was_late(node, number, now):
    closed_before_its_answer(node, number, now + 1000.0)


@pytest.mark.parametrize("end", [failed, reset, left_when_the_host_was_late])
def test_the_load_of_a_dial_that_went_wrong_still_counts(end):
    # Guards against load sent again at once to a host that fails under what it was sent.
    node = node_with_headroom()
    host = open_one(node, 1, START)
    end(node, 1, START + 1.0)
    assert node.unreported_total[host] == SESSION_LOAD


def test_the_load_of_a_short_session_still_counts_at_a_cold_host():
    # Guards against a cold host pushed over by many short sessions: its budget counts what is sent.
    node = node_with_headroom(entries=[roster_entry(h, started_at=START - 4000.0) for h in range(HOSTS)])
    now, sent = START, 0
    for number in range(400):
        if (host := open_one(node, number, now)) is not None:
            sent += 1
            before = node.unreported_total[host]
            served_and_closed(node, number, now + 1.0)
            assert node.unreported_total[host] == before
        now += 2.0
    assert 0 < sent < 400


def test_the_load_of_a_moved_session_is_taken_back_once():
    # Guards against a host that is taken for emptier than it is, after moves.
    node = node_with_headroom()
    host = open_one(node, 1, START)
    node.session_established(START, 1)
    now = START + MIN_MOVE_AGE_MS
    node._shed_load(now, host, 1000.0 * FULL_LOAD, SHED_THRESHOLD, True, 0.0)
    assert node._take_actions() == [Move(1)]
    node.dial_ended(now, 1, 0, Outcome.WITHDRAWN, True)
    assert node.unreported_total[host] == 0.0


def test_a_refund_exceeds_no_cap():
    # Guards against headroom that grows by sessions that end.
    node = node_with_headroom()
    node.quotas.saved[HEADROOM_BUDGET] = 5.0
    node.quotas.refund(HEADROOM_BUDGET, 10.0, 8.0)
    assert node.quotas.saved[HEADROOM_BUDGET] == 8.0
    node.quotas.refund(HEADROOM_BUDGET, 10.0, 6.0)
    assert node.quotas.saved[HEADROOM_BUDGET] == 8.0
