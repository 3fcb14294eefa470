"""The record of a measuring run: every measurement with its points and its line, as one JSON file."""

from __future__ import annotations

import os
import platform
import subprocess
from datetime import UTC, datetime
from enum import Enum
from pathlib import Path

import msgspec

from .line import Line, Point, fit

FORMAT = 1
ROOT = Path(__file__).resolve().parents[3]


class RecordError(ValueError):
    """A file is no record of slopes; the message is one line."""


class Source(Enum):
    """Where the points of a measurement come from."""

    PROCESSES = "processes"  # real processes on loopback
    IN_PROCESS = "in process"  # the program's own classes, called in the measuring process
    VIRTUAL_TIME = "virtual time"  # simulated clock and network


class Machine(msgspec.Struct, frozen=True):
    """The machine that was measured on."""

    cores: int
    memory_bytes: int
    processor: str
    system: str
    python: str


class Provenance(msgspec.Struct, frozen=True):
    """When, on which text and on which machine a measurement was taken."""

    taken_at: str  # UTC, ISO 8601
    revision: str  # of the repository, with "+" if the work tree had changes
    machine: Machine


class Measurement(msgspec.Struct, frozen=True, omit_defaults=True):
    """One cost against one size. `name` is dotted, `part.cost`, and unique within a record."""

    name: str
    what: str  # the cost, in plain English
    unit: str  # of the cost: "B", "s", "B/s", "messages"
    against: str  # the size: "standing connections", "hosts"
    source: Source
    points: tuple[Point, ...]
    line: Line
    note: str = ""  # what a reader has to know: conditions, limits, where the line does not fit
    provenance: Provenance | None = None  # its own where it was merged into a record; None: the record's


class Record(msgspec.Struct, frozen=True):
    """All measurements of one run, and those of later runs that were merged into it."""

    format: int
    taken_at: str  # as in Provenance, with the next two: of all measurements without one of their own
    revision: str
    machine: Machine
    measurements: tuple[Measurement, ...]

    @property
    def provenance(self) -> Provenance:
        return Provenance(self.taken_at, self.revision, self.machine)

    def find(self, name: str) -> Measurement:
        """Raises RecordError if the record has no measurement of that name."""
        for measurement in self.measurements:
            if measurement.name == name:
                return measurement
        raise RecordError(f"no measurement {name}")


def measurement(
    name: str, what: str, unit: str, against: str, source: Source, points: list[Point], note: str = "",
) -> Measurement:  # fmt: skip
    """A measurement with its line; raises FitError where there are too few sizes."""
    return Measurement(name, what, unit, against, source, tuple(points), fit(points), note)


def this_machine() -> Machine:
    processor = platform.processor() or platform.machine()
    for row in Path("/proc/cpuinfo").read_text(encoding="utf-8").splitlines():
        if row.startswith("model name"):
            processor = row.partition(":")[2].strip()
            break
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return Machine(os.cpu_count() or 1, memory, processor, platform.system(), platform.python_version())


def revision() -> str:
    """The commit of the work tree, "unknown" outside a checkout."""
    try:
        commit = _git("rev-parse", "--short=10", "HEAD")
        changed = _git("status", "--porcelain", "--untracked-files=no")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return commit + "+" * bool(changed)


def _git(*words: str) -> str:
    done = subprocess.run(["git", "-C", str(ROOT), *words], capture_output=True, text=True, check=True)
    return done.stdout.strip()


def record(measurements: list[Measurement]) -> Record:
    """Raises RecordError for a name that stands twice."""
    names = [each.name for each in measurements]
    if len(set(names)) < len(names):
        raise RecordError(f"measured twice: {', '.join(sorted({n for n in names if names.count(n) > 1}))}")
    return Record(FORMAT, now(), revision(), this_machine(), tuple(measurements))


def now() -> str:
    return datetime.now(UTC).isoformat(timespec="seconds")


def write(path: str | Path, made: Record) -> None:
    encoded = msgspec.json.format(msgspec.json.encode(made), indent=1)
    Path(path).write_bytes(encoded + b"\n")


def read(path: str | Path) -> Record:
    """Raises RecordError for what is no record, OSError for what cannot be read."""
    try:
        made = msgspec.json.decode(Path(path).read_bytes(), type=Record)
    except msgspec.DecodeError as error:
        raise RecordError(f"{path}: {error}") from None
    if made.format != FORMAT:
        raise RecordError(f"{path}: format {made.format}, not {FORMAT}")
    return made
