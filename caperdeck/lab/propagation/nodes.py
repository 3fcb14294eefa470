"""A process of many nodes that carry the control side of `caperdeck serve --control` and nothing else.

Each node has its own watch, connection and version file (`lifecycle/published.py`), checks each version over
its own configuration and merges it. What is left out is the service that would put it to use, and the thread
for the disk is one for the whole process.
"""

from __future__ import annotations

import sys
import time
from dataclasses import replace
from typing import Any

import msgspec
import psutil
from twisted.internet import stdio

from caperdeck.distribution.node import DiskThread
from caperdeck.distribution.subscriber import HeldVersion, State
from caperdeck.lab.parent_death import end_with_parent
from caperdeck.lab.plan_reader import PlanReader, OrderHandler, OutputWriter
from caperdeck.lab.scale.heartbeat import HEARTBEAT_INTERVAL_S, HeartbeatMonitor
from caperdeck.lab.scale.stub_nodes import limit_gc_to_new_objects
from caperdeck.lab.scale.traffic import Traffic, count_traffic
from caperdeck.lifecycle.config import Config, decode
from caperdeck.lifecycle.control import Control, Instance
from caperdeck.lifecycle.logs import start_logging
from caperdeck.lifecycle.merge import PLACEHOLDER_CONFIG
from caperdeck.lifecycle.published import PublishedConfig
from caperdeck.lifecycle.reactor import install_reactor
from caperdeck.owner.process import boottime_ms
from caperdeck.state.addresses import parse_address

from .plan import CLUSTER, NORTH, SOUTH, InForce, NodePlan, Plan, Refused, Report

reactor = install_reactor()


# For one listener: a version with two is refused over it, as it says nothing of the second one's aim.
ONE_AIM = {"specifics": {"messageAim": [0.3, "none"]}}


class Metrics:
    """What `PublishedConfig` counts at a service."""

    rejected_configs = 0


class SessionHandler:
    def __init__(self) -> None:
        self.metrics = Metrics()


class ControlledNode(PublishedConfig):
    """Stands for the service too: takes a configuration by keeping it."""

    clock = staticmethod(boottime_ms)

    def __init__(self, control: Control, disk: DiskThread, put: list[InForce], refuses: bool) -> None:
        own = PLACEHOLDER_CONFIG | {"name": control.place.name}
        if refuses:
            own |= {"settings": own["settings"] | ONE_AIM}
        super().__init__(reactor, control, lambda: replace(decode(own, None), file_values=own), disk)
        self.put, self.handler = put, SessionHandler()
        self.config = self.initial_config(self.read_file())

    @property
    def name(self) -> str:
        return self.control.place.name

    def refusal(self) -> Refused:
        return Refused(self.name, *self.watch.refused)

    def apply_config(self, config: Config) -> None:
        self.config = config

    def activate(self, held: HeldVersion, prepared: Config) -> None:
        super().activate(held, prepared)
        self.put.append(InForce(self.name, held.revision, boottime_ms()))


def instances_of(plan: Plan, region: str) -> dict[str, Instance]:
    """As a node of that region reaches them."""
    found = {}
    for name, (place, address) in plan.instances.items():
        reached_at = address if place.region == region else plan.across.get(name, address)
        found[name] = Instance(place, parse_address(reached_at))
    return found


class NodesProcess:
    def __init__(self, plan: Plan, traffic: Traffic, write: Any) -> None:
        self.plan, self.traffic, self.write = plan, traffic, write
        start_logging("ERROR")
        self.put: list[InForce] = []
        self.begun: list[InForce] = []
        self.heartbeat = HeartbeatMonitor(plan.beat_ms)
        self.base_uss = psutil.Process().memory_full_info().uss
        self.encode = msgspec.json.Encoder().encode
        self.instances = {region: instances_of(plan, region) for region in (NORTH, SOUTH)}
        self.disk = DiskThread(reactor)
        self.nodes = [self._node(node) for node in plan.nodes]

    def _node(self, node: NodePlan) -> ControlledNode:
        control = Control(CLUSTER, node.place, node.folder, self.instances[node.place.region])
        made = ControlledNode(control, self.disk, self.put, node.refuses)
        self.begun.append(InForce(node.place.name, made.initial_version.revision, boottime_ms()))
        return made

    def start(self) -> None:
        for node in self.nodes:
            node.start(node)
        limit_gc_to_new_objects()
        self.heartbeat.reset(time.monotonic())
        self.beat()
        self.report()

    def beat(self) -> None:
        self.heartbeat.record_beat(time.monotonic())
        reactor.callLater(HEARTBEAT_INTERVAL_S, self.beat)

    def report(self) -> None:
        reactor.callLater(self.plan.report, self.report)
        uncurrent = [node for node in self.nodes if node.watch.state() is not State.CURRENT]
        stale = [node.name for node in uncurrent if node.watch.state() is State.STALE]
        report = Report(
            not uncurrent, self.put.copy(), self.begun.copy(), [node.name for node in uncurrent], stale,
            [node.refusal() for node in self.nodes if node.watch.refused is not None],
            time.process_time(), self.base_uss, self.traffic, self.heartbeat.stats,
        )  # fmt: skip
        self.put.clear()
        self.begun.clear()
        self.write(self.encode(report) + b"\n")


def ignore_order(line: bytes) -> None:
    """There are no orders after the plan."""


def main() -> int:
    end_with_parent()
    traffic = count_traffic()

    def begin(plan: Plan, write: OutputWriter) -> OrderHandler:
        NodesProcess(plan, traffic, write).start()
        return ignore_order

    stdio.StandardIO(PlanReader(Plan, begin))
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
