"""Starts and signals processes under test, and reads the events that each writes to a pipe."""

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

LAUNCH_ARGUMENTS = ("-B", "-m", "caperdeck.lab.launch")
CRASH_TEXT_BYTES = 300  # of the end of the log, reported with a crash


class Launcher:
    """Keeps the processes under test by name.

    `run_time` converts CLOCK_MONOTONIC milliseconds to the time of the run; `exited` is called with the name
    and exit code of a process that has ended.
    """

    def __init__(
        self, history: History, run_time: Callable[[float], float], exited: Callable[[str, int], None],
    ) -> None:  # fmt: skip
        self.history, self.run_time, self.exited = history, run_time, exited
        self.processes: dict[str, Process] = {}
        self.tasks: list[asyncio.Task] = []

    async def start(
        self, name: str, arguments: list[str], log: Path, clock_skew: tuple[float, float],
        environment: dict[str, str],
    ) -> Process:  # fmt: skip
        """Starts a process; `clock_skew` is its clock offset in ms and its drift in ms per second."""
        offset, drift = clock_skew
        read_fd, write_fd = os.pipe()
        environment |= {"LAB_OFFSET": str(offset), "LAB_DRIFT": str(drift), "LAB_EVENTS": str(write_fd)}
        try:
            with open(log, "ab") as output:
                process = self.processes[name] = await asyncio.create_subprocess_exec(
                    sys.executable, *LAUNCH_ARGUMENTS, *arguments, cwd=ROOT, env=os.environ | environment,
                    stdin=DEVNULL, stdout=output, stderr=output, pass_fds=(write_fd,),
                )  # fmt: skip
        finally:
            os.close(write_fd)
        self.tasks.append(asyncio.ensure_future(self._read_events(name, read_fd)))
        self.tasks.append(asyncio.ensure_future(self._await_exit(name, process)))
        return process

    async def _read_events(self, name: str, read_fd: int) -> None:
        """Records the events that the process writes itself, about leases and actions, in their order."""
        reader = asyncio.StreamReader()
        pipe = os.fdopen(read_fd, "rb", 0)
        transport, _ = await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), pipe
        )
        try:
            while (line := await reader.readline()).endswith(b"\n"):
                event = msgspec.json.decode(line)
                event["t"], event["who"] = round(self.run_time(event.pop("mono")), 3), name
                self.history.record(event)
        finally:
            transport.close()

    async def _await_exit(self, name: str, process: Process) -> None:
        code = await process.wait()
        # An upgrade may have renamed the process meanwhile.
        known = (other for other, found in self.processes.items() if found is process)
        self.exited(next(known, name), code)

    def alive(self, name: str) -> bool:
        process = self.processes.get(name)
        return process is not None and process.returncode is None

    def signal(self, name: str, number: int) -> bool:
        """Sends a signal; returns whether the process was running."""
        if self.alive(name):
            with suppress(ProcessLookupError):
                self.processes[name].send_signal(number)
                return True
        return False

    def report_crash(self, name: str, process: Process, log: Path) -> None:
        """Records the failed start of a process, unless it was killed or exited without an error."""
        if process.returncode is None or process.returncode > 0:
            text = log.read_bytes()[-CRASH_TEXT_BYTES:].decode("utf-8", "replace")
            self.history.emit("crash", who=name, code=process.returncode, text=text)
