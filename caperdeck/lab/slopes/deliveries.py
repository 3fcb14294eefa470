"""Processor time and latency of a delivery: a line from a host to a client through a node.

Lines are sent as a Poisson process, independent of the fate of earlier lines, at increasing rates up to the
first at which the node's process is saturated. All lines of a point arrive before the next point starts.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import msgspec

from .bench import Bench, NodeProcess
from .clients_end import PERCENTILES
from .errors import MeasurementError
from .line import Point
from .record import Measurement, Source, make_measurement

LINE_LENGTHS = (100, 1000)  # bytes, including the line end
FULL_SHARE = 0.95  # of one processor, from which the node counts as saturated
MIN_RECEIVED_SHARE = 0.97  # of the lines sent, received when sending ends; with fewer the node is saturated
CLIENTS_FULL_SHARE = 0.9  # of one processor, from which the clients' process may be the bottleneck
DELIVERY_TIMEOUT_S = 20.0  # for lines under way to arrive
POLL_INTERVAL_S = 0.02
MIN_TAIL_LINES = 10  # lines beyond a percentile; with fewer the percentile depends on chance
MAX_ATTEMPTS = 3  # at a point with an inconclusive result
WARM_UP_S = 0.5  # at the lowest rate, not recorded


class Sizes(msgspec.Struct, frozen=True):
    """What is measured: rates in lines a second, times in seconds."""

    rates: tuple[int, ...]
    idle_connections: tuple[int, ...]  # open beside the active ones
    active_connections: int  # that carry lines
    seconds: float  # duration of a point
    max_lateness_s: float  # 99th percentile of the sender's lateness, beyond which the point is void
    stop_when_full: bool  # whether a saturated node ends the series of rates


FULL_SIZES = Sizes(
    rates=(
        500, 1000, 2000, 3000, 4000, 5000, 6000, 7000, 8000, 9000, 10000, 12000, 14000, 16000, 20000, 24000,
        32000, 40000,
    ),
    idle_connections=(1000, 4000), active_connections=200, seconds=2.5, max_lateness_s=0.01,
    stop_when_full=True,
)  # fmt: skip
SMALL_SIZES = Sizes(
    rates=(100, 200, 300, 400), idle_connections=(20,), active_connections=10, seconds=0.15,
    max_lateness_s=10.0, stop_when_full=False,
)  # fmt: skip


class RateResult(msgspec.Struct, frozen=True):
    """The result at one rate."""

    rate: float  # lines a second, as requested
    delivered: float  # lines a second, received when sending ended
    processor_share: float  # processor seconds of the node a second
    percentiles: dict[str, float]  # seconds from host to client, by the names of PERCENTILES
    full: bool  # the node was saturated
    void_reason: str = ""  # why the result says nothing about the node; empty if it does

    @property
    def inconclusive(self) -> bool:
        """Void, or the node left lines behind although it had processor time to spare."""
        return bool(self.void_reason) or (self.full and self.processor_share < FULL_SHARE)


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    """Measures deliveries for each number of idle connections and each line length."""
    sizes = SMALL_SIZES if small else FULL_SIZES
    measured = []
    with Bench() as bench:
        for idle_connections in bench.feasible_sizes(sizes.idle_connections, progress):
            with bench.node() as node:
                node.open_connections(idle_connections, "i")
                node.open_connections(sizes.active_connections, "a")
                bench.hosts.call("quiet")
                bench.clients.call("quiet")
                for length in LINE_LENGTHS:
                    results = run_rates(bench, node, sizes, length, progress)
                    measured += make_measurements(results, sizes, length, idle_connections)
                node.close_connections(reset=True)
    return measured


def run_rates(
    bench: Bench, node: NodeProcess, sizes: Sizes, length: int, progress: Callable[[str], None]
) -> list[RateResult]:
    """Runs the rates in rising order, up to the first at which the node is saturated or the result void."""
    run_rate(bench, node, sizes, sizes.rates[0], min(WARM_UP_S, sizes.seconds), length)
    results = []
    for rate in sizes.rates:
        # Repeated because a single moment in which the machine was busy would otherwise end the series.
        for _ in range(MAX_ATTEMPTS if sizes.stop_when_full else 1):
            result = run_rate(bench, node, sizes, rate, sizes.seconds, length)
            progress(describe(result, length))
            if not result.inconclusive:
                break
        results.append(result)
        if sizes.stop_when_full and (result.full or result.void_reason):
            break
    return results


def describe(result: RateResult, length: int) -> str:
    """The result as a progress line."""
    times = ", ".join(f"{name} {value * 1000:.2f} ms" for name, value in result.percentiles.items())
    state = f", void: {result.void_reason}" if result.void_reason else ", full" if result.full else ""
    return (
        f"{result.rate:g} lines of {length} B per second: processor {result.processor_share:.3f}, "
        f"{times}{state}"
    )


def run_rate(
    bench: Bench, node: NodeProcess, sizes: Sizes, rate: float, seconds: float, length: int
) -> RateResult:
    """Sends lines at one rate, and waits until all have arrived."""
    hosts, clients = bench.hosts, bench.clients
    clients.call("watch", length=length)
    started_at, used = time.monotonic(), node.processor_time()
    sent = hosts.call("send", prefix="a", rate=rate, seconds=seconds, length=length)
    span, used = time.monotonic() - started_at, node.processor_time() - used
    received = clients.call("received")
    wait_for_delivery(bench, sent["sent"])
    share = used / span
    fell_behind = sent["blocked"] > 0 or received["received"] < MIN_RECEIVED_SHARE * sent["sent"]
    return RateResult(
        rate=rate,
        delivered=received["received"] / span,
        processor_share=share,
        percentiles=clients.call("delays")["percentiles"],
        full=share >= FULL_SHARE or fell_behind,
        void_reason=void_reason(sizes, sent, received["processor"] / span),
    )


def void_reason(sizes: Sizes, sent: dict[str, float], clients_share: float) -> str:
    """Why a result says nothing about the node; empty if it does."""
    if sent["cut"]:
        return f"{sent['cut']} lines went out in part"
    if sent["late"] > sizes.max_lateness_s:
        return f"the hosts' process was {sent['late'] * 1000:.0f} ms late"
    if clients_share > CLIENTS_FULL_SHARE and sizes.stop_when_full:
        return f"the clients' process was full ({clients_share:.2f})"
    return ""


def wait_for_delivery(bench: Bench, sent: int) -> None:
    """Waits until the clients have received all lines; raises MeasurementError after DELIVERY_TIMEOUT_S."""
    deadline = time.monotonic() + DELIVERY_TIMEOUT_S
    while (received := bench.clients.call("received")["received"]) < sent:
        if time.monotonic() > deadline:
            raise MeasurementError(f"{received} of {sent} lines arrived")
        time.sleep(POLL_INTERVAL_S)


def make_measurements(
    results: list[RateResult], sizes: Sizes, length: int, idle_connections: int
) -> list[Measurement]:
    """The processor time by the rate delivered, and each percentile by the rate sent."""
    suffix = "" if idle_connections == sizes.idle_connections[0] else f"_beside_{idle_connections}"
    valid, note = (
        [result for result in results if not result.void_reason], make_note(results, sizes, idle_connections)
    )  # fmt: skip
    measured = [
        make_measurement(
            f"node.delivery_{length}{suffix}",
            f"processor time a second while lines of {length} B are delivered", "s/s", "lines a second",
            Source.PROCESSES, [Point(result.delivered, result.processor_share) for result in valid],
            "the slope is one delivery; size as delivered; " + note,
        )
    ]  # fmt: skip
    tail_note = (
        f"p999 rests on fewer than {MIN_TAIL_LINES} lines under {MIN_TAIL_LINES * 1000 / sizes.seconds:g} "
        "a second; "
    )
    for name in PERCENTILES:
        measured.append(
            make_measurement(
                f"node.delivery_{name}_{length}{suffix}",
                f"time of a line of {length} B from host to client, {name}", "s", "lines a second",
                Source.PROCESSES, [Point(result.rate, result.percentiles[name]) for result in valid],
                "size as sent; no line is expected near the full process; "
                + tail_note * (name == "p999") + note,
            )
        )  # fmt: skip
    return measured


def make_note(results: list[RateResult], sizes: Sizes, idle_connections: int) -> str:
    """The conditions of the measurement, and the rates at which the node was saturated or the result void."""
    parts = [
        f"lines on {sizes.active_connections} connections at random moments, "
        f"{idle_connections} idle ones beside"
    ]
    parts.append(f"{sizes.seconds:g} s a point")
    for result in results:
        if result.void_reason:
            parts.append(f"void at {result.rate:g} and left out: {result.void_reason}")
        elif result.full:
            parts.append(
                f"the node was full at {result.rate:g}: {result.delivered:.0f} delivered, processor "
                f"{result.processor_share:.2f}; the times there grow with the seconds"
            )
    return "; ".join(parts)
