"""Cost of membership (SWIM) by the number of members, in virtual time on an in-memory network.

Bytes, messages and times are exact for a seed. Processor times are of the machine that runs the simulation,
in the protocol's own code: state machine, encoding and decoding, without sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from caperdeck.peers.swim import PING_PERIOD_MS

from .garbage import without_gc
from .line import Point
from .membership_costs import (
    AFTER_CUT_MS,
    CUT_CHECK_INTERVAL_MS,
    KILLED_MEMBERS,
    SteadyCost,
    convergence_time,
    detection_time,
    false_death_share,
    steady_cost,
)
from .membership_fleet import CHECK_INTERVAL_MS, SECOND_MS
from .record import Measurement, Source, make_measurement

NETWORK_NOTE = "no loss, each datagram 1 to 25 ms under way; notes of the ledger are not along"
WARM_NOTE = "begun with a table in which all know all, then 10 s to settle"


class Sizes(NamedTuple):
    """Numbers of members for each measurement.

    Runs for `known` start all members at once; the others start with complete membership tables.
    """

    known: tuple[int, ...]
    steady: tuple[int, ...]
    death: tuple[int, ...]
    cut: tuple[int, ...]
    span_ms: float  # duration of the steady measurement


FULL = Sizes(
    known=(100, 200, 400, 730), steady=(100, 200, 400, 730, 1460, 2920), death=(100, 200, 400, 730, 1460),
    cut=(100, 200, 400, 730, 1460), span_ms=10 * SECOND_MS,
)  # fmt: skip
SMALL = Sizes(
    known=(8, 16, 24, 32), steady=(10, 20, 30, 40), death=(10, 20, 30, 40), cut=(10, 20, 30, 50),
    span_ms=5 * SECOND_MS,
)  # fmt: skip


def measure(small: bool, progress: Callable[[str], None]) -> list[Measurement]:
    """Measures steady costs, convergence after a start, death detection and false deaths during a cut."""
    sizes = SMALL if small else FULL
    measured = _measure_steady(sizes, progress)
    measured.append(_measure_convergence(sizes.known, progress))
    measured.append(_measure_detection(sizes.death, progress))
    measured.append(_measure_false_deaths(sizes.cut, progress))
    return measured


def _membership_measurement(name: str, what: str, unit: str, points: list[Point], note: str) -> Measurement:
    note = f"{NETWORK_NOTE}; {note}"
    return make_measurement(f"peers.{name}", what, unit, "members", Source.VIRTUAL_TIME, points, note)


def _measure_steady(sizes: Sizes, progress: Callable[[str], None]) -> list[Measurement]:
    costs: dict[int, SteadyCost] = {}
    for members in sizes.steady:
        with without_gc():
            costs[members] = steady_cost(members, sizes.span_ms)
        cost = costs[members]
        progress(
            f"membership: {members} members steady: {cost.bytes:.1f} B/s, {cost.cpu * 1e6:.1f} us/s each"
        )

    def points(field: str) -> list[Point]:
        return [Point(members, float(getattr(cost, field))) for members, cost in costs.items()]

    span = f"{WARM_NOTE}; mean of {sizes.span_ms / SECOND_MS:g} s of virtual time"
    return [
        _membership_measurement(
            "bytes", "bytes sent a second and member, steady", "B/s", points("bytes"),
            f"{span}; of datagrams, without the headers of UDP and IP",
        ),
        _membership_measurement(
            "messages", "datagrams sent a second and member, steady", "messages/s", points("messages"), span,
        ),
        _membership_measurement(
            "cpu", "processor time a second and member, steady", "s/s", points("cpu"),
            f"{span}; of the machine that runs the simulation, in the protocol's own code: Swim, encoding, "
            "decoding and the simulated send; no socket, no event loop, no garbage collector",
        ),
        _membership_measurement(
            "state_bytes", "memory of one member's state of membership", "B", points("state"),
            f"{span}; objects of one Swim, as the interpreter counts them; small integers are shared in a "
            "real process too, and counted once",
        ),
    ]  # fmt: skip


def _points(
    sizes: tuple[int, ...], cost: Callable[[int], float], progress: Callable[[str], None], template: str,
) -> list[Point]:  # fmt: skip
    """Measures the cost at each size and reports `template` with `members` and `cost` filled in."""
    points = []
    for members in sizes:
        with without_gc():
            points.append(Point(members, cost(members)))
        progress("membership: " + template.format(members=members, cost=points[-1].cost))
    return points


def _measure_convergence(sizes: tuple[int, ...], progress: Callable[[str], None]) -> Measurement:
    points = _points(sizes, convergence_time, progress, "{members} members know nine in ten after {cost:g} s")
    what = "time from a start of all at once until nine in ten members know nine in ten"
    return _membership_measurement(
        "known", what, "s", points,
        f"one run a size, looked at every {CHECK_INTERVAL_MS / SECOND_MS:g} s; over {sizes[-1]} members are "
        "not run, as the time to simulate grows with their square",
    )  # fmt: skip


def _measure_detection(sizes: tuple[int, ...], progress: Callable[[str], None]) -> Measurement:
    points = _points(
        sizes, detection_time, progress, "a killed member among {members} is detected after {cost:g} s"
    )
    what = "time until a killed member is known dead by nine in ten of the living"
    return _membership_measurement(
        "death", what, "s", points,
        f"{WARM_NOTE}; median of {KILLED_MEMBERS} members killed at one moment in one run a size; a "
        "suspected member counts as dead after a time that grows with the logarithm of the members, so no "
        "line is expected, and the chance of who pings whom moves a point by some periods "
        f"of {PING_PERIOD_MS / SECOND_MS:g} s; over {sizes[-1]} members are not run, for the time "
        "that it takes to simulate",
    )  # fmt: skip


def _measure_false_deaths(sizes: tuple[int, ...], progress: Callable[[str], None]) -> Measurement:
    points = _points(
        sizes,
        false_death_share,
        progress,
        "a cut among {members} members: {cost:.4f} of pairs considered dead",
    )
    what = "living members held dead at the peak, in a cut of two fifths of the members for 60 s"
    return _membership_measurement(
        "false_deaths", what, "share", points,
        f"{WARM_NOTE}; a share, not a count: of all pairs of a member and another across the cut, those "
        f"in which the one holds the other silent, the highest of looks every "
        f"{CUT_CHECK_INTERVAL_MS / SECOND_MS:g} s until {AFTER_CUT_MS / SECOND_MS:g} s after the cut; it "
        "falls with the members, as words on them are passed on a few at a time, and is bounded by 1: "
        f"no line; over {sizes[-1]} members are not run, for the time that it takes to "
        "simulate",
    )  # fmt: skip
