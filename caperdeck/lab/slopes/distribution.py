"""Cost of the distribution of configuration: of a watch and of a version, at a node and at the instance.

Three instances as processes, of which a follower is watched. Watches are of nodes without a service, many to
a process; what a version costs a node is of one `caperdeck serve --control`, which puts it in force.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from caperdeck.core.settings import MS
from caperdeck.distribution.subscriber import HEARTBEAT_INTERVAL_MS

from . import bench
from .line import Point
from .process import unique_set_size
from .publishing_instances import INSTANCES, PublishingInstances, document_bytes
from .record import Measurement, Source, make_measurement
from .watching_nodes import NodesSample, ProcessorMeter, WatchingNodes

NODE = "n0"  # the bench's name of its node


class Sizes(NamedTuple):
    watches: tuple[int, ...]
    processes: int  # that the nodes of these share
    documents: tuple[int, ...]  # bytes
    watches_by_size: int  # where the document's size is varied
    small: int  # bytes of the document, where the number of watches is
    unwatched: float  # seconds without watches, before each number of them
    idle: float  # seconds without versions
    answered: float  # seconds after a version is in force in which all nodes have asked for the newest
    versions: int  # of each size
    history: int  # versions after which an instance's memory is read: more than it keeps


FULL = Sizes(
    watches=(50, 100, 200, 400, 800), processes=4,
    documents=(2000, 25_000, 50_000, 100_000, 200_000, 400_000), watches_by_size=64, small=2000,
    unwatched=1.5, idle=4.0, answered=1.2, versions=5, history=33,
)  # fmt: skip
SMALL = Sizes(
    watches=(2, 4, 6, 8), processes=2, documents=(1000, 2000, 4000, 8000), watches_by_size=4, small=1000,
    unwatched=0.3, idle=HEARTBEAT_INTERVAL_MS / MS, answered=0.2, versions=2, history=3,
)  # fmt: skip


class WatchCost(NamedTuple):
    """Of a number of watches at one instance, whose nodes share some processes."""

    watches: int
    node_cpu: float  # seconds a second of one process of nodes
    node_bytes: float  # a second, of one process of nodes
    node_memory: float  # bytes of one process of nodes
    cpu: float  # seconds a second of the instance
    memory: int  # bytes of the instance
    subscribe_cpu: float  # seconds of the instance until all nodes are current
    version_cpu: float  # seconds of the instance for a small version


class VersionCost(NamedTuple):
    """Of one version at one watch."""

    size: int  # bytes of the document
    bytes: float  # to and from the node
    cpu: float  # seconds of the instance


class NodeVersionCost(NamedTuple):
    """Of one version at `caperdeck serve --control`."""

    size: int
    cpu: float  # seconds
    memory: int  # bytes of the process, after some versions


class CommitCost(NamedTuple):
    """Of one version at the instances, without any watch."""

    size: int
    cpu: float  # seconds of the leader
    memory: int  # bytes of the leader, with all versions that it keeps


class IdleCost(NamedTuple):
    """A second, while no version is published."""

    node_cpu: float  # seconds, all nodes together
    node_bytes: float
    cpu: float  # seconds of the watched instance


class Spent(NamedTuple):
    """While some versions were published and came into force, beyond what the same time idle costs."""

    node_bytes: float  # all nodes together
    cpu: float  # seconds of the watched instance


def idle_cost(instances: PublishingInstances, nodes: WatchingNodes, seconds: float) -> IdleCost:
    meter, before = instances.meter(instances.watched), nodes.samples()
    time.sleep(seconds)
    after, (used, passed) = nodes.samples(), meter.read()
    return IdleCost(_rate(before, after, "cpu"), _rate(before, after, "bytes"), used / passed)


def _rate(before: list[NodesSample], after: list[NodesSample], field: str) -> float:
    """A second, over all processes of nodes."""
    return sum(
        (getattr(b, field) - getattr(a, field)) / (b.at - a.at) for a, b in zip(before, after, strict=True)
    )


def spent(
    instances: PublishingInstances, nodes: WatchingNodes, idle: IdleCost, size: int, sizes: Sizes,
) -> Spent:  # fmt: skip
    meter, before = instances.meter(instances.watched), nodes.samples()
    for _ in range(sizes.versions):
        nodes.wait_until_applied(instances.publish(size))
    time.sleep(sizes.answered)
    after, (used, passed) = nodes.samples(), meter.read()
    span = sum(b.at - a.at for a, b in zip(before, after, strict=True)) / len(after)
    size_sent = sum(b.bytes - a.bytes for a, b in zip(before, after, strict=True))
    return Spent(size_sent - idle.node_bytes * span, used - idle.cpu * passed)


# ---- against watches


def watch_cost(instances: PublishingInstances, watches: int, sizes: Sizes, folder: Path) -> WatchCost:
    unwatched = instances.meter(instances.watched)
    time.sleep(sizes.unwatched)
    used, passed = unwatched.read()
    meter = instances.meter(instances.watched)
    with WatchingNodes(watches, sizes.processes, instances.address, folder) as nodes:
        taken_up, took = meter.read()
        time.sleep(sizes.answered)
        idle = idle_cost(instances, nodes, sizes.idle)
        memory, node_memory = instances.memory(instances.watched), nodes.memory()
        found = spent(instances, nodes, idle, sizes.small, sizes)
    instances.check()
    return WatchCost(
        watches, idle.node_cpu / sizes.processes, idle.node_bytes / sizes.processes,
        node_memory / sizes.processes, idle.cpu, memory, taken_up - used / passed * took,
        found.cpu / sizes.versions,
    )  # fmt: skip


# ---- against the size of a version


def version_cost(
    instances: PublishingInstances, nodes: WatchingNodes, idle: IdleCost, size: int, sizes: Sizes,
) -> VersionCost:  # fmt: skip
    nodes.wait_until_applied(
        instances.publish(size)
    )  # the changes on the one before are as large from here on
    found = spent(instances, nodes, idle, size, sizes)
    each = sizes.versions * nodes.count
    return VersionCost(document_bytes(size), found.node_bytes / each, found.cpu / each)


def node_version_cost(
    instances: PublishingInstances, node: bench.NodeProcess, idle: float, size: int, sizes: Sizes,
) -> NodeVersionCost:  # fmt: skip
    """`idle`: seconds of processor time a second that the node takes without versions."""
    instances.wait_until_reported(NODE, instances.publish(size))
    meter = ProcessorMeter(node.pid)
    for _ in range(sizes.versions):
        instances.wait_until_reported(NODE, instances.publish(size))
    time.sleep(sizes.answered)
    used, passed = meter.read()
    cpu = (used - idle * passed) / sizes.versions
    return NodeVersionCost(document_bytes(size), cpu, unique_set_size(node.pid))


def commit_cost(folder: Path, size: int, sizes: Sizes) -> CommitCost:
    """Of instances of their own: an entry stays in memory until the log is compacted."""
    with PublishingInstances(folder) as instances:
        instances.publish(size)
        meter = instances.meter(instances.leader)
        for _ in range(sizes.history):
            instances.publish(size)
        used, _ = meter.read()
        instances.check()
        return CommitCost(document_bytes(size), used / sizes.history, instances.memory(instances.leader))


# ---- all sizes


ProgressCallback = Callable[[str], None]


def measure(small: bool, progress: ProgressCallback) -> list[Measurement]:
    sizes = SMALL if small else FULL
    with tempfile.TemporaryDirectory(prefix="caperdeck-slopes-") as text:
        folder = Path(text)
        with PublishingInstances(folder / "instances") as instances:
            instances.publish(sizes.small)
            watches = [
                _said(progress, watch_cost(instances, n, sizes, folder / f"{n}")) for n in sizes.watches
            ]
            versions = _versions(instances, sizes, folder, progress)
            at_node = _at_node(instances, sizes, progress)
        commits = [_said(progress, commit_cost(folder / f"commit-{n}", n, sizes)) for n in sizes.documents]
    return [
        *_by_watches(watches, sizes), *_by_size(versions, sizes), *_by_size_at_node(at_node, sizes),
        *_by_size_at_leader(commits, sizes),
    ]  # fmt: skip


def _said(progress: ProgressCallback, cost: NamedTuple) -> NamedTuple:
    fields = ", ".join(f"{name} {value:.4g}" for name, value in cost._asdict().items())
    progress(f"distribution: {fields}")
    return cost


def _versions(
    instances: PublishingInstances, sizes: Sizes, folder: Path, progress: ProgressCallback
) -> list[VersionCost]:
    count = sizes.watches_by_size
    with WatchingNodes(count, sizes.processes, instances.address, folder / "by-size") as nodes:
        time.sleep(sizes.answered)
        idle = idle_cost(instances, nodes, sizes.idle)
        found = [_said(progress, version_cost(instances, nodes, idle, n, sizes)) for n in sizes.documents]
    instances.check()
    return found


def _at_node(
    instances: PublishingInstances, sizes: Sizes, progress: ProgressCallback
) -> list[NodeVersionCost]:
    control = instances.control_file(NODE)
    with bench.Bench() as made, made.node(control) as node:
        instances.wait_until_reported(NODE, instances.publish(sizes.small))
        time.sleep(sizes.answered)
        meter = ProcessorMeter(node.pid)
        time.sleep(sizes.idle)
        used, passed = meter.read()
        return [
            _said(progress, node_version_cost(instances, node, used / passed, n, sizes))
            for n in sizes.documents
        ]


# ---- as measurements

RIG = f"{INSTANCES} instances as processes on loopback, of which nodes watch one that follows; "
LIST_WHOLE = "a version renames one customer of a list, which is sent whole; "
HOLLOW = "nodes without a service, many to a process: watch, connection and version file of `serve --control`"


def _made(name: str, what: str, unit: str, against: str, points: list[Point], note: str) -> Measurement:
    return make_measurement(
        f"distribution.{name}", what, unit, against, Source.PROCESSES, points, f"{RIG}{note}"
    )


def _by_watches(costs: list[WatchCost], sizes: Sizes) -> list[Measurement]:
    def points(field: str, share: int = 1) -> list[Point]:
        return [Point(cost.watches / share, float(getattr(cost, field))) for cost in costs]

    idle = f"mean of {sizes.idle:g} s without a version; {HOLLOW}; a version of {sizes.small} B in force"
    own = "; the slope is one watch, the fixed part is the rig's process"
    each = "watches of a process of nodes"
    at_instance = "watches at the instance"
    return [
        _made("node_cpu", "processor time a second of nodes that watch", "s/s", each,
              points("node_cpu", sizes.processes), f"{idle}{own}"),
        _made("node_bytes", "bytes a second to and from nodes that watch", "B/s", each,
              points("node_bytes", sizes.processes), f"{idle}{own}; without the headers of TCP and IP"),
        _made("node_memory", "memory of nodes that watch", "B", each,
              points("node_memory", sizes.processes),
              f"{idle}; unique set size beyond that of the process before its nodes were made; a node's own "
              "configuration is in it"),
        _made("instance_cpu", "processor time a second of the instance", "s/s", at_instance, points("cpu"),
              f"{idle}; what it takes to follow is in the fixed part"),
        _made("instance_memory", "memory of the instance", "B", at_instance, points("memory"),
              f"{idle}; unique set size; one process for all numbers, in rising order"),
        _made("subscribe_cpu", "processor time of the instance until that many nodes are current", "s",
              "watches taken up", points("subscribe_cpu"),
              f"{HOLLOW}; all start at once with nothing, and are sent the version of {sizes.small} B; "
              "connects past the instance's own bound are told to come again, which is in it; less what the "
              "instance takes without watches"),
        _made("instance_version_cpu", "processor time of the instance for a small version", "s", at_instance,
              points("version_cpu"),
              f"mean of {sizes.versions} versions of {sizes.small} B, one after the other; {LIST_WHOLE}"
              "less what the instance takes idle"),
    ]  # fmt: skip


def _by_size(costs: list[VersionCost], sizes: Sizes) -> list[Measurement]:
    note = (
        f"mean of {sizes.versions} versions, one after the other, at {sizes.watches_by_size} nodes; "
        f"{LIST_WHOLE}less what the same time takes idle; {HOLLOW}"
    )
    against = "bytes of the version"
    return [
        _made("version_bytes", "bytes to and from a node for a version", "B", against,
              [Point(cost.size, cost.bytes) for cost in costs],
              f"{note}; without the headers of TCP and IP"),
        _made("instance_version_cpu_by_size", "processor time of the instance for a version and watch", "s",
              against, [Point(cost.size, cost.cpu) for cost in costs],
              f"{note}; by the number of watches: what the instance does once for all of them is in it, "
              "spread over these"),
    ]  # fmt: skip


def _by_size_at_node(costs: list[NodeVersionCost], sizes: Sizes) -> list[Measurement]:
    note = (
        f"one `caperdeck serve --control` with {bench.HOSTS} hosts and no clients; mean of "
        f"{sizes.versions} versions, one after the other; {LIST_WHOLE}"
    )
    against = "bytes of the version"
    return [
        _made("version_cpu", "processor time of a node until a version is in force", "s", against,
              [Point(cost.size, cost.cpu) for cost in costs],
              f"{note}less what the same time takes idle; checking, writing and putting it in force are in "
              "it, all threads"),
        _made("version_memory", "memory of a node's process with a version in force", "B", against,
              [Point(cost.size, cost.memory) for cost in costs],
              f"{note}unique set size, in rising order; what a change needed for a while and was not given "
              "back is in it; the fixed part is the node without a version"),
    ]  # fmt: skip


def _by_size_at_leader(costs: list[CommitCost], sizes: Sizes) -> list[Measurement]:
    note = f"no watches; {sizes.history} versions, one after the other, by new instances for each size"
    against = "bytes of the version"
    return [
        _made("commit_cpu", "processor time of the leader for a version", "s", against,
              [Point(cost.size, cost.cpu) for cost in costs],
              f"{note}; {LIST_WHOLE}as `config publish` does it, which reads the newest version first"),
        _made("history_memory", "memory of the leader with the versions that it keeps", "B", against,
              [Point(cost.size, cost.memory) for cost in costs],
              f"{note}; unique set size; the versions that deltas may begin at, and all as entries of the "
              "log, which keeps up to 512 of whatever kind"),
    ]  # fmt: skip
