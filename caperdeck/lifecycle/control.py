"""The file of `serve --control`: which instances publish the node's configuration, and where it is stored."""

from __future__ import annotations

import os
from typing import Any, NamedTuple

from caperdeck.distribution.publisher_selection import Place
from caperdeck.distribution.messages import MAX_NAME_LENGTH
from caperdeck.state.addresses import Address

from .config import ConfigError
from .toml import TomlError, check_keys, parse_loopback_address, parse_name, read_toml

MAX_INSTANCES = 9
FILE_KEYS = ("cluster", "zone", "region", "folder", "instances")
INSTANCE_KEYS = ("address", "zone", "region")


class Instance(NamedTuple):
    """A process that publishes versions of the configuration."""

    place: Place
    address: Address


class Control(NamedTuple):
    """The contents of the file; `place` is this node's."""

    cluster: str
    place: Place
    folder: str  # stores the applied version
    instances: dict[str, Instance]


def load_control(path: str, node: str) -> Control:
    """Reads the file for the node of that name; raises ConfigError with the key and the reason."""
    try:
        return _parse_control(read_toml(path), node)
    except TomlError as error:
        raise ConfigError(f"control {path}: {error}") from None


def _parse_control(raw: dict[str, Any], node: str) -> Control:
    check_keys(raw, FILE_KEYS)
    place = Place(
        _parse_name(node, "the node's name"), _parse_name(raw.get("zone"), "zone"), _parse_region(raw, "")
    )
    return Control(
        _parse_name(raw.get("cluster"), "cluster"),
        place,
        _parse_folder(raw.get("folder")),
        _parse_instances(raw),
    )


def _parse_name(value: Any, key: str) -> str:
    name = parse_name(value, key, MAX_NAME_LENGTH)
    # The instances refuse a message that has a name with characters that cannot be printed.
    if not name.isprintable():
        raise TomlError(f"{key}: {name!r:.50} cannot be printed")
    return name


def _parse_region(table: dict[str, Any], where: str) -> str:
    return _parse_name(table.get("region"), f"{where}region")


def _parse_folder(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TomlError("folder: a path is needed")
    if not os.path.isdir(value) or not os.access(value, os.W_OK | os.X_OK):
        raise TomlError(f"folder: {value} is not a folder that this process may write to")
    return value


def _parse_instances(raw: dict[str, Any]) -> dict[str, Instance]:
    table = raw.get("instances")
    if not isinstance(table, dict) or not 0 < len(table) <= MAX_INSTANCES:
        raise TomlError(f"instances: 1 to {MAX_INSTANCES} tables [instances.NAME] are needed")
    instances = {name: _parse_instance(name, row) for name, row in table.items()}
    by_address: dict[Address, str] = {}
    for name, instance in instances.items():
        # With one address under two names, that process would be tried twice and another one never.
        if (other := by_address.setdefault(instance.address, name)) != name:
            raise TomlError(f"instances.{name}.address: {other} has the same")
    return instances


def _parse_instance(name: str, table: Any) -> Instance:
    where = f"instances.{name}."
    _parse_name(name, f"instances.{name!r:.50}")
    if not isinstance(table, dict):
        raise TomlError(f"instances.{name}: not a table")
    check_keys(table, INSTANCE_KEYS, where)
    if "address" not in table:
        raise TomlError(f"{where}address: missing")
    address = parse_loopback_address(table["address"], f"{where}address")
    return Instance(
        Place(name, _parse_name(table.get("zone"), f"{where}zone"), _parse_region(table, where)), address
    )
