"""Memory of a node by its number of connections: its own, and the kernel's for its sockets."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import closing

from .bench import Bench
from .line import Point
from .process import kernel_slab_bytes, socket_buffer_bytes, unique_set_size
from .record import Measurement, Source, make_measurement

SIZES = (500, 1000, 2000, 4000, 8000)
SMALL_SIZES = (20, 40, 60, 80)
SETTLE_S = 2.0  # until temporary memory of the set-up has been freed
SMALL_SETTLE_S = 0.05
AGAINST = "standing connections"
OWN_NOTE = "unique set size of the process; {nodes}, connections idle"
KERNEL_NOTE = (
    "half of what the machine's slabs (/proc/meminfo) grew by, as the other ends of all connections are on "
    "this machine too and have as many sockets; whatever else the machine does is in it; two sockets a "
    "connection; buffers charged to TCP (/proc/net/sockstat) grew by {buffers} B at the most, not in it"
)


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    """Measures the memory of the node's process and of the kernel at several numbers of connections."""
    own, kernel, buffer_growth = [], [], 0
    sizes, settle_s = (SMALL_SIZES, SMALL_SETTLE_S) if small else (SIZES, SETTLE_S)
    with Bench() as bench, closing(bench.nodes(sizes, small, progress)) as nodes:
        for size, node in nodes:
            slab_before, buffers_before = kernel_slab_bytes(), socket_buffer_bytes()
            node.open_connections(size)
            time.sleep(settle_s)
            own.append(Point(size, unique_set_size(node.pid)))
            kernel.append(Point(size, (kernel_slab_bytes() - slab_before) / 2))
            buffer_growth = max(buffer_growth, socket_buffer_bytes() - buffers_before)
            node.close_connections(reset=True)
            time.sleep(settle_s)
            progress(
                f"{size} connections: own {own[-1].cost / 1e6:.1f} MB, kernel {kernel[-1].cost / 1e6:.1f} MB"
            )
    node_note = "one node for all sizes" if small else "a new node for each size"
    return [
        make_measurement(
            "node.memory_own", "memory of the node's process", "B", AGAINST, Source.PROCESSES, own,
            OWN_NOTE.format(nodes=node_note),
        ),
        make_measurement(
            "node.memory_kernel", "memory of the kernel for the node's sockets", "B", AGAINST,
            Source.PROCESSES, kernel, KERNEL_NOTE.format(buffers=buffer_growth),
        ),
    ]  # fmt: skip
