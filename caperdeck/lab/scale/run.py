"""One scale run, from the start of its processes to its measurements."""

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

from .heartbeat import HEARTBEAT_INTERVAL_S, HeartbeatMonitor, LatenessStats
from .measure import BYTES_PER_MB, ResourceMeter, cores_by_role, machine_cores_used, node_cost
from .measured import Cost, Fault, Measured, Reading, View
from .places import LoopbackAddresses
from .plan import Command, Plan
from .processes import DiscoveryProcess, Rack
from .progress import Progress
from .real_nodes import RealNodeFleet
from .scenario import ScaleScenario

CONVERGED_SHARE = 0.9  # share of the nodes that must agree before a state counts as known
POLL_INTERVAL_S = 0.05  # between two tests of an awaited condition
SAMPLE_INTERVAL_S = 1.0  # between two samples of a stub process
MAX_CONCURRENT_STARTS = 8  # stub processes that load the program and create their nodes at the same time
SETTLE_S = 0.5  # wait after the clients have disconnected
CLUSTER_NAME = "lab"  # the cluster of the test rig's instances
STUB_ROLE = "hollow nodes"  # role name in readings


class ScaleRun:
    """Starts all processes of a scenario, measures them, injects the faults, and ends the processes."""

    def __init__(self, scenario: ScaleScenario, progress: Progress, logs: str | None = None) -> None:
        self.scenario, self.progress, self.logs = scenario, progress, logs
        self.measured = Measured(
            scenario.members, scenario.stub_node_count, scenario.real.nodes, scenario.instances, MAX_NODES,
        )  # fmt: skip
        self.discovery: DiscoveryProcess | None = None
        self.racks: list[Rack] = []
        self.start_counts: list[int] = [0] * scenario.stubs.processes
        self.heartbeat = HeartbeatMonitor(scenario.lateness.beat_ms)
        self.tasks: list[asyncio.Task] = []
        self.steps_task: asyncio.Task | None = None

    def run(self) -> Measured:
        """Runs to the end; raises VoidError if the test rig itself failed."""
        return asyncio.run(self._run_in_folder())

    async def _run_in_folder(self) -> Measured:
        self.started_at = time.monotonic()
        self.addresses = LoopbackAddresses()
        self.real = RealNodeFleet(self.scenario, self.addresses, self.logs)
        self.real.is_closing = False
        self.meter = ResourceMeter(self._roles_by_pid, self.started_at)
        with tempfile.TemporaryDirectory(prefix="caperdeck-scale-") as folder:
            self.folder = self.real.folder = folder
            try:
                self.steps_task = asyncio.ensure_future(self._run_steps())
                await self.steps_task
            except TimeoutError:
                raise VoidError("a part of the test rig did not answer before its timeout") from None
            except asyncio.CancelledError:
                # A background task that fails cancels the steps and stores its error in `failure`.
                if self.real.failure is None:
                    raise
            finally:
                self.real.is_closing = True
                await self._close()
        if self.real.failure is not None:
            raise self.real.failure
        self._collect_results()
        return self.measured

    def now(self) -> float:
        """Seconds since the start of the run."""
        return time.monotonic() - self.started_at

    async def _run_steps(self) -> None:
        self._run_every(HEARTBEAT_INTERVAL_S, self._record_heartbeat)
        await self._start()
        if self.real.missing():
            return
        self._run_every(self.scenario.spans.sample, self._read_resources)
        self._run_every(SAMPLE_INTERVAL_S, self._record_view)
        await self._wait_until_known()
        await self.real.start_clients()
        await self._measure_steady()
        await self._kill_instance()
        await self._kill_rack()
        await self._kill_real_node()
        await self.real.stop_clients()
        await asyncio.sleep(SETTLE_S)
        await self._read_resources()

    # ---- background tasks

    def _run_every(self, seconds: float, action: Callable[[], Awaitable[None]]) -> None:
        async def repeat() -> None:
            try:
                while True:
                    await action()
                    await asyncio.sleep(seconds)
            except Exception as error:
                # The signal handler raises InterruptedRunError in whatever code is running, so it can arrive
                # in this task: without this the steps would go on after an interrupt.
                self.real.failure = self.real.failure or error
                self.steps_task.cancel()

        self.tasks.append(asyncio.ensure_future(repeat()))

    async def _record_heartbeat(self) -> None:
        self.heartbeat.record_beat(time.monotonic())

    async def _read_resources(self) -> Reading:
        # On a busy machine reading all processes takes a second; in this thread it would delay the heartbeat.
        return await asyncio.to_thread(self.meter.read)

    async def _record_view(self) -> None:
        view = self._view()
        self.measured.views.append(view)
        reading = self.meter.readings[-1] if self.meter.readings else None
        self.progress.show(view, reading)

    def _view(self) -> View:
        samples = [rack.last_sample for rack in self.racks if rack.alive and rack.last_sample is not None]
        nodes = max(sum(sample.nodes for sample in samples), 1)
        return View(
            self.now(), know_most=sum(sample.know_most for sample in samples) / nodes,
            known=sum(sample.known * sample.nodes for sample in samples) / nodes,
            told=sum(sample.told for sample in samples) / nodes,
        )  # fmt: skip

    def _roles_by_pid(self) -> dict[int, str]:
        found = self.real.role_by_pid()
        if self.discovery is not None and self.discovery.alive:
            found[self.discovery.pid] = "rig"
        return found | {rack.pid: STUB_ROLE for rack in self.racks if rack.alive}

    # ---- the start

    async def _start(self) -> None:
        self.progress.phase(f"start: {self.scenario.members} nodes")
        logs = Path(self.logs or self.folder)
        await self.real.open_parts()
        self.discovery = DiscoveryProcess(logs)
        await self.discovery.start(self.addresses.discovery_address(), self.scenario.spans.start)
        self.racks = [Rack(f"rack{i}", logs) for i in range(self.scenario.stubs.processes)]
        limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)
        deadline = time.monotonic() + self.scenario.spans.start
        await self.real.start_all()
        await asyncio.gather(*(self._start_rack(i, deadline, limit) for i in range(len(self.racks))))
        self.measured.start_s = self.now()
        # Lateness during the start is left out: a machine that is only busy starting processes would
        # otherwise make the run void.
        self.heartbeat.reset(time.monotonic())
        for rack in self.racks:
            rack.send(Command(zero_beats=True))

    async def _start_rack(self, index: int, deadline: float, limit: asyncio.Semaphore) -> None:
        async with limit:
            rack = self.racks[index]
            await rack.start(self._plan(index))
            while not rack.ready:
                if not rack.alive:
                    raise VoidError(f"{rack.name} ended while it started: {_log_tail(rack.log)!r}")
                if time.monotonic() > deadline:
                    raise VoidError(f"{rack.name} was not up in {self.scenario.spans.start:g} s")
                await asyncio.sleep(POLL_INTERVAL_S)

    def _plan(self, index: int) -> Plan:
        numbers = self.scenario.racks()[index]
        self.start_counts[index] += 1
        addresses = [self.real.stub_addresses[number] for number in numbers]
        instances = [self.real.listen_addresses[owner] for owner in self.real.scenario.owner_names()]
        return Plan(
            numbers, addresses, self.real.member_addresses, instances, CLUSTER_NAME,
            self.addresses.discovery_address(), self.scenario.sharing, dump(self.real.scenario),
            self.scenario.seed, self.start_counts[index], self.scenario.lateness.beat_ms, SAMPLE_INTERVAL_S,
        )  # fmt: skip

    # ---- membership and the steady phase

    async def _wait_until_known(self) -> None:
        span = self.scenario.spans.known
        self.progress.phase(f"membership: {span:g} s at the most")
        self.measured.known_s = await self._wait_until(
            lambda: self._view().know_most >= CONVERGED_SHARE, span
        )
        bound = self.scenario.bounds.owner
        self.measured.owner_first_s = await self._wait_until(lambda: self.real.ownership.complete, bound)

    async def _measure_steady(self) -> None:
        self.progress.phase(f"steady: {self.scenario.spans.steady:g} s")
        before, first_reading = (
            [(rack.sampled_at, rack.last_sample) for rack in self.racks],
            await self._read_resources(),
        )
        await asyncio.sleep(self.scenario.spans.steady)
        after, last_reading = (
            [(rack.sampled_at, rack.last_sample) for rack in self.racks],
            await self._read_resources(),
        )
        node = node_cost(before, after, last_reading.roles[STUB_ROLE].uss_mb)
        samples = [sample for _, sample in after]
        nodes = sum(sample.nodes for sample in samples)
        busy, stolen = machine_cores_used(first_reading, last_reading)
        self.measured.cost = Cost(
            node, process_mb=sum(sample.base_uss for sample in samples) / len(samples) / BYTES_PER_MB,
            make_s=sum(sample.made_s for sample in samples) / nodes,
            connections_s=node.connections_s * nodes, cores=cores_by_role(first_reading, last_reading),
            machine_cores=os.cpu_count() or 0, busy_cores=busy, stolen_cores=stolen,
        )  # fmt: skip

    async def _wait_until(self, condition: Callable[[], bool], timeout_s: float) -> float | None:
        """Seconds until the condition was true, or None after the timeout."""
        started_at = time.monotonic()
        while time.monotonic() - started_at < timeout_s:
            if condition():
                return time.monotonic() - started_at
            await asyncio.sleep(POLL_INTERVAL_S)
        return None

    # ---- faults

    def _begin_fault(self, what: str, of: str, nodes: int = 0) -> Fault:
        self.progress.phase(f"fault: {what} {of}")
        fault = Fault(what, of, self.now(), nodes)
        self.measured.faults.append(fault)
        return fault

    async def _kill_instance(self) -> None:
        """Kills the leader; another instance has to lead, and every work has to have a holder again."""
        real, bound = self.real, self.scenario.bounds.owner
        name = real.ownership.leader or "o0"
        fault = self._begin_fault("instance", name)
        real.kill(name)
        real.ownership.remove(name)
        fault.dead_s = await self._wait_until(lambda: real.ownership.complete, bound)
        await real.processes[name].wait()
        await real._start_instance(name)
        fault.back_s = self.now() - fault.at

    async def _kill_rack(self) -> None:
        """Kills the last stub process with all of its nodes, then starts it again."""
        rack, bounds = self.racks[-1], self.scenario.bounds
        members = self.scenario.racks()[-1]
        fault = self._begin_fault("rack", rack.name, len(members))
        await rack.kill()
        for other in self.racks:
            other.send(Command(watch=members))
        fault.dead_s = await self._wait_until(
            lambda: self._observed_share("watched_dead") >= CONVERGED_SHARE, bounds.dead
        )
        started_at = time.monotonic()
        await self._start_rack(
            len(self.racks) - 1, started_at + self.scenario.spans.start, asyncio.Semaphore(1)
        )
        back = await self._wait_until(
            lambda: self._observed_share("watched_alive") >= CONVERGED_SHARE, bounds.back
        )
        fault.back_s = None if back is None else time.monotonic() - started_at

    def _observed_share(self, field: str) -> float:
        """Share of the nodes outside the killed rack that a count of their samples applies to."""
        samples = [
            rack.last_sample for rack in self.racks[:-1] if rack.alive and rack.last_sample is not None
        ]
        return sum(getattr(sample, field) for sample in samples) / max(
            sum(sample.nodes for sample in samples), 1
        )

    async def _kill_real_node(self) -> None:
        real, bound = self.real, self.scenario.bounds.real_back
        name = real.scenario.node_names()[-1]
        fault = self._begin_fault("real node", name, 1)
        real.kill(name)
        await real.processes[name].wait()
        fault.dead_s = self.now() - fault.at
        start = asyncio.ensure_future(real._start_node(name))
        done, _ = await asyncio.wait([start], timeout=bound)
        if done and real.is_up(name):
            fault.back_s = self.now() - fault.at
        else:
            start.cancel()

    # ---- the end

    async def _close(self) -> None:
        measured = self.measured
        measured.seconds = self.now()
        measured.missing = self.real.missing() + [
            rack.name for rack in self.racks if rack.expected_alive and not rack.alive
        ]
        measured.late = {
            rack.name: rack.last_sample.late for rack in self.racks if rack.last_sample is not None
        }
        measured.late |= {"run": self.heartbeat.stats, "rig": LatenessStats(worst_ms=self.real.max_late_ms)}
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in [*self.racks, *([self.discovery] if self.discovery is not None else [])]:
            await process.kill()
        await self.real._close()
        self.addresses.close()

    def _collect_results(self) -> None:
        measured, events = self.measured, self.real.history.sorted()
        measured.readings = self.meter.readings
        measured.tries = sum(event["ev"] == "ask" for event in events)
        measured.answers = dict(Counter(event["what"] for event in events if event["ev"] == "answer"))
        measured.served = measured.answers.get("up", 0)
        measured.breaches = [
            breach.line() for breach in find_breaches(self.real.scenario, events, CHECKS, REORDER_WINDOW_MS)
        ]


def _log_tail(path: Path) -> str:
    return path.read_bytes()[-300:].decode("utf-8", "replace") if path.exists() else ""
