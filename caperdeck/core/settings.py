"""The settings that a node is given at its start, decoded once, and the names and units that they define.

The simulator's wire and the socket node go through here alike.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import Any

from .seeded_random import chance
from .model import Effect, Listener, LoadReport, Scope, Settings

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


def figure(
    table: Any, key: str, where: str, default: float | None = None, over: float = -math.inf,
    least: float = -math.inf, most: float = math.inf,
) -> float:  # fmt: skip
    """A finite number of the table within the bounds; with a default it may be absent."""
    if default is not None and isinstance(table, dict) and key not in table:
        return default
    value = need(table, key, where)
    # Danger: true counts as 1 elsewhere, and a deadline that is no number would be waited for without end.
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise SettingsError(f"setting {where}{key} is no number: {value!r:.50}")
    if value <= over:
        raise SettingsError(f"setting {where}{key} is {value}, not over {over:g}")
    if value < least or value > most:
        bound = f"under {least:g}" if value < least else f"over {most:g}"
        raise SettingsError(f"setting {where}{key} is {value}, {bound}")
    return value


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
        target = figure(row, "handshakeTarget", where, over=0.0) * MS
        listeners.append(Listener(
            effect=_choice(EFFECTS, need(row, "effect", where), "effect"),
            scope=_choice(SCOPES, row.get("group") or "all", "group"),
            memory_span=figure(row, "memorySpan", where, 0.0, least=0.0) * MS,
            handshake_target=target,
            message_target=aims[i] * MS if i < len(aims) else target,
            utility=figure(row, "utility", where, 1.0),
        ))  # fmt: skip
    zones = setup.get("dcs", [])
    attempts = figure(limits, "mostDials", "limits.", over=0.0)
    if attempts != int(attempts):
        raise SettingsError(f"setting limits.mostDials is no whole number: {attempts}")
    nodes, me = max(int(figure(setup, "fleetSize", "")), 1), setup.get("me")
    return Settings(
        seed=seed,
        me=me if isinstance(me, int) and 0 <= me < nodes else nodes * chance(seed, 0),
        nodes=nodes,
        zone=zones.index(setup["locality"]) if setup.get("locality") in zones else 0,
        listeners=tuple(listeners),
        max_dials=int(attempts),
        may_withdraw=bool(limits.get("cancel", False)),
        may_probe=bool(limits.get("mayProbe", False)),
        figures=not {"x0", "x1"}.isdisjoint((setup.get("report") or {}).get("names") or ()),
        back_off=bool(limits.get("retryAfter", False)),
        max_back_off=figure(limits, "maxRetryAfter", "limits.", 0.0, least=0.0) * MS,
        cold_from=figure(rules, "coldFrom", "invariants.", over=0.0, most=1.0),
        warm_after=figure(rules, "warmAfter", "invariants.", least=0.0) * MS,
        fall_multiple=figure(rules, "fallMultiple", "invariants.", over=0.0),
        fall_span=figure(rules, "fall", "invariants.", over=0.0) * MS,
        subscribe=setup.get("discovery") == "subscribe",
        ask_every=figure(rules, "askEvery", "invariants.", 10.0, over=0.0) * MS,
        cross_price=figure(setup.get("prices", {}), "crossZone", "prices.", 0.0),
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
    listeners = {need(row, "name", f"listeners[{i}]."): i for i, row in enumerate(setup["listeners"])}
    if len(listeners) < len(setup["listeners"]) or not all(isinstance(name, str) for name in listeners):
        raise SettingsError("setting listeners has a name twice, or one that is no text")
    return Names(
        listeners=listeners,
        customers={row["name"]: i for i, row in enumerate(setup.get("projects") or [])},
        zones={name: i for i, name in enumerate(setup.get("dcs") or [])},
        groups=bool(setup.get("specifics", {}).get("groups", False)),
    )


def decode_report(values: dict | None) -> LoadReport:
    values = values or {}
    piled = values.get("x1")
    return LoadReport(values.get("x0"), None if piled is None else piled * MS, values.get("active"))
