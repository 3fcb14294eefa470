"""Cost of applying a configuration, as SIGHUP does, in process: the node's own service on a memory reactor.

What is timed is Service.reload: the file is read, parsed, checked against the one in force, and put into
force at the budget, the decisions and the carrier. It blocks the node's only loop, so this is also how long
the node serves nobody.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from statistics import median
from typing import NamedTuple

import orjson
from loguru import logger
from twisted.internet.testing import MemoryReactorClock

from caperdeck.lifecycle.config import load_config, reload_config
from caperdeck.lifecycle.logs import Sink
from caperdeck.lifecycle.service import Service

from .errors import MeasuringError
from .line import Point
from .record import Measurement, Source, measurement

STANDARD_ERROR = 2  # descriptor
LOGGING = "caperdeck.lifecycle"  # modules whose lines would be written in the midst of what is timed
HOSTS, LISTENERS, CUSTOMERS = 50, 3, 20  # of a configuration, where they are not the size
REPEATS_FULL, REPEATS_SMALL = 15, 3


class Sizes(NamedTuple):
    hosts: tuple[int, ...]  # rows of known hosts: they make a file large
    listeners: tuple[int, ...]
    customers: tuple[int, ...]
    repeats: int


FULL = Sizes(
    (100, 1000, 5000, 10_000, 20_000, 40_000), (1, 10, 50, 100, 200, 500), (10, 100, 1000, 5000, 20_000),
    REPEATS_FULL,
)  # fmt: skip
SMALL = Sizes((10, 20, 40, 80), (1, 5, 10, 20), (10, 20, 40, 80), REPEATS_SMALL)


class ReloadError(MeasuringError):
    """The service did not take a configuration that was made for it."""


def configuration(hosts: int = HOSTS, listeners: int = LISTENERS, customers: int = CUSTOMERS) -> bytes:
    """A file with so many of each."""
    known = [
        {"uid": f"s-{i}", "endpoint": f"127.0.0.1:{9000 + i % 50_000}", "az": "east", "state": "Ready",
         "boot_ms": 0}
        for i in range(hosts)
    ]  # fmt: skip
    classes = [
        {"name": f"class-{i}", "effect": "idempotent", "group": "all", "handshakeTarget": 0.3,
         "hardLimit": 1.2, "memorySpan": 5.0, "utility": 1.0}
        for i in range(listeners)
    ]  # fmt: skip
    settings = {
        "fleetSize": 3, "dcs": ["east", "west"], "locality": "east", "listeners": classes,
        "projects": [{"name": f"customer-{i}"} for i in range(customers)], "report": {"how": "pull"},
        "limits": {"mostDials": 3, "mayProbe": False, "cancel": True, "retryAfter": True,
                   "maxRetryAfter": 1.0, "dialTimeout": 0.25},
        "invariants": {"coldFrom": 0.3, "warmAfter": 8.0, "fallMultiple": 2.5, "fall": 1.0},
    }  # fmt: skip
    return orjson.dumps({
        "name": "n0", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "1",
        "limits": {"sockets": 1024}, "known": {"rev": 1, "all": True, "targets": known},
        "settings": settings,
    })  # fmt: skip


class Node:
    """A service that knows its hosts and has not started; its file is in a folder of its own."""

    def __init__(self, folder: str, text: bytes) -> None:
        self.path = Path(folder) / "config.json"
        self.path.write_bytes(text)
        environment: dict[str, str] = {}
        config = load_config(environment, str(self.path))
        self.service = Service(
            MemoryReactorClock(), config, Sink(STANDARD_ERROR),
            lambda: reload_config(environment, str(self.path)),
        )  # fmt: skip
        self.service.load_hosts(config.known_hosts)

    def reload(self) -> float:
        """Seconds; raises ReloadError."""
        accepted = self.service.handler.metrics.accepted_configs
        began = time.perf_counter()
        self.service.reload()
        took = time.perf_counter() - began
        if self.service.handler.metrics.accepted_configs != accepted + 1:
            raise ReloadError(f"{self.path.stat().st_size} bytes were not taken")
        return took


def seconds_to_apply(text: bytes, repeats: int) -> float:
    """The median; the first, which fills caches, is not counted."""
    with tempfile.TemporaryDirectory() as folder:
        node = Node(folder, text)
        logger.disable(LOGGING)
        try:
            node.reload()
            return median(node.reload() for _ in range(repeats))
        finally:
            logger.enable(LOGGING)


# ---- all sizes


def measure(small: bool, say: Callable[[str], None]) -> list[Measurement]:
    sizes = SMALL if small else FULL
    note = f"median of {sizes.repeats} reloads in one process, without the line that the log gets; "
    files = [configuration(hosts=n) for n in sizes.hosts]
    by_size = [Point(len(text), seconds_to_apply(text, sizes.repeats)) for text in files]
    by_listeners = _points(sizes.listeners, lambda n: configuration(listeners=n), sizes.repeats)
    by_customers = _points(sizes.customers, lambda n: configuration(customers=n), sizes.repeats)
    file_bytes = [Point(n, len(configuration(listeners=n))) for n in sizes.listeners]
    apply = "time to apply a configuration, in which the node serves nobody"
    measured = [
        _made("apply_by_size", apply, "s", "bytes of the file", by_size,
              f"{note}a file grows by rows of known hosts, which a reload parses but does not take "
              f"in, and which the node knows from its start; "
              f"{LISTENERS} listeners, {CUSTOMERS} customers; a file of over 8 MiB is refused"),
        _made("apply_by_listeners", apply, "s", "listeners", by_listeners,
              f"{note}{HOSTS} hosts, {CUSTOMERS} customers"),
        _made("apply_by_customers", apply, "s", "customers", by_customers,
              f"{note}{HOSTS} hosts, {LISTENERS} listeners"),
        _made("bytes_by_listeners", "size of the file", "B", "listeners", file_bytes,
              f"as this rig writes it, without spaces, with all keys of a listener; {HOSTS} hosts, "
              f"{CUSTOMERS} customers; names grow by a digit, which bends the line a little"),
    ]  # fmt: skip
    for each in measured:
        last = each.points[-1]
        say(f"configuration: {each.name} {last.cost:.3g} {each.unit} at {last.size:g} {each.against}")
    return measured


def _points(sizes: Iterable[int], text: Callable[[int], bytes], repeats: int) -> list[Point]:
    return [Point(size, seconds_to_apply(text(size), repeats)) for size in sizes]


def _made(name: str, what: str, unit: str, against: str, points: list[Point], note: str) -> Measurement:
    return measurement(f"configuration.{name}", what, unit, against, Source.IN_PROCESS, points, note)
