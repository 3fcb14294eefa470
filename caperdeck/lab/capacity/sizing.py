"""How many node processes a machine must run.

The rule: the least number for which, with the largest zone lost and its load on the rest,
1. the steady load stays under the assumed share of a reactor,
2. the target's part of the deliveries passes the node within the assumed part of a delivery's time,
3. the zone's connections, back at the rest all at once, are served within the assumed time.
Each condition gives a number by itself; the largest of them counts.
"""

from __future__ import annotations

import math

import msgspec

from caperdeck.lab.slopes.record import Measurement

from .figure import Figure, figure, largest
from .lines import Lines, assume, delay_name, largest_size
from .load import Load, crowd_seconds, load_of, utilisation, zone_machines
from .target import Target

MOST_PROCESSES = 256  # a machine; a condition that more cannot meet either is said to fail


class Condition(msgspec.Struct, frozen=True):
    """One condition of the rule."""

    name: str
    processes: Figure  # the least number that meets it; MOST_PROCESSES where none does
    unit: str  # of the next two
    reached: Figure  # what it comes to with that many
    bound: Figure
    met: bool  # False also where it is not measured


class Sizing(msgspec.Struct, frozen=True):
    conditions: tuple[Condition, ...]
    processes: Figure  # a machine; the largest of the conditions that are measured

    @property
    def complete(self) -> bool:
        return all(each.met for each in self.conditions)


def size(target: Target, lines: Lines) -> Sizing:
    found = (_by_utilisation(target, lines), _by_delay(target, lines), _by_crowd(target, lines))
    # Without the steady load a number would say nothing; without one of the others it is a lower bound.
    steady, *others = (condition.processes for condition in found)
    known = [each for each in others if each.value is not None]
    processes = steady if steady.value is None else largest([steady, *known])
    return Sizing(found, processes)


def _with_zone_lost(target: Target, processes: float) -> Load:
    return load_of(target, processes, machines_lost=zone_machines(target))


def _by_utilisation(target: Target, lines: Lines) -> Condition:
    def reached(processes: int) -> Figure:
        return utilisation(target, lines, _with_zone_lost(target, processes))

    bound = assume(target.assumed, "utilisation")
    return _least("steady load with a zone lost, of a reactor", "", reached, bound)


def _by_crowd(target: Target, lines: Lines) -> Condition:
    def reached(processes: int) -> Figure:
        load = _with_zone_lost(target, processes)
        crowd = load.connections - load_of(target, processes).connections
        return crowd_seconds(target, lines, load, crowd)

    return _least(
        "a zone's connections back at the rest", "s", reached, assume(target.assumed, "back_within")
    )


def _by_delay(target: Target, lines: Lines) -> Condition:
    bound = assume(target.assumed, "delay_part") * target.deliveries.within
    rate = delay_rate(target, lines, bound)

    def reached(processes: int) -> Figure:
        return _with_zone_lost(target, processes).lines

    return _least("deliveries a second with a zone lost, in time", "/s", reached, rate)


def delay_rate(target: Target, lines: Lines, bound: Figure) -> Figure:
    """The highest rate of lines at a process whose delay, for the target's part, is within a bound.

    Where a measured rate is past the bound, the highest one below it counts (0 where there is none).
    Where none is, the line through the delays is stretched to the bound; a line that does not rise
    gives no bound.
    """
    name = delay_name(target)
    found = lines.find(name)
    sources = frozenset({name})
    if found is None:
        return Figure(None, missing=sources)
    points = sorted(found.points, key=lambda point: point.size)
    slow = [point.size for point in points if point.cost > bound.value]
    if slow:
        rate = max((point.size for point in points if point.size < slow[0]), default=0.0)
        return Figure(rate, 1.0, sources, assumed=bound.assumed, computed=True)
    rate = _rate_on_line(found, bound.value)
    bent = frozenset() if found.line.fits else sources
    return Figure(rate, rate / largest_size(found), sources, assumed=bound.assumed, bent=bent, computed=True)


def _rate_on_line(found: Measurement, bound: float) -> float:
    line = found.line
    return (bound - line.fixed) / line.slope if line.slope > 0 else math.inf


def _least(name: str, unit: str, reached, bound: Figure) -> Condition:
    """The least number of processes with which what is reached stays within a bound."""
    for processes in range(1, MOST_PROCESSES + 1):
        value = reached(processes)
        if value.value is None or bound.value is None:
            missing = value.missing | bound.missing
            return Condition(name, Figure(None, missing=missing), unit, value, bound, met=False)
        if value.value <= bound.value:
            break
    count = Figure(
        float(processes),
        max(value.stretch, bound.stretch),
        value.measured | bound.measured,
        assumed=value.assumed | bound.assumed,
        bent=value.bent | bound.bent,
        computed=True,
    )
    return Condition(name, count, unit, value, bound, met=value.value <= bound.value)


def settled(sizing: Sizing) -> Figure:
    """The number of processes as a given one: its sources stand in the table of the rule."""
    return figure(sizing.processes).settled()
