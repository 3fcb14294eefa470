"""Processor time of a node for opening connections, holding them idle, and closing them."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import closing

from .bench import Bench
from .line import Point
from .record import Measurement, Source, make_measurement

SIZES = (500, 1000, 2000, 4000, 8000)
SMALL_SIZES = (20, 40, 60, 80)
IDLE_S = 5.0  # duration of the idle measurement
SMALL_IDLE_S = 0.6  # longer than the node's fixed intervals of 250 and 500 ms, so that some work is seen
LINGER_S = 1.0  # the node still releases resources after the last connection has closed
SMALL_LINGER_S = 0.05


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    """Measures the processor time of set-up, idle connections and closing at several numbers of them."""
    set_up, idle, end = [], [], []
    sizes, idle_s, linger_s = (
        (SMALL_SIZES, SMALL_IDLE_S, SMALL_LINGER_S) if small else (SIZES, IDLE_S, LINGER_S)
    )
    with Bench() as bench, closing(bench.nodes(sizes, small, progress)) as nodes:
        for size, node in nodes:
            used_before = node.processor_time()
            node.open_connections(size)
            used_established = node.processor_time()
            time.sleep(linger_s)
            idle_since, used_idle_start = time.monotonic(), node.processor_time()
            time.sleep(idle_s)
            idle_span, used_idle_end = time.monotonic() - idle_since, node.processor_time()
            node.close_connections()
            time.sleep(linger_s)
            used_closed = node.processor_time()
            set_up.append(Point(size, used_established - used_before))
            idle.append(Point(size, (used_idle_end - used_idle_start) / idle_span))
            end.append(Point(size, used_closed - used_idle_end))
            progress(
                f"{size} connections: set-up {set_up[-1].cost:.3f} s, idle {idle[-1].cost:.4f} s per second, "
                f"end {end[-1].cost:.3f} s"
            )
    node_note = "one node for all sizes; " if small else "a new node for each size; "
    return [
        make_measurement(
            "node.set_up", "processor time until that many connections stand", "s", "connections set up",
            Source.PROCESSES, set_up, node_note + "the slope is one set-up: the client's first line, probes, "
            "the host's side, the answer; 64 clients on the way in at a time, 10 hosts",
        ),
        make_measurement(
            "node.idle", "processor time a second while connections stand and nobody says anything", "s/s",
            "standing connections", Source.PROCESSES, idle, node_note + f"watched for {idle_s:g} s",
        ),
        make_measurement(
            "node.end", "processor time until that many connections have gone", "s", "connections ended",
            Source.PROCESSES, end, node_note + f"the client ends it; {linger_s:g} s after the last are in it",
        ),
    ]  # fmt: skip
