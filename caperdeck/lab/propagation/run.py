"""One run: instances and nodes as processes, changes with faults beside them, and what they cost."""

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

from .instances import Instances, Published
from .measured import WITHIN, InstanceCost, Measured, NodeCost, StatusLook, Step
from .plan import NORTH, NodePlan, Plan, Refused, Report, node_places, refusing_names
from .relay import RelayChild, RelayPlan

BEAT_MS = 150.0  # a beat that comes later than this is late, as in the scale run
REPORT = 0.25  # seconds between reports of a process of nodes
LOOK = 0.02  # seconds between looks at what is waited for
START = 120.0  # seconds
WORDS = 1.5  # seconds after a version is in force in which the nodes' words come in
CUSTOMERS = 100  # in the document
BURST = 10  # changes one after the other


class Settings(msgspec.Struct):
    nodes: int
    instances: int
    processes: int
    changes: int
    every: float  # seconds between two changes
    rest: float  # seconds without changes in which the cost is measured
    faults: tuple[str, ...]


class NodesChild(ChildProcess):
    """A process of nodes, with its last report."""

    def __init__(self, name: str, folder: Path, plan: Plan, measured: Measured) -> None:
        super().__init__(name, "caperdeck.lab.propagation.nodes", folder / f"{name}.log")
        self.plan, self.measured = plan, measured
        self.last: Report | None = None  # of this life
        self.at = 0.0  # when that came, seconds
        self.reader: Any = None

    @property
    def names(self) -> list[str]:
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
            self.measured.put += self.last.put
            self.measured.begun += self.last.begun

    async def kill(self) -> None:
        await super().kill()
        if self.reader is not None:
            with suppress(asyncio.CancelledError):
                await self.reader


class CostSpan:
    """What was used from its start to its end."""

    def __init__(self, run: InForceRun) -> None:
        self.run = run
        self.nodes = [(child.at, child.last) for child in run.children]
        self.cpu, self.began = run.instances_cpu(), time.monotonic()

    def end(self, name: str) -> None:
        run, m, count = self.run, self.run.measured, self.run.settings.nodes
        cpu = size = seconds = 0.0
        for (at, before), child in zip(self.nodes, run.children, strict=True):
            span = max(child.at - at, 1e-9)
            seconds = max(seconds, span)
            cpu += (child.last.cpu - before.cpu) / span
            size += (stream_bytes(child.last) - stream_bytes(before)) / span
        memory = sum(psutil.Process(c.pid).memory_full_info().uss - c.last.base_uss for c in run.children)
        m.node_costs.append(NodeCost(name, seconds, cpu / count, size / count, memory / count / BYTES_PER_MB))
        span, after = time.monotonic() - self.began, run.instances_cpu()
        shares = [(after[i] - self.cpu[i]) / span for i in after if i in self.cpu]
        m.instance_costs.append(InstanceCost(name, max(shares), run.instances_memory()))


def stream_bytes(report: Report) -> int:
    return report.traffic.stream_bytes_in + report.traffic.stream_bytes_out


def document_of(change: int, **settings: Any) -> Document:
    """Each change renames one customer."""
    customers = [{"name": f"customer-{i}"} for i in range(CUSTOMERS)]
    customers[change % CUSTOMERS] = {"name": f"customer-{change % CUSTOMERS}-{change}"}
    return {"settings": {"projects": customers} | settings}


Fault = Callable[["InForceRun"], Awaitable[None]]  # plays it, with the changes beside it


class InForceRun:
    def __init__(self, settings: Settings, tell: Callable[[str], None], faults: dict[str, Fault]) -> None:
        self.settings, self.tell, self.faults = settings, tell, faults
        self.places = node_places(settings.nodes)
        files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.measured = Measured(
            settings.nodes, settings.instances, settings.processes, len(canonical(document_of(1))), files,
            names=[place.name for place in self.places],
        )  # fmt: skip
        self.children: list[NodesChild] = []
        self.relay: RelayChild | None = None
        self.heartbeat = HeartbeatMonitor(BEAT_MS)
        self.changes = 0  # that were published
        self.faulty: set[int] = set()  # instances that were killed or stopped

    def play(self) -> Measured:
        """Raises VoidError where the rig itself failed."""
        return asyncio.run(self._in_folder())

    async def _in_folder(self) -> Measured:
        began, m = time.monotonic(), self.measured
        with tempfile.TemporaryDirectory(prefix="caperdeck-in-force-") as folder:
            self.folder = Path(folder)
            self.instances = Instances(self.settings.instances, self.folder)
            beating = asyncio.ensure_future(self._beat())
            try:
                await self._play()
                await self._note_end()
            finally:
                beating.cancel()
                await self._close()
        m.seconds = time.monotonic() - began
        return m

    async def _beat(self) -> None:
        self.heartbeat.reset(time.monotonic())
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.heartbeat.record_beat(time.monotonic())

    async def _play(self) -> None:
        await self._start()
        await self._measure_rest()
        await self._plain_changes()
        await self._burst()
        for fault in self.settings.faults:
            await self.faults[fault](self)

    # ---- start and end

    async def _start(self) -> None:
        s, m = self.settings, self.measured
        self.tell(f"start: {s.instances} instances, {s.nodes} nodes")
        if "region-cut" in s.faults:
            self.relay = RelayChild(self.folder)
            await self.relay.start(RelayPlan(self.instances.placed()))
        self.instances.write_files(self.across)
        await self.instances.start_all()
        await self.instances.publish(document_of(0))
        began = time.monotonic()
        self.children = [
            NodesChild(f"nodes{i}", self.folder, self._plan(i), m) for i in range(s.processes)
        ]  # fmt: skip
        for child in self.children:
            await child.start()
        if not await self.until(lambda: all(c.last and c.last.ready for c in self.children), START):
            raise VoidError(f"not all nodes were current within {START:g} s")
        m.start_s = time.monotonic() - began
        self.heartbeat.reset(time.monotonic())

    def _plan(self, process: int) -> Plan:
        refusing = refusing_names(self.places) if "refuse" in self.settings.faults else set()
        nodes = [
            NodePlan(place, str(self.folder / place.name), place.name in refusing)
            for place in self.places[process :: self.settings.processes]
        ]
        for node in nodes:
            Path(node.folder).mkdir()
        named = {place.name: (place, address) for place, address in self.instances.placed()}
        return Plan(nodes, named, BEAT_MS, REPORT, self.across)

    @property
    def across(self) -> dict[str, str]:
        """By name of an instance, where whoever is in the other region reaches it, if elsewhere."""
        return self.relay.addresses if self.relay is not None else {}

    async def _note_end(self) -> None:
        m = self.measured
        m.current = m.nodes - len(self.uncurrent())
        m.refused = self.refused()
        m.watches = await self.instances.watches()
        rig = [*self.children, *([self.relay] if self.relay else [])]
        m.dead = self.instances.dead() + [child.name for child in rig if not child.alive]
        m.late = {child.name: child.last.late for child in self.children} | {"run": self.heartbeat.stats}

    async def _close(self) -> None:
        for child in self.children:
            await child.kill()
        await self.instances.close()
        if self.relay is not None:
            await self.relay.kill()

    # ---- what the nodes said last

    def uncurrent(self) -> list[str]:
        return [name for child in self.children for name in child.last.uncurrent]

    def stale(self) -> list[str]:
        return [name for child in self.children for name in child.last.stale]

    def refused(self) -> list[Refused]:
        return [row for child in self.children if child.last for row in child.last.refused]

    def names_in(self, region: str) -> list[str]:
        return [place.name for place in self.places if place.region == region]

    async def until(self, held: Callable[[], bool], seconds: float) -> bool:
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if held():
                return True
            if gone := [child for child in self.children if child.process is not None and not child.alive]:
                raise VoidError(f"{gone[0].name} ended: {gone[0].log.read_bytes()[-300:]!r}")
            await asyncio.sleep(LOOK)
        return False

    # ---- costs

    def instances_cpu(self) -> dict[int, float]:
        """Seconds of processor time, by process."""
        return {p.pid: sum(p.cpu_times()[:2]) for p in self._instances()}

    def instances_memory(self) -> float:
        return max(p.memory_full_info().uss for p in self._instances()) / BYTES_PER_MB

    def _instances(self) -> list[psutil.Process]:
        alive = [p for p in self.instances.processes.values() if p.returncode is None]
        return [psutil.Process(p.pid) for p in alive]

    async def _measure_rest(self) -> None:
        if not self.settings.rest:
            return
        self.tell(f"at rest: {self.settings.rest:g} s")
        span = CostSpan(self)
        await asyncio.sleep(self.settings.rest)
        span.end("at rest")

    # ---- changes

    async def publish(self, phase: str, names: list[str] | None = None, **settings: Any) -> Published:
        """A change, with these settings beside it, which those nodes are to have; all where None."""
        self.changes += 1
        published = await self.instances.publish(document_of(self.changes, **settings))
        self.measured.steps.append(Step(phase, published, names))
        return published

    async def in_force(self, published: Published, names: list[str]) -> bool:
        """Waits until these nodes have told that they have it, or the bound has passed."""
        waits: dict[str, None] = dict.fromkeys(names)
        seen = 0

        def everywhere() -> bool:
            nonlocal seen
            put = self.measured.put
            for each in put[seen:]:
                if each.revision >= published.revision:
                    waits.pop(each.node, None)
            seen = len(put)
            return not waits

        return await self.until(everywhere, WITHIN + 2 * REPORT)

    async def look(self, had_it: list[str] | None = None, region: str = NORTH) -> StatusLook | None:
        """The status that operators of that region have; None where no instance answers them.

        `had_it`: nodes that have the newest version, and had time to tell so.
        """
        asked, owners = boottime_ms(), self.instances.owners[region]
        known = await asyncio.to_thread(commands.read_statuses, owners, commands.call_instance)
        heard = [status for status in known.values() if status is not None]
        if not heard:
            return None
        names = self.measured.names
        said = await asyncio.to_thread(commands.read_summary, owners, heard, names, commands.call_instance)
        refused = [Refused(name, *refusal) for name, refusal in said.refused]
        look = StatusLook(
            asked, boottime_ms(), said.confirmed, said.revision, list(said.in_force), had_it or [],
            list(said.stale), list(said.not_heard), refused,
        )  # fmt: skip
        self.measured.looks.append(look)
        return look

    async def change(
        self, phase: str, beside: Callable[[], Awaitable[None]] | None = None, names: list[str] | None = None,
        **settings: Any,
    ) -> StatusLook | None:  # fmt: skip
        """`beside` happens as soon as the commit is answered. Gives the status once nodes have told of it."""
        published = await self.publish(phase, names, **settings)
        if beside is not None:
            await beside()
        await self.look()
        return await self.settle(published, self.measured.names if names is None else names)

    async def settle(self, published: Published, names: list[str]) -> StatusLook | None:
        """Waits until these nodes have it, and for their words; gives the status then."""
        everywhere = await self.in_force(published, names)
        await asyncio.sleep(WORDS)
        return await self.look(names if everywhere else None)

    async def _plain_changes(self) -> None:
        self.tell(f"{self.settings.changes} changes, {self.settings.every:g} s apart")
        span = CostSpan(self)
        for _ in range(self.settings.changes):
            began = time.monotonic()
            await self.change("no fault")
            await asyncio.sleep(max(began + self.settings.every - time.monotonic(), 0.0))
        span.end("changes")

    async def _burst(self) -> None:
        self.tell(f"a burst of {BURST} changes")
        for _ in range(BURST - 1):
            await self.publish("burst")
        await self.change("burst")
