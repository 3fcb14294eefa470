"""Processor time of a node for setting connections up, holding them idle, and ending them."""

from __future__ import annotations

import time
from collections.abc import Callable
from contextlib import closing

from .bench import Bench
from .line import Point
from .record import Measurement, Source, make_measurement

SIZES = (500, 1000, 2000, 4000, 8000)
SMALL_SIZES = (20, 40, 60, 80)
IDLE = 5.0  # seconds for which the idle node is watched
SMALL_IDLE = 0.6  # longer than a node's fixed intervals, 250 and 500 ms; less may see it do nothing
LINGER = 1.0  # seconds after the last end in which the node still tidies up
SMALL_LINGER = 0.05


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    set_up, idle, end = [], [], []
    sizes, watched, linger = (SMALL_SIZES, SMALL_IDLE, SMALL_LINGER) if small else (SIZES, IDLE, LINGER)
    with Bench() as bench, closing(bench.nodes(sizes, small, progress)) as nodes:
        for size, node in nodes:
            before = node.processor()
            node.open(size)
            stands = node.processor()
            time.sleep(linger)
            from_at, from_used = time.monotonic(), node.processor()
            time.sleep(watched)
            span, until_used = time.monotonic() - from_at, node.processor()
            node.close()
            time.sleep(linger)
            gone = node.processor()
            set_up.append(Point(size, stands - before))
            idle.append(Point(size, (until_used - from_used) / span))
            end.append(Point(size, gone - until_used))
            progress(
                f"{size} connections: set-up {set_up[-1].cost:.3f} s, idle {idle[-1].cost:.4f} s a second, "
                f"end {end[-1].cost:.3f} s"
            )
    new = "one node for all sizes; " if small else "a new node for each size; "
    return [
        make_measurement(
            "node.set_up", "processor time until that many connections stand", "s", "connections set up",
            Source.PROCESSES, set_up, new + "the slope is one set-up: the client's first line, probes, the "
            "host's side, the answer; 64 clients on the way in at a time, 10 hosts",
        ),
        make_measurement(
            "node.idle", "processor time a second while connections stand and nobody says anything", "s/s",
            "standing connections", Source.PROCESSES, idle, new + f"watched for {watched:g} s",
        ),
        make_measurement(
            "node.end", "processor time until that many connections have gone", "s", "connections ended",
            Source.PROCESSES, end, new + f"the client ends it; {linger:g} s after the last are in it",
        ),
    ]  # fmt: skip
