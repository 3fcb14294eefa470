"""Translates the simulator's protocol to the model: names, units, and indices of hosts and sessions."""

from __future__ import annotations

import zlib
from typing import Any

from caperdeck.core.model import (
    Action, Dial, HostState, Move, NoteKind, Outcome, Probe, Refuse, RosterEntry, RosterScope, SessionRequest,
    TearDown, Wake, Watch, Withdraw,
)  # fmt: skip
from caperdeck.core.settings import MS, decode_names

HOST_STATES = {"Running": HostState.RUNNING, "Stopping": HostState.DRAINING, "Deleted": HostState.GONE}
ROSTER_SCOPES = {
    "INCREMENTAL": RosterScope.CHANGES,
    "FULL": RosterScope.FULL,
    "SAVED": RosterScope.SAVED,
    "FAILED": RosterScope.FAILED,
}
OUTCOMES = {
    "GOOD": Outcome.GOOD,
    "BAD": Outcome.ERROR,
    "FULL": Outcome.FULL,
    "LATE": Outcome.LATE,
    "NOCONN": Outcome.UNREACHED,
    "RST": Outcome.RESET,
    "CXL": Outcome.WITHDRAWN,
    "NOP": Outcome.NEVER_SENT,
}
HINT_VALID = 1


class WireError(Exception):
    """Input that the protocol does not allow; the text names the fault."""


def lookup(table: dict, value: Any, what: str) -> Any:
    """The table's entry for a value; raises WireError for an unknown one."""
    try:
        return table[value]
    except (KeyError, TypeError):
        raise WireError(f"unknown {what} {value!r}") from None


class NodeIndices:
    """Maps the ids of one node's hosts and sessions to indices, and back to the same ids."""

    def __init__(self, setup: dict) -> None:
        self.names = decode_names(setup)
        self.hosts: dict[str, int] = {}
        self.host_names: list[str] = []
        self.sessions: dict[str, int] = {}
        self.session_names: list[str | None] = []

    def host(self, name: str) -> int:
        """The index of a host, which is assigned at its first mention."""
        index = self.hosts.get(name)
        if index is None:
            index = self.hosts[name] = len(self.host_names)
            self.host_names.append(name)
        return index

    def known_host(self, name: Any) -> int:
        return lookup(self.hosts, name, "host")

    def session(self, name: Any) -> int:
        """The index of a session; -1, which no session has, if this node was never given it."""
        return self.sessions.get(name, -1)

    def entry(self, row: list) -> RosterEntry:
        state, size, _, zone, cell, host, started_at = (list(row) + [None] * 7)[:7]
        if not isinstance(host, str):
            raise WireError(f"roster entry without a host: {row!r}")
        return RosterEntry(
            host=self.host(host),
            state=lookup(HOST_STATES, state, "host state"),
            size=1.0 if size is None else size,
            zone=self.names.zones.get(zone, -1),
            cell=cell or 0,
            started_at=(started_at or 0.0) * MS,
            stable_id=zlib.crc32(host.encode()),
            roster_start=(started_at or 0.0) * MS,
        )

    def session_request(self, row: list) -> SessionRequest:
        session, listener, customer, _, budget, hint, channel, flags = (list(row) + [None] * 8)[:8]
        if not isinstance(session, str) or not isinstance(budget, (int, float)):
            raise WireError(f"a session needs an id and a time budget: {row!r}")
        index = len(self.session_names)
        self.sessions[session] = index
        self.session_names.append(session)
        return SessionRequest(
            session=index,
            listener=lookup(self.names.listeners, listener, "listener"),
            customer=self.names.customers.get(customer, -1),
            time_left=budget * MS,
            load_hint=hint * MS if hint is not None and (flags or 0) & HINT_VALID else None,
            group=self.names.group(channel),
        )


def decode_note(kind: Any, value: float) -> tuple[NoteKind, float] | None:
    """A note's kind and value; None for an unknown kind.

    Unlike load hints, noted loads come in microseconds of work a second.
    """
    if kind == NoteKind.LOAD:
        return NoteKind.LOAD, value / 1000.0
    if kind == NoteKind.MESSAGE_DELAY:
        return NoteKind.MESSAGE_DELAY, value
    return None


def decode_outcome(name: Any) -> Outcome:
    return lookup(OUTCOMES, name, "ending")


def encode(indices: NodeIndices, action: Action) -> list:
    """The protocol's form of an action."""
    match action:
        case Dial(session, host, until):
            name, target = indices.session_names[session], indices.host_names[host]
            return ["dispatch", name, target, round(until / MS, 6)]
        case Refuse(session, back_off):
            return ["pushBack", indices.session_names[session], round(back_off / MS, 6)]
        case TearDown(session):
            return ["surrender", indices.session_names[session]]
        case Withdraw(session, dial):
            return ["retract", indices.session_names[session], dial]
        case Move(session):
            return ["evict", indices.session_names[session]]
        case Probe(host):
            return ["poll", indices.host_names[host]]
        case Wake(after, token):
            return ["setAlarm", round(after / MS, 6), str(token)]
        case Watch():
            return ["tail", True]
    raise TypeError(f"no wire form for {action!r}")
