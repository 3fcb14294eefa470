"""`caperdeck lab in-force`: its checks on artificial measurements, and a small run of real processes."""

import asyncio
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from caperdeck.lab.propagation.command import parse_faults
from caperdeck.lab.propagation.instances import PublishedVersion, WatchStats
from caperdeck.lab.propagation.measured import (
    PROPAGATION_BOUND_S, CutObservation, PublishedChange, RefusalObservation, Result, RunMeasurements,
    StatusObservation, conclude,
)  # fmt: skip
from caperdeck.lab.propagation.plan import AppliedVersion, RefusedVersion, instance_places, node_places
from caperdeck.lab.propagation.relay import RelayChild, RelayPlan
from caperdeck.lab.scale.heartbeat import LatenessStats
from caperdeck.lab.scenario import ScenarioError
from caperdeck.state.addresses import parse_address

ROOT = Path(__file__).parents[1]
HELD, BROKEN, BAD_INPUT, VOID = 0, 1, 2, 3
TRIES = 3  # runs that are void because the machine was too slow are repeated
NAMES = ["n0", "n1"]


def make_measurements(**changes):
    """Measurements of two nodes that applied two changes, of 1 s and 5 s, after 0.1 and 0.2 s."""
    applied_versions = [AppliedVersion("n0", 1, 1100.0), AppliedVersion("n1", 1, 1200.0)]
    applied_versions += [AppliedVersion("n0", 2, 5100.0), AppliedVersion("n1", 2, 5200.0)]
    published_changes = [
        PublishedChange("no fault", PublishedVersion(1, 1000.0, 1010.0)),
        PublishedChange("no fault", PublishedVersion(2, 5000.0, 5010.0)),
    ]
    values = {
        "nodes": 2, "instances": 3, "processes": 1, "document_bytes": 2, "descriptors": 1024,
        "node_names": NAMES, "published_changes": published_changes, "applied_versions": applied_versions,
        "status_observations": [StatusObservation(5150.0, 5160.0, True, 2, ["n0"])], "current_nodes": 2,
    }  # fmt: skip
    return RunMeasurements(**(values | changes))


def make_status(revision=2, confirmed=True, stale=(), not_heard=(), refused_versions=()):
    return StatusObservation(
        7000.0, 7010.0, confirmed, revision, [], [], list(stale), list(not_heard), list(refused_versions)
    )  # fmt: skip


def make_cut(**changes):
    """Correct reports during a cut, in which n1 of two nodes is cut off."""
    values = {
        "majority_nodes": ["n0"], "cut_off_nodes": ["n1"], "majority_status": make_status(not_heard=["n1"]),
        "cut_off_status": make_status(1, False, stale=["n1"], not_heard=["n0"]), "uncurrent": ["n1"],
        "stale": ["n1"],
    }  # fmt: skip
    return CutObservation(**(values | changes))


def make_refusal(**status):
    """Reports about revision 2, which n1 cannot serve."""
    return RefusalObservation(2, ["n1"], "a: ", make_status(**status))


def test_times_are_counted_from_the_commit_over_all_nodes_and_changes():
    result = conclude(make_measurements())
    (row,) = result.times
    assert (row.changes, row.missing, result.code) == (2, 0, HELD)
    assert (row.half, row.last) == (pytest.approx(0.2), pytest.approx(0.2))


def test_a_later_revision_counts_for_earlier_ones():
    applied_versions = [AppliedVersion("n0", 2, 5100.0), AppliedVersion("n1", 2, 5200.0)]
    published_changes = [
        PublishedChange("burst", PublishedVersion(1, 4900.0, 4950.0)),
        PublishedChange("burst", PublishedVersion(2, 5000.0, 5010.0)),
    ]
    (row,) = conclude(
        make_measurements(applied_versions=applied_versions, published_changes=published_changes)
    ).times
    assert (row.missing, row.last) == (0, pytest.approx(0.3))


@pytest.mark.parametrize(
    ("text", "changes"),
    [
        ("not in force within", {"applied_versions": make_measurements().applied_versions[:-1]}),
        (
            "not in force within",
            {
                "applied_versions": [
                    *make_measurements().applied_versions[:-1],
                    AppliedVersion("n1", 2, 5001.0 + PROPAGATION_BOUND_S * 1000.0),
                ]
            },
        ),
        (
            "from revision 2 to 1",
            {"applied_versions": [*make_measurements().applied_versions, AppliedVersion("n1", 1, 5300.0)]},
        ),
        (
            "had not got it",
            {"status_observations": [StatusObservation(5120.0, 5130.0, True, 2, ["n0", "n1"])]},
        ),
        (
            "not told of at 1",
            {"status_observations": [StatusObservation(7000.0, 7010.0, True, 2, ["n0"], NAMES)]},
        ),
        (
            "not confirmed",
            {"status_observations": [StatusObservation(7000.0, 7010.0, False, 2, NAMES, NAMES)]},
        ),
        (
            "as the newest after 2",
            {"status_observations": [StatusObservation(5150.0, 5160.0, True, 1, NAMES)]},
        ),
        ("1 nodes not current", {"current_nodes": 1}),
        ("1 nodes refused", {"refused_versions": [RefusedVersion("n0", 2, "x")]}),
        (
            "1 nodes refused",
            {"refused_versions": [RefusedVersion("n1", 1, "x")], "refusal_observations": [make_refusal()]},
        ),
        ("n1 had revision 2 in force, which", {"refusal_observations": [make_refusal()]}),
        (
            "n1 not told of as refusing",
            {"refusal_observations": [make_refusal(refused_versions=[RefusedVersion("n1", 1, "a: x")])]},
        ),
        (
            "n0 said to refuse",
            {"refusal_observations": [make_refusal(refused_versions=[RefusedVersion("n0", 2, "a: x")])]},
        ),
        (
            "n1 refused with 'b: x'",
            {"refusal_observations": [make_refusal(refused_versions=[RefusedVersion("n1", 2, "b: x")])]},
        ),
        (
            "no instance answered after revision 2",
            {"refusal_observations": [RefusalObservation(2, ["n1"], "a: ", None)]},
        ),
        (
            "n1 began anew with revision 1 after 2",
            {"initial_versions": [AppliedVersion("n1", 1, 6000.0)], "emptied_nodes": NAMES},
        ),
        (
            "n1 began anew with revision 0 after 2",
            {"initial_versions": [AppliedVersion("n1", 0, 6000.0)], "emptied_nodes": ["n0"]},
        ),
        ("took 501 connects", {"watches": [WatchStats("o0", 1, 2048, 501, 32, 0)]}),
        ("sent 33 snapshots", {"watches": [WatchStats("o0", 1, 2048, 500, 33, 0)]}),
        ("n1 cut off and not stale", {"cut_observations": [make_cut(stale=[])]}),
        ("n0 not current beside", {"cut_observations": [make_cut(uncurrent=NAMES)]}),
        ("no instance of a region", {"cut_observations": [make_cut(cut_off_status=None)]}),
        ("0 not heard of, 1 were cut off", {"cut_observations": [make_cut(majority_status=make_status())]}),
        (
            "confirmed in the region cut off",
            {"cut_observations": [make_cut(cut_off_status=make_status(stale=["n1"]))]},
        ),
        (
            "1 cut off not told of as stale",
            {"cut_observations": [make_cut(cut_off_status=make_status(confirmed=False))]},
        ),
    ],
)
def test_a_violated_invariant_breaks_the_run(text, changes):
    result = conclude(make_measurements(**changes))
    assert result.code == BROKEN and any(text in line for line in result.broken)


def test_times_of_a_region_cut_off_start_at_the_heal_and_a_refused_version_counts_only_at_other_nodes():
    applied_versions = make_measurements().applied_versions[:-1] + [
        AppliedVersion("n1", 2, 30_200.0),
        AppliedVersion("n0", 3, 40_100.0),
    ]
    published_changes = [
        *make_measurements().published_changes[:1],
        PublishedChange("cut", PublishedVersion(2, 5000.0, 5010.0), ["n0"]),
        PublishedChange("healed", PublishedVersion(2, 5000.0, 5010.0), ["n1"], 30_000.0),
        PublishedChange("refuse", PublishedVersion(3, 40_000.0, 40_010.0), ["n0"]),
    ]  # fmt: skip
    refusals = {"refused_versions": [RefusedVersion("n1", 3, "a: x")]}
    refusal_observation = RefusalObservation(3, ["n1"], "a: ", make_status(**refusals, revision=3))
    other_measurements = {
        "cut_observations": [make_cut()],
        "refusal_observations": [refusal_observation],
        "emptied_nodes": ["n0"],
        "status_observations": [],
    }
    result = conclude(
        make_measurements(
            applied_versions=applied_versions,
            published_changes=published_changes,
            initial_versions=[AppliedVersion("n0", 0, 6000.0)],
            **refusals,
            **other_measurements,
        )
    )
    assert [round(row.last, 3) for row in result.times] == [0.2, 0.1, 0.2, 0.1]
    assert (result.code, result.broken) == (HELD, [])
    early = [
        *published_changes[:2],
        PublishedChange("healed", PublishedVersion(2, 5000.0, 5010.0), ["n1"], 30_300.0),
    ]
    assert (
        conclude(make_measurements(applied_versions=applied_versions, published_changes=early)).code == VOID
    )


@pytest.mark.parametrize(
    "changes", [{"dead_processes": ["nodes0"]}, {"lateness": {"run": LatenessStats(500.0, 0.1, 1.0)}}]
)
def test_a_failure_of_the_test_rig_makes_the_run_void(changes):
    assert conclude(make_measurements(**changes, current_nodes=1)).code == VOID


def test_seven_instances_are_in_all_zones_and_four_of_them_in_the_larger_region():
    instances, nodes = instance_places(7), node_places(100)
    assert {place.zone for place in instances} == {place.zone for place in nodes}
    assert sum(place.region == "north" for place in instances) == 4


def test_data_written_during_a_cut_arrives_after_it_and_new_connections_are_not_answered(tmp_path):
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)

    async def run():
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

    asyncio.run(run())


def test_an_unknown_fault_is_named_in_the_error():
    assert parse_faults("leader,stop") == ("leader", "stop") and parse_faults(None) == ()
    with pytest.raises(ScenarioError, match="no fault 'flood'"):
        parse_faults("leader,flood")


def run_command(*arguments, timeout):
    return subprocess.run(
        [sys.executable, "-B", "-m", "caperdeck", "lab", "in-force", *arguments], cwd=ROOT,
        capture_output=True, text=True, timeout=timeout, check=False,
    )  # fmt: skip


@pytest.mark.parametrize("argument", ["--nodes=0", "--instances=2", "--faults=flood", "--json=/no/where"])
def test_bad_input_is_one_line_and_exit_code_2(argument):
    done = run_command(argument, timeout=20)
    assert done.returncode == BAD_INPUT and not done.stdout
    assert done.stderr.startswith("caperdeck: ") and done.stderr.count("\n") == 1


def test_changes_are_applied_by_twelve_nodes_of_three_instances_despite_faults_of_nodes(tmp_path):
    arguments = ["--nodes=12", "--instances=3", "--processes=3", "--changes=2", "--seconds=0"]
    arguments += ["--faults=crowd,refuse"]
    for _ in range(TRIES):
        done = run_command(*arguments, f"--json={tmp_path}/run.json", timeout=100)
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
