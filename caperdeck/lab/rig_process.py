"""The rig's side of a worker process: starts it, sends it commands and reads its events.

The worker's side is `worker.py`.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any, Protocol

import msgspec

from .history import Event
from .scenario import Scenario, dump

ROOT = Path(__file__).resolve().parents[2]
START_TIMEOUT_S = 20.0  # for a worker to open and a node to answer PING, on a busy machine
MAX_LINE_BYTES = 16 << 20  # bytes


class VoidError(Exception):
    """The machine was too slow or the rig itself failed, so that the run says nothing about the nodes."""


class Run(Protocol):
    """What a worker process needs of its run."""

    scenario: Scenario
    seed: int
    origin: float  # of the run's times, in CLOCK_MONOTONIC milliseconds
    origin_unix_ms: float  # the same moment in Unix milliseconds

    def handle_event(self, event: Event) -> None:
        """Handles an event that a worker has recorded."""


class RigProcess:
    """A worker process; it answers each command with the event `done`."""

    def __init__(self, fleet: Run, role: str) -> None:
        self.fleet, self.role = fleet, role
        self.last_command, self.pending = 0, {}
        self.process: Any = None

    async def start(self) -> None:
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-B", "-m", "caperdeck.lab.worker", self.role, cwd=ROOT, limit=MAX_LINE_BYTES,
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        fleet = self.fleet
        self._write({
            "scenario": dump(fleet.scenario), "seed": fleet.seed, "origin": fleet.origin,
            "boot": fleet.origin_unix_ms,
        })  # fmt: skip
        self.reader = asyncio.ensure_future(self._read())

    def _write(self, value: dict[str, Any]) -> None:
        if self.process.stdin.transport.is_closing():
            raise VoidError(f"the worker process of the {self.role} has ended")
        self.process.stdin.write(msgspec.json.encode(value) + b"\n")

    def send_command(self, do: str, **values: Any) -> asyncio.Future:
        """Sends a command; the future has its answer."""
        self.last_command += 1
        self._write({"do": do, "number": self.last_command, **values})
        answer = self.pending[self.last_command] = asyncio.get_running_loop().create_future()
        return answer

    async def request(self, do: str, **values: Any) -> Any:
        """Sends a command and waits for its answer."""
        return await asyncio.wait_for(self.send_command(do, **values), START_TIMEOUT_S)

    async def _read(self) -> None:
        decode = msgspec.json.Decoder(dict).decode
        while line := await self.process.stdout.readline():
            event = decode(line)
            if event["ev"] == "done":
                future = self.pending.pop(event["number"])
                if not future.done():
                    future.set_result(event["answer"])
            else:
                self.fleet.handle_event(event)
        for future in self.pending.values():
            if not future.done():
                future.set_exception(VoidError(f"the worker process of the {self.role} has ended"))
