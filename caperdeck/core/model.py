"""Data types that pass between the decisions and their callers, and the state kept of each session. No logic.

Times are float milliseconds on the caller's clock. Sessions and hosts are small integer indices that the
caller assigns per node, in the order in which the node first hears of them. Session loads are milliseconds of
work a second.
"""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import NamedTuple

START_UNKNOWN = 0.0  # start of a host whose start the roster does not give, on any clock


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
    """What a roster message covers, or that the roster could not be fetched."""

    CHANGES = 0
    FULL = 1
    SAVED = 2
    FAILED = 3


class Outcome(IntEnum):
    """How a dial, or the session established by it, ended."""

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
    """What a host reports about an established session."""

    LOAD = 1
    MESSAGE_DELAY = 2


@dataclass(frozen=True, slots=True)
class Listener:
    """The rules for the sessions of one listener."""

    effect: Effect
    scope: Scope
    memory_span: float  # how long a host remembers what it ran, to drop repeats
    handshake_target: float
    message_target: float
    utility: float


@dataclass(frozen=True, slots=True)
class Settings:
    """A node's decoded settings."""

    seed: int
    node_number: float  # this node's number among the nodes; drawn at random where none is configured
    nodes: int
    zone: int
    listeners: tuple[Listener, ...]
    max_dials: int
    may_withdraw: bool
    may_probe: bool
    reports_load: bool  # hosts report their load or their backlog when probed
    may_back_off: bool
    max_back_off: float
    cold_from: float  # share of its capacity that a host has at its start
    warm_after: float
    fall_multiple: float  # a cold host fails above this multiple of its capacity
    fall_span: float
    subscribe: bool
    ask_every: float
    cross_zone_price: float
    sizes_are_nominal: bool  # listed sizes are the hosts' own, not lowered by what they hold


class RosterEntry(NamedTuple):
    """One host of the roster; `stable_id` and `roster_start` are the same at every node.

    `started_at` is the host's start on this node's clock. `roster_start` is the same start as the roster
    gives it, and identifies it. Both are 0 if the host started long ago.
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
    """A host's answer to a probe; None for each value that it does not report.

    `load` is load over capacity, `backlog` is waiting work in milliseconds, `connections` counts those of all
    nodes.
    """

    load: float | None = None
    backlog: float | None = None
    connections: float | None = None


class SessionRequest(NamedTuple):
    """A new session.

    `time_left` is the time until its dial timeout. `load_hint` is None if the client gave none. Sessions of
    one group share work on a host.
    """

    session: int
    listener: int
    customer: int
    time_left: float
    load_hint: float | None
    group: int | None


# ---- actions


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
    """Requests a timer with this token after the given time."""

    after: float
    token: int


class Watch(NamedTuple):
    """Asks discovery for changes from now on."""


Action = Dial | Withdraw | Refuse | TearDown | Move | Probe | Wake | Watch


# ---- state that a node keeps of a session


@dataclass(slots=True)
class DialRecord:
    """A dial that was made."""

    host: int
    sent_at: float
    host_started_at: float  # per the roster at the time of the dial
    dedup_group: int  # of the hosts that drop repeats of it, per the roster at the time of the dial
    load: float = 0.0  # that was counted for it; 0 once it has been taken back
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class SessionState:
    """A session from its request to its end."""

    id: int
    listener: Listener  # settings under which the session began; later changes do not apply to it
    max_dials: int
    requested_at: float
    deadline: float
    load_hint: float | None
    group: int | None
    dials: list[DialRecord] = field(default_factory=list)
    has_host: bool = False  # a dial is in progress or the session is established
    established_at: float | None = None
    answered: bool = False  # concluded for the client: nothing more may be sent
    last_load: float | None = None  # from the last load note
    smoothed_load: float = 0.0
    last_load_at: float = 0.0
    awaited_hosts: set[int] = field(default_factory=set)  # hosts whose probe results it waits for
    waits_until: float = 0.0  # latest end of the current wait
    open_slots: list[int] = field(default_factory=list)  # cold hosts with a slot open to it
    steps: Generator | None = None
