"""The oracle on hand-made histories: it names the one rule that is broken, and accepts valid histories."""

import pytest

from caperdeck.lab.oracle import Check, find_breaches
from caperdeck.lab.scenario import decode

SCENARIO = decode({"name": "t", "seconds": 60, "nodes": 2, "hosts": {"count": 2}})


def ev(t, kind, **values):
    return {"t": float(t), "ev": kind} | values


def ask(t=0, sid="a", node="n0"):
    return ev(t, "ask", who=node, id=sid, wait=1200.0)


def answer(t, what="up", sid="a"):
    return ev(t, "answer", who="n0", id=sid, what=what)


def dial(t, host="h0", sid="a", node="n0"):
    return ev(t, "dial", who=node, to=host, id=sid)


def undial(t, host="h0", sid="a"):
    return ev(t, "undial", who="n0", to=host, id=sid, by="node")


def drain(t, rev=2, host="h0", state="Terminating"):
    return ev(t, "list", to=host, rev=rev, state=state)


def told(t, rev=2):
    return ev(t, "told", who="n0", rev=rev)


def cold(t=1000):
    return ev(t, "host", to="h0", state="cold", born=float(t), capacity=4000.0)


def sent(t, sid, load=400.0):
    return ev(t, "sent", to="h0", who="n0", id=sid, load=load, life=1)


LATER = ev(9000, "wanted", ms=0.0)
FLOOD = [cold(), *(sent(1000 + 20 * i, f"s{i}") for i in range(100))]
BROKEN = [
    ("sessions", "no answer", [ask(), LATER]),
    ("sessions", "no answer", [ask(), answer(1200, "none"), LATER]),
    ("sessions", "without an answer", [ask(), answer(300, "closed"), LATER]),
    ("sessions", "late", [ask(), answer(1400), LATER]),
    ("sessions", "twice", [ask(), answer(100), answer(200), LATER]),
    ("sessions", "after the final", [ask(), answer(100), ev(200, "extra", id="a", what="err"), LATER]),
    ("effects", "two dials", [ask(), dial(10), dial(300, "h1"), undial(301), answer(400), LATER]),
    ("effects", "two dials", [ask(), dial(10), dial(300, "h1"), answer(400), LATER]),
    ("drains", "Terminating", [drain(1000), told(1100), dial(2300)]),
    ("drains", "Gone", [drain(1000, state="Gone"), told(1100), dial(2300)]),
    ("drains", "Terminating", [drain(1000), dial(8100)]),
    ("cold", "asked of a host", FLOOD),
    ("wire", "first line", [ev(5, "syntax", to="h0", id="a")]),
    ("wire", "300 bytes", [ev(5, "datagram", who="n0", to="n1", size=300, ok=False)]),
]


@pytest.mark.parametrize("rule, text, events", BROKEN)
def test_breach_of_one_rule_is_named(rule, text, events):
    breaches = find_breaches(SCENARIO, events)
    assert breaches and {b.rule for b in breaches} == {rule}
    assert text in breaches[0].line() and breaches[0].t > 0 or rule == "sessions"


SOUND = [
    [ask(), dial(10), undial(200), dial(201, "h1"), answer(300), LATER],
    [ask(), dial(10), ev(20, "back", to="h0", id="a", what="BUSY"), dial(21, "h1"), answer(40), LATER],
    [drain(1000), told(1100), dial(2000), undial(2010)],
    [drain(1000), told(3000), dial(3900), undial(4000)],
    [drain(1000), drain(1500, 3, state="Ready"), told(1600, 3), dial(9000), undial(9001)],
    [cold(), *(sent(1000 + 20 * i, f"s{i}", 40.0) for i in range(100))],
    [*FLOOD[:20], sent(40000, "x")],
]


@pytest.mark.parametrize("events", SOUND)
def test_valid_history_has_no_breach(events):
    assert find_breaches(SCENARIO, events) == []


@pytest.mark.parametrize("state", ["killed", "asleep", "exit"])
def test_dead_or_suspended_node_may_be_late_but_may_not_answer_twice(state):
    gone = ev(500, "life", who="n0", state=state)
    assert find_breaches(SCENARIO, [ask(), gone, LATER]) == []
    assert find_breaches(SCENARIO, [ask(600), ev(500, "life", who="n1", state=state), LATER])
    assert find_breaches(SCENARIO, [ask(), gone, answer(700), answer(800), LATER])


def test_overlapping_outages_of_a_node_end_with_the_last_one():
    asleep = [ev(100, "life", who="n0", state="asleep"), ev(5000, "life", who="n0", state="awake")]
    cut = [
        ev(t, "fault", number=1, on=on, of=["clients"], far=["n0"]) for t, on in ((200, True), (900, False))
    ]  # fmt: skip
    assert find_breaches(SCENARIO, [asleep[0], *cut, ask(1000), asleep[1], LATER]) == []


def test_resumed_node_must_answer_later_requests_in_time():
    back = [ev(500, "life", who="n0", state="asleep"), ev(900, "life", who="n0", state="awake")]
    assert find_breaches(SCENARIO, [*back, ask(1000), LATER])


def test_dials_reordered_within_the_window_do_not_count_as_overlapping():
    events = [ask(), dial(10), dial(300, "h1"), undial(304), answer(400), LATER]
    assert find_breaches(SCENARIO, events, reorder_window_ms=20.0) == [] and find_breaches(SCENARIO, events)


def test_once_only_session_that_runs_twice_is_a_breach():
    once = decode({"name": "t", "seconds": 60, "clients": {"effect": "at_most_once"}})
    ran = [ev(t, "ran", to=h, id="a") for t, h in ((1, "h0"), (2, "h1"))]
    assert "ran twice" in find_breaches(once, ran)[0].text and find_breaches(SCENARIO, ran) == []


def test_further_checks_run_beside_the_standard_ones():
    class OneOwner(Check):
        owner = ""

        def on_owns(self, e):
            if self.owner not in ("", e["who"]):
                self.breach("owner", f"beside {self.owner}", e)
            self.owner = e["who"]

    events = [ev(1, "owns", who="n0"), ev(2, "owns", who="n1")]
    assert find_breaches(SCENARIO, events, [OneOwner])[0].line() == "owner: beside n0 at 2 ms node=n1"
