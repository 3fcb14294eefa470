"""`caperdeck lab in-force`: its checks on made-up measurements, and a small run of real processes."""

import asyncio
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from caperdeck.lab.propagation.command import faults_of
from caperdeck.lab.propagation.instances import Published, WatchFigures
from caperdeck.lab.propagation.measured import (
    WITHIN, CutLook, Measured, RefusalLook, Result, StatusLook, Step, conclude,
)  # fmt: skip
from caperdeck.lab.propagation.plan import InForce, Refused, instance_places, node_places
from caperdeck.lab.propagation.relay import RelayChild, RelayPlan
from caperdeck.lab.scale.heartbeat import LatenessStats
from caperdeck.lab.scenario import ScenarioError
from caperdeck.state.addresses import parse_address

ROOT = Path(__file__).parents[1]
HELD, BROKEN, BAD_INPUT, VOID = 0, 1, 2, 3
TRIES = 3  # where the machine was too slow to say anything
NAMES = ["n0", "n1"]


def measured(**changes):
    """Two nodes, two changes at 1 s and 5 s, in force after 0.1 and 0.2 s."""
    put = [InForce("n0", 1, 1100.0), InForce("n1", 1, 1200.0)]
    put += [InForce("n0", 2, 5100.0), InForce("n1", 2, 5200.0)]
    steps = [Step("no fault", Published(1, 1000.0, 1010.0)), Step("no fault", Published(2, 5000.0, 5010.0))]
    made = {
        "nodes": 2, "instances": 3, "processes": 1, "document_bytes": 2, "descriptors": 1024, "names": NAMES,
        "steps": steps, "put": put, "looks": [StatusLook(5150.0, 5160.0, True, 2, ["n0"])], "current": 2,
    }  # fmt: skip
    return Measured(**(made | changes))


def said(revision=2, confirmed=True, stale=(), not_heard=(), refused=()):
    return StatusLook(
        7000.0, 7010.0, confirmed, revision, [], [], list(stale), list(not_heard), list(refused)
    )  # fmt: skip


def cut(**changes):
    """Of two nodes n1 is cut off, and all is said as it is."""
    made = {
        "rest": ["n0"], "cut_off": ["n1"], "by_rest": said(not_heard=["n1"]),
        "by_cut_off": said(1, False, stale=["n1"], not_heard=["n0"]), "uncurrent": ["n1"], "stale": ["n1"],
    }  # fmt: skip
    return CutLook(**(made | changes))


def refusal(**words):
    """Of revision 2, which n1 cannot serve."""
    return RefusalLook(2, ["n1"], "a: ", said(**words))


def test_times_are_counted_from_the_commit_over_all_nodes_and_changes():
    result = conclude(measured())
    (row,) = result.times
    assert (row.changes, row.missing, result.code) == (2, 0, HELD)
    assert (row.half, row.last) == (pytest.approx(0.2), pytest.approx(0.2))


def test_a_later_revision_counts_for_the_ones_before():
    put = [InForce("n0", 2, 5100.0), InForce("n1", 2, 5200.0)]
    steps = [Step("burst", Published(1, 4900.0, 4950.0)), Step("burst", Published(2, 5000.0, 5010.0))]
    (row,) = conclude(measured(put=put, steps=steps)).times
    assert (row.missing, row.last) == (0, pytest.approx(0.3))


@pytest.mark.parametrize(
    ("words", "changes"),
    [
        ("not in force within", {"put": measured().put[:-1]}),
        ("not in force within", {"put": [*measured().put[:-1], InForce("n1", 2, 5001.0 + WITHIN * 1000.0)]}),
        ("from revision 2 to 1", {"put": [*measured().put, InForce("n1", 1, 5300.0)]}),
        ("had not got it", {"looks": [StatusLook(5120.0, 5130.0, True, 2, ["n0", "n1"])]}),
        ("not told of at 1", {"looks": [StatusLook(7000.0, 7010.0, True, 2, ["n0"], NAMES)]}),
        ("not confirmed", {"looks": [StatusLook(7000.0, 7010.0, False, 2, NAMES, NAMES)]}),
        ("as the newest after 2", {"looks": [StatusLook(5150.0, 5160.0, True, 1, NAMES)]}),
        ("1 nodes not current", {"current": 1}),
        ("1 nodes refused", {"refused": [Refused("n0", 2, "x")]}),
        ("1 nodes refused", {"refused": [Refused("n1", 1, "x")], "refusal_looks": [refusal()]}),
        ("n1 had revision 2 in force, which", {"refusal_looks": [refusal()]}),
        ("n1 not told of as refusing", {"refusal_looks": [refusal(refused=[Refused("n1", 1, "a: x")])]}),
        ("n0 said to refuse", {"refusal_looks": [refusal(refused=[Refused("n0", 2, "a: x")])]}),
        ("n1 refused with 'b: x'", {"refusal_looks": [refusal(refused=[Refused("n1", 2, "b: x")])]}),
        ("no instance answered after revision 2", {"refusal_looks": [RefusalLook(2, ["n1"], "a: ", None)]}),
        ("n1 began anew with revision 1 after 2", {"begun": [InForce("n1", 1, 6000.0)], "emptied": NAMES}),
        ("n1 began anew with revision 0 after 2", {"begun": [InForce("n1", 0, 6000.0)], "emptied": ["n0"]}),
        ("took 501 connects", {"watches": [WatchFigures("o0", 1, 2048, 501, 32, 0)]}),
        ("sent 33 snapshots", {"watches": [WatchFigures("o0", 1, 2048, 500, 33, 0)]}),
        ("n1 cut off and not stale", {"cut_looks": [cut(stale=[])]}),
        ("n0 not current beside", {"cut_looks": [cut(uncurrent=NAMES)]}),
        ("no instance of a region", {"cut_looks": [cut(by_cut_off=None)]}),
        ("0 not heard of, 1 were cut off", {"cut_looks": [cut(by_rest=said())]}),
        ("confirmed in the region cut off", {"cut_looks": [cut(by_cut_off=said(stale=["n1"]))]}),
        ("1 cut off not told of as stale", {"cut_looks": [cut(by_cut_off=said(confirmed=False))]}),
    ],
)
def test_what_must_hold_breaks_the_run(words, changes):
    result = conclude(measured(**changes))
    assert result.code == BROKEN and any(words in line for line in result.broken)


def test_a_region_cut_off_is_waited_for_from_the_heal_on_and_a_version_that_half_refuse_at_the_others():
    put = measured().put[:-1] + [InForce("n1", 2, 30_200.0), InForce("n0", 3, 40_100.0)]
    steps = [
        *measured().steps[:1], Step("cut", Published(2, 5000.0, 5010.0), ["n0"]),
        Step("healed", Published(2, 5000.0, 5010.0), ["n1"], 30_000.0),
        Step("refuse", Published(3, 40_000.0, 40_010.0), ["n0"]),
    ]  # fmt: skip
    refusals = {"refused": [Refused("n1", 3, "a: x")]}
    look = RefusalLook(3, ["n1"], "a: ", said(**refusals, revision=3))
    more = {"cut_looks": [cut()], "refusal_looks": [look], "emptied": ["n0"], "looks": []}
    result = conclude(measured(put=put, steps=steps, begun=[InForce("n0", 0, 6000.0)], **refusals, **more))
    assert [round(row.last, 3) for row in result.times] == [0.2, 0.1, 0.2, 0.1]
    assert (result.code, result.broken) == (HELD, [])
    early = [*steps[:2], Step("healed", Published(2, 5000.0, 5010.0), ["n1"], 30_300.0)]
    assert conclude(measured(put=put, steps=early)).code == VOID


@pytest.mark.parametrize("changes", [{"dead": ["nodes0"]}, {"late": {"run": LatenessStats(500.0, 0.1, 1.0)}}])
def test_a_rig_that_failed_says_nothing(changes):
    assert conclude(measured(**changes, current=1)).code == VOID


def test_seven_instances_stand_in_all_zones_four_of_them_in_the_larger_region():
    instances, nodes = instance_places(7), node_places(100)
    assert {place.zone for place in instances} == {place.zone for place in nodes}
    assert sum(place.region == "north" for place in instances) == 4


def test_what_is_written_over_a_cut_comes_after_the_heal_and_new_connections_are_not_answered(tmp_path):
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)

    async def play():
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        relay = RelayChild(tmp_path)
        await relay.start(RelayPlan([(instance_places(1)[0], f"{host}:{port}")]))
        across = parse_address(relay.addresses["o0"])
        reader, writer = await asyncio.open_connection(*across)
        writer.write(b"before")
        assert await reader.readexactly(6) == b"before"
        await relay.cut(True)
        writer.write(b"meanwhile")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(1), 0.3)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.open_connection(*across), 0.3)
        await relay.cut(False)
        assert await asyncio.wait_for(reader.readexactly(9), 5.0) == b"meanwhile"
        reader, writer = await asyncio.wait_for(asyncio.open_connection(*across), 5.0)
        writer.write(b"after")
        assert await asyncio.wait_for(reader.readexactly(5), 5.0) == b"after"
        await relay.kill()
        server.close()

    asyncio.run(play())


def test_unknown_faults_are_named():
    assert faults_of("leader,stop") == ("leader", "stop") and faults_of(None) == ()
    with pytest.raises(ScenarioError, match="no fault 'flood'"):
        faults_of("leader,flood")


def command(*words, timeout):
    return subprocess.run(
        [sys.executable, "-B", "-m", "caperdeck", "lab", "in-force", *words], cwd=ROOT, capture_output=True,
        text=True, timeout=timeout, check=False,
    )  # fmt: skip


@pytest.mark.parametrize("word", ["--nodes=0", "--instances=2", "--faults=flood", "--json=/no/where"])
def test_bad_input_is_one_line_and_exit_code_2(word):
    done = command(word, timeout=20)
    assert done.returncode == BAD_INPUT and not done.stdout
    assert done.stderr.startswith("caperdeck: ") and done.stderr.count("\n") == 1


def test_changes_are_in_force_at_twelve_nodes_of_three_instances_with_faults_of_nodes(tmp_path):
    words = ["--nodes=12", "--instances=3", "--processes=3", "--changes=2", "--seconds=0"]
    words += ["--faults=crowd,refuse"]
    for _ in range(TRIES):
        done = command(*words, f"--json={tmp_path}/run.json", timeout=100)
        if done.returncode != VOID:
            break
    assert done.returncode == HELD, done.stdout + done.stderr
    result = msgspec.json.decode((tmp_path / "run.json").read_bytes(), type=Result)
    assert [(row.phase, row.changes, row.missing) for row in result.times] == [
        ("no fault", 2, 0), ("burst", 10, 0), ("crowd killed", 1, 0), ("crowd replaced", 1, 0),
        ("half refuse", 1, 0), ("after the refusal", 1, 0),
    ]  # fmt: skip
    assert result.broken == [] and result.looks > 0
    assert [row.instance for row in result.watches] == ["o0", "o1", "o2"]
