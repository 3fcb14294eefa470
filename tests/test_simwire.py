"""The front for the simulator's wire: input that breaks it ends in a plain word."""

import pytest

from caperdeck.simwire.codec import WireError
from caperdeck.simwire.host import Host

SETUP = {
    "fleetSize": 2,
    "listeners": [{"name": "l", "effect": "idempotent", "handshakeTarget": 0.3}],
    "limits": {"mostDials": 3},
    "invariants": {"coldFrom": 0.3, "warmAfter": 8.0, "fallMultiple": 2.5, "fall": 1.0},
    "unheardOf": 1,
}
HOST = ["Running", 1, "k", "z", 0, "10.0.0.1:9000", None]


def steps(events, host=None):
    told = []
    reply = (host or Host()).batch(
        {"moment": 5.0, "serial": 3, "groups": [{"node": 4, "input": events}]}, told.append)  # fmt: skip
    assert reply["serial"] == 3
    return (reply["groups"][0]["steps"] if reply["groups"] else []), told


def test_a_started_node_dials_in_the_units_of_the_wire():
    acts, told = steps([["powerOn", 1, SETUP], ["rosterChange", 1, "SAVED", [HOST]],
                        ["ask", "ab", "l", None, None, 1.2, 0.01, None, 1]])  # fmt: skip
    assert acts[-1] == ["dispatch", "ab", "10.0.0.1:9000", 5.18] and not told


@pytest.mark.parametrize("events, word", [
    ([["bell", "-1"]], "never started"),
    ([["powerOn", 1, {**SETUP, "limits": {}}]], "limits.mostDials"),
    ([["powerOn", 1, SETUP], ["whatever"]], "unknown event"),
    ([["powerOn", 1, SETUP], ["ask", "ab", "other", None, None, 1.2]], "unknown listener"),
    ([["powerOn", 1, SETUP], ["destroy"], ["bell", "-1"]], "never started"),
])  # fmt: skip
def test_what_breaks_the_wire_is_named_and_declared(events, word):
    acts, told = steps(events)
    assert acts[-1][0] == "crash" and word in acts[-1][1] and len(told) == 1 and word in told[0]


def test_a_node_can_stop_and_start_in_one_batch():
    acts, told = steps([["powerOn", 1, SETUP], ["destroy"], ["powerOn", 2, SETUP]])
    assert not told and [a[0] for a in acts] == ["setAlarm", "setAlarm"]


def test_a_line_that_is_no_batch_is_refused():
    with pytest.raises(WireError):
        Host().batch([], print)
