"""Scenario files of the scale run: sizes, bounds and budgets, validated before any process starts."""

from __future__ import annotations

import math

import msgspec
from msgspec import field

from caperdeck.gossip.sharing import SharingFeatures
from caperdeck.lab.scenario import MAX_INSTANCES, MAX_REAL_NODES, Clients, Hosts, Rules, ScenarioError, Table
from caperdeck.lab.scenario import Scenario as RealScenario
from caperdeck.lifecycle.sharing import MAX_PEERS
from caperdeck.lifecycle.toml import TomlError, read_toml

MAX_STUB_PROCESSES = 180
MAX_SECONDS = 1800.0
MAX_REAL_SECONDS = 300.0  # limit of the test rig for a scenario of real processes
MS = 1000.0


class StubNodes(Table):
    """The stub nodes, shared evenly among processes; each process is a rack that a fault can kill."""

    processes: int = 3
    nodes: int | None = None  # None: all nodes of the target that are not real


class RealNodes(Table):
    """The real `serve` processes under load from clients, with the tables of the test rig's scenarios."""

    nodes: int = 3
    hosts: Hosts = field(default_factory=Hosts)
    clients: Clients = field(default_factory=Clients)
    rules: Rules = field(default_factory=Rules)


class Spans(Table):
    """Seconds of each phase of the run."""

    start: float = 60.0  # the run is void if a process is not up by then
    known: float = 60.0  # limit for the membership to converge
    steady: float = 20.0  # the costs are measured in this phase
    sample: float = 2.0  # between two readings of memory and processor time


class Bounds(Table):
    """Bounds that must hold after a fault, in seconds; a missed membership bound is a gap, not a failure."""

    owner: float = 5.0  # until there is a leader and every work has a holder again
    dead: float = 60.0  # until 9 in 10 nodes see 9 in 10 nodes of a killed rack as silent
    back: float = 60.0  # until 9 in 10 nodes see 9 in 10 of them as alive again
    real_back: float = 10.0  # until a killed real node answers again
    served: float = 0.9  # least share of the clients' first lines that get an UP


class Budget(Table):
    """Limits for the control functions of one machine, over all of its node processes."""

    core_share: float = 0.012
    memory_mb: float = 32.0
    kb_s: float = 4.0


class Limits(Table):
    """Limits for the whole run on its machine."""

    processes: int = 200
    memory_mb: float = 12_288.0


class Lateness(Table):
    """Limits beyond which the machine is too slow and the run is void."""

    beat_ms: float = 150.0  # a heartbeat of a process later than this counts as late
    share: float = 0.05  # share of its time that a process may be late


class ScaleScenario(Table):
    """A scenario file; the target fleet has `processes_a_machine` nodes on each of its `machines`."""

    name: str
    machines: int
    processes_a_machine: int
    instances: int = 3
    seed: int = 1
    sharing: list[str] = field(default_factory=list)
    stubs: StubNodes = field(default_factory=StubNodes, name="hollow")
    real: RealNodes = field(default_factory=RealNodes)
    spans: Spans = field(default_factory=Spans)
    bounds: Bounds = field(default_factory=Bounds)
    budget: Budget = field(default_factory=Budget)
    limits: Limits = field(default_factory=Limits)
    lateness: Lateness = field(default_factory=Lateness)

    @property
    def target_nodes(self) -> int:
        """The number of nodes of the whole target fleet."""
        return self.machines * self.processes_a_machine

    @property
    def stub_node_count(self) -> int:
        if self.stubs.nodes is not None:
            return self.stubs.nodes
        return self.target_nodes - self.real.nodes

    @property
    def members(self) -> int:
        """The number of all nodes of the run."""
        return self.stub_node_count + self.real.nodes

    def racks(self) -> list[list[int]]:
        """The member numbers of the stub nodes of each process; real nodes have the first numbers."""
        processes, first = self.stubs.processes, self.real.nodes
        return [list(range(first + i, self.members, processes)) for i in range(processes)]

    def uses(self) -> SharingFeatures:
        return SharingFeatures(**dict.fromkeys(self.sharing, True))

    def real_scenario(self) -> RealScenario:
        """The test rig's scenario for the real nodes, their clients and hosts."""
        bounds, spans = self.bounds, self.spans
        seconds = spans.steady + bounds.owner + bounds.dead + bounds.back + bounds.real_back
        return RealScenario(
            name=self.name, seconds=min(seconds, MAX_REAL_SECONDS), nodes=self.real.nodes, seed=self.seed,
            hosts=self.real.hosts, clients=self.real.clients, rules=self.real.rules, owners=self.instances,
            sharing=self.sharing,
        )  # fmt: skip


def load(
    path: str, nodes: int | None = None, processes: int | None = None, seconds: int | None = None,
) -> ScaleScenario:  # fmt: skip
    """Reads a scenario file and applies the options of the command line; raises ScenarioError."""
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
        scenario.stubs.nodes = nodes
    if processes is not None:
        scenario.stubs.processes = processes
    if seconds is not None:
        scenario.spans.steady = float(seconds)
    validate(scenario, path)
    return scenario


def validate(scenario: ScaleScenario, path: str) -> None:
    """Raises ScenarioError for the first invalid field."""
    from caperdeck.lab.scenario import check as check_real

    for field_path, reason in _invalid_fields(scenario):
        raise ScenarioError(f"{path}: {field_path}: {reason}")
    check_real(scenario.real_scenario(), f"{path}: real")


def _invalid_fields(scenario: ScaleScenario):
    for field_path, value, minimum, maximum in (
        ("machines", scenario.machines, 1, MAX_PEERS),
        ("processes_a_machine", scenario.processes_a_machine, 1, 64),
        ("instances", scenario.instances, 1, MAX_INSTANCES),
        ("real.nodes", scenario.real.nodes, 1, MAX_REAL_NODES),
        ("hollow.processes", scenario.stubs.processes, 1, MAX_STUB_PROCESSES),
        (
            "hollow.nodes",
            scenario.stub_node_count,
            scenario.stubs.processes,
            MAX_PEERS - scenario.real.nodes,
        ),
        ("limits.processes", scenario.limits.processes, 1, 10_000),
        ("spans.start", scenario.spans.start, 1.0, MAX_SECONDS),
        ("spans.known", scenario.spans.known, 0.0, MAX_SECONDS),
        ("spans.steady", scenario.spans.steady, 1.0, MAX_SECONDS),
        ("spans.sample", scenario.spans.sample, 0.2, 60.0),
        *(
            (f"bounds.{key}", getattr(scenario.bounds, key), 0.1, MAX_SECONDS)
            for key in ("owner", "dead", "back")
        ),
        ("bounds.real_back", scenario.bounds.real_back, 0.1, MAX_SECONDS),
        ("bounds.served", scenario.bounds.served, 0.0, 1.0),
        ("lateness.share", scenario.lateness.share, 0.0, 1.0),
        ("lateness.beat_ms", scenario.lateness.beat_ms, 1.0, 10_000.0),
        *(
            (f"budget.{key}", getattr(scenario.budget, key), 1e-6, 1e9)
            for key in ("core_share", "memory_mb", "kb_s")
        ),
        ("limits.memory_mb", scenario.limits.memory_mb, 1.0, 1e9),
    ):
        if not math.isfinite(value) or not minimum <= value <= maximum:
            yield field_path, f"{value} is not from {minimum:g} to {maximum:g}"
    for feature in scenario.sharing:
        if feature not in SharingFeatures._fields:
            yield "sharing", f"no use {feature!r}, known are {', '.join(SharingFeatures._fields)}"
