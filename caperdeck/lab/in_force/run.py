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
from caperdeck.distribution.choice import preferred
from caperdeck.distribution.document import Document, canonical
from caperdeck.lab.rig_process import VoidError
from caperdeck.lab.scale.beat import BEAT, Beats
from caperdeck.lab.scale.measure import MB
from caperdeck.lab.scale.processes import ChildProcess
from caperdeck.owner.process import steady

from .instances import Instances, Published
from .measured import WITHIN, InstanceCost, Measured, NodeCost, StatusLook, Step
from .plan import InForce, NodePlan, Plan, Report, node_places

FAULTS = ("leader", "kill", "stop")
BEAT_MS = 150.0  # a beat that comes later than this is late, as in the scale run
REPORT = 0.25  # seconds between reports of a process of nodes
LOOK = 0.02  # seconds between looks at what is waited for
START = 120.0  # seconds
STOPPED = 10.0  # seconds that an instance is stopped
SETTLE = 3.0  # seconds from an instance's start or waking to the next fault
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

    def __init__(self, name: str, folder: Path, put: list[InForce]) -> None:
        super().__init__(name, "caperdeck.lab.in_force.nodes", folder / f"{name}.log")
        self.put, self.last, self.at = put, None, 0.0
        self.reader: Any = None

    async def start(self, plan: Plan) -> None:
        await self.spawn()
        self.process.stdin.write(msgspec.json.encode(plan) + b"\n")
        self.reader = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        decode = msgspec.json.Decoder(Report).decode
        while (line := await self.process.stdout.readline()).endswith(b"\n"):
            self.last, self.at = decode(line), time.monotonic()
            self.put += self.last.put


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
        m.node_costs.append(NodeCost(name, seconds, cpu / count, size / count, memory / count / MB))
        span, after = time.monotonic() - self.began, run.instances_cpu()
        shares = [(after[i] - self.cpu[i]) / span for i in after if i in self.cpu]
        m.instance_costs.append(InstanceCost(name, max(shares), run.instances_memory()))


def stream_bytes(report: Report) -> int:
    return report.traffic.stream_bytes_in + report.traffic.stream_bytes_out


def document_of(change: int) -> Document:
    """Each change renames one customer."""
    customers = [{"name": f"customer-{i}"} for i in range(CUSTOMERS)]
    customers[change % CUSTOMERS] = {"name": f"customer-{change % CUSTOMERS}-{change}"}
    return {"settings": {"projects": customers}}


class InForceRun:
    def __init__(self, settings: Settings, tell: Callable[[str], None]) -> None:
        self.settings, self.tell = settings, tell
        self.places = node_places(settings.nodes)
        files = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        self.measured = Measured(
            settings.nodes, settings.instances, settings.processes, len(canonical(document_of(1))), files,
            names=[place.name for place in self.places],
        )  # fmt: skip
        self.children: list[NodesChild] = []
        self.beats = Beats(BEAT_MS)
        self.change = 0
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
                self._note_end()
            finally:
                beating.cancel()
                await self._close()
        m.seconds = time.monotonic() - began
        return m

    async def _beat(self) -> None:
        self.beats.zero(time.monotonic())
        while True:
            await asyncio.sleep(BEAT)
            self.beats.beat(time.monotonic())

    async def _play(self) -> None:
        await self._start()
        await self._measure_rest()
        await self._plain_changes()
        await self._burst()
        for fault in self.settings.faults:
            await getattr(self, f"_{fault}")()

    # ---- start and end

    async def _start(self) -> None:
        s, m = self.settings, self.measured
        self.tell(f"start: {s.instances} instances, {s.nodes} nodes")
        await self.instances.start_all()
        await self.instances.publish(document_of(0))
        began = time.monotonic()
        self.children = [NodesChild(f"nodes{i}", self.folder, m.put) for i in range(s.processes)]
        for i, child in enumerate(self.children):
            await child.start(self._plan(i))
        if not await self._until(lambda: all(c.last and c.last.ready for c in self.children), START):
            raise VoidError(f"not all nodes were current within {START:g} s")
        m.start_s = time.monotonic() - began
        self.beats.zero(time.monotonic())

    def _plan(self, process: int) -> Plan:
        nodes = [
            NodePlan(place, str(self.folder / place.name))
            for place in self.places[process :: self.settings.processes]
        ]
        for node in nodes:
            Path(node.folder).mkdir()
        addresses = zip(self.instances.places, self.instances.addresses, strict=True)
        named = {place.name: (place, address) for place, address in addresses}
        return Plan(nodes, named, BEAT_MS, REPORT)

    def _note_end(self) -> None:
        m, reports = self.measured, [child.last for child in self.children]
        m.current = sum(report.current for report in reports)
        m.refused = sum(report.refused for report in reports)
        m.dead = self.instances.dead() + [child.name for child in self.children if not child.alive]
        m.late = {child.name: child.last.late for child in self.children} | {"run": self.beats.late}

    async def _close(self) -> None:
        for child in self.children:
            await child.kill()
            if child.reader is not None:
                with suppress(asyncio.CancelledError):
                    await child.reader
        await self.instances.close()

    async def _until(self, held: Callable[[], bool], seconds: float) -> bool:
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
        return max(p.memory_full_info().uss for p in self._instances()) / MB

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

    async def _publish(self, phase: str) -> Published:
        self.change += 1
        published = await self.instances.publish(document_of(self.change))
        self.measured.steps.append(Step(phase, published))
        return published

    async def _in_force(self, published: Published) -> bool:
        """Waits until the nodes have told that they have it, or the bound has passed; looks at the status."""
        await self._look()
        waits: dict[str, None] = dict.fromkeys(self.measured.names)
        seen = 0

        def everywhere() -> bool:
            nonlocal seen
            put = self.measured.put
            for each in put[seen:]:
                if each.revision >= published.revision:
                    waits.pop(each.node, None)
            seen = len(put)
            return not waits

        return await self._until(everywhere, WITHIN + 2 * REPORT)

    async def _look(self, when_all_had_it: bool = False) -> None:
        asked = steady()
        known = await asyncio.to_thread(commands.read_statuses, self.instances.owners, commands.ask)
        heard = [status for status in known.values() if status is not None]
        if heard:
            summary = await asyncio.to_thread(
                commands.read_summary, self.instances.owners, heard, self.measured.names, commands.ask
            )
            self.measured.looks.append(StatusLook(
                asked, steady(), summary.confirmed, summary.revision, list(summary.in_force), when_all_had_it
            ))  # fmt: skip

    async def _change(self, phase: str, beside: Callable[[], Awaitable[None]] | None = None) -> None:
        """`beside` happens as soon as the commit is answered."""
        published = await self._publish(phase)
        if beside is not None:
            await beside()
        everywhere = await self._in_force(published)
        await asyncio.sleep(WORDS)
        await self._look(everywhere)

    async def _plain_changes(self) -> None:
        self.tell(f"{self.settings.changes} changes, {self.settings.every:g} s apart")
        span = CostSpan(self)
        for _ in range(self.settings.changes):
            began = time.monotonic()
            await self._change("no fault")
            await asyncio.sleep(max(began + self.settings.every - time.monotonic(), 0.0))
        span.end("changes")

    async def _burst(self) -> None:
        self.tell(f"a burst of {BURST} changes")
        for _ in range(BURST - 1):
            await self._publish("burst")
        await self._change("burst")

    # ---- faults

    async def _leader(self) -> None:
        """The leader is killed as soon as a commit is answered; and the change after it."""
        leader = await self.instances.leader()
        self.faulty.add(leader)
        self.tell(f"fault: o{leader}, the leader, which {self._preferring(leader)} nodes prefer, killed")
        await self._change("leader killed", lambda: self.instances.kill(leader))
        await self._change("leader gone")
        await self._start_again(leader)

    async def _kill(self) -> None:
        """Another instance is killed with all its watches, and a change published at once."""
        other = await self._follower()
        self.tell(f"fault: o{other}, which {self._preferring(other)} nodes prefer, killed beside a change")
        await self.instances.kill(other)
        await self._change("instance killed")
        await self._start_again(other)

    async def _stop(self) -> None:
        """Another instance is stopped with all its watches; a change as it stops, and one as it wakes."""
        other = await self._follower()
        self.tell(f"fault: o{other}, which {self._preferring(other)} nodes prefer, stopped {STOPPED:g} s")
        until = time.monotonic() + STOPPED
        self.instances.stop(other)
        await self._change("instance stopped")
        await asyncio.sleep(max(until - time.monotonic(), 0.0))
        self.instances.wake(other)
        await self._change("instance woken")
        await asyncio.sleep(SETTLE)

    async def _follower(self) -> int:
        """One that does not lead, the highest: the operators' command asks the lowest first.

        None that was faulty before: its nodes come back to it only after a minute or two.
        """
        out = self.faulty | {await self.instances.leader()}
        chosen = max(i for i in range(self.settings.instances) if i not in out)
        self.faulty.add(chosen)
        return chosen

    def _preferring(self, instance: int) -> int:
        places, name = self.instances.places, f"o{instance}"
        return sum(preferred(node, places)[0].name == name for node in self.places)

    async def _start_again(self, i: int) -> None:
        await self.instances.start(i)
        await asyncio.sleep(SETTLE)
