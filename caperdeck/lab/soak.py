"""The soak test: real processes under seeded mixtures of faults, several seeds at a time if asked.

Each seed draws a deployment, its clients and about a dozen faults: steps of the wall clock, failing system
calls, repeated signals, SIGKILL at its earliest, suspended processes, hosts that hang, drain or vanish, cut
links, silent discovery and crowds of idle connections. Meanwhile operators exclude and re-admit hosts and
upgrade processes, over a folder that cannot be written for a while. The oracle's rules are checked on every
run.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import msgspec

from caperdeck.ops.admin_server import RESERVED_DESCRIPTORS

from .history import Event
from .oracle import REORDER_WINDOW_MS, Breach, find_breaches
from .real import RealFleet
from .rig_process import VoidError
from .scenario import Clients, Fault, Hosts, Net, Scenario, check
from .search import scenario_toml

RUN_S = 10.0
FAULT_COUNT = (8, 14)
FIRST_FAULT_S, LAST_FAULT_S = 1.5, 7.5  # faults begin between these times
MIN_TAIL_S = 0.5  # of a run after the end of its last fault
CLOCK_STEPS_MS = (
    5_000.0,
    20_000.0,
    400_000.0,
    3_600_000.0,
)  # of the wall clock, forward or back
CLIENT_WAITS_MS = (400.0, 800.0, 1200.0, 2000.0)
EFFECTS = ("idempotent", "deduplicated", "at_most_once")
# Descriptor limit of a node whose sessions share it with a crowd; the admin address has its own descriptors.
CROWDED_SOCKETS = 160 + RESERVED_DESCRIPTORS
STANDING_CONNECTIONS = (0, 40)  # sessions from before the run
LARGE_FLEET_ALIASES = 3200  # names on the list of a large fleet, all served by one simulated host
LARGE_FLEET_FRACTION = 0.25  # of the seeds have a large fleet
MAX_ATTEMPTS = 3  # of a seed while the machine is too slow for a valid run


class SeedResult(NamedTuple):
    """The result of one seed; `void` has the reason if the rig was too slow in every attempt."""

    seed: int
    breaches: list[Breach]
    answers: int
    faults: dict[str, int]
    void: str = ""


def scenario_of(seed: int) -> Scenario:
    """Draws the deployment, the clients and the faults of a seed."""
    rng = random.Random(seed)
    nodes, crowded = rng.randint(2, 5), rng.random() < 0.3
    scenario = Scenario(
        name=f"soak-{seed}", seconds=RUN_S, nodes=nodes, seed=seed,
        zones=["east"] if rng.random() < 0.5 else ["east", "west"],
        sockets=CROWDED_SOCKETS if crowded else 8192, signals_in_series=rng.random() < 0.5,
        hosts=Hosts(count=rng.randint(4, 7), warm_after=4000.0),
        clients=Clients(
            rate=rng.uniform(15.0, 35.0), life=(1.0, 8.0), wait=rng.choice(CLIENT_WAITS_MS),
            effect=rng.choice(EFFECTS), rest=(0.0, rng.choice((0.0, 0.0, 700.0))),
            impatient=rng.choice((0.0, 0.1, 0.3)),
        ),
        net=Net(list_late=(50.0, rng.choice((300.0, 1500.0)))),
    )  # fmt: skip
    scenario = _with_large_fleet(random.Random(f"{seed}/size"), scenario)
    faults = [_within_run(_draw_fault(rng, scenario)) for _ in range(rng.randint(*FAULT_COUNT))]
    faults += [_within_run(fault) for fault in _operator_faults(rng, scenario)]
    if crowded:
        faults.append(_within_run(_fault_on_node(rng, scenario, "crowd")))
    scenario = msgspec.structs.replace(scenario, fault=sorted(faults, key=lambda f: f.at or 0.0))
    check(scenario, scenario.name)
    return scenario


def _with_large_fleet(rng: random.Random, scenario: Scenario) -> Scenario:
    """Adds sessions from before the run and, for some seeds, thousands of names on the host list."""
    clients = msgspec.structs.replace(scenario.clients, standing=rng.randint(*STANDING_CONNECTIONS))
    hosts = msgspec.structs.replace(
        scenario.hosts, aliases=LARGE_FLEET_ALIASES if rng.random() < LARGE_FLEET_FRACTION else 0
    )
    return msgspec.structs.replace(scenario, clients=clients, hosts=hosts)


def _fault_targets(scenario: Scenario) -> list[str]:
    """The hosts that faults may hit: not the one that stands for thousands of servers."""
    return [host for host in scenario.host_names() if not scenario.has_aliases(host)]


def _draw_fault(rng: random.Random, scenario: Scenario) -> Fault:
    on_node = ("step", "step", "step", "errors", "errors", "restart", "restart", "reload", "stop", "kill")
    on_host = ("drain", "start", "ill", "kill")
    kind = rng.choice((*on_node, *on_host, "discovery", "reset", "silence"))
    if kind in on_host and rng.random() < 0.7:
        span = rng.uniform(0.5, 2.5) if kind in ("ill", "kill") else None
        return Fault(
            do=kind, of=rng.choice(_fault_targets(scenario)), at=_draw_time(rng), span=span, amount=0.6
        )
    if kind in ("reset", "silence"):
        span = rng.uniform(0.3, 1.2) if kind == "silence" else None
        of, to = rng.choice(scenario.node_names()), rng.choice(scenario.host_names())
        return Fault(do=kind, of=of, to=to, at=_draw_time(rng), span=span)
    return _fault_on_node(rng, scenario, kind if kind not in on_host else "step")


def _operator_faults(rng: random.Random, scenario: Scenario) -> list[Fault]:
    """Excludes a host for a while and upgrades nodes at about the same time, some with failing folders."""
    out_at, host = _draw_time(rng), rng.choice(_fault_targets(scenario))
    faults = [Fault(do="exclude", of=host, at=out_at, span=rng.uniform(0.8, 4.0))]
    for of in scenario.node_names()[: rng.randint(1, 2)]:
        # A process starts within some tenths of a second: the exclusion comes before, during or after that.
        at = round(max(out_at - rng.uniform(0.0, 1.2), FIRST_FAULT_S), 2)
        faults.append(Fault(do="upgrade", of=of, at=at))
        if rng.random() < 0.5:
            faults.append(Fault(do="disk", of=of, at=at, span=rng.uniform(0.3, 2.0), amount=0.7))
        if rng.random() < 0.5:
            faults.append(Fault(do="errors", of=of, at=at, span=rng.uniform(0.3, 1.0), amount=0.5))
    return faults


def _fault_on_node(rng: random.Random, scenario: Scenario, kind: str) -> Fault:
    of, at = rng.choice(scenario.node_names()), _draw_time(rng)
    match kind:
        case "step":
            span = rng.choice((None, rng.uniform(0.3, 3.0)))
            return Fault(
                do="step", of=of, at=at, span=span, offset=rng.choice(CLOCK_STEPS_MS) * rng.choice((-1, 1))
            )
        case "errors":
            return Fault(do="errors", of=of, at=at, span=rng.uniform(0.3, 2.0), amount=rng.uniform(0.1, 0.6))
        case "stop":
            return Fault(do="stop", of=of, at=at, span=rng.uniform(0.05, 0.5))
        case "kill":
            return Fault(do="kill", of=of, at=at, span=rng.uniform(0.3, 1.0))
        case "crowd":
            return Fault(do="crowd", of=of, at=at, span=rng.uniform(0.5, 2.0), amount=200.0)
        case "discovery":
            return Fault(do="discovery", of=of, at=at, span=rng.uniform(0.5, 4.0))
        case _:
            return Fault(do=kind, of=of, at=at)


def _within_run(fault: Fault) -> Fault:
    """Shortens a fault so that it ends before the run does."""
    longest = RUN_S - (fault.at or 0.0) - MIN_TAIL_S
    return fault if fault.span is None else msgspec.structs.replace(fault, span=min(fault.span, longest))


def _draw_time(rng: random.Random) -> float:
    return round(rng.uniform(FIRST_FAULT_S, LAST_FAULT_S), 2)


def run_seed(seed: int, logs: Path | None = None) -> SeedResult:
    """Runs one seed with real processes."""
    scenario = scenario_of(seed)
    reason = ""
    for _ in range(MAX_ATTEMPTS):
        folder = None if logs is None else logs / str(seed)
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        fleet = RealFleet(scenario, seed, logs=None if folder is None else str(folder))
        try:
            events = fleet.run()
        except VoidError as error:
            reason = str(error)
            continue
        breaches = find_breaches(scenario, events, (), REORDER_WINDOW_MS)
        if breaches and fleet.max_late_ms > scenario.rules.slack:
            reason = f"a part of the rig ran {fleet.max_late_ms:.0f} ms late"
            continue
        if folder is not None:
            (folder / "scenario.toml").write_text(scenario_toml(scenario))
        return SeedResult(seed, breaches, _answer_count(events), _fault_counts(scenario))
    return SeedResult(seed, [], 0, _fault_counts(scenario), void=reason)


def _answer_count(events: list[Event]) -> int:
    return sum(e["ev"] == "answer" and e["what"] == "up" for e in events)


def _fault_counts(scenario: Scenario) -> dict[str, int]:
    counts: dict[str, int] = {}
    for fault in scenario.fault:
        counts[fault.do] = counts.get(fault.do, 0) + 1
    return counts


def soak(first: int, seeds: int, at_once: int, logs: Path | None = None) -> Iterator[SeedResult]:
    """Runs consecutive seeds, `at_once` at a time; yields their results in order."""
    with ThreadPoolExecutor(at_once) as pool:
        yield from pool.map(lambda seed: run_seed(seed, logs), range(first, first + seeds))


def format_result(result: SeedResult) -> str:
    """One line for a seed, and one for each of its first breaches."""
    faults = " ".join(f"{name}={count}" for name, count in sorted(result.faults.items()))
    if result.void:
        return f"seed {result.seed}: void, {result.void}"
    head = f"seed {result.seed}: {'BROKEN' if result.breaches else 'held'}, {result.answers} up; {faults}"
    return "\n".join([head, *(f"  {breach.line()}" for breach in result.breaches[:5])])
