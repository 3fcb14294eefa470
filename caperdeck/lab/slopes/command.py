"""`caperdeck lab slopes`: measures the cost of each part, fits the lines, and writes the record.

A part is a module of this package with a function `measure(small, progress) -> list[Measurement]`. PARTS
lists all of them.
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
from .table import table_lines

ProgressCallback = Callable[[str], None]
MeasureFunction = Callable[[bool, ProgressCallback], list[Measurement]]

PARTS = {  # the part's name on the command line, and the module that measures it
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
SMALL_NOTE_PREFIX = "small sizes; "  # marks measurements taken with --small


def run(
    out: str | None, only: str | None, small: bool, progress: ProgressCallback, merge: bool = False
) -> None:
    """Measures the parts one after the other and writes the record after each.

    With `merge`, the results replace those of the existing record, whatever its revision and machine, and
    carry their own provenance. Raises InputError before anything is measured, MeasurementError for a part
    without a usable result.
    """
    chosen = select_parts(only)
    functions = [(name, load_measure_function(name)) for name in chosen]
    # Taken at the start: writing a record inside the work tree changes the revision.
    revision = records.revision()
    destination = open_destination(out, only, small, merge, revision)
    measured: list[Measurement] = []
    for name, measure in functions:
        progress(f"part {name}")
        try:
            measured += [mark_small(measurement, small) for measurement in measure(small, progress)]
        except FitError as error:
            raise MeasurementError(f"part {name}: {error}") from None
        if destination is not None:
            destination.write(measured, revision)
    for line in table_lines(measured):
        progress(line)
    if out is not None:
        progress(f"written: {out}")


class Destination(NamedTuple):
    """The file of the record, with its measurements of earlier runs."""

    path: str
    earlier: Record | None  # the record to merge into; None: the file becomes a record of this run
    kept: list[Measurement]

    def write(self, measured: list[Measurement], revision: str) -> None:
        if self.earlier is None:
            new_record = records.make_record(merge_measurements(self.kept, measured))
            records.write_record(self.path, msgspec.structs.replace(new_record, revision=revision))
            return
        provenance = Provenance(records.now(), revision, records.this_machine())
        new = [msgspec.structs.replace(measurement, provenance=provenance) for measurement in measured]
        merged = tuple(merge_measurements(self.kept, new))
        records.write_record(self.path, msgspec.structs.replace(self.earlier, measurements=merged))


def open_destination(
    out: str | None, only: str | None, small: bool, merge: bool, revision: str,
) -> Destination | None:  # fmt: skip
    """Checks the output file and reads what it holds; raises InputError if the run must not write to it."""
    if out is None:
        if merge:
            raise InputError("--merge: into which record? --out is not given")
        return None
    check_writable(out)
    if merge:
        earlier = read_earlier(out, small)
        if earlier is None:
            raise InputError(f"--merge: there is no {out}")
        return Destination(out, earlier, list(earlier.measurements))
    return Destination(out, None, kept_measurements(out, revision, small) if only is not None else [])


def select_parts(only: str | None) -> list[str]:
    """All parts, or those of a comma-separated list, in the order of PARTS."""
    if only is None:
        return list(PARTS)
    wanted = [name.strip() for name in only.split(",")]
    for name in wanted:
        if name not in PARTS:
            raise InputError(f"--only: {name or 'nothing'} is no part; there are {', '.join(PARTS)}")
    return [name for name in PARTS if name in wanted]


def load_measure_function(part: str) -> MeasureFunction:
    """Imports the module of a part; raises InputError if there is none."""
    module = f"{__package__}.{PARTS[part]}"
    try:
        return importlib.import_module(module).measure
    except ModuleNotFoundError as error:
        if error.name != module:
            raise
        raise InputError(f"part {part}: there is no module {module}") from None


def check_writable(out: str) -> None:
    """Raises InputError before the measurement starts if no record can be written to this path."""
    path = Path(out)
    if path.is_dir() or not path.parent.is_dir():
        raise InputError(f"--out: {out} is no place for a file")


def kept_measurements(out: str, revision: str, small: bool) -> list[Measurement]:
    """Measurements of earlier runs; raises InputError if revision, machine or sizes differ from this run."""
    earlier = read_earlier(out, small)
    if earlier is None:
        return []
    if earlier.revision != revision:
        raise InputError(f"{out} is of revision {earlier.revision}, this is {revision}")
    if earlier.machine != records.this_machine():
        raise InputError(f"{out} was measured on another machine")
    return list(earlier.measurements)


def read_earlier(out: str, small: bool) -> Record | None:
    """Reads the existing record, if any; raises InputError if it is invalid or of other sizes."""
    if not Path(out).exists():
        return None
    try:
        earlier = records.read_record(out)
    except records.RecordError as error:
        raise InputError(str(error)) from None
    if any(
        measurement.note.startswith(SMALL_NOTE_PREFIX) is not small for measurement in earlier.measurements
    ):
        raise InputError(f"{out} was measured {'at full size' if small else 'with --small'}")
    return earlier


def mark_small(measurement: Measurement, small: bool) -> Measurement:
    return (
        msgspec.structs.replace(measurement, note=SMALL_NOTE_PREFIX + measurement.note)
        if small
        else measurement
    )


def merge_measurements(kept: Sequence[Measurement], measured: Sequence[Measurement]) -> list[Measurement]:
    """The new measurements, after the kept ones of other names."""
    names = {measurement.name for measurement in measured}
    return [measurement for measurement in kept if measurement.name not in names] + list(measured)
