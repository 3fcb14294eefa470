"""What an operator does to nodes that run: takes hosts out and calls them back, and replaces processes."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

from .faults import KILL_AFTER, LONGEST_WAIT
from .history import History
from .launcher import Launcher

ANSWER_WITHIN = 1.0  # seconds, of a call
CALL_AGAIN = 0.1  # seconds until a call without a yes is made again
READY_WITHIN = 6.0  # seconds from a start until the new process says that it takes clients
POLL = 0.02
OLD = "-old"  # what the name of a process ends in whose successor has been started
YES, UNKNOWN = b"ACK", b"NAK unknown-host"


class Nodes(Protocol):
    """The fleet, as far as an operator sees it."""

    history: History
    launcher: Launcher

    def alive(self, node: str) -> bool: ...

    async def launch_second(self, node: str) -> Any:
        """Starts a process beside the one that serves; its second address."""

    def log_of(self, name: str) -> Path: ...


class Operator:
    def __init__(self, nodes: Nodes, node_names: list[str], wait: float) -> None:
        """`wait` is the longest wait of a client, in seconds."""
        self.nodes, self.node_names = nodes, node_names
        self.kill_after = min(wait, LONGEST_WAIT) + KILL_AFTER
        self.admin_addresses: dict[
            str, tuple[str, int]
        ] = {}  # the second address of the process that is called
        self.wanted: dict[str, bool] = {}  # by host: out, or back
        self.upgrading: set[str] = set()
        self.tasks: list[asyncio.Task] = []

    def exclude_host(self, host: str, out: bool) -> None:
        """Calls every node until it says yes, or the operator wants the contrary."""
        self.wanted[host] = out
        for node in self.node_names:
            self._begin(self._call_until_yes(node, host, out))

    def upgrade(self, node: str) -> None:
        if self.nodes.alive(node) and node not in self.upgrading:
            self._begin(self._upgrade(node))

    def _begin(self, work: Any) -> None:
        self.tasks.append(asyncio.ensure_future(work))

    async def _call_until_yes(self, node: str, host: str, out: bool) -> None:
        if not out:
            # the host may be sent to as soon as the call is made
            self.nodes.history.emit("ban", who=node, to=host, out=False)
        verb = b"exclude" if out else b"include"
        while self.wanted[host] is out:
            answer = await call(self.admin_addresses[node], verb + b" " + host.encode())
            if answer.startswith(YES):
                if out and self.wanted[host]:
                    self.nodes.history.emit("ban", who=node, to=host, out=True)
                return
            if answer.startswith(UNKNOWN):
                return
            await asyncio.sleep(CALL_AGAIN)

    async def _upgrade(self, node: str) -> None:
        """Starts a second process, and ends the first once the second takes clients."""
        self.upgrading.add(node)
        try:
            old = self.nodes.launcher.processes[node]
            admin, second = await self.nodes.launch_second(node)
            if not await self._until(lambda: call(admin, b"readyz"), second):
                self.nodes.launcher.report_crash(node, second, self.nodes.log_of(node))
                if second.returncode is not None and old.returncode is None:
                    self.nodes.launcher.processes[node] = old
                return
            self.admin_addresses[node] = admin
            if old.returncode is None:
                old.send_signal(signal.SIGTERM)
            asyncio.get_running_loop().call_later(self.kill_after, kill, old)
        finally:
            self.upgrading.discard(node)

    async def _until(self, ask: Callable[[], Any], process: Any) -> bool:
        until = time.monotonic() + READY_WITHIN
        while time.monotonic() < until and process.returncode is None:
            if (await ask()).startswith(YES):
                return True
            await asyncio.sleep(POLL)
        return False


def kill(process: Any) -> None:
    if process.returncode is None:
        process.kill()


async def call(address: tuple[str, int], line: bytes) -> bytes:
    """The first line of the answer, empty where there is none in time."""
    try:
        reader, writer = await asyncio.open_connection(*address)
    except OSError:
        return b""
    try:
        writer.write(line + b"\r\n")
        return await asyncio.wait_for(reader.readline(), ANSWER_WITHIN)
    except (TimeoutError, OSError):
        return b""
    finally:
        writer.close()
