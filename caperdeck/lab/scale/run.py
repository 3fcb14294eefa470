"""One scale run from the start of its processes to what was measured."""

from __future__ import annotations

import asyncio
import os
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path

from caperdeck.lab.oracle import REORDER_WINDOW_MS, find_breaches
from caperdeck.lab.owned_work import CHECKS
from caperdeck.lab.rig_process import VoidError
from caperdeck.lab.scenario import dump
from caperdeck.owner.config import MAX_NODES

from .heartbeat import BEAT, Beats, Late
from .measure import MB, Meter, cores_used, machine_cores, node_cost
from .measured import Cost, Fault, Measured, Reading, View
from .places import Places
from .plan import Order, Plan
from .processes import Lists, Rack
from .progress import Progress
from .real_nodes import RealPart
from .scenario import ScaleScenario

MOST = 0.9  # of the nodes
LOOK = 0.05  # seconds between looks at what a fault waits for
TELL = 1.0  # seconds between the samples of a hollow process
STARTS_AT_ONCE = 8  # hollow processes that load the program and make their nodes
SETTLE = 0.5  # seconds after the clients have left
CLUSTER = "lab"  # as the rig names it
HOLLOW = "hollow nodes"  # the role


class ScaleRun:
    def __init__(self, scenario: ScaleScenario, progress: Progress, logs: str | None = None) -> None:
        self.scenario, self.progress, self.logs = scenario, progress, logs
        s = scenario
        self.measured = Measured(s.members, s.hollow_nodes, s.real.nodes, s.instances, MAX_NODES)
        self.lists: Lists | None = None
        self.racks: list[Rack] = []
        self.lives: list[int] = [0] * s.hollow.processes
        self.beats = Beats(s.lateness.beat_ms)
        self.tasks: list[asyncio.Task] = []
        self.steps: asyncio.Task | None = None

    def play(self) -> Measured:
        """Raises VoidError where the rig itself failed."""
        return asyncio.run(self._in_folder())

    async def _in_folder(self) -> Measured:
        self.began = time.monotonic()
        self.places = Places()
        self.real = RealPart(self.scenario, self.places, self.logs)
        self.real.is_closing = False
        self.meter = Meter(self._roles, self.began)
        with tempfile.TemporaryDirectory(prefix="caperdeck-scale-") as folder:
            self.folder = self.real.folder = folder
            try:
                self.steps = asyncio.ensure_future(self._steps())
                await self.steps
            except TimeoutError:
                raise VoidError("a part of the rig did not answer in its time") from None
            except asyncio.CancelledError:
                # by what runs beside the steps, which has left its reason
                if self.real.failure is None:
                    raise
            finally:
                self.real.is_closing = True
                await self._close()
        if self.real.failure is not None:
            raise self.real.failure
        self._conclude()
        return self.measured

    def now(self) -> float:
        return time.monotonic() - self.began

    async def _steps(self) -> None:
        self._every(BEAT, self._beat)
        await self._start()
        if self.real.missing():
            return
        self._every(self.scenario.spans.sample, self._read)
        self._every(TELL, self._look)
        await self._wait_until_known()
        await self.real.start_clients()
        await self._measure_steady()
        await self._kill_instance()
        await self._kill_rack()
        await self._kill_real_node()
        await self.real.stop_clients()
        await asyncio.sleep(SETTLE)
        await self._read()

    # ---- the parts that run beside the steps

    def _every(self, seconds: float, do: Callable[[], Awaitable[None]]) -> None:
        async def again() -> None:
            try:
                while True:
                    await do()
                    await asyncio.sleep(seconds)
            except Exception as error:
                # Danger: an interrupt is raised wherever the process is just then, here too.
                self.real.failure = self.real.failure or error
                self.steps.cancel()

        self.tasks.append(asyncio.ensure_future(again()))

    async def _beat(self) -> None:
        self.beats.beat(time.monotonic())

    async def _read(self) -> Reading:
        # Danger: on a busy machine the walk over all processes takes a second, and would hold this one up.
        return await asyncio.to_thread(self.meter.read)

    async def _look(self) -> None:
        view = self._view()
        self.measured.views.append(view)
        reading = self.meter.readings[-1] if self.meter.readings else None
        self.progress.show(view, reading)

    def _view(self) -> View:
        samples = [r.last for r in self.racks if r.alive and r.last is not None]
        nodes = max(sum(s.nodes for s in samples), 1)
        return View(
            self.now(), know_most=sum(s.know_most for s in samples) / nodes,
            known=sum(s.known * s.nodes for s in samples) / nodes, told=sum(s.told for s in samples) / nodes,
        )  # fmt: skip

    def _roles(self) -> dict[int, str]:
        found = self.real.role_by_pid()
        if self.lists is not None and self.lists.alive:
            found[self.lists.pid] = "rig"
        return found | {rack.pid: HOLLOW for rack in self.racks if rack.alive}

    # ---- the start

    async def _start(self) -> None:
        self.progress.phase(f"start: {self.scenario.members} nodes")
        logs = Path(self.logs or self.folder)
        await self.real.open_parts()
        self.lists = Lists(logs)
        await self.lists.start(self.places.lists(), self.scenario.spans.start)
        self.racks = [Rack(f"rack{i}", logs) for i in range(self.scenario.hollow.processes)]
        gate = asyncio.Semaphore(STARTS_AT_ONCE)
        until = time.monotonic() + self.scenario.spans.start
        await self.real.start_all()
        await asyncio.gather(*(self._start_rack(i, until, gate) for i in range(len(self.racks))))
        self.measured.start_s = self.now()
        # Danger: a machine that is busy with the start alone would be held to be too slow for the run.
        self.beats.zero(time.monotonic())
        for rack in self.racks:
            rack.tell(Order(zero_beats=True))

    async def _start_rack(self, i: int, until: float, gate: asyncio.Semaphore) -> None:
        async with gate:
            rack = self.racks[i]
            await rack.start(self._plan(i))
            while not rack.ready:
                if not rack.alive:
                    raise VoidError(f"{rack.name} ended: {_tail(rack.log)!r}")
                if time.monotonic() > until:
                    raise VoidError(f"{rack.name} was not up in {self.scenario.spans.start:g} s")
                await asyncio.sleep(LOOK)

    def _plan(self, i: int) -> Plan:
        numbers = self.scenario.racks()[i]
        self.lives[i] += 1
        addresses = [self.real.hollow_addresses[n] for n in numbers]
        instances = [self.real.listen_addresses[o] for o in self.real.scenario.owner_names()]
        return Plan(
            numbers, addresses, self.real.everybody, instances, CLUSTER, self.places.lists(),
            self.scenario.sharing, dump(self.real.scenario), self.scenario.seed, self.lives[i],
            self.scenario.lateness.beat_ms, TELL,
        )  # fmt: skip

    # ---- steady

    async def _wait_until_known(self) -> None:
        span = self.scenario.spans.known
        self.progress.phase(f"membership: {span:g} s at the most")
        self.measured.known_s = await self._until(lambda: self._view().know_most >= MOST, span)
        bound = self.scenario.bounds.owner
        self.measured.owner_first_s = await self._until(lambda: self.real.agreement.agreed, bound)

    async def _measure_steady(self) -> None:
        self.progress.phase(f"steady: {self.scenario.spans.steady:g} s")
        before, began = [(r.at, r.last) for r in self.racks], await self._read()
        await asyncio.sleep(self.scenario.spans.steady)
        after, ended = [(r.at, r.last) for r in self.racks], await self._read()
        node = node_cost(before, after, ended.roles[HOLLOW].uss_mb)
        samples = [sample for _, sample in after]
        nodes = sum(sample.nodes for sample in samples)
        busy, stolen = machine_cores(began, ended)
        self.measured.cost = Cost(
            node, process_mb=sum(s.base_uss for s in samples) / len(samples) / MB,
            make_s=sum(s.made_s for s in samples) / nodes, connections_s=node.connections_s * nodes,
            cores=cores_used(began, ended), machine_cores=os.cpu_count() or 0,
            busy_cores=busy, stolen_cores=stolen,
        )  # fmt: skip

    async def _until(self, held: Callable[[], bool], span: float) -> float | None:
        """Seconds until it held, or None."""
        began = time.monotonic()
        while time.monotonic() - began < span:
            if held():
                return time.monotonic() - began
            await asyncio.sleep(LOOK)
        return None

    # ---- faults

    def _fault(self, what: str, of: str, nodes: int = 0) -> Fault:
        self.progress.phase(f"fault: {what} {of}")
        fault = Fault(what, of, self.now(), nodes)
        self.measured.faults.append(fault)
        return fault

    async def _kill_instance(self) -> None:
        """The one that leads; another has to, and everything that it held has to be held again."""
        real, bound = self.real, self.scenario.bounds.owner
        name = real.agreement.leader or "o0"
        fault = self._fault("instance", name)
        real.kill(name)
        real.agreement.forget(name)
        fault.dead_s = await self._until(lambda: real.agreement.agreed, bound)
        await real.processes[name].wait()
        await real._start_instance(name)
        fault.back_s = self.now() - fault.at

    async def _kill_rack(self) -> None:
        """The last hollow process, with all of its nodes."""
        rack, bounds = self.racks[-1], self.scenario.bounds
        members = self.scenario.racks()[-1]
        fault = self._fault("rack", rack.name, len(members))
        await rack.kill()
        for other in self.racks:
            other.tell(Order(watch=members))
        fault.dead_s = await self._until(lambda: self._share("watched_dead") >= MOST, bounds.dead)
        began = time.monotonic()
        await self._start_rack(len(self.racks) - 1, began + self.scenario.spans.start, asyncio.Semaphore(1))
        back = await self._until(lambda: self._share("watched_alive") >= MOST, bounds.back)
        fault.back_s = None if back is None else time.monotonic() - began

    def _share(self, field: str) -> float:
        """Of the nodes outside the killed rack that see it so."""
        samples = [rack.last for rack in self.racks[:-1] if rack.alive and rack.last is not None]
        return sum(getattr(s, field) for s in samples) / max(sum(s.nodes for s in samples), 1)

    async def _kill_real_node(self) -> None:
        real, bound = self.real, self.scenario.bounds.real_back
        name = real.scenario.node_names()[-1]
        fault = self._fault("real node", name, 1)
        real.kill(name)
        await real.processes[name].wait()
        fault.dead_s = self.now() - fault.at
        start = asyncio.ensure_future(real._start_node(name))
        done, _ = await asyncio.wait([start], timeout=bound)
        if done and real.answers(name):
            fault.back_s = self.now() - fault.at
        else:
            start.cancel()

    # ---- the end

    async def _close(self) -> None:
        m = self.measured
        m.seconds = self.now()
        m.missing = self.real.missing() + [r.name for r in self.racks if r.wanted and not r.alive]
        m.late = {r.name: r.last.late for r in self.racks if r.last is not None}
        m.late |= {"run": self.beats.late, "rig": Late(worst_ms=self.real.max_late_ms)}
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in [*self.racks, *([self.lists] if self.lists is not None else [])]:
            await process.kill()
        await self.real._close()
        self.places.close()

    def _conclude(self) -> None:
        m, events = self.measured, self.real.history.sorted()
        m.readings = self.meter.readings
        m.tries = sum(e["ev"] == "ask" for e in events)
        m.answers = dict(Counter(e["what"] for e in events if e["ev"] == "answer"))
        m.served = m.answers.get("up", 0)
        m.breaches = [b.line() for b in find_breaches(self.real.scenario, events, CHECKS, REORDER_WINDOW_MS)]


def _tail(path: Path) -> str:
    return path.read_bytes()[-300:].decode("utf-8", "replace") if path.exists() else ""
