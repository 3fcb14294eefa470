"""Looks for a schedule of faults that breaks a rule, and makes what it finds as small as it can."""

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

MOST_AT_ONCE = 5  # faults of a schedule
SEEDS = 8  # with which a smaller schedule is tried
SHORTEST = 0.2  # seconds of a fault


def fault(scenario: Scenario) -> st.SearchStrategy[Fault]:
    """Any one fault of the scenario's fleet that the rig can set off."""
    end = scenario.seconds
    at = st.integers(10, int(end * 10 * 0.7)).map(lambda x: x / 10)
    span = st.integers(1, max(int(end * 10 * 0.3) - 1, 1)).map(lambda x: x / 10)
    node, host = st.sampled_from(scenario.node_names()), st.sampled_from(scenario.host_names())
    endpoint = st.sampled_from([*scenario.node_names(), *scenario.host_names(), "clients", "n*", "h*", "*"])
    rate = st.sampled_from([0.1, 0.3, 0.6])
    on_node = st.builds(
        Fault, do=st.sampled_from(["kill", "stop", "slow", "discovery"]), of=node, at=at, span=span,
        amount=rate,
    )  # fmt: skip
    again = st.builds(Fault, do=st.sampled_from(["restart", "mass-kill", "rolling"]), of=node, at=at)
    on_host = st.builds(
        Fault, do=st.sampled_from(["drain", "kill", "ill"]), of=host, at=at, span=span, amount=rate,
    )  # fmt: skip
    on_link = st.builds(
        Fault, do=st.sampled_from(["cut", "silence", "loss", "delay"]), of=endpoint, to=endpoint, at=at,
        span=span, amount=rate, spread=st.sampled_from([(5.0, 50.0), (100.0, 900.0)]),
    )  # fmt: skip
    return st.one_of(on_node, on_host, on_link, again)


def broken(scenario: Scenario, faults: list[Fault], seed: int) -> list[Breach]:
    played = msgspec.structs.replace(scenario, fault=faults, seed=seed)
    return find_breaches(played, VirtualFleet(played).run())


def smaller(faults: list[Fault]) -> Iterator[list[Fault]]:
    """Schedules with one fault less, then ones with a fault that is shorter."""
    for i in range(len(faults)):
        if len(faults) > 1:
            yield faults[:i] + faults[i + 1 :]
    for i, f in enumerate(faults):
        if f.span is not None and f.span >= 2 * SHORTEST:
            yield [*faults[:i], msgspec.structs.replace(f, span=round(f.span / 2, 1)), *faults[i + 1 :]]


def shrink(
    scenario: Scenario, faults: list[Fault], seed: int, tell: Callable[[str], None],
) -> tuple[list[Fault], int]:  # fmt: skip
    """Takes faults away, and shortens them, while a rule still breaks.

    A fault less changes all random numbers after it, so each schedule is tried with a few seeds.
    """
    while True:
        for fewer in smaller(faults):
            hit = next((s for s in range(seed, seed + SEEDS) if broken(scenario, fewer, s)), None)
            if hit is not None:
                faults, seed = fewer, hit
                tell(f"smaller: {len(faults)} faults, seed {seed}")
                break
        else:
            return faults, seed


def search(
    scenario: Scenario, runs: int, seed: int, tell: Callable[[str], None] = lambda text: None,
) -> tuple[Scenario, list[Breach]] | None:  # fmt: skip
    """The smallest schedule found within so many runs that breaks a rule, with what it broke."""
    tried = [0]

    def breaks(faults: list[Fault]) -> bool:
        tried[0] += 1
        found = broken(scenario, [*scenario.fault, *faults], seed)
        if found:
            tell(f"run {tried[0]}: {len(faults)} faults, {found[0].line()}")
        return bool(found)

    limits = settings(
        max_examples=runs, database=None, deadline=None, phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )  # fmt: skip
    schedule = st.lists(fault(scenario), min_size=1, max_size=MOST_AT_ONCE)
    try:
        added = find(schedule, breaks, settings=limits, random=Random(seed))
    except NoSuchExample:
        return None
    faults, seed = shrink(scenario, [*scenario.fault, *added], seed, tell)
    small = msgspec.structs.replace(scenario, fault=faults, seed=seed)
    return small, find_breaches(small, VirtualFleet(small).run())


def text(scenario: Scenario) -> str:
    """The scenario file that replays it."""
    return tomli_w.dumps(_without_none(dump(scenario)))


def _without_none(value: Any) -> Any:
    if isinstance(value, dict):
        return {k: _without_none(v) for k, v in value.items() if v is not None}
    return [_without_none(v) for v in value] if isinstance(value, list | tuple) else value
