"""Cost of owned work by the number of nodes: one instance that owns the census and the hosts, as a process.

The nodes are simulated in one other process: each is the production target behind its admin address, on a
port of its own, without clients and without failing hosts.
"""

from __future__ import annotations

import socket
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import msgspec

from caperdeck.lab.ports import Ports
from caperdeck.state.addresses import Address

from .instances import (
    END_WITH_PARENT,
    LOOPBACK,
    POLL_INTERVAL_S,
    START_TIMEOUT_S,
    InstanceError,
    Instances,
    LoggedProcess,
)
from .line import Point
from .record import Measurement, Source, make_measurement
from .targets import HOST_UIDS, TargetCounters

TARGETS_CODE = END_WITH_PARENT + "from caperdeck.lab.slopes.targets import main\nmain(sys.argv[1:])"
CALL_TIMEOUT_S = 5.0  # for an answer of the targets' process
MAX_ATTEMPTS = 3  # at a measurement during which leases are lost


class Sizes(NamedTuple):
    """Numbers of nodes, and times in seconds."""

    nodes: tuple[int, ...]
    settle_s: float  # from the time an act has reached every node until the measurement starts
    span_s: float  # duration of the measurement


FULL = Sizes((10, 25, 50, 100, 200), 6.0, 15.0)
SMALL = Sizes((4, 8, 12, 16), 0.0, 0.5)


class OwnerLoad(NamedTuple):
    """Load per second while the owner's work is steady. Field names are those of the measurements."""

    connections: float
    bytes: float
    cpu_owner: float  # seconds
    cpu_node: float  # seconds per node
    lost: int  # leases lost during the measurement; without its lease an owner does nothing


class TargetsProcess:
    """The process with the simulated nodes, and calls to its control port."""

    def __init__(self, process: LoggedProcess, control: Address, nodes: list[Address]) -> None:
        self.process, self.control, self.nodes = process, control, nodes

    def call(self, line: str) -> str | None:
        """Sends a line and returns the text after ACK; None without such an answer."""
        try:
            with socket.create_connection(self.control, CALL_TIMEOUT_S) as connection:
                connection.sendall(line.encode() + b"\n")
                with connection.makefile("r", encoding="ascii") as reader:
                    verb, _, rest = reader.readline().strip().partition(" ")
        except OSError:
            return None
        return rest if verb == "ACK" else None

    def counters(self) -> TargetCounters:
        """Counters of all nodes together; raises InstanceError if the process does not answer."""
        answer = self.call("figures")
        if answer is None:
            raise InstanceError("the process of the nodes does not answer")
        return msgspec.json.decode(answer, type=TargetCounters)

    def wait_for(self, condition: Callable[[], bool], failure: str) -> None:
        """Waits until the condition holds; raises InstanceError after START_TIMEOUT_S."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while not condition():
            self.process.check()
            if time.monotonic() > deadline:
                raise InstanceError(f"{failure} in {START_TIMEOUT_S:g} s")
            time.sleep(POLL_INTERVAL_S)


@contextmanager
def running_targets(count: int, folder: Path) -> Iterator[TargetsProcess]:
    """Runs that many nodes until the block ends; raises InstanceError if they do not answer."""
    ports = Ports()
    process = None
    try:
        control, *node_ports = [ports.reserve(socket.SOCK_STREAM) for _ in range(count + 1)]
        process = LoggedProcess(TARGETS_CODE, str(control), *map(str, node_ports), log=folder / "targets.log")
        nodes = TargetsProcess(
            process, Address(LOOPBACK, control), [Address(LOOPBACK, n) for n in node_ports]
        )
        nodes.wait_for(lambda: nodes.call("figures") is not None, "the nodes do not answer")
        yield nodes
    finally:
        if process is not None:
            process.end()
        ports.close()


def measure_owner(nodes: TargetsProcess, count: int, folder: Path, sizes: Sizes) -> OwnerLoad:
    """Measures the load of an owner of the first `count` nodes; raises InstanceError."""
    node_addresses = {f"n{number}": address for number, address in enumerate(nodes.nodes[:count])}
    with Instances(1, folder, node_addresses) as instances:
        instance = instances.addresses[0]
        if nodes.call(f"begin {count} {instance.host}:{instance.port}") is None:
            raise InstanceError("the process of the nodes did not start them")
        instances.start()
        nodes.wait_for(lambda: nodes.counters().reached == count, f"not all {count} nodes reached")
        time.sleep(sizes.settle_s)
        for _ in range(MAX_ATTEMPTS):
            load = _measure_once(nodes, instances, count, sizes.span_s)
            if not load.lost:
                break
        return load


def _measure_once(nodes: TargetsProcess, instances: Instances, count: int, span_s: float) -> OwnerLoad:
    owner, lost_before = instances.processes[0], instances.event_count(0, "lost")
    owner_cpu, node_cpu = owner.cpu_seconds(), nodes.process.cpu_seconds()
    before, started_at = nodes.counters(), time.perf_counter()
    if before.connections < count:
        raise InstanceError(f"{before.connections} connections counted, though {count} nodes were reached")
    time.sleep(span_s)
    after, took = nodes.counters(), time.perf_counter() - started_at
    owner.check()
    return OwnerLoad(
        (after.connections - before.connections) / took,
        (after.bytes - before.bytes) / took,
        (owner.cpu_seconds() - owner_cpu) / took,
        (nodes.process.cpu_seconds() - node_cpu) / took / count,
        instances.event_count(0, "lost") - lost_before,
    )


def _lost_leases(loads: dict[int, OwnerLoad]) -> str:
    return ", ".join(f"{load.lost} at {count}" for count, load in loads.items() if load.lost) or "none"


# ---- measurements


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    """Measures the load of an owner at several numbers of nodes."""
    sizes = SMALL if small else FULL
    loads: dict[int, OwnerLoad] = {}
    with (
        tempfile.TemporaryDirectory() as directory,
        running_targets(max(sizes.nodes), Path(directory)) as nodes,
    ):
        for count in sizes.nodes:
            folder = Path(directory) / str(count)
            folder.mkdir()
            load = loads[count] = measure_owner(nodes, count, folder, sizes)
            progress(
                f"owned work: {count} nodes: {load.connections:.1f} connections/s, {load.bytes:.0f} B/s, "
                f"{load.cpu_owner * 1000:.1f} ms/s at the owner, {load.cpu_node * 1000:.2f} ms/s per node"
            )
    return _measurements(loads, sizes)


def _measurements(loads: dict[int, OwnerLoad], sizes: Sizes) -> list[Measurement]:
    note = (
        f"mean of {sizes.span_s:g} s, begun {sizes.settle_s:g} s after an act had come to every node; one "
        "instance that agrees with itself alone and owns both works, which is the most that one can have; "
        f"nodes are stand-ins in one process, the program's own target behind its second address, with "
        f"{len(HOST_UIDS)} hosts each and none ill; leases lost while it was measured: {_lost_leases(loads)}"
    )

    def owned_measurement(name: str, what: str, unit: str, condition: str) -> Measurement:
        points = [Point(count, getattr(load, name)) for count, load in loads.items()]
        full_note = f"{note}; {condition}"
        return make_measurement(f"owned.{name}", what, unit, "nodes", Source.PROCESSES, points, full_note)

    return [
        owned_measurement(
            "connections", "connections that the owner opens a second", "connections/s",
            "each act has a connection of its own; a node is told of hosts every 0.7 s and of the census "
            "every 1 s at the mean",
        ),
        owned_measurement(
            "bytes", "bytes of acts and their answers a second", "B/s",
            "of the lines, both ways, without the headers of TCP and IP",
        ),
        owned_measurement(
            "cpu_owner", "processor time of the owner's process a second", "s/s",
            "counted in ticks of 10 ms; with its lease renewals and its disk",
        ),
        owned_measurement(
            "cpu_node", "processor time of a node a second, for acts alone", "s/s",
            "of the stand-ins' process by their number, counted in ticks of 10 ms; what the process costs "
            "by itself is spread over the nodes, so it falls where they are few, and a real node does more "
            "where hosts go out or shares change",
        ),
    ]  # fmt: skip
