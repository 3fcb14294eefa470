"""The control file of `serve --control`: where a node's configuration is published, and where it is kept."""

from __future__ import annotations

import os
from typing import Any, NamedTuple

from caperdeck.distribution.publisher_selection import Place
from caperdeck.distribution.messages import MAX_NAME_LENGTH
from caperdeck.state.addresses import Address

from .config import ConfigError
from .toml import TomlError, check_keys, loopback_address, name_of, read_toml

MOST_INSTANCES = 9
KEYS = ("cluster", "zone", "region", "folder", "instances")
INSTANCE_KEYS = ("address", "zone", "region")


class Instance(NamedTuple):
    """One of those that publish versions."""

    place: Place
    address: Address


class Control(NamedTuple):
    """What the file says; `place` is this node's own."""

    cluster: str
    place: Place
    folder: str  # holds the version in force
    instances: dict[str, Instance]


def load_control(path: str, node: str) -> Control:
    """The file for the node of that name. Raises ConfigError, with the key and the reason."""
    try:
        return _control(read_toml(path), node)
    except TomlError as error:
        raise ConfigError(f"control {path}: {error}") from None


def _control(raw: dict[str, Any], node: str) -> Control:
    check_keys(raw, KEYS)
    place = Place(_name(node, "the node's name"), _name(raw.get("zone"), "zone"), _region(raw, ""))
    return Control(
        _name(raw.get("cluster"), "cluster"), place, _folder(raw.get("folder")), _instances(raw)
    )  # fmt: skip


def _name(value: Any, key: str) -> str:
    name = name_of(value, key, MAX_NAME_LENGTH)
    # Danger: names are said to the instances, which refuse a message with one that cannot be printed.
    if not name.isprintable():
        raise TomlError(f"{key}: {name!r:.50} cannot be printed")
    return name


def _region(table: dict[str, Any], where: str) -> str:
    return _name(table.get("region"), f"{where}region")


def _folder(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TomlError("folder: no folder is named")
    if not os.path.isdir(value) or not os.access(value, os.W_OK | os.X_OK):
        raise TomlError(f"folder: {value} is no folder that this process may write to")
    return value


def _instances(raw: dict[str, Any]) -> dict[str, Instance]:
    table = raw.get("instances")
    if not isinstance(table, dict) or not 0 < len(table) <= MOST_INSTANCES:
        raise TomlError(f"instances: 1 to {MOST_INSTANCES} tables [instances.NAME] are needed")
    found = {name: _instance(name, row) for name, row in table.items()}
    by_address: dict[Address, str] = {}
    for name, instance in found.items():
        # Danger: one process under two names would be tried twice, and another one never.
        if (other := by_address.setdefault(instance.address, name)) != name:
            raise TomlError(f"instances.{name}.address: that of {other} too")
    return found


def _instance(name: str, row: Any) -> Instance:
    where = f"instances.{name}."
    _name(name, f"instances.{name!r:.50}")
    if not isinstance(row, dict):
        raise TomlError(f"instances.{name}: no table")
    check_keys(row, INSTANCE_KEYS, where)
    if "address" not in row:
        raise TomlError(f"{where}address: missing")
    address = loopback_address(row["address"], f"{where}address")
    return Instance(Place(name, _name(row.get("zone"), f"{where}zone"), _region(row, where)), address)
