"""Memory of a node against its standing connections: its own, and the kernel's for its sockets."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import closing

from .bench import Bench
from .line import Point
from .process import kernel_slab_bytes, unique_set_size, socket_buffer_bytes
from .record import Measurement, Source, make_measurement

SIZES = (500, 1000, 2000, 4000, 8000)
SMALL_SIZES = (20, 40, 60, 80)
SETTLE = 2.0  # seconds until what a set-up needed for a while has gone
SMALL_SETTLE = 0.05
AGAINST = "standing connections"
OWN_NOTE = "unique set size of the process; {nodes}, connections idle"
KERNEL_NOTE = (
    "half of what the machine's slabs (/proc/meminfo) grew by, as the other ends of all connections are on "
    "this machine too and have as many sockets; whatever else the machine does is in it; two sockets a "
    "connection; buffers charged to TCP (/proc/net/sockstat) grew by {buffers} B at the most, not in it"
)


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    own, kernel, buffers = [], [], 0
    sizes, settle = (SMALL_SIZES, SMALL_SETTLE) if small else (SIZES, SETTLE)
    with Bench() as bench, closing(bench.nodes(sizes, small, progress)) as nodes:
        for size, node in nodes:
            slab, charged = kernel_slab_bytes(), socket_buffer_bytes()
            node.open(size)
            time.sleep(settle)
            own.append(Point(size, unique_set_size(node.pid)))
            kernel.append(Point(size, (kernel_slab_bytes() - slab) / 2))
            buffers = max(buffers, socket_buffer_bytes() - charged)
            node.close(reset=True)
            time.sleep(settle)
            progress(
                f"{size} connections: own {own[-1].cost / 1e6:.1f} MB, kernel {kernel[-1].cost / 1e6:.1f} MB"
            )
    new = "one node for all sizes" if small else "a new node for each size"
    return [
        make_measurement(
            "node.memory_own", "memory of the node's process", "B", AGAINST, Source.PROCESSES, own,
            OWN_NOTE.format(nodes=new),
        ),
        make_measurement(
            "node.memory_kernel", "memory of the kernel for the node's sockets", "B", AGAINST,
            Source.PROCESSES, kernel, KERNEL_NOTE.format(buffers=buffers),
        ),
    ]  # fmt: skip
