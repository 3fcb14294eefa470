"""Writes the report as Markdown tables."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import msgspec

from caperdeck.lab.slopes.record import Measurement, Provenance

from .faults import Fault
from .figure import Figure
from .lines import MEASUREMENT_NAMES, largest_size
from .needs import MECHANISMS
from .ranking import Rank
from .report import Report
from .row import Role, Row
from .sizing import Sizing
from .target import Target
from .text import (
    NOT_MEASURED,
    format_amount,
    format_bound,
    format_bound_ratio,
    format_extrapolation,
    format_figure,
    format_number,
    format_origin,
)

SMALL_SIZES_NOTE = "small sizes; "
"""Start of the note of a measurement made by `caperdeck lab slopes --small`."""


def table(heading: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    """The lines of a Markdown table."""
    lines = ["| " + " | ".join(heading) + " |", "| " + " | ".join("---" for _ in heading) + " |"]
    return lines + ["| " + " | ".join(row) + " |" for row in rows]


def markdown(report: Report) -> str:
    """All tables, in the order of the page."""
    parts = [
        _source(report),
        ["## How many node processes", "", *_sizing(report.sizing)],
        ["## Roles"],
        *([f"### {role.title}", "", *_role(role)] for role in report.roles),
        ["## Faults", "", *_faults(report.faults)],
        ["## Worst first", "", *_ranking(report.ranking)],
        ["## Expected and found", "", *_expected(report)],
        ["## The target and what is assumed", "", *_target(report.target)],
        ["## The measured lines", "", *_measurements(report)],
    ]
    return "\n\n".join("\n".join(part) for part in parts) + "\n"


def _source(report: Report) -> list[str]:
    """When and where the lines were measured, and what is missing."""
    record = report.record
    lines = [f"Lines taken {_provenance(record.provenance)}."]
    merged: dict[Provenance, list[str]] = {}
    for measurement in record.measurements:
        if measurement.provenance is not None:
            merged.setdefault(measurement.provenance, []).append(measurement.name)
    for provenance, names in merged.items():
        lines.append(f"\nBut {', '.join(names)}: taken {_provenance(provenance)}.")
    if any(measurement.note.startswith(SMALL_SIZES_NOTE) for measurement in record.measurements):
        lines.append("**Measured at small sizes, to see that it works: the figures say nothing.**")
    if report.missing:
        lines.append(f"**{NOT_MEASURED}:** {', '.join(report.missing)}.")
    return lines


def _provenance(taken: Provenance) -> str:
    machine = taken.machine
    return (
        f"{taken.taken_at} at revision {taken.revision}: {machine.processor}, {machine.cores} cores, "
        f"{format_amount(machine.memory_bytes, 'B')}, {machine.system}, Python {machine.python}"
    )


def _sizing(sizing: Sizing) -> list[str]:
    heading = ("with a zone lost", "processes a machine", "comes to", "bound", "line stretched", "origin")
    rows = [
        (
            condition.name,
            _count(condition.processes, condition.met),
            format_figure(condition.reached, condition.unit),
            format_bound(condition.bound, condition.unit),
            format_extrapolation(condition.processes),
            format_origin(condition.processes),
        )
        for condition in sizing.conditions
    ]
    return [*table(heading, rows), "", _verdict(sizing)]


def _verdict(sizing: Sizing) -> str:
    if sizing.processes.value is None:
        return "How many node processes a machine must run is **not measured**."
    least = "" if sizing.complete else "at least "
    return f"A machine must run **{least}{format_figure(sizing.processes, '')}** node processes."


def _count(processes: Figure, met: bool) -> str:
    text = format_figure(processes, "")
    return text if met or processes.value is None else f"more than {text}"


def _role(role: Role) -> list[str]:
    heading = (
        "what",
        "kind",
        "at the target",
        "bound",
        "against the bound",
        "mechanism",
        "line stretched",
        "origin",
    )
    return table(heading, [_row(row) for row in role.rows])


def _row(row: Row) -> tuple[str, ...]:
    what = f"{row.what} ({row.note})" if row.note else row.what
    sources = row.amount if row.bound is None else row.amount + row.bound
    return (
        what,
        row.kind.value,
        format_figure(row.amount, row.unit),
        format_bound(row.bound, row.unit),
        format_bound_ratio(row.bound_ratio),
        MECHANISMS[row.need].name,
        format_extrapolation(sources),
        format_origin(row.amount),
    )


def _faults(faults: Iterable[Fault]) -> list[str]:
    heading = (
        "fault",
        "a year",
        "connections back",
        "at one process",
        "a second there",
        "of a core there",
        "all served after",
        "memory of a machine",
        "files to change at others, unless back in place",
        "who finds out",
        "after",
        "line stretched",
    )
    return table(heading, [_fault(fault) for fault in faults])


def _fault(fault: Fault) -> tuple[str, ...]:
    estimates = (fault.core_seconds, fault.seconds_until_served, fault.memory_bytes, fault.detected_after_s)
    furthest = max(estimates, key=lambda figure: figure.extrapolation)
    return (
        fault.name,
        format_figure(fault.per_year, ""),
        format_figure(fault.returning_connections, ""),
        format_figure(fault.returning_per_process, ""),
        format_figure(fault.returning_per_s, "/s"),
        format_figure(fault.core_seconds, "s"),
        format_figure(fault.seconds_until_served, "s"),
        format_figure(fault.memory_bytes, "B"),
        format_figure(fault.files_to_change, ""),
        fault.detected_by,
        format_figure(fault.detected_after_s, "s"),
        format_extrapolation(furthest),
    )


def _ranking(ranks: Iterable[Rank]) -> list[str]:
    heading = (
        "",
        "need",
        "mechanism",
        "what there is",
        "needs that stand on it",
        "worst against its bound",
        "row",
        "origin",
    )
    return table(heading, [_rank(position, rank) for position, rank in enumerate(ranks, 1)])


def _rank(position: int, rank: Rank) -> tuple[str, ...]:
    worst = format_bound_ratio(rank.bound_ratio) or (NOT_MEASURED if rank.not_measured else "no bound")
    return (
        str(position),
        rank.need.value,
        rank.mechanism,
        MECHANISMS[rank.need].location,
        str(rank.dependents),
        worst,
        rank.worst.what if rank.worst else "",
        format_origin(rank.worst.amount) if rank.worst else "",
    )


def _expected(report: Report) -> list[str]:
    rows = [
        (
            expectation.what,
            format_amount(expectation.expected, expectation.unit),
            format_figure(expectation.found, expectation.unit),
            ""
            if expectation.found.value is None
            else format_number(expectation.found.value / expectation.expected),
            format_extrapolation(expectation.found),
        )
        for expectation in report.expected
    ]
    return table(("what", "expected", "found", "found over expected", "line stretched"), rows)


def _target(target: Target) -> list[str]:
    rows = [
        ("assumed" if group == "assumed" else "target", f"{group}.{field}", f"{value:,}")
        for group, fields in msgspec.to_builtins(target).items()
        for field, value in fields.items()
    ]
    return table(("origin", "field", "value"), rows)


def _measurements(report: Report) -> list[str]:
    measured = {measurement.name: measurement for measurement in report.record.measurements}
    heading = ("measurement", "what", "unit", "against", "fixed", "slope", "r²", "largest size", "from")
    names = [*MEASUREMENT_NAMES, *(name for name in measured if name not in MEASUREMENT_NAMES)]
    rows = [_measurement(measured[name]) if name in measured else _unmeasured(name) for name in names]
    return table(heading, rows)


def _measurement(measurement: Measurement) -> tuple[str, ...]:
    line = measurement.line
    return (
        measurement.name,
        measurement.what,
        measurement.unit,
        measurement.against,
        format_number(line.fixed),
        format_number(line.slope),
        f"{line.r_squared:.3f}" if line.fits else f"**{line.r_squared:.3f}**",
        format_number(largest_size(measurement)),
        measurement.source.value,
    )


def _unmeasured(name: str) -> tuple[str, ...]:
    return (name, NOT_MEASURED, *[""] * 7)
