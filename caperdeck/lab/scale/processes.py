"""Starts, feeds, reads and ends the processes of a run that are neither real nodes nor instances."""

from __future__ import annotations

import asyncio
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

import msgspec

from caperdeck.lab.rig_process import ROOT, VoidError

from .lists import OPEN
from .plan import Order, Plan, Sample

LONGEST_LINE = 1 << 20


class ChildProcess:
    def __init__(self, name: str, module: str, log: Path) -> None:
        self.name, self.module, self.log = name, module, log
        self.process: Any = None

    async def spawn(self, *words: str) -> None:
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", self.module, *words, cwd=ROOT, limit=LONGEST_LINE,
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


class Lists(ChildProcess):
    """Discovery of the hollow nodes."""

    def __init__(self, folder: Path) -> None:
        super().__init__("lists", "caperdeck.lab.scale.lists", folder / "lists.log")

    async def start(self, address: str, within: float) -> None:
        await self.spawn(address)
        if await asyncio.wait_for(self.process.stdout.readline(), within) != OPEN:
            raise VoidError("the rig's list of hosts did not open")


class Rack(ChildProcess):
    """A hollow process; its nodes die together."""

    def __init__(self, name: str, folder: Path) -> None:
        super().__init__(name, "caperdeck.lab.scale.stub_nodes", folder / f"{name}.log")
        self.wanted = False  # it should live
        self.at = 0.0  # when the last sample came, seconds
        self.last: Sample | None = None
        self.reader: Any = None

    async def start(self, plan: Plan) -> None:
        self.last, self.wanted = None, True
        await self.spawn()
        self._write(plan)
        self.reader = asyncio.ensure_future(self._read())

    def _write(self, message: Plan | Order) -> None:
        self.process.stdin.write(msgspec.json.encode(message) + b"\n")

    def tell(self, order: Order) -> None:
        if self.alive:
            self._write(order)

    async def _read(self) -> None:
        decode = msgspec.json.Decoder(Sample).decode
        while (line := await self.process.stdout.readline()).endswith(b"\n"):
            self.last, self.at = decode(line), time.monotonic()

    @property
    def ready(self) -> bool:
        return self.alive and self.last is not None and self.last.ready

    async def kill(self) -> None:
        self.wanted = False
        await super().kill()
        if self.reader is not None:
            with suppress(asyncio.CancelledError):
                await self.reader
