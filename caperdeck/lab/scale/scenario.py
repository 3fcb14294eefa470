"""Scenario files of the scale run: sizes, bounds, budgets; checked whole before anything starts."""

from __future__ import annotations

import math

import msgspec
from msgspec import field

from caperdeck.lab.scenario import MAX_INSTANCES, MAX_REAL_NODES, Clients, Hosts, Rules, ScenarioError, Table
from caperdeck.lab.scenario import Scenario as RealScenario
from caperdeck.gossip.sharing import SharingFeatures
from caperdeck.lifecycle.sharing import MAX_PEERS
from caperdeck.lifecycle.toml import TomlError, read_toml

MOST_HOLLOW_PROCESSES = 180
MOST_SECONDS = 1800.0
REAL_SECONDS = 300.0  # as long as a scenario of the real part may be
MS = 1000.0


class Hollow(Table):
    processes: int = 3  # that share the hollow nodes evenly; each is a rack for the fault that kills one
    nodes: int | None = None  # None: all of the target that are not real


class Real(Table):
    """The real `serve` processes under clients' load; their tables are those of the rig's scenarios."""

    nodes: int = 3
    hosts: Hosts = field(default_factory=Hosts)
    clients: Clients = field(default_factory=Clients)
    rules: Rules = field(default_factory=Rules)


class Spans(Table):
    """Seconds of each part of the run."""

    start: float = 60.0  # until every process is up, or the run is void
    known: float = 60.0  # given to the membership
    steady: float = 20.0  # in which the cost is measured
    sample: float = 2.0  # between two readings of memory and processor time


class Bounds(Table):
    """What must hold after a fault. Times in seconds; a membership time that is missed is a gap, no fault."""

    owner: float = 5.0  # until a lead and every work is held again
    dead: float = 60.0  # until 9 in 10 nodes know 9 in 10 of a killed rack as silent
    back: float = 60.0  # until they know them as alive again
    real_back: float = 10.0  # until a killed real node answers again
    served: float = 0.9  # of the clients' first lines get an UP at the least


class Budget(Table):
    """What the control of one machine may cost, over all of its node processes."""

    core_share: float = 0.012
    memory_mb: float = 32.0
    kb_s: float = 4.0


class Limits(Table):
    """What the whole run may take of the machine."""

    processes: int = 200
    memory_mb: float = 12_288.0


class Lateness(Table):
    """Past this the machine is too slow, and the run is void."""

    beat_ms: float = 150.0  # a beat of a process that comes later than this is late
    share: float = 0.05  # of its time that a process may run so late


class ScaleScenario(Table):
    name: str
    machines: int
    processes_a_machine: int
    instances: int = 3
    seed: int = 1
    sharing: list[str] = field(default_factory=list)
    hollow: Hollow = field(default_factory=Hollow)
    real: Real = field(default_factory=Real)
    spans: Spans = field(default_factory=Spans)
    bounds: Bounds = field(default_factory=Bounds)
    budget: Budget = field(default_factory=Budget)
    limits: Limits = field(default_factory=Limits)
    lateness: Lateness = field(default_factory=Lateness)

    @property
    def target_nodes(self) -> int:
        return self.machines * self.processes_a_machine

    @property
    def hollow_nodes(self) -> int:
        if self.hollow.nodes is not None:
            return self.hollow.nodes
        return self.target_nodes - self.real.nodes

    @property
    def members(self) -> int:
        """All nodes of the run."""
        return self.hollow_nodes + self.real.nodes

    def racks(self) -> list[list[int]]:
        """The numbers of the hollow nodes of each process; real nodes have the first numbers."""
        processes, first = self.hollow.processes, self.real.nodes
        return [list(range(first + i, self.members, processes)) for i in range(processes)]

    def uses(self) -> SharingFeatures:
        return SharingFeatures(**dict.fromkeys(self.sharing, True))

    def real_part(self) -> RealScenario:
        """What the rig plays with the real nodes, their clients and hosts."""
        b, s = self.bounds, self.spans
        seconds = s.steady + b.owner + b.dead + b.back + b.real_back
        return RealScenario(
            name=self.name, seconds=min(seconds, REAL_SECONDS), nodes=self.real.nodes, seed=self.seed,
            hosts=self.real.hosts, clients=self.real.clients, rules=self.real.rules, owners=self.instances,
            sharing=self.sharing,
        )  # fmt: skip


def load(
    path: str, nodes: int | None = None, processes: int | None = None, seconds: int | None = None,
) -> ScaleScenario:  # fmt: skip
    """Reads a file, with what the command line sets instead; raises ScenarioError."""
    try:
        raw = read_toml(path)
    except TomlError as error:
        raise ScenarioError(f"{path}: {error}") from None
    return decode(raw, path, nodes, processes, seconds)


def decode(
    raw: dict, path: str = "scenario", nodes: int | None = None, processes: int | None = None,
    seconds: int | None = None,
) -> ScaleScenario:  # fmt: skip
    try:
        scenario = msgspec.convert(raw, ScaleScenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {error}") from None
    if nodes is not None:
        scenario.hollow.nodes = nodes
    if processes is not None:
        scenario.hollow.processes = processes
    if seconds is not None:
        scenario.spans.steady = float(seconds)
    check(scenario, path)
    return scenario


def check(scenario: ScaleScenario, path: str) -> None:
    """Raises ScenarioError with the first field that is wrong."""
    from caperdeck.lab.scenario import check as check_real

    for where, reason in _faulty(scenario):
        raise ScenarioError(f"{path}: {where}: {reason}")
    check_real(scenario.real_part(), f"{path}: real")


def _faulty(s: ScaleScenario):
    for where, value, least, most in (
        ("machines", s.machines, 1, MAX_PEERS),
        ("processes_a_machine", s.processes_a_machine, 1, 64),
        ("instances", s.instances, 1, MAX_INSTANCES),
        ("real.nodes", s.real.nodes, 1, MAX_REAL_NODES),
        ("hollow.processes", s.hollow.processes, 1, MOST_HOLLOW_PROCESSES),
        ("hollow.nodes", s.hollow_nodes, s.hollow.processes, MAX_PEERS - s.real.nodes),
        ("limits.processes", s.limits.processes, 1, 10_000),
        ("spans.start", s.spans.start, 1.0, MOST_SECONDS),
        ("spans.known", s.spans.known, 0.0, MOST_SECONDS),
        ("spans.steady", s.spans.steady, 1.0, MOST_SECONDS),
        ("spans.sample", s.spans.sample, 0.2, 60.0),
        *((f"bounds.{k}", getattr(s.bounds, k), 0.1, MOST_SECONDS) for k in ("owner", "dead", "back")),
        ("bounds.real_back", s.bounds.real_back, 0.1, MOST_SECONDS),
        ("bounds.served", s.bounds.served, 0.0, 1.0),
        ("lateness.share", s.lateness.share, 0.0, 1.0),
        ("lateness.beat_ms", s.lateness.beat_ms, 1.0, 10_000.0),
        *((f"budget.{k}", getattr(s.budget, k), 1e-6, 1e9) for k in ("core_share", "memory_mb", "kb_s")),
        ("limits.memory_mb", s.limits.memory_mb, 1.0, 1e9),
    ):
        if not math.isfinite(value) or not least <= value <= most:
            yield where, f"{value} is not from {least:g} to {most:g}"
    for use in s.sharing:
        if use not in SharingFeatures._fields:
            yield "sharing", f"no use {use!r}, known are {', '.join(SharingFeatures._fields)}"
