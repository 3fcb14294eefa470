"""A run with real processes: nodes as `caperdeck serve`, the rig's workers, and a relay between all."""

from __future__ import annotations

import asyncio
import signal
import socket
import tempfile
import time
from asyncio.subprocess import Process
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from .fleet import CLIENTS_FROM, LEAVES, Fleet
from .history import Event
from .launch import stop_signal
from .launcher import Launcher
from .operator import OLD, Operator
from .ports import Ports
from .probes import accepts, answers_ping
from .process_files import write_instance_file, write_node_file, write_owners_file, write_sharing_file
from .rig_process import START, RigProcess, VoidError
from .scenario import BY_OPERATOR, MOST_PROCESSES, Scenario, ScenarioError
from .setup import node_config
from .system_errors import ErrorRate
from .wall_clock import WallClock

HEADROOM = 2.0  # times the scenario's rate at least, as the relay measured it
SIGNALS_AFTER_TERM = (
    (0.01, signal.SIGTERM),
    (0.05, signal.SIGHUP),
    (0.3, signal.SIGTERM),
    (0.31, signal.SIGHUP),
)
ROLES = ("hosts", "agents", "clients", "relay")  # of workers
LOOPBACK = "127.0.0.1"
POLL = 0.02  # seconds between two tries to reach a process that starts


def plain(address: tuple[str, int]) -> str:
    return "{}:{}".format(*address)


class RealFleet(Fleet):
    def __init__(
        self, scenario: Scenario, seed: int | None = None, watch: Callable[[Event], None] | None = None,
        logs: str | None = None,
    ) -> None:  # fmt: skip
        if scenario.nodes > MOST_PROCESSES:
            raise ScenarioError(f"nodes: {scenario.nodes} is over {MOST_PROCESSES}, the most real processes")
        self.origin = time.monotonic() * 1000.0
        self.boot = time.time() * 1000.0
        super().__init__(scenario, seed, watch)
        self.logs = logs
        self.wall_clocks: dict[str, WallClock] = {}
        self.error_rates: dict[str, ErrorRate] = {}
        self.disk_rates: dict[str, ErrorRate] = {}
        self.operator = Operator(self, scenario.node_names(), scenario.clients.wait / 1000.0)
        self.launcher = Launcher(self.history, self._run_time, self._exited)
        self.processes = self.launcher.processes
        self.starting: list[asyncio.Task] = []
        self.launching: set[str] = set()  # names whose process has yet to appear
        self.workers: dict[str, RigProcess] = {}
        self.late = 0.0
        self.per_s = 0.0
        self.headroom_known: asyncio.Future | None = None
        self.taken = Ports()
        self.failed: BaseException | None = None

    def now(self) -> float:
        return self._run_time(time.monotonic() * 1000.0)

    def _run_time(self, monotonic: float) -> float:
        return monotonic - self.origin

    def came(self, event: Event) -> None:
        """What a worker saw."""
        kind = event["ev"]
        if kind == "late":
            self.late = max(self.late, event["ms"])
        elif kind == "headroom":
            self.per_s = event["per_s"]
            if self.headroom_known is not None and not self.headroom_known.done():
                self.headroom_known.set_result(None)
        elif kind == "born":
            self.workers["agents"].tell("list", name=event["to"], state="cold", boot=event["at"])
        else:
            self.history.take(event)

    # ---- what a fault asks for

    def later(self, wait: float, do: Callable[..., None], *args: Any) -> Any:
        return asyncio.get_running_loop().call_later(wait, self._guard, do, args)

    def _guard(self, do: Callable[..., None], args: tuple) -> None:
        try:
            do(*args)
        except Exception as error:
            self.failed = self.failed or error

    def alive(self, node: str) -> bool:
        return self.launcher.alive(node)

    def start(self, node: str) -> None:
        if self.alive(node) or node in self.launching:
            return
        self.launching.add(node)
        start = self._start if node[0] == "n" else self._start_owner
        self.starting.append(asyncio.ensure_future(start(node)))

    async def _start_owner(self, name: str) -> None:
        life = self.lives[name] = self.lives.get(name, 0) + 1
        path = write_instance_file(
            Path(self.folder), name, self.listen[name], self.seen_owners[name], self.seen_admins[name]
        )
        process = await self._launch(name, ["owner", "serve", f"--config={path}"])
        if await self._until_up(name, process, accepts):
            self.life(name, "up", life=life)

    async def _start(self, node: str) -> None:
        life = self.lives[node] = self.lives.get(node, 0) + 1
        process = await self._launch_node(node, life)
        if await self._until_up(node, process, answers_ping):
            self.life(node, "up", life=life)
            self.front("ready", node)

    async def launch_second(self, node: str) -> tuple[tuple[str, int], Process]:
        """Starts a process beside the one that serves; its second address, and the process."""
        life = self.lives[node] = self.lives[node] + 1
        admin = self._take_port(socket.SOCK_STREAM)
        self.admins[node] = plain(admin)
        self.processes[node + OLD] = self.processes[node]
        return admin, await self._launch_node(node, life)

    async def _launch_node(self, node: str, life: int) -> Process:
        config = node_config(
            self.scenario, node, self.listen[node], self.agents[node], life, self.seed, self.seen_peers[node],
            self.everyone[node], plain(self.peers[node]), self.extra_settings(node),
            admin=self.admins.get(node),
        )  # fmt: skip
        # a process reads its file a while after it was started, when a second one may have been as well
        path = write_node_file(Path(self.folder), f"{node}-{life}", config)
        scratch = Path(self.folder) / f"{node}-disk"
        scratch.mkdir(exist_ok=True)
        words = ["serve", *self._sharing_flag(), *self._owners_flag(node)]
        words += ["--subsets"] * self.scenario.subsets
        return await self._launch(node, words, EDGE_CONFIG=str(path), TMPDIR=str(scratch))

    async def _launch(self, name: str, words: list[str], **environment: str) -> Process:
        folder = Path(self.folder)
        if name not in self.wall_clocks:
            self.wall_clocks[name] = WallClock(folder / f"{name}.wall-clock")
            self.error_rates[name] = ErrorRate(folder / f"{name}.error-rate")
            self.disk_rates[name] = ErrorRate(folder / f"{name}.disk-rate")
        environment |= {
            "LAB_WALL_CLOCK": str(self.wall_clocks[name].path),
            "LAB_ERROR_RATE": str(self.error_rates[name].path), "LAB_SEED": str(self.seed),
            "LAB_DISK_RATE": str(self.disk_rates[name].path),
        }  # fmt: skip
        try:
            skew = self.skews.get(name, (0.0, 0.0))
            return await self.launcher.start(name, words, self.log_of(name), skew, environment)
        finally:
            self.launching.discard(name)

    async def _until_up(
        self, name: str, process: Process, answers: Callable[[str, int], Awaitable[bool]],
    ) -> bool:  # fmt: skip
        """Whether it answers in time; then it is reached through the relay from now on."""
        until = time.monotonic() + START
        while time.monotonic() < until and process.returncode is None:
            if await answers(*self.addresses[name]):
                self.workers["relay"].tell("down", name=name, down=False)
                return True
            await asyncio.sleep(POLL)
        self.launcher.report_crash(name, process, self.log_of(name))
        return False

    def log_of(self, name: str) -> Path:
        return Path(self.logs or self.folder) / f"{name}.log"

    def extra_settings(self, node: str) -> dict[str, Any] | None:
        """Settings of a node's configuration that differ from the scenario's."""
        return None

    def _owners_flag(self, node: str) -> list[str]:
        if not self.scenario.owners:
            return []
        return [f"--owners={write_owners_file(Path(self.folder), node, self.seen_owners[node])}"]

    def _sharing_flag(self) -> list[str]:
        uses = self.scenario.uses()
        return [] if uses is None else [f"--sharing={write_sharing_file(Path(self.folder), uses)}"]

    def _exited(self, name: str, code: int) -> None:
        if self.over:
            return
        if name.endswith(OLD) or self.alive(name + OLD):
            # another process of the node serves on
            if code > 0:
                self.history.emit("crash", who=name.removesuffix(OLD), code=code, text="ended by itself")
            return
        self.workers["relay"].tell("down", name=name, down=True)
        self.gone(name, "exit" if code == 0 else "killed")
        if code > 0:
            self.history.emit("crash", who=name, code=code, text="ended by itself")

    def kill(self, node: str) -> None:
        for name in (node, node + OLD):
            self.launcher.signal(name, signal.SIGKILL)

    def terminate(self, node: str) -> None:
        for wait, number in SIGNALS_AFTER_TERM if self.scenario.signals_in_series else ():
            self.later(wait, self.launcher.signal, node, number)
        if self.launcher.signal(node, signal.SIGTERM):
            self.life(node, "stopping")
            if node[0] == "n":
                self.later(LEAVES, self.front, "leaves", node)

    def stop(self, node: str) -> None:
        if self.launcher.signal(node, signal.SIGSTOP):
            self.life(node, "asleep")

    def stop_at_act(self, owner: str, work: str, after: bool) -> None:
        self.launcher.signal(owner, stop_signal(work, after))

    def wake(self, node: str) -> None:
        if self.alive(node):
            self.life(node, "awake")
            if node[0] == "o":
                self.launcher.signal(node, signal.SIGRTMIN)
            # a process that was stopped may have a successor beside it by now
            for name in (node, node + OLD):
                self.launcher.signal(name, signal.SIGCONT)

    def step(self, node: str, offset: float) -> None:
        self.wall_clocks[node].step_to(offset / 1000.0)

    def fail_calls(self, node: str, rate: float) -> None:
        self.error_rates[node].set(rate)

    def fail_disk(self, node: str, rate: float) -> None:
        self.disk_rates[node].set(rate)

    def reload(self, node: str) -> None:
        self.launcher.signal(node, signal.SIGHUP)

    def upgrade(self, node: str) -> None:
        self.operator.upgrade(node)

    def take_out(self, host: str, out: bool) -> None:
        self.operator.take_out(host, out)

    def crowd(self, node: str, clients: int) -> None:
        self.workers["clients"].tell("crowd", node=node, number_of=clients)

    def front(self, what: str, node: str) -> None:
        self.workers["clients"].tell("front", what=what, node=node)

    def reset(self, a: str, b: str) -> None:
        self.workers["relay"].tell("reset", a=a, b=b)

    def hold(self, a: str, b: str, on: bool) -> None:
        self.workers["relay"].tell("hold", a=a, b=b, on=on)

    def changed(self, a: str, b: str) -> None:
        trouble = self.links.link_faults(a, b)
        values = {key: getattr(trouble, key) for key in ("loss", "double", "reorder", "delay", "cut")}
        self.workers["relay"].tell("trouble", a=a, b=b, values=values)

    def host_do(self, name: str, what: str, amount: float = 0.0) -> None:
        if what == "stop":
            self.workers["relay"].tell("down", name=name, down=True)
        elif what == "start":
            self.workers["relay"].tell("down", name=name, down=False)
        self.workers["hosts"].tell("host", name=name, what=what, amount=amount)

    def listing(self, name: str, state: str) -> None:
        if state != "cold":  # that one follows once the host has said when it was born
            self.workers["agents"].tell("list", name=name, state=state, boot=None)

    def hush(self, node: str, silent: bool) -> None:
        self.workers["agents"].tell("hush", node=node, silent=silent)

    # ---- the run

    def run(self) -> list[Event]:
        """Plays the scenario; raises VoidError where the machine was too slow to say anything."""
        return asyncio.run(self._run())

    async def _run(self) -> list[Event]:
        self.over = False
        with tempfile.TemporaryDirectory(prefix="caperdeck-lab-") as self.folder:
            try:
                await self._open()
                await self._play()
            finally:
                self.over = True
                await self._close()
        if self.failed is not None:
            raise self.failed
        return self.history.sorted()

    async def _start_workers(self) -> None:
        for role in ROLES:
            self.workers[role] = RigProcess(self, role)
            await self.workers[role].start()

    async def _measure_relay(self) -> None:
        """Raises VoidError where the relay carries too little for the scenario."""
        self.headroom_known = asyncio.get_running_loop().create_future()
        await self.workers["relay"].ask("headroom")
        await asyncio.wait_for(self.headroom_known, START)
        if self.per_s < HEADROOM * self.scenario.clients.rate:
            carries = f"the relay carries {self.per_s:.0f} connections a second"
            raise VoidError(f"{carries}, {self.scenario.clients.rate:g} are asked")

    def _take_port(self, kind: int) -> tuple[str, int]:
        return LOOPBACK, self.taken.take(kind)

    async def _open(self) -> None:
        s, nodes, hosts = self.scenario, self.scenario.node_names(), self.scenario.host_names()
        await self._start_workers()
        ends = await self.workers["hosts"].ask("open")
        self.addresses, self.peers = {}, {}
        for n in nodes:
            self.addresses[n] = self._take_port(socket.SOCK_STREAM)
            self.peers[n] = self._take_port(socket.SOCK_DGRAM)
        owners, second = s.owner_names(), {}
        for o in owners:
            self.addresses[o] = self._take_port(socket.SOCK_STREAM)
        if owners or any(fault.do in BY_OPERATOR for fault in s.fault):
            second = self.operator.admins = {n: self._take_port(socket.SOCK_STREAM) for n in nodes}
        self.listen = {n: plain(address) for n, address in self.addresses.items()}
        self.admins = {n: plain(address) for n, address in second.items()}
        # agents tell the relay's addresses of hosts, and lie behind the relay themselves
        ways = [[n, h, ends[h]] for n in nodes for h in hosts]
        ways += [["clients", n, self.addresses[n]] for n in nodes]
        ways += [[a, o, self.addresses[o]] for a in owners + nodes for o in owners if a != o]
        ways += [[o, n, second[n]] for o in owners for n in nodes]
        opened = await self.workers["relay"].ask("open", ways=ways, peers=self.peers)
        at = {(a, b): address for a, b, address in opened["streams"]}
        places = {n: {h: plain(at[n, h]) for h in hosts} for n in nodes}
        self.seen_owners = {
            a: {o[1:]: self.listen[o] if a == o else plain(at[a, o]) for o in owners}
            for a in owners + nodes
        }  # fmt: skip
        self.seen_admins = {o: {n: plain(at[o, n]) for n in nodes} for o in owners}
        agents = await self.workers["agents"].ask("open", places=places)
        more = await self.workers["relay"].ask("more", ways=[[n, f"d{n[1:]}", agents[n]] for n in nodes])
        self.agents = {a: plain(address) for a, _, address in more}
        wires = {(a, b): plain(address) for a, b, address in opened["wires"]}
        self.seen_peers = {
            n: [plain(self.peers[p]) if p == n else wires[n, p] for p in nodes] for n in nodes
        }  # fmt: skip
        self.everyone = {n: wires[n, "*"] for n in nodes}
        await self.workers["clients"].ask("open", addresses={n: at["clients", n] for n in nodes})
        await self._measure_relay()

    async def _play(self) -> None:
        self.skew_from_the_start()
        owners = [self._start_owner(o) for o in self.scenario.owner_names()]
        await asyncio.gather(*(self._start(n) for n in self.scenario.node_names()), *owners)
        if any(e["ev"] == "crash" for e in self.history.events):
            return
        await self._zero()
        self.timeline.start()
        await asyncio.sleep(CLIENTS_FROM)
        await self.workers["clients"].ask("start")
        seconds = self.scenario.seconds - CLIENTS_FROM
        await self._wait(seconds)
        await self.workers["clients"].ask("stop")
        await self._wait(self.length - self.scenario.seconds)

    async def _zero(self) -> None:
        """The run's time begins once all nodes are ready, however long the machine took over that."""
        origin = time.monotonic() * 1000.0
        shift, self.boot = origin - self.origin, time.time() * 1000.0
        for worker in self.workers.values():
            await worker.ask("zero", origin=origin, boot=self.boot)
        for event in self.history.events:
            event["t"] = round(event["t"] - shift, 3)
        self.origin, self.late = origin, 0.0

    async def _wait(self, seconds: float) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until and self.failed is None:
            await asyncio.sleep(min(0.05, max(until - time.monotonic(), 0.0)))

    async def _close(self) -> None:
        """Ends every process of the run, stopped or not, and waits for it."""
        everyone = [p.process for p in self.workers.values() if p.process is not None]
        everyone += list(self.processes.values())
        for process in everyone:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
        for process in everyone:
            await process.wait()
        self.taken.close()
        tasks = self.starting + self.launcher.tasks + self.operator.tasks
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *(p.reader for p in self.workers.values()), return_exceptions=True)
        for worker in self.workers.values():
            for future in worker.waiting.values():
                if future.done():
                    future.exception()
