"""Relay process for all traffic between the two regions of a run, so that the regions can be cut off.

It reads the plan and then commands from standard input, one JSON object per line, and writes one line for
each to standard output when it is done. During a cut, open connections hang: data and ends of connections
are delivered after the cut has ended, and new connections are neither refused nor answered
(`caperdeck/lab/relay.py`).
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import msgspec
from twisted.internet import stdio

from caperdeck.distribution.publisher_selection import Place
from caperdeck.lab.links import Links
from caperdeck.lab.parent_death import end_with_parent
from caperdeck.lab.plan_reader import PlanReader, OrderHandler, OutputWriter
from caperdeck.lab.relay import Relay
from caperdeck.lab.rig_process import VoidError
from caperdeck.lab.scale.processes import ChildProcess
from caperdeck.lifecycle.reactor import install_reactor
from caperdeck.state.addresses import parse_address

from .plan import other_region

reactor = install_reactor()

NO_DELAY = (0.0, 0.0)  # milliseconds
LINE = b"\n"


class RelayPlan(msgspec.Struct):
    """The instances that the other region reaches through the relay."""

    instances: list[tuple[Place, str]]  # place and address of each


class RelayAddresses(msgspec.Struct):
    """The answer to the plan: the relay's address for each instance, by its name."""

    addresses: dict[str, str]


class CutCommand(msgspec.Struct):
    """Starts or ends a cut between the regions."""

    cut: bool


class CommandDone(msgspec.Struct):
    """The command has been carried out."""


class RegionRelay:
    """The relay inside the process; each instance is relayed for the other region."""

    def __init__(self, plan: RelayPlan, write: OutputWriter) -> None:
        self.write = write
        self.relay = Relay(reactor, Links(0, lambda a, b: NO_DELAY), lambda *_, **__: None)
        self.addresses: dict[str, str] = {}
        for place, address in plan.instances:
            host, port = self.relay.add_stream_route(
                other_region(place.region), place.name, parse_address(address)
            )
            self.addresses[place.name] = f"{host}:{port}"
        self._answer(RelayAddresses(self.addresses))

    def take(self, line: bytes) -> None:
        self._carry_out(msgspec.json.decode(line, type=CutCommand))
        self._answer(CommandDone())

    def _answer(self, answer: RelayAddresses | CommandDone) -> None:
        self.write(msgspec.json.encode(answer) + LINE)

    def _carry_out(self, command: CutCommand) -> None:
        for region, instance in self.relay.stream_routes:
            for a, b in ((region, instance), (instance, region)):
                self.relay.set_link_faults(a, b, {"cut": int(command.cut)})


class RelayChild(ChildProcess):
    """The parent's side of the relay process."""

    def __init__(self, folder: Path) -> None:
        super().__init__("relay", "caperdeck.lab.propagation.relay", folder / "relay.log")
        self.addresses: dict[str, str] = {}

    async def start(self, plan: RelayPlan) -> None:
        await self.spawn()
        self.addresses = (await self._ask(plan, RelayAddresses)).addresses

    async def cut(self, on: bool) -> None:
        await self._ask(CutCommand(on), CommandDone)

    async def _ask(self, message: RelayPlan | CutCommand, answer: Any) -> Any:
        self.process.stdin.write(msgspec.json.encode(message) + LINE)
        line = await self.process.stdout.readline()
        if not line.endswith(LINE):
            raise VoidError(f"the relay ended: {self.log.read_bytes()[-300:]!r}")
        return msgspec.json.decode(line, type=answer)


def main() -> int:
    end_with_parent()

    def begin(plan: RelayPlan, write: OutputWriter) -> OrderHandler:
        return RegionRelay(plan, write).take

    stdio.StandardIO(PlanReader(RelayPlan, begin))
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
