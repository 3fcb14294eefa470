"""The rig with real processes: the rules hold under all kinds of faults, and no process is left running."""

import json
import math
import os
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from helpers import SETUP, free_ports, ping_until_ready, processes_with_environment
from test_lab_virtual import FOLDER, SCENARIOS

from caperdeck.lab.history import read_history
from caperdeck.lab.scenario import load
from caperdeck.lab.slopes.process import processor_seconds

ROOT = Path(__file__).parents[1]
VOID = 3
MAX_ATTEMPTS = 3  # while the machine is too slow for a valid run
CONCURRENT_RUNS = 2
BUSY_PROCESSES = 8  # that keep the machine busy
STARTS = 104
START_TIMEOUT_S = 20.0
MAX_START_CPU_S = 2.0  # of a start, which does not depend on other processes on the core


def command(*words):
    return [sys.executable, "-B", "-m", "caperdeck", "lab", *map(str, words)]


def run(*words, **environment):
    return subprocess.run(
        command(*words), cwd=ROOT, capture_output=True, text=True, timeout=120, check=False,
        env=os.environ | environment,
    )  # fmt: skip


def run_fleet(*words, folder):
    """Exit code and output of one run, repeated while it is void."""
    for _ in range(MAX_ATTEMPTS):
        outcome = run("fleet", *words, TMPDIR=str(folder))
        if outcome.returncode != VOID:
            break
    return outcome.returncode, outcome.stdout + outcome.stderr


@pytest.fixture(scope="module")
def runs(tmp_path_factory):
    """Runs all scenarios, a few at a time."""
    folder = tmp_path_factory.mktemp("runs")
    with ThreadPoolExecutor(CONCURRENT_RUNS) as pool:
        jobs = {
            Path(s).stem: pool.submit(run_fleet, s, f"--json={folder / Path(s).stem}", folder=folder)
            for s in SCENARIOS
        }  # fmt: skip
        outcome = {name: job.result() for name, job in jobs.items()}
    return folder, outcome


@pytest.mark.parametrize("name", [Path(s).stem for s in SCENARIOS])
def test_rules_hold_for_real_processes_under_faults(name, runs):
    folder, outcome = runs
    code, text = outcome[name]
    assert code == 0 and "all rules held" in text, text
    events = read_history(str(folder / name))
    states = {event["state"] for event in events if event["ev"] == "life"}
    assert sum(event["ev"] == "answer" and event["what"] == "up" for event in events) > 100
    for fault, state in (("asleep", "awake"), ("killed", "killed"), ("clocks", "exit")):
        assert name != fault or state in states
    set_in = {event["number"] for event in events if event["ev"] == "fault"}
    assert set_in == set(range(len(load(str(FOLDER / f"{name}.toml")).fault)))


@pytest.mark.parametrize("name", ["shared", "shared8"])
def test_sharing_nodes_fill_cold_hosts_and_do_not_trust_a_single_false_report(name, runs):
    events = read_history(str(runs[0] / name))
    cold = {}  # host to when it started cold
    sent = dict.fromkeys(("h0", "h1", "h2"), 0)
    false_report_at = math.inf
    probes_of_others = 0
    for event in events:
        if event["ev"] == "host" and event["state"] == "cold":
            cold[event["to"]] = event["t"]
        elif event["ev"] == "sent" and event["to"] in sent and event["to"] in cold:
            sent[event["to"]] += 1
        elif event["ev"] == "fault" and event["name"] == "one sees it lost":
            false_report_at = event["t"]
        elif event["ev"] in ("dial", "look") and event["to"] == "h5" and event["t"] > false_report_at + 1000:
            probes_of_others += event["who"] != "n2"
    senders = {event["who"] for event in events if event["ev"] == "datagram"}
    assert senders == set(load(str(FOLDER / f"{name}.toml")).node_names())
    # h5 is the only one of six that was not replaced, and so the fullest: few dial it, all nodes probe it.
    assert min(sent.values()) > 5 and probes_of_others > 3


def test_with_subsets_each_host_is_dialled_by_some_but_few_nodes(runs):
    """Counted at the relay; one node is killed, one suspended, one cut off from half of the hosts."""
    scenario = load(str(FOLDER / "subsets.toml"))
    dialled_hosts = {node: set() for node in scenario.node_names()}
    for event in read_history(str(runs[0] / "subsets")):
        if event["ev"] == "dial":
            dialled_hosts[event["who"]].add(event["to"])
    dialling_nodes = {
        host: sum(host in hosts for hosts in dialled_hosts.values()) for host in scenario.host_names()
    }
    # The subset has 10 hosts; a neighbour is added as hosts drain, and slow-start slots are drawn from all.
    assert max(map(len, dialled_hosts.values())) <= 15 and min(dialling_nodes.values()) >= 2


def test_no_process_is_left_after_a_run(runs):
    assert processes_with_environment(runs[0]) == []


def test_virtual_and_real_runs_agree_on_a_calm_fleet(runs):
    code, text = run_fleet(ROOT / "caperdeck/lab/scenarios/calm.toml", "--virtual", folder=runs[0])
    assert code == 0

    def served(out):
        return float(out.split("served ")[1].split(",")[0])

    assert abs(served(text) - served(runs[1]["calm"][1])) < 0.03


@pytest.mark.parametrize("number", [signal.SIGINT, signal.SIGTERM, signal.SIGKILL])
def test_interrupted_run_leaves_no_process_behind(number, tmp_path):
    path = ROOT / "caperdeck/lab/scenarios/asleep.toml"
    rig = subprocess.Popen(
        command("fleet", path), cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
        env=os.environ | {"TMPDIR": str(tmp_path)},
    )  # fmt: skip
    end = time.monotonic() + 30
    while len(processes_with_environment(tmp_path)) < 8 and time.monotonic() < end:
        time.sleep(0.1)
    assert len(processes_with_environment(tmp_path)) >= 8  # the rig, its four workers and three nodes
    rig.send_signal(number)
    rig.wait(20)
    end = time.monotonic() + 10
    while processes_with_environment(tmp_path) and time.monotonic() < end:
        time.sleep(0.1)
    assert processes_with_environment(tmp_path) == []


@pytest.mark.parametrize("words, reason", [
    (["fleet", "nothing.toml"], "nothing.toml: No such file"),
    (["fleet", "caperdeck/lab/scenarios/calm.toml", "--seed=x"], "--seed"),
    (["compare", "caperdeck/lab/scenarios/calm.toml", "--against=magic"], "magic"),
    (["report", "pyproject.toml"], "pyproject.toml:1: no event"),
])  # fmt: skip
def test_bad_input_gives_one_line_and_exit_code_2(words, reason):
    outcome = run(*words)
    assert outcome.returncode == 2 and reason in outcome.stderr and outcome.stderr.count("\n") == 1


def test_too_many_nodes_for_real_processes_are_refused_before_anything_starts(tmp_path):
    path = tmp_path / "many.toml"
    path.write_text('name = "many"\nseconds = 5\nnodes = 40\n')
    code, text = run_fleet(path, folder=tmp_path)
    assert code == 2 and "nodes: 40" in text


def test_run_with_more_load_than_the_relay_carries_is_void(tmp_path):
    path = tmp_path / "fast.toml"
    path.write_text('name = "fast"\nseconds = 5\nnodes = 1\n[clients]\nrate = 5000.0\n')
    outcome = run("fleet", path)
    assert outcome.returncode == VOID and "the relay carries" in outcome.stderr
    assert "nothing is said about the nodes" in outcome.stderr


@pytest.mark.parametrize("way", ["settings:{folder}/other.json", f"checkout:{ROOT}"])
def test_comparison_of_a_variant_with_itself_shows_no_difference(way, tmp_path):
    (tmp_path / "other.json").write_text('{"prices": {"probe": 0.004}}')
    against, out = f"--against={way.format(folder=tmp_path)}", f"--json={tmp_path / 'out'}"
    outcome = run("compare", "caperdeck/lab/scenarios/calm.toml", against, "--pairs=2", out)
    (result,) = json.loads((tmp_path / "out").read_text())
    assert outcome.returncode == 0 and result["breaches"] == [0, 0], outcome.stderr
    assert not any(f["shown"] for f in result["figures"].values()) and result["figures"]["served"]["a"] > 0.9


def test_every_one_of_a_hundred_nodes_started_on_a_busy_machine_is_ready_in_time(tmp_path):
    # Guards against expensive starts: all nodes of a machine may start together and pay the cost at once.
    busy_loop = "import time\nend = time.monotonic() + 90\nwhile time.monotonic() < end: pass"
    busy_processes = [
        subprocess.Popen([sys.executable, "-c", busy_loop], stdin=subprocess.DEVNULL)
        for _ in range(BUSY_PROCESSES)
    ]
    try:
        for batch in range(0, STARTS, 26):
            nodes = [start(tmp_path, batch + i) for i in range(26)]
            try:
                for node, port, began in nodes:
                    ping_until_ready(port, began + START_TIMEOUT_S)
                    assert node.poll() is None and processor_seconds(node.pid) <= MAX_START_CPU_S
            finally:
                for node, _, _ in nodes:
                    node.kill()
                    node.wait()
    finally:
        for process in busy_processes:
            process.kill()
            process.wait()


def start(folder, number):
    port, discovery = free_ports(2)
    path = folder / f"{number}.json"
    path.write_text(json.dumps({
        "name": f"n{number}", "listen": f"127.0.0.1:{port}", "discovery": f"127.0.0.1:{discovery}",
        "seed": "1", "limits": {"sockets": 256}, "settings": SETUP,
    }))  # fmt: skip
    serve = [sys.executable, "-B", "-m", "caperdeck", "serve", f"--config={path}"]
    node = subprocess.Popen(serve, cwd=ROOT, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    return node, port, time.monotonic()
