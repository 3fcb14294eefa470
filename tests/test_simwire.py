"""The simulator's protocol: events and actions in its units and names, and an error for invalid input."""

import pytest

from caperdeck.simwire.codec import WireError
from caperdeck.simwire.host import SimulatedNodes

SETUP = {
    "fleetSize": 2,
    "listeners": [{"name": "l", "effect": "idempotent", "handshakeTarget": 0.3}],
    "limits": {"mostDials": 3},
    "invariants": {"coldFrom": 0.3, "warmAfter": 8.0, "fallMultiple": 2.5, "fall": 1.0},
    "unheardOf": 1,
}
HOST = ["Running", 1, "k", "z", 0, "10.0.0.1:9000", None]


def run_batch(events, nodes=None):
    """The steps in the reply to one batch for node 4, and the errors reported."""
    errors = []
    reply = (nodes or SimulatedNodes()).handle_batch(
        {"moment": 5.0, "serial": 3, "groups": [{"node": 4, "input": events}]}, errors.append)  # fmt: skip
    assert reply["serial"] == 3
    return (reply["groups"][0]["steps"] if reply["groups"] else []), errors


def test_a_started_node_dials_in_the_units_of_the_protocol():
    steps, errors = run_batch([["powerOn", 1, SETUP], ["rosterChange", 1, "SAVED", [HOST]],
                               ["ask", "ab", "l", None, None, 1.2, 0.01, None, 1]])  # fmt: skip
    assert steps[-1] == ["dispatch", "ab", "10.0.0.1:9000", 5.18] and not errors


@pytest.mark.parametrize("events, text", [
    ([["bell", "-1"]], "never started"),
    ([["powerOn", 1, {**SETUP, "limits": {}}]], "limits.mostDials"),
    ([["powerOn", 1, SETUP], ["whatever"]], "unknown event"),
    ([["powerOn", 1, SETUP], ["ask", "ab", "other", None, None, 1.2]], "unknown listener"),
    ([["powerOn", 1, SETUP], ["destroy"], ["bell", "-1"]], "never started"),
])  # fmt: skip
def test_invalid_input_is_reported_and_ends_in_a_crash_step(events, text):
    steps, errors = run_batch(events)
    assert steps[-1][0] == "crash" and text in steps[-1][1] and len(errors) == 1 and text in errors[0]


def test_a_node_can_stop_and_start_in_one_batch():
    steps, errors = run_batch([["powerOn", 1, SETUP], ["destroy"], ["powerOn", 2, SETUP]])
    assert not errors and [step[0] for step in steps] == ["setAlarm", "setAlarm"]


def test_input_that_is_no_batch_is_refused():
    with pytest.raises(WireError):
        SimulatedNodes().handle_batch([], print)
