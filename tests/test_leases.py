"""Leases: the replicated table, expiry at holder and leader, fencing, and the exploration of every order of
steps.
"""

import pytest

from caperdeck.lab.exploration import BrokenError, explore
from caperdeck.lab.lease_model import LeaseModel
from caperdeck.leases.expiry import MAX_CLOCK_DRIFT, LeaseExpiryMonitor, LeaseHolder
from caperdeck.leases.fence import Fence
from caperdeck.leases.table import MAX_WORKS, LeaseTable

SPAN = 1000.0


def acquire(table, holder="a", work="w"):
    return table.apply({"do": "acquire", "work": work, "holder": holder, "span": SPAN})


def test_tokens_increase_with_each_grant_across_works_and_snapshots():
    t = LeaseTable()
    tokens = [acquire(t)["token"], acquire(t, work="v")["token"]]
    t.apply({"do": "give", "work": "w", "token": tokens[0]})
    tokens.append(acquire(t, "b")["token"])
    u = LeaseTable()
    u.load(t.dump())
    u.apply({"do": "give", "work": "w", "token": tokens[2]})
    tokens.append(acquire(u)["token"])
    assert tokens == [1, 2, 3, 4]


@pytest.mark.parametrize("command, answer", [
    ({"do": "acquire", "holder": "b", "span": SPAN}, "held"),
    ({"do": "renew", "token": 0}, "not-held"),
    ({"do": "give", "token": 9}, "not-held"),
    ({"do": "save", "token": 9, "state": "x"}, "older-token"),
    ({"do": "save", "token": 1, "state": 5}, "bad-state"),
    ({"do": "expire", "token": 1, "renewed": 7}, "renewed-since"),
    ({"do": "acquire", "holder": "", "span": SPAN}, "bad-name"),
    ({"do": "acquire", "holder": "b", "span": float("nan")}, "bad-span"),
    ({"do": "acquire", "holder": "b", "span": True}, "bad-span"),
    ({"do": "acquire", "holder": "b", "span": 1.0}, "bad-span"),
    ({"do": "fly"}, "unknown-command"),
])  # fmt: skip
def test_a_refused_command_has_a_reason_and_changes_nothing(command, answer):
    t = LeaseTable()
    acquire(t)
    before = repr(t.dump())
    assert t.apply({"work": "w"} | command)["no"] == answer and repr(t.dump()) == before


@pytest.mark.parametrize("command", [None, [], {"do": "acquire"}, {"do": "acquire", "work": 5}])
def test_a_command_without_a_work_is_refused(command):
    assert LeaseTable().apply(command) == {"no": "no-work-named"}


def test_the_number_of_works_is_limited():
    t = LeaseTable()
    assert [acquire(t, work=f"w{i}").get("no") for i in range(MAX_WORKS + 1)][-1] == "too-many-works"


def test_the_next_holder_gets_the_saved_state():
    t = LeaseTable()
    token = acquire(t)["token"]
    assert t.apply({"do": "save", "work": "w", "token": token, "state": "half"}) == {"ok": True}
    t.apply({"do": "give", "work": "w", "token": token})
    assert acquire(t, "b")["state"] == "half"


def test_work_handed_over_is_reserved_for_the_heir_for_one_span():
    t = LeaseTable()
    monitor = LeaseExpiryMonitor(t, 0.0)
    t.apply({"do": "hand", "work": "w", "token": acquire(t)["token"], "to": "b"})
    monitor.check(0.0)
    assert acquire(t, "c") == {"no": "held", "holder": "b"}
    for command in monitor.check(SPAN * (1 + MAX_CLOCK_DRIFT)):
        t.apply(command)
    assert acquire(t, "c")["ok"]


def test_a_lease_counts_from_its_request_and_ends_before_others_can_acquire_it():
    h, t = LeaseHolder("w", "a", SPAN), LeaseTable()
    answer = t.apply(h.next_command(0.0))
    monitor = LeaseExpiryMonitor(t, 1.0)
    h.handle_answer(400.0, 0.0, answer)
    assert h.may_act(SPAN * (1 - MAX_CLOCK_DRIFT) - 1) and not h.may_act(SPAN * (1 - MAX_CLOCK_DRIFT))
    assert (
        monitor.check(SPAN * (1 + MAX_CLOCK_DRIFT)) == []
        and monitor.check(SPAN * (1 + MAX_CLOCK_DRIFT) + 1) != []
    )


def test_an_answer_after_the_expiry_grants_nothing():
    h, t = LeaseHolder("w", "a", SPAN), LeaseTable()
    h.handle_answer(SPAN, 0.0, t.apply(h.next_command(0.0)))
    assert not h.may_act(SPAN) and h.token == 0


def test_a_holder_suspended_past_the_expiry_does_not_renew():
    """The table still counts the lease as renewed in time, but another holder may have had it in between."""
    h, t = LeaseHolder("w", "a", SPAN), LeaseTable()
    h.handle_answer(0.0, 0.0, t.apply(h.next_command(0.0)))
    assert h.next_command(100.0) is None and h.next_command(400.0)["do"] == "renew"
    assert h.next_command(5000.0)["do"] == "acquire" and h.loss_reason == "ended"


def test_a_renewal_answered_after_the_expiry_does_not_revive_the_lease():
    """It revived the lease of the census without the saved state, and shares exceeded the whole."""
    h, t = LeaseHolder("w", "a", SPAN), LeaseTable()
    h.handle_answer(0.0, 0.0, t.apply(h.next_command(0.0)))
    t.apply({"do": "save", "work": "w", "token": 1, "state": "far"})
    answer = t.apply(h.next_command(900.0))
    assert h.next_command(SPAN)["do"] == "acquire" and h.token == 0
    h.handle_answer(SPAN + 1, 900.0, answer)
    assert h.token == 0 and not h.may_act(SPAN + 1)
    h.handle_answer(SPAN + 2, SPAN, t.apply(h.next_command(SPAN)))
    assert h.token == 2 and h.state == "far"


def test_an_operator_can_end_a_lease_that_is_still_renewed():
    """An expire command names a count of renewals, so each renewal in flight would save the lease."""
    t = LeaseTable()
    acquire(t)
    t.apply({"do": "renew", "work": "w", "token": 1})
    assert t.apply({"do": "release", "work": "w", "token": 0}) == {"no": "not-held"}
    assert t.apply({"do": "release", "work": "w", "token": 1}) == {"ok": True}
    assert t.apply({"do": "renew", "work": "w", "token": 1}) == {"no": "not-held"}
    assert acquire(t, "b")["token"] == 2


def test_a_new_leader_waits_a_whole_span_before_it_expires_a_lease():
    t = LeaseTable()
    acquire(t)
    monitor = LeaseExpiryMonitor(t, 50_000.0)
    assert monitor.check(50_000.0 + SPAN) == []
    t.apply({"do": "renew", "work": "w", "token": 1})
    assert monitor.check(50_000.0 + 2 * SPAN) == []  # renewed since the last check


def test_a_fence_refuses_and_counts_older_tokens():
    f = Fence({})
    assert [f.check("w", t) for t in (3, 3, 2, 5, 4)] == [None, None, "older-token", None, "older-token"]
    assert f.check("v", 1) is None and f.check("w", 0) == "no-token" and f.check("", 9) == "bad-name"
    assert f.refused == {"older-token": 2, "no-token": 1, "bad-name": 1}


def test_a_target_without_memory_looks_up_the_token_first():
    f = Fence()
    assert f.check("w", 7) == "asks-first"
    f.record_token("w", 8)
    assert f.check("w", 7) == "older-token" and f.check("w", 8) is None
    assert Fence({"w": 8}).check("w", 7) == "older-token"


# ---- exploration of every order of steps


class CountsFromAnswer(LeaseHolder):
    """Counts the lease from the answer instead of the request."""

    def handle_answer(self, now, requested_at, answer):
        super().handle_answer(now, now, answer)


class ChecksNothing(Fence):
    def check(self, work, token):
        return None


class AcceptsFirstToken(Fence):
    def _check(self, work, token):
        return "older-token" if token < self.highest.get(work, 0) else None


class ReusesTokens(LeaseTable):
    def load(self, state):
        super().load(state)
        self.token = 0


@pytest.mark.parametrize("changes", [
    {}, {"deaths": 1, "ticks": 2}, {"deaths": 1, "ticks": 2, "disk": True},
    {"rates": (0.96, 1.04, 1.0)}, {"rates": (2.0, 0.5, 1.0)}, {"snapshots": 1, "ticks": 2},
])  # fmt: skip
def test_no_order_of_steps_breaks_the_invariants(changes):
    """Includes clocks beyond the stated drift: then two holders may coexist, but tokens still increase at the
    target.
    """
    assert explore(LeaseModel(**{"ticks": 3, "asks": 2, "acts": 1, "deaths": 0} | changes)) > 100


@pytest.mark.parametrize("changes, text", [
    ({"holder": CountsFromAnswer}, "two owners"),
    ({"fence": ChecksNothing}, "is taken after"),
    ({"fence": AcceptsFirstToken, "deaths": 1}, "is taken after"),
    ({"table": ReusesTokens, "snapshots": 1, "acts": 0}, "given twice"),
])  # fmt: skip
def test_a_seeded_fault_is_found(changes, text):
    with pytest.raises(BrokenError, match=text):
        explore(LeaseModel(**{"ticks": 4, "asks": 2, "acts": 2, "deaths": 0} | changes))
