"""Processes of nodes that watch one instance for configuration versions, and their usage.

Each process runs the module that `caperdeck lab in-force` uses: its nodes have the watch, the connection and
the version file of `caperdeck serve --control`, without a service behind them.
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
from .process import processor_seconds, unique_set_size

MODULE = "caperdeck.lab.propagation.nodes"
LATE_BEAT_MS = 150.0  # from which the process counts a beat of its event loop as late
REPORT_INTERVAL_S = 0.1
ZONE, REGION = "z0", "north"
WAIT_TIMEOUT_S = 60.0  # for any condition


class NodesSample(NamedTuple):
    """What all nodes of a process have used since its start."""

    at: float  # seconds of the monotonic clock
    cpu: float  # seconds
    bytes: int  # to and from the instance, without headers


class NodesProcess:
    """A process with some of the nodes, which reports their state periodically."""

    def __init__(self, plan: Plan, log: Path) -> None:
        self.names = [node.place.name for node in plan.nodes]
        self.revisions: dict[str, int] = dict.fromkeys(self.names, 0)  # active revision by node
        self.report: Report | None = None
        self.reported_at = 0.0
        self.log = log
        with open(log, "wb") as output:
            self.popen = spawn_module([MODULE], stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=output)
        self.popen.stdin.write(msgspec.json.encode(plan) + b"\n")
        self.popen.stdin.flush()
        self.reader = threading.Thread(target=self._read_reports, daemon=True)
        self.reader.start()

    def _read_reports(self) -> None:
        decode = msgspec.json.Decoder(Report).decode
        while (line := self.popen.stdout.readline()).endswith(b"\n"):
            report = decode(line)
            for applied in report.put:
                self.revisions[applied.node] = applied.revision
            self.report, self.reported_at = report, time.monotonic()

    @property
    def ready(self) -> bool:
        return self.report is not None and self.report.ready

    def check(self) -> None:
        """Raises MeasurementError with the end of the log if the process has ended by itself."""
        if self.popen.poll() is not None:
            log_tail = self.log.read_text(encoding="utf-8", errors="replace").strip()[-200:]
            raise MeasurementError(f"a process of nodes ended: {log_tail}")

    def sample(self) -> NodesSample:
        """Waits for the next report and returns its usage."""
        requested_at = time.monotonic()
        wait_for(lambda: self.reported_at > requested_at, self.check, "no report of nodes")
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
    """Nodes in several processes, which run within the `with` block and all watch the same instance.

    They are in the zone and region of the instance, and know no other instance.
    """

    def __init__(self, count: int, processes: int, instance: Address, folder: Path) -> None:
        self.count = count
        folder.mkdir()
        instances = {"o": (Place("o", ZONE, REGION), f"{instance.host}:{instance.port}")}
        self.plans = [self._plan(range(i, count, processes), folder, instances) for i in range(processes)]
        self.folder = folder
        self.processes: list[NodesProcess] = []

    @staticmethod
    def _plan(numbers: range, folder: Path, instances: dict[str, tuple[Place, str]]) -> Plan:
        nodes = [NodePlan(Place(f"n{n}", ZONE, REGION), str(folder / f"n{n}")) for n in numbers]
        for node in nodes:
            Path(node.folder).mkdir()
        return Plan(nodes, instances, LATE_BEAT_MS, REPORT_INTERVAL_S)

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

    def wait_until(self, condition: Callable[[NodesProcess], bool], failure: str) -> None:
        """Waits until the condition holds for every process; raises MeasurementError."""
        wait_for(lambda: all(map(condition, self.processes)), self.check, failure)

    def wait_until_applied(self, revision: int) -> None:
        """Waits until the revision is active at all nodes; raises MeasurementError."""
        self.wait_until(
            lambda process: min(process.revisions.values()) >= revision,
            f"revision {revision} is not active at all nodes",
        )

    def samples(self) -> list[NodesSample]:
        return [process.sample() for process in self.processes]

    def memory(self) -> int:
        return sum(process.memory() for process in self.processes)


def wait_for(condition: Callable[[], bool], check: Callable[[], None], failure: str) -> None:
    """Waits until the condition holds, calling `check` before each pause.

    Raises MeasurementError after WAIT_TIMEOUT_S, and whatever `check` raises.
    """
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        check()
        if time.monotonic() > deadline:
            raise MeasurementError(f"{failure} after {WAIT_TIMEOUT_S:g} s")
        time.sleep(POLL_INTERVAL_S)


class ProcessorMeter:
    """Measures the processor time of a process from the creation of the meter on."""

    def __init__(self, pid: int) -> None:
        self.pid = pid
        self.started_at, self.used_before = time.monotonic(), processor_seconds(pid)

    def read(self) -> tuple[float, float]:
        """Processor seconds used, and seconds passed."""
        return processor_seconds(self.pid) - self.used_before, time.monotonic() - self.started_at
