"""Evaluates the measured lines as figures; a missing measurement gives a figure without a value."""

from __future__ import annotations

import msgspec

from caperdeck.lab.slopes.record import Measurement, Record, RecordError

from .figure import Figure, figure
from .target import PERCENTILES, Assumed, Target

SHORT_LINE_BYTES, LONG_LINE_BYTES = 100, 1000  # lengths of the text lines in the measured deliveries

MEASUREMENT_NAMES = (
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
"""Every measurement that the tables depend on."""


class CostLines:
    """The fitted lines of one record: each gives a cost as a function of a size."""

    def __init__(self, record: Record) -> None:
        self.record = record

    def find(self, name: str) -> Measurement | None:
        """The measurement with a name, if the record has it."""
        try:
            return self.record.find(name)
        except RecordError:
            return None

    @property
    def missing(self) -> tuple[str, ...]:
        """Names of the measurements that the tables depend on and the record lacks."""
        return tuple(name for name in MEASUREMENT_NAMES if self.find(name) is None)

    def at(self, name: str, size: Figure | float) -> Figure:
        """The cost at a size, in the unit of the measurement; 0 where the line is negative.

        A falling line is not extrapolated past the measured sizes: there the cost at the largest size counts.
        """
        return self._evaluate(name, size, _cost)

    def at_next_measured(self, name: str, size: Figure | float) -> Figure:
        """The cost measured at the next size that is not smaller; past the largest size, that of the line."""
        found, on_line = self.find(name), self.at(name, size)
        if on_line.value is None or found is None or on_line.extrapolation > 1:
            return on_line
        points = [point for point in found.points if point.size >= figure(size).value]
        cost = min(points, key=lambda point: point.size).cost
        return msgspec.structs.replace(on_line, value=cost, nonlinear=figure(size).nonlinear)

    def share_at(self, name: str, size: Figure | float) -> Figure:
        """Like `at`, for a measurement that is a share: at most 1."""
        return self._evaluate(name, size, lambda found, value: min(_cost(found, value), 1.0))

    def per_unit(self, name: str, size: Figure | float) -> Figure:
        """The marginal cost of one unit at sizes up to `size`; at least 0."""
        return self._evaluate(name, size, lambda found, value: max(found.line.slope, 0.0))

    def fixed(self, name: str) -> Figure:
        """The cost at size 0; at least 0."""
        return self._evaluate(name, 0.0, lambda found, value: max(found.line.fixed, 0.0))

    def _evaluate(self, name: str, size: Figure | float, cost) -> Figure:
        size, found = figure(size), self.find(name)
        if found is None:
            return Figure(None, missing=size.missing | {name}, assumed=size.assumed)
        if size.value is None:
            return Figure(None, missing=size.missing, measured=frozenset({name}), assumed=size.assumed)
        return Figure(
            cost(found, size.value),
            max(size.value / largest_size(found), size.extrapolation),
            size.measured | {name},
            size.missing,
            size.assumed,
            size.nonlinear if found.line.fits else size.nonlinear | {name},
        )


def _cost(found: Measurement, size: float) -> float:
    if found.line.slope < 0 and size > largest_size(found):
        return max(found.points, key=lambda point: point.size).cost
    return max(found.line.at(size), 0.0)


def largest_size(measurement: Measurement) -> float:
    """The largest size at which the cost was measured."""
    return max(point.size for point in measurement.points)


def assumption(assumed: Assumed, name: str) -> Figure:
    """A field of the table of assumptions."""
    return Figure(float(getattr(assumed, name)), assumed=frozenset({name}))


def line_cost(lines: CostLines, assumed: Assumed, rate: Figure | float) -> Figure:
    """Processor seconds of one text line at a rate per second, interpolated between the measured lengths."""
    long_share = (assumed.line_bytes - SHORT_LINE_BYTES) / (LONG_LINE_BYTES - SHORT_LINE_BYTES)
    short, long = lines.per_unit("node.delivery_100", rate), lines.per_unit("node.delivery_1000", rate)
    weight = Figure(long_share, assumed=frozenset({"line_bytes"}))
    if long_share == 0:
        return short
    return long if long_share == 1 else short * (1 - weight) + long * weight


def delay_measurement(target: Target) -> str:
    """Name of the delay measurement for the target's percentile, at the length nearer to the assumed one."""
    longer = target.assumed.line_bytes > (SHORT_LINE_BYTES + LONG_LINE_BYTES) / 2
    percentile = PERCENTILES[target.deliveries.part_within]
    return f"node.delivery_{percentile}_{LONG_LINE_BYTES if longer else SHORT_LINE_BYTES}"
