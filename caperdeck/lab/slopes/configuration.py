"""Cost of applying a configuration, as on SIGHUP, by the node's service on a memory reactor in this process.

Times Service.reload: the file is read, parsed, checked against the active configuration, and applied to the
socket budget, the balancer and the command executor. This blocks the event loop of a node, so it is also
the time during which the node serves nobody.
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

from .errors import MeasurementError
from .line import Point
from .record import Measurement, Source, make_measurement

STDERR_DESCRIPTOR = 2
LOGGER_NAME = "caperdeck.lifecycle"  # disabled while timing, as it logs during a reload
HOSTS, LISTENERS, CUSTOMERS = 50, 3, 20  # in a configuration, unless varied
REPEATS_FULL, REPEATS_SMALL = 15, 3


class Sizes(NamedTuple):
    hosts: tuple[int, ...]  # rows of known hosts, which determine the size of the file
    listeners: tuple[int, ...]
    customers: tuple[int, ...]
    repeats: int


FULL = Sizes(
    (100, 1000, 5000, 10_000, 20_000, 40_000), (1, 10, 50, 100, 200, 500), (10, 100, 1000, 5000, 20_000),
    REPEATS_FULL,
)  # fmt: skip
SMALL = Sizes((10, 20, 40, 80), (1, 5, 10, 20), (10, 20, 40, 80), REPEATS_SMALL)


class ReloadError(MeasurementError):
    """The service did not accept a configuration generated for it."""


def configuration_text(hosts: int = HOSTS, listeners: int = LISTENERS, customers: int = CUSTOMERS) -> bytes:
    """A configuration file with that many hosts, listeners and customers."""
    known_hosts = [
        {"uid": f"s-{i}", "endpoint": f"127.0.0.1:{9000 + i % 50_000}", "az": "east", "state": "Ready",
         "boot_ms": 0}
        for i in range(hosts)
    ]  # fmt: skip
    listener_rows = [
        {"name": f"class-{i}", "effect": "idempotent", "group": "all", "handshakeTarget": 0.3,
         "hardLimit": 1.2, "memorySpan": 5.0, "utility": 1.0}
        for i in range(listeners)
    ]  # fmt: skip
    settings = {
        "fleetSize": 3, "dcs": ["east", "west"], "locality": "east", "listeners": listener_rows,
        "projects": [{"name": f"customer-{i}"} for i in range(customers)], "report": {"how": "pull"},
        "limits": {"mostDials": 3, "mayProbe": False, "cancel": True, "retryAfter": True,
                   "maxRetryAfter": 1.0, "dialTimeout": 0.25},
        "invariants": {"coldFrom": 0.3, "warmAfter": 8.0, "fallMultiple": 2.5, "fall": 1.0},
    }  # fmt: skip
    return orjson.dumps({
        "name": "n0", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "1",
        "limits": {"sockets": 1024}, "known": {"rev": 1, "all": True, "targets": known_hosts},
        "settings": settings,
    })  # fmt: skip


class ServiceNode:
    """A service that knows its hosts but has not started, with its configuration file."""

    def __init__(self, folder: str, text: bytes) -> None:
        self.path = Path(folder) / "config.json"
        self.path.write_bytes(text)
        environment: dict[str, str] = {}
        config = load_config(environment, str(self.path))
        self.service = Service(
            MemoryReactorClock(), config, Sink(STDERR_DESCRIPTOR),
            lambda: reload_config(environment, str(self.path)),
        )  # fmt: skip
        self.service.load_hosts(config.known_hosts)

    def reload(self) -> float:
        """Reloads the file and returns the seconds taken; raises ReloadError if it is not accepted."""
        accepted_before = self.service.handler.metrics.accepted_configs
        started_at = time.perf_counter()
        self.service.reload()
        seconds = time.perf_counter() - started_at
        if self.service.handler.metrics.accepted_configs != accepted_before + 1:
            raise ReloadError(f"{self.path.stat().st_size} bytes of configuration were not accepted")
        return seconds


def seconds_to_apply(text: bytes, repeats: int) -> float:
    """Median time of a reload, without the first one, which fills caches."""
    with tempfile.TemporaryDirectory() as folder:
        node = ServiceNode(folder, text)
        logger.disable(LOGGER_NAME)
        try:
            node.reload()
            return median(node.reload() for _ in range(repeats))
        finally:
            logger.enable(LOGGER_NAME)


# ---- measurements


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    """Measures reloads by the size of the file, the number of listeners and the number of customers."""
    sizes = SMALL if small else FULL
    note = f"median of {sizes.repeats} reloads in one process, without the line that the log gets; "
    texts = [configuration_text(hosts=n) for n in sizes.hosts]
    by_size = [Point(len(text), seconds_to_apply(text, sizes.repeats)) for text in texts]
    by_listeners = _points(sizes.listeners, lambda n: configuration_text(listeners=n), sizes.repeats)
    by_customers = _points(sizes.customers, lambda n: configuration_text(customers=n), sizes.repeats)
    file_bytes = [Point(n, len(configuration_text(listeners=n))) for n in sizes.listeners]
    apply = "time to apply a configuration, in which the node serves nobody"
    measured = [
        _configuration_measurement(
            "apply_by_size", apply, "s", "bytes of the file", by_size,
            f"{note}a file grows by rows of known hosts, which a reload parses but does not take "
            f"in, and which the node knows from its start; "
            f"{LISTENERS} listeners, {CUSTOMERS} customers; a file of over 8 MiB is refused",
        ),
        _configuration_measurement(
            "apply_by_listeners", apply, "s", "listeners", by_listeners,
            f"{note}{HOSTS} hosts, {CUSTOMERS} customers",
        ),
        _configuration_measurement(
            "apply_by_customers", apply, "s", "customers", by_customers,
            f"{note}{HOSTS} hosts, {LISTENERS} listeners",
        ),
        _configuration_measurement(
            "bytes_by_listeners", "size of the file", "B", "listeners", file_bytes,
            f"as this rig writes it, without spaces, with all keys of a listener; {HOSTS} hosts, "
            f"{CUSTOMERS} customers; names grow by a digit, which bends the line a little",
        ),
    ]  # fmt: skip
    for result in measured:
        last = result.points[-1]
        progress(
            f"configuration: {result.name} {last.cost:.3g} {result.unit} at {last.size:g} {result.against}"
        )
    return measured


def _points(sizes: Iterable[int], text_of_size: Callable[[int], bytes], repeats: int) -> list[Point]:
    return [Point(size, seconds_to_apply(text_of_size(size), repeats)) for size in sizes]


def _configuration_measurement(
    name: str, what: str, unit: str, against: str, points: list[Point], note: str
) -> Measurement:
    return make_measurement(f"configuration.{name}", what, unit, against, Source.IN_PROCESS, points, note)
