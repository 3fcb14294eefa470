"""The operator's files: an instance's own, and what a node is told of the instances; checked whole."""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from caperdeck.leases.census_state import MOST_NODES, alike
from caperdeck.leases.table import MOST_SPAN
from caperdeck.leases.target import CENSUS, HOSTS
from caperdeck.lifecycle.toml import TomlError, check_keys, parse_loopback_address, parse_name, read_toml
from caperdeck.raft.core import ELECTION
from caperdeck.state.addresses import Address

SPAN = 1500.0  # milliseconds of a lease
LEAST_SPAN = 2 * ELECTION  # a shorter one ends before a new leader can be found to renew it
MOST_INSTANCES, HIGHEST_NUMBER = 9, 999
WORKS = (HOSTS, CENSUS)
LONGEST = 64  # characters of a name


class OwnerError(Exception):
    """The file cannot be used; the text names it, the key and the reason."""


class OwnerConfig(NamedTuple):
    cluster: str
    me: int
    folder: str
    listen: Address
    instances: dict[int, Address]  # as this one reaches them
    first: tuple[int, ...]  # who agree when nothing is on disk yet
    nodes: dict[str, Address]  # second addresses
    works: tuple[str, ...]
    span: float


class Owners(NamedTuple):
    """What a node is told: whom to ask for the token in force."""

    cluster: str
    instances: tuple[Address, ...]


class _Faulty(Exception):  # noqa: N818
    pass


def load_instance(path: str) -> OwnerConfig:
    """Raises OwnerError."""
    return _load(path, _instance)


def load_owners(path: str) -> Owners:
    """Raises OwnerError."""
    return _load(path, _owners)


def _load(path: str, decode: Any) -> Any:
    try:
        return decode(read_toml(path))
    except TomlError as error:
        raise OwnerError(f"owner {path}: {error}") from None
    except _Faulty as error:
        raise OwnerError(f"owner {path}: {error}") from None


def _instance(raw: dict[str, Any]) -> OwnerConfig:
    check_keys(raw, {"cluster", "me", "folder", "listen", "instances", "first", "nodes", "works", "span"})
    instances = _instances(raw)
    me = raw.get("me")
    if isinstance(me, bool) or not isinstance(me, int) or me not in instances:
        raise _Faulty(f"me: {me!r:.50} is no number of an instance")
    folder = raw.get("folder")
    if not isinstance(folder, str) or not folder:
        raise _Faulty("folder: no folder is named")
    first = raw.get("first", sorted(instances))
    if not isinstance(first, list) or not first or not all(i in instances for i in first):
        raise _Faulty(f"first: {first!r:.50} are not all instances")
    if len(set(first)) < len(first):
        raise _Faulty("first: an instance twice")
    listen = parse_loopback_address(raw["listen"], "listen") if "listen" in raw else instances[me]
    return OwnerConfig(
        _cluster(raw), me, folder, listen,
        instances, tuple(first), _nodes(raw), _works(raw), _span(raw),
    )  # fmt: skip


def _owners(raw: dict[str, Any]) -> Owners:
    check_keys(raw, {"cluster", "instances"})
    return Owners(_cluster(raw), tuple(_instances(raw).values()))


def _cluster(raw: dict[str, Any]) -> str:
    return parse_name(raw.get("cluster"), "cluster", LONGEST)


def _table(raw: dict[str, Any], key: str, most: int) -> dict[str, Any]:
    table = raw.get(key, {})
    if not isinstance(table, dict) or len(table) > most:
        raise _Faulty(f"{key}: no table, or over {most} rows")
    return table


def _addresses(table: dict[str, Any], key: str) -> dict[str, Address]:
    found = {name: parse_loopback_address(value, f"{key}.{name}") for name, value in table.items()}
    if len(set(found.values())) < len(found):
        # Danger: one process under two names would vote, or be counted, twice.
        raise _Faulty(f"{key}: an address twice")
    return found


def _instances(raw: dict[str, Any]) -> dict[int, Address]:
    found = _addresses(_table(raw, "instances", MOST_INSTANCES), "instances")
    for name in found:
        if not (name.isascii() and name.isdigit() and str(int(name)) == name and int(name) <= HIGHEST_NUMBER):
            raise _Faulty(f"instances: {name!r:.50} is no number from 0 to {HIGHEST_NUMBER}")
    if not found:
        raise _Faulty("instances: none")
    return {int(name): address for name, address in found.items()}


def _nodes(raw: dict[str, Any]) -> dict[str, Address]:
    found = _addresses(_table(raw, "nodes", MOST_NODES), "nodes")
    for name in found:
        if not 0 < len(name) <= LONGEST:
            raise _Faulty(f"nodes: {name!r:.50} is no name")
    if pair := alike(found):
        raise _Faulty(f"nodes: {pair[0]!r:.50} and {pair[1]!r:.50} have one digest; rename either")
    return found


def _works(raw: dict[str, Any]) -> tuple[str, ...]:
    works = raw.get("works", list(WORKS))
    if not isinstance(works, list) or not all(w in WORKS for w in works) or len(set(works)) < len(works):
        raise _Faulty(f"works: {works!r:.50}, known are {', '.join(WORKS)}, each once")
    return tuple(works)


def _span(raw: dict[str, Any]) -> float:
    span = raw.get("span", SPAN)
    if isinstance(span, bool) or not isinstance(span, int | float) or not math.isfinite(span):
        raise _Faulty(f"span: {span!r:.50} is no number of milliseconds")
    if not LEAST_SPAN <= span <= MOST_SPAN:
        raise _Faulty(f"span: {span} is not from {LEAST_SPAN:g}, which renewals can hold, to {MOST_SPAN:g}")
    return float(span)
