"""What the list of hosts costs a node: loading it, changing it, a run of the timers, and a placement.

Calls the node's own classes in this process, on a clock set by hand. Costs are medians of processor time.
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
SESSIONS, SMALL_SESSIONS = 1000, 20  # established, independent of the number of hosts
PLACEMENTS, SMALL_PLACEMENTS = 100, 5  # in one repeat
CHANGES, SMALL_CHANGES = 20, 4  # in one repeat
SESSION_LOAD = 2.0  # milliseconds of work a second
HOST_LOAD = 0.3  # reported by every host, relative to its capacity
CLIENT_WAIT_MS = 1000.0
START_MS = 1e6  # clock time when the node starts, long after its hosts
SOCKETS = 1 << 17
AGAINST = "hosts"


class OfflineNode:
    """A node's session handler and balancer without a network, on a clock set by hand."""

    def __init__(self) -> None:
        config = decode_config(
            node_config(
                Scenario(name="slopes", seconds=1.0, nodes=1), "n0", "127.0.0.1:1", "127.0.0.1:2", 1, 1
            )
        )
        self.now = START_MS
        self.balancer = Balancer(config.settings, self.now)
        self.handler = SessionHandler(
            Clock(), lambda: self.now, self.balancer, config.names, config.limits, Hosts(config.names.zones),
            SocketBudget(SOCKETS, 0),
        )  # fmt: skip
        self.placed_sessions = 0

    def apply_list(self, text: bytes) -> None:
        """Applies a full list or a change, as a line of JSON from discovery."""
        update = orjson.loads(text)
        self.handler.update_roster(update["all"], update["targets"])

    def report_loads(self, hosts: int) -> None:
        """Completes a probe of every host."""
        report = LoadReport(HOST_LOAD, None, None)
        for host in range(hosts):
            self.balancer.handle_event(self.now, ProbeCompleted(host, Outcome.GOOD, report))

    def place_session(self) -> int:
        """Places a session; raises MeasurementError unless it results in exactly one connection."""
        self.placed_sessions += 1
        commands = self.balancer.open_session(
            self.now, self.placed_sessions, 0, 0, CLIENT_WAIT_MS, SESSION_LOAD
        )
        if len(commands) != 1 or not isinstance(commands[0], Connect):
            raise MeasurementError(f"a placement came to {commands}, not to one connection")
        return self.placed_sessions

    def establish_session(self, session: int) -> None:
        self.balancer.handle_event(self.now, SessionEstablished(session))

    def end_session(self, session: int) -> None:
        self.balancer.handle_event(self.now, DialEnded(session, 0, Outcome.GOOD, True))


def roster_row(number: int, state: str = "Ready") -> dict[str, Any]:
    return {
        "uid": f"host-{number:05d}", "endpoint": f"127.0.{number >> 8}.{number & 255}:9000", "az": "east",
        "state": state, "model": "m", "pod_group": 0, "capacity_hint": 1.0, "boot_ms": 0,
    }  # fmt: skip


def full_list(hosts: int) -> bytes:
    """A full list of hosts, as discovery sends it."""
    return orjson.dumps({"rev": 1, "all": True, "targets": [roster_row(number) for number in range(hosts)]})


def state_change(number: int, state: str) -> bytes:
    """A change of one host's state, as discovery sends it."""
    return orjson.dumps({"rev": 2, "all": False, "targets": [roster_row(number, state)]})


@contextmanager
def gc_paused() -> Iterator[None]:
    """Turns the garbage collector off: its time would count for the operation during which it runs."""
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def median_processor_time(
    operation: Callable[[], Any], repeats: int, prepare: Callable[[], Any] = lambda: None
) -> float:
    """Median processor seconds of one call; `prepare` runs before each call and is not timed."""
    times = []
    with gc_paused():
        for _ in range(repeats):
            prepare()
            started_at = time.process_time()
            operation()
            times.append(time.process_time() - started_at)
    return median(times)


def list_cost(hosts: int, small: bool) -> float:
    """Loading a full list at a new node."""
    text = full_list(hosts)
    nodes: list[OfflineNode] = []  # holds the node of the current repeat
    return median_processor_time(
        lambda: nodes[-1].apply_list(text),
        SMALL_REPEATS if small else REPEATS,
        lambda: nodes.__setitem__(slice(None), [OfflineNode()]),
    )


def list_memory(hosts: int, small: bool) -> float:
    """Bytes that Python's allocator holds for a loaded list."""
    text, node = full_list(hosts), OfflineNode()
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        node.apply_list(text)
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return after - before


def node_with_hosts(hosts: int) -> OfflineNode:
    node = OfflineNode()
    node.apply_list(full_list(hosts))
    return node


def change_cost(hosts: int, small: bool) -> float:
    """One host starts to drain, or becomes ready again."""
    node, changes = node_with_hosts(hosts), SMALL_CHANGES if small else CHANGES
    drains, returns = (
        [state_change(n, state) for n in range(changes // 2)] for state in ("Terminating", "Ready")
    )

    def apply_changes() -> None:
        for text in (*drains, *returns):
            node.apply_list(text)

    return median_processor_time(apply_changes, SMALL_REPEATS if small else REPEATS) / len(drains + returns)


def node_with_sessions(hosts: int, small: bool) -> OfflineNode:
    """A node with fresh load reports of all hosts and with established sessions."""
    node = node_with_hosts(hosts)
    node.report_loads(hosts)
    for _ in range(SMALL_SESSIONS if small else SESSIONS):
        node.establish_session(node.place_session())
    return node


def tick_cost(hosts: int, small: bool) -> float:
    """One run of the balancer's timers."""
    node = node_with_sessions(hosts, small)

    def advance_to_timer() -> None:
        node.now = node.balancer.next_timer_at
        node.report_loads(hosts)

    return median_processor_time(
        lambda: node.balancer.run_timers(node.now), SMALL_REPEATS if small else REPEATS, advance_to_timer
    )


def placement_cost(hosts: int, small: bool) -> float:
    """The choice of a host for one session."""
    node, placements = node_with_sessions(hosts, small), SMALL_PLACEMENTS if small else PLACEMENTS
    placed: list[int] = []

    def end_placed_sessions() -> None:
        for session in placed:
            node.end_session(session)
        placed.clear()

    def place_sessions() -> None:
        placed.extend(node.place_session() for _ in range(placements))

    return (
        median_processor_time(place_sessions, SMALL_REPEATS if small else REPEATS, end_placed_sessions)
        / placements
    )


COSTS: tuple[tuple[str, str, str, Callable[[int, bool], float], str], ...] = (
    ("list", "processor time of a list of all hosts", "s", list_cost, "from the JSON text on, at a new node"),
    ("list_memory", "memory of a list of all hosts", "B", list_memory, "as Python's allocator counts it"),
    ("change", "processor time of one change in the list", "s", change_cost, "drains, or is ready again"),
    (
        "tick", "processor time of a tick", "s", tick_cost,
        f"two a second; {SESSIONS} sessions stand and every host has told a figure",
    ),
    (
        "placement", "processor time of a placement", "s", placement_cost,
        f"the choice alone, with fresh figures of all hosts and {SESSIONS} sessions that stand",
    ),
)  # fmt: skip


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    """Measures each of COSTS at several numbers of hosts."""
    measured = []
    for name, what, unit, cost_of, note in COSTS:
        points = []
        for hosts in SMALL_SIZES if small else SIZES:
            points.append(Point(hosts, cost_of(hosts, small)))
            progress(f"{hosts} hosts: {name} {points[-1].cost:.3g} {unit}")
        measured.append(
            make_measurement(f"node.{name}", what, unit, AGAINST, Source.IN_PROCESS, points, note)
        )
    return measured
