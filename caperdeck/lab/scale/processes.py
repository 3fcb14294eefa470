"""Starts, commands, reads and ends the child processes of a run other than real nodes and instances."""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from caperdeck.lab.rig_process import ROOT, VoidError

from .lists import READY_LINE
from .plan import Command, Plan, Sample

MAX_LINE_BYTES = 1 << 20


class ChildProcess:
    """A Python module run as a child process, with pipes for input and output and a log file for errors."""

    def __init__(self, name: str, module: str, log: Path) -> None:
        self.name, self.module, self.log = name, module, log
        self.process: Any = None

    async def spawn(self, *arguments: str) -> None:
        """Starts the module with command-line arguments."""
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", self.module, *arguments, cwd=ROOT, limit=MAX_LINE_BYTES,
                stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE, stderr=log,
            )  # fmt: skip

    @property
    def pid(self) -> int:
        return self.process.pid

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def kill(self) -> None:
        if self.alive:
            with suppress(ProcessLookupError):
                self.process.kill()
        if self.process is not None:
            await self.process.wait()


class DiscoveryProcess(ChildProcess):
    """The process that serves discovery to the stub nodes."""

    def __init__(self, folder: Path) -> None:
        super().__init__("lists", "caperdeck.lab.scale.lists", folder / "lists.log")

    async def start(self, address: str, within: float) -> None:
        """Starts the process; raises VoidError or TimeoutError if it does not listen within some seconds."""
        await self.spawn(address)
        if await asyncio.wait_for(self.process.stdout.readline(), within) != READY_LINE:
            raise VoidError("the rig's discovery process did not start listening")


class Rack(ChildProcess):
    """A stub process; its nodes stand for a rack, as they are killed together."""

    def __init__(self, name: str, folder: Path) -> None:
        super().__init__(name, "caperdeck.lab.scale.stub_nodes", folder / f"{name}.log")
        self.expected_alive = False
        self.sampled_at = 0.0  # monotonic time of the last sample, seconds
        self.last_sample: Sample | None = None
        self.reader: Any = None

    async def start(self, plan: Plan) -> None:
        """Starts the process with a plan and reads its samples from then on."""
        self.last_sample, self.expected_alive = None, True
        await self.spawn()
        self._write(plan)
        self.reader = asyncio.ensure_future(self._read_samples())

    def _write(self, message: Plan | Command) -> None:
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    def send(self, command: Command) -> None:
        """Sends a command unless the process has ended."""
        if self.alive:
            self._write(command)

    async def _read_samples(self) -> None:
        decode = msgspec.json.Decoder(Sample).decode
        while (line := await self.process.stdout.readline()).endswith(b"\n"):
            self.last_sample, self.sampled_at = decode(line), time.monotonic()

    @property
    def ready(self) -> bool:
        """Whether all nodes of the process are started."""
        return self.alive and self.last_sample is not None and self.last_sample.ready

    async def kill(self) -> None:
        self.expected_alive = False
        await super().kill()
        if self.reader is not None:
            with suppress(asyncio.CancelledError):
                await self.reader
