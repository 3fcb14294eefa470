"""The interface of the decisions: what a front hands in and what it gets back. No logic.

Times are float milliseconds on the front's clock. Sessions and hosts are small indices that the front
gives out, per node and in the order in which the node first hears of them. Loads are milliseconds of
work a second.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple


START_UNKNOWN = 0.0  # the start of a host whose start is not told, on any clock


class Effect(IntEnum):
    """What happens when a session of a listener runs again."""

    REPEATABLE = 0
    REFERENCED = 1
    ONCE_ONLY = 2


class Scope(IntEnum):
    """Which hosts drop repeats of a referenced session."""

    ALL = 0
    ZONE = 1
    CELL = 2


class HostState(IntEnum):
    RUNNING = 0
    DRAINING = 1
    GONE = 2


class RosterScope(IntEnum):
    CHANGES = 0
    FULL = 1
    SAVED = 2
    FAILED = 3


class Outcome(IntEnum):
    """How a dial, or the stream that came of it, ended."""

    GOOD = 0
    ERROR = 1
    FULL = 2
    LATE = 3
    UNREACHED = 4
    RESET = 5
    WITHDRAWN = 6
    NEVER_SENT = 7


NEVER_RAN = frozenset({Outcome.FULL, Outcome.UNREACHED, Outcome.NEVER_SENT})


class NoteKind(IntEnum):
    LOAD = 1
    MESSAGE_DELAY = 2


@dataclass(frozen=True, slots=True)
class Listener:
    effect: Effect
    scope: Scope
    memory_span: float
    handshake_target: float
    message_target: float
    utility: float


@dataclass(frozen=True, slots=True)
class Settings:
    seed: int
    me: float  # the own number among the nodes; drawn where none is given
    nodes: int
    zone: int
    listeners: tuple[Listener, ...]
    max_dials: int
    may_withdraw: bool
    may_probe: bool
    figures: bool  # hosts tell load or work piled up when probed
    back_off: bool
    max_back_off: float
    cold_from: float
    warm_after: float
    fall_multiple: float
    fall_span: float
    subscribe: bool
    ask_every: float
    cross_price: float
    sizes_stand: bool


class RosterEntry(NamedTuple):
    """A line of the roster; mark and boot are alike at every node.

    born is the host's start on this node's clock; boot is the same as the roster tells it, and names the
    start. Both are 0 where it started long ago.
    """

    host: int
    state: HostState
    size: float
    zone: int
    cell: int
    started_at: float
    stable_id: int
    roster_start: float = 0.0


class LoadReport(NamedTuple):
    """What a probe told: load over capacity, work piled up in milliseconds, and the connections that the host
    holds for all nodes together; None where not told.
    """

    load: float | None = None
    backlog: float | None = None
    connections: float | None = None


class SessionRequest(NamedTuple):
    """A session as it arrives; left is the time until its dial timeout, load is None without a hint,
    group where connections of one group share work.
    """

    session: int
    listener: int
    customer: int
    left: float
    load: float | None
    group: int | None


class Dial(NamedTuple):
    session: int
    host: int
    until: float


class Withdraw(NamedTuple):
    session: int
    dial: int


class Refuse(NamedTuple):
    session: int
    back_off: float


class TearDown(NamedTuple):
    session: int


class Move(NamedTuple):
    session: int


class Probe(NamedTuple):
    host: int


class Wake(NamedTuple):
    """Asks for a bell with this token after the given time."""

    after: float
    token: int


class Watch(NamedTuple):
    """Asks discovery for changes from now on."""


Action = Dial | Withdraw | Refuse | TearDown | Move | Probe | Wake | Watch


# ---- what a node keeps of a session that it holds


@dataclass(slots=True)
class DialRecord:
    """A dial that was made."""

    host: int
    at: float
    started_at: float  # the host's start, as the roster had it then
    group: int  # of the hosts that drop repeats of it, as the roster had it then
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class SessionState:
    """A session from its ask to its end."""

    id: int
    listener: Listener  # of the settings under which it came, as is
    most_dials: int
    asked: float
    deadline: float
    usual: float | None  # the usual-load hint
    group: int | None
    dials: list[DialRecord] = field(default_factory=list)
    out: bool = False  # a dial is out or a stream stands
    stands: float | None = None  # since when
    answered: bool = False  # concluded for the client: nothing may be sent any more
    present: float | None = None  # the last load note
    smooth: float = 0.0
    noted: float = 0.0
    looking: set[int] = field(default_factory=set)  # hosts whose figures it waits for
    wakes: float = 0.0  # and until when, at the most
    lots: list[int] = field(default_factory=list)  # cold hosts with a slot open to it
    run: Generator | None = None
