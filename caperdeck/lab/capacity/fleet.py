"""The fleet at its target size: the target, the measured lines, and the number of processes that results."""

from __future__ import annotations

import msgspec

from caperdeck.lab.slopes.record import Record

from .figure import Figure, figure
from .lines import CostLines, assumption
from .load import Load, machines_per_zone, process_load
from .sizing import Sizing, machine_processes, size_machine
from .target import Target


class Fleet:
    """The inputs for the computations of all roles."""

    def __init__(self, target: Target, record: Record) -> None:
        self.target = target
        self.lines = CostLines(record)
        self.sizing: Sizing = size_machine(target, self.lines)
        self.processes = machine_processes(self.sizing)  # on each machine
        self.members: Figure = self.processes * target.fleet.machines  # all node processes

    def assumed(self, name: str) -> Figure:
        """A field of the target's table of assumptions."""
        return assumption(self.target.assumed, name)

    def load(self, machines_lost: Figure | float = 0) -> Load:
        """The load of one process while some machines are lost."""
        return process_load(self.target, self.processes, machines_lost)

    @property
    def machines_per_zone(self) -> float:
        return machines_per_zone(self.target)

    @property
    def control_budget(self) -> ControlBudget:
        control = self.target.control
        return ControlBudget(
            control.core_part / self.processes,
            control.memory / self.processes,
            control.bytes_per_second / self.processes,
        )

    @property
    def delay_bound_s(self) -> Figure:
        """Seconds that a delivery may spend at a node."""
        return self.assumed("delay_part") * figure(self.target.deliveries.within)


class ControlBudget(msgspec.Struct, frozen=True):
    """The limits of one process for control: its share of the limits of its machine."""

    core_share: Figure
    memory: Figure  # bytes
    bytes_per_second: Figure
