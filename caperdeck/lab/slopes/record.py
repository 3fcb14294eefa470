"""The JSON record of a measurement run: every measurement with its points and its fitted line."""

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
REPOSITORY_ROOT = Path(__file__).resolve().parents[3]


class RecordError(ValueError):
    """A file does not hold a valid record; the message is a single line."""


class Source(Enum):
    """How the points of a measurement were obtained."""

    PROCESSES = "processes"  # real processes on the loopback interface
    IN_PROCESS = "in process"  # production classes, called in the measuring process
    VIRTUAL_TIME = "virtual time"  # simulated clock and network


class Machine(msgspec.Struct, frozen=True):
    """The machine on which a measurement was taken."""

    cores: int
    memory_bytes: int
    processor: str
    system: str
    python: str


class Provenance(msgspec.Struct, frozen=True):
    """When, at which revision and on which machine a measurement was taken."""

    taken_at: str  # UTC, ISO 8601
    revision: str  # commit of the repository, followed by "+" if the work tree had changes
    machine: Machine


class Measurement(msgspec.Struct, frozen=True, omit_defaults=True):
    """One cost as a function of one size. `name` has the form `part.cost` and is unique within a record."""

    name: str
    what: str  # description of the cost
    unit: str  # unit of the cost: "B", "s", "B/s", "messages"
    against: str  # what the size counts: "standing connections", "hosts"
    source: Source
    points: tuple[Point, ...]
    line: Line
    note: str = ""  # conditions, limitations, and where the line does not fit
    provenance: Provenance | None = None  # set if merged into an older record; None: the record's own


class Record(msgspec.Struct, frozen=True):
    """All measurements of one run, and those of later runs merged into it.

    `taken_at`, `revision` and `machine` apply to every measurement without its own provenance.
    """

    format: int
    taken_at: str
    revision: str
    machine: Machine
    measurements: tuple[Measurement, ...]

    @property
    def provenance(self) -> Provenance:
        return Provenance(self.taken_at, self.revision, self.machine)

    def find(self, name: str) -> Measurement:
        """Returns the measurement of that name; raises RecordError if there is none."""
        for measurement in self.measurements:
            if measurement.name == name:
                return measurement
        raise RecordError(f"no measurement {name}")


def make_measurement(
    name: str, what: str, unit: str, against: str, source: Source, points: list[Point], note: str = "",
) -> Measurement:  # fmt: skip
    """Fits the line and returns the measurement; raises FitError for too few different sizes."""
    return Measurement(name, what, unit, against, source, tuple(points), fit(points), note)


def this_machine() -> Machine:
    """Describes the machine that this process runs on."""
    processor = platform.processor() or platform.machine()
    for line in Path("/proc/cpuinfo").read_text(encoding="utf-8").splitlines():
        if line.startswith("model name"):
            processor = line.partition(":")[2].strip()
            break
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES")
    return Machine(os.cpu_count() or 1, memory, processor, platform.system(), platform.python_version())


def revision() -> str:
    """Returns the commit of the work tree, with "+" if it has changes; "unknown" outside a checkout."""
    try:
        commit = _git("rev-parse", "--short=10", "HEAD")
        changed = _git("status", "--porcelain", "--untracked-files=no")
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return commit + "+" * bool(changed)


def _git(*arguments: str) -> str:
    completed = subprocess.run(
        ["git", "-C", str(REPOSITORY_ROOT), *arguments], capture_output=True, text=True, check=True
    )
    return completed.stdout.strip()


def make_record(measurements: list[Measurement]) -> Record:
    """Creates a record of this run; raises RecordError for duplicate names."""
    names = [measurement.name for measurement in measurements]
    if len(set(names)) < len(names):
        raise RecordError(f"measured twice: {', '.join(sorted({n for n in names if names.count(n) > 1}))}")
    return Record(FORMAT, now(), revision(), this_machine(), tuple(measurements))


def now() -> str:
    """Returns the current UTC time in ISO 8601, to the second."""
    return datetime.now(UTC).isoformat(timespec="seconds")


def write_record(path: str | Path, record: Record) -> None:
    """Writes the record as indented JSON."""
    encoded = msgspec.json.format(msgspec.json.encode(record), indent=1)
    Path(path).write_bytes(encoded + b"\n")


def read_record(path: str | Path) -> Record:
    """Reads a record; raises RecordError for invalid content, OSError if the file cannot be read."""
    try:
        record = msgspec.json.decode(Path(path).read_bytes(), type=Record)
    except msgspec.DecodeError as error:
        raise RecordError(f"{path}: {error}") from None
    if record.format != FORMAT:
        raise RecordError(f"{path}: format {record.format}, not {FORMAT}")
    return record
