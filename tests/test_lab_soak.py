"""The soak, a few seeds of it: real processes under mixtures of faults, and faults that it has to find."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from caperdeck.lab.oracle import find_breaches
from caperdeck.lab.scenario import Clients, Scenario
from caperdeck.lab.soak import MIN_TAIL_S, RUN_S, format_result, scenario_of, soak

ROOT = Path(__file__).parents[1]
SEEDS = 6
AT_ONCE = 2
SCENARIO = Scenario(name="s", seconds=10.0, clients=Clients(wait=1200.0))


def test_real_processes_hold_the_rules_under_seeded_mixtures_of_faults(tmp_path):
    results = list(soak(1, SEEDS, AT_ONCE, tmp_path))
    said = "\n".join(map(format_result, results))
    assert not any(r.breaches or r.void for r in results), said
    assert all(r.answers > 50 for r in results), said
    played = {name for r in results for name in r.faults}
    assert {"step", "errors", "restart", "reload", "exclude", "upgrade", "disk"} <= played, said


# the reactor as it was, whose timers run on the wall clock
ON_THE_WALL_CLOCK = """
import time
import caperdeck.lifecycle.reactor as module
module.MonotonicReactor.seconds = staticmethod(lambda: time.time())
"""


STEPPED = """
name = "stepped"
seconds = 8
nodes = 2
[hosts]
count = 3
[[fault]]
do = "silence"
of = "n0"
to = "h*"
at = 3.0
for = 4.0
[[fault]]
do = "step"
of = "n0"
at = 3.2
offset = -3600000.0
"""


def play(folder, scenario, planted=""):
    """A run of the rig whose nodes, and nothing else, have this done to them before they start."""
    text = "".join(f"    {line}\n" for line in planted.strip().splitlines())
    serves = "import sys\nif 'serve' in getattr(sys, 'orig_argv', ()):\n"
    (folder / "sitecustomize.py").write_text(serves + text if planted else "")
    (folder / "scenario.toml").write_text(scenario)
    environment = os.environ | {"PYTHONPATH": f"{folder}{os.pathsep}{ROOT}"}
    words = [sys.executable, "-B", "-m", "caperdeck", "lab", "fleet", str(folder / "scenario.toml")]
    return subprocess.run(words, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=120)


@pytest.mark.parametrize("planted, code", [(False, 0), (True, 1)])
def test_the_rig_finds_timers_that_run_on_the_wall_clock(tmp_path, planted, code):
    done = play(tmp_path, STEPPED, ON_THE_WALL_CLOCK if planted else "")
    assert done.returncode == code, done.stdout + done.stderr
    assert ("no answer in its time" in done.stdout) is planted


# descriptors as they were kept, one for each server on the list
A_DESCRIPTOR_FOR_EACH = """
import caperdeck.state.budget as module
module.PROBE_DESCRIPTORS = module.MAX_PROBE_FRACTION = 1 << 20
"""


LARGE_FLEET = """
name = "large"
seconds = 5
nodes = 2
sockets = 640
[hosts]
count = 3
aliases = 3200
[clients]
standing = 60
rate = 20.0
"""


# guards against: a rig that does not notice clients and standing connections lost with thousands of servers
@pytest.mark.parametrize("planted, code", [(False, 0), (True, 1)])
def test_the_rig_finds_what_a_list_of_thousands_of_servers_costs_clients(tmp_path, planted, code):
    done = play(tmp_path, LARGE_FLEET, A_DESCRIPTOR_FOR_EACH if planted else "")
    assert done.returncode == code, done.stdout + done.stderr
    assert ("no answer in its time" in done.stdout) is planted


def event(t, ev, **values):
    return {"t": float(t), "ev": ev, "who": "n0", **values}


def stood(t, what="up", answered=True):
    """A client whose connection stood at h1 before the run, and what came of it."""
    asked = event(0, "ask", id="a", wait=4000.0, at="h1")
    return [asked, event(t, "answer", id="a", what=what)] if answered else [asked]


@pytest.mark.parametrize("events, found", [
    (stood(900), False), (stood(900, "busy"), True), (stood(900, "err"), True),
    ([*stood(0, answered=False), event(5000, "wanted")], True),
    ([*stood(0, answered=False), event(500, "fault", of=["h1"], on=True), event(5000, "wanted")], False),
    ([*stood(0, answered=False), event(500, "life", state="killed"), event(5000, "wanted")], False),
])  # fmt: skip
def test_what_stood_before_the_run_and_does_not_come_up_is_a_breach(events, found):
    breaches = find_breaches(SCENARIO, sorted(events, key=lambda e: e["t"]))
    assert any(b.rule == "standing" for b in breaches) is found


def test_a_seed_draws_the_same_mixture_each_time_and_every_fault_ends_within_the_run():
    assert scenario_of(7) == scenario_of(7) != scenario_of(8)
    for seed in range(200):
        for fault in scenario_of(seed).fault:
            assert fault.at + (fault.span or 0.0) <= RUN_S - MIN_TAIL_S


@pytest.mark.parametrize("sent_at, found", [(900, False), (1140, False), (1200, True)])
def test_a_request_that_is_sent_after_its_client_had_left_is_a_breach(sent_at, found):
    events = [event(500, "ask", id="a", wait=1200.0), event(1000, "left", id="a"),
              event(sent_at, "dial", id="a", to="h0")]  # fmt: skip
    breaches = find_breaches(SCENARIO, sorted(events, key=lambda e: e["t"]))
    assert any("after its client had left" in b.text for b in breaches) is found


@pytest.mark.parametrize("answered, found", [(True, False), (False, True)])
@pytest.mark.parametrize("end", ["killed", "exit"])
def test_who_is_held_without_an_answer_as_a_node_ends_is_a_breach(answered, found, end):
    events = [event(500, "ask", id="a", wait=3000.0), event(600, "life", state="stopping")]
    events += [event(700, "answer", id="a", what="busy")] * answered
    events.append(event(2500, "life", state=end))
    breaches = find_breaches(SCENARIO, events)
    assert any("held without an answer" in b.text for b in breaches) is found
