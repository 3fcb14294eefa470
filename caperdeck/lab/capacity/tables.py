"""The tables in Markdown."""

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
"""Begins the note of what `caperdeck lab slopes --small` has measured."""


def table(heading: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    lines = ["| " + " | ".join(heading) + " |", "| " + " | ".join("---" for _ in heading) + " |"]
    return lines + ["| " + " | ".join(row) + " |" for row in rows]


def markdown(report: Report) -> str:
    """All tables, as they stand on the page."""
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
    record = report.record
    lines = [f"Lines taken {_provenance(record.provenance)}."]
    merged: dict[Provenance, list[str]] = {}
    for each in record.measurements:
        if each.provenance is not None:
            merged.setdefault(each.provenance, []).append(each.name)
    for provenance, names in merged.items():
        lines.append(f"\nBut {', '.join(names)}: taken {_provenance(provenance)}.")
    if any(each.note.startswith(SMALL_SIZES_NOTE) for each in record.measurements):
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
            each.name,
            _count(each.processes, each.met),
            format_figure(each.reached, each.unit),
            format_bound(each.bound, each.unit),
            format_extrapolation(each.processes),
            format_origin(each.processes),
        )
        for each in sizing.conditions
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
    return table(heading, [_fault(each) for each in faults])


def _fault(each: Fault) -> tuple[str, ...]:
    read = (each.core_seconds, each.seconds_until_served, each.memory_bytes, each.detected_after_s)
    furthest = max(read, key=lambda figure: figure.extrapolation)
    return (
        each.name,
        format_figure(each.per_year, ""),
        format_figure(each.returning_connections, ""),
        format_figure(each.returning_per_process, ""),
        format_figure(each.returning_per_s, "/s"),
        format_figure(each.core_seconds, "s"),
        format_figure(each.seconds_until_served, "s"),
        format_figure(each.memory_bytes, "B"),
        format_figure(each.files_to_change, ""),
        each.detected_by,
        format_figure(each.detected_after_s, "s"),
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
    return table(heading, [_rank(place, rank) for place, rank in enumerate(ranks, 1)])


def _rank(place: int, rank: Rank) -> tuple[str, ...]:
    worst = format_bound_ratio(rank.bound_ratio) or (NOT_MEASURED if rank.not_measured else "no bound")
    return (
        str(place),
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
            each.what,
            format_amount(each.expected, each.unit),
            format_figure(each.found, each.unit),
            "" if each.found.value is None else format_number(each.found.value / each.expected),
            format_extrapolation(each.found),
        )
        for each in report.expected
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
    found = {each.name: each for each in report.record.measurements}
    heading = ("measurement", "what", "unit", "against", "fixed", "slope", "r²", "largest size", "from")
    names = [*MEASUREMENT_NAMES, *(name for name in found if name not in MEASUREMENT_NAMES)]
    rows = [_measurement(found[name]) if name in found else _unmeasured(name) for name in names]
    return table(heading, rows)


def _measurement(each: Measurement) -> tuple[str, ...]:
    line = each.line
    return (
        each.name,
        each.what,
        each.unit,
        each.against,
        format_number(line.fixed),
        format_number(line.slope),
        f"{line.r_squared:.3f}" if line.fits else f"**{line.r_squared:.3f}**",
        format_number(largest_size(each)),
        each.source.value,
    )


def _unmeasured(name: str) -> tuple[str, ...]:
    return (name, NOT_MEASURED, *[""] * 7)
