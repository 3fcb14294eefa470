"""Processor time of a delivery, and the time that it takes: a line from a host to a client, through a node.

Lines go out at random moments (a Poisson process), whatever became of those before, at rising rates up to the
first at which the node's process is full. Before each point the lines of the last one have all arrived.
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

LENGTHS = (100, 1000)  # bytes of a line, its end among them
FULL = 0.95  # of one processor, from which the node counts as full
CAUGHT_UP = 0.97  # of the lines sent that have arrived as the sending ends, under which it is full too
END_FULL = 0.9  # of one processor, from which the clients' process may be what limits
DRAIN = 20.0  # seconds in which lines under way have to arrive
POLL_INTERVAL_S = 0.02  # seconds between polls of that
FEW = 10  # lines past a percentile, under which it is a matter of chance
TRIES = 3  # of a point that is doubtful
LEAD_IN = 0.5  # seconds at the lowest rate, before anything is kept


class Sizes(msgspec.Struct, frozen=True):
    """What is measured: rates in lines a second, times in seconds."""

    rates: tuple[int, ...]
    beside: tuple[int, ...]  # idle connections that stand beside those that lines come on
    active: int  # connections that lines come on
    seconds: float  # of a point
    most_late: float  # 99 of 100 lines are sent no later than this after their moment, else the point is void
    until_full: bool  # whether a full node ends the rise


FULL_SIZES = Sizes(
    rates=(
        500, 1000, 2000, 3000, 4000, 5000, 6000, 7000, 8000, 9000, 10000, 12000, 14000, 16000, 20000, 24000,
        32000, 40000,
    ),
    beside=(1000, 4000), active=200, seconds=2.5, most_late=0.01, until_full=True,
)  # fmt: skip
SMALL_SIZES = Sizes(
    rates=(100, 200, 300, 400), beside=(20,), active=10, seconds=0.15, most_late=10.0, until_full=False
)


class RateResult(msgspec.Struct, frozen=True):
    """One rate, as measured."""

    rate: float  # lines a second that were to be sent
    delivered: float  # lines a second that had arrived as the sending ended
    processor: float  # seconds a second of the node
    percentiles: dict[str, float]  # seconds from host to client, by the names of PERCENTILES
    full: bool
    void: str = ""  # why the point says nothing about the node

    @property
    def inconclusive(self) -> bool:
        """Void, or lines were left behind by a node that had processor time to spare."""
        return bool(self.void) or (self.full and self.processor < FULL)


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    sizes = SMALL_SIZES if small else FULL_SIZES
    made = []
    with Bench() as bench:
        for beside in bench.feasible_sizes(sizes.beside, progress):
            with bench.node() as node:
                node.open(beside, "i")
                node.open(sizes.active, "a")
                bench.hosts.call("quiet")
                bench.clients.call("quiet")
                for length in LENGTHS:
                    runs = run_rates(bench, node, sizes, length, progress)
                    made += measurements(runs, sizes, length, beside)
                node.close(reset=True)
    return made


def run_rates(
    bench: Bench, node: NodeProcess, sizes: Sizes, length: int, progress: Callable[[str], None]
) -> list[RateResult]:
    """The rates from the lowest on, up to the first at which the node is full or an end is the limit."""
    run_rate(bench, node, sizes, sizes.rates[0], min(LEAD_IN, sizes.seconds), length)
    runs = []
    for rate in sizes.rates:
        # Danger: one moment in which the machine did something else would end the rise.
        for _ in range(TRIES if sizes.until_full else 1):
            run = run_rate(bench, node, sizes, rate, sizes.seconds, length)
            progress(describe(run, length))
            if not run.inconclusive:
                break
        runs.append(run)
        if sizes.until_full and (run.full or run.void):
            break
    return runs


def describe(run: RateResult, length: int) -> str:
    times = ", ".join(f"{name} {value * 1000:.2f} ms" for name, value in run.percentiles.items())
    state = f", void: {run.void}" if run.void else ", full" if run.full else ""
    return f"{run.rate:g} lines of {length} B a second: processor {run.processor:.3f}, {times}{state}"


def run_rate(
    bench: Bench, node: NodeProcess, sizes: Sizes, rate: float, seconds: float, length: int
) -> RateResult:
    hosts, clients = bench.hosts, bench.clients
    clients.call("watch", length=length)
    began, used = time.monotonic(), node.processor()
    sent = hosts.call("send", prefix="a", rate=rate, seconds=seconds, length=length)
    span, used = time.monotonic() - began, node.processor() - used
    got = clients.call("received")
    wait_for_delivery(bench, sent["sent"])
    share = used / span
    behind = sent["blocked"] > 0 or got["received"] < CAUGHT_UP * sent["sent"]
    return RateResult(
        rate=rate,
        delivered=got["received"] / span,
        processor=share,
        percentiles=clients.call("delays")["percentiles"],
        full=share >= FULL or behind,
        void=void(sizes, sent, got["processor"] / span),
    )


def void(sizes: Sizes, sent: dict[str, float], clients_share: float) -> str:
    """Why a point says nothing about the node, if it does not."""
    if sent["cut"]:
        return f"{sent['cut']} lines went out in part"
    if sent["late"] > sizes.most_late:
        return f"the hosts' process was {sent['late'] * 1000:.0f} ms late"
    if clients_share > END_FULL and sizes.until_full:
        return f"the clients' process was full ({clients_share:.2f})"
    return ""


def wait_for_delivery(bench: Bench, sent: int) -> None:
    """Waits until all that was sent has arrived."""
    until = time.monotonic() + DRAIN
    while (received := bench.clients.call("received")["received"]) < sent:
        if time.monotonic() > until:
            raise MeasurementError(f"{received} of {sent} lines arrived")
        time.sleep(POLL_INTERVAL_S)


def measurements(runs: list[RateResult], sizes: Sizes, length: int, beside: int) -> list[Measurement]:
    """The processor time, against what was delivered, and the percentiles, against what was sent."""
    suffix = "" if beside == sizes.beside[0] else f"_beside_{beside}"
    valid, note = [run for run in runs if not run.void], make_note(runs, sizes, beside)
    made = [
        make_measurement(
            f"node.delivery_{length}{suffix}",
            f"processor time a second while lines of {length} B are delivered", "s/s", "lines a second",
            Source.PROCESSES, [Point(run.delivered, run.processor) for run in valid],
            "the slope is one delivery; size as delivered; " + note,
        )
    ]  # fmt: skip
    rests = f"p999 rests on fewer than {FEW} lines under {FEW * 1000 / sizes.seconds:g} a second; "
    for name in PERCENTILES:
        made.append(
            make_measurement(
                f"node.delivery_{name}_{length}{suffix}",
                f"time of a line of {length} B from host to client, {name}", "s", "lines a second",
                Source.PROCESSES, [Point(run.rate, run.percentiles[name]) for run in valid],
                "size as sent; no line is expected near the full process; " + rests * (name == "p999") + note,
            )
        )  # fmt: skip
    return made


def make_note(runs: list[RateResult], sizes: Sizes, beside: int) -> str:
    told = [f"lines on {sizes.active} connections at random moments, {beside} idle ones beside"]
    told.append(f"{sizes.seconds:g} s a point")
    for run in runs:
        if run.void:
            told.append(f"void at {run.rate:g} and left out: {run.void}")
        elif run.full:
            told.append(
                f"the node was full at {run.rate:g}: {run.delivered:.0f} delivered, processor "
                f"{run.processor:.2f}; the times there grow with the seconds"
            )
    return "; ".join(told)
