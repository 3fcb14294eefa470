"""Shared state of the fleet: quota transfers, counters, judgements, message sections, and their bounds in
large fleets.
"""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from caperdeck.core.quotas import Quotas
from caperdeck.gossip import message_sections
from caperdeck.gossip.counters import EXPIRY_MS, MAX_COUNTERS, MAX_INCREASE, CounterStore, CounterValue
from caperdeck.gossip.judgements import VALIDITY_MS, HostCondition, Judgement, Judgements
from caperdeck.gossip.message_sections import MessageSections
from caperdeck.gossip.quota_transfers import QuotaTransfers
from caperdeck.gossip.sharing import SharingFeatures
from caperdeck.lab import sharing_network
from caperdeck.lab.sharing_network import RATE, SAVED, Net, Spending, bound, torment
from caperdeck.peers import codec
from caperdeck.peers.codec import DatagramError, Message

# ---- quota and transfers


def make_quotas(saved=0.0, now=0.0):
    r = Quotas()
    r.add_budget(now, 0)
    r.saved[0] = saved
    return r


def test_borrowed_quota_is_spent_first_and_expires_by_the_borrowers_clock():
    r = make_quotas(saved=3.0)
    r.borrow(0.0, 0, 2.0, until=100.0)
    assert r.available(99.0, 0) == 5.0 and r.available(100.0, 0) == 3.0
    r.spend(50.0, 0, 1.5)
    assert r.available(50.0, 0) == 3.5 and r.available(100.0, 0) == 3.0


def test_two_transfers_expire_with_the_first():
    r = make_quotas()
    r.borrow(0.0, 0, 1.0, until=100.0)
    r.borrow(50.0, 0, 1.0, until=150.0)
    assert r.available(99.0, 0) == 2.0 and r.available(100.0, 0) == 0.0
    r.borrow(120.0, 0, 1.0, until=170.0)  # expired amounts do not come back
    assert r.available(120.0, 0) == 1.0


def test_a_clock_set_back_accrues_no_quota():
    r = make_quotas(now=1000.0)
    for now in (1000.0, 0.0, 1000.0, 0.0, 1000.0):
        r.accrue(now, 0, 1.0, 100.0)
    assert r.saved[0] == 0.0


def test_borrowed_quota_is_not_lent_again():
    """Guards against a third node that would date the expiry from its own request."""
    r = make_quotas()
    r.borrow(0.0, 0, 5.0, until=100.0)
    assert r.lend(0, 5.0) == 0.0


@pytest.mark.parametrize("member, now, late, taken", [
    (2, 499.0, 0.0, [(0, 4.0, 500.0)]), (2, 500.0, 4.0, []), (1, 100.0, 0.0, []),
])  # fmt: skip
def test_a_grant_is_accepted_once_in_time_and_from_the_requested_member_only(member, now, late, taken):
    transfers, accepted = QuotaTransfers(), []
    number = transfers.request(0.0, 2)
    for _ in range(2):
        transfers.accept(now, member, number, [(0, 4.0)], lambda *grant: accepted.append(grant))
    assert accepted == taken and transfers.late == late


def test_a_duplicated_request_is_granted_once():
    transfers, r = QuotaTransfers(), make_quotas(saved=10.0)
    first, second = (transfers.grant(1, 7, 3, [(0, 4.0)], r.lend) for _ in range(2))
    assert first == [(0, 4.0)] and second == [] and r.saved[0] == 6.0


# ---- counters

counter_values = st.builds(
    CounterValue, st.just(0), st.integers(0, 3), st.integers(1, 3), st.integers(0, 1000)
)


@given(st.lists(counter_values, max_size=12), st.randoms())
def test_merges_give_the_same_total_in_any_order_and_repetition(rows, shuffle):
    a, b = CounterStore(), CounterStore()
    for c in rows:
        a.merge(0.0, c)
    again = rows * 2
    shuffle.shuffle(again)
    for c in again:
        b.merge(0.0, c)
    highest = {}
    for c in rows:
        highest[c[:3]] = max(highest.get(c[:3], 0), c.value)
    assert a.total(0) == b.total(0) == sum(highest.values())


def test_a_restart_adds_to_the_previous_life_and_no_life_counts_twice():
    c = CounterStore()
    for count in (
        CounterValue(0, 1, 5, 100),
        CounterValue(0, 1, 6, 7),
        CounterValue(0, 1, 5, 100),
        CounterValue(0, 1, 6, 9),
    ):
        c.merge(0.0, count)
    assert c.total(0) == 109


def test_an_expired_counter_does_not_come_back_unless_it_increased():
    """A datagram that arrives minutes late would count a life a second time."""
    c = CounterStore()
    c.merge(0.0, CounterValue(0, 1, 5, 100))
    c.expire(EXPIRY_MS + 1)
    assert c.total(0) == 0 and c.merge(EXPIRY_MS + 2, CounterValue(0, 1, 5, 100)) == "closed-life"
    # Otherwise a node that was idle for a while would never be counted again.
    assert c.merge(EXPIRY_MS + 2, CounterValue(0, 1, 5, 101)) is None and c.total(0) == 101


def test_counters_that_jump_or_are_too_many_are_dropped_with_a_reason():
    c = CounterStore()
    c.merge(0.0, CounterValue(0, 1, 5, 1))
    assert c.merge(0.0, CounterValue(0, 1, 5, MAX_INCREASE + 2)) == "count-jumps"
    for budget in range(MAX_COUNTERS):
        reason = c.merge(0.0, CounterValue(budget + 1, 1, 5, 1))
    assert reason == "too-many-counts" and len(c.stored) == MAX_COUNTERS


def test_rate_of_other_members_is_the_increase_over_time():
    c = CounterStore()
    for now in range(0, 5000, 1000):
        for member in (1, 2):
            c.merge(float(now), CounterValue(0, member, 5, now // 100 * member))
    assert c.rate(5000.0, 0, excluded_member=3) == (pytest.approx(0.03), 2)
    assert c.rate(5000.0, 0, excluded_member=2) == (pytest.approx(0.01), 1)


def test_rows_to_send_hold_own_counters_and_rotate_over_those_of_others():
    c = CounterStore()
    for member in range(1, 6):
        c.merge(0.0, CounterValue(0, member, 5, member))
    sent = [{row.member for row in c.rows_to_send(2, 1)} for _ in range(8)]
    assert all(1 in members for members in sent) and set().union(*sent) == {1, 2, 3, 4, 5}


# ---- judgements


def recorded(judgements, members=range(1, 9), now=1000.0):
    """Records judgements of this moment, given as (host, condition, observer, informant)."""
    j = Judgements()
    for host, condition, member, informant in judgements:
        j.record(now, Judgement(host, condition, member, 0.0), now, informant)
    return j


LOST = [(7, HostCondition.LOST, member, member) for member in (1, 2, 3)]


@pytest.mark.parametrize("judgements, lost", [
    (LOST, True),
    (LOST[:2], False),  # too few observers
    (LOST[:1] * 5, False),  # a single observer, however often
    # one informant speaks for all observers
    ([(7, HostCondition.LOST, member, 1) for member in (1, 2, 3)], False),
    # as many see it healthy
    (LOST + [(7, HostCondition.HEALTHY, member, member) for member in (4, 5, 6)], False),
    (LOST + [(7, HostCondition.HEALTHY, 4, 4)], True),
    (LOST + [(7, HostCondition.HEALTHY, 3, 3)], True),  # a second judgement of the same time is ignored
    ([(7, HostCondition.FULL, member, member) for member in (1, 2, 3)], False),
])  # fmt: skip
def test_a_host_is_lost_if_enough_members_say_so_and_more_than_see_it_healthy(judgements, lost):
    assert bool(recorded(judgements).lost_hosts(1000.0, 20)) is lost


def test_judgements_of_a_node_that_sees_most_hosts_failing_do_not_count():
    """A node that is cut off finds every host lost."""
    j = recorded(LOST)
    j.mark_unsound(1000.0, 3)
    assert j.lost_hosts(1000.0, 20) == {}


def test_judgements_never_take_out_more_than_a_limited_share_of_hosts():
    judgements = [(host, HostCondition.LOST, member, member) for host in range(6) for member in (1, 2, 3)]
    assert (
        recorded(judgements).lost_hosts(1000.0, 20) == {}
        and len(recorded(judgements).lost_hosts(1000.0, 24)) == 6
    )


def test_a_judgement_expires_and_an_old_one_is_rejected():
    j = recorded(LOST)
    assert (
        j.lost_hosts(1000.0, 20) == {7: 1000.0 + VALIDITY_MS} and j.lost_hosts(1001.0 + VALIDITY_MS, 20) == {}
    )
    # Dated by its arrival, a judgement that is minutes late would still be valid.
    assert j.record(60_000.0, Judgement(7, HostCondition.LOST, 1, 10.0), 1000.0, 1) == "old-judgement"


# ---- message sections

amounts = st.tuples(st.integers(0, 2**32 - 1), st.floats(0, 2.0**50, width=32))


@given(st.lists(amounts, max_size=6), st.lists(amounts, max_size=6), st.lists(counter_values, max_size=3))
def test_message_sections_round_trip(wants, grants, kept):
    n = MessageSections(counters=kept, requests=wants, grants=grants, majority_failing=True)
    assert message_sections.decode(message_sections.encode(n, 200), 4) == n


@given(st.binary(max_size=142))
def test_invalid_sections_are_rejected_as_a_whole(data):
    try:
        message_sections.decode(data, 4)
    except DatagramError as error:
        assert str(error) in ("notes-cut-short", "unknown-notes", "no-such-member", "bad-amount")


@pytest.mark.parametrize("amount", [float("nan"), float("inf"), -1.0])
def test_an_invalid_amount_is_rejected(amount):
    data = bytes((message_sections.GRANT, 1)) + message_sections.ROW_FORMATS[message_sections.GRANT].pack(
        0, amount
    )
    with pytest.raises(DatagramError, match="bad-amount"):
        message_sections.decode(data, 4)


@given(st.floats(0, 1e12))
def test_an_amount_is_never_rounded_up_on_the_wire(amount):
    assert message_sections.round_down_to_wire(amount) <= amount


def test_ages_are_rounded_up_and_excess_rows_are_cut():
    n = MessageSections(loads=[(h, 0.5, 17.0) for h in range(40)])
    data = message_sections.encode(n, codec.SECTION_BYTES)
    assert len(data) <= codec.SECTION_BYTES
    assert all(age == 32.0 for _, _, age in message_sections.decode(data, 4).loads)


# ---- simulated fleets

ROOM = SharingFeatures(room=True)


@pytest.mark.parametrize("members, seed", [(3, 1), (3, 2), (8, 3), (40, 4), (40, 5), (200, 6)])
def test_transferred_quota_stays_within_its_bound_under_random_faults(members, seed):
    draw = random.Random(seed)
    rates = [draw.uniform(0.98, 1.02) for _ in range(members)]
    net = Net(members, seed, ROOM, loss=0.2, double=0.2, late=(0.2, 700.0), rates=rates)
    spending = Spending(net, every=400.0 if members > 100 else 80.0)
    torment(net, draw, 6_000 if members > 100 else 20_000)
    assert spending.spent and spending.lent > 0
    for window in (1.0, 250.0, 1000.0, 5000.0):
        assert spending.worst(window) <= bound(net, window) * (1 + 1e-9)


def test_the_bound_check_finds_a_fleet_that_divides_by_live_members(monkeypatch):
    """The same faults, with nodes that divide the quota by the members that they see alive."""
    net = Net(8, 3, ROOM, loss=0.2, late=(0.2, 50.0))
    spending = Spending(net)

    def mint(self, now):
        node = next(n for n in net.nodes if n is not None and n.decisions is self)
        part = net.members / (1 + len(node.swim.alive()))
        return self.rights.accrue(now, 0, RATE * part, RATE * part * SAVED)

    monkeypatch.setattr(sharing_network.Stub, "mint", mint)
    torment(net, random.Random(3), 20_000)
    assert max(spending.worst(w) / bound(net, w) for w in (1000.0, 5000.0)) > 1


def test_a_fleet_without_messages_spends_its_equal_shares():
    net = Net(8, 1, ROOM, loss=1.0)
    spending = Spending(net)
    net.run(20_000)
    assert sum(s.transfers.borrowed for s in net.nodes) == 0
    assert sum(x for _, x in spending.spent) > 0.9 * net.members * RATE * 20_000


def test_a_node_short_of_quota_gets_what_others_do_not_use():
    net = Net(8, 1, ROOM)
    net.stubs[0].short = True
    received = 0.0
    for _ in range(100):
        net.run(100.0)
        received += net.stubs[0].mint(net.clock(0))
        net.stubs[0].rights.set_balance(net.clock(0), 0, 0.0)
    assert received > 2 * RATE * 10_000


def test_a_false_judgement_of_a_cut_off_node_marks_no_host_lost():
    net = Net(8, 1, SharingFeatures(lost=True))
    for i, stub in enumerate(net.stubs):
        stub.figures = []
        stub.words = [(7, HostCondition.LOST if i == 0 else HostCondition.HEALTHY, net.clock(i))]
    for _ in range(60):
        for i, stub in enumerate(net.stubs):
            stub.words = [(7, HostCondition.LOST if i == 0 else HostCondition.HEALTHY, net.clock(i))]
        net.run(500.0)
    assert not any(stub.lost for stub in net.stubs)


def test_a_host_lost_for_most_nodes_is_reported_to_the_others():
    net = Net(8, 1, SharingFeatures(lost=True))
    for _ in range(120):
        for i, stub in enumerate(net.stubs[:6]):
            stub.words = [(7, HostCondition.LOST, net.clock(i))]
        net.run(500.0)
    assert net.stubs[7].lost.get(7, 0) > 0


def test_overload_moves_sessions_after_two_observers_and_at_spread_times():
    net = Net(20, 1, SharingFeatures(full=True))
    net.run(3000.0)
    net.stubs[0].figures = [(7, 1.3, net.clock(0))]
    net.run(2000.0)
    assert not any(stub.full for stub in net.stubs)
    for i in (1, 2):
        net.stubs[i].figures = [(7, 1.2 + i / 10, net.clock(i))]
    net.run(2000.0)
    acts = [row for stub in net.stubs for row in stub.full]
    assert len(acts) >= 18 and {row[2] for row in acts} <= {1.3, 1.4} | {1.3}
    times = sorted(at for at, _, _ in acts)
    assert times[-1] - times[0] > 200.0


def test_overload_reports_queued_during_a_suspension_are_outdated():
    net = Net(4, 1, SharingFeatures(full=True))
    net.run(2000.0)
    node, now = net.nodes[0], net.clock(0)
    for sender in (1, 2):
        report = Message(
            codec.MessageKind.OVERLOAD_REPORT, sender, net.nodes[sender].swim.life[sender], sender, 0
        )
        sections = message_sections.encode(MessageSections(loads=[(7, 1.5, 0.0)]), 142)
        data = codec.encode(report._replace(sections=sections), node.fleet)
        node.receive_datagram(now, data, sender, read_delay=5000.0)
    assert node.overload_witnesses == {} and node.pending_relief == {}


def test_a_single_false_overload_report_moves_nobody():
    net = Net(8, 1, SharingFeatures(full=True))
    for _ in range(30):
        net.stubs[0].figures = [(h, 2.0, net.clock(0)) for h in range(6)]
        net.run(500.0)
    assert not any(stub.full for stub in net.stubs)


def test_a_datagram_with_a_foreign_address_or_this_nodes_name_is_dropped():
    net = Net(3, 1, ROOM)
    net.run(5000.0)
    node = net.nodes[0]
    data = codec.encode(Message(codec.MessageKind.PING, 1, node.swim.life[1], 0, 5), node.fleet)
    own = codec.encode(Message(codec.MessageKind.PING, 0, node.swim.life[0], 1, 5), node.fleet)
    assert node.receive_datagram(net.clock(0), data, 2) == [] and node.swim.dropped["not-its-address"] == 1
    assert node.receive_datagram(net.clock(0), own, 0) == [] and node.swim.dropped["own-name"] == 1
