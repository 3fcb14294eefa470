"""Searches for a schedule of faults that breaks a rule, and shrinks what it finds."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from random import Random
from typing import Any

import msgspec
import tomli_w
from hypothesis import HealthCheck, Phase, find, settings
from hypothesis import strategies as st
from hypothesis.errors import NoSuchExample

from .oracle import Breach, find_breaches
from .scenario import Fault, Scenario, dump
from .virtual import VirtualFleet

MAX_GENERATED_FAULTS = 5  # in a generated schedule
SEEDS_PER_SCHEDULE = 8  # tried for each smaller schedule
MIN_FAULT_S = 0.2


def fault_strategy(scenario: Scenario) -> st.SearchStrategy[Fault]:
    """Generates single faults for the scenario's fleet."""
    end = scenario.seconds
    start_s = st.integers(10, int(end * 10 * 0.7)).map(lambda x: x / 10)
    duration_s = st.integers(1, max(int(end * 10 * 0.3) - 1, 1)).map(lambda x: x / 10)
    node, host = st.sampled_from(scenario.node_names()), st.sampled_from(scenario.host_names())
    endpoint = st.sampled_from([*scenario.node_names(), *scenario.host_names(), "clients", "n*", "h*", "*"])
    rate = st.sampled_from([0.1, 0.3, 0.6])
    on_node = st.builds(
        Fault, do=st.sampled_from(["kill", "stop", "slow", "discovery"]), of=node, at=start_s,
        span=duration_s, amount=rate,
    )  # fmt: skip
    restart = st.builds(Fault, do=st.sampled_from(["restart", "mass-kill", "rolling"]), of=node, at=start_s)
    on_host = st.builds(
        Fault, do=st.sampled_from(["drain", "kill", "ill"]), of=host, at=start_s,
        span=duration_s, amount=rate,
    )  # fmt: skip
    on_link = st.builds(
        Fault, do=st.sampled_from(["cut", "silence", "loss", "delay"]), of=endpoint, to=endpoint, at=start_s,
        span=duration_s, amount=rate, spread=st.sampled_from([(5.0, 50.0), (100.0, 900.0)]),
    )  # fmt: skip
    return st.one_of(on_node, on_host, on_link, restart)


def breaches_of(scenario: Scenario, faults: list[Fault], seed: int) -> list[Breach]:
    """Runs the scenario with other faults and returns the breaches."""
    variant = msgspec.structs.replace(scenario, fault=faults, seed=seed)
    return find_breaches(variant, VirtualFleet(variant).run())


def smaller_schedules(faults: list[Fault]) -> Iterator[list[Fault]]:
    """Yields schedules with one fault removed, then schedules with one fault shortened."""
    for i in range(len(faults)):
        if len(faults) > 1:
            yield faults[:i] + faults[i + 1 :]
    for i, f in enumerate(faults):
        if f.span is not None and f.span >= 2 * MIN_FAULT_S:
            yield [*faults[:i], msgspec.structs.replace(f, span=round(f.span / 2, 1)), *faults[i + 1 :]]


def shrink(
    scenario: Scenario, faults: list[Fault], seed: int, report: Callable[[str], None],
) -> tuple[list[Fault], int]:  # fmt: skip
    """Removes and shortens faults while a rule is still broken.

    Removing a fault changes all later random numbers, so each smaller schedule is tried with several seeds.
    """
    while True:
        for candidate in smaller_schedules(faults):
            breaking_seed = next(
                (s for s in range(seed, seed + SEEDS_PER_SCHEDULE) if breaches_of(scenario, candidate, s)),
                None,
            )
            if breaking_seed is not None:
                faults, seed = candidate, breaking_seed
                report(f"smaller: {len(faults)} faults, seed {seed}")
                break
        else:
            return faults, seed


def search(
    scenario: Scenario, runs: int, seed: int, report: Callable[[str], None] = lambda line: None,
) -> tuple[Scenario, list[Breach]] | None:  # fmt: skip
    """Returns the smallest schedule found within `runs` runs that breaks a rule, with its breaches."""
    run_count = [0]

    def breaks(faults: list[Fault]) -> bool:
        run_count[0] += 1
        breaches = breaches_of(scenario, [*scenario.fault, *faults], seed)
        if breaches:
            report(f"run {run_count[0]}: {len(faults)} faults, {breaches[0].line()}")
        return bool(breaches)

    limits = settings(
        max_examples=runs, database=None, deadline=None, phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )  # fmt: skip
    schedule = st.lists(fault_strategy(scenario), min_size=1, max_size=MAX_GENERATED_FAULTS)
    try:
        generated = find(schedule, breaks, settings=limits, random=Random(seed))
    except NoSuchExample:
        return None
    faults, seed = shrink(scenario, [*scenario.fault, *generated], seed, report)
    smallest = msgspec.structs.replace(scenario, fault=faults, seed=seed)
    return smallest, find_breaches(smallest, VirtualFleet(smallest).run())


def scenario_toml(scenario: Scenario) -> str:
    """The text of a scenario file."""
    return tomli_w.dumps(_without_none(dump(scenario)))


def _without_none(value: Any) -> Any:
    if isinstance(value, dict):
        return {k: _without_none(v) for k, v in value.items() if v is not None}
    return [_without_none(v) for v in value] if isinstance(value, list | tuple) else value
