"""Cost of membership (SWIM) by the number of members, in virtual time on an in-memory network.

Bytes, messages and times are exact for a seed. Processor times are of the machine that runs the simulation,
in the protocol's own code: state machine, encoding and decoding, without sockets.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from caperdeck.peers.swim import PING_PERIOD_MS

from .garbage import uncollected
from .line import Point
from .membership_costs import AFTER_CUT, CUT_CHECK_EVERY, KILLED, Steady, death, false_deaths, known, steady
from .membership_fleet import CHECK_EVERY, SECOND
from .record import Measurement, Source, measurement

NETWORK = "no loss, each datagram 1 to 25 ms under way; notes of the ledger are not along"
WARM = "begun with a table in which all know all, then 10 s to settle"


class Sizes(NamedTuple):
    """Numbers of members, and the span of the steady measurement in milliseconds."""

    known: tuple[int, ...]  # of runs that begin with all at once
    steady: tuple[int, ...]  # of the others, which begin with a table in which all know all
    death: tuple[int, ...]
    cut: tuple[int, ...]
    span: float


FULL = Sizes(
    known=(100, 200, 400, 730), steady=(100, 200, 400, 730, 1460, 2920), death=(100, 200, 400, 730, 1460),
    cut=(100, 200, 400, 730, 1460), span=10 * SECOND,
)  # fmt: skip
SMALL = Sizes(
    known=(8, 16, 24, 32), steady=(10, 20, 30, 40), death=(10, 20, 30, 40), cut=(10, 20, 30, 50),
    span=5 * SECOND,
)  # fmt: skip


def measure(small: bool, say: Callable[[str], None]) -> list[Measurement]:
    sizes = SMALL if small else FULL
    measured = _steady(sizes, say)
    measured.append(_known(sizes.known, say))
    measured.append(_death(sizes.death, say))
    measured.append(_false_deaths(sizes.cut, say))
    return measured


def _made(name: str, what: str, unit: str, points: list[Point], note: str) -> Measurement:
    note = f"{NETWORK}; {note}"
    return measurement(f"peers.{name}", what, unit, "members", Source.VIRTUAL_TIME, points, note)


def _steady(sizes: Sizes, say: Callable[[str], None]) -> list[Measurement]:
    found: dict[int, Steady] = {}
    for members in sizes.steady:
        with uncollected():
            found[members] = steady(members, sizes.span)
        cost = found[members]
        say(f"membership: {members} members steady: {cost.bytes:.1f} B/s, {cost.cpu * 1e6:.1f} us/s a member")

    def points(field: str) -> list[Point]:
        return [Point(members, float(getattr(cost, field))) for members, cost in found.items()]

    span = f"{WARM}; mean of {sizes.span / SECOND:g} s of virtual time"
    return [
        _made("bytes", "bytes sent a second and member, steady", "B/s", points("bytes"),
              f"{span}; of datagrams, without the headers of UDP and IP"),
        _made("messages", "datagrams sent a second and member, steady", "messages/s", points("messages"),
              span),
        _made("cpu", "processor time a second and member, steady", "s/s", points("cpu"),
              f"{span}; of the machine that runs the simulation, in the protocol's own code: Swim, encoding, "
              "decoding and the simulated send; no socket, no event loop, no garbage collector"),
        _made("state_bytes", "memory of one member's state of membership", "B", points("state"),
              f"{span}; objects of one Swim, as the interpreter counts them; small integers are shared in a "
              "real process too, and counted once"),
    ]  # fmt: skip


def _points(
    sizes: tuple[int, ...], cost: Callable[[int], float], say: Callable[[str], None], text: str,
) -> list[Point]:  # fmt: skip
    """The cost at each size, each said in a line: `text` with `members` and `cost` put in."""
    points = []
    for members in sizes:
        with uncollected():
            points.append(Point(members, cost(members)))
        say("membership: " + text.format(members=members, cost=points[-1].cost))
    return points


def _known(sizes: tuple[int, ...], say: Callable[[str], None]) -> Measurement:
    points = _points(sizes, known, say, "{members} members know nine in ten after {cost:g} s")
    what = "time from a start of all at once until nine in ten members know nine in ten"
    return _made("known", what, "s", points,
                 f"one run a size, looked at every {CHECK_EVERY / SECOND:g} s; over {sizes[-1]} members are "
                 "not run, as the time to simulate grows with their square")  # fmt: skip


def _death(sizes: tuple[int, ...], say: Callable[[str], None]) -> Measurement:
    points = _points(sizes, death, say, "a death among {members} members is known after {cost:g} s")
    what = "time until a killed member is known dead by nine in ten of the living"
    return _made("death", what, "s", points,
                 f"{WARM}; median of {KILLED} members killed at one moment in one run a size; a suspected "
                 "member counts as dead after a time that grows with the logarithm of the members, so no "
                 "line is expected, and the chance of who pings whom moves a point by some periods "
                 f"of {PING_PERIOD_MS / SECOND:g} s; over {sizes[-1]} members are not run, for the time "
                 "that it takes to simulate")  # fmt: skip


def _false_deaths(sizes: tuple[int, ...], say: Callable[[str], None]) -> Measurement:
    points = _points(sizes, false_deaths, say, "a cut among {members} members: {cost:.4f} of pairs held dead")
    what = "living members held dead at the peak, in a cut of two fifths of the members for 60 s"
    return _made("false_deaths", what, "share", points,
                 f"{WARM}; a share, not a count: of all pairs of a member and another across the cut, those "
                 f"in which the one holds the other silent, the highest of looks every "
                 f"{CUT_CHECK_EVERY / SECOND:g} s until {AFTER_CUT / SECOND:g} s after the cut; it falls "
                 "with the members, as words on them are passed on a few at a time, and is bounded by 1: no "
                 f"line; over {sizes[-1]} members are not run, for the time that it takes to "
                 "simulate")  # fmt: skip
