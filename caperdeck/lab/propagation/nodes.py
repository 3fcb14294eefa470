"""A process of many nodes that run only the configuration part of `caperdeck serve --control`.

Each node has its own watch, connection and version file (`lifecycle/published.py`), validates each version
against its own configuration and merges it. The service that would use the configuration is left out, and all
nodes of the process share one disk thread.
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

from .plan import CLUSTER, NORTH, SOUTH, AppliedVersion, NodePlan, Plan, RefusedVersion, Report

reactor = install_reactor()


# Gives the message aim of one listener. A version with two listeners is refused, because the second has none.
SINGLE_LISTENER_SETTINGS = {"specifics": {"messageAim": [0.3, "none"]}}


class StubMetrics:
    """The metrics of a service that `PublishedConfig` updates."""

    rejected_configs = 0


class StubSessionHandler:
    """The part of a service's session handler that `PublishedConfig` uses."""

    def __init__(self) -> None:
        self.metrics = StubMetrics()


class ControlledNode(PublishedConfig):
    """A node that replaces the service: it only keeps the configuration and records applied versions."""

    clock = staticmethod(boottime_ms)

    def __init__(
        self, control: Control, disk: DiskThread, applied_versions: list[AppliedVersion], refuses: bool
    ) -> None:
        file_config = PLACEHOLDER_CONFIG | {"name": control.place.name}
        if refuses:
            file_config |= {"settings": file_config["settings"] | SINGLE_LISTENER_SETTINGS}
        super().__init__(
            reactor, control, lambda: replace(decode(file_config, None), file_values=file_config), disk
        )
        self.applied_versions, self.handler = applied_versions, StubSessionHandler()
        self.config = self.initial_config(self.read_file())

    @property
    def name(self) -> str:
        return self.control.place.name

    def refusal(self) -> RefusedVersion:
        return RefusedVersion(self.name, *self.watch.refused)

    def apply_config(self, config: Config) -> None:
        self.config = config

    def activate(self, held: HeldVersion, prepared: Config) -> None:
        super().activate(held, prepared)
        self.applied_versions.append(AppliedVersion(self.name, held.revision, boottime_ms()))


def instances_seen_from(plan: Plan, region: str) -> dict[str, Instance]:
    """The instances at the addresses at which a node of that region reaches them."""
    instances = {}
    for name, (place, address) in plan.instances.items():
        reached_at = address if place.region == region else plan.across.get(name, address)
        instances[name] = Instance(place, parse_address(reached_at))
    return instances


class NodesProcess:
    """All nodes of this process; writes a report about them at a fixed interval."""

    def __init__(self, plan: Plan, traffic: Traffic, write: Any) -> None:
        self.plan, self.traffic, self.write = plan, traffic, write
        start_logging("ERROR")
        self.applied_versions: list[AppliedVersion] = []
        self.initial_versions: list[AppliedVersion] = []
        self.heartbeat = HeartbeatMonitor(plan.beat_ms)
        self.base_uss = psutil.Process().memory_full_info().uss
        self.encode = msgspec.json.Encoder().encode
        self.instances = {region: instances_seen_from(plan, region) for region in (NORTH, SOUTH)}
        self.disk = DiskThread(reactor)
        self.nodes = [self._node(node) for node in plan.nodes]

    def _node(self, node: NodePlan) -> ControlledNode:
        control = Control(CLUSTER, node.place, node.folder, self.instances[node.place.region])
        controlled_node = ControlledNode(control, self.disk, self.applied_versions, node.refuses)
        self.initial_versions.append(
            AppliedVersion(node.place.name, controlled_node.initial_version.revision, boottime_ms())
        )
        return controlled_node

    def start(self) -> None:
        for node in self.nodes:
            node.start(node)
        limit_gc_to_new_objects()
        self.heartbeat.reset(time.monotonic())
        self.record_heartbeat()
        self.write_report()

    def record_heartbeat(self) -> None:
        self.heartbeat.record_beat(time.monotonic())
        reactor.callLater(HEARTBEAT_INTERVAL_S, self.record_heartbeat)

    def write_report(self) -> None:
        reactor.callLater(self.plan.report, self.write_report)
        uncurrent = [node for node in self.nodes if node.watch.state() is not State.CURRENT]
        stale = [node.name for node in uncurrent if node.watch.state() is State.STALE]
        report = Report(
            not uncurrent, self.applied_versions.copy(), self.initial_versions.copy(),
            [node.name for node in uncurrent], stale,
            [node.refusal() for node in self.nodes if node.watch.refused is not None],
            time.process_time(), self.base_uss, self.traffic, self.heartbeat.stats,
        )  # fmt: skip
        self.applied_versions.clear()
        self.initial_versions.clear()
        self.write(self.encode(report) + b"\n")


def ignore_command(line: bytes) -> None:
    """Ignores input after the plan, because this process takes no commands."""


def main() -> int:
    end_with_parent()
    traffic = count_traffic()

    def begin(plan: Plan, write: OutputWriter) -> OrderHandler:
        NodesProcess(plan, traffic, write).start()
        return ignore_command

    stdio.StandardIO(PlanReader(Plan, begin))
    reactor.run(installSignalHandlers=False)
    return 0


if __name__ == "__main__":
    sys.exit(main())
