"""Determines how many node processes each machine must run.

It is the smallest number for which, with the largest zone lost and its load moved to the other zones,
1. the steady load stays below the assumed share of a reactor,
2. the target's share of the deliveries passes the node within the assumed share of the delivery time,
3. the connections of the zone, if all return at once, are served within the assumed time.
Each condition gives a number; the largest of the three counts.
"""

from __future__ import annotations

import math

import msgspec

from caperdeck.lab.slopes.record import Measurement

from .figure import Figure, figure, largest
from .lines import CostLines, assumption, delay_measurement, largest_size
from .load import Load, machines_per_zone, process_load, seconds_to_reconnect, utilisation
from .target import Target

MAX_PROCESSES = 256  # on a machine; a condition that this number does not meet fails


class Condition(msgspec.Struct, frozen=True):
    """One condition with the number of processes that it needs."""

    name: str
    processes: Figure  # the smallest number that meets it; MAX_PROCESSES if none does
    unit: str  # of `reached` and `bound`
    reached: Figure  # the value with that number of processes
    bound: Figure
    met: bool  # False also if it is not measured


class Sizing(msgspec.Struct, frozen=True):
    """All conditions and the number of processes that follows from them."""

    conditions: tuple[Condition, ...]
    processes: Figure  # on each machine; the largest number of the measured conditions

    @property
    def complete(self) -> bool:
        """Whether all conditions are met; otherwise the number is a lower bound."""
        return all(condition.met for condition in self.conditions)


def size_machine(target: Target, lines: CostLines) -> Sizing:
    """Evaluates all conditions."""
    conditions = (_by_utilisation(target, lines), _by_delay(target, lines), _by_reconnects(target, lines))
    # Without the steady load no number can be given; without one of the others the result is a lower bound.
    steady, *others = (condition.processes for condition in conditions)
    known = [count for count in others if count.value is not None]
    processes = steady if steady.value is None else largest([steady, *known])
    return Sizing(conditions, processes)


def _with_zone_lost(target: Target, processes: float) -> Load:
    return process_load(target, processes, machines_lost=machines_per_zone(target))


def _by_utilisation(target: Target, lines: CostLines) -> Condition:
    def reached(processes: int) -> Figure:
        return utilisation(target, lines, _with_zone_lost(target, processes))

    bound = assumption(target.assumed, "utilisation")
    return _fewest_processes("steady load with a zone lost, of a reactor", "", reached, bound)


def _by_reconnects(target: Target, lines: CostLines) -> Condition:
    def reached(processes: int) -> Figure:
        load = _with_zone_lost(target, processes)
        reconnects = load.connections - process_load(target, processes).connections
        return seconds_to_reconnect(target, lines, load, reconnects)

    return _fewest_processes(
        "a zone's connections back at the rest", "s", reached, assumption(target.assumed, "back_within")
    )


def _by_delay(target: Target, lines: CostLines) -> Condition:
    bound = assumption(target.assumed, "delay_part") * target.deliveries.within
    rate = delay_rate(target, lines, bound)

    def reached(processes: int) -> Figure:
        return _with_zone_lost(target, processes).deliveries_per_s

    return _fewest_processes("deliveries a second with a zone lost, in time", "/s", reached, rate)


def delay_rate(target: Target, lines: CostLines, bound: Figure) -> Figure:
    """The highest rate of lines at a process whose delay, at the target's percentile, is within a bound.

    If the delay at some measured rate is over the bound, this is the highest rate below the first of these,
    or 0 if there is none. Otherwise the line through the delays is extrapolated to the bound; the rate is
    infinite if that line does not rise.
    """
    name = delay_measurement(target)
    measurement = lines.find(name)
    sources = frozenset({name})
    if measurement is None:
        return Figure(None, missing=sources)
    points = sorted(measurement.points, key=lambda point: point.size)
    too_slow = [point.size for point in points if point.cost > bound.value]
    if too_slow:
        rate = max((point.size for point in points if point.size < too_slow[0]), default=0.0)
        return Figure(rate, 1.0, sources, assumed=bound.assumed, computed=True)
    rate = _rate_on_line(measurement, bound.value)
    nonlinear = frozenset() if measurement.line.fits else sources
    return Figure(
        rate, rate / largest_size(measurement), sources, assumed=bound.assumed, nonlinear=nonlinear,
        computed=True,
    )  # fmt: skip


def _rate_on_line(measurement: Measurement, bound: float) -> float:
    line = measurement.line
    return (bound - line.fixed) / line.slope if line.slope > 0 else math.inf


def _fewest_processes(name: str, unit: str, reached, bound: Figure) -> Condition:
    """A condition with the smallest number of processes for which `reached` is within the bound."""
    for processes in range(1, MAX_PROCESSES + 1):
        value = reached(processes)
        if value.value is None or bound.value is None:
            missing = value.missing | bound.missing
            return Condition(name, Figure(None, missing=missing), unit, value, bound, met=False)
        if value.value <= bound.value:
            break
    count = Figure(
        float(processes),
        max(value.extrapolation, bound.extrapolation),
        value.measured | bound.measured,
        assumed=value.assumed | bound.assumed,
        nonlinear=value.nonlinear | bound.nonlinear,
        computed=True,
    )
    return Condition(name, count, unit, value, bound, met=value.value <= bound.value)


def machine_processes(sizing: Sizing) -> Figure:
    """The number of processes without its sources, which are printed in the table of the conditions."""
    return figure(sizing.processes).as_given()
