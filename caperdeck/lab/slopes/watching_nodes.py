"""Processes of nodes that watch one instance, as a measurement starts, reads and ends them.

The process is that of `caperdeck lab in-force`: each of its nodes has the watch, the connection and the
version file of `caperdeck serve --control`, without a service behind them.
"""

from __future__ import annotations

import subprocess
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import msgspec

from caperdeck.distribution.publisher_selection import Place
from caperdeck.lab.propagation.plan import NodePlan, Plan, Report
from caperdeck.lab.propagation.run import stream_bytes
from caperdeck.state.addresses import Address

from .bench import POLL_INTERVAL_S, spawn_module
from .errors import MeasurementError
from .process import unique_set_size, processor_seconds

MODULE = "caperdeck.lab.propagation.nodes"
LATE_BEAT = 150.0  # milliseconds, from which the process counts a beat of its own as late
REPORT_EVERY = 0.1  # seconds
ZONE, REGION = "z0", "north"
WAIT = 60.0  # seconds for whatever is waited for


class NodesSample(NamedTuple):
    """What all nodes of a process have used since its start."""

    at: float  # seconds of the monotonic clock
    cpu: float  # seconds
    bytes: int  # to and from the instance, without headers


class NodesProcess:
    """One process with some of the nodes."""

    def __init__(self, plan: Plan, log: Path) -> None:
        self.names = [node.place.name for node in plan.nodes]
        self.revisions: dict[str, int] = dict.fromkeys(self.names, 0)  # in force, by node
        self.report: Report | None = None
        self.reported_at = 0.0
        self.log = log
        with open(log, "wb") as output:
            self.popen = spawn_module([MODULE], stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=output)
        self.popen.stdin.write(msgspec.json.encode(plan) + b"\n")
        self.popen.stdin.flush()
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()

    def _read(self) -> None:
        decode = msgspec.json.Decoder(Report).decode
        while (line := self.popen.stdout.readline()).endswith(b"\n"):
            report = decode(line)
            for each in report.put:
                self.revisions[each.node] = each.revision
            self.report, self.reported_at = report, time.monotonic()

    @property
    def ready(self) -> bool:
        return self.report is not None and self.report.ready

    def check(self) -> None:
        """Raises MeasurementError if it has ended by itself."""
        if self.popen.poll() is not None:
            said = self.log.read_text(encoding="utf-8", errors="replace").strip()[-200:]
            raise MeasurementError(f"a process of nodes ended: {said}")

    def sample(self) -> NodesSample:
        """As of the next report."""
        asked = time.monotonic()
        wait_for(lambda: self.reported_at > asked, self.check, "no report of nodes")
        return NodesSample(self.reported_at, self.report.cpu, stream_bytes(self.report))

    def memory(self) -> int:
        """Bytes of all its nodes, without the interpreter and the program."""
        return unique_set_size(self.popen.pid) - self.report.base_uss

    def end(self) -> None:
        self.popen.kill()
        self.popen.wait()
        self.reader.join()
        self.popen.stdin.close()
        self.popen.stdout.close()


class WatchingNodes:
    """So many nodes in some processes, within its `with` block; all watch the one instance named.

    They are of its zone and region, and know of no other.
    """

    def __init__(self, count: int, processes: int, instance: Address, folder: Path) -> None:
        self.count = count
        folder.mkdir()
        known = {"o": (Place("o", ZONE, REGION), f"{instance.host}:{instance.port}")}
        self.plans = [self._plan(range(i, count, processes), folder, known) for i in range(processes)]
        self.folder = folder
        self.processes: list[NodesProcess] = []

    @staticmethod
    def _plan(numbers: range, folder: Path, known: dict[str, tuple[Place, str]]) -> Plan:
        nodes = [NodePlan(Place(f"n{n}", ZONE, REGION), str(folder / f"n{n}")) for n in numbers]
        for node in nodes:
            Path(node.folder).mkdir()
        return Plan(nodes, known, LATE_BEAT, REPORT_EVERY)

    def __enter__(self) -> WatchingNodes:
        try:
            for number, plan in enumerate(self.plans):
                self.processes.append(NodesProcess(plan, self.folder / f"nodes-{number}.log"))
            self.wait_until(lambda process: process.ready, "not all nodes are current")
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *unused: object) -> None:
        for process in self.processes:
            process.end()

    def check(self) -> None:
        for process in self.processes:
            process.check()

    def wait_until(self, true: Callable[[NodesProcess], bool], text: str) -> None:
        """Of each process; raises MeasurementError."""
        wait_for(lambda: all(map(true, self.processes)), self.check, text)

    def wait_until_applied(self, revision: int) -> None:
        """At all nodes; raises MeasurementError."""
        self.wait_until(
            lambda process: min(process.revisions.values()) >= revision,
            f"revision {revision} is not in force at all nodes",
        )

    def samples(self) -> list[NodesSample]:
        return [process.sample() for process in self.processes]

    def memory(self) -> int:
        return sum(process.memory() for process in self.processes)


def wait_for(true: Callable[[], bool], check: Callable[[], None], text: str) -> None:
    """Raises MeasurementError, also what `check` raises."""
    until = time.monotonic() + WAIT
    while not true():
        check()
        if time.monotonic() > until:
            raise MeasurementError(f"{text} after {WAIT:g} s")
        time.sleep(POLL_INTERVAL_S)


class ProcessorMeter:
    """Processor seconds of a process from now on."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.began, self.used = time.monotonic(), processor_seconds(pid)

    def read(self) -> tuple[float, float]:
        """Seconds used, and seconds passed."""
        return processor_seconds(self.pid) - self.used, time.monotonic() - self.began
