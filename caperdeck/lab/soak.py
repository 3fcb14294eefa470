"""The soak: real processes under seeded mixtures of faults, one after the other or a few at once.

Each seed draws a deployment, its clients and a dozen faults: steps of the wall clock, system calls that fail,
signals in series, SIGKILL at its earliest, processes that stand still, hosts that hang, drain or vanish, cut
links, silent discovery, crowds, and what operators do meanwhile: hosts taken out and called back, processes
replaced by others, over a folder that cannot be written for a while. The oracle's rules judge every run.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

import msgspec

from caperdeck.ops.admin_server import RESERVED

from .history import Event
from .oracle import REORDER_WINDOW_MS, Breach, find_breaches
from .real import RealFleet
from .rig_process import VoidError
from .scenario import Clients, Fault, Hosts, Net, Scenario, check
from .search import text

SECONDS = 10.0
FAULTS = (8, 14)
FROM, UNTIL = 1.5, 7.5  # seconds in which faults set in
LEAST_AFTER = 0.5  # seconds of a run after its last fault
STEPS = (5_000.0, 20_000.0, 400_000.0, 3_600_000.0)  # milliseconds of the wall clock, forward or back
WAITS = (400.0, 800.0, 1200.0, 2000.0)
EFFECTS = ("idempotent", "deduplicated", "at_most_once")
CROWDED_SOCKETS = 160 + RESERVED  # of a node that sessions and a crowd share, beside its second address
STANDING = (0, 40)  # connections from before the run
ALIASES = 3200  # servers on the list of a large fleet, which one stand-in plays
LARGE = 0.25  # of the seeds have such a fleet
TRIES = 3  # of a seed where the machine was too slow to say anything


class Result(NamedTuple):
    """What came of one seed; `void` where the rig was too slow each time."""

    seed: int
    breaches: list[Breach]
    answers: int
    faults: dict[str, int]
    void: str = ""


def scenario_of(seed: int) -> Scenario:
    """The deployment, the clients and the faults of a seed."""
    draws = random.Random(seed)
    nodes, crowded = draws.randint(2, 5), draws.random() < 0.3
    made = Scenario(
        name=f"soak-{seed}", seconds=SECONDS, nodes=nodes, seed=seed,
        zones=["east"] if draws.random() < 0.5 else ["east", "west"],
        sockets=CROWDED_SOCKETS if crowded else 8192, signals_in_series=draws.random() < 0.5,
        hosts=Hosts(count=draws.randint(4, 7), warm_after=4000.0),
        clients=Clients(
            rate=draws.uniform(15.0, 35.0), life=(1.0, 8.0), wait=draws.choice(WAITS),
            effect=draws.choice(EFFECTS), rest=(0.0, draws.choice((0.0, 0.0, 700.0))),
            impatient=draws.choice((0.0, 0.1, 0.3)),
        ),
        net=Net(list_late=(50.0, draws.choice((300.0, 1500.0)))),
    )  # fmt: skip
    made = _larger(random.Random(f"{seed}/size"), made)
    faults = [_within(_fault(draws, made)) for _ in range(draws.randint(*FAULTS))]
    faults += [_within(fault) for fault in _by_operator(draws, made)]
    if crowded:
        faults.append(_within(_fault_on_node(draws, made, "crowd")))
    made = msgspec.structs.replace(made, fault=sorted(faults, key=lambda f: f.at or 0.0))
    check(made, made.name)
    return made


def _larger(draws: random.Random, s: Scenario) -> Scenario:
    """With connections from before the run, and at some seeds with thousands of servers on the list."""
    clients = msgspec.structs.replace(s.clients, standing=draws.randint(*STANDING))
    hosts = msgspec.structs.replace(s.hosts, aliases=ALIASES if draws.random() < LARGE else 0)
    return msgspec.structs.replace(s, clients=clients, hosts=hosts)


def _targets(s: Scenario) -> list[str]:
    """The hosts that faults may touch: not the one that is thousands of servers."""
    return [host for host in s.host_names() if not s.has_aliases(host)]


def _fault(draws: random.Random, s: Scenario) -> Fault:
    on_node = ("step", "step", "step", "errors", "errors", "restart", "restart", "reload", "stop", "kill")
    on_host = ("drain", "start", "ill", "kill")
    kind = draws.choice((*on_node, *on_host, "discovery", "reset", "silence"))
    if kind in on_host and draws.random() < 0.7:
        span = draws.uniform(0.5, 2.5) if kind in ("ill", "kill") else None
        return Fault(do=kind, of=draws.choice(_targets(s)), at=_at(draws), span=span, amount=0.6)
    if kind in ("reset", "silence"):
        span = draws.uniform(0.3, 1.2) if kind == "silence" else None
        of, to = draws.choice(s.node_names()), draws.choice(s.host_names())
        return Fault(do=kind, of=of, to=to, at=_at(draws), span=span)
    return _fault_on_node(draws, s, kind if kind not in on_host else "step")


def _by_operator(draws: random.Random, s: Scenario) -> list[Fault]:
    """A host is taken out for a while, and nodes are replaced while their folders fail, at about one time."""
    out_at, host = _at(draws), draws.choice(_targets(s))
    made = [Fault(do="exclude", of=host, at=out_at, span=draws.uniform(0.8, 4.0))]
    for of in s.node_names()[: draws.randint(1, 2)]:
        # a process is ready after some tenths of a second; the call comes before, amid and after that
        at = round(max(out_at - draws.uniform(0.0, 1.2), FROM), 2)
        made.append(Fault(do="upgrade", of=of, at=at))
        if draws.random() < 0.5:
            made.append(Fault(do="disk", of=of, at=at, span=draws.uniform(0.3, 2.0), amount=0.7))
        if draws.random() < 0.5:
            made.append(Fault(do="errors", of=of, at=at, span=draws.uniform(0.3, 1.0), amount=0.5))
    return made


def _fault_on_node(draws: random.Random, s: Scenario, kind: str) -> Fault:
    of, at = draws.choice(s.node_names()), _at(draws)
    match kind:
        case "step":
            span = draws.choice((None, draws.uniform(0.3, 3.0)))
            return Fault(
                do="step", of=of, at=at, span=span, offset=draws.choice(STEPS) * draws.choice((-1, 1))
            )
        case "errors":
            return Fault(
                do="errors", of=of, at=at, span=draws.uniform(0.3, 2.0), amount=draws.uniform(0.1, 0.6)
            )
        case "stop":
            return Fault(do="stop", of=of, at=at, span=draws.uniform(0.05, 0.5))
        case "kill":
            return Fault(do="kill", of=of, at=at, span=draws.uniform(0.3, 1.0))
        case "crowd":
            return Fault(do="crowd", of=of, at=at, span=draws.uniform(0.5, 2.0), amount=200.0)
        case "discovery":
            return Fault(do="discovery", of=of, at=at, span=draws.uniform(0.5, 4.0))
        case _:
            return Fault(do=kind, of=of, at=at)


def _within(fault: Fault) -> Fault:
    """The fault over before the run is."""
    longest = SECONDS - (fault.at or 0.0) - LEAST_AFTER
    return fault if fault.span is None else msgspec.structs.replace(fault, span=min(fault.span, longest))


def _at(draws: random.Random) -> float:
    return round(draws.uniform(FROM, UNTIL), 2)


def play(seed: int, logs: Path | None = None) -> Result:
    """One seed with real processes."""
    made = scenario_of(seed)
    reason = ""
    for _ in range(TRIES):
        folder = None if logs is None else logs / str(seed)
        if folder is not None:
            folder.mkdir(parents=True, exist_ok=True)
        fleet = RealFleet(made, seed, logs=None if folder is None else str(folder))
        try:
            events = fleet.run()
        except VoidError as error:
            reason = str(error)
            continue
        breaches = find_breaches(made, events, (), REORDER_WINDOW_MS)
        if breaches and fleet.max_late_ms > made.rules.slack:
            reason = f"a part of the rig ran {fleet.max_late_ms:.0f} ms late"
            continue
        if folder is not None:
            (folder / "scenario.toml").write_text(text(made))
        return Result(seed, breaches, _answers(events), _faults(made))
    return Result(seed, [], 0, _faults(made), void=reason)


def _answers(events: list[Event]) -> int:
    return sum(e["ev"] == "answer" and e["what"] == "up" for e in events)


def _faults(made: Scenario) -> dict[str, int]:
    counts: dict[str, int] = {}
    for fault in made.fault:
        counts[fault.do] = counts.get(fault.do, 0) + 1
    return counts


def soak(first: int, seeds: int, at_once: int, logs: Path | None = None) -> Iterator[Result]:
    """The results of so many seeds from the first one on, in their order."""
    with ThreadPoolExecutor(at_once) as pool:
        yield from pool.map(lambda seed: play(seed, logs), range(first, first + seeds))


def line(result: Result) -> str:
    """One seed in one line, and a line for each of its first breaches."""
    faults = " ".join(f"{name}={count}" for name, count in sorted(result.faults.items()))
    if result.void:
        return f"seed {result.seed}: void, {result.void}"
    head = f"seed {result.seed}: {'BROKEN' if result.breaches else 'held'}, {result.answers} up; {faults}"
    return "\n".join([head, *(f"  {breach.line()}" for breach in result.breaches[:5])])
