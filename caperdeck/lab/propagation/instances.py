"""The control instances of a run: starts, stops, kills and queries `caperdeck owner serve` processes."""

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

SOCKET_TYPE = 1  # socket.SOCK_STREAM, for reserved ports
LEADER_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


class PublishedVersion(msgspec.Struct):
    """A version that was committed between `asked` and `answered`, in ms of the shared clock."""

    revision: int
    asked: float
    answered: float


class WatchStats(msgspec.Struct):
    """Watch counters of one instance since its start."""

    instance: str
    open: int
    most: int  # limit of open watches
    connects_in_a_second: int  # highest number of accepted connections
    snapshots_at_once: int  # highest number
    turned_away: int  # connections that were told to retry later


class Instances:
    """The processes of all instances, with their addresses and configuration files."""

    def __init__(self, count: int, folder: Path) -> None:
        self.places = instance_places(count)
        self.folder, self.ports = folder, Ports()
        self.addresses = [f"127.0.0.1:{self.ports.reserve(SOCKET_TYPE)}" for _ in range(count)]
        self.processes: dict[int, asyncio.subprocess.Process] = {}
        self.owners: dict[str, OwnerEndpoints] = {}  # the operators' configuration, by region

    def write_files(self, relay_addresses: dict[str, str]) -> None:
        """Writes all configuration files; `relay_addresses` are those for the other region, by name."""
        for region in (NORTH, SOUTH):
            path = self.folder / f"owners-{region}.toml"
            path.write_text(
                tomli_w.dumps({"cluster": CLUSTER, "instances": self._table(region, relay_addresses)})
            )
            self.owners[region] = load_owners(str(path))
        for i, place in enumerate(self.places):
            table = self._table(place.region, relay_addresses)
            row = {"cluster": CLUSTER, "me": i, "folder": str(self.folder / f"o{i}"), "instances": table}
            self._file(i).write_text(tomli_w.dumps(row))

    def _table(self, region: str, relay_addresses: dict[str, str]) -> dict[str, str]:
        """Addresses at which a region reaches the instances, by their numbers."""
        return {
            str(i): address if place.region == region else relay_addresses.get(place.name, address)
            for i, (place, address) in enumerate(self.places_with_addresses())
        }

    def places_with_addresses(self) -> list[tuple[Place, str]]:
        """All instances, each with its own address."""
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
        """Number of the leader that has a quorum; raises VoidError if there is none in time."""
        until = boottime_ms() + LEADER_TIMEOUT_S * 1000.0
        while boottime_ms() < until:
            for i in range(len(self.places)):
                versions = await self._ask(i, {"do": "versions"})
                status = await self._ask(i, {"do": "status"}) if versions else None
                if status and status.get("leader") is not None:
                    return status["leader"]
            await asyncio.sleep(POLL_INTERVAL_S)
        raise VoidError(f"no instance led within {LEADER_TIMEOUT_S:g} s")

    async def _ask(self, i: int, body: dict[str, Any]) -> Any:
        if self.processes[i].returncode is not None:
            return None
        return await asyncio.to_thread(call_instance, parse_address(self.addresses[i]), CLUSTER, body)

    async def transfer_leadership(self, i: int) -> None:
        """Transfers leadership to an instance; raises VoidError if that fails."""
        until = boottime_ms() + LEADER_TIMEOUT_S * 1000.0
        while (leader := await self.leader()) != i:
            if boottime_ms() > until:
                raise VoidError(f"o{i} did not come to lead within {LEADER_TIMEOUT_S:g} s")
            await self._ask(leader, {"do": "transfer", "number": i})
            await asyncio.sleep(POLL_INTERVAL_S)

    async def watches(self) -> list[WatchStats]:
        """Watch counters of each instance that answers."""
        statuses = [(i, await self._ask(i, {"do": "status"})) for i in self.processes]
        return [
            WatchStats(f"o{i}", **status["watches"])
            for i, status in statuses
            if status and status.get("watches")
        ]

    async def publish(self, document: Document) -> PublishedVersion:
        """Publishes with the operators' command in the larger region; raises VoidError if it fails."""
        times: list[float] = []
        revisions: list[int] = []

        def timed_call(address: Address, cluster: str, body: Any) -> Any:
            if body["do"] == "publish":
                times.append(boottime_ms())
            answer = call_instance(address, cluster, body)
            if body["do"] == "publish" and isinstance(answer, dict) and answer.get("ok") is True:
                times.append(boottime_ms())
                revisions.append(answer["revision"])
            return answer

        def run_command() -> int:
            with contextlib.redirect_stdout(io.StringIO()):
                return commands.publish(self.owners[NORTH], document, None, timed_call)

        try:
            await asyncio.to_thread(run_command)
        except (commands.InputError, commands.UnknownError) as error:
            raise VoidError(f"publish: {error}") from None
        return PublishedVersion(revisions[-1], times[0], times[-1])
