"""Scenario files: the fleet, its load and its faults, validated completely before a run starts."""

from __future__ import annotations

import fnmatch
import math
from typing import Any, Literal

import msgspec
from msgspec import field

from caperdeck.gossip.sharing import SharingFeatures
from caperdeck.lifecycle.toml import TomlError, read_toml

MAX_NODES, MAX_HOSTS, MAX_DURATION_S, MAX_RATE_PER_S, MAX_FAULTS = 400, 200, 300.0, 5000.0, 200
MAX_ALIASES, MAX_STANDING = 10_000, 2000
MAX_REAL_NODES = 12  # run as real processes
MAX_INSTANCES = 7
# Roles that a fault may name instead of endpoints: the instance that leads, or holds a work, at that moment.
LEADER, HOLDER_PREFIX = "leader", "holder:"


class ScenarioError(Exception):
    """The scenario is invalid; the message names the file, the field and the reason."""


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of a scenario file; unknown keys are rejected."""


def host_name(listed: str) -> str:
    """The host behind a name on the host list."""
    return listed.partition("-")[0]


class Hosts(Table):
    """The simulated hosts. Loads are in milliseconds of work per second, times in milliseconds."""

    count: int = 5
    cores: int = 4
    speed: tuple[float, float] = (0.8, 1.2)  # of a core, random for each host
    cap_per_core: int = 600  # connections
    handshake: float = 3.0
    report_every: tuple[float, float] = (500.0, 1100.0)
    report_late: tuple[float, float] = (60.0, 400.0)
    cold_from: float = 0.3
    warm_after: float = 8000.0
    drain_span: float = 3000.0  # from the start of a drain to its end
    aliases: int = 0  # further names of the last host, whose capacity is then that of all hosts together


class Clients(Table):
    """Open-loop arrivals: at random times, independently of how earlier clients were served."""

    rate: float = 20.0  # new connections a second, over the whole fleet
    life: tuple[float, float] = (4.0, 20.0)  # seconds
    load: tuple[float, float] = (20.0, 50.0)  # of a connection
    wait: float = 1200.0  # for the answer
    target: float = 300.0
    effect: Literal["idempotent", "deduplicated", "at_most_once"] = "idempotent"
    retries: int = 2
    back: tuple[float, float] = (140.0, 1200.0)  # until a broken or moved session reconnects
    uneven: float = 0.0  # extra share of clients at every fifth node
    notice: tuple[float, float] = (1100.0, 3900.0)  # until the front end notices a dead node
    rest: tuple[float, float] = (0.0, 0.0)  # milliseconds from the connection to the request
    impatient: float = 0.0  # fraction that disconnects before its wait is over
    standing: int = 0  # sessions from before the run, over the whole fleet


class Rules(Table):
    """The parameters of the four rules, as configured at the nodes."""

    drain_grace: float = 1000.0
    fall_multiple: float = 2.5
    fall: float = 1000.0
    slack: float = 50.0  # added to each time limit that is checked on sockets
    told_anyway: float = 6000.0  # a list change counts as known after this time even if it never arrived


class Net(Table):
    """One-way delays between endpoints, milliseconds."""

    delay: tuple[float, float] = (0.2, 0.6)
    cross: tuple[float, float] = (0.4, 0.8)  # between zones
    list_late: tuple[float, float] = (50.0, 300.0)  # from a list change until an agent reports it


class After(Table):
    """The events that a fault waits for: a number of one kind, from any endpoint or a given one."""

    seen: str
    count: int = 1
    of: str = "*"
    work: str = ""  # for events of owned work: of this work only
    each: bool = False  # only one event per endpoint counts, so that `count` counts endpoints
    within: str = ""  # counting starts once the fault of this name has begun


class Fault(Table):
    """One fault; it begins at a time or after events, and may end after a duration or further events."""

    do: Literal[
        "loss", "delay", "double", "reorder", "cut", "silence", "reset", "hold", "kill", "restart", "stop",
        "slow", "clock", "drain", "start", "ill", "discovery", "cut-zone", "mass-kill", "mass-restart",
        "rolling", "stop-before-act", "stop-after-act", "step", "errors", "reload", "crowd", "upgrade",
        "disk", "exclude",
    ]  # fmt: skip
    name: str = ""
    at: float | None = None  # seconds
    after: After | None = None
    wait: float = 0.0  # seconds from `at` or the last event of `after`
    span: float | None = msgspec.field(name="for", default=None)  # seconds
    until: list[After] = field(
        default_factory=list
    )  # instead of a span: it ends once these were seen in order
    of: str = "*"  # endpoints by name, with wildcards
    to: str = "*"  # for links, the far end
    amount: float = 0.5  # a rate, a fraction of the fleet, or a duty cycle
    spread: tuple[float, float] = (0.0, 0.0)  # of a random delay, milliseconds
    offset: float = 0.0  # of a clock, milliseconds; with `step`, of the wall clock of a running process
    drift: float = 0.0  # of a clock, milliseconds per second


class Scenario(Table):
    """A complete scenario: the fleet, its load and its faults."""

    name: str
    seconds: float
    nodes: int = 3
    zones: list[str] = field(default_factory=lambda: ["east"])
    seed: int = 1
    hosts: Hosts = field(default_factory=Hosts)
    clients: Clients = field(default_factory=Clients)
    rules: Rules = field(default_factory=Rules)
    net: Net = field(default_factory=Net)
    owners: int = 0  # instances that elect the owners of the fleet's work
    sharing: list[str] | None = None  # sharing features by name; an empty list enables membership alone
    subsets: bool = False  # nodes prefer the hosts of their own subset
    sockets: int = 8192  # descriptor limit of a node
    signals_in_series: bool = False  # SIGTERM is followed by further SIGTERM and SIGHUP
    fault: list[Fault] = field(default_factory=list)

    def sharing_features(self) -> SharingFeatures | None:
        return None if self.sharing is None else SharingFeatures(**dict.fromkeys(self.sharing, True))

    def node_names(self) -> list[str]:
        return [f"n{i}" for i in range(self.nodes)]

    def host_names(self) -> list[str]:
        return [f"h{i}" for i in range(self.hosts.count)]

    def has_aliases(self, host: str) -> bool:
        return self.hosts.aliases > 0 and host == self.host_names()[-1]

    def listed_names(self) -> dict[str, str]:
        """The names on the host list, each with the host behind it."""
        hosts = self.host_names()
        aliases = {f"{hosts[-1]}-{i:04}": hosts[-1] for i in range(self.hosts.aliases)}
        return {name: name for name in hosts} | aliases

    def owner_names(self) -> list[str]:
        return [f"o{i}" for i in range(self.owners)]

    def zone_of(self, name: str) -> str:
        """The zone of a node, host or agent; they are assigned round-robin."""
        digits = "".join(c for c in name if c.isdigit())
        return self.zones[int(digits or 0) % len(self.zones)]

    def delay(self, a: str, b: str) -> tuple[float, float]:
        """The range of a healthy link's one-way delay, in milliseconds."""
        if "clients" in (a, b) or a[:1] == "d" or b[:1] == "d" or self.zone_of(a) == self.zone_of(b):
            return self.net.delay
        return self.net.cross

    def endpoints(self) -> list[str]:
        nodes, hosts = self.node_names(), self.host_names()
        return nodes + hosts + [f"d{n[1:]}" for n in nodes] + ["clients"] + self.owner_names()

    def matching_endpoints(self, pattern: str) -> list[str]:
        """The endpoints that match a pattern with wildcards, or `zone:NAME`."""
        if pattern.startswith("zone:"):
            return [p for p in self.endpoints() if p != "clients" and self.zone_of(p) == pattern[5:]]
        return fnmatch.filter(self.endpoints(), pattern)


LINK_FAULTS = ("loss", "delay", "double", "reorder", "cut", "silence", "reset", "hold")
REAL_PROCESS_FAULTS = ("step", "errors", "reload", "crowd", "upgrade", "disk")
OPERATOR_FAULTS = ("upgrade", "exclude")  # faults that need the nodes' admin addresses
NODE_FAULTS = (
    "restart",
    "stop",
    "slow",
    "clock",
    "rolling",
    "mass-kill",
    "mass-restart",
    *REAL_PROCESS_FAULTS,
)
FRACTION_FAULTS = ("loss", "double", "reorder", "slow", "mass-kill", "mass-restart", "ill", "errors", "disk")
INSTANCE_FAULTS = ("stop-before-act", "stop-after-act")
HOST_FAULTS = ("drain", "start", "ill", "exclude")
AWAITABLE_EVENTS = (
    "ask", "answer", "dial", "back", "told", "life", "sent", "gone", "list", "fault", "host", "datagram",
    "held", "acted", "refused-at", "withheld",
)  # fmt: skip


def load(path: str) -> Scenario:
    """Reads and checks a scenario file; raises ScenarioError with the file, the field and the reason."""
    try:
        raw = read_toml(path)
    except TomlError as error:
        raise ScenarioError(f"{path}: {error}") from None
    return decode(raw, path)


def decode(raw: dict[str, Any], path: str = "scenario") -> Scenario:
    try:
        scenario = msgspec.convert(raw, Scenario)
    except msgspec.ValidationError as error:
        raise ScenarioError(f"{path}: {error}") from None
    check(scenario, path)
    return scenario


def check(scenario: Scenario, path: str) -> None:
    """Raises ScenarioError with the first field that is wrong."""
    for where, reason in _scenario_errors(scenario):
        raise ScenarioError(f"{path}: {where}: {reason}")


def dump(scenario: Scenario) -> dict[str, Any]:
    """The scenario as a mapping with the keys of the file."""
    return msgspec.to_builtins(scenario)


def _number_errors(value: Any, where: str):
    """Yields path and reason of numbers that are not finite or are negative, and of ranges that decrease."""
    if isinstance(value, dict):
        for key, nested in value.items():
            yield from _number_errors(nested, f"{where}.{key}" if where else key)
    elif isinstance(value, list | tuple):
        if len(value) == 2 and all(isinstance(x, float | int) for x in value) and value[0] > value[1]:
            yield where, f"{value[0]} to {value[1]} goes down"
        for i, nested in enumerate(value):
            yield from _number_errors(nested, f"{where}[{i}]")
    elif isinstance(value, float | int) and not isinstance(value, bool):
        if not math.isfinite(value):
            yield where, f"{value} is not finite"
        elif value < 0 and not where.endswith((".offset", ".drift")):
            yield where, f"{value} is under 0"


def _scenario_errors(scenario: Scenario):
    """Yields path and reason of every invalid field."""
    yield from _number_errors(dump(scenario), "")
    for where, value, maximum in (
        ("nodes", scenario.nodes, MAX_NODES), ("hosts.count", scenario.hosts.count, MAX_HOSTS),
        ("seconds", scenario.seconds, MAX_DURATION_S),
        ("clients.rate", scenario.clients.rate, MAX_RATE_PER_S),
        ("fault", len(scenario.fault), MAX_FAULTS), ("owners", scenario.owners, MAX_INSTANCES),
        ("hosts.aliases", scenario.hosts.aliases, MAX_ALIASES),
        ("clients.standing", scenario.clients.standing, MAX_STANDING),
    ):  # fmt: skip
        if value > maximum:
            yield where, f"{value} is over {maximum}"
    for where, value in (
        ("nodes", scenario.nodes), ("hosts.count", scenario.hosts.count),
        ("seconds", scenario.seconds), ("zones", len(scenario.zones)),
        ("hosts.cores", scenario.hosts.cores), ("hosts.speed", scenario.hosts.speed[0]),
        ("clients.load", scenario.clients.load[0]), ("clients.wait", scenario.clients.wait),
        ("hosts.warm_after", scenario.hosts.warm_after),
        ("hosts.cold_from", scenario.hosts.cold_from), ("hosts.report_every", scenario.hosts.report_every[0]),
    ):  # fmt: skip
        if not value:
            yield where, "is 0"
    if len(set(scenario.zones)) < len(scenario.zones):
        yield "zones", "a name twice"
    for use in scenario.sharing or ():
        if use not in SharingFeatures._fields:
            yield "sharing", f"no use {use!r}, known are {', '.join(SharingFeatures._fields)}"
    names = {fault.name for fault in scenario.fault if fault.name}
    for i, fault in enumerate(scenario.fault):
        for where, reason in _fault_errors(scenario, fault, names):
            yield f"fault[{i}].{where}", reason


def _fault_errors(scenario: Scenario, fault: Fault, names: set[str]):
    endpoints = set(scenario.matching_endpoints(fault.of))
    if fault.do == "cut-zone":
        if fault.of not in scenario.zones:
            yield "of", f"no zone {fault.of!r}"
    elif scenario.owners and (fault.of == LEADER or fault.of.startswith(HOLDER_PREFIX)):
        endpoints = set(scenario.owner_names())
    elif not endpoints:
        yield "of", f"nothing is named {fault.of!r}"
    elif fault.do == "kill" and not endpoints & {
        *scenario.node_names(),
        *scenario.host_names(),
        *scenario.owner_names(),
    }:
        yield "of", f"no node or host is named {fault.of!r}"
    elif fault.do in NODE_FAULTS and not endpoints & {*scenario.node_names(), *scenario.owner_names()}:
        yield "of", f"no node is named {fault.of!r}"
    elif fault.do in HOST_FAULTS and not endpoints & set(scenario.host_names()):
        yield "of", f"no host is named {fault.of!r}"
    if fault.do in LINK_FAULTS and not scenario.matching_endpoints(fault.to):
        yield "to", f"nothing is named {fault.to!r}"
    if (fault.at is None) == (fault.after is None):
        yield "at", "one of at and after is needed"
    if fault.at is not None and fault.at >= scenario.seconds:
        yield "at", f"{fault.at} is past the end at {scenario.seconds}"
    if (
        fault.span is not None
        and fault.at is not None
        and fault.at + fault.wait + fault.span > scenario.seconds
    ):
        yield "for", f"ends past the end at {scenario.seconds}"
    if fault.do in INSTANCE_FAULTS and not endpoints <= set(scenario.owner_names()):
        yield "of", f"{fault.of!r} are not all instances"
    if (
        fault.do in ("stop", "slow", "cut-zone", "hold", *INSTANCE_FAULTS)
        and fault.span is None
        and not fault.until
    ):
        yield "for", f"{fault.do} needs an end"
    if fault.do in FRACTION_FAULTS and fault.amount > 1:
        yield "amount", f"{fault.amount} is over 1"
    if fault.span is not None and fault.until:
        yield "until", "for and until exclude each other"
    awaited = [("after", fault.after)] if fault.after is not None else []
    for where, after in awaited + [("until", a) for a in fault.until]:
        if after.seen not in AWAITABLE_EVENTS:
            yield f"{where}.seen", f"no kind of event {after.seen!r}"
        if after.within and after.within not in names:
            yield f"{where}.within", f"no fault {after.within!r}"
    if fault.do == "clock" and abs(fault.drift) > 500:
        yield "drift", f"{fault.drift} ms a second is over 500"
