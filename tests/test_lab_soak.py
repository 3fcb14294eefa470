"""A few seeds of the soak test with real processes, and planted faults that the rig must detect."""

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
CONCURRENT_RUNS = 2
SCENARIO = Scenario(name="s", seconds=10.0, clients=Clients(wait=1200.0))


def test_real_processes_hold_the_rules_under_seeded_mixtures_of_faults(tmp_path):
    results = list(soak(1, SEEDS, CONCURRENT_RUNS, tmp_path))
    report = "\n".join(map(format_result, results))
    assert not any(r.breaches or r.void for r in results), report
    assert all(r.answers > 50 for r in results), report
    drawn_faults = {name for r in results for name in r.faults}
    assert {"step", "errors", "restart", "reload", "exclude", "upgrade", "disk"} <= drawn_faults, report


# Planted fault: the timers of the reactor run on the wall clock.
WALL_CLOCK_TIMERS = """
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


def run_rig(folder, scenario, planted=""):
    """Runs the rig; the planted code is executed at the start of the nodes and of no other process."""
    text = "".join(f"    {line}\n" for line in planted.strip().splitlines())
    guard = "import sys\nif 'serve' in getattr(sys, 'orig_argv', ()):\n"
    (folder / "sitecustomize.py").write_text(guard + text if planted else "")
    (folder / "scenario.toml").write_text(scenario)
    environment = os.environ | {"PYTHONPATH": f"{folder}{os.pathsep}{ROOT}"}
    command = [sys.executable, "-B", "-m", "caperdeck", "lab", "fleet", str(folder / "scenario.toml")]
    return subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=120)


@pytest.mark.parametrize("planted, code", [(False, 0), (True, 1)])
def test_timers_on_the_wall_clock_are_detected(tmp_path, planted, code):
    done = run_rig(tmp_path, STEPPED, WALL_CLOCK_TIMERS if planted else "")
    assert done.returncode == code, done.stdout + done.stderr
    assert ("no answer in its time" in done.stdout) is planted


# Planted fault: a descriptor is reserved for each server on the list.
DESCRIPTOR_PER_SERVER = """
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


# Guards against a rig that does not notice clients and resumed sessions lost with thousands of servers.
@pytest.mark.parametrize("planted, code", [(False, 0), (True, 1)])
def test_descriptors_exhausted_by_thousands_of_servers_are_detected(tmp_path, planted, code):
    done = run_rig(tmp_path, LARGE_FLEET, DESCRIPTOR_PER_SERVER if planted else "")
    assert done.returncode == code, done.stdout + done.stderr
    assert ("no answer in its time" in done.stdout) is planted


def event(t, ev, **values):
    return {"t": float(t), "ev": ev, "who": "n0", **values}


def resumed_session(t, what="up", answered=True):
    """A client that resumes a session at h1 from before the run, and its answer."""
    request = event(0, "ask", id="a", wait=4000.0, at="h1")
    return [request, event(t, "answer", id="a", what=what)] if answered else [request]


@pytest.mark.parametrize("events, found", [
    (resumed_session(900), False), (resumed_session(900, "busy"), True), (resumed_session(900, "err"), True),
    ([*resumed_session(0, answered=False), event(5000, "wanted")], True),
    (
        [*resumed_session(0, answered=False), event(500, "fault", of=["h1"], on=True), event(5000, "wanted")],
        False,
    ),
    ([*resumed_session(0, answered=False), event(500, "life", state="killed"), event(5000, "wanted")], False),
])  # fmt: skip
def test_session_from_before_the_run_that_is_not_resumed_is_a_breach(events, found):
    breaches = find_breaches(SCENARIO, sorted(events, key=lambda e: e["t"]))
    assert any(b.rule == "standing" for b in breaches) is found


def test_seed_determines_the_faults_and_every_fault_ends_within_the_run():
    assert scenario_of(7) == scenario_of(7) != scenario_of(8)
    for seed in range(200):
        for fault in scenario_of(seed).fault:
            assert fault.at + (fault.span or 0.0) <= RUN_S - MIN_TAIL_S


@pytest.mark.parametrize("sent_at, found", [(900, False), (1140, False), (1200, True)])
def test_request_sent_after_its_client_left_is_a_breach(sent_at, found):
    events = [event(500, "ask", id="a", wait=1200.0), event(1000, "left", id="a"),
              event(sent_at, "dial", id="a", to="h0")]  # fmt: skip
    breaches = find_breaches(SCENARIO, sorted(events, key=lambda e: e["t"]))
    assert any("after its client had left" in b.text for b in breaches) is found


@pytest.mark.parametrize("answered, found", [(True, False), (False, True)])
@pytest.mark.parametrize("end", ["killed", "exit"])
def test_client_left_unanswered_by_a_stopping_node_is_a_breach(answered, found, end):
    events = [event(500, "ask", id="a", wait=3000.0), event(600, "life", state="stopping")]
    events += [event(700, "answer", id="a", what="busy")] * answered
    events.append(event(2500, "life", state=end))
    breaches = find_breaches(SCENARIO, events)
    assert any("held without an answer" in b.text for b in breaches) is found
