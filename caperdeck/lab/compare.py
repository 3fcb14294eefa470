"""Compares two variants of a fleet over paired seeds in virtual time, with confidence intervals."""

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
from .history import read_history
from .oracle import find_breaches
from .scenario import Scenario, ScenarioError, check, load
from .virtual import VirtualFleet

CONFIDENCE_LEVEL = 0.95
COMPARED_FIGURES = (
    "utility",
    "served",
    "refused",
    "unanswered",
    "looks",
    "dials",
    "moves",
    "datagrams",
    "wait",
)
MAX_PAIRS = 200
CHECKOUT_RUN_TIMEOUT_S = 1200.0


def parse_variant(text: str) -> dict[str, Any]:
    """Parses a variant of the fleet.

    It is `module`, the name of a baseline, `settings:FILE` (a JSON object that overrides settings),
    `sharing:USE,USE`, `subsets` or `checkout:DIR` (another checkout of this project).
    """
    kind, colon, rest = text.partition(":")
    if not colon and text in POLICIES:
        return {"policy": text}
    if kind == "settings" and rest:
        try:
            value = msgspec.json.decode(Path(rest).read_bytes())
        except (OSError, msgspec.DecodeError) as error:
            raise ScenarioError(f"{rest}: {error}") from None
        if not isinstance(value, dict):
            raise ScenarioError(f"{rest}: expected a JSON object")
        return {"policy": "module", "settings": value}
    if text == "subsets":
        return {"policy": "module", "subsets": True}
    if kind == "sharing":
        return {"policy": "module", "sharing": [name for name in rest.split(",") if name]}
    if kind == "checkout" and (Path(rest) / "caperdeck" / "lab").is_dir():
        return {"checkout": rest}
    names = ", ".join(POLICIES)
    others = "settings:FILE, sharing:USE, subsets, checkout:DIR with the rig"
    raise ScenarioError(f"{text}: unknown variant, expected one of {names}, {others}")


def run_once(path: str, seed: int, variant: dict[str, Any]) -> tuple[dict[str, float], int]:
    """The figures and the number of breaches of one run."""
    if "checkout" in variant:
        return _run_in_checkout(path, seed, variant["checkout"])
    scenario: Scenario = load(path)
    scenario.sharing = variant.get("sharing", scenario.sharing)
    scenario.subsets = variant.get("subsets", scenario.subsets)
    fleet = VirtualFleet(scenario, seed, POLICIES[variant["policy"]], variant.get("settings"))
    events = fleet.run()
    return figures(events), len(find_breaches(scenario, events))


def _run_in_checkout(path: str, seed: int, checkout: str) -> tuple[dict[str, float], int]:
    scenario = load(path)
    with tempfile.TemporaryDirectory(prefix="caperdeck-lab-") as folder:
        history_path = os.path.join(folder, "history")
        command = [sys.executable, "-B", "-m", "caperdeck", "lab", "fleet", os.path.abspath(path)]
        subprocess.run(
            [*command, "--virtual", f"--seed={seed}", f"--json={history_path}"], cwd=checkout, check=False,
            timeout=CHECKOUT_RUN_TIMEOUT_S, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL,
        )  # fmt: skip
        events = read_history(history_path)
    return figures(events), len(find_breaches(scenario, events))


def differences(a: list[dict[str, float]], b: list[dict[str, float]]) -> dict[str, dict[str, Any]]:
    """Compares each figure over the pairs.

    Gives both means, the mean of b - a, its confidence interval, and whether the interval excludes 0.
    """
    result = {}
    for name in COMPARED_FIGURES:
        a_values, b_values = [x[name] for x in a], [x[name] for x in b]
        pair_differences = [y - x for x, y in zip(a_values, b_values, strict=True)]
        mean = sum(pair_differences) / len(pair_differences)
        if len(pair_differences) > 1 and max(pair_differences) - min(pair_differences) > 1e-12:
            interval = stats.ttest_1samp(pair_differences, 0.0).confidence_interval(CONFIDENCE_LEVEL)
            low, high = float(interval.low), float(interval.high)
        else:
            low = high = mean
        result[name] = {
            "a": sum(a_values) / len(a_values), "b": sum(b_values) / len(b_values), "difference": mean,
            "low": low, "high": high, "shown": not low <= 0.0 <= high,
        }  # fmt: skip
    return result


def compare(path: str, base: str, against: str, pairs: int, seed: int) -> dict[str, Any]:
    """Runs a scenario with both variants over the same seeds, in parallel processes."""
    variants = parse_variant(base), parse_variant(against)
    scenario = load(path)
    for variant in variants:
        scenario.sharing = variant.get("sharing")
        check(scenario, path)
    with ProcessPoolExecutor(max_workers=max((os.cpu_count() or 2) - 1, 1)) as pool:
        jobs = [
            [pool.submit(run_once, path, seed + i, variant) for i in range(pairs)] for variant in variants
        ]
        (a, b) = [[job.result() for job in row] for row in jobs]
    return {
        "scenario": path, "a": base, "b": against, "pairs": pairs,
        "breaches": [sum(n for _, n in a), sum(n for _, n in b)],
        "figures": differences([f for f, _ in a], [f for f, _ in b]),
    }  # fmt: skip


def format_result(result: dict[str, Any]) -> list[str]:
    """The lines that are printed for the result of `compare`."""
    lines = [f"{result['scenario']}: {result['b']} against {result['a']}, {result['pairs']} pairs, simulated"]
    for name, figure in result["figures"].items():
        interval = (
            f"[{figure['low']:+.4f}, {figure['high']:+.4f}]" if figure["shown"] else "no difference shown"
        )
        lines.append(
            f"  {name:11} {figure['a']:9.4f} {figure['b']:9.4f}  {figure['difference']:+.4f}  {interval}"
        )
    breaches = " and ".join(str(n) for n in result["breaches"])
    return [*lines, f"  breaches: {breaches}"]
