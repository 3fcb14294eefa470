"""What a scale run has measured; the checks and the page read nothing else."""

from __future__ import annotations

import msgspec
from msgspec import field

from .heartbeat import LatenessStats

KIND = "caperdeck scale run"


class RoleUse(msgspec.Struct):
    """All processes of one role at one reading; memory in MB."""

    processes: int
    cpu_s: float  # processor time since their start
    pss_mb: float  # shared pages divided among those that share them
    uss_mb: float  # pages of their own


class Reading(msgspec.Struct):
    at: float  # seconds since the start of the run
    roles: dict[str, RoleUse]
    machine_cpu_s: float = 0.0  # processor time of the whole machine, whoever used it, since it was started
    stolen_s: float = 0.0  # in which a virtual machine had work and its host gave it no processor

    @property
    def processes(self) -> int:
        return sum(use.processes for use in self.roles.values())

    @property
    def pss_mb(self) -> float:
        return sum(use.pss_mb for use in self.roles.values())


class View(msgspec.Struct):
    """What the hollow nodes know of the members at one moment."""

    at: float
    know_most: float  # the share of them that know 9 in 10 members as alive
    known: float  # the mean share of the members that they know as alive
    told: float  # the share of them that an owner has told their share


class NodeCost(msgspec.Struct):
    """Of one hollow node in the steady span."""

    seconds: float
    core_share: float
    memory_mb: float  # of its own, without the interpreter and the program
    bytes_s: float  # in and out, payload
    datagrams_s: float  # in and out
    connections_s: float  # of owners, to its second address


class Cost(msgspec.Struct):
    node: NodeCost
    process_mb: float  # the interpreter and the program, once a process
    make_s: float  # processor time to make one hollow node
    connections_s: float  # of owners, over all hollow nodes
    cores: dict[str, float]  # used by each role
    machine_cores: int = 0  # that the machine has
    busy_cores: float = 0.0  # of these that were busy, whoever used them
    stolen_cores: float = 0.0  # of these that the host of a virtual machine kept from it while it had work

    @property
    def own_cores(self) -> float:
        """That the run kept busy."""
        return sum(self.cores.values())


class Fault(msgspec.Struct):
    """Something killed and started again; seconds until it was seen, None where the bound passed first."""

    what: str
    of: str
    at: float
    nodes: int = 0  # that went with it
    dead_s: float | None = None
    back_s: float | None = None


class Measured(msgspec.Struct):
    members: int
    hollow: int
    real: int
    instances: int
    instance_nodes: int  # that an instance's configuration takes
    start_s: float = 0.0
    seconds: float = 0.0
    known_s: float | None = None
    owner_first_s: float | None = None
    cost: Cost | None = None
    faults: list[Fault] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)
    views: list[View] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)  # processes that should live and do not
    breaches: list[str] = field(default_factory=list)  # of the four rules and of owned work
    tries: int = 0  # clients' first lines
    served: int = 0  # that an UP answered
    answers: dict[str, int] = field(default_factory=dict)  # by kind
    late: dict[str, LatenessStats] = field(default_factory=dict)  # by process

    @property
    def most_processes(self) -> int:
        return max((r.processes for r in self.readings), default=0)

    @property
    def most_memory_mb(self) -> float:
        return max((r.pss_mb for r in self.readings), default=0.0)

    def fault(self, what: str) -> Fault | None:
        return next((f for f in self.faults if f.what == what), None)
