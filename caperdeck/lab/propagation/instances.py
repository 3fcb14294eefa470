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
from caperdeck.distribution.publisher_selection import Place
from caperdeck.distribution.document import Document
from caperdeck.lab.ports import Ports
from caperdeck.lab.rig_process import ROOT, VoidError
from caperdeck.owner.commands import call_instance
from caperdeck.owner.config import OwnerEndpoints, load_owners
from caperdeck.owner.process import boottime_ms
from caperdeck.state.addresses import Address, parse_address

from .plan import CLUSTER, NORTH, SOUTH, instance_places

PORT_KIND = 1  # of the ports' keeper
LEADS_WITHIN = 20.0  # seconds
LOOK = 0.05  # seconds


class Published(msgspec.Struct):
    """A committed version. It was committed between `asked` and `answered`, in ms of the shared clock."""

    revision: int
    asked: float
    answered: float


class WatchFigures(msgspec.Struct):
    """Of one instance, since its start."""

    instance: str
    open: int
    most: int  # that it takes
    connects_in_a_second: int  # the highest, of those that it took
    snapshots_at_once: int  # the highest
    turned_away: int  # told to come later


class Instances:
    def __init__(self, count: int, folder: Path) -> None:
        self.places = instance_places(count)
        self.folder, self.ports = folder, Ports()
        self.addresses = [f"127.0.0.1:{self.ports.reserve(PORT_KIND)}" for _ in range(count)]
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.owners: dict[str, OwnerEndpoints] = {}  # what operators know, by their region

    def write_files(self, across: dict[str, str]) -> None:
        """`across`: by name, where whoever is in the other region reaches an instance, if elsewhere."""
        for region in (NORTH, SOUTH):
            path = self.folder / f"owners-{region}.toml"
            path.write_text(tomli_w.dumps({"cluster": CLUSTER, "instances": self._table(region, across)}))
            self.owners[region] = load_owners(str(path))
        for i, place in enumerate(self.places):
            table = self._table(place.region, across)
            row = {"cluster": CLUSTER, "me": i, "folder": str(self.folder / f"o{i}"), "instances": table}
            self._file(i).write_text(tomli_w.dumps(row))

    def _table(self, region: str, across: dict[str, str]) -> dict[str, str]:
        """By number, where whoever is in that region reaches the instances."""
        return {
            str(i): address if place.region == region else across.get(place.name, address)
            for i, (place, address) in enumerate(self.placed())
        }

    def placed(self) -> list[tuple[Place, str]]:
        """Each with its own address."""
        return list(zip(self.places, self.addresses, strict=True))

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
        until = boottime_ms() + LEADS_WITHIN * 1000.0
        while boottime_ms() < until:
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
        return await asyncio.to_thread(call_instance, parse_address(self.addresses[i]), CLUSTER, body)

    async def lead_from(self, i: int) -> None:
        """That instance leads from now on. Raises VoidError."""
        until = boottime_ms() + LEADS_WITHIN * 1000.0
        while (leader := await self.leader()) != i:
            if boottime_ms() > until:
                raise VoidError(f"o{i} did not come to lead within {LEADS_WITHIN:g} s")
            await self._ask(leader, {"do": "transfer", "number": i})
            await asyncio.sleep(LOOK)

    async def watches(self) -> list[WatchFigures]:
        """What each instance that answers says of its watches."""
        said = [(i, await self._ask(i, {"do": "status"})) for i in self.processes]
        return [
            WatchFigures(f"o{i}", **known["watches"]) for i, known in said if known and known.get("watches")
        ]

    async def publish(self, document: Document) -> Published:
        """By the operators' command in the larger region; raises VoidError where it does not commit."""
        times: list[float] = []
        revisions: list[int] = []

        def timed(address: Address, cluster: str, body: Any) -> Any:
            if body["do"] == "publish":
                times.append(boottime_ms())
            answer = call_instance(address, cluster, body)
            if body["do"] == "publish" and isinstance(answer, dict) and answer.get("ok") is True:
                times.append(boottime_ms())
                revisions.append(answer["revision"])
            return answer

        def call() -> int:
            with contextlib.redirect_stdout(io.StringIO()):
                return commands.publish(self.owners[NORTH], document, None, timed)

        try:
            await asyncio.to_thread(call)
        except (commands.InputError, commands.UnknownError) as error:
            raise VoidError(f"publish: {error}") from None
        return Published(revisions[-1], times[0], times[-1])
