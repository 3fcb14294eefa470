"""Cost of agreement (Raft): entries committed by three instances, and the start of an instance.

Processor time, bytes on disk and times are of real instances as processes on loopback, which receive
proposals by calls, as from nodes and operators. Network bytes cannot be read for a single process from
outside: they are the lengths of the encoded messages of three instances in virtual time.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

import orjson
from hdrh.histogram import HdrHistogram

from caperdeck.lab.raft_simulation import World
from caperdeck.leases.table import MAX_STATE_LENGTH, MAX_SPAN_MS, MAX_WORKS, LeaseTable
from caperdeck.owner.commands import LENGTH_PREFIX
from caperdeck.raft.codec import encode
from caperdeck.raft.core import Save
from caperdeck.raft.log import Members, Snapshot
from caperdeck.raft.sessions import Sessions
from caperdeck.raft.storage import Storage

from .instances import CLUSTER, InstanceConnection, InstanceError, Instances
from .line import Point
from .record import Measurement, Source, make_measurement

INSTANCES = 3
MAX_PENDING = 16  # proposals that wait for their answers at once
STATE_BYTES = 200  # of an entry, unless its size is varied
WORK, HOLDER = "slopes", "rig"
MAX_ATTEMPTS = 5  # at a batch, if the leader changes during it
MICROSECOND_S = 1e-6
MAX_COMMIT_US = 60_000_000  # upper bound of the histogram
SIGNIFICANT_DIGITS = 3  # of the histogram
ELECTION_MS = 3000.0  # of virtual time, after which there is a leader
STEP_MS = 1.0  # of virtual time between two checks
MAX_RUN_MS = 600_000.0  # of virtual time
MESSAGE_DELAY_MS = (0.5, 0.5)  # range in virtual time; constant, so that no message overtakes another
SEED = 3


class Sizes(NamedTuple):
    """What is measured, in numbers of entries and bytes."""

    entries: tuple[int, ...]  # proposed in a batch, of STATE_BYTES each
    state_sizes: tuple[int, ...]  # bytes of state in an entry
    batch: int  # entries in a batch of each of these sizes
    sequential: int  # entries of each of these sizes proposed one after the other
    table_sizes: tuple[int, ...]  # bytes of state of each of MAX_WORKS works
    starts: int  # of an instance with each of these tables


FULL = Sizes(
    (125, 250, 500, 1000, 2000), (100, 2000, 8000, 16_000, 32_000, 48_000), 400, 200,
    (0, 8000, 16_000, 32_000, 64_000), 5,
)  # fmt: skip
SMALL = Sizes((10, 20, 30, 40), (100, 1000, 2000, 4000), 10, 5, (0, 1000, 2000, 4000), 1)


class LeaderChangedError(Exception):
    """The leader has changed, so that the outcome of a proposal is unknown."""


class Batch(NamedTuple):
    """Cost of a batch of entries at the leader."""

    size: int  # bytes of an entry's command
    cpu: float  # seconds
    written: int  # bytes
    took: float  # seconds
    median: float  # seconds from a proposal to its answer


class Cluster:
    """Proposes entries to the leader of three instances."""

    def __init__(self, instances: Instances) -> None:
        self.instances = instances
        self.client = 0

    def commit(self, entries: int, state: int, max_pending: int) -> Batch:
        """Commits a batch; repeats it if the leader changes. Raises InstanceError after MAX_ATTEMPTS."""
        last_error: Exception | None = None
        for _ in range(MAX_ATTEMPTS):
            try:
                return self._commit(entries, state, max_pending)
            except (LeaderChangedError, OSError) as error:
                last_error = error
        raise InstanceError(
            f"{entries} entries were not committed in {MAX_ATTEMPTS} batches, last error: {last_error}"
        )

    def _commit(self, entries: int, state: int, max_pending: int) -> Batch:
        leader = self.instances.wait_for_leader()
        process = self.instances.processes[leader]
        self.client += 1
        with InstanceConnection(self.instances.addresses[leader]) as connection:
            acquire = {"do": "acquire", "work": WORK, "holder": HOLDER, "span": MAX_SPAN_MS}
            token = _require_committed(connection.call_all([self._propose(acquire, 1)], 1))[0]["token"]
            save = {"do": "save", "work": WORK, "token": token, "state": "x" * state}
            bodies = [self._propose(save, serial) for serial in range(2, entries + 2)]
            cpu, written, started_at = process.cpu_seconds(), process.bytes_written(), time.perf_counter()
            median_time = _propose_all(connection, bodies, max_pending)
            took = time.perf_counter() - started_at
            cpu, written = process.cpu_seconds() - cpu, process.bytes_written() - written
        return Batch(len(orjson.dumps(save)), cpu, written, took, median_time)

    def _propose(self, command: dict[str, Any], serial: int) -> dict[str, Any]:
        return {"do": "propose", "command": command, "client": self.client, "serial": serial}


def _propose_all(connection: InstanceConnection, bodies: list[dict[str, Any]], max_pending: int) -> float:
    """Makes all proposals and returns the median seconds to an answer; raises LeaderChangedError."""
    histogram = HdrHistogram(1, MAX_COMMIT_US, SIGNIFICANT_DIGITS)
    sent_at: list[float] = []

    def timed_bodies() -> Iterator[dict[str, Any]]:
        for body in bodies:
            sent_at.append(time.perf_counter())
            yield body

    def on_answer(number: int) -> None:
        took = time.perf_counter() - sent_at[number]
        histogram.record_value(max(round(took / MICROSECOND_S), 1))

    _require_committed(connection.call_all(timed_bodies(), max_pending, on_answer))
    return histogram.get_value_at_percentile(50) * MICROSECOND_S


def _require_committed(answers: list[Any]) -> list[dict[str, Any]]:
    """Raises LeaderChangedError if a proposal is not known to be committed."""
    for number, answer in enumerate(answers):
        if not isinstance(answer, dict) or "no" in answer:
            raise LeaderChangedError(f"answer {number}: {answer}")
    return answers


# ---- bytes sent, in virtual time


class CountingWorld(World):
    """Three instances in virtual time, with the encoded length of their messages counted by sender."""

    def __init__(self) -> None:
        self.sent_bytes = dict.fromkeys(range(INSTANCES), 0)
        super().__init__(INSTANCES, SEED, loss=0.0, double=0.0, late=MESSAGE_DELAY_MS)

    def send(self, a: int, b: int, message: Any) -> None:
        self.sent_bytes[a] += LENGTH_PREFIX.size + len(encode(message, CLUSTER))
        super().send(a, b, message)


def leader_bytes_sent(entries: int, state: int) -> tuple[int, int]:
    """Bytes of an entry's command, and bytes that the leader sends to commit that many entries."""
    world = CountingWorld()
    world.run(ELECTION_MS)
    leader = world.leader()
    if leader is None:
        raise InstanceError("no leader was elected in virtual time")
    command = orjson.dumps({"do": "save", "work": WORK, "token": 1, "state": "x" * state})
    answers: list[Any] = []
    before, proposed, deadline = world.sent_bytes[leader.me], 0, world.now + MAX_RUN_MS
    while len(answers) < entries:
        while proposed < entries and proposed - len(answers) < MAX_PENDING:
            proposed += 1
            leader.driver.propose(command, 1, proposed, answers.append)
        world.run(STEP_MS)
        if world.now > deadline or None in answers:
            raise InstanceError(f"{len(answers)} of {entries} entries committed in virtual time")
    return len(command), world.sent_bytes[leader.me] - before


# ---- start of an instance


def measure_start_time(state: int, starts: int) -> tuple[int, float]:
    """Bytes of the table in the instance's file, and median seconds from its start until it answers."""
    times = []
    with tempfile.TemporaryDirectory() as folder, Instances(1, Path(folder)) as instances:
        data = _table_snapshot(state)
        _write_snapshot(instances.disk(0), data)
        for _ in range(starts):
            started_at = time.perf_counter()
            instances.start()
            instances.wait_for_answer(0)
            times.append(time.perf_counter() - started_at)
            instances.processes.pop().end()
    return len(data), median(times)


def _table_snapshot(state: int) -> bytes:
    """A snapshot of a lease table with MAX_WORKS works, each with `state` bytes."""
    table = LeaseTable()
    for number in range(MAX_WORKS):
        work = f"work-{number}"
        grant = table.apply({"do": "acquire", "work": work, "holder": HOLDER, "span": MAX_SPAN_MS})
        save = {"do": "save", "work": work, "token": grant["token"], "state": "x" * state}
        table.apply(save)
    return Sessions(table).dump()


def _write_snapshot(folder: Path, data: bytes) -> None:
    members = Members((0,))
    storage = Storage(str(folder), CLUSTER, 0, members)
    storage.write(Save(1, None, 2, (), Snapshot(1, 1, members, data)))
    storage.close()


# ---- measurements


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    """Measures commits by number and size of entries, and starts by size of the table."""
    sizes = SMALL if small else FULL
    measured = _measure_processes(sizes, progress)
    measured += _measure_virtual_time(sizes, progress)
    measured.append(_measure_starts(sizes, progress))
    return measured


def _measure_processes(sizes: Sizes, progress: Callable[[str], None]) -> list[Measurement]:
    with tempfile.TemporaryDirectory() as folder, Instances(INSTANCES, Path(folder)) as instances:
        instances.start()
        cluster = Cluster(instances)
        cluster.commit(sizes.batch, STATE_BYTES, MAX_PENDING)  # warm-up, not recorded
        by_count: dict[int, Batch] = {}
        for entries in sizes.entries:
            by_count[entries] = _report(progress, entries, cluster.commit(entries, STATE_BYTES, MAX_PENDING))
        by_size = [
            _report(progress, sizes.batch, cluster.commit(sizes.batch, n, MAX_PENDING))
            for n in sizes.state_sizes
        ]
        sequential = [
            _report(progress, sizes.sequential, cluster.commit(sizes.sequential, n, 1))
            for n in sizes.state_sizes
        ]
    return [*_measurements_by_count(by_count), *_measurements_by_size(by_size, sequential, sizes)]


def _report(progress: Callable[[str], None], entries: int, batch: Batch) -> Batch:
    progress(
        f"agreement: {entries} entries of {batch.size} B: {batch.took:.3f} s, {batch.cpu:.2f} s of processor "
        f"time, {batch.written} B written, median {batch.median * 1000:.2f} ms"
    )
    return batch


def _raft_measurement(
    name: str, what: str, unit: str, against: str, points: list[Point], note: str,
    source: Source = Source.PROCESSES,
) -> Measurement:  # fmt: skip
    return make_measurement(f"raft.{name}", what, unit, against, source, points, note)


PROCESSES_NOTE = f"{INSTANCES} instances as processes on loopback, one disk; "
PENDING_NOTE = f"{MAX_PENDING} proposals wait for their answers at once, so writes are shared"


def _measurements_by_count(batches: dict[int, Batch]) -> list[Measurement]:
    def points(field: str) -> list[Point]:
        return [Point(entries, float(getattr(batch, field))) for entries, batch in batches.items()]

    note = (
        f"{PROCESSES_NOTE}{PENDING_NOTE}; {STATE_BYTES} B of state an entry; "
        "the slope is the cost of one entry"
    )
    against = "entries proposed"
    return [
        _raft_measurement(
            "commit_cpu", "processor time of the leader to commit so many entries", "s", against,
            points("cpu"), f"{note}; counted in ticks of 10 ms, heartbeats and calls among them",
        ),
        _raft_measurement(
            "commit_disk", "bytes that the leader writes to commit so many entries", "B", against,
            points("written"), f"{note}; as handed to write(), before blocks of the disk; the file is "
            "written anew every 512 entries, in steps that the line does not have",
        ),
        _raft_measurement(
            "commit_time", "time until so many entries are committed", "s", against, points("took"), note,
        ),
    ]  # fmt: skip


def _measurements_by_size(batches: list[Batch], sequential: list[Batch], sizes: Sizes) -> list[Measurement]:
    note = f"{PROCESSES_NOTE}{PENDING_NOTE}; mean of {sizes.batch} entries"
    against = "bytes of an entry"
    return [
        _raft_measurement(
            "commit_cpu_by_size", "processor time of the leader an entry", "s", against,
            [Point(b.size, b.cpu / sizes.batch) for b in batches], f"{note}; counted in ticks of 10 ms",
        ),
        _raft_measurement(
            "commit_disk_by_size", "bytes that the leader writes an entry", "B", against,
            [Point(b.size, b.written / sizes.batch) for b in batches],
            f"{note}; as handed to write(); a batch in which the file is written anew costs more",
        ),
        _raft_measurement(
            "commit_time_by_size", "time from a proposal to the answer that it is committed", "s", against,
            [Point(b.size, b.median) for b in sequential],
            f"{PROCESSES_NOTE}one proposal at a time; median of {sizes.sequential}; two writes to disk are "
            "in it, one after the other's message, and the next heartbeat is not waited for",
        ),
    ]  # fmt: skip


def _measure_virtual_time(sizes: Sizes, progress: Callable[[str], None]) -> list[Measurement]:
    by_count = [Point(entries, leader_bytes_sent(entries, STATE_BYTES)[1]) for entries in sizes.entries]
    by_size = []
    for state in sizes.state_sizes:
        size, sent = leader_bytes_sent(sizes.batch, state)
        by_size.append(Point(size, sent / sizes.batch))
        progress(f"agreement: {sent / sizes.batch:.0f} B sent per entry of {size} B, in virtual time")
    note = (
        f"{INSTANCES} instances in virtual time, nothing lost, messages {MESSAGE_DELAY_MS[0]:g} ms under "
        f"way, writes 0.2 to 8 ms; {PENDING_NOTE}; of messages as encoded, to both others, heartbeats "
        "among them, and entries that a heartbeat sends again before they are confirmed, the more the "
        "slower the disks; without the headers of TCP and IP"
    )
    return [
        _raft_measurement(
            "commit_bytes", "bytes that the leader sends to commit so many entries", "B",
            "entries proposed", by_count, f"{note}; {STATE_BYTES} B of state an entry", Source.VIRTUAL_TIME,
        ),
        _raft_measurement(
            "commit_bytes_by_size", "bytes that the leader sends an entry", "B", "bytes of an entry",
            by_size, f"{note}; mean of {sizes.batch} entries", Source.VIRTUAL_TIME,
        ),
    ]  # fmt: skip


def _measure_starts(sizes: Sizes, progress: Callable[[str], None]) -> Measurement:
    points = []
    for state in sizes.table_sizes:
        size, took = measure_start_time(state, sizes.starts)
        points.append(Point(size, took))
        progress(f"agreement: an instance starts from a table of {size} B in {took:.3f} s")
    return _raft_measurement(
        "start_time", "time from an instance's start until it answers, from its file", "s",
        "bytes of the table", points,
        f"one instance, median of {sizes.starts} starts, the file in the page cache; the interpreter's own "
        f"start is in the fixed part, an election is not in it; {MAX_WORKS} works of at most "
        f"{MAX_STATE_LENGTH} B each are the largest table that there can be",
    )  # fmt: skip
