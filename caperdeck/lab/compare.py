"""Two ways to run the same fleet, over paired seeds in virtual time, each difference with its interval."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any

import msgspec
from scipy import stats

from .baselines import POLICIES
from .figures import figures
from .history import read
from .oracle import find_breaches
from .scenario import Scenario, ScenarioError, check, load
from .virtual import VirtualFleet

LEVEL = 0.95
SHOWN = ("utility", "served", "refused", "unanswered", "looks", "dials", "moves", "datagrams", "wait")
MOST_PAIRS = 200
LONGEST = 1200.0  # seconds for one run of another checkout


def parse_way(text: str) -> dict[str, Any]:
    """`module`, a baseline's name, `settings:FILE` (JSON to lay over), `sharing:USE,USE`, `checkout:DIR`."""
    kind, colon, rest = text.partition(":")
    if not colon and text in POLICIES:
        return {"policy": text}
    if kind == "settings" and rest:
        try:
            value = msgspec.json.decode(Path(rest).read_bytes())
        except (OSError, msgspec.DecodeError) as error:
            raise ScenarioError(f"{rest}: {error}") from None
        if not isinstance(value, dict):
            raise ScenarioError(f"{rest}: no JSON object")
        return {"policy": "module", "settings": value}
    if text == "subsets":
        return {"policy": "module", "subsets": True}
    if kind == "sharing":
        return {"policy": "module", "sharing": [name for name in rest.split(",") if name]}
    if kind == "checkout" and (Path(rest) / "caperdeck" / "lab").is_dir():
        return {"checkout": rest}
    names = ", ".join(POLICIES)
    others = "settings:FILE, sharing:USE, subsets, checkout:DIR with the rig"
    raise ScenarioError(f"{text}: none of {names}, {others}")


def one(path: str, seed: int, way: dict[str, Any]) -> tuple[dict[str, float], int]:
    """Figures and breaches of one run."""
    if "checkout" in way:
        return _elsewhere(path, seed, way["checkout"])
    scenario: Scenario = load(path)
    scenario.sharing = way.get("sharing", scenario.sharing)
    scenario.subsets = way.get("subsets", scenario.subsets)
    fleet = VirtualFleet(scenario, seed, POLICIES[way["policy"]], way.get("settings"))
    events = fleet.run()
    return figures(events), len(find_breaches(scenario, events))


def _elsewhere(path: str, seed: int, checkout: str) -> tuple[dict[str, float], int]:
    scenario = load(path)
    with tempfile.TemporaryDirectory(prefix="caperdeck-lab-") as folder:
        out = os.path.join(folder, "history")
        command = [sys.executable, "-B", "-m", "caperdeck", "lab", "fleet", os.path.abspath(path)]
        subprocess.run(
            [*command, "--virtual", f"--seed={seed}", f"--json={out}"], cwd=checkout, check=False,
            timeout=LONGEST, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
        )  # fmt: skip
        events = read(out)
    return figures(events), len(find_breaches(scenario, events))


def differences(a: list[dict[str, float]], b: list[dict[str, float]]) -> dict[str, dict[str, Any]]:
    """By figure: both means, the mean of b less a over the pairs, its interval, and whether that holds 0."""
    out = {}
    for name in SHOWN:
        left, right = [x[name] for x in a], [x[name] for x in b]
        gaps = [y - x for x, y in zip(left, right, strict=True)]
        mean = sum(gaps) / len(gaps)
        if len(gaps) > 1 and max(gaps) - min(gaps) > 1e-12:
            interval = stats.ttest_1samp(gaps, 0.0).confidence_interval(LEVEL)
            low, high = float(interval.low), float(interval.high)
        else:
            low = high = mean
        out[name] = {
            "a": sum(left) / len(left), "b": sum(right) / len(right), "difference": mean, "low": low,
            "high": high, "shown": not low <= 0.0 <= high,
        }  # fmt: skip
    return out


def compare(path: str, first: str, second: str, pairs: int, seed: int) -> dict[str, Any]:
    ways = parse_way(first), parse_way(second)
    scenario = load(path)
    for way in ways:
        scenario.sharing = way.get("sharing")
        check(scenario, path)
    with ProcessPoolExecutor(max_workers=max((os.cpu_count() or 2) - 1, 1)) as pool:
        jobs = [[pool.submit(one, path, seed + i, way) for i in range(pairs)] for way in ways]
        (a, b) = [[job.result() for job in row] for row in jobs]
    return {
        "scenario": path, "a": first, "b": second, "pairs": pairs,
        "breaches": [sum(n for _, n in a), sum(n for _, n in b)],
        "figures": differences([f for f, _ in a], [f for f, _ in b]),
    }  # fmt: skip


def lines(result: dict[str, Any]) -> list[str]:
    out = [f"{result['scenario']}: {result['b']} against {result['a']}, {result['pairs']} pairs, simulated"]
    for name, f in result["figures"].items():
        verdict = f"[{f['low']:+.4f}, {f['high']:+.4f}]" if f["shown"] else "no difference shown"
        out.append(f"  {name:11} {f['a']:9.4f} {f['b']:9.4f}  {f['difference']:+.4f}  {verdict}")
    broken = " and ".join(str(n) for n in result["breaches"])
    return [*out, f"  breaches: {broken}"]
