"""Scenario files: the fleet, its load, and what goes wrong when; checked whole before anything starts."""

from __future__ import annotations

import fnmatch
import math
from typing import Any, Literal

import msgspec
from msgspec import field

from caperdeck.gossip.sharing import SharingFeatures
from caperdeck.lifecycle.toml import TomlError, read_toml

MOST_NODES, MOST_HOSTS, MOST_SECONDS, MOST_RATE, MOST_FAULTS = 400, 200, 300.0, 5000.0, 200
MOST_ALIASES, MOST_STANDING = 10_000, 2000
MAX_REAL_NODES = 12  # nodes as real processes
MAX_INSTANCES = 7
# Roles that a fault may name instead of endpoints: the instance that leads, or holds a work, at that moment.
LEADER, HOLDER_PREFIX = "leader", "holder:"


class ScenarioError(Exception):
    """The scenario cannot be played; the text names file, field and reason."""


class Table(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """A table of the file; a name that it does not know is refused."""


def host_of(listed: str) -> str:
    """The host that a name on the list is."""
    return listed.partition("-")[0]


class Hosts(Table):
    """The stand-in hosts. Loads in milliseconds of work a second, times in milliseconds."""

    count: int = 5
    cores: int = 4
    speed: tuple[float, float] = (0.8, 1.2)  # a core's, random for each host
    cap_per_core: int = 600  # connections
    handshake: float = 3.0
    report_every: tuple[float, float] = (500.0, 1100.0)
    report_late: tuple[float, float] = (60.0, 400.0)
    cold_from: float = 0.3
    warm_after: float = 8000.0
    drain_span: float = 3000.0  # from the word that it drains to its end
    aliases: int = 0  # further names of the last host on the list, which then can do as much as all others


class Clients(Table):
    """Open-loop arrivals: at random moments, whatever became of the ones before."""

    rate: float = 20.0  # new connections a second, over the whole fleet
    life: tuple[float, float] = (4.0, 20.0)  # seconds
    load: tuple[float, float] = (20.0, 50.0)  # of a connection
    wait: float = 1200.0  # for the answer
    target: float = 300.0
    effect: Literal["idempotent", "deduplicated", "at_most_once"] = "idempotent"
    retries: int = 2
    back: tuple[float, float] = (140.0, 1200.0)  # until one that broke or was moved comes again
    uneven: float = 0.0  # some nodes see so many times the mean more
    notice: tuple[float, float] = (1100.0, 3900.0)  # until the front leaves a dead node out
    rest: tuple[float, float] = (0.0, 0.0)  # milliseconds from the connection until the first line
    impatient: float = 0.0  # this part of them leaves before its wait is over
    standing: int = 0  # that stood at hosts before the run, over the whole fleet


class Rules(Table):
    """The figures of the four rules, as the nodes are told them."""

    drain_grace: float = 1000.0
    fall_multiple: float = 2.5
    fall: float = 1000.0
    slack: float = 50.0  # each time limit on sockets is longer by this
    told_anyway: float = 6000.0  # a change counts as told then, whether or not it arrived


class Net(Table):
    """One-way delays between endpoints, milliseconds."""

    delay: tuple[float, float] = (0.2, 0.6)
    cross: tuple[float, float] = (0.4, 0.8)  # between zones
    list_late: tuple[float, float] = (50.0, 300.0)  # from a change to the agents' word of it


class After(Table):
    """What must be seen before a fault sets in or ends: so many events of a kind, of any endpoint or one."""

    seen: str
    count: int = 1
    of: str = "*"
    work: str = ""  # for events of owned work, which
    each: bool = False  # one event of an endpoint counts, so that `count` is of endpoints
    within: str = ""  # a fault by this name must have set in before the count begins


class Fault(Table):
    """One fault; it sets in at a time or after what was seen, and is undone after a while if one is given."""

    do: Literal[
        "loss", "delay", "double", "reorder", "cut", "silence", "reset", "hold", "kill", "restart", "stop",
        "slow", "clock", "drain", "start", "ill", "discovery", "cut-zone", "mass-kill", "mass-restart",
        "rolling", "stop-before-act", "stop-after-act", "step", "errors", "reload", "crowd", "upgrade",
        "disk", "exclude",
    ]  # fmt: skip
    name: str = ""
    at: float | None = None  # seconds
    after: After | None = None
    wait: float = 0.0  # seconds from that on
    span: float | None = msgspec.field(name="for", default=None)  # seconds
    until: list[After] = field(default_factory=list)  # instead of a span: seen one after the other, it ends
    of: str = "*"  # endpoints by name, with wildcards
    to: str = "*"  # for links, the far end
    amount: float = 0.5  # a rate, a part of the fleet, or a duty
    spread: tuple[float, float] = (0.0, 0.0)  # milliseconds, random between
    offset: float = 0.0  # of a clock, milliseconds; with `step`, of the wall clock of a process that runs
    drift: float = 0.0  # of a clock, milliseconds a second


class Scenario(Table):
    name: str
    seconds: float
    nodes: int = 3
    zones: list[str] = field(default_factory=lambda: ["east"])
    seed: int = 1
    hosts: Hosts = field(default_factory=Hosts)
    clients: Clients = field(default_factory=Clients)
    rules: Rules = field(default_factory=Rules)
    net: Net = field(default_factory=Net)
    owners: int = 0  # instances that agree on owners of work on behalf of the fleet
    sharing: list[str] | None = None  # what the nodes share: uses by name; none of them is membership alone
    subsets: bool = False  # the nodes draw the hosts of a subset of their own first
    sockets: int = 8192  # of a node
    signals_in_series: bool = False  # SIGTERM comes again, with SIGHUP between
    fault: list[Fault] = field(default_factory=list)

    def uses(self) -> SharingFeatures | None:
        return None if self.sharing is None else SharingFeatures(**dict.fromkeys(self.sharing, True))

    def node_names(self) -> list[str]:
        return [f"n{i}" for i in range(self.nodes)]

    def host_names(self) -> list[str]:
        return [f"h{i}" for i in range(self.hosts.count)]

    def has_aliases(self, host: str) -> bool:
        return self.hosts.aliases > 0 and host == self.host_names()[-1]

    def listed_names(self) -> dict[str, str]:
        """The names on the list of discovery, and the host that each is."""
        hosts = self.host_names()
        aliases = {f"{hosts[-1]}-{i:04}": hosts[-1] for i in range(self.hosts.aliases)}
        return {name: name for name in hosts} | aliases

    def owner_names(self) -> list[str]:
        return [f"o{i}" for i in range(self.owners)]

    def zone_of(self, name: str) -> str:
        """Nodes, hosts and agents are assigned to the zones in turn."""
        digits = "".join(c for c in name if c.isdigit())
        return self.zones[int(digits or 0) % len(self.zones)]

    def delay(self, a: str, b: str) -> tuple[float, float]:
        """A link's one-way delay with nothing wrong, milliseconds."""
        if "clients" in (a, b) or a[:1] == "d" or b[:1] == "d" or self.zone_of(a) == self.zone_of(b):
            return self.net.delay
        return self.net.cross

    def endpoints(self) -> list[str]:
        nodes, hosts = self.node_names(), self.host_names()
        return nodes + hosts + [f"d{n[1:]}" for n in nodes] + ["clients"] + self.owner_names()

    def matching(self, pattern: str) -> list[str]:
        """The endpoints that a pattern names: wildcards, or `zone:NAME`."""
        if pattern.startswith("zone:"):
            return [p for p in self.endpoints() if p != "clients" and self.zone_of(p) == pattern[5:]]
        return fnmatch.filter(self.endpoints(), pattern)


ON_LINKS = ("loss", "delay", "double", "reorder", "cut", "silence", "reset", "hold")
ON_REAL_PROCESSES = ("step", "errors", "reload", "crowd", "upgrade", "disk")
BY_OPERATOR = ("upgrade", "exclude")  # faults for which nodes have a second address
ON_NODES = ("restart", "stop", "slow", "clock", "rolling", "mass-kill", "mass-restart", *ON_REAL_PROCESSES)
PARTS_OF_ALL = ("loss", "double", "reorder", "slow", "mass-kill", "mass-restart", "ill", "errors", "disk")
ON_OWNERS = ("stop-before-act", "stop-after-act")
ON_HOSTS = ("drain", "start", "ill", "exclude")
SEEN = ("ask", "answer", "dial", "back", "told", "life", "sent", "gone", "list", "fault", "host", "datagram",
        "held", "acted", "refused-at", "withheld")  # fmt: skip


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
    for where, reason in _faulty(scenario):
        raise ScenarioError(f"{path}: {where}: {reason}")


def dump(scenario: Scenario) -> dict[str, Any]:
    """The file's form of a scenario."""
    return msgspec.to_builtins(scenario)


def _numbers(value: Any, where: str):
    """Every number of the scenario that is not finite, or is under 0 where it may not be."""
    if isinstance(value, dict):
        for key, below in value.items():
            yield from _numbers(below, f"{where}.{key}" if where else key)
    elif isinstance(value, list | tuple):
        if len(value) == 2 and all(isinstance(x, float | int) for x in value) and value[0] > value[1]:
            yield where, f"{value[0]} to {value[1]} goes down"
        for i, below in enumerate(value):
            yield from _numbers(below, f"{where}[{i}]")
    elif isinstance(value, float | int) and not isinstance(value, bool):
        if not math.isfinite(value):
            yield where, f"{value} is not finite"
        elif value < 0 and not where.endswith((".offset", ".drift")):
            yield where, f"{value} is under 0"


def _faulty(s: Scenario):
    """What is wrong with a scenario, field by field."""
    yield from _numbers(dump(s), "")
    for where, value, most in (
        ("nodes", s.nodes, MOST_NODES), ("hosts.count", s.hosts.count, MOST_HOSTS),
        ("seconds", s.seconds, MOST_SECONDS), ("clients.rate", s.clients.rate, MOST_RATE),
        ("fault", len(s.fault), MOST_FAULTS), ("owners", s.owners, MAX_INSTANCES),
        ("hosts.aliases", s.hosts.aliases, MOST_ALIASES),
        ("clients.standing", s.clients.standing, MOST_STANDING),
    ):  # fmt: skip
        if value > most:
            yield where, f"{value} is over {most}"
    for where, value in (
        ("nodes", s.nodes), ("hosts.count", s.hosts.count), ("seconds", s.seconds), ("zones", len(s.zones)),
        ("hosts.cores", s.hosts.cores), ("hosts.speed", s.hosts.speed[0]),
        ("clients.load", s.clients.load[0]), ("clients.wait", s.clients.wait),
        ("hosts.warm_after", s.hosts.warm_after),
        ("hosts.cold_from", s.hosts.cold_from), ("hosts.report_every", s.hosts.report_every[0]),
    ):  # fmt: skip
        if not value:
            yield where, "is 0"
    if len(set(s.zones)) < len(s.zones):
        yield "zones", "a name twice"
    for use in s.sharing or ():
        if use not in SharingFeatures._fields:
            yield "sharing", f"no use {use!r}, known are {', '.join(SharingFeatures._fields)}"
    names = {f.name for f in s.fault if f.name}
    for i, fault in enumerate(s.fault):
        for where, reason in _faulty_fault(s, fault, names):
            yield f"fault[{i}].{where}", reason


def _faulty_fault(s: Scenario, f: Fault, names: set[str]):
    endpoints = set(s.matching(f.of))
    if f.do == "cut-zone":
        if f.of not in s.zones:
            yield "of", f"no zone {f.of!r}"
    elif s.owners and (f.of == LEADER or f.of.startswith(HOLDER_PREFIX)):
        endpoints = set(s.owner_names())
    elif not endpoints:
        yield "of", f"nothing is named {f.of!r}"
    elif f.do == "kill" and not endpoints & {*s.node_names(), *s.host_names(), *s.owner_names()}:
        yield "of", f"no node or host is named {f.of!r}"
    elif f.do in ON_NODES and not endpoints & {*s.node_names(), *s.owner_names()}:
        yield "of", f"no node is named {f.of!r}"
    elif f.do in ON_HOSTS and not endpoints & set(s.host_names()):
        yield "of", f"no host is named {f.of!r}"
    if f.do in ON_LINKS and not s.matching(f.to):
        yield "to", f"nothing is named {f.to!r}"
    if (f.at is None) == (f.after is None):
        yield "at", "one of at and after is needed"
    if f.at is not None and f.at >= s.seconds:
        yield "at", f"{f.at} is past the end at {s.seconds}"
    if f.span is not None and f.at is not None and f.at + f.wait + f.span > s.seconds:
        yield "for", f"ends past the end at {s.seconds}"
    if f.do in ON_OWNERS and not endpoints <= set(s.owner_names()):
        yield "of", f"{f.of!r} are not all instances"
    if f.do in ("stop", "slow", "cut-zone", "hold", *ON_OWNERS) and f.span is None and not f.until:
        yield "for", f"{f.do} needs an end"
    if f.do in PARTS_OF_ALL and f.amount > 1:
        yield "amount", f"{f.amount} is over 1"
    if f.span is not None and f.until:
        yield "until", "for and until exclude each other"
    awaited = [("after", f.after)] if f.after is not None else []
    for where, after in awaited + [("until", a) for a in f.until]:
        if after.seen not in SEEN:
            yield f"{where}.seen", f"no kind of event {after.seen!r}"
        if after.within and after.within not in names:
            yield f"{where}.within", f"no fault {after.within!r}"
    if f.do == "clock" and abs(f.drift) > 500:
        yield "drift", f"{f.drift} ms a second is over 500"
