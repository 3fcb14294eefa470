"""The measurements of a scale run; the checks and the HTML page read nothing else."""

from __future__ import annotations

import msgspec
from msgspec import field

from .heartbeat import LatenessStats

FILE_KIND = "caperdeck scale run"


class RoleUse(msgspec.Struct):
    """All processes of one role at one reading; memory in MB."""

    processes: int
    cpu_s: float  # processor time since the processes started
    pss_mb: float  # a page shared by several processes is divided among them
    uss_mb: float  # unshared pages


class Reading(msgspec.Struct):
    """Resource usage of all processes of the run and of the machine at one moment."""

    at: float  # seconds since the start of the run
    roles: dict[str, RoleUse]
    machine_cpu_s: float = 0.0  # busy processor time of the whole machine since boot
    stolen_s: float = 0.0  # time in which a virtual machine was runnable and its hypervisor did not run it

    @property
    def processes(self) -> int:
        return sum(use.processes for use in self.roles.values())

    @property
    def pss_mb(self) -> float:
        return sum(use.pss_mb for use in self.roles.values())


class View(msgspec.Struct):
    """Membership as seen by the stub nodes at one moment."""

    at: float  # seconds since the start of the run
    know_most: float  # share of the stub nodes that see 9 in 10 members as alive
    known: float  # mean share of the members that a stub node sees as alive
    told: float  # share of the stub nodes that have received their target share from an owner


class NodeCost(msgspec.Struct):
    """Cost of one stub node in the steady phase."""

    seconds: float
    core_share: float
    memory_mb: float  # without the interpreter and the program
    bytes_s: float  # payload, sent and received
    datagrams_s: float  # sent and received
    connections_s: float  # accepted from owners at the admin address


class Cost(msgspec.Struct):
    """Resource usage in the steady phase."""

    node: NodeCost
    process_mb: float  # the interpreter and the program, once for each stub process
    make_s: float  # processor time to create one stub node
    connections_s: float  # from owners to all stub nodes
    cores: dict[str, float]  # busy cores by role
    machine_cores: int = 0  # cores of the machine
    busy_cores: float = 0.0  # busy cores of the machine, including other programs
    stolen_cores: float = 0.0  # cores that the hypervisor withheld while the virtual machine was runnable

    @property
    def run_cores(self) -> float:
        """Cores that the run kept busy."""
        return sum(self.cores.values())


class Fault(msgspec.Struct):
    """A process killed and started again, with the seconds until each was noticed; None if past its bound."""

    what: str
    of: str
    at: float
    nodes: int = 0  # nodes killed with the process
    dead_s: float | None = None
    back_s: float | None = None


class Measured(msgspec.Struct):
    """All measurements of one run; spans in seconds."""

    members: int
    stub_nodes: int = field(name="hollow")
    real: int
    instances: int
    instance_nodes: int  # limit of an instance's configuration
    start_s: float = 0.0
    seconds: float = 0.0
    known_s: float | None = None
    owner_first_s: float | None = None
    cost: Cost | None = None
    faults: list[Fault] = field(default_factory=list)
    readings: list[Reading] = field(default_factory=list)
    views: list[View] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)  # processes that should run and do not
    breaches: list[str] = field(default_factory=list)  # of the four session rules and the rules of owned work
    tries: int = 0  # clients' first lines
    served: int = 0  # first lines answered with UP
    answers: dict[str, int] = field(default_factory=dict)  # by kind
    late: dict[str, LatenessStats] = field(default_factory=dict)  # by process

    @property
    def peak_processes(self) -> int:
        return max((reading.processes for reading in self.readings), default=0)

    @property
    def peak_memory_mb(self) -> float:
        return max((reading.pss_mb for reading in self.readings), default=0.0)

    def fault(self, what: str) -> Fault | None:
        """The first fault of a kind, if it was run."""
        return next((fault for fault in self.faults if fault.what == what), None)
