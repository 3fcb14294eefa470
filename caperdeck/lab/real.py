"""Runs a scenario with real processes: nodes as `caperdeck serve`, workers, and a relay between them."""

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

from .fleet import CLIENT_START_S, LEAVE_NOTICE_S, Fleet
from .history import Event
from .launch import suspend_signal
from .launcher import Launcher
from .operator import OLD_SUFFIX, Operator
from .ports import Ports
from .probes import accepts, answers_ping
from .process_files import write_instance_file, write_node_file, write_owners_file, write_sharing_file
from .rig_process import START_TIMEOUT_S, RigProcess, VoidError
from .scenario import OPERATOR_FAULTS, MAX_REAL_NODES, Scenario, ScenarioError
from .setup import node_config
from .system_errors import ErrorRate
from .wall_clock import WallClock

MIN_RELAY_HEADROOM = 2.0  # the relay must carry this many times the scenario's connection rate
SIGNALS_AFTER_TERM = (
    (0.01, signal.SIGTERM),
    (0.05, signal.SIGHUP),
    (0.3, signal.SIGTERM),
    (0.31, signal.SIGHUP),
)
WORKER_ROLES = ("hosts", "agents", "clients", "relay")
LOOPBACK = "127.0.0.1"
POLL_INTERVAL_S = 0.02  # between attempts to reach a starting process


def format_address(address: tuple[str, int]) -> str:
    """The address as `host:port`."""
    return "{}:{}".format(*address)


class RealFleet(Fleet):
    """A fleet of real processes on loopback, all of whose links pass through the relay."""

    def __init__(
        self, scenario: Scenario, seed: int | None = None, watch: Callable[[Event], None] | None = None,
        logs: str | None = None,
    ) -> None:  # fmt: skip
        if scenario.nodes > MAX_REAL_NODES:
            raise ScenarioError(
                f"nodes: {scenario.nodes} is over {MAX_REAL_NODES}, the limit for real processes"
            )
        self.origin = time.monotonic() * 1000.0
        self.origin_unix_ms = time.time() * 1000.0
        super().__init__(scenario, seed, watch)
        self.logs = logs
        self.wall_clocks: dict[str, WallClock] = {}
        self.error_rates: dict[str, ErrorRate] = {}
        self.disk_rates: dict[str, ErrorRate] = {}
        self.operator = Operator(self, scenario.node_names(), scenario.clients.wait / 1000.0)
        self.launcher = Launcher(self.history, self._run_time, self._exited)
        self.processes = self.launcher.processes
        self.start_tasks: list[asyncio.Task] = []
        self.launching: set[str] = set()  # names whose process is being created
        self.workers: dict[str, RigProcess] = {}
        self.max_late_ms = 0.0
        self.relay_rate_per_s = 0.0
        self.headroom_known: asyncio.Future | None = None
        self.ports = Ports()
        self.failure: BaseException | None = None

    def now(self) -> float:
        return self._run_time(time.monotonic() * 1000.0)

    def _run_time(self, monotonic: float) -> float:
        return monotonic - self.origin

    def handle_event(self, event: Event) -> None:
        """Handles an event from a worker: rig events here, all others go into the history."""
        kind = event["ev"]
        if kind == "late":
            self.max_late_ms = max(self.max_late_ms, event["ms"])
        elif kind == "headroom":
            self.relay_rate_per_s = event["per_s"]
            if self.headroom_known is not None and not self.headroom_known.done():
                self.headroom_known.set_result(None)
        elif kind == "born":
            self.workers["agents"].send_command("list", name=event["to"], state="cold", boot=event["at"])
        else:
            self.history.record(event)

    # ---- operations for faults

    def later(self, wait: float, do: Callable[..., None], *args: Any) -> Any:
        return asyncio.get_running_loop().call_later(wait, self._guard, do, args)

    def _guard(self, do: Callable[..., None], args: tuple) -> None:
        try:
            do(*args)
        except Exception as error:
            self.failure = self.failure or error

    def alive(self, node: str) -> bool:
        return self.launcher.alive(node)

    def start(self, node: str) -> None:
        if self.alive(node) or node in self.launching:
            return
        self.launching.add(node)
        start = self._start_node if node[0] == "n" else self._start_instance
        self.start_tasks.append(asyncio.ensure_future(start(node)))

    async def _start_instance(self, name: str) -> None:
        life = self.lives[name] = self.lives.get(name, 0) + 1
        path = write_instance_file(
            Path(self.folder),
            name,
            self.listen_addresses[name],
            self.instance_addresses[name],
            self.admin_addresses_by_instance[name],
        )
        process = await self._launch(name, ["owner", "serve", f"--config={path}"])
        if await self._wait_until_up(name, process, accepts):
            self.emit_life(name, "up", life=life)

    async def _start_node(self, node: str) -> None:
        life = self.lives[node] = self.lives.get(node, 0) + 1
        process = await self._launch_node(node, life)
        if await self._wait_until_up(node, process, answers_ping):
            self.emit_life(node, "up", life=life)
            self.update_front_end("ready", node)

    async def launch_successor(self, node: str) -> tuple[tuple[str, int], Process]:
        """Starts a successor beside the serving process; returns its admin address and the process."""
        life = self.lives[node] = self.lives[node] + 1
        admin_address = self._take_port(socket.SOCK_STREAM)
        self.admin_addresses[node] = format_address(admin_address)
        self.processes[node + OLD_SUFFIX] = self.processes[node]
        return admin_address, await self._launch_node(node, life)

    async def _launch_node(self, node: str, life: int) -> Process:
        config = node_config(
            self.scenario, node, self.listen_addresses[node], self.discovery_addresses[node], life, self.seed,
            self.peer_addresses_by_node[node], self.broadcast_addresses[node],
            format_address(self.peers[node]), self.extra_settings(node),
            admin=self.admin_addresses.get(node),
        )  # fmt: skip
        # One file per life: a process reads its file late, when its successor may have been started already.
        path = write_node_file(Path(self.folder), f"{node}-{life}", config)
        scratch = Path(self.folder) / f"{node}-disk"
        scratch.mkdir(exist_ok=True)
        arguments = ["serve", *self._sharing_flag(), *self._owners_flag(node)]
        arguments += ["--subsets"] * self.scenario.subsets
        return await self._launch(node, arguments, EDGE_CONFIG=str(path), TMPDIR=str(scratch))

    async def _launch(self, name: str, arguments: list[str], **environment: str) -> Process:
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
            skew = self.clock_skews.get(name, (0.0, 0.0))
            return await self.launcher.start(name, arguments, self.log_path(name), skew, environment)
        finally:
            self.launching.discard(name)

    async def _wait_until_up(
        self, name: str, process: Process, answers: Callable[[str, int], Awaitable[bool]],
    ) -> bool:  # fmt: skip
        """Waits until a process answers and opens its routes at the relay; returns whether it did in time."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and process.returncode is None:
            if await answers(*self.addresses[name]):
                self.workers["relay"].send_command("down", name=name, down=False)
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        self.launcher.report_crash(name, process, self.log_path(name))
        return False

    def log_path(self, name: str) -> Path:
        return Path(self.logs or self.folder) / f"{name}.log"

    def extra_settings(self, node: str) -> dict[str, Any] | None:
        """Settings of a node's configuration that override the scenario's."""
        return None

    def _owners_flag(self, node: str) -> list[str]:
        if not self.scenario.owners:
            return []
        return [f"--owners={write_owners_file(Path(self.folder), node, self.instance_addresses[node])}"]

    def _sharing_flag(self) -> list[str]:
        uses = self.scenario.sharing_features()
        return [] if uses is None else [f"--sharing={write_sharing_file(Path(self.folder), uses)}"]

    def _exited(self, name: str, code: int) -> None:
        if self.is_closing:
            return
        if name.endswith(OLD_SUFFIX) or self.alive(name + OLD_SUFFIX):
            # Another process of the node still serves.
            if code > 0:
                self.history.emit(
                    "crash", who=name.removesuffix(OLD_SUFFIX), code=code, text="ended by itself"
                )
            return
        self.workers["relay"].send_command("down", name=name, down=True)
        self.process_ended(name, "exit" if code == 0 else "killed")
        if code > 0:
            self.history.emit("crash", who=name, code=code, text="ended by itself")

    def kill(self, node: str) -> None:
        for name in (node, node + OLD_SUFFIX):
            self.launcher.signal(name, signal.SIGKILL)

    def terminate(self, node: str) -> None:
        for wait, number in SIGNALS_AFTER_TERM if self.scenario.signals_in_series else ():
            self.later(wait, self.launcher.signal, node, number)
        if self.launcher.signal(node, signal.SIGTERM):
            self.emit_life(node, "stopping")
            if node[0] == "n":
                self.later(LEAVE_NOTICE_S, self.update_front_end, "leaves", node)

    def suspend(self, node: str) -> None:
        if self.launcher.signal(node, signal.SIGSTOP):
            self.emit_life(node, "asleep")

    def suspend_at_act(self, owner: str, work: str, after: bool) -> None:
        self.launcher.signal(owner, suspend_signal(work, after))

    def resume(self, node: str) -> None:
        if self.alive(node):
            self.emit_life(node, "awake")
            if node[0] == "o":
                self.launcher.signal(node, signal.SIGRTMIN)
            # A suspended process may have a successor by now.
            for name in (node, node + OLD_SUFFIX):
                self.launcher.signal(name, signal.SIGCONT)

    def step_wall_clock(self, node: str, offset: float) -> None:
        self.wall_clocks[node].step_to(offset / 1000.0)

    def set_call_error_rate(self, node: str, rate: float) -> None:
        self.error_rates[node].set(rate)

    def set_disk_error_rate(self, node: str, rate: float) -> None:
        self.disk_rates[node].set(rate)

    def reload(self, node: str) -> None:
        self.launcher.signal(node, signal.SIGHUP)

    def upgrade(self, node: str) -> None:
        self.operator.upgrade(node)

    def exclude_host(self, host: str, out: bool) -> None:
        self.operator.exclude_host(host, out)

    def set_idle_connections(self, node: str, clients: int) -> None:
        self.workers["clients"].send_command("crowd", node=node, number_of=clients)

    def update_front_end(self, what: str, node: str) -> None:
        self.workers["clients"].send_command("front", what=what, node=node)

    def reset(self, a: str, b: str) -> None:
        self.workers["relay"].send_command("reset", a=a, b=b)

    def hold(self, a: str, b: str, on: bool) -> None:
        self.workers["relay"].send_command("hold", a=a, b=b, on=on)

    def link_changed(self, a: str, b: str) -> None:
        trouble = self.links.link_faults(a, b)
        values = {key: getattr(trouble, key) for key in ("loss", "double", "reorder", "delay", "cut")}
        self.workers["relay"].send_command("trouble", a=a, b=b, values=values)

    def control_host(self, name: str, what: str, amount: float = 0.0) -> None:
        if what == "stop":
            self.workers["relay"].send_command("down", name=name, down=True)
        elif what == "start":
            self.workers["relay"].send_command("down", name=name, down=False)
        self.workers["hosts"].send_command("host", name=name, what=what, amount=amount)

    def change_listing(self, name: str, state: str) -> None:
        if state != "cold":  # a cold host is listed once the worker has reported its start time
            self.workers["agents"].send_command("list", name=name, state=state, boot=None)

    def set_discovery_silent(self, node: str, silent: bool) -> None:
        self.workers["agents"].send_command("hush", node=node, silent=silent)

    # ---- the run

    def run(self) -> list[Event]:
        """Runs the scenario; raises VoidError if the machine was too slow for a valid result."""
        return asyncio.run(self._run())

    async def _run(self) -> list[Event]:
        self.is_closing = False
        with tempfile.TemporaryDirectory(prefix="caperdeck-lab-") as self.folder:
            try:
                await self._open()
                await self._run_scenario()
            finally:
                self.is_closing = True
                await self._close()
        if self.failure is not None:
            raise self.failure
        return self.history.sorted()

    async def _start_workers(self) -> None:
        for role in WORKER_ROLES:
            self.workers[role] = RigProcess(self, role)
            await self.workers[role].start()

    async def _measure_relay(self) -> None:
        """Raises VoidError if the relay's capacity is too low for the scenario."""
        self.headroom_known = asyncio.get_running_loop().create_future()
        await self.workers["relay"].request("headroom")
        await asyncio.wait_for(self.headroom_known, START_TIMEOUT_S)
        if self.relay_rate_per_s < MIN_RELAY_HEADROOM * self.scenario.clients.rate:
            capacity = f"the relay carries {self.relay_rate_per_s:.0f} connections a second"
            raise VoidError(f"{capacity}, {self.scenario.clients.rate:g} are required")

    def _take_port(self, kind: int) -> tuple[str, int]:
        return LOOPBACK, self.ports.reserve(kind)

    async def _open(self) -> None:
        scenario, nodes, hosts = self.scenario, self.scenario.node_names(), self.scenario.host_names()
        await self._start_workers()
        host_addresses = await self.workers["hosts"].request("open")
        self.addresses, self.peers = {}, {}
        for n in nodes:
            self.addresses[n] = self._take_port(socket.SOCK_STREAM)
            self.peers[n] = self._take_port(socket.SOCK_DGRAM)
        owners, admin_endpoints = scenario.owner_names(), {}
        for o in owners:
            self.addresses[o] = self._take_port(socket.SOCK_STREAM)
        if owners or any(fault.do in OPERATOR_FAULTS for fault in scenario.fault):
            admin_endpoints = self.operator.admin_addresses = {
                n: self._take_port(socket.SOCK_STREAM) for n in nodes
            }
        self.listen_addresses = {n: format_address(address) for n, address in self.addresses.items()}
        self.admin_addresses = {n: format_address(address) for n, address in admin_endpoints.items()}
        # Agents list the relay's addresses of hosts, and are reached through the relay themselves.
        stream_routes = [[n, h, host_addresses[h]] for n in nodes for h in hosts]
        stream_routes += [["clients", n, self.addresses[n]] for n in nodes]
        stream_routes += [[a, o, self.addresses[o]] for a in owners + nodes for o in owners if a != o]
        stream_routes += [[o, n, admin_endpoints[n]] for o in owners for n in nodes]
        opened = await self.workers["relay"].request("open", ways=stream_routes, peers=self.peers)
        relayed_addresses = {(a, b): address for a, b, address in opened["streams"]}
        host_addresses_by_node = {
            n: {h: format_address(relayed_addresses[n, h]) for h in hosts} for n in nodes
        }
        self.instance_addresses = {
            a: {
                o[1:]: self.listen_addresses[o] if a == o else format_address(relayed_addresses[a, o])
                for o in owners
            }
            for a in owners + nodes
        }  # fmt: skip
        self.admin_addresses_by_instance = {
            o: {n: format_address(relayed_addresses[o, n]) for n in nodes} for o in owners
        }
        agent_addresses = await self.workers["agents"].request("open", places=host_addresses_by_node)
        agent_routes = await self.workers["relay"].request(
            "more", ways=[[n, f"d{n[1:]}", agent_addresses[n]] for n in nodes]
        )
        self.discovery_addresses = {a: format_address(address) for a, _, address in agent_routes}
        datagram_addresses = {(a, b): format_address(address) for a, b, address in opened["wires"]}
        self.peer_addresses_by_node = {
            n: [format_address(self.peers[p]) if p == n else datagram_addresses[n, p] for p in nodes]
            for n in nodes
        }  # fmt: skip
        self.broadcast_addresses = {n: datagram_addresses[n, "*"] for n in nodes}
        await self.workers["clients"].request(
            "open", addresses={n: relayed_addresses["clients", n] for n in nodes}
        )
        await self._measure_relay()

    async def _run_scenario(self) -> None:
        self.apply_initial_clock_skews()
        owners = [self._start_instance(o) for o in self.scenario.owner_names()]
        await asyncio.gather(*(self._start_node(n) for n in self.scenario.node_names()), *owners)
        if any(e["ev"] == "crash" for e in self.history.events):
            return
        await self._reset_time_origin()
        self.timeline.start()
        await asyncio.sleep(CLIENT_START_S)
        await self.workers["clients"].request("start")
        seconds = self.scenario.seconds - CLIENT_START_S
        await self._wait(seconds)
        await self.workers["clients"].request("stop")
        await self._wait(self.duration_s - self.scenario.seconds)

    async def _reset_time_origin(self) -> None:
        """Starts the time of the run once all nodes are ready, however long that took."""
        origin = time.monotonic() * 1000.0
        shift, self.origin_unix_ms = origin - self.origin, time.time() * 1000.0
        for worker in self.workers.values():
            await worker.request("zero", origin=origin, boot=self.origin_unix_ms)
        for event in self.history.events:
            event["t"] = round(event["t"] - shift, 3)
        self.origin, self.max_late_ms = origin, 0.0

    async def _wait(self, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline and self.failure is None:
            await asyncio.sleep(min(0.05, max(deadline - time.monotonic(), 0.0)))

    async def _close(self) -> None:
        """Kills all processes of the run, suspended ones too, and waits for them."""
        all_processes = [p.process for p in self.workers.values() if p.process is not None]
        all_processes += list(self.processes.values())
        for process in all_processes:
            if process.returncode is None:
                with suppress(ProcessLookupError):
                    process.kill()
        for process in all_processes:
            await process.wait()
        self.ports.close()
        tasks = self.start_tasks + self.launcher.tasks + self.operator.tasks
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, *(p.reader for p in self.workers.values()), return_exceptions=True)
        for worker in self.workers.values():
            for future in worker.pending.values():
                if future.done():
                    future.exception()
