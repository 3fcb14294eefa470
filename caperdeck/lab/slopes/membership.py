"""Cost of membership (SWIM) by the number of members, in virtual time on an in-memory network.

Every member is the program's own Swim with its own codec; only sockets and clock are simulated. Bytes,
messages and times are exact for a seed. Processor times are of the machine that runs the simulation, in the
protocol's own code: state machine, encoding and decoding, without sockets.
"""

from __future__ import annotations

import gc
import random
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from statistics import median
from typing import Any, NamedTuple

from caperdeck.lab.events import Events
from caperdeck.peers import codec
from caperdeck.peers.codec import State
from caperdeck.peers.swim import PERIOD, Send, Swim

from .errors import MeasuringError
from .line import Point
from .record import Measurement, Source, measurement

SECOND = 1000.0  # milliseconds
DELAY = (1.0, 25.0)  # milliseconds that a datagram takes, drawn evenly
LEAST_WAIT = 1.0  # milliseconds between two turns of a member, as the node's socket has it
SEED, SEED_BITS = 20, 32  # of the runs; of a member's own, drawn from it
FLEET = codec.fleet_mark(0, ())  # a mark; its value changes no cost
NINE_IN_TEN = 0.9
REGION = 2 / 5  # of the members, which a cut separates from the others
CUT = 60 * SECOND
AFTER_CUT = 20 * SECOND  # the share of false deaths may still rise
LOOK_CUT = 2 * SECOND  # between two looks at who is held dead
LOOK = SECOND / 2  # between two looks at who knows what
SETTLE = 10 * SECOND  # of a known fleet before anything is measured
KILLED = 3  # members killed at one moment, whose median is taken
LONGEST = 1800 * SECOND  # a time that is longer is an error
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


class SlowError(MeasuringError):
    """What is waited for has not come in LONGEST."""


class Fleet(Events):
    """Members on a simulated network. `warm`: all know all from the start."""

    def __init__(self, members: int, seed: int, warm: bool) -> None:
        super().__init__()
        self.draw = random.Random(seed)
        # Danger: with seeds in a row members draw alike, ping the same ones at once, and never ping some.
        seeds = [self.draw.getrandbits(SEED_BITS) for _ in range(members)]
        self.members = [Swim(i, members, i + 1, seeds[i], self.now) for i in range(members)]
        self.killed: set[int] = set()
        self.region = 0  # members under this number are cut off from the others; 0 for no cut
        self.messages = self.bytes = self.spent = 0  # sent; nanoseconds in the protocol's code
        if warm:
            self._introduce()
        for number, swim in enumerate(self.members):
            self.at(swim.due, self._tick, number)

    def _introduce(self) -> None:
        lives = [swim.life[swim.me] for swim in self.members]
        for swim in self.members:
            swim.state = [State.ALIVE] * len(lives)
            swim.life = list(lives)
            swim.beats = [1] * len(lives)
            swim.news_at = [self.now] * len(lives)

    def _tick(self, number: int) -> None:
        if number in self.killed:
            return
        swim = self.members[number]
        started = time.thread_time_ns()
        sends = swim.tick(self.now)
        self._send(number, sends)
        self.spent += time.thread_time_ns() - started
        self.at(max(swim.due - self.now, LEAST_WAIT), self._tick, number)

    def _arrive(self, number: int, data: bytes) -> None:
        if number in self.killed:
            return
        swim = self.members[number]
        started = time.thread_time_ns()
        sends, _ = swim.take(self.now, codec.decode(data, FLEET, len(self.members)))
        self._send(number, sends)
        self.spent += time.thread_time_ns() - started

    def _send(self, number: int, sends: list[Send]) -> None:
        for to, message in sends:
            data = codec.encode(message, FLEET)
            self.messages += 1
            self.bytes += len(data)
            if (number < self.region) == (to < self.region):
                self.at(self.draw.uniform(*DELAY), self._arrive, to, data)

    @property
    def living(self) -> list[Swim]:
        return [swim for swim in self.members if swim.me not in self.killed]

    def wait_for(self, true: Callable[[], bool]) -> float:
        """Milliseconds until it is true, looked at every LOOK; raises SlowError."""
        began = self.now
        while not true():
            if self.now - began >= LONGEST:
                raise SlowError(f"{len(self.members)} members: not in {LONGEST / SECOND:g} s")
            self.run(LOOK)
        return self.now - began


@contextmanager
def uncollected() -> Iterator[None]:
    """Without the garbage collector, which would go through the tables of all members again and again.

    What a simulation leaves behind is collected when the next one begins.
    """
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


# ---- what is measured at one size


class Steady(NamedTuple):
    """A second and member, while nothing happens; and the bytes of memory of one member."""

    bytes: float
    messages: float
    cpu: float  # seconds
    state: int


def steady(members: int, span: float) -> Steady:
    fleet = Fleet(members, SEED, warm=True)
    fleet.run(SETTLE)
    fleet.bytes = fleet.messages = fleet.spent = 0
    fleet.run(span)
    seconds = members * span / SECOND
    state = memory(fleet.members[0])
    return Steady(fleet.bytes / seconds, fleet.messages / seconds, fleet.spent / 1e9 / seconds, state)


def known(members: int) -> float:
    """Seconds from a start of all at once until nine in ten know nine in ten."""
    fleet = Fleet(members, SEED, warm=False)
    enough = NINE_IN_TEN * members

    def all_known() -> bool:
        return sum(swim.state.count(State.ALIVE) >= enough for swim in fleet.members) >= enough

    return fleet.wait_for(all_known) / SECOND


def death(members: int) -> float:
    """Seconds from a kill until nine in ten of the living hold the killed member silent; a median."""
    fleet = Fleet(members, SEED, warm=True)
    fleet.run(SETTLE)
    victims = range(KILLED)
    fleet.killed.update(victims)
    killed_at = fleet.now
    enough = NINE_IN_TEN * len(fleet.living)
    found: dict[int, float] = {}

    def all_found() -> bool:
        for victim in victims:
            if victim in found:
                continue
            if sum(swim.state[victim] is State.SILENT for swim in fleet.living) >= enough:
                found[victim] = fleet.now - killed_at
        return len(found) == len(victims)

    fleet.wait_for(all_found)
    return median(found.values()) / SECOND


def false_deaths(members: int) -> float:
    """The highest share of pairs across a cut, in and after it, in which one holds the other silent."""
    fleet = Fleet(members, SEED, warm=True)
    fleet.run(SETTLE)
    region = round(REGION * members)
    fleet.region = region
    highest = 0.0
    for step in range(int((CUT + AFTER_CUT) / LOOK_CUT)):
        if step * LOOK_CUT >= CUT:
            fleet.region = 0
        fleet.run(LOOK_CUT)
        highest = max(highest, held_silent_across(fleet, region))
    return highest


def held_silent_across(fleet: Fleet, region: int) -> float:
    members = len(fleet.members)
    silent = sum(swim.state[region:].count(State.SILENT) for swim in fleet.members[:region])
    silent += sum(swim.state[:region].count(State.SILENT) for swim in fleet.members[region:])
    return silent / (2 * region * (members - region))


def memory(value: Any) -> int:
    """Bytes of an object and all that it alone refers to; what is shared by the program is not counted."""
    seen: set[int] = set()
    return sum(sys.getsizeof(each) for each in _parts(value, seen))


def _parts(value: Any, seen: set[int]) -> Iterator[Any]:
    if value is None or isinstance(value, bool | Enum | type) or id(value) in seen:
        return
    seen.add(id(value))
    yield value
    if isinstance(value, dict):
        below = [*value.keys(), *value.values()]
    elif isinstance(value, str | bytes | int | float):
        below = []
    elif hasattr(value, "__dict__"):
        below = [value.__dict__]
    else:
        below = list(value)
    for each in below:
        yield from _parts(each, seen)


# ---- all sizes


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
                 f"one run a size, looked at every {LOOK / SECOND:g} s; over {sizes[-1]} members are not "
                 "run, as the time to simulate grows with their square")  # fmt: skip


def _death(sizes: tuple[int, ...], say: Callable[[str], None]) -> Measurement:
    points = _points(sizes, death, say, "a death among {members} members is known after {cost:g} s")
    what = "time until a killed member is known dead by nine in ten of the living"
    return _made("death", what, "s", points,
                 f"{WARM}; median of {KILLED} members killed at one moment in one run a size; a suspected "
                 "member counts as dead after a time that grows with the logarithm of the members, so no "
                 "line is expected, and the chance of who pings whom moves a point by some periods "
                 f"of {PERIOD / SECOND:g} s; over {sizes[-1]} members are not run, for the time that it "
                 "takes to simulate")  # fmt: skip


def _false_deaths(sizes: tuple[int, ...], say: Callable[[str], None]) -> Measurement:
    points = _points(sizes, false_deaths, say, "a cut among {members} members: {cost:.4f} of pairs held dead")
    what = "living members held dead at the peak, in a cut of two fifths of the members for 60 s"
    return _made("false_deaths", what, "share", points,
                 f"{WARM}; a share, not a count: of all pairs of a member and another across the cut, those "
                 f"in which the one holds the other silent, the highest of looks every "
                 f"{LOOK_CUT / SECOND:g} s until {AFTER_CUT / SECOND:g} s after the cut; it falls with the "
                 "members, as words on them are passed on a few at a time, and is bounded by 1: no line; "
                 f"over {sizes[-1]} members are not run, for the time that it takes to simulate")  # fmt: skip
