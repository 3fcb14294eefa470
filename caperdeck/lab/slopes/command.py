"""`caperdeck lab slopes`: measures what each part costs, fits the lines, and keeps the record.

A part is a module of this package with `measure(small, say) -> list[Measurement]`. PARTS names them all.
"""

from __future__ import annotations

import importlib
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec

from . import record as records
from .errors import InputError, MeasurementError
from .line import FitError
from .record import Measurement, Provenance, Record
from .table import rows

ProgressCallback = Callable[[str], None]
Measure = Callable[[bool, ProgressCallback], list[Measurement]]

PARTS = {  # the part, and the module that measures it
    "memory": "memory",
    "connections": "connections",
    "deliveries": "deliveries",
    "hosts": "host_list",
    "membership": "membership",
    "owned": "owned_work",
    "agreement": "agreement",
    "configuration": "configuration",
    "distribution": "distribution",
}
SMALL = "small sizes; "  # begins the note of what was measured with --small


def run(
    out: str | None, only: str | None, small: bool, progress: ProgressCallback, merge: bool = False
) -> None:
    """Measures the parts one after the other and writes the record after each.

    `merge`: into the record that is there, of whatever revision and machine; what is measured then carries
    its own. Raises InputError before anything is measured, MeasurementError for a part that gave nothing to
    go by.
    """
    chosen = chosen_parts(only)
    functions = [(name, function_of(name)) for name in chosen]
    # the revision is that of the start: a record that is kept in the work tree changes it
    revision = records.revision()
    destination = destination_of(out, only, small, merge, revision)
    measured: list[Measurement] = []
    for name, measure in functions:
        progress(f"part {name}")
        try:
            measured += [marked(each, small) for each in measure(small, progress)]
        except FitError as error:
            raise MeasurementError(f"part {name}: {error}") from None
        if destination is not None:
            destination.write(measured, revision)
    for row in rows(measured):
        progress(row)
    if out is not None:
        progress(f"written: {out}")


class Destination(NamedTuple):
    """The file of the record, with what it has of earlier runs."""

    path: str
    old: Record | None  # what is measured is merged into it; None: it becomes a record of this run
    kept: list[Measurement]

    def write(self, measured: list[Measurement], revision: str) -> None:
        if self.old is None:
            made = records.make_record(merged(self.kept, measured))
            records.write_record(self.path, msgspec.structs.replace(made, revision=revision))
            return
        provenance = Provenance(records.now(), revision, records.this_machine())
        new = [msgspec.structs.replace(each, provenance=provenance) for each in measured]
        together = tuple(merged(self.kept, new))
        records.write_record(self.path, msgspec.structs.replace(self.old, measurements=together))


def destination_of(
    out: str | None, only: str | None, small: bool, merge: bool, revision: str,
) -> Destination | None:  # fmt: skip
    """Raises InputError."""
    if out is None:
        if merge:
            raise InputError("--merge: into which record? --out is not given")
        return None
    check_writable(out)
    if merge:
        old = earlier(out, small)
        if old is None:
            raise InputError(f"--merge: there is no {out}")
        return Destination(out, old, list(old.measurements))
    return Destination(out, None, kept_measurements(out, revision, small) if only is not None else [])


def chosen_parts(only: str | None) -> list[str]:
    """All parts, or those of a list with commas, in the order of PARTS."""
    if only is None:
        return list(PARTS)
    wanted = [name.strip() for name in only.split(",")]
    for name in wanted:
        if name not in PARTS:
            raise InputError(f"--only: {name or 'nothing'} is no part; there are {', '.join(PARTS)}")
    return [name for name in PARTS if name in wanted]


def function_of(part: str) -> Measure:
    """The function that measures a part; raises InputError where its module is not there."""
    module = f"{__package__}.{PARTS[part]}"
    try:
        return importlib.import_module(module).measure
    except ModuleNotFoundError as error:
        if error.name != module:
            raise
        raise InputError(f"part {part}: there is no module {module}") from None


def check_writable(out: str) -> None:
    """Raises InputError for a place that no record can be written to, before minutes are spent."""
    path = Path(out)
    if path.is_dir() or not path.parent.is_dir():
        raise InputError(f"--out: {out} is no place for a file")


def kept_measurements(out: str, revision: str, small: bool) -> list[Measurement]:
    """What the file has from earlier runs; raises InputError unless they fit with this one."""
    old = earlier(out, small)
    if old is None:
        return []
    if old.revision != revision:
        raise InputError(f"{out} is of revision {old.revision}, this is {revision}")
    if old.machine != records.this_machine():
        raise InputError(f"{out} was measured on another machine")
    return list(old.measurements)


def earlier(out: str, small: bool) -> Record | None:
    """The record that is there, if any; raises InputError for what is none, and for other sizes."""
    if not Path(out).exists():
        return None
    try:
        old = records.read_record(out)
    except records.RecordError as error:
        raise InputError(str(error)) from None
    if any(each.note.startswith(SMALL) is not small for each in old.measurements):
        raise InputError(f"{out} was measured {'at full size' if small else 'with --small'}")
    return old


def marked(each: Measurement, small: bool) -> Measurement:
    return msgspec.structs.replace(each, note=SMALL + each.note) if small else each


def merged(kept: Sequence[Measurement], measured: Sequence[Measurement]) -> list[Measurement]:
    """What was measured, beside what was kept under other names."""
    names = {each.name for each in measured}
    return [each for each in kept if each.name not in names] + list(measured)
