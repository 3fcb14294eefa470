"""A run with instances and nodes in processes: publishes changes, injects faults, and measures costs."""

from __future__ import annotations

import asyncio
import resource
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec
import psutil

from caperdeck.distribution import commands
from caperdeck.distribution.document import Document, canonical
from caperdeck.lab.rig_process import VoidError
from caperdeck.lab.scale.heartbeat import HEARTBEAT_INTERVAL_S, HeartbeatMonitor
from caperdeck.lab.scale.measure import BYTES_PER_MB
from caperdeck.lab.scale.processes import ChildProcess
from caperdeck.owner.process import boottime_ms

from .instances import Instances, PublishedVersion
from .measured import (
    PROPAGATION_BOUND_S,
    InstanceCost,
    RunMeasurements,
    NodeCost,
    StatusObservation,
    PublishedChange,
)
from .plan import NORTH, NodePlan, Plan, RefusedVersion, Report, node_places, refusing_names
from .relay import RelayChild, RelayPlan

LATE_HEARTBEAT_MS = 150.0  # heartbeats that are later count as late, as in the scale run
REPORT_INTERVAL_S = 0.25  # between two reports of a process of nodes
POLL_INTERVAL_S = 0.02
START_TIMEOUT_S = 120.0
REPORTING_DELAY_S = 1.5  # time for the reports of nodes that have applied a version to reach the status
CUSTOMER_COUNT = 100  # in the document
BURST_CHANGES = 10  # published without a pause


class Settings(msgspec.Struct):
    """The parameters of a run."""

    nodes: int
    instances: int
    processes: int
    changes: int
    every: float  # seconds between two changes
    rest: float  # seconds without changes in which the idle cost is measured
    faults: tuple[str, ...]


class NodesChild(ChildProcess):
    """The parent's side of a process of nodes, with its last report."""

    def __init__(self, name: str, folder: Path, plan: Plan, measured: RunMeasurements) -> None:
        super().__init__(name, "caperdeck.lab.propagation.nodes", folder / f"{name}.log")
        self.plan, self.measured = plan, measured
        self.last: Report | None = None  # since the last start
        self.at = 0.0  # when the last report arrived, in seconds of the monotonic clock
        self.reader: Any = None

    @property
    def node_names(self) -> list[str]:
        return [node.place.name for node in self.plan.nodes]

    async def start(self) -> None:
        self.last = None
        await self.spawn()
        self.process.stdin.write(msgspec.json.encode(self.plan) + b"\n")
        self.reader = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        decode = msgspec.json.Decoder(Report).decode
        while (line := await self.process.stdout.readline()).endswith(b"\n"):
            self.last, self.at = decode(line), time.monotonic()
            self.measured.applied_versions += self.last.put
            self.measured.initial_versions += self.last.begun

    async def kill(self) -> None:
        await super().kill()
        if self.reader is not None:
            with suppress(asyncio.CancelledError):
                await self.reader


class CostSpan:
    """Measures the resources that nodes and instances use in a span of time."""

    def __init__(self, run: PropagationRun) -> None:
        self.run = run
        self.nodes = [(child.at, child.last) for child in run.children]
        self.cpu, self.began = run.instances_cpu(), time.monotonic()

    def end(self, name: str) -> None:
        """Adds the costs since the start of the span to the measurements."""
        run, measured, count = self.run, self.run.measured, self.run.settings.nodes
        cpu = bytes_per_second = seconds = 0.0
        for (at, before), child in zip(self.nodes, run.children, strict=True):
            span = max(child.at - at, 1e-9)
            seconds = max(seconds, span)
            cpu += (child.last.cpu - before.cpu) / span
            bytes_per_second += (stream_bytes(child.last) - stream_bytes(before)) / span
        memory = sum(psutil.Process(c.pid).memory_full_info().uss - c.last.base_uss for c in run.children)
        measured.node_costs.append(
            NodeCost(name, seconds, cpu / count, bytes_per_second / count, memory / count / BYTES_PER_MB)
        )
        span, after = time.monotonic() - self.began, run.instances_cpu()
        core_shares = [(after[i] - self.cpu[i]) / span for i in after if i in self.cpu]
        measured.instance_costs.append(InstanceCost(name, max(core_shares), run.instances_memory()))


def stream_bytes(report: Report) -> int:
    """Payload of streams in both directions."""
    return report.traffic.stream_bytes_in + report.traffic.stream_bytes_out


def document_of(change: int, **settings: Any) -> Document:
    """The document after a number of changes, each of which renames one customer."""
    customers = [{"name": f"customer-{i}"} for i in range(CUSTOMER_COUNT)]
    customers[change % CUSTOMER_COUNT] = {"name": f"customer-{change % CUSTOMER_COUNT}-{change}"}
    return {"settings": {"projects": customers} | settings}


Fault = Callable[["PropagationRun"], Awaitable[None]]  # injects the fault and publishes changes


class PropagationRun:
    """Runs all phases and faults and collects the measurements."""

    def __init__(
        self, settings: Settings, report_progress: Callable[[str], None], faults: dict[str, Fault]
    ) -> None:
        self.settings, self.report_progress, self.faults = settings, report_progress, faults
        self.places = node_places(settings.nodes)
        files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.measured = RunMeasurements(
            settings.nodes, settings.instances, settings.processes, len(canonical(document_of(1))), files,
            node_names=[place.name for place in self.places],
        )  # fmt: skip
        self.children: list[NodesChild] = []
        self.relay: RelayChild | None = None
        self.heartbeat = HeartbeatMonitor(LATE_HEARTBEAT_MS)
        self.changes = 0  # number of published changes
        self.faulty_instances: set[int] = set()  # instances that were killed or stopped

    def run(self) -> RunMeasurements:
        """Runs everything; raises VoidError if the test rig itself failed."""
        return asyncio.run(self._run_in_folder())

    async def _run_in_folder(self) -> RunMeasurements:
        began, measured = time.monotonic(), self.measured
        with tempfile.TemporaryDirectory(prefix="caperdeck-in-force-") as folder:
            self.folder = Path(folder)
            self.instances = Instances(self.settings.instances, self.folder)
            beating = asyncio.ensure_future(self._beat())
            try:
                await self._run_phases()
                await self._record_end()
            finally:
                beating.cancel()
                await self._close()
        measured.seconds = time.monotonic() - began
        return measured

    async def _beat(self) -> None:
        self.heartbeat.reset(time.monotonic())
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.heartbeat.record_beat(time.monotonic())

    async def _run_phases(self) -> None:
        await self._start()
        await self._measure_idle()
        await self._run_changes()
        await self._run_burst()
        for fault in self.settings.faults:
            await self.faults[fault](self)

    # ---- start and end

    async def _start(self) -> None:
        settings, measured = self.settings, self.measured
        self.report_progress(f"start: {settings.instances} instances, {settings.nodes} nodes")
        if "region-cut" in settings.faults:
            self.relay = RelayChild(self.folder)
            await self.relay.start(RelayPlan(self.instances.places_with_addresses()))
        self.instances.write_files(self.relay_addresses)
        await self.instances.start_all()
        await self.instances.publish(document_of(0))
        began = time.monotonic()
        self.children = [
            NodesChild(f"nodes{i}", self.folder, self._plan(i), measured) for i in range(settings.processes)
        ]  # fmt: skip
        for child in self.children:
            await child.start()
        if not await self.wait_until(
            lambda: all(c.last and c.last.ready for c in self.children), START_TIMEOUT_S
        ):
            raise VoidError(f"not all nodes were current within {START_TIMEOUT_S:g} s")
        measured.start_s = time.monotonic() - began
        self.heartbeat.reset(time.monotonic())

    def _plan(self, process: int) -> Plan:
        refusing = refusing_names(self.places) if "refuse" in self.settings.faults else set()
        nodes = [
            NodePlan(place, str(self.folder / place.name), place.name in refusing)
            for place in self.places[process :: self.settings.processes]
        ]
        for node in nodes:
            Path(node.folder).mkdir()
        instances = {
            place.name: (place, address) for place, address in self.instances.places_with_addresses()
        }
        return Plan(nodes, instances, LATE_HEARTBEAT_MS, REPORT_INTERVAL_S, self.relay_addresses)

    @property
    def relay_addresses(self) -> dict[str, str]:
        """Addresses, by instance name, at which the other region reaches instances through the relay."""
        return self.relay.addresses if self.relay is not None else {}

    async def _record_end(self) -> None:
        measured = self.measured
        measured.current_nodes = measured.nodes - len(self.uncurrent())
        measured.refused_versions = self.refused()
        measured.watches = await self.instances.watches()
        rig_processes = [*self.children, *([self.relay] if self.relay else [])]
        measured.dead_processes = self.instances.dead() + [
            child.name for child in rig_processes if not child.alive
        ]
        measured.lateness = {child.name: child.last.late for child in self.children} | {
            "run": self.heartbeat.stats
        }

    async def _close(self) -> None:
        for child in self.children:
            await child.kill()
        await self.instances.close()
        if self.relay is not None:
            await self.relay.kill()

    # ---- last reports of the nodes

    def uncurrent(self) -> list[str]:
        return [name for child in self.children for name in child.last.uncurrent]

    def stale(self) -> list[str]:
        return [name for child in self.children for name in child.last.stale]

    def refused(self) -> list[RefusedVersion]:
        return [row for child in self.children if child.last for row in child.last.refused]

    def names_in(self, region: str) -> list[str]:
        return [place.name for place in self.places if place.region == region]

    async def wait_until(self, condition: Callable[[], bool], seconds: float) -> bool:
        """Polls a condition; returns False after the time limit, raises VoidError if a process ended."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return True
            if ended := [child for child in self.children if child.process is not None and not child.alive]:
                raise VoidError(f"{ended[0].name} ended: {ended[0].log.read_bytes()[-300:]!r}")
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    # ---- costs

    def instances_cpu(self) -> dict[int, float]:
        """Processor time in seconds, by process id."""
        return {p.pid: sum(p.cpu_times()[:2]) for p in self._instances()}

    def instances_memory(self) -> float:
        return max(p.memory_full_info().uss for p in self._instances()) / BYTES_PER_MB

    def _instances(self) -> list[psutil.Process]:
        alive = [p for p in self.instances.processes.values() if p.returncode is None]
        return [psutil.Process(p.pid) for p in alive]

    async def _measure_idle(self) -> None:
        if not self.settings.rest:
            return
        self.report_progress(f"at rest: {self.settings.rest:g} s")
        span = CostSpan(self)
        await asyncio.sleep(self.settings.rest)
        span.end("at rest")

    # ---- changes

    async def publish(
        self, phase: str, node_names: list[str] | None = None, **settings: Any
    ) -> PublishedVersion:
        """Publishes a change with additional settings, which these nodes have to apply; None for all."""
        self.changes += 1
        published = await self.instances.publish(document_of(self.changes, **settings))
        self.measured.published_changes.append(PublishedChange(phase, published, node_names))
        return published

    async def wait_until_applied(self, published: PublishedVersion, node_names: list[str]) -> bool:
        """Waits until these nodes have reported that they applied it, or the bound has passed."""
        pending: dict[str, None] = dict.fromkeys(node_names)
        checked = 0

        def all_applied() -> bool:
            nonlocal checked
            applied_versions = self.measured.applied_versions
            for applied in applied_versions[checked:]:
                if applied.revision >= published.revision:
                    pending.pop(applied.node, None)
            checked = len(applied_versions)
            return not pending

        return await self.wait_until(all_applied, PROPAGATION_BOUND_S + 2 * REPORT_INTERVAL_S)

    async def read_status(
        self, expected_nodes: list[str] | None = None, region: str = NORTH
    ) -> StatusObservation | None:
        """Reads the status as operators of a region do; returns None if no instance answers.

        `expected_nodes` have applied the newest version and had time to report it.
        """
        requested_at, owners = boottime_ms(), self.instances.owners[region]
        statuses = await asyncio.to_thread(commands.read_statuses, owners, commands.call_instance)
        received = [status for status in statuses.values() if status is not None]
        if not received:
            return None
        node_names = self.measured.node_names
        summary = await asyncio.to_thread(
            commands.read_summary, owners, received, node_names, commands.call_instance
        )
        refused = [RefusedVersion(name, *refusal) for name, refusal in summary.refused]
        observation = StatusObservation(
            requested_at, boottime_ms(), summary.confirmed, summary.revision, list(summary.up_to_date),
            expected_nodes or [], list(summary.stale), list(summary.not_heard), refused,
        )  # fmt: skip
        self.measured.status_observations.append(observation)
        return observation

    async def change(
        self, phase: str, during: Callable[[], Awaitable[None]] | None = None,
        node_names: list[str] | None = None, **settings: Any,
    ) -> StatusObservation | None:  # fmt: skip
        """Publishes a change and waits for it; returns the status after nodes had time to report.

        `during` is called as soon as the commit is answered.
        """
        published = await self.publish(phase, node_names, **settings)
        if during is not None:
            await during()
        await self.read_status()
        return await self.settle(published, self.measured.node_names if node_names is None else node_names)

    async def settle(self, published: PublishedVersion, node_names: list[str]) -> StatusObservation | None:
        """Waits until these nodes have applied it and had time to report; returns the status then."""
        all_applied = await self.wait_until_applied(published, node_names)
        await asyncio.sleep(REPORTING_DELAY_S)
        return await self.read_status(node_names if all_applied else None)

    async def _run_changes(self) -> None:
        self.report_progress(f"{self.settings.changes} changes, {self.settings.every:g} s apart")
        span = CostSpan(self)
        for _ in range(self.settings.changes):
            began = time.monotonic()
            await self.change("no fault")
            await asyncio.sleep(max(began + self.settings.every - time.monotonic(), 0.0))
        span.end("changes")

    async def _run_burst(self) -> None:
        self.report_progress(f"a burst of {BURST_CHANGES} changes")
        for _ in range(BURST_CHANGES - 1):
            await self.publish("burst")
        await self.change("burst")
