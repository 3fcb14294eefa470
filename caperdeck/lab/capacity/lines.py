"""The measured lines, read as figures; a measurement that the record lacks gives a figure without a value."""

from __future__ import annotations

import msgspec

from caperdeck.lab.slopes.record import Measurement, Record, RecordError

from .figure import Figure, figure
from .target import PERCENTILES, Assumed, Target

SHORT_LINE, LONG_LINE = 100, 1000  # bytes of the lines in the measured deliveries

NAMES = (
    "node.memory_own", "node.memory_kernel", "node.set_up", "node.idle", "node.end",
    "node.delivery_100", "node.delivery_1000",
    "node.delivery_p50_100", "node.delivery_p99_100", "node.delivery_p999_100",
    "node.delivery_p50_1000", "node.delivery_p99_1000", "node.delivery_p999_1000",
    "node.list", "node.list_memory", "node.change", "node.tick", "node.placement",
    "peers.bytes", "peers.cpu", "peers.state_bytes", "peers.known", "peers.death", "peers.false_deaths",
    "peers.messages",
    "owned.connections", "owned.bytes", "owned.cpu_owner", "owned.cpu_node",
    "raft.commit_cpu", "raft.commit_bytes", "raft.commit_disk", "raft.commit_time",
    "raft.commit_time_by_size", "raft.start_time",
    "configuration.apply_by_size", "configuration.apply_by_listeners", "configuration.apply_by_customers",
    "configuration.bytes_by_listeners",
    "distribution.node_cpu", "distribution.node_bytes", "distribution.node_memory",
    "distribution.version_cpu", "distribution.version_bytes", "distribution.version_memory",
    "distribution.instance_cpu", "distribution.instance_memory", "distribution.instance_version_cpu",
    "distribution.instance_version_cpu_by_size", "distribution.subscribe_cpu",
    "distribution.commit_cpu", "distribution.history_memory",
)  # fmt: skip
"""Every measurement that the tables rest on."""


class Lines:
    """The lines of one record."""

    def __init__(self, record: Record) -> None:
        self.record = record

    def find(self, name: str) -> Measurement | None:
        try:
            return self.record.find(name)
        except RecordError:
            return None

    @property
    def missing(self) -> tuple[str, ...]:
        """The names that the tables rest on and the record lacks."""
        return tuple(name for name in NAMES if self.find(name) is None)

    def at(self, name: str, size: Figure | float) -> Figure:
        """The cost at a size, in the unit of the measurement; never under 0, where a line goes below it.

        A line that falls is not followed past the measured sizes: the cost at the largest counts.
        """
        return self._read(name, size, _cost)

    def up_to(self, name: str, size: Figure | float) -> Figure:
        """The cost at the least measured size that is no smaller; past all of them, that of the line."""
        found, read = self.find(name), self.at(name, size)
        if read.value is None or found is None or read.stretch > 1:
            return read
        points = [point for point in found.points if point.size >= figure(size).value]
        cost = min(points, key=lambda point: point.size).cost
        return msgspec.structs.replace(read, value=cost, bent=figure(size).bent)

    def share_at(self, name: str, size: Figure | float) -> Figure:
        """The same of a part of a whole: never over 1 either."""
        return self._read(name, size, lambda found, value: min(_cost(found, value), 1.0))

    def each(self, name: str, size: Figure | float) -> Figure:
        """The cost of one more, up to a size; never under 0."""
        return self._read(name, size, lambda found, value: max(found.line.slope, 0.0))

    def fixed(self, name: str) -> Figure:
        """The cost at size 0; never under 0."""
        return self._read(name, 0.0, lambda found, value: max(found.line.fixed, 0.0))

    def _read(self, name: str, size: Figure | float, cost) -> Figure:
        size, found = figure(size), self.find(name)
        if found is None:
            return Figure(None, missing=size.missing | {name}, assumed=size.assumed)
        if size.value is None:
            return Figure(None, missing=size.missing, measured=frozenset({name}), assumed=size.assumed)
        return Figure(
            cost(found, size.value),
            max(size.value / largest_size(found), size.stretch),
            size.measured | {name},
            size.missing,
            size.assumed,
            size.bent if found.line.fits else size.bent | {name},
        )


def _cost(found: Measurement, size: float) -> float:
    if found.line.slope < 0 and size > largest_size(found):
        return max(found.points, key=lambda point: point.size).cost
    return max(found.line.at(size), 0.0)


def largest_size(measurement: Measurement) -> float:
    return max(point.size for point in measurement.points)


def assume(assumed: Assumed, name: str) -> Figure:
    """A field of the table of assumptions."""
    return Figure(float(getattr(assumed, name)), assumed=frozenset({name}))


def line_cost(lines: Lines, assumed: Assumed, rate: Figure | float) -> Figure:
    """Processor seconds of one line at a rate a second, interpolated between the two measured lengths."""
    part = (assumed.line_bytes - SHORT_LINE) / (LONG_LINE - SHORT_LINE)
    short, long = lines.each("node.delivery_100", rate), lines.each("node.delivery_1000", rate)
    weight = Figure(part, assumed=frozenset({"line_bytes"}))
    if part == 0:
        return short
    return long if part == 1 else short * (1 - weight) + long * weight


def delay_name(target: Target) -> str:
    """The measured delay for the target's part of all deliveries, at the length nearer to the assumed one."""
    longer = target.assumed.line_bytes > (SHORT_LINE + LONG_LINE) / 2
    percentile = PERCENTILES[target.deliveries.part_within]
    return f"node.delivery_{percentile}_{LONG_LINE if longer else SHORT_LINE}"
