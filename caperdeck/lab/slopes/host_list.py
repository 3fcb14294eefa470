"""What the list of hosts costs a node: taking it in, a change in it, a tick, a placement.

Called in this process, on the node's own classes with a clock that stands still: processor time, median of
several.
"""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from statistics import median
from typing import Any

import orjson
from twisted.internet.task import Clock

from caperdeck.core.facade import Balancer, Connect, DialEnded, ProbeCompleted, SessionEstablished
from caperdeck.core.model import LoadReport, Outcome
from caperdeck.lab.scenario import Scenario
from caperdeck.lab.setup import node_config
from caperdeck.lifecycle.config import decode_config
from caperdeck.state.budget import SocketBudget
from caperdeck.state.hosts import Hosts
from caperdeck.wire.session_handler import SessionHandler

from .errors import MeasurementError
from .line import Point
from .record import Measurement, Source, make_measurement

SIZES = (100, 300, 1000, 3000, 10000)
SMALL_SIZES = (10, 20, 30, 40)
REPEATS, SMALL_REPEATS = 9, 2
SESSIONS, SMALL_SESSIONS = 1000, 20  # that stand, whatever the number of hosts
PLACEMENTS, SMALL_PLACEMENTS = 100, 5  # of one repeat
CHANGES, SMALL_CHANGES = 20, 4  # of one repeat
LOAD = 2.0  # milliseconds of work a second of a session
FIGURE = 0.3  # that every host tells: its load over its capacity
WAIT = 1000.0  # milliseconds that a client waits
START = 1e6  # milliseconds on the clock as the node starts, long after its hosts
SOCKETS = 1 << 17
AGAINST = "hosts"


class OfflineNode:
    """The node's front and decisions without a network, on a clock that is set by hand."""

    def __init__(self) -> None:
        config = decode_config(
            node_config(
                Scenario(name="slopes", seconds=1.0, nodes=1), "n0", "127.0.0.1:1", "127.0.0.1:2", 1, 1
            )
        )
        self.now = START
        self.balancer = Balancer(config.settings, self.now)
        self.handler = SessionHandler(
            Clock(), lambda: self.now, self.balancer, config.names, config.limits, Hosts(config.names.zones),
            SocketBudget(SOCKETS, 0),
        )  # fmt: skip
        self.made = 0

    def take(self, text: bytes) -> None:
        """A list or a change as discovery's line has it."""
        told = orjson.loads(text)
        self.handler.update_roster(told["all"], told["targets"])

    def figures(self, hosts: int) -> None:
        """Every host has just been looked at."""
        told = LoadReport(FIGURE, None, None)
        for host in range(hosts):
            self.balancer.handle_event(self.now, ProbeCompleted(host, Outcome.GOOD, told))

    def place(self) -> int:
        """A session that is placed at once; raises MeasurementError for one that is not."""
        self.made += 1
        orders = self.balancer.open_session(self.now, self.made, 0, 0, WAIT, LOAD)
        if len(orders) != 1 or not isinstance(orders[0], Connect):
            raise MeasurementError(f"a placement came to {orders}, not to one connection")
        return self.made

    def stands(self, session: int) -> None:
        self.balancer.handle_event(self.now, SessionEstablished(session))

    def ends(self, session: int) -> None:
        self.balancer.handle_event(self.now, DialEnded(session, 0, Outcome.GOOD, True))


def row(number: int, state: str = "Ready") -> dict[str, Any]:
    return {
        "uid": f"host-{number:05d}", "endpoint": f"127.0.{number >> 8}.{number & 255}:9000", "az": "east",
        "state": state, "model": "m", "pod_group": 0, "capacity_hint": 1.0, "boot_ms": 0,
    }  # fmt: skip


def list_text(hosts: int) -> bytes:
    return orjson.dumps({"rev": 1, "all": True, "targets": [row(number) for number in range(hosts)]})


def change_text(number: int, state: str) -> bytes:
    return orjson.dumps({"rev": 2, "all": False, "targets": [row(number, state)]})


@contextmanager
def no_collection() -> Iterator[None]:
    """No collection of garbage: its time would fall on whatever runs just then."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def taken(do: Callable[[], Any], repeats: int, prepare: Callable[[], Any] = lambda: None) -> float:
    """Processor seconds of one call, the median of so many; `prepare` runs before each and is not timed."""
    spans = []
    with no_collection():
        for _ in range(repeats):
            prepare()
            began = time.process_time()
            do()
            spans.append(time.process_time() - began)
    return median(spans)


def of_list(hosts: int, small: bool) -> float:
    text = list_text(hosts)
    nodes: list[OfflineNode] = []  # the one that the list is for
    return taken(
        lambda: nodes[-1].take(text),
        SMALL_REPEATS if small else REPEATS,
        lambda: nodes.__setitem__(slice(None), [OfflineNode()]),
    )


def of_list_memory(hosts: int, small: bool) -> float:
    """Bytes that Python's allocator holds for a list that was taken in."""
    text, node = list_text(hosts), OfflineNode()
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        node.take(text)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


def listed_node(hosts: int) -> OfflineNode:
    node = OfflineNode()
    node.take(list_text(hosts))
    return node


def of_change(hosts: int, small: bool) -> float:
    """One host begins to drain, or is ready again."""
    node, changes = listed_node(hosts), SMALL_CHANGES if small else CHANGES
    drained, ready = (
        [change_text(n, state) for n in range(changes // 2)] for state in ("Terminating", "Ready")
    )

    def change() -> None:
        for text in (*drained, *ready):
            node.take(text)

    return taken(change, SMALL_REPEATS if small else REPEATS) / len(drained + ready)


def loaded_node(hosts: int, small: bool) -> OfflineNode:
    """With a fresh figure of every host, and with sessions that stand."""
    node = listed_node(hosts)
    node.figures(hosts)
    for _ in range(SMALL_SESSIONS if small else SESSIONS):
        node.stands(node.place())
    return node


def of_tick(hosts: int, small: bool) -> float:
    node = loaded_node(hosts, small)

    def come_due() -> None:
        node.now = node.balancer.next_timer_at
        node.figures(hosts)

    return taken(lambda: node.balancer.run_timers(node.now), SMALL_REPEATS if small else REPEATS, come_due)


def of_placement(hosts: int, small: bool) -> float:
    node, placements = loaded_node(hosts, small), SMALL_PLACEMENTS if small else PLACEMENTS
    placed: list[int] = []

    def clear() -> None:
        for session in placed:
            node.ends(session)
        placed.clear()

    def place() -> None:
        placed.extend(node.place() for _ in range(placements))

    return taken(place, SMALL_REPEATS if small else REPEATS, clear) / placements


COSTS: tuple[tuple[str, str, str, Callable[[int, bool], float], str], ...] = (
    ("list", "processor time of a list of all hosts", "s", of_list, "from the JSON text on, at a new node"),
    ("list_memory", "memory of a list of all hosts", "B", of_list_memory, "as Python's allocator counts it"),
    ("change", "processor time of one change in the list", "s", of_change, "drains, or is ready again"),
    (
        "tick", "processor time of a tick", "s", of_tick,
        f"two a second; {SESSIONS} sessions stand and every host has told a figure",
    ),
    (
        "placement", "processor time of a placement", "s", of_placement,
        f"the choice alone, with fresh figures of all hosts and {SESSIONS} sessions that stand",
    ),
)  # fmt: skip


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    made = []
    for name, what, unit, cost_of, note in COSTS:
        points = []
        for hosts in SMALL_SIZES if small else SIZES:
            points.append(Point(hosts, cost_of(hosts, small)))
            progress(f"{hosts} hosts: {name} {points[-1].cost:.3g} {unit}")
        made.append(make_measurement(f"node.{name}", what, unit, AGAINST, Source.IN_PROCESS, points, note))
    return made
