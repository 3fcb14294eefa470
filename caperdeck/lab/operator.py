"""A simulated operator: excludes and re-admits hosts at running nodes, and upgrades their processes."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from .faults import KILL_DELAY_S, MAX_DRAIN_WAIT_S
from .history import History
from .launcher import Launcher

ANSWER_TIMEOUT_S = 1.0  # of an admin call
RETRY_INTERVAL_S = 0.1  # between calls until one is acknowledged
READY_TIMEOUT_S = 6.0  # from the start of a successor until `readyz` is acknowledged
POLL_INTERVAL_S = 0.02
OLD_SUFFIX = "-old"  # of the name of a process whose successor has been started
ACK, NAK_UNKNOWN_HOST = b"ACK", b"NAK unknown-host"


class OperatedFleet(Protocol):
    """What the operator needs of the fleet."""

    history: History
    launcher: Launcher

    def alive(self, node: str) -> bool: ...

    async def launch_successor(self, node: str) -> Any:
        """Starts a successor beside the serving process; returns its admin address and the process."""

    def log_path(self, name: str) -> Path: ...


class Operator:
    """Runs exclusions and upgrades as background tasks."""

    def __init__(self, fleet: OperatedFleet, node_names: list[str], max_wait_s: float) -> None:
        """`max_wait_s` is the longest wait of a client."""
        self.fleet, self.node_names = fleet, node_names
        self.kill_after = min(max_wait_s, MAX_DRAIN_WAIT_S) + KILL_DELAY_S
        self.admin_addresses: dict[str, tuple[str, int]] = {}  # of the process that is called, by node
        self.exclusion_wanted: dict[str, bool] = {}  # by host
        self.upgrading: set[str] = set()
        self.tasks: list[asyncio.Task] = []

    def exclude_host(self, host: str, out: bool) -> None:
        """Calls every node until it acknowledges, or until the operator wants the opposite."""
        self.exclusion_wanted[host] = out
        for node in self.node_names:
            self._start_task(self._call_until_acknowledged(node, host, out))

    def upgrade(self, node: str) -> None:
        if self.fleet.alive(node) and node not in self.upgrading:
            self._start_task(self._upgrade(node))

    def _start_task(self, work: Any) -> None:
        self.tasks.append(asyncio.ensure_future(work))

    async def _call_until_acknowledged(self, node: str, host: str, out: bool) -> None:
        if not out:
            # Nodes may send to the host as soon as the call is made.
            self.fleet.history.emit("ban", who=node, to=host, out=False)
        verb = b"exclude" if out else b"include"
        while self.exclusion_wanted[host] is out:
            answer = await call(self.admin_addresses[node], verb + b" " + host.encode())
            if answer.startswith(ACK):
                if out and self.exclusion_wanted[host]:
                    self.fleet.history.emit("ban", who=node, to=host, out=True)
                return
            if answer.startswith(NAK_UNKNOWN_HOST):
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _upgrade(self, node: str) -> None:
        """Starts a successor, and terminates the old process once the successor serves clients."""
        self.upgrading.add(node)
        try:
            old = self.fleet.launcher.processes[node]
            admin_address, successor = await self.fleet.launch_successor(node)
            if not await self._wait_until_ready(lambda: call(admin_address, b"readyz"), successor):
                self.fleet.launcher.report_crash(node, successor, self.fleet.log_path(node))
                if successor.returncode is not None and old.returncode is None:
                    self.fleet.launcher.processes[node] = old
                return
            self.admin_addresses[node] = admin_address
            if old.returncode is None:
                old.send_signal(signal.SIGTERM)
            asyncio.get_running_loop().call_later(self.kill_after, kill, old)
        finally:
            self.upgrading.discard(node)

    async def _wait_until_ready(self, ask: Callable[[], Any], process: Any) -> bool:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline and process.returncode is None:
            if (await ask()).startswith(ACK):
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False


def kill(process: Any) -> None:
    if process.returncode is None:
        process.kill()


async def call(address: tuple[str, int], line: bytes) -> bytes:
    """Makes an admin call; returns the first line of the answer, empty if there is none in time."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return b""
    try:
        writer.write(line + b"\r\n")
        return await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
    except (TimeoutError, OSError):
        return b""
    finally:
        writer.close()
