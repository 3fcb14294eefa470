"""Cost of owned work by the number of nodes: one instance that owns census and hosts, as a process.

The nodes are stand-ins, all in one other process: each is the program's own target behind its second address,
on a port of its own, with no clients and no hosts that are ill.
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

from .instances import LOOPBACK, OWN_END, POLL_EVERY, STARTED, InstanceError, Instances, Process
from .line import Point
from .record import Measurement, Source, measurement
from .targets import HOSTS, Figures

TARGETS = OWN_END + "from caperdeck.lab.slopes.targets import main\nmain(sys.argv[1:])"
CALL_WAIT = 5.0  # seconds for an answer of the targets' process
TRIES = 3  # of a measurement in which leases are lost


class Sizes(NamedTuple):
    nodes: tuple[int, ...]
    settle: float  # seconds from when an act has come to every node until the measurement begins
    span: float  # seconds of it


FULL = Sizes((10, 25, 50, 100, 200), 6.0, 15.0)
SMALL = Sizes((4, 8, 12, 16), 0.0, 0.5)


class Load(NamedTuple):
    """A second, in the owner's steady rounds."""

    connections: float
    bytes: float
    cpu_owner: float  # seconds
    cpu_node: float  # seconds, a node
    lost: int  # leases that the owner lost meanwhile, in which it does nothing


class Targets:
    """The process with the stand-in nodes."""

    def __init__(self, process: Process, control: Address, nodes: list[Address]) -> None:
        self.process, self.control, self.nodes = process, control, nodes

    def call(self, line: str) -> str | None:
        """What follows ACK; None where nobody answers so."""
        try:
            with socket.create_connection(self.control, CALL_WAIT) as connection:
                connection.sendall(line.encode() + b"\n")
                with connection.makefile("r", encoding="ascii") as reader:
                    word, _, rest = reader.readline().strip().partition(" ")
        except OSError:
            return None
        return rest if word == "ACK" else None

    def figures(self) -> Figures:
        """Raises InstanceError."""
        answer = self.call("figures")
        if answer is None:
            raise InstanceError("the nodes do not answer")
        return msgspec.json.decode(answer, type=Figures)

    def wait_for(self, true: Callable[[], bool], text: str) -> None:
        """Raises InstanceError."""
        until = time.monotonic() + STARTED
        while not true():
            self.process.check()
            if time.monotonic() > until:
                raise InstanceError(f"{text} in {STARTED:g} s")
            time.sleep(POLL_EVERY)


@contextmanager
def targets(count: int, folder: Path) -> Iterator[Targets]:
    """So many nodes, which answer until the block ends. Raises InstanceError."""
    ports = Ports()
    process = None
    try:
        control, *numbers = [ports.reserve(socket.SOCK_STREAM) for _ in range(count + 1)]
        process = Process(TARGETS, str(control), *map(str, numbers), log=folder / "targets.log")
        made = Targets(process, Address(LOOPBACK, control), [Address(LOOPBACK, n) for n in numbers])
        made.wait_for(lambda: made.call("figures") is not None, "the nodes do not answer")
        yield made
    finally:
        if process is not None:
            process.end()
        ports.close()


def load(nodes: Targets, count: int, folder: Path, sizes: Sizes) -> Load:
    """The load of an owner of so many nodes; raises InstanceError."""
    named = {f"n{number}": address for number, address in enumerate(nodes.nodes[:count])}
    with Instances(1, folder, named) as instances:
        instance = instances.addresses[0]
        if nodes.call(f"begin {count} {instance.host}:{instance.port}") is None:
            raise InstanceError("the nodes do not begin")
        instances.start()
        nodes.wait_for(lambda: nodes.figures().reached == count, f"not all {count} nodes reached")
        time.sleep(sizes.settle)
        for _ in range(TRIES):
            found = _measured(nodes, instances, count, sizes.span)
            if not found.lost:
                break
        return found


def _measured(nodes: Targets, instances: Instances, count: int, span: float) -> Load:
    owner, lost = instances.processes[0], instances.count(0, "lost")
    owner_cpu, node_cpu = owner.cpu(), nodes.process.cpu()
    before, began = nodes.figures(), time.perf_counter()
    if before.connections < count:
        raise InstanceError(f"{before.connections} connections counted, though {count} nodes were reached")
    time.sleep(span)
    after, took = nodes.figures(), time.perf_counter() - began
    owner.check()
    return Load(
        (after.connections - before.connections) / took,
        (after.bytes - before.bytes) / took,
        (owner.cpu() - owner_cpu) / took,
        (nodes.process.cpu() - node_cpu) / took / count,
        instances.count(0, "lost") - lost,
    )


def _lost_at(found: dict[int, Load]) -> str:
    return ", ".join(f"{cost.lost} at {count}" for count, cost in found.items() if cost.lost) or "none"


# ---- all sizes


def measure(small: bool, say: Callable[[str], None]) -> list[Measurement]:
    sizes = SMALL if small else FULL
    found: dict[int, Load] = {}
    with tempfile.TemporaryDirectory() as text, targets(max(sizes.nodes), Path(text)) as nodes:
        for count in sizes.nodes:
            folder = Path(text) / str(count)
            folder.mkdir()
            cost = found[count] = load(nodes, count, folder, sizes)
            say(
                f"owned work: {count} nodes: {cost.connections:.1f} connections/s, {cost.bytes:.0f} B/s, "
                f"{cost.cpu_owner * 1000:.1f} ms/s at the owner, {cost.cpu_node * 1000:.2f} ms/s a node"
            )
    return _measurements(found, sizes)


def _measurements(found: dict[int, Load], sizes: Sizes) -> list[Measurement]:
    note = (
        f"mean of {sizes.span:g} s, begun {sizes.settle:g} s after an act had come to every node; one "
        "instance that agrees with itself alone and owns both works, which is the most that one can have; "
        f"nodes are stand-ins in one process, the program's own target behind its second address, with "
        f"{len(HOSTS)} hosts each and none ill; leases lost while it was measured: {_lost_at(found)}"
    )

    def made(name: str, what: str, unit: str, more: str) -> Measurement:
        points = [Point(count, getattr(cost, name)) for count, cost in found.items()]
        full = f"{note}; {more}"
        return measurement(f"owned.{name}", what, unit, "nodes", Source.PROCESSES, points, full)

    return [
        made("connections", "connections that the owner opens a second", "connections/s",
             "each act has a connection of its own; a node is told of hosts every 0.7 s and of the census "
             "every 1 s at the mean"),
        made("bytes", "bytes of acts and their answers a second", "B/s",
             "of the lines, both ways, without the headers of TCP and IP"),
        made("cpu_owner", "processor time of the owner's process a second", "s/s",
             "counted in ticks of 10 ms; with its lease renewals and its disk"),
        made("cpu_node", "processor time of a node a second, for acts alone", "s/s",
             "of the stand-ins' process by their number, counted in ticks of 10 ms; what the process costs "
             "by itself is spread over the nodes, so it falls where they are few, and a real node does more "
             "where hosts go out or shares change"),
    ]  # fmt: skip
