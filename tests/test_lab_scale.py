"""The scale run: its files, its checks on made-up measurements, and a small run of real processes."""

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
from caperdeck.lab.scale.heartbeat import BEAT, Beats, Late
from caperdeck.lab.scale.checks import Verdict, judge
from caperdeck.lab.scale.stub_nodes import collect_from_now_on, holds_alive, holds_dead, knows
from caperdeck.lab.scale.instances import Agreement, told_nodes
from caperdeck.lab.scale.measure import MB, cores_used, machine_cores, machine_times, node_cost
from caperdeck.lab.scale.measured import Cost, Fault, Measured, NodeCost, Reading, RoleUse, View
from caperdeck.lab.scale.places import Places
from caperdeck.lab.scale.plan import Sample
from caperdeck.lab.scale.progress import Progress
from caperdeck.lab.scale.real_nodes import RealPart
from caperdeck.lab.scale.result import conclude, is_result, read, write
from caperdeck.lab.scale.run import ScaleRun
from caperdeck.lab.scale.scenario import decode, load
from caperdeck.lab.scale.table import lines
from caperdeck.lab.scale.traffic import Traffic
from caperdeck.lab.scenario import ScenarioError
from caperdeck.owner.config import MAX_NODES, WORKS
from caperdeck.peers.swim import MemberState, Swim

ROOT = Path(__file__).parents[1]
FOLDER = ROOT / "caperdeck" / "lab" / "scenarios" / "scale"
SMALL, TARGET = FOLDER / "small.toml", FOLDER / "target.toml"
PARTS = {400: FOLDER / "400.toml", 1460: FOLDER / "1460.toml"}  # of the target, by their hollow nodes
KEPT = ["scale-400.json", "scale-400-second.json", "scale-1460.json"]  # records of runs, beside the slopes
KEPT_BYTES = 128 << 10  # that the record of a run may have in the repository
CAPACITY = ROOT / "docs" / "CAPACITY.md"
VOID, BAD_INPUT = 3, 2
TRIES = 3  # where the machine was too slow to say anything
PATIENCE = 240  # seconds for one small run, which takes under 30 on a machine with room

GOOD = {"name": "t", "machines": 20, "processes_a_machine": 2}

BAD = [
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


@pytest.mark.parametrize(("change", "words"), BAD, ids=[words for _, words in BAD])
def test_a_bad_scenario_is_refused_with_field_and_reason(change, words):
    with pytest.raises(ScenarioError) as refused:
        decode(GOOD | change, "s.toml")
    assert words in str(refused.value) and str(refused.value).startswith("s.toml: ")


@pytest.mark.parametrize(
    "words", [["missing.toml"], [SMALL, "--nodes=many"], [SMALL, "--seconds=0"], [SMALL, "--json=/no/where"]]
)
def test_bad_input_is_one_line_and_exit_code_2_and_starts_nothing(words):
    done = command(*words, timeout=20)
    assert done.returncode == BAD_INPUT and not done.stdout
    assert done.stderr.startswith("caperdeck: ") and done.stderr.count("\n") == 1


def test_the_shipped_scenarios_are_the_target_and_its_small_likeness():
    small, target = load(str(SMALL)), load(str(TARGET))
    assert (target.machines, target.instances) == (730, 7)
    assert target.members == target.target_nodes == 730 * target.processes_a_machine == 3650
    assert f"A machine must run **{target.processes_a_machine}** node processes." in CAPACITY.read_text()
    assert (small.hollow_nodes, small.real.nodes, small.instances) == (90, 3, 3)
    assert (small.budget, small.limits) == (target.budget, target.limits)
    assert (target.limits.processes, target.limits.memory_mb) == (200, 12 * 1024)
    # what it waits for leaves half of the half minute that CI has to start processes
    waits = small.spans.known + small.spans.steady + small.bounds.dead + small.bounds.back
    assert waits <= 15


@pytest.mark.parametrize(("nodes", "path"), PARTS.items())
def test_a_part_of_the_target_is_held_to_what_the_whole_is(nodes, path):
    part, target = load(str(path)), load(str(TARGET))
    assert (part.hollow_nodes, part.real.nodes, part.instances) == (nodes, 3, 7)
    assert part.target_nodes == target.target_nodes
    assert (part.budget, part.limits, part.lateness) == (target.budget, target.limits, target.lateness)
    assert (part.sharing, part.real, part.bounds.owner) == (target.sharing, target.real, target.bounds.owner)


def test_the_command_line_sets_nodes_processes_and_the_steady_span():
    scenario = load(str(SMALL), nodes=50, processes=4, seconds=9)
    assert (scenario.hollow_nodes, len(scenario.racks()), scenario.spans.steady) == (50, 4, 9.0)


def test_hollow_nodes_have_the_numbers_after_the_real_ones_and_an_address_each():
    scenario = decode(GOOD | {"hollow": {"processes": 4}})
    racks = scenario.racks()
    assert sorted(n for rack in racks for n in rack) == list(range(3, 40))
    assert max(map(len, racks)) - min(map(len, racks)) <= 1
    places = Places()
    try:
        addresses = places.of_racks(racks)
    finally:
        places.close()
    assert len(set(addresses.values())) == 37 and all(a.startswith("127.") for a in addresses.values())


# ---- what a hollow process looks at


def test_a_view_counts_what_it_knows_as_alive_as_silent_and_as_back():
    swim = Swim(0, 10, 1, 1, 0.0)
    assert knows(swim.state, 10) == 0.1 and not holds_dead(swim, [1, 2])
    for i in range(1, 10):
        swim.state[i], swim.life[i] = MemberState.ALIVE, 5
    assert knows(swim.state, 10) == 1.0 and not holds_dead(swim, [1, 2])
    swim.state[1] = swim.state[2] = MemberState.SILENT
    assert holds_dead(swim, [1, 2]) and not holds_dead(swim, [1, 2, 3])
    # one that was never seen to go is not back
    assert not holds_alive(swim, {3: 5}) and not holds_alive(swim, {})
    swim.state[1], swim.life[1] = MemberState.ALIVE, 6
    assert holds_alive(swim, {1: 5})


def test_the_collector_leaves_out_what_was_made_before_it_was_let_on():
    frozen = gc.get_freeze_count()
    gc.disable()
    try:
        collect_from_now_on()
        assert gc.isenabled() and gc.get_freeze_count() > frozen
        assert len(gc.get_objects()) < gc.get_freeze_count()
    finally:
        gc.enable()
        gc.unfreeze()


def test_a_beat_is_late_from_the_limit_on_and_counts_for_as_long_as_it_was():
    beats = Beats(150.0)
    beats.zero(10.0)
    beats.beat(10.0 + BEAT)
    beats.beat(10.0 + 2 * BEAT + 0.1)
    assert beats.late.late_s == 0 and beats.late.worst_ms == pytest.approx(100)
    beats.beat(10.0 + 3 * BEAT + 0.6)
    assert beats.late.late_s == pytest.approx(0.5) and beats.late.share == pytest.approx(0.5 / 0.66)


def test_owners_are_agreed_again_once_another_leads_and_holds_all_the_work():
    agreement = Agreement()
    agreement.take({"ev": "leader", "who": "o0", "leader": "o0"})
    agreement.take({"ev": "leader", "who": "o1", "leader": "o0"})
    for work in WORKS:
        agreement.take({"ev": "held", "who": "o0", "work": work})
    assert agreement.agreed
    agreement.forget("o0")
    assert not agreement.agreed
    for work in WORKS:
        agreement.take({"ev": "held", "who": "o2", "work": work})
    assert not agreement.agreed
    agreement.take({"ev": "leader", "who": "o2", "leader": "o2"})
    assert agreement.agreed
    agreement.take({"ev": "lost", "who": "o2", "work": WORKS[0]})
    assert not agreement.agreed


def test_an_instance_takes_all_nodes_of_the_target():
    assert load(str(TARGET)).target_nodes <= MAX_NODES


def test_an_instance_is_told_as_many_nodes_as_its_configuration_takes():
    addresses = {f"n{i}": f"127.0.0.1:{i}" for i in range(MAX_NODES + 1)}
    assert len(told_nodes(addresses)) == MAX_NODES


def test_the_cost_of_a_node_is_the_mean_between_two_samples_of_each_process():
    def sample(cpu, datagrams, size, connections):
        traffic = Traffic(datagrams, datagrams, size, size, size, size, connections)
        return Sample(10, True, 0, 0.0, 0, 0, 0, cpu, int(20 * MB), traffic, Late())

    before = [(0.0, sample(1.0, 100, 1000, 10)), (0.0, sample(1.0, 100, 1000, 10))]
    after = [(4.0, sample(1.4, 140, 5000, 50)), (5.0, sample(1.5, 150, 6000, 60))]
    cost = node_cost(before, after, 50.0)
    assert cost.core_share == pytest.approx(0.2 / 20) and cost.memory_mb == pytest.approx(0.5)
    assert cost.datagrams_s == pytest.approx(2.0) and cost.bytes_s == pytest.approx(400)
    assert cost.connections_s == pytest.approx(1.0) and cost.seconds == 5.0


def test_cores_are_processor_time_between_two_readings_never_less_than_none():
    def reading(at, **cpu):
        return Reading(at, {role: RoleUse(1, s, 1.0, 1.0) for role, s in cpu.items()})

    used = cores_used(reading(1.0, a=2.0, b=9.0), reading(3.0, a=5.0, b=1.0, c=1.0))
    assert used == {"a": 1.5, "b": 0.0}


def test_what_others_do_on_the_machine_and_its_host_keeps_is_told_beside_what_the_run_took():
    before = Reading(1.0, {}, machine_cpu_s=100.0, stolen_s=7.0)
    after = Reading(3.0, {}, machine_cpu_s=112.0, stolen_s=8.0)
    assert machine_cores(before, after) == (6.0, 0.5)
    m = measured()
    m.cost = msgspec.structs.replace(
        m.cost, cores={"hollow nodes": 2.5, "rig": 1.0}, machine_cores=8, busy_cores=6.0, stolen_cores=0.5
    )
    said = "6.0 of the machine's 8 cores were busy in the steady span, 3.5 by the run; "
    assert said + "its host kept 0.5 from it" in lines(conclude(scenario(), m))


def test_the_machines_processor_time_goes_on_and_is_less_than_all_its_cores_have():
    (began, stolen), at = machine_times(), time.monotonic()
    while time.monotonic() - at < 0.1:
        pass
    (spent, kept), span = machine_times(), time.monotonic() - at
    spent, kept = spent - began, kept - stolen
    # the kernel counts in hundredths of a second, a core each
    assert spent >= 0.0 and kept >= 0.0
    assert 0.05 <= spent + kept <= os.cpu_count() * (span + 0.05)


# ---- the checks, on made-up measurements


def scenario():
    return decode(GOOD)


def measured(**changes):
    """A run in which everything held."""
    m = Measured(40, 37, 3, 3, MAX_NODES, start_s=3.0, seconds=90.0, known_s=20.0, owner_first_s=0.1)
    m.cost = Cost(NodeCost(20.0, 0.004, 2.0, 900.0, 2.0, 2.5), 28.0, 0.003, 92.0, {"hollow nodes": 0.2})
    m.faults = [
        Fault("instance", "o1", 50.0, 0, 0.5, 2.0), Fault("rack", "rack2", 55.0, 12, 20.0, 9.0),
        Fault("real node", "n2", 80.0, 1, 0.1, 1.0),
    ]  # fmt: skip
    m.readings = [Reading(30.0, {"hollow nodes": RoleUse(3, 4.0, 90.0, 88.0)})]
    m.views = [View(30.0, 1.0, 1.0, 1.0)]
    m.tries, m.served = 100, 99
    m.late = {"rack0": Late(20.0, 0.0, 60.0), "rig": Late(10.0)}
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
    made = measured().cost
    return msgspec.structs.replace(made, node=msgspec.structs.replace(made.node, **values))


def reading(processes, memory):
    return [Reading(1.0, {"hollow nodes": RoleUse(processes, 0.0, memory, memory)})]


def test_a_run_that_held_is_green():
    result = conclude(scenario(), measured())
    assert result.code == 0 and not result.void
    assert {row.verdict for row in result.checks} == {Verdict.HELD}
    assert lines(result)[-1] == "all checks held"


BREAKS = [
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


@pytest.mark.parametrize(("name", "changes"), BREAKS)
def test_what_must_hold_breaks_the_run(name, changes):
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
def test_what_the_target_needs_and_is_not_reached_is_a_gap_and_breaks_nothing(name, changes):
    m = measured(**changes)
    assert verdicts(m)[name] is Verdict.GAP
    result = conclude(scenario(), m)
    assert result.code == 0 and lines(result)[-1] == "all checks held; 1 gaps to what the target needs"


def test_the_worst_row_is_the_first():
    m = measured(missing=["n1"], known_s=None, cost=cost(bytes_s=9000.0))
    rows = judge(scenario(), m)
    assert [row.name for row in rows[:3]] == [
        "processes that ended by themselves", "9 in 10 nodes know 9 in 10", "traffic of control",
    ]  # fmt: skip
    held = [row.over for row in rows if row.verdict is Verdict.HELD]
    assert held == sorted(held, reverse=True)


@pytest.mark.parametrize("breaches", [[], ["sessions: answered twice"]])
def test_a_machine_too_slow_voids_the_run_whatever_held(breaches):
    m = measured(breaches=breaches, late={"rack1": Late(900.0, 3.1, 60.0)})
    result = conclude(scenario(), m)
    assert result.code == VOID and "rack1" in result.void[0]
    assert lines(result)[-1] == "nothing is said about the nodes"


@pytest.mark.parametrize(
    "changes", [{"breaches": ["sessions: no answer in its time"]}, {"served": 50}, {"owner_first_s": None}]
)
def test_what_a_late_rig_can_break_is_void_and_nobodys(changes):
    late, in_time = {"rig": Late(51.0)}, {"rig": Late(49.0)}
    assert conclude(scenario(), measured(late=late)).code == 0
    assert conclude(scenario(), measured(late=late, **changes)).code == VOID
    assert conclude(scenario(), measured(late=in_time, **changes)).code == checks.LAB_BROKEN


@pytest.mark.parametrize("changes", [{"missing": ["n1"]}, {"readings": reading(201, 1.0)}, {"cost": None}])
def test_what_no_lateness_breaks_stays_broken_beside_a_late_rig(changes):
    assert conclude(scenario(), measured(late={"rig": Late(51.0)}, **changes)).code == checks.LAB_BROKEN


def test_a_result_is_kept_whole_and_drawn_as_a_page(tmp_path):
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


@pytest.mark.parametrize("name", KEPT)
def test_a_kept_run_is_whole_says_what_the_checks_say_and_is_drawn(name):
    from caperdeck.lab.scale.page import page

    path = CAPACITY.parent / "capacity" / name
    kept = read(str(path))
    again = conclude(kept.scenario, kept.measured)
    assert (again.checks, again.void, again.code) == (kept.checks, kept.void, kept.code)
    assert is_result(str(path)) and path.stat().st_size < KEPT_BYTES
    drawn = page(kept)
    assert "<svg" in drawn and all(name in drawn for name in ("nodes that were played", "memory by role"))


# ---- real processes


def command(*words, timeout, **environment):
    return subprocess.run(
        [sys.executable, "-B", "-m", "caperdeck", "lab", "scale", *map(str, words)], cwd=ROOT,
        timeout=timeout, capture_output=True, text=True, check=False, env=os.environ | environment,
    )  # fmt: skip


def test_the_small_run_holds_with_the_checks_of_the_whole_target(tmp_path):
    out = tmp_path / "run.json"
    for _ in range(TRIES):
        done = command(SMALL, f"--json={out}", timeout=PATIENCE, TMPDIR=str(tmp_path))
        if done.returncode != VOID:
            break
    assert done.returncode == 0 and "all checks held" in done.stdout, done.stdout + done.stderr
    m = read(str(out)).measured
    assert (m.members, m.hollow, m.real, m.instances) == (93, 90, 3, 3)
    assert m.cost.node.datagrams_s > 0 and m.cost.node.core_share > 0
    # owners keep their connections; by one for each act it was over one a second
    assert 0 <= m.cost.node.connections_s < 0.1
    # a rack that has just been started again is told a little later than the run may last
    whole = [view for view in m.views if view.at < m.fault("rack").at]
    assert whole[-1].told > 0.9 and whole[-1].known > 0.1
    assert processes_with_environment(tmp_path) == []


def test_an_interrupt_beside_the_steps_ends_the_run_at_once(monkeypatch):
    async def endless(run):
        run._every(BEAT, run._beat)
        await asyncio.Event().wait()

    async def interrupted(run):
        raise InterruptedRunError

    monkeypatch.setattr(ScaleRun, "_steps", endless)
    monkeypatch.setattr(ScaleRun, "_beat", interrupted)
    with pytest.raises(InterruptedRunError):
        ScaleRun(scenario(), Progress()).play()


class Alive:
    returncode = None


def test_a_real_node_that_lives_and_does_not_answer_is_missing():
    places = Places()
    real = RealPart(scenario(), places)
    places.close()
    names = real.scenario.node_names() + real.scenario.owner_names()
    for name in names:
        real.processes[name] = Alive()
        real.life(name, "up")
    assert real.missing() == []
    real.emit_life("n1", "killed")
    assert real.missing() == ["n1"] and not real.answers("n1")
    real.killed["n1"] = 1
    assert real.missing() == ["n1"]
    real.emit_life("n1", "up")
    assert real.missing() == [] and real.answers("n1")
    real.emit_life("o0", "killed")
    real.emit_life("o0", "up")
    assert real.missing() == ["o0"]
