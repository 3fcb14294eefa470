"""Processes of the program under test: started, heard by a pipe of their own, signalled."""

from __future__ import annotations

import asyncio
import os
import sys
from asyncio.subprocess import DEVNULL, Process
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import msgspec

from .history import History
from .rig_process import ROOT

LAUNCH = ("-B", "-m", "caperdeck.lab.launch")
LAST_WORDS = 300  # bytes of a log that a crash is reported with


class Launcher:
    """`run_time` turns CLOCK_MONOTONIC in milliseconds into the run's time; `exited` takes name and code."""

    def __init__(
        self, history: History, run_time: Callable[[float], float], exited: Callable[[str, int], None],
    ) -> None:  # fmt: skip
        self.history, self.run_time, self.exited = history, run_time, exited
        self.processes: dict[str, Process] = {}
        self.tasks: list[asyncio.Task] = []

    async def start(
        self, name: str, words: list[str], log: Path, skew: tuple[float, float], environment: dict[str, str],
    ) -> Process:  # fmt: skip
        """`skew` is the offset of its clock in milliseconds, and what it gains in a second."""
        offset, drift = skew
        reading, writing = os.pipe()
        environment |= {"LAB_OFFSET": str(offset), "LAB_DRIFT": str(drift), "LAB_EVENTS": str(writing)}
        try:
            with open(log, "ab") as output:
                process = self.processes[name] = await asyncio.create_subprocess_exec(
                    sys.executable, *LAUNCH, *words, cwd=ROOT, env=os.environ | environment,
                    stdin=DEVNULL, stdout=output, stderr=output, pass_fds=(writing,),
                )  # fmt: skip
        finally:
            os.close(writing)
        self.tasks.append(asyncio.ensure_future(self._hear(name, reading)))
        self.tasks.append(asyncio.ensure_future(self._await_exit(name, process)))
        return process

    async def _hear(self, name: str, reading: int) -> None:
        """What the process itself says of leases and acts, in the order in which it happened there."""
        reader = asyncio.StreamReader()
        pipe = os.fdopen(reading, "rb", 0)
        transport, _ = await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), pipe
        )
        try:
            while (line := await reader.readline()).endswith(b"\n"):
                event = msgspec.json.decode(line)
                event["t"], event["who"] = round(self.run_time(event.pop("mono")), 3), name
                self.history.take(event)
        finally:
            transport.close()

    async def _await_exit(self, name: str, process: Process) -> None:
        code = await process.wait()
        # it may go by another name by now, as another process took over from it
        known = (other for other, found in self.processes.items() if found is process)
        self.exited(next(known, name), code)

    def alive(self, name: str) -> bool:
        process = self.processes.get(name)
        return process is not None and process.returncode is None

    def signal(self, name: str, number: int) -> bool:
        """Whether it was there to be signalled."""
        if self.alive(name):
            with suppress(ProcessLookupError):
                self.processes[name].send_signal(number)
                return True
        return False

    def report_crash(self, name: str, process: Process, log: Path) -> None:
        """One that does not come up, unless it was killed or ended without an error."""
        if process.returncode is None or process.returncode > 0:
            text = log.read_bytes()[-LAST_WORDS:].decode("utf-8", "replace")
            self.history.emit("crash", who=name, code=process.returncode, text=text)
