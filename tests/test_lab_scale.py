"""The scale run: scenario and result files, checks on invented measurements, and a small run of processes."""

import asyncio
import copy
import gc
import os
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import pytest
from helpers import processes_with_environment

from caperdeck.lab.cli import InterruptedRunError
from caperdeck.lab.scale import checks
from caperdeck.lab.scale.checks import Verdict, judge
from caperdeck.lab.scale.heartbeat import HEARTBEAT_INTERVAL_S, HeartbeatMonitor, LatenessStats
from caperdeck.lab.scale.instances import OwnershipTracker, configured_nodes
from caperdeck.lab.scale.measure import (
    BYTES_PER_MB,
    cores_by_role,
    machine_cores_used,
    machine_cpu_times,
    node_cost,
)
from caperdeck.lab.scale.measured import Cost, Fault, Measured, NodeCost, Reading, RoleUse, View
from caperdeck.lab.scale.places import LoopbackAddresses
from caperdeck.lab.scale.plan import Sample
from caperdeck.lab.scale.progress import Progress
from caperdeck.lab.scale.real_nodes import RealNodeFleet
from caperdeck.lab.scale.result import conclude, is_result, read, write
from caperdeck.lab.scale.run import ScaleRun
from caperdeck.lab.scale.scenario import decode, load
from caperdeck.lab.scale.stub_nodes import alive_share, limit_gc_to_new_objects, sees_restarted, sees_silent
from caperdeck.lab.scale.table import result_lines
from caperdeck.lab.scale.traffic import Traffic
from caperdeck.lab.scenario import ScenarioError
from caperdeck.owner.config import MAX_NODES, WORKS
from caperdeck.peers.swim import MemberState, Swim

ROOT = Path(__file__).parents[1]
FOLDER = ROOT / "caperdeck" / "lab" / "scenarios" / "scale"
SMALL, TARGET = FOLDER / "small.toml", FOLDER / "target.toml"
PARTIAL_SCENARIOS = {400: FOLDER / "400.toml", 1460: FOLDER / "1460.toml"}  # by number of stub nodes
RECORDED_RUNS = ["scale-400.json", "scale-400-second.json", "scale-1460.json"]  # in docs/capacity
MAX_RECORD_BYTES = 128 << 10  # of a recorded run in the repository
CAPACITY_PAGE = ROOT / "docs" / "CAPACITY.md"
VOID, BAD_INPUT = 3, 2
MAX_ATTEMPTS = 3  # a run on a machine that was too slow is void and proves nothing, so it is repeated
RUN_TIMEOUT_S = 240  # for one small run, which takes under 30 s on an idle machine

VALID_SCENARIO = {"name": "t", "machines": 20, "processes_a_machine": 2}

INVALID_CHANGES = [
    ({"surplus": 1}, "surplus"),
    ({"machines": 0}, "machines: 0"),
    ({"machines": 2500}, "hollow.nodes: 4997"),
    ({"processes_a_machine": "two"}, "processes_a_machine"),
    ({"instances": 8}, "instances: 8"),
    ({"sharing": ["gossip"]}, "no use 'gossip'"),
    ({"hollow": {"processes": 181}}, "hollow.processes: 181"),
    ({"hollow": {"nodes": 2}}, "hollow.nodes: 2"),
    ({"real": {"nodes": 0}}, "real.nodes: 0"),
    ({"real": {"clients": {"rate": -1.0}}}, "clients.rate"),
    ({"spans": {"steady": 0.5}}, "spans.steady: 0.5"),
    ({"spans": {"known": float("nan")}}, "spans.known: nan"),
    ({"bounds": {"served": 1.5}}, "bounds.served: 1.5"),
    ({"budget": {"core_share": 0.0}}, "budget.core_share: 0.0"),
    ({"limits": {"memory_mb": float("inf")}}, "limits.memory_mb: inf"),
    ({"lateness": {"share": 2.0}}, "lateness.share: 2.0"),
]


@pytest.mark.parametrize(("change", "words"), INVALID_CHANGES, ids=[words for _, words in INVALID_CHANGES])
def test_invalid_scenario_error_names_field_and_reason(change, words):
    with pytest.raises(ScenarioError) as refused:
        decode(VALID_SCENARIO | change, "s.toml")
    assert words in str(refused.value) and str(refused.value).startswith("s.toml: ")


@pytest.mark.parametrize(
    "words", [["missing.toml"], [SMALL, "--nodes=many"], [SMALL, "--seconds=0"], [SMALL, "--json=/no/where"]]
)
def test_bad_input_prints_one_line_exits_with_2_and_starts_nothing(words):
    done = command(*words, timeout=20)
    assert done.returncode == BAD_INPUT and not done.stdout
    assert done.stderr.startswith("caperdeck: ") and done.stderr.count("\n") == 1


def test_shipped_scenarios_are_the_target_and_a_small_version_with_the_same_limits():
    small, target = load(str(SMALL)), load(str(TARGET))
    assert (target.machines, target.instances) == (730, 7)
    assert target.members == target.target_nodes == 730 * target.processes_a_machine == 3650
    assert f"A machine must run **{target.processes_a_machine}** node processes." in CAPACITY_PAGE.read_text()
    assert (small.stub_node_count, small.real.nodes, small.instances) == (90, 3, 3)
    assert (small.budget, small.limits) == (target.budget, target.limits)
    assert (target.limits.processes, target.limits.memory_mb) == (200, 12 * 1024)
    # CI gives the run half a minute; the waits may take half of it, the rest is for starting processes.
    waits = small.spans.known + small.spans.steady + small.bounds.dead + small.bounds.back
    assert waits <= 15


@pytest.mark.parametrize(("nodes", "path"), PARTIAL_SCENARIOS.items())
def test_partial_scenario_has_the_limits_of_the_target(nodes, path):
    partial, target = load(str(path)), load(str(TARGET))
    assert (partial.stub_node_count, partial.real.nodes, partial.instances) == (nodes, 3, 7)
    assert partial.target_nodes == target.target_nodes
    assert (partial.budget, partial.limits, partial.lateness) == (
        target.budget, target.limits, target.lateness,
    )  # fmt: skip
    assert (partial.sharing, partial.real, partial.bounds.owner) == (
        target.sharing, target.real, target.bounds.owner,
    )  # fmt: skip


def test_command_line_sets_nodes_processes_and_the_steady_span():
    scenario = load(str(SMALL), nodes=50, processes=4, seconds=9)
    assert (scenario.stub_node_count, len(scenario.racks()), scenario.spans.steady) == (50, 4, 9.0)


def test_stub_nodes_are_numbered_after_the_real_nodes_and_have_distinct_loopback_addresses():
    scenario = decode(VALID_SCENARIO | {"hollow": {"processes": 4}})
    racks = scenario.racks()
    assert sorted(n for rack in racks for n in rack) == list(range(3, 40))
    assert max(map(len, racks)) - min(map(len, racks)) <= 1
    network = LoopbackAddresses()
    try:
        addresses = network.node_addresses(racks)
    finally:
        network.close()
    assert len(set(addresses.values())) == 37 and all(a.startswith("127.") for a in addresses.values())


# ---- what a stub process observes


def test_membership_view_counts_alive_silent_and_restarted_members():
    swim = Swim(0, 10, 1, 1, 0.0)
    assert alive_share(swim.state, 10) == 0.1 and not sees_silent(swim, [1, 2])
    for i in range(1, 10):
        swim.state[i], swim.life[i] = MemberState.ALIVE, 5
    assert alive_share(swim.state, 10) == 1.0 and not sees_silent(swim, [1, 2])
    swim.state[1] = swim.state[2] = MemberState.SILENT
    assert sees_silent(swim, [1, 2]) and not sees_silent(swim, [1, 2, 3])
    # A member that was never seen as silent has not been restarted.
    assert not sees_restarted(swim, {3: 5}) and not sees_restarted(swim, {})
    swim.state[1], swim.life[1] = MemberState.ALIVE, 6
    assert sees_restarted(swim, {1: 5})


def test_garbage_collector_skips_objects_created_before_it_was_enabled():
    frozen = gc.get_freeze_count()
    gc.disable()
    try:
        limit_gc_to_new_objects()
        assert gc.isenabled() and gc.get_freeze_count() > frozen
        assert len(gc.get_objects()) < gc.get_freeze_count()
    finally:
        gc.enable()
        gc.unfreeze()


def test_heartbeat_past_the_limit_counts_with_its_full_delay():
    monitor = HeartbeatMonitor(150.0)
    monitor.reset(10.0)
    monitor.record_beat(10.0 + HEARTBEAT_INTERVAL_S)
    monitor.record_beat(10.0 + 2 * HEARTBEAT_INTERVAL_S + 0.1)
    assert monitor.stats.late_s == 0 and monitor.stats.worst_ms == pytest.approx(100)
    monitor.record_beat(10.0 + 3 * HEARTBEAT_INTERVAL_S + 0.6)
    assert monitor.stats.late_s == pytest.approx(0.5) and monitor.stats.share == pytest.approx(0.5 / 0.66)


def test_ownership_is_complete_again_once_another_instance_leads_and_holds_all_works():
    ownership = OwnershipTracker()
    ownership.record({"ev": "leader", "who": "o0", "leader": "o0"})
    ownership.record({"ev": "leader", "who": "o1", "leader": "o0"})
    for work in WORKS:
        ownership.record({"ev": "held", "who": "o0", "work": work})
    assert ownership.complete
    ownership.remove("o0")
    assert not ownership.complete
    for work in WORKS:
        ownership.record({"ev": "held", "who": "o2", "work": work})
    assert not ownership.complete
    ownership.record({"ev": "leader", "who": "o2", "leader": "o2"})
    assert ownership.complete
    ownership.record({"ev": "lost", "who": "o2", "work": WORKS[0]})
    assert not ownership.complete


def test_instance_configuration_may_hold_all_nodes_of_the_target():
    assert load(str(TARGET)).target_nodes <= MAX_NODES


def test_instance_gets_no_more_nodes_than_its_configuration_may_hold():
    addresses = {f"n{i}": f"127.0.0.1:{i}" for i in range(MAX_NODES + 1)}
    assert len(configured_nodes(addresses)) == MAX_NODES


def test_node_cost_is_the_mean_between_two_samples_of_each_process():
    def sample(cpu, datagrams, size, connections):
        traffic = Traffic(datagrams, datagrams, size, size, size, size, connections)
        return Sample(10, True, 0, 0.0, 0, 0, 0, cpu, int(20 * BYTES_PER_MB), traffic, LatenessStats())

    before = [(0.0, sample(1.0, 100, 1000, 10)), (0.0, sample(1.0, 100, 1000, 10))]
    after = [(4.0, sample(1.4, 140, 5000, 50)), (5.0, sample(1.5, 150, 6000, 60))]
    cost = node_cost(before, after, 50.0)
    assert cost.core_share == pytest.approx(0.2 / 20) and cost.memory_mb == pytest.approx(0.5)
    assert cost.datagrams_s == pytest.approx(2.0) and cost.bytes_s == pytest.approx(400)
    assert cost.connections_s == pytest.approx(1.0) and cost.seconds == 5.0


def test_cores_are_processor_time_between_two_readings_and_never_negative():
    def reading(at, **cpu):
        return Reading(at, {role: RoleUse(1, cpu_s, 1.0, 1.0) for role, cpu_s in cpu.items()})

    used = cores_by_role(reading(1.0, a=2.0, b=9.0), reading(3.0, a=5.0, b=1.0, c=1.0))
    assert used == {"a": 1.5, "b": 0.0}


def test_busy_and_stolen_cores_of_the_machine_are_shown_beside_the_cores_of_the_run():
    before = Reading(1.0, {}, machine_cpu_s=100.0, stolen_s=7.0)
    after = Reading(3.0, {}, machine_cpu_s=112.0, stolen_s=8.0)
    assert machine_cores_used(before, after) == (6.0, 0.5)
    m = measured()
    m.cost = msgspec.structs.replace(
        m.cost, cores={"hollow nodes": 2.5, "rig": 1.0}, machine_cores=8, busy_cores=6.0, stolen_cores=0.5
    )
    printed = "6.0 of the machine's 8 cores were busy in the steady span, 3.5 by the run; "
    assert printed + "its host kept 0.5 from it" in result_lines(conclude(scenario(), m))


def test_processor_time_of_the_machine_increases_by_at_most_the_time_of_all_cores():
    (busy_before, stolen_before), began = machine_cpu_times(), time.monotonic()
    while time.monotonic() - began < 0.1:
        pass
    (busy, stolen), span = machine_cpu_times(), time.monotonic() - began
    busy, stolen = busy - busy_before, stolen - stolen_before
    # The kernel counts in hundredths of a second for each core.
    assert busy >= 0.0 and stolen >= 0.0
    assert 0.05 <= busy + stolen <= os.cpu_count() * (span + 0.05)


# ---- the checks, on invented measurements


def scenario():
    return decode(VALID_SCENARIO)


def measured(**changes):
    """A run in which all checks hold."""
    m = Measured(40, 37, 3, 3, MAX_NODES, start_s=3.0, seconds=90.0, known_s=20.0, owner_first_s=0.1)
    m.cost = Cost(NodeCost(20.0, 0.004, 2.0, 900.0, 2.0, 2.5), 28.0, 0.003, 92.0, {"hollow nodes": 0.2})
    m.faults = [
        Fault("instance", "o1", 50.0, 0, 0.5, 2.0), Fault("rack", "rack2", 55.0, 12, 20.0, 9.0),
        Fault("real node", "n2", 80.0, 1, 0.1, 1.0),
    ]  # fmt: skip
    m.readings = [Reading(30.0, {"hollow nodes": RoleUse(3, 4.0, 90.0, 88.0)})]
    m.views = [View(30.0, 1.0, 1.0, 1.0)]
    m.tries, m.served = 100, 99
    m.late = {"rack0": LatenessStats(20.0, 0.0, 60.0), "rig": LatenessStats(10.0)}
    for name, value in changes.items():
        setattr(m, name, value)
    return m


def verdicts(m):
    return {row.name: row.verdict for row in judge(scenario(), m)}


def changed_fault(what, **values):
    faults = copy.deepcopy(measured().faults)
    for fault in faults:
        if fault.what == what:
            for name, value in values.items():
                setattr(fault, name, value)
    return faults


def without_fault(what):
    return [fault for fault in measured().faults if fault.what != what]


def cost(**values):
    original = measured().cost
    return msgspec.structs.replace(original, node=msgspec.structs.replace(original.node, **values))


def reading(processes, memory):
    return [Reading(1.0, {"hollow nodes": RoleUse(processes, 0.0, memory, memory)})]


def test_run_without_failures_holds():
    result = conclude(scenario(), measured())
    assert result.code == 0 and not result.void
    assert {row.verdict for row in result.checks} == {Verdict.HELD}
    assert result_lines(result)[-1] == "all checks held"


FAILURES = [
    ("processes that ended by themselves", {"missing": ["n1"]}),
    ("breaches of the rules at real nodes", {"breaches": ["sessions: answered twice"]}),
    ("clients of real nodes served", {"served": 89}),
    ("clients of real nodes served", {"tries": 0, "served": 0}),
    ("owners of all works, at first", {"owner_first_s": None}),
    ("owners again", {"faults": changed_fault("instance", dead_s=None)}),
    ("owners again", {"faults": without_fault("instance")}),
    ("killed rack known as silent", {"faults": without_fault("rack")}),
    ("real node back", {"faults": changed_fault("real node", back_s=None)}),
    ("real node back", {"faults": without_fault("real node")}),
    ("processes of the run", {"readings": reading(201, 100.0)}),
    ("memory of the run", {"readings": reading(20, 12_289.0)}),
    ("processor time of control", {"cost": None}),
    ("memory of control", {"cost": None}),
    ("traffic of control", {"cost": None}),
]


@pytest.mark.parametrize(("name", "changes"), FAILURES)
def test_failed_check_breaks_the_run(name, changes):
    m = measured(**changes)
    assert verdicts(m)[name] is Verdict.BROKEN
    assert conclude(scenario(), m).code == checks.LAB_BROKEN


GAPS = [
    ("9 in 10 nodes know 9 in 10", {"known_s": None}),
    ("killed rack known as silent", {"faults": changed_fault("rack", dead_s=None)}),
    ("started rack known as alive", {"faults": changed_fault("rack", back_s=None)}),
    ("processor time of control", {"cost": cost(core_share=0.0061)}),
    ("memory of control", {"cost": cost(memory_mb=16.1)}),
    ("traffic of control", {"cost": cost(bytes_s=2001.0)}),
    ("nodes that were played", {"members": 39}),
    ("nodes an instance takes", {"instance_nodes": 39}),
]


@pytest.mark.parametrize(("name", "changes"), GAPS)
def test_missed_requirement_of_the_target_is_a_gap_and_does_not_break_the_run(name, changes):
    m = measured(**changes)
    assert verdicts(m)[name] is Verdict.GAP
    result = conclude(scenario(), m)
    assert result.code == 0 and result_lines(result)[-1] == "all checks held; 1 gaps to what the target needs"


def test_worst_check_is_listed_first():
    m = measured(missing=["n1"], known_s=None, cost=cost(bytes_s=9000.0))
    rows = judge(scenario(), m)
    assert [row.name for row in rows[:3]] == [
        "processes that ended by themselves", "9 in 10 nodes know 9 in 10", "traffic of control",
    ]  # fmt: skip
    held = [row.excess for row in rows if row.verdict is Verdict.HELD]
    assert held == sorted(held, reverse=True)


@pytest.mark.parametrize("breaches", [[], ["sessions: answered twice"]])
def test_run_on_a_slow_machine_is_void_whatever_the_checks_say(breaches):
    m = measured(breaches=breaches, late={"rack1": LatenessStats(900.0, 3.1, 60.0)})
    result = conclude(scenario(), m)
    assert result.code == VOID and "rack1" in result.void[0]
    assert result_lines(result)[-1] == "nothing is said about the nodes"


@pytest.mark.parametrize(
    "changes", [{"breaches": ["sessions: no answer in its time"]}, {"served": 50}, {"owner_first_s": None}]
)
def test_failure_that_a_late_rig_can_cause_makes_the_run_void(changes):
    late, in_time = {"rig": LatenessStats(51.0)}, {"rig": LatenessStats(49.0)}
    assert conclude(scenario(), measured(late=late)).code == 0
    assert conclude(scenario(), measured(late=late, **changes)).code == VOID
    assert conclude(scenario(), measured(late=in_time, **changes)).code == checks.LAB_BROKEN


@pytest.mark.parametrize("changes", [{"missing": ["n1"]}, {"readings": reading(201, 1.0)}, {"cost": None}])
def test_failure_that_lateness_cannot_cause_breaks_the_run_even_with_a_late_rig(changes):
    assert (
        conclude(scenario(), measured(late={"rig": LatenessStats(51.0)}, **changes)).code == checks.LAB_BROKEN
    )


def test_result_survives_its_file_and_is_drawn_as_a_page(tmp_path):
    from caperdeck.lab.scale.page import page

    path, history = tmp_path / "run.json", tmp_path / "run.jsonl"
    result = conclude(scenario(), measured(known_s=None))
    write(str(path), result)
    history.write_text('{"t": 0.0, "ev": "ask"}\n')
    assert is_result(str(path)) and not is_result(str(history))
    assert read(str(path)) == result
    assert "9 in 10 nodes know 9 in 10" in page(result) and "<svg" in page(result)
    path.write_bytes(path.read_bytes()[:200])
    with pytest.raises(ScenarioError):
        read(str(path))


@pytest.mark.parametrize("name", RECORDED_RUNS)
def test_recorded_run_is_complete_gives_the_same_checks_again_and_is_drawn(name):
    from caperdeck.lab.scale.page import page

    path = CAPACITY_PAGE.parent / "capacity" / name
    recorded = read(str(path))
    again = conclude(recorded.scenario, recorded.measured)
    assert (again.checks, again.void, again.code) == (recorded.checks, recorded.void, recorded.code)
    assert is_result(str(path)) and path.stat().st_size < MAX_RECORD_BYTES
    drawn = page(recorded)
    assert "<svg" in drawn and all(name in drawn for name in ("nodes that were played", "memory by role"))


# ---- real processes


def command(*words, timeout, **environment):
    return subprocess.run(
        [sys.executable, "-B", "-m", "caperdeck", "lab", "scale", *map(str, words)], cwd=ROOT,
        timeout=timeout, capture_output=True, text=True, check=False, env=os.environ | environment,
    )  # fmt: skip


def test_small_run_holds_with_the_checks_of_the_whole_target(tmp_path):
    out = tmp_path / "run.json"
    for _ in range(MAX_ATTEMPTS):
        done = command(SMALL, f"--json={out}", timeout=RUN_TIMEOUT_S, TMPDIR=str(tmp_path))
        if done.returncode != VOID:
            break
    assert done.returncode == 0 and "all checks held" in done.stdout, done.stdout + done.stderr
    m = read(str(out)).measured
    assert (m.members, m.stub_nodes, m.real, m.instances) == (93, 90, 3, 3)
    assert m.cost.node.datagrams_s > 0 and m.cost.node.core_share > 0
    # Owners keep their connections; with one connection for each act the rate was over one a second.
    assert 0 <= m.cost.node.connections_s < 0.1
    # The run may end before a restarted rack has received its target shares, so only earlier views count.
    before_fault = [view for view in m.views if view.at < m.fault("rack").at]
    assert before_fault[-1].told > 0.9 and before_fault[-1].known > 0.1
    assert processes_with_environment(tmp_path) == []


def test_interrupt_in_a_background_task_ends_the_run_at_once(monkeypatch):
    async def endless(run):
        run._run_every(HEARTBEAT_INTERVAL_S, run._record_heartbeat)
        await asyncio.Event().wait()

    async def interrupted(run):
        raise InterruptedRunError

    monkeypatch.setattr(ScaleRun, "_run_steps", endless)
    monkeypatch.setattr(ScaleRun, "_record_heartbeat", interrupted)
    with pytest.raises(InterruptedRunError):
        ScaleRun(scenario(), Progress()).run()


class RunningProcess:
    returncode = None


def test_running_real_node_that_does_not_answer_is_missing():
    addresses = LoopbackAddresses()
    real = RealNodeFleet(scenario(), addresses)
    addresses.close()
    names = real.scenario.node_names() + real.scenario.owner_names()
    for name in names:
        real.processes[name] = RunningProcess()
        real.emit_life(name, "up")
    assert real.missing() == []
    real.emit_life("n1", "killed")
    assert real.missing() == ["n1"] and not real.is_up("n1")
    real.kill_counts["n1"] = 1
    assert real.missing() == ["n1"]
    real.emit_life("n1", "up")
    assert real.missing() == [] and real.is_up("n1")
    real.emit_life("o0", "killed")
    real.emit_life("o0", "up")
    assert real.missing() == ["o0"]
