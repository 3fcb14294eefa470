"""The process that all traffic between the two regions of a run goes through, so that it can be cut.

Standard input: the plan, then orders, a JSON object a line. Standard output: a line for each once it is done.
While the regions are cut off from each other, connections hang half open: what is written on them comes after
the heal, their ends too; new ones are not refused but not answered either (`caperdeck/lab/relay.py`).
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
    """The instances that are reached from the other region through here."""

    instances: list[tuple[Place, str]]  # with the address of each


class Across(msgspec.Struct):
    """The answer to the plan: by name of an instance the address for whoever is in the other region."""

    addresses: dict[str, str]


class Order(msgspec.Struct):
    """The regions are cut off from each other from now on, or not any more."""

    cut: bool


class Done(msgspec.Struct):
    """The order is carried out."""


class RegionRelay:
    def __init__(self, plan: RelayPlan, write: OutputWriter) -> None:
        self.write = write
        self.relay = Relay(reactor, Links(0, lambda a, b: NO_DELAY), lambda *_, **__: None)
        self.across: dict[str, str] = {}
        for place, address in plan.instances:
            host, port = self.relay.add_stream_route(
                other_region(place.region), place.name, parse_address(address)
            )
            self.across[place.name] = f"{host}:{port}"
        self._answer(Across(self.across))

    def take(self, line: bytes) -> None:
        self._carry_out(msgspec.json.decode(line, type=Order))
        self._answer(Done())

    def _answer(self, answer: Across | Done) -> None:
        self.write(msgspec.json.encode(answer) + LINE)

    def _carry_out(self, order: Order) -> None:
        for region, instance in self.relay.stream_routes:
            for a, b in ((region, instance), (instance, region)):
                self.relay.set_link_faults(a, b, {"cut": int(order.cut)})


class RelayChild(ChildProcess):
    """The run's side of that process."""

    def __init__(self, folder: Path) -> None:
        super().__init__("relay", "caperdeck.lab.propagation.relay", folder / "relay.log")
        self.addresses: dict[str, str] = {}

    async def start(self, plan: RelayPlan) -> None:
        await self.spawn()
        self.addresses = (await self._ask(plan, Across)).addresses

    async def cut(self, on: bool) -> None:
        await self._ask(Order(on), Done)

    async def _ask(self, message: RelayPlan | Order, answer: Any) -> Any:
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
