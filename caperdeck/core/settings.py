"""Decodes a node's settings, with the names and units that they define.

Both the simulator's protocol and the socket node use this module.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from typing import Any

from .model import Effect, Listener, LoadReport, Scope, Settings
from .seeded_random import chance

MS = 1000.0  # milliseconds in a second
EFFECTS = {
    "idempotent": Effect.REPEATABLE,
    "deduplicated": Effect.REFERENCED,
    "at_most_once": Effect.ONCE_ONLY,
}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


class SettingsError(Exception):
    """A setting is missing or invalid; the text names it."""


def require(table: Any, key: str, where: str) -> Any:
    """The value of a key that must be present."""
    if not isinstance(table, dict) or key not in table:
        raise SettingsError(f"setting {where}{key} is missing")
    return table[key]


def read_number(
    table: Any, key: str, where: str, default: float | None = None, over: float = -math.inf,
    minimum: float = -math.inf, maximum: float = math.inf,
) -> float:  # fmt: skip
    """A finite number within the bounds (above `over`); with a default the key may be absent."""
    if default is not None and isinstance(table, dict) and key not in table:
        return default
    value = require(table, key, where)
    # true would count as 1 elsewhere, and a wait until a deadline that is not finite would never end
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise SettingsError(f"setting {where}{key} is no number: {value!r:.50}")
    if value <= over:
        raise SettingsError(f"setting {where}{key} is {value}, not over {over:g}")
    if value < minimum or value > maximum:
        bound = f"under {minimum:g}" if value < minimum else f"over {maximum:g}"
        raise SettingsError(f"setting {where}{key} is {value}, {bound}")
    return value


def _choice(table: dict, value: Any, what: str) -> Any:
    if not isinstance(value, str) or value not in table:
        raise SettingsError(f"unknown {what} {value!r}")
    return table[value]


def decode_settings(seed: int, setup: dict) -> Settings:
    """Raises SettingsError."""
    limits = require(setup, "limits", "")
    rules = require(setup, "invariants", "")
    rows = require(setup, "listeners", "")
    if not rows:
        raise SettingsError("setting listeners is empty")
    message_targets = setup.get("specifics", {}).get("messageAim") or []
    listeners = []
    for i, row in enumerate(rows):
        where = f"listeners[{i}]."
        target = read_number(row, "handshakeTarget", where, over=0.0) * MS
        effect = _choice(EFFECTS, require(row, "effect", where), "effect")
        if effect is Effect.REFERENCED:
            # A default would send repeats to hosts that do not drop them.
            require(row, "group", where)
            require(row, "memorySpan", where)
        listeners.append(Listener(
            effect=effect,
            scope=_choice(SCOPES, row.get("group", "all"), "group"),
            memory_span=read_number(row, "memorySpan", where, 0.0, minimum=0.0) * MS,
            handshake_target=target,
            message_target=message_targets[i] * MS if i < len(message_targets) else target,
            utility=read_number(row, "utility", where, 1.0),
        ))  # fmt: skip
    zones = setup.get("dcs", [])
    max_dials = read_number(limits, "mostDials", "limits.", over=0.0)
    if max_dials != int(max_dials):
        raise SettingsError(f"setting limits.mostDials is no whole number: {max_dials}")
    nodes, number = max(int(read_number(setup, "fleetSize", "")), 1), setup.get("me")
    return Settings(
        seed=seed,
        node_number=number if isinstance(number, int) and 0 <= number < nodes else nodes * chance(seed, 0),
        nodes=nodes,
        zone=zones.index(setup["locality"]) if setup.get("locality") in zones else 0,
        listeners=tuple(listeners),
        max_dials=int(max_dials),
        may_withdraw=bool(limits.get("cancel", False)),
        may_probe=bool(limits.get("mayProbe", False)),
        reports_load=not {"x0", "x1"}.isdisjoint((setup.get("report") or {}).get("names") or ()),
        may_back_off=bool(limits.get("retryAfter", False)),
        max_back_off=read_number(limits, "maxRetryAfter", "limits.", 0.0, minimum=0.0) * MS,
        cold_from=read_number(rules, "coldFrom", "invariants.", over=0.0, maximum=1.0),
        warm_after=read_number(rules, "warmAfter", "invariants.", minimum=0.0) * MS,
        fall_multiple=read_number(rules, "fallMultiple", "invariants.", over=0.0),
        fall_span=read_number(rules, "fall", "invariants.", over=0.0) * MS,
        subscribe=setup.get("discovery") == "subscribe",
        ask_every=read_number(rules, "askEvery", "invariants.", 10.0, over=0.0) * MS,
        cross_zone_price=read_number(setup.get("prices", {}), "crossZone", "prices.", 0.0),
        sizes_are_nominal=setup.get("weights") in ("nominal", "rough"),
    )


@dataclass(frozen=True, slots=True)
class Names:
    """The names in the settings, with their indices."""

    listeners: dict[str, int]
    customers: dict[str, int]
    zones: dict[str, int]
    groups: bool

    def group(self, name: Any) -> int | None:
        """A group's index; None if sessions of one group do not share work."""
        return None if name is None or not self.groups else zlib.crc32(str(name).encode())


def decode_names(setup: dict) -> Names:
    """Raises SettingsError."""
    listeners = {require(row, "name", f"listeners[{i}]."): i for i, row in enumerate(setup["listeners"])}
    if len(listeners) < len(setup["listeners"]) or not all(isinstance(name, str) for name in listeners):
        raise SettingsError("setting listeners has a name twice, or one that is no text")
    return Names(
        listeners=listeners,
        customers={row["name"]: i for i, row in enumerate(setup.get("projects") or [])},
        zones={name: i for i, name in enumerate(setup.get("dcs") or [])},
        groups=bool(setup.get("specifics", {}).get("groups", False)),
    )


def decode_report(values: dict | None) -> LoadReport:
    """A load report from the values that a host's answer to a probe names."""
    values = values or {}
    backlog = values.get("x1")
    return LoadReport(values.get("x0"), None if backlog is None else backlog * MS, values.get("active"))
