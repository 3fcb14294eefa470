"""The node's configuration: a JSON file named by EDGE_CONFIG, read at the start and again on SIGHUP."""

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

from .config_keys import FileKeys, read_keys

MIN_SOCKETS = 32
MAX_FILE_BYTES = 8 << 20
MIN_IDLE_S = 30.0  # clients send something every two seconds
DEFAULT_DRAIN_GRACE_S = 0.25
MIN_LIST_LIFETIME_S = 0.05  # limits the rate of calls to a discovery that ends each watch as soon as it opens


class ConfigError(Exception):
    """The configuration cannot be used; the text says what is wrong with it."""


class PeersConfig(NamedTuple):
    """The file's values about peers, unchecked; they are parsed only if the node shares anything."""

    allowed: bool = False
    addresses: Any = None
    listen: Any = None
    node_number: Any = None
    all_peers_address: Any = None  # one address that reaches all peers
    tiers: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Config:
    """The decoded configuration of a node."""

    name: str
    listen: Address
    discovery: str
    sockets: int
    known_revision: int
    known_hosts: list
    settings: Settings
    names: Names
    limits: Limits
    admin: Address | None  # the address for operators' calls
    shared_folder: str | None  # is accessible to a successor process as well
    peers: PeersConfig
    file_keys: FileKeys
    file_values: dict[str, Any] | None = None  # the file as read, if published versions are merged into it


def load_config(
    environment: Mapping[str, str], path: str | None = None, keep_file_values: bool = False
) -> Config:
    """Reads the file at the path, or the one that EDGE_CONFIG names; variables of the environment fill gaps.

    With `keep_file_values` the configuration has the file's values, for merging with a published version.
    """
    path = path or environment.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("no configuration: EDGE_CONFIG is not set")
    raw = _read(path)
    for key in ("name", "listen", "discovery", "admin_addr"):
        if (value := environment.get(f"EDGE_{key.upper()}")) is not None:
            raw.setdefault(key, value)
    try:
        config = decode(raw, environment.get("TMPDIR") or None)
    except ConfigError as error:
        raise ConfigError(f"configuration {path}: {error}") from None
    return replace(config, file_values=raw) if keep_file_values else config


def _read(path: str) -> dict[str, Any]:
    try:
        with open(path, "rb") as file:
            text = file.read(MAX_FILE_BYTES + 1)
            if len(text) > MAX_FILE_BYTES:
                raise ConfigError(f"configuration {path} is over {MAX_FILE_BYTES} bytes")
            raw = orjson.loads(text)
    except OSError as error:
        raise ConfigError(f"configuration {path}: {error.strerror}") from None
    except orjson.JSONDecodeError as error:
        raise ConfigError(f"configuration {path} is no JSON: {error}") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"configuration {path} is no JSON object")
    return raw


def decode(raw: dict[str, Any], shared_folder: str | None) -> Config:
    """Decodes a file's values; raises ConfigError for anything that is wrong in them."""
    try:
        return decode_config(raw, shared_folder)
    except (SettingsError, AddressError) as error:
        raise ConfigError(str(error)) from None
    except (TypeError, ValueError, AttributeError, KeyError, OverflowError) as error:
        raise ConfigError(f"a value of the wrong kind: {error}") from None


def reload_config(
    environment: Mapping[str, str], path: str | None = None, keep_file_values: bool = False
) -> Config:
    """Reads the file again, on a node that is serving."""
    path = path or environment.get("EDGE_CONFIG") or ""
    # A pipe in place of the file would block the node until somebody writes to it.
    if not os.path.isfile(path):
        raise ConfigError(f"configuration {path}: not a regular file")
    return load_config(environment, path, keep_file_values)


def check_keys_kept(old: Config, new: Config) -> None:
    """Raises ConfigError if the new file lacks a key of the old one for which it would take a default."""
    if lost_keys := old.file_keys.lost(new.file_keys):
        raise ConfigError(f"configuration: {', '.join(lost_keys[:5])} missing, but present in the active one")


def decode_config(raw: dict[str, Any], shared_folder: str | None = None) -> Config:
    """Decodes a file's values; raises SettingsError, AddressError or an error of a conversion."""
    setup = require(raw, "settings", "")
    require(setup, "limits", "settings.")
    saved_list = raw.get("known") or {}
    sockets = int((raw.get("limits") or {}).get("sockets", 1024))
    if sockets < MIN_SOCKETS:
        raise SettingsError(f"limits.sockets is {sockets}, at least {MIN_SOCKETS} are needed")
    discovery = require(raw, "discovery", "")
    parse_address(discovery)
    admin = parse_address(raw["admin_addr"]) if raw.get("admin_addr") else None
    return Config(
        name=str(raw.get("name")),
        listen=parse_address(require(raw, "listen", "")),
        discovery=discovery,
        sockets=sockets,
        known_revision=int(saved_list.get("rev", 0)),
        known_hosts=saved_list.get("targets") or [],
        settings=decode_settings(int(str(raw.get("seed", "0")), 16), setup),
        names=decode_names(setup),
        limits=decode_limits(setup),
        admin=admin,
        # Bans and upgrades need the admin address; without it no process looks for their files.
        shared_folder=shared_folder if admin else None,
        peers=PeersConfig(
            setup["limits"].get("peers") is True,
            raw.get("peers"),
            raw.get("peer_listen"),
            setup.get("me"),
            raw.get("peers_all"),
            tuple(map(str, setup.get("tiers") or ())),
        ),
        file_keys=read_keys(raw),
    )


def decode_limits(setup: dict[str, Any]) -> Limits:
    """The limits of the part that runs in real time; SettingsError names a value that cannot be used."""
    rows, limits = setup["listeners"], setup["limits"]
    max_back_off = read_number(limits, "maxRetryAfter", "limits.", 0.0, minimum=0.0) * MS
    return Limits(
        connect_timeout=read_number(limits, "dialTimeout", "limits.", 0.25, over=0.0) * MS,
        may_probe=bool(limits.get("mayProbe", False)),
        hosts_report_load=(setup.get("report") or {}).get("how") != "silent",
        max_back_off=max_back_off if limits.get("retryAfter") else 0.0,
        max_client_wait=MS
        * max(read_number(row, "hardLimit", f"listeners[{i}].", over=0.0) for i, row in enumerate(rows)),
        idle_timeout=max(read_number(limits, "connIdle", "limits.", MIN_IDLE_S), MIN_IDLE_S) * MS,
        list_lifetime=_list_lifetime(setup),
    )


def _list_lifetime(setup: dict[str, Any]) -> float:
    """Milliseconds for which a list of hosts is used after its watch has ended; infinite if lists are not
    pushed.

    It is half of the drain grace; the other half is left for stalls of the process.
    """
    if setup.get("discovery") == "subscribe":
        return math.inf
    grace = read_number(setup["invariants"], "drainGrace", "invariants.", DEFAULT_DRAIN_GRACE_S, minimum=0.0)
    return max(grace / 2, MIN_LIST_LIFETIME_S) * MS
