"""The settings that a node is given at its start, decoded once, and the names and units that they define.

The simulator's wire and the socket node go through here alike.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any

from .model import Effect, Listener, Report, Scope, Settings

MS = 1000.0
EFFECTS = {
    "idempotent": Effect.REPEATABLE,
    "deduplicated": Effect.REFERENCED,
    "at_most_once": Effect.ONCE_ONLY,
}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class SettingsError(Exception):
    """A setting is missing or is not what it should be; the text names it."""


def need(table: Any, key: str, where: str) -> Any:
    if not isinstance(table, dict) or key not in table:
        raise SettingsError(f"setting {where}{key} is missing")
    return table[key]


def _choice(table: dict, value: Any, what: str) -> Any:
    if not isinstance(value, str) or value not in table:
        raise SettingsError(f"unknown {what} {value!r}")
    return table[value]


def decode_settings(seed: int, setup: dict) -> Settings:
    limits = need(setup, "limits", "")
    rules = need(setup, "invariants", "")
    rows = need(setup, "listeners", "")
    if not rows:
        raise SettingsError("setting listeners is empty")
    aims = setup.get("specifics", {}).get("messageAim") or []
    listeners = []
    for i, row in enumerate(rows):
        where = f"listeners[{i}]."
        target = need(row, "handshakeTarget", where) * MS
        listeners.append(Listener(
            effect=_choice(EFFECTS, need(row, "effect", where), "effect"),
            scope=_choice(SCOPES, row.get("group") or "all", "group"),
            memory_span=row.get("memorySpan", 0.0) * MS,
            handshake_target=target,
            message_target=aims[i] * MS if i < len(aims) else target,
            utility=row.get("utility", 1.0),
        ))  # fmt: skip
    zones = setup.get("dcs", [])
    return Settings(
        seed=seed,
        nodes=max(int(need(setup, "fleetSize", "")), 1),
        zone=zones.index(setup["locality"]) if setup.get("locality") in zones else 0,
        listeners=tuple(listeners),
        max_dials=int(need(limits, "mostDials", "limits.")),
        may_withdraw=bool(limits.get("cancel", False)),
        may_probe=bool(limits.get("mayProbe", False)),
        figures=not {"x0", "x1"}.isdisjoint((setup.get("report") or {}).get("names") or ()),
        back_off=bool(limits.get("retryAfter", False)),
        max_back_off=limits.get("maxRetryAfter", 0.0) * MS,
        cold_from=need(rules, "coldFrom", "invariants."),
        warm_after=need(rules, "warmAfter", "invariants.") * MS,
        fall_multiple=need(rules, "fallMultiple", "invariants."),
        fall_span=need(rules, "fall", "invariants.") * MS,
        subscribe=setup.get("discovery") == "subscribe",
        ask_every=rules.get("askEvery", 10.0) * MS,
        cross_price=setup.get("prices", {}).get("crossZone", 0.0),
        sizes_stand=setup.get("weights") in ("nominal", "rough"),
    )


@dataclass(frozen=True, slots=True)
class Names:
    """Names as the settings give them, with their indices."""

    listeners: dict[str, int]
    customers: dict[str, int]
    zones: dict[str, int]
    groups: bool

    def group(self, name: Any) -> int | None:
        """A group's index, where connections of one group share work."""
        return None if name is None or not self.groups else zlib.crc32(str(name).encode())


def decode_names(setup: dict) -> Names:
    return Names(
        listeners={row["name"]: i for i, row in enumerate(setup["listeners"])},
        customers={row["name"]: i for i, row in enumerate(setup.get("projects") or [])},
        zones={name: i for i, name in enumerate(setup.get("dcs") or [])},
        groups=bool(setup.get("specifics", {}).get("groups", False)),
    )


def decode_report(values: dict | None) -> Report:
    values = values or {}
    piled = values.get("x1")
    return Report(values.get("x0"), None if piled is None else piled * MS, values.get("active"))
