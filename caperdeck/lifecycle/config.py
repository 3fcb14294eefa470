"""What the node is told at its start: EDGE_CONFIG, a JSON file, read at the start and again at SIGHUP."""

from __future__ import annotations

import math
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any, NamedTuple

import orjson

from caperdeck.core.model import Settings
from caperdeck.core.settings import (
    MS, Names, SettingsError, decode_names, decode_settings, read_number, require,
)  # fmt: skip
from caperdeck.state.addresses import Address, AddressError, parse_address
from caperdeck.state.limits import Limits

LEAST_SOCKETS = 32
LARGEST = 8 << 20  # bytes of a configuration
LEAST_IDLE = 30.0  # seconds; clients speak every two
DRAIN_GRACE = 0.25  # seconds, where the settings do not say
LEAST_LIST_LIFE = 0.05  # seconds; bounds the calls to a discovery that ends each watch as it opens


class ConfigError(Exception):
    """The configuration cannot be served; the text says what is wrong with it."""


class Peers(NamedTuple):
    """As the file has them; looked at only where the node shares anything."""

    allowed: bool = False
    addresses: Any = None
    listen: Any = None
    me: Any = None
    everyone: Any = None  # the address of all members
    tiers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Config:
    name: str
    listen: Address
    discovery: str
    sockets: int
    rev: int
    known: list
    settings: Settings
    names: Names
    limits: Limits
    admin: Address | None  # the second address
    scratch: str | None  # a folder that a successor sees too
    peers: Peers
    keys: frozenset[str]  # that the file has, but for those of hosts
    own: dict[str, Any] | None = None  # the file as it was read, where published versions go over it


def load_config(environment: Mapping[str, str], path: str | None = None, keep: bool = False) -> Config:
    """From the file that the path or EDGE_CONFIG names; what stands alone in the environment fills gaps.

    `keep`: the configuration keeps the file's own values, to be merged with others.
    """
    path = path or environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("no configuration: EDGE_CONFIG is not set")
    raw = _read(path)
    for key in ("name", "listen", "discovery", "admin_addr"):
        raw.setdefault(key, environment.get(f"EDGE_{key.upper()}"))
    try:
        config = decode(raw, environment.get("TMPDIR") or None)
    except ConfigError as error:
        raise ConfigError(f"configuration {path}: {error}") from None
    return replace(config, own=raw) if keep else config


def _read(path: str) -> dict[str, Any]:
    try:
        with open(path, "rb") as file:
            text = file.read(LARGEST + 1)
            if len(text) > LARGEST:
                raise ConfigError(f"configuration {path} is over {LARGEST} bytes")
            raw = orjson.loads(text)
    except OSError as error:
        raise ConfigError(f"configuration {path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"configuration {path} is no JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"configuration {path} is no JSON object")
    return raw


def decode(raw: dict[str, Any], scratch: str | None) -> Config:
    """The configuration, or ConfigError with what is wrong in it, whatever that is."""
    try:
        return decode_config(raw, scratch)
    except (SettingsError, AddressError) as error:
        raise ConfigError(str(error)) from None
    except (TypeError, ValueError, AttributeError, KeyError, OverflowError) as error:
        raise ConfigError(f"a value of the wrong kind: {error}") from None


def reload_config(environment: Mapping[str, str], path: str | None = None, keep: bool = False) -> Config:
    """The same at a node that runs already."""
    path = path or environment.get("EDGE_CONFIG") or ""
    # Danger: a pipe in the file's place would hold the node up until somebody writes to it.
    if not os.path.isfile(path):
        raise ConfigError(f"configuration {path}: no regular file")
    return load_config(environment, path, keep)


def check_kept(old: Config, new: Config) -> None:
    """A file in the place of another has all keys of that one."""
    # Danger: most keys have a default, and a file that was cut short would fall back on them in silence.
    if lost := sorted(old.keys - new.keys):
        raise ConfigError(f"configuration: {', '.join(lost[:5])} missing, and in the one in force")


def keys_of(value: Any, path: str = "") -> frozenset[str]:
    """The dotted paths of all keys; of the rows of a list those that every row has."""
    if isinstance(value, dict):
        return frozenset().union(*(
            {path + key} | (keys_of(below, f"{path}{key}.") if key != "known" else set())
            for key, below in value.items()
        ))  # fmt: skip
    if isinstance(value, list) and value:
        return frozenset.intersection(*(keys_of(row, path) for row in value))
    return frozenset()


def decode_config(raw: dict[str, Any], scratch: str | None = None) -> Config:
    setup = require(raw, "settings", "")
    require(setup, "limits", "settings.")
    known = raw.get("known") or {}
    sockets = int((raw.get("limits") or {}).get("sockets", 1024))
    if sockets < LEAST_SOCKETS:
        raise SettingsError(f"limits.sockets is {sockets}, at least {LEAST_SOCKETS} are needed")
    discovery = require(raw, "discovery", "")
    parse_address(discovery)
    admin = parse_address(raw["admin_addr"]) if raw.get("admin_addr") else None
    return Config(
        name=str(raw.get("name")),
        listen=parse_address(require(raw, "listen", "")),
        discovery=discovery,
        sockets=sockets,
        rev=int(known.get("rev", 0)),
        known=known.get("targets") or [],
        settings=decode_settings(int(str(raw.get("seed", "0")), 16), setup),
        names=decode_names(setup),
        limits=decode_limits(setup),
        admin=admin,
        # without a second address there are no bans and no upgrades, and nothing of them is looked for
        scratch=scratch if admin else None,
        peers=Peers(
            setup["limits"].get("peers") is True,
            raw.get("peers"),
            raw.get("peer_listen"),
            setup.get("me"),
            raw.get("peers_all"),
            tuple(map(str, setup.get("tiers") or ())),
        ),
        keys=keys_of(raw),
    )


def decode_limits(setup: dict[str, Any]) -> Limits:
    rows, limits = setup["listeners"], setup["limits"]
    max_back_off = read_number(limits, "maxRetryAfter", "limits.", 0.0, minimum=0.0) * MS
    return Limits(
        connect_timeout=read_number(limits, "dialTimeout", "limits.", 0.25, over=0.0) * MS,
        may_probe=bool(limits.get("mayProbe", False)),
        hosts_report_load=(setup.get("report") or {}).get("how") != "silent",
        max_back_off=max_back_off if limits.get("retryAfter") else 0.0,
        max_client_wait=MS
        * max(read_number(row, "hardLimit", f"listeners[{i}].", over=0.0) for i, row in enumerate(rows)),
        idle_timeout=max(read_number(limits, "connIdle", "limits.", LEAST_IDLE), LEAST_IDLE) * MS,
        list_lifetime=_list_life(setup),
    )


def _list_life(setup: dict[str, Any]) -> float:
    """Half of the grace of a drain, the other half for stalls, where lists are pushed; milliseconds."""
    if setup.get("discovery") == "subscribe":
        return math.inf
    grace = read_number(setup["invariants"], "drainGrace", "invariants.", DRAIN_GRACE, minimum=0.0)
    return max(grace / 2, LEAST_LIST_LIFE) * MS
