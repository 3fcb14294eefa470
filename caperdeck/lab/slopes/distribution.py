"""Cost of distributing the configuration: of a watch and of a version, at a node and at the instance.

Three instances run as processes, and nodes watch a follower. The watches are of nodes without a service,
many to a process; the cost of a version at a node is that of one `caperdeck serve --control`, which applies
it.
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

NODE = "n0"  # name of the bench's node


class Sizes(NamedTuple):
    """What is measured: numbers, document sizes in bytes, and times in seconds."""

    watches: tuple[int, ...]
    processes: int  # that share the nodes of these watches
    document_sizes: tuple[int, ...]
    watches_by_size: int  # while the size of the document is varied
    small_document: int  # while the number of watches is varied
    unwatched_s: float  # without watches, before each number of them
    idle_s: float  # without versions
    settle_s: float  # after a version is active, until all nodes have asked for the newest
    versions: int  # of each size
    history: int  # versions before the memory of an instance is read; more than it keeps


FULL = Sizes(
    watches=(50, 100, 200, 400, 800), processes=4,
    document_sizes=(2000, 25_000, 50_000, 100_000, 200_000, 400_000), watches_by_size=64, small_document=2000,
    unwatched_s=1.5, idle_s=4.0, settle_s=1.2, versions=5, history=33,
)  # fmt: skip
SMALL = Sizes(
    watches=(2, 4, 6, 8), processes=2, document_sizes=(1000, 2000, 4000, 8000), watches_by_size=4,
    small_document=1000, unwatched_s=0.3, idle_s=HEARTBEAT_INTERVAL_MS / MS, settle_s=0.2, versions=2,
    history=3,
)  # fmt: skip


class WatchCost(NamedTuple):
    """Costs of a number of watches at one instance, whose nodes share several processes."""

    watches: int
    node_cpu: float  # seconds a second of one process of nodes
    node_bytes: float  # bytes a second of one process of nodes
    node_memory: float  # bytes of one process of nodes
    cpu: float  # seconds a second of the instance
    memory: int  # bytes of the instance
    subscribe_cpu: float  # seconds of the instance until all nodes are current
    version_cpu: float  # seconds of the instance for a small version


class VersionCost(NamedTuple):
    """Costs of one version for one watch."""

    size: int  # bytes of the document
    bytes: float  # to and from the node
    cpu: float  # seconds of the instance


class NodeVersionCost(NamedTuple):
    """Costs of one version at `caperdeck serve --control`."""

    size: int  # bytes of the document
    cpu: float  # seconds
    memory: int  # bytes of the process, after several versions


class CommitCost(NamedTuple):
    """Costs of one version at the instances, without watches."""

    size: int  # bytes of the document
    cpu: float  # seconds of the leader
    memory: int  # bytes of the leader, with all versions that it keeps


class IdleCost(NamedTuple):
    """Costs per second while no version is published."""

    node_cpu: float  # seconds, all nodes together
    node_bytes: float  # all nodes together
    cpu: float  # seconds of the watched instance


class ExtraCost(NamedTuple):
    """Costs of publishing and applying several versions, less the idle cost of the same time."""

    node_bytes: float  # all nodes together
    cpu: float  # seconds of the watched instance


def idle_cost(instances: PublishingInstances, nodes: WatchingNodes, seconds: float) -> IdleCost:
    """Measures the costs while no version is published."""
    meter, before = instances.meter(instances.watched), nodes.samples()
    time.sleep(seconds)
    after, (used, passed) = nodes.samples(), meter.read()
    return IdleCost(_rate(before, after, "cpu"), _rate(before, after, "bytes"), used / passed)


def _rate(before: list[NodesSample], after: list[NodesSample], field: str) -> float:
    """Increase of a field per second, over all processes of nodes."""
    return sum(
        (getattr(b, field) - getattr(a, field)) / (b.at - a.at) for a, b in zip(before, after, strict=True)
    )


def extra_cost(
    instances: PublishingInstances, nodes: WatchingNodes, idle: IdleCost, size: int, sizes: Sizes,
) -> ExtraCost:  # fmt: skip
    """Measures the costs of versions of one size beyond the idle cost."""
    meter, before = instances.meter(instances.watched), nodes.samples()
    for _ in range(sizes.versions):
        nodes.wait_until_applied(instances.publish(size))
    time.sleep(sizes.settle_s)
    after, (used, passed) = nodes.samples(), meter.read()
    span = sum(b.at - a.at for a, b in zip(before, after, strict=True)) / len(after)
    transferred = sum(b.bytes - a.bytes for a, b in zip(before, after, strict=True))
    return ExtraCost(transferred - idle.node_bytes * span, used - idle.cpu * passed)


# ---- by the number of watches


def watch_cost(instances: PublishingInstances, watches: int, sizes: Sizes, folder: Path) -> WatchCost:
    """Measures the costs of that many watches, beside those of the instance without any."""
    unwatched_meter = instances.meter(instances.watched)
    time.sleep(sizes.unwatched_s)
    used, passed = unwatched_meter.read()
    meter = instances.meter(instances.watched)
    with WatchingNodes(watches, sizes.processes, instances.address, folder) as nodes:
        subscribe_used, subscribe_passed = meter.read()
        time.sleep(sizes.settle_s)
        idle = idle_cost(instances, nodes, sizes.idle_s)
        memory, node_memory = instances.memory(instances.watched), nodes.memory()
        extra = extra_cost(instances, nodes, idle, sizes.small_document, sizes)
    instances.check()
    return WatchCost(
        watches, idle.node_cpu / sizes.processes, idle.node_bytes / sizes.processes,
        node_memory / sizes.processes, idle.cpu, memory, subscribe_used - used / passed * subscribe_passed,
        extra.cpu / sizes.versions,
    )  # fmt: skip


# ---- by the size of a version


def version_cost(
    instances: PublishingInstances, nodes: WatchingNodes, idle: IdleCost, size: int, sizes: Sizes,
) -> VersionCost:  # fmt: skip
    """Measures the costs of versions of one size, at watching nodes."""
    # Not measured: only from the second version on, all changes are of the same size.
    nodes.wait_until_applied(instances.publish(size))
    extra = extra_cost(instances, nodes, idle, size, sizes)
    deliveries = sizes.versions * nodes.count
    return VersionCost(document_bytes(size), extra.node_bytes / deliveries, extra.cpu / deliveries)


def node_version_cost(
    instances: PublishingInstances, node: bench.NodeProcess, idle: float, size: int, sizes: Sizes,
) -> NodeVersionCost:  # fmt: skip
    """Measures the costs of versions at a node; `idle` is its processor time per second without versions."""
    instances.wait_until_reported(NODE, instances.publish(size))
    meter = ProcessorMeter(node.pid)
    for _ in range(sizes.versions):
        instances.wait_until_reported(NODE, instances.publish(size))
    time.sleep(sizes.settle_s)
    used, passed = meter.read()
    cpu = (used - idle * passed) / sizes.versions
    return NodeVersionCost(document_bytes(size), cpu, unique_set_size(node.pid))


def commit_cost(folder: Path, size: int, sizes: Sizes) -> CommitCost:
    """Measures the costs of versions at new instances.

    New ones for each size, since entries stay in memory until the log is compacted.
    """
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
    """Measures costs by the number of watches, and by the size of a version at node and instance."""
    sizes = SMALL if small else FULL
    with tempfile.TemporaryDirectory(prefix="caperdeck-slopes-") as directory:
        folder = Path(directory)
        with PublishingInstances(folder / "instances") as instances:
            instances.publish(sizes.small_document)
            watches = [
                _report(progress, watch_cost(instances, n, sizes, folder / f"{n}")) for n in sizes.watches
            ]
            versions = _version_costs(instances, sizes, folder, progress)
            at_node = _node_version_costs(instances, sizes, progress)
        commits = [
            _report(progress, commit_cost(folder / f"commit-{n}", n, sizes)) for n in sizes.document_sizes
        ]
    return [
        *_by_watches(watches, sizes), *_by_size(versions, sizes), *_by_size_at_node(at_node, sizes),
        *_by_size_at_leader(commits, sizes),
    ]  # fmt: skip


def _report(progress: ProgressCallback, cost: NamedTuple) -> NamedTuple:
    fields = ", ".join(f"{name} {value:.4g}" for name, value in cost._asdict().items())
    progress(f"distribution: {fields}")
    return cost


def _version_costs(
    instances: PublishingInstances, sizes: Sizes, folder: Path, progress: ProgressCallback
) -> list[VersionCost]:
    count = sizes.watches_by_size
    with WatchingNodes(count, sizes.processes, instances.address, folder / "by-size") as nodes:
        time.sleep(sizes.settle_s)
        idle = idle_cost(instances, nodes, sizes.idle_s)
        costs = [
            _report(progress, version_cost(instances, nodes, idle, n, sizes)) for n in sizes.document_sizes
        ]
    instances.check()
    return costs


def _node_version_costs(
    instances: PublishingInstances, sizes: Sizes, progress: ProgressCallback
) -> list[NodeVersionCost]:
    control = instances.control_file(NODE)
    with bench.Bench() as running_bench, running_bench.node(control) as node:
        instances.wait_until_reported(NODE, instances.publish(sizes.small_document))
        time.sleep(sizes.settle_s)
        meter = ProcessorMeter(node.pid)
        time.sleep(sizes.idle_s)
        used, passed = meter.read()
        return [
            _report(progress, node_version_cost(instances, node, used / passed, n, sizes))
            for n in sizes.document_sizes
        ]


# ---- measurements

INSTANCES_NOTE = f"{INSTANCES} instances as processes on loopback, of which nodes watch one that follows; "
WHOLE_LIST_NOTE = "a version renames one customer of a list, which is sent whole; "
STUB_NODES_NOTE = (
    "nodes without a service, many to a process: watch, connection and version file of `serve --control`"
)


def _distribution_measurement(
    name: str, what: str, unit: str, against: str, points: list[Point], note: str
) -> Measurement:
    return make_measurement(
        f"distribution.{name}", what, unit, against, Source.PROCESSES, points, f"{INSTANCES_NOTE}{note}"
    )


def _by_watches(costs: list[WatchCost], sizes: Sizes) -> list[Measurement]:
    def points(field: str, share: int = 1) -> list[Point]:
        return [Point(cost.watches / share, float(getattr(cost, field))) for cost in costs]

    idle_note = (
        f"mean of {sizes.idle_s:g} s without a version; {STUB_NODES_NOTE}; "
        f"a version of {sizes.small_document} B in force"
    )
    slope_note = "; the slope is one watch, the fixed part is the rig's process"
    at_process = "watches of a process of nodes"
    at_instance = "watches at the instance"
    return [
        _distribution_measurement(
            "node_cpu", "processor time a second of nodes that watch", "s/s", at_process,
            points("node_cpu", sizes.processes), f"{idle_note}{slope_note}",
        ),
        _distribution_measurement(
            "node_bytes", "bytes a second to and from nodes that watch", "B/s", at_process,
            points("node_bytes", sizes.processes),
            f"{idle_note}{slope_note}; without the headers of TCP and IP",
        ),
        _distribution_measurement(
            "node_memory", "memory of nodes that watch", "B", at_process,
            points("node_memory", sizes.processes),
            f"{idle_note}; unique set size beyond that of the process before its nodes were made; a node's "
            "own configuration is in it",
        ),
        _distribution_measurement(
            "instance_cpu", "processor time a second of the instance", "s/s", at_instance, points("cpu"),
            f"{idle_note}; what it takes to follow is in the fixed part",
        ),
        _distribution_measurement(
            "instance_memory", "memory of the instance", "B", at_instance, points("memory"),
            f"{idle_note}; unique set size; one process for all numbers, in rising order",
        ),
        _distribution_measurement(
            "subscribe_cpu", "processor time of the instance until that many nodes are current", "s",
            "watches taken up", points("subscribe_cpu"),
            f"{STUB_NODES_NOTE}; all start at once with nothing, and are sent the version of "
            f"{sizes.small_document} B; "
            "connects past the instance's own bound are told to come again, which is in it; less what the "
            "instance takes without watches",
        ),
        _distribution_measurement(
            "instance_version_cpu", "processor time of the instance for a small version", "s", at_instance,
            points("version_cpu"),
            f"mean of {sizes.versions} versions of {sizes.small_document} B, one after the other; "
            f"{WHOLE_LIST_NOTE}less what the instance takes idle",
        ),
    ]  # fmt: skip


def _by_size(costs: list[VersionCost], sizes: Sizes) -> list[Measurement]:
    note = (
        f"mean of {sizes.versions} versions, one after the other, at {sizes.watches_by_size} nodes; "
        f"{WHOLE_LIST_NOTE}less what the same time takes idle; {STUB_NODES_NOTE}"
    )
    against = "bytes of the version"
    return [
        _distribution_measurement(
            "version_bytes", "bytes to and from a node for a version", "B", against,
            [Point(cost.size, cost.bytes) for cost in costs],
            f"{note}; without the headers of TCP and IP",
        ),
        _distribution_measurement(
            "instance_version_cpu_by_size", "processor time of the instance for a version and watch", "s",
            against, [Point(cost.size, cost.cpu) for cost in costs],
            f"{note}; by the number of watches: what the instance does once for all of them is in it, "
            "spread over these",
        ),
    ]  # fmt: skip


def _by_size_at_node(costs: list[NodeVersionCost], sizes: Sizes) -> list[Measurement]:
    note = (
        f"one `caperdeck serve --control` with {bench.HOSTS} hosts and no clients; mean of "
        f"{sizes.versions} versions, one after the other; {WHOLE_LIST_NOTE}"
    )
    against = "bytes of the version"
    return [
        _distribution_measurement(
            "version_cpu", "processor time of a node until a version is in force", "s", against,
            [Point(cost.size, cost.cpu) for cost in costs],
            f"{note}less what the same time takes idle; checking, writing and putting it in force are in "
            "it, all threads",
        ),
        _distribution_measurement(
            "version_memory", "memory of a node's process with a version in force", "B", against,
            [Point(cost.size, cost.memory) for cost in costs],
            f"{note}unique set size, in rising order; what a change needed for a while and was not given "
            "back is in it; the fixed part is the node without a version",
        ),
    ]  # fmt: skip


def _by_size_at_leader(costs: list[CommitCost], sizes: Sizes) -> list[Measurement]:
    note = f"no watches; {sizes.history} versions, one after the other, by new instances for each size"
    against = "bytes of the version"
    return [
        _distribution_measurement(
            "commit_cpu", "processor time of the leader for a version", "s", against,
            [Point(cost.size, cost.cpu) for cost in costs],
            f"{note}; {WHOLE_LIST_NOTE}as `config publish` does it, which reads the newest version first",
        ),
        _distribution_measurement(
            "history_memory", "memory of the leader with the versions that it keeps", "B", against,
            [Point(cost.size, cost.memory) for cost in costs],
            f"{note}; unique set size; the versions that deltas may begin at, and all as entries of the "
            "log, which keeps up to 512 of whatever kind",
        ),
    ]  # fmt: skip
