"""The fleet at its target: the target, the measured lines, and the number of processes that follows."""

from __future__ import annotations

import msgspec

from caperdeck.lab.slopes.record import Record

from .figure import Figure, figure
from .lines import Lines, assume
from .load import Load, load_of, zone_machines
from .sizing import Sizing, settled, size
from .target import Target


class Fleet:
    """What the roles' arithmetic starts from."""

    def __init__(self, target: Target, record: Record) -> None:
        self.target = target
        self.lines = Lines(record)
        self.sizing: Sizing = size(target, self.lines)
        self.processes = settled(self.sizing)  # a machine
        self.members: Figure = self.processes * target.fleet.machines  # node processes

    def assumed(self, name: str) -> Figure:
        return assume(self.target.assumed, name)

    def load(self, machines_lost: Figure | float = 0) -> Load:
        """Of one process, while some machines are lost."""
        return load_of(self.target, self.processes, machines_lost)

    @property
    def zone_machines(self) -> float:
        return zone_machines(self.target)

    @property
    def control(self) -> ControlShare:
        control = self.target.control
        return ControlShare(
            control.core_part / self.processes,
            control.memory / self.processes,
            control.bytes_per_second / self.processes,
        )

    @property
    def delay_bound(self) -> Figure:
        """Seconds of a delivery's time that may pass at a node."""
        return self.assumed("delay_part") * figure(self.target.deliveries.within)


class ControlShare(msgspec.Struct, frozen=True):
    """What one process may spend on control: its part of its machine's."""

    core_part: Figure
    memory: Figure
    bytes_per_second: Figure
