"""The instances of a run: `caperdeck owner serve` as processes, killed, stopped and asked."""

from __future__ import annotations

import asyncio
import contextlib
import io
import signal
import sys
from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from caperdeck.distribution import commands
from caperdeck.distribution.document import Document
from caperdeck.lab.ports import Ports
from caperdeck.lab.rig_process import ROOT, VoidError
from caperdeck.owner.commands import ask
from caperdeck.owner.config import load_owners
from caperdeck.owner.process import steady
from caperdeck.state.addresses import Address

from .plan import CLUSTER, instance_places

PORT_KIND = 1  # of the ports' keeper
LEADS_WITHIN = 20.0  # seconds
LOOK = 0.05  # seconds


class Published(msgspec.Struct):
    """A committed version. It was committed between `asked` and `answered`, in ms of the shared clock."""

    revision: int
    asked: float
    answered: float


class Instances:
    def __init__(self, count: int, folder: Path) -> None:
        self.places = instance_places(count)
        self.folder, self.ports = folder, Ports()
        self.addresses = [f"127.0.0.1:{self.ports.take(PORT_KIND)}" for _ in range(count)]
        table = {str(i): address for i, address in enumerate(self.addresses)}
        path = folder / "owners.toml"
        path.write_text(tomli_w.dumps({"cluster": CLUSTER, "instances": table}))
        self.owners = load_owners(str(path))
        for i in range(count):
            row = {"cluster": CLUSTER, "me": i, "folder": str(folder / f"o{i}"), "instances": table}
            self._file(i).write_text(tomli_w.dumps(row))
        self.processes: dict[int, asyncio.subprocess.Process] = {}

    def _file(self, i: int) -> Path:
        return self.folder / f"o{i}.toml"

    async def start(self, i: int) -> None:
        with open(self.folder / f"o{i}.log", "ab") as log:
            self.processes[i] = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", "caperdeck", "owner", "serve", f"--config={self._file(i)}",
                cwd=ROOT, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            )  # fmt: skip

    async def start_all(self) -> None:
        for i in range(len(self.places)):
            await self.start(i)
        await self.leader()

    async def kill(self, i: int) -> None:
        self.processes[i].kill()
        await self.processes[i].wait()

    def stop(self, i: int) -> None:
        self.processes[i].send_signal(signal.SIGSTOP)

    def wake(self, i: int) -> None:
        self.processes[i].send_signal(signal.SIGCONT)

    def dead(self) -> list[str]:
        return [f"o{i}" for i, process in self.processes.items() if process.returncode is not None]

    async def close(self) -> None:
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
            await process.wait()

    # ---- calls

    async def leader(self) -> int:
        """The number of the one that leads and has a quorum. Raises VoidError where none does in time."""
        until = steady() + LEADS_WITHIN * 1000.0
        while steady() < until:
            for i in range(len(self.places)):
                said = await self._ask(i, {"do": "versions"})
                known = await self._ask(i, {"do": "status"}) if said else None
                if known and known.get("leader") is not None:
                    return known["leader"]
            await asyncio.sleep(LOOK)
        raise VoidError(f"no instance led within {LEADS_WITHIN:g} s")

    async def _ask(self, i: int, body: dict[str, Any]) -> Any:
        if self.processes[i].returncode is not None:
            return None
        return await asyncio.to_thread(ask, self.owners.instances[i], CLUSTER, body)

    async def publish(self, document: Document) -> Published:
        """By the operators' command; raises VoidError where it does not commit."""
        times: list[float] = []
        revisions: list[int] = []

        def timed(address: Address, cluster: str, body: Any) -> Any:
            if body["do"] == "publish":
                times.append(steady())
            answer = ask(address, cluster, body)
            if body["do"] == "publish" and isinstance(answer, dict) and answer.get("ok") is True:
                times.append(steady())
                revisions.append(answer["revision"])
            return answer

        def call() -> int:
            with contextlib.redirect_stdout(io.StringIO()):
                return commands.publish(self.owners, document, None, timed)

        try:
            await asyncio.to_thread(call)
        except (commands.InputError, commands.UnknownError) as error:
            raise VoidError(f"publish: {error}") from None
        return Published(revisions[-1], times[0], times[-1])
