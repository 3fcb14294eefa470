"""Cost of agreement (Raft): entries committed by three instances, and an instance's start.

Processor time, bytes on disk and times are of real instances as processes on loopback, which are told to put
entries by calls, as nodes and operators reach them. Bytes on the network cannot be read for one process from
outside: they are counted on three instances in virtual time, by the length of the encoded messages.
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

from .instances import CLUSTER, Caller, InstanceError, Instances
from .line import Point
from .record import Measurement, Source, make_measurement

INSTANCES = 3
AT_ONCE = 16  # proposals that wait for their answers
ENTRY = 200  # bytes of state in an entry, where its size is not what is varied
WORK, HOLDER = "slopes", "rig"
TRIES = 5  # of a batch, if the leader changes in it
MICROSECOND = 1e-6
LONGEST_COMMIT = 60_000_000  # microseconds that the histogram reaches to
SIGNIFICANT = 3  # digits of it
NOT_YET = 3000.0  # milliseconds of virtual time until a leader is there
STEP = 1.0  # milliseconds of virtual time between two checks
LONGEST_RUN = 600_000.0  # milliseconds of virtual time
ON_THE_WAY = (0.5, 0.5)  # milliseconds that a message takes in virtual time: all alike, so none overtakes
SEED = 3


class Sizes(NamedTuple):
    entries: tuple[int, ...]  # proposed, of ENTRY bytes each
    states: tuple[int, ...]  # bytes of state in an entry
    batch: int  # entries of each of these sizes
    alone: int  # of these, committed one after the other for their time
    tables: tuple[int, ...]  # bytes of state of each of MOST_WORKS works
    starts: int


FULL = Sizes(
    (125, 250, 500, 1000, 2000), (100, 2000, 8000, 16_000, 32_000, 48_000), 400, 200,
    (0, 8000, 16_000, 32_000, 64_000), 5,
)  # fmt: skip
SMALL = Sizes((10, 20, 30, 40), (100, 1000, 2000, 4000), 10, 5, (0, 1000, 2000, 4000), 1)


class LeaderChangedError(Exception):
    """The leader has changed, and what became of a proposal is not known."""


class Batch(NamedTuple):
    """What a number of entries cost the leader."""

    size: int  # bytes of an entry's command
    cpu: float  # seconds
    written: int  # bytes
    took: float  # seconds
    median: float  # seconds from a proposal to its answer


class Cluster:
    """Three instances that agree, and proposals to the leader."""

    def __init__(self, instances: Instances) -> None:
        self.instances = instances
        self.client = 0

    def commit(self, entries: int, state: int, at_once: int) -> Batch:
        """One batch; another one where the leader has changed. Raises InstanceError after TRIES."""
        last: Exception | None = None
        for _ in range(TRIES):
            try:
                return self._commit(entries, state, at_once)
            except (LeaderChangedError, OSError) as error:
                last = error
        raise InstanceError(f"{entries} entries did not all stand in {TRIES} batches, in the last: {last}")

    def _commit(self, entries: int, state: int, at_once: int) -> Batch:
        leader = self.instances.leader()
        process = self.instances.processes[leader]
        self.client += 1
        with Caller(self.instances.addresses[leader]) as caller:
            acquire = {"do": "acquire", "work": WORK, "holder": HOLDER, "span": MAX_SPAN_MS}
            token = _stood(caller.call_all([self._propose(acquire, 1)], 1))[0]["token"]
            save = {"do": "save", "work": WORK, "token": token, "state": "x" * state}
            bodies = [self._propose(save, serial) for serial in range(2, entries + 2)]
            cpu, written, began = process.cpu(), process.written(), time.perf_counter()
            times = _call_timed(caller, bodies, at_once)
            took = time.perf_counter() - began
            cpu, written = process.cpu() - cpu, process.written() - written
        return Batch(len(orjson.dumps(save)), cpu, written, took, times)

    def _propose(self, command: dict[str, Any], serial: int) -> dict[str, Any]:
        return {"do": "propose", "command": command, "client": self.client, "serial": serial}


def _call_timed(caller: Caller, bodies: list[dict[str, Any]], at_once: int) -> float:
    """Proposes all; the median of seconds from a proposal to its answer, which must be that it stands."""
    histogram = HdrHistogram(1, LONGEST_COMMIT, SIGNIFICANT)
    sent_at: list[float] = []

    def noted() -> Iterator[dict[str, Any]]:
        for body in bodies:
            sent_at.append(time.perf_counter())
            yield body

    def answered(number: int) -> None:
        took = time.perf_counter() - sent_at[number]
        histogram.record_value(max(round(took / MICROSECOND), 1))

    _stood(caller.call_all(noted(), at_once, answered))
    return histogram.get_value_at_percentile(50) * MICROSECOND


def _stood(answers: list[Any]) -> list[dict[str, Any]]:
    """Raises ChangedError where one is not known to stand."""
    for number, answer in enumerate(answers):
        if not isinstance(answer, dict) or "no" in answer:
            raise LeaderChangedError(f"answer {number}: {answer}")
    return answers


# ---- bytes, in virtual time


class CountedWorld(World):
    """Three instances in virtual time whose messages are counted by their length on the wire."""

    def __init__(self) -> None:
        self.sent = dict.fromkeys(range(INSTANCES), 0)  # bytes, by the sender
        super().__init__(INSTANCES, SEED, loss=0.0, double=0.0, late=ON_THE_WAY)

    def send(self, a: int, b: int, message: Any) -> None:
        self.sent[a] += LENGTH_PREFIX.size + len(encode(message, CLUSTER))
        super().send(a, b, message)


def leader_bytes_sent(entries: int, state: int) -> tuple[int, int]:
    """Bytes of an entry's command, and those that the leader sends until so many are committed."""
    world = CountedWorld()
    world.run(NOT_YET)
    leader = world.leader()
    if leader is None:
        raise InstanceError("no leader in virtual time")
    command = orjson.dumps({"do": "save", "work": WORK, "token": 1, "state": "x" * state})
    answers: list[Any] = []
    before, proposed, until = world.sent[leader.me], 0, world.now + LONGEST_RUN
    while len(answers) < entries:
        while proposed < entries and proposed - len(answers) < AT_ONCE:
            proposed += 1
            leader.driver.propose(command, 1, proposed, answers.append)
        world.run(STEP)
        if world.now > until or None in answers:
            raise InstanceError(f"{len(answers)} of {entries} entries in virtual time")
    return len(command), world.sent[leader.me] - before


# ---- an instance's start


def measure_start_time(state: int, starts: int) -> tuple[int, float]:
    """Bytes of the table in the instance's file, and seconds from its start until it answers: a median."""
    times = []
    with tempfile.TemporaryDirectory() as folder, Instances(1, Path(folder)) as instances:
        data = _table(state)
        _write_table(instances.disk(0), data)
        for _ in range(starts):
            began = time.perf_counter()
            instances.start()
            instances.wait_for_answer(0)
            times.append(time.perf_counter() - began)
            instances.processes.pop().end()
    return len(data), median(times)


def _table(state: int) -> bytes:
    table = LeaseTable()
    for number in range(MAX_WORKS):
        work = f"work-{number}"
        given = table.apply({"do": "acquire", "work": work, "holder": HOLDER, "span": MAX_SPAN_MS})
        save = {"do": "save", "work": work, "token": given["token"], "state": "x" * state}
        table.apply(save)
    return Sessions(table).dump()


def _write_table(folder: Path, data: bytes) -> None:
    members = Members((0,))
    storage = Storage(str(folder), CLUSTER, 0, members)
    storage.write(Save(1, None, 2, (), Snapshot(1, 1, members, data)))
    storage.close()


# ---- all sizes


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    sizes = SMALL if small else FULL
    measured = _in_processes(sizes, progress)
    measured += _in_virtual_time(sizes, progress)
    measured.append(_starts(sizes, progress))
    return measured


def _in_processes(sizes: Sizes, progress: Callable[[str], None]) -> list[Measurement]:
    with tempfile.TemporaryDirectory() as folder, Instances(INSTANCES, Path(folder)) as instances:
        instances.start()
        cluster = Cluster(instances)
        cluster.commit(sizes.batch, ENTRY, AT_ONCE)  # whatever is done for the first time
        by_count: dict[int, Batch] = {}
        for entries in sizes.entries:
            by_count[entries] = _said(progress, entries, cluster.commit(entries, ENTRY, AT_ONCE))
        by_size = [
            _said(progress, sizes.batch, cluster.commit(sizes.batch, n, AT_ONCE)) for n in sizes.states
        ]
        alone = [_said(progress, sizes.alone, cluster.commit(sizes.alone, n, 1)) for n in sizes.states]
    return [*_by_count(by_count), *_by_size(by_size, alone, sizes)]


def _said(progress: Callable[[str], None], entries: int, batch: Batch) -> Batch:
    progress(f"agreement: {entries} entries of {batch.size} B: {batch.took:.3f} s, {batch.cpu:.2f} s of "
        f"processor time, {batch.written} B written, median {batch.median * 1000:.2f} ms")  # fmt: skip
    return batch


def _made(
    name: str, what: str, unit: str, against: str, points: list[Point], note: str,
    source: Source = Source.PROCESSES,
) -> Measurement:  # fmt: skip
    return make_measurement(f"raft.{name}", what, unit, against, source, points, note)


THREE = f"{INSTANCES} instances as processes on loopback, one disk; "
PILED = f"{AT_ONCE} proposals wait for their answers at once, so writes are shared"


def _by_count(batches: dict[int, Batch]) -> list[Measurement]:
    def points(field: str) -> list[Point]:
        return [Point(entries, float(getattr(batch, field))) for entries, batch in batches.items()]

    note = f"{THREE}{PILED}; {ENTRY} B of state an entry; the slope is the cost of one entry"
    against = "entries proposed"
    return [
        _made("commit_cpu", "processor time of the leader to commit so many entries", "s", against,
              points("cpu"), f"{note}; counted in ticks of 10 ms, heartbeats and calls among them"),
        _made("commit_disk", "bytes that the leader writes to commit so many entries", "B", against,
              points("written"), f"{note}; as handed to write(), before blocks of the disk; the file is "
              "written anew every 512 entries, in steps that the line does not have"),
        _made("commit_time", "time until so many entries are committed", "s", against, points("took"), note),
    ]  # fmt: skip


def _by_size(batches: list[Batch], alone: list[Batch], sizes: Sizes) -> list[Measurement]:
    note = f"{THREE}{PILED}; mean of {sizes.batch} entries"
    against = "bytes of an entry"
    return [
        _made("commit_cpu_by_size", "processor time of the leader an entry", "s", against,
              [Point(b.size, b.cpu / sizes.batch) for b in batches], f"{note}; counted in ticks of 10 ms"),
        _made("commit_disk_by_size", "bytes that the leader writes an entry", "B", against,
              [Point(b.size, b.written / sizes.batch) for b in batches],
              f"{note}; as handed to write(); a batch in which the file is written anew costs more"),
        _made("commit_time_by_size", "time from a proposal to the answer that it is committed", "s", against,
              [Point(b.size, b.median) for b in alone],
              f"{THREE}one proposal at a time; median of {sizes.alone}; two writes to disk are in it, one "
              "after the other's message, and the next heartbeat is not waited for"),
    ]  # fmt: skip


def _in_virtual_time(sizes: Sizes, progress: Callable[[str], None]) -> list[Measurement]:
    by_count = [Point(entries, leader_bytes_sent(entries, ENTRY)[1]) for entries in sizes.entries]
    by_size = []
    for state in sizes.states:
        size, sent = leader_bytes_sent(sizes.batch, state)
        by_size.append(Point(size, sent / sizes.batch))
        progress(f"agreement: {sent / sizes.batch:.0f} B sent an entry of {size} B, in virtual time")
    note = (
        f"{INSTANCES} instances in virtual time, nothing lost, messages {ON_THE_WAY[0]:g} ms under way, "
        f"writes 0.2 to 8 ms; {PILED}; of messages as encoded, to both others, heartbeats among them, and "
        "entries that a heartbeat sends again before they are confirmed, the more the slower the disks; "
        "without the headers of TCP and IP"
    )
    return [
        _made("commit_bytes", "bytes that the leader sends to commit so many entries", "B",
              "entries proposed", by_count, f"{note}; {ENTRY} B of state an entry", Source.VIRTUAL_TIME),
        _made("commit_bytes_by_size", "bytes that the leader sends an entry", "B", "bytes of an entry",
              by_size, f"{note}; mean of {sizes.batch} entries", Source.VIRTUAL_TIME),
    ]  # fmt: skip


def _starts(sizes: Sizes, progress: Callable[[str], None]) -> Measurement:
    points = []
    for state in sizes.tables:
        size, took = measure_start_time(state, sizes.starts)
        points.append(Point(size, took))
        progress(f"agreement: an instance starts from a table of {size} B in {took:.3f} s")
    return _made(
        "start_time", "time from an instance's start until it answers, from its file", "s",
        "bytes of the table", points,
        f"one instance, median of {sizes.starts} starts, the file in the page cache; the interpreter's own "
        f"start is in the fixed part, an election is not in it; {MAX_WORKS} works of at most "
        f"{MAX_STATE_LENGTH} B each are the largest table that there can be",
    )  # fmt: skip
