"""The interface to one node's decisions for code that does the network I/O: events in, commands out.

Each call takes the time in float milliseconds and returns the commands to carry out now, in order. If hosts
have to be probed before a session is placed, `open_session` returns the probes, and a later event or timer
returns the rest. The caller calls `run_timers` once `next_timer_at` has come. No decisions are made here;
calls are translated to the events of Node, and its actions to commands.
"""

from __future__ import annotations

import heapq
import math
from typing import Any, NamedTuple

from .decide import Node
from .model import (
    Action, Dial, Effect, HostState, LoadReport, Move, NoteKind, Outcome, Probe, Refuse, RosterEntry,
    RosterScope, SessionRequest, Settings, TearDown, Wake, Watch, Withdraw,
)  # fmt: skip
from .fleet_state import FleetState


# ---- commands: what the caller is to do


class Connect(NamedTuple):
    """Connect to the host for the session's dial with this number, and give up at `until`."""

    session: int
    dial: int
    host: int
    until: float


class CancelDial(NamedTuple):
    """Stop waiting for this dial."""

    session: int
    dial: int


class RefuseSession(NamedTuple):
    """Answer the client that it may safely retry, after `back_off` milliseconds if that is not 0."""

    session: int
    back_off: float


class FailSession(NamedTuple):
    """Answer the client that its session failed."""

    session: int


class RedirectClient(NamedTuple):
    """Ask the client of an established session to reconnect, and end the session."""

    session: int


class ProbeHost(NamedTuple):
    host: int


Command = Connect | CancelDial | RefuseSession | FailSession | RedirectClient | ProbeHost


# ---- events: what the caller has observed


class SessionEstablished(NamedTuple):
    """The host has accepted the session."""

    session: int


class DialEnded(NamedTuple):
    """A dial, or the session established by it, has ended; `final` if the client needs no answer."""

    session: int
    dial: int
    outcome: Outcome
    final: bool


class ClientDisconnected(NamedTuple):
    """The client disconnected before it had an answer."""

    session: int


class LoadReported(NamedTuple):
    """The host reported the load of an established session, in milliseconds of work a second."""

    session: int
    load: float


class ProbeCompleted(NamedTuple):
    """The result of a probe."""

    host: int
    outcome: Outcome
    report: LoadReport = LoadReport()


class RosterUpdated(NamedTuple):
    """Discovery sent the list of hosts, either complete or only its changes."""

    complete: bool
    entries: list[RosterEntry]


class BanChanged(NamedTuple):
    """An operator has banned the host, which then gets no new sessions, or has lifted the ban."""

    host: int
    banned: bool


class SettingsChanged(NamedTuple):
    """New settings apply from now on."""

    settings: Settings


class SubsetsChanged(NamedTuple):
    """The hosts that this node prefers: of all zones, and of its own zone."""

    preferred: list[int]
    preferred_near: list[int]


class HostOverloaded(NamedTuple):
    """Enough other nodes have seen the host over full load; `load` is load over capacity."""

    host: int
    load: float


Event = (
    SessionEstablished | DialEnded | ClientDisconnected | LoadReported | ProbeCompleted | RosterUpdated
    | BanChanged | SettingsChanged | HostOverloaded | SubsetsChanged
)  # fmt: skip


class Balancer:
    """One node's decisions, driven by calls, events and timers."""

    def __init__(self, settings: Settings, now: float, node_class: type[Node] = Node) -> None:
        self._node = node_class(settings, now)
        self._timers: list[tuple[float, int, int]] = []
        self._dials: dict[int, int] = {}  # number of dials made for each session without an answer
        self._timers_set = 0
        self._commands(now, self._node.start())  # no commands yet, only the first timer

    @property
    def next_timer_at(self) -> float:
        """When `run_timers` is to be called next."""
        return self._timers[0][0] if self._timers else math.inf

    def open_session(
        self, now: float, session: int, listener: int, customer: int, time_left: float,
        load_hint: float | None = None, group: int | None = None,
    ) -> list[Command]:  # fmt: skip
        """Places a new session whose client waits for `time_left` milliseconds."""
        self._dials[session] = 0
        return self._commands(
            now,
            self._node.open_session(
                now, SessionRequest(session, listener, customer, time_left, load_hint, group)
            ),
        )

    def resume_session(
        self, now: float, session: int, listener: int, customer: int, host: int,
        load_hint: float | None = None, group: int | None = None,
    ) -> list[Command]:  # fmt: skip
        """Registers a session established before this node started; its dial 0 counts as made."""
        request = SessionRequest(session, listener, customer, 0.0, load_hint, group)
        return self._commands(now, self._node.resume_session(now, request, host))

    def run_timers(self, now: float) -> list[Command]:
        """Runs the timers that are due."""
        commands: list[Command] = []
        while self._timers and self._timers[0][0] <= now:
            _, _, token = heapq.heappop(self._timers)
            commands += self._commands(now, self._node.timer_fired(now, token))
        return commands

    def handle_event(self, now: float, event: Event) -> list[Command]:
        return self._commands(now, self._event(now, event))

    def forget_hosts(self, now: float) -> None:
        """Discards what is known of the hosts, after a suspension for longer than reports are valid."""
        self._node.forget_hosts(now)

    def is_avoided(self, now: float, host: int) -> bool:
        """Whether this node currently sends nothing to a listed host by its own choice."""
        return self._node.is_avoided(now, host)

    @property
    def settings(self) -> Settings:
        return self._node.settings

    @property
    def fleet_state(self) -> FleetState:
        """What the node exchanges with the other nodes."""
        return FleetState(self._node)

    def learned_state(self) -> dict[str, Any]:
        """Slowly learned values, for another process of this node; hosts are in index order."""
        node = self._node
        return {
            "unit": node.unit_capacity, "mean": node.mean_hint, "asked": node.request_count,
            "each": node.mean_session_load, "able": list(node.warm_capacity),
        }  # fmt: skip

    def restore_learned_state(self, learned: dict[str, Any], warm_capacity: dict[int, float]) -> None:
        """Takes over another process's learned values; capacities are by this process's host indices."""
        node = self._node
        node.unit_capacity, node.mean_hint, node.request_count, node.mean_session_load = (
            learned[key] for key in ("unit", "mean", "asked", "each")
        )
        for host, load in warm_capacity.items():
            node.warm_capacity[host] = load

    def hand_over_slots(self, now: float) -> dict[int, float]:
        """Balances of the slow-start slots, which another process of this node uses from now on."""
        return self._node.hand_over_slots(now)

    def take_over_slots(self, now: float, saved: dict[int, float]) -> None:
        """Continues the slow-start slots of another process of this node."""
        self._node.take_over_slots(now, saved)

    def take_slots_back(self) -> None:
        """Uses the slow-start slots again, as the process that took them over has ended."""
        self._node.take_slots_back()

    @property
    def readmitted(self) -> dict[int, float]:
        """Hosts that count as started when an operator lifted their ban, with that time."""
        return self._node.readmitted

    def accepts_sessions(self, host: int) -> bool:
        """Whether the host may get new sessions."""
        return self._node.state[host] is HostState.RUNNING

    def may_send_request(self, now: float, session: int) -> bool:
        """Whether the request may still be sent on the session's dial, whose connection is established."""
        return self._node.may_send_request(now, session)

    def is_once_only(self, session: int) -> bool:
        """Whether a session without a final answer must never run twice."""
        state = self._node.sessions.get(session)
        return state is not None and state.listener.effect is Effect.ONCE_ONLY

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
                return self.fleet_state.relieve_overloaded_host(now, host, load)
            case SubsetsChanged(preferred, preferred_near):
                self._node.preferred, self._node.preferred_in_zone = preferred, preferred_near
                return []
            case SettingsChanged(settings):
                return self._node.apply_settings(now, settings)
        raise TypeError(f"unknown event: {event!r}")

    def _commands(self, now: float, actions: list[Action]) -> list[Command]:
        return [command for action in actions if (command := self._command(now, action)) is not None]

    def _command(self, now: float, action: Action) -> Command | None:
        match action:
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
                pass  # the local discovery agent is watched from the start
        return None
