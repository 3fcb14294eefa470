"""The decisions in blocking style, for code that talks to a network: pick, report, tick.

Each call takes the time in float milliseconds and returns what is to be done now, in order. A pick whose
hosts are looked at first returns the looks; a later report or tick returns the rest. The caller calls tick
once `due` has come. Nothing is decided here: the calls become the module's events, its actions the orders.
"""

from __future__ import annotations

import heapq
import math
from typing import Any, NamedTuple

from .decide import Node
from .model import (
    Action, Dial, HostState, LoadReport, Move, NoteKind, Outcome, Probe, Refuse, RosterEntry, RosterScope,
    SessionRequest, Settings, TearDown, Wake, Watch, Withdraw,
)  # fmt: skip
from .fleet_state import FleetState


# ---- orders: what the caller is to do


class Connect(NamedTuple):
    """Open a connection to the host for the session's dial of this number and wait for it until then."""

    session: int
    dial: int
    host: int
    until: float


class CancelDial(NamedTuple):
    """Stop waiting on this dial."""

    session: int
    dial: int


class RefuseSession(NamedTuple):
    """Answer the client that trying again does no harm, after back_off where that is not 0."""

    session: int
    back_off: float


class FailSession(NamedTuple):
    """Answer the client that it failed."""

    session: int


class RedirectClient(NamedTuple):
    """Tell the client of a standing session to come again, and end the session."""

    session: int


class ProbeHost(NamedTuple):
    """Probe the host."""

    host: int


Command = Connect | CancelDial | RefuseSession | FailSession | RedirectClient | ProbeHost


# ---- news: what the caller has seen


class SessionEstablished(NamedTuple):
    """The host has taken the session, which stands from now on."""

    session: int


class DialEnded(NamedTuple):
    """A dial, or the standing session that came of it, has ended; last if the client needs no answer."""

    session: int
    dial: int
    outcome: Outcome
    final: bool


class ClientDisconnected(NamedTuple):
    """The client went before it had an answer."""

    session: int


class LoadReported(NamedTuple):
    """The host told the load of a standing session, in milliseconds of work a second."""

    session: int
    load: float


class ProbeCompleted(NamedTuple):
    """A probe's result, with what the host told."""

    host: int
    outcome: Outcome
    report: LoadReport = LoadReport()


class RosterUpdated(NamedTuple):
    """Discovery's list of hosts: all of it, or what changed."""

    complete: bool
    entries: list[RosterEntry]


class BanChanged(NamedTuple):
    """An operator has taken the host out, or lets it serve again: nothing new to it between the two."""

    host: int
    banned: bool


class SettingsChanged(NamedTuple):
    """Other settings hold from now on."""

    settings: Settings


class SubsetsChanged(NamedTuple):
    """The hosts that this node draws first: of all, and of its own zone."""

    preferred: list[int]
    preferred_near: list[int]


class HostOverloaded(NamedTuple):
    """Enough other nodes have seen the host at this load over capacity, past full."""

    host: int
    load: float


Event = (
    SessionEstablished | DialEnded | ClientDisconnected | LoadReported | ProbeCompleted | RosterUpdated
    | BanChanged | SettingsChanged | HostOverloaded | SubsetsChanged
)  # fmt: skip


class Balancer:
    """One node's decisions behind three calls."""

    def __init__(self, settings: Settings, now: float, decides: type[Node] = Node) -> None:
        self._node = decides(settings, now)
        self._timers: list[tuple[float, int, int]] = []
        self._dials: dict[int, int] = {}  # of each session without an answer, how many were made
        self._timers_set = 0
        self._commands(now, self._node.start())  # no orders yet, only the first bell

    @property
    def next_timer_at(self) -> float:
        """When tick is to be called next."""
        return self._timers[0][0] if self._timers else math.inf

    def open_session(
        self, now: float, session: int, listener: int, customer: int, left: float,
        load: float | None = None, group: int | None = None,
    ) -> list[Command]:  # fmt: skip
        """Place a new session whose client waits so many milliseconds."""
        self._dials[session] = 0
        return self._commands(
            now, self._node.open_session(now, SessionRequest(session, listener, customer, left, load, group))
        )

    def resume_session(
        self, now: float, session: int, listener: int, customer: int, host: int,
        load: float | None = None, group: int | None = None,
    ) -> list[Command]:  # fmt: skip
        """A session that stood on the host before this node started; its dial 0 counts as made."""
        ask = SessionRequest(session, listener, customer, 0.0, load, group)
        return self._commands(now, self._node.resume_session(now, ask, host))

    def run_timers(self, now: float) -> list[Command]:
        commands: list[Command] = []
        while self._timers and self._timers[0][0] <= now:
            _, _, token = heapq.heappop(self._timers)
            commands += self._commands(now, self._node.timer_fired(now, token))
        return commands

    def handle_event(self, now: float, event: Event) -> list[Command]:
        return self._commands(now, self._event(now, event))

    def forget_hosts(self, now: float) -> None:
        """The caller was away for longer than figures last: what was known of the hosts is void."""
        self._node.forget_hosts(now)

    def is_avoided(self, now: float, host: int) -> bool:
        """Whether a listed host is sent nothing now by this node's choice; changes nothing."""
        return self._node.is_avoided(now, host)

    @property
    def settings(self) -> Settings:
        return self._node.set

    @property
    def fleet_state(self) -> FleetState:
        """What the node tells other nodes and takes from them."""
        return FleetState(self._node)

    def learned_state(self) -> dict[str, Any]:
        """What is learned slowly, for another process of this node; hosts in the order of indices."""
        n = self._node
        return {"unit": n.unit, "mean": n.mean_hint, "asked": n.asked, "each": n.each, "able": list(n.able)}

    def restore_learned_state(self, memory: dict[str, Any], able: dict[int, float]) -> None:
        """The same at that process, with the loads of hosts under the indices that they have there."""
        n = self._node
        n.unit, n.mean_hint, n.asked, n.each = (memory[key] for key in ("unit", "mean", "asked", "each"))
        for h, load in able.items():
            n.able[h] = load

    def hand_over_slots(self, now: float) -> dict[int, float]:
        """What another process of this node goes on with at cold hosts, which this one leaves to it."""
        return self._node.hand_over_slots(now)

    def take_over_slots(self, now: float, saved: dict[int, float]) -> None:
        self._node.take_over_slots(now, saved)

    def take_slots_back(self) -> None:
        self._node.take_slots_back()

    @property
    def readmitted(self) -> dict[int, float]:
        """Hosts that count as started when an operator called them back, and when that was."""
        return self._node.readmitted

    def accepts_sessions(self, host: int) -> bool:
        """Whether anything new may go to the host."""
        return self._node.state[host] is HostState.RUNNING

    def may_send_request(self, now: float, session: int) -> bool:
        """Whether the session's dial, whose connection has come up, may still be sent its request line."""
        return self._node.may_send_request(now, session)

    def _event(self, now: float, event: Event) -> list[Action]:
        match event:
            case SessionEstablished(session):
                self._dials.pop(session, None)
                return self._node.session_established(now, session)
            case DialEnded(session, dial, outcome, final):
                if final:
                    self._dials.pop(session, None)
                return self._node.dial_ended(now, session, dial, outcome, final)
            case ClientDisconnected(session):
                self._dials.pop(session, None)
                return self._node.client_disconnected(now, session)
            case LoadReported(session, load):
                return self._node.handle_note(now, session, NoteKind.LOAD, load)
            case ProbeCompleted(host, outcome, report):
                return self._node.probe_completed(now, host, outcome, report)
            case RosterUpdated(complete, entries):
                scope = RosterScope.FULL if complete else RosterScope.CHANGES
                return self._node.update_roster(now, scope, entries)
            case BanChanged(host, banned):
                return self._node.set_ban(now, host, banned)
            case HostOverloaded(host, load):
                return self.fleet_state.told_full(now, host, load)
            case SubsetsChanged(preferred, preferred_near):
                self._node.preferred, self._node.preferred_near = preferred, preferred_near
                return []
            case SettingsChanged(settings):
                return self._node.apply_settings(now, settings)
        raise TypeError(f"unknown event: {event!r}")

    def _commands(self, now: float, actions: list[Action]) -> list[Command]:
        return [command for act in actions if (command := self._command(now, act)) is not None]

    def _command(self, now: float, act: Action) -> Command | None:
        match act:
            case Dial(session, host, until):
                dial = self._dials[session]
                self._dials[session] = dial + 1
                return Connect(session, dial, host, until)
            case Withdraw(session, dial):
                return CancelDial(session, dial)
            case Refuse(session, back_off):
                self._dials.pop(session, None)
                return RefuseSession(session, back_off)
            case TearDown(session):
                self._dials.pop(session, None)
                return FailSession(session)
            case Move(session):
                return RedirectClient(session)
            case Probe(host):
                return ProbeHost(host)
            case Wake(after, token):
                self._timers_set += 1
                heapq.heappush(self._timers, (now + after, self._timers_set, token))
            case Watch():
                pass  # an agent on the node's own machine is watched from the start on
        return None
