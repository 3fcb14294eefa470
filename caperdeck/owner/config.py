"""The operator's TOML files: the configuration of an instance, and the instances' addresses for nodes. Each
file is validated as a whole.
"""

from __future__ import annotations

import math
from typing import Any, NamedTuple

from caperdeck.leases.census_state import MAX_NODES, digest_collision
from caperdeck.leases.table import MAX_SPAN_MS
from caperdeck.leases.target import CENSUS, HOSTS
from caperdeck.lifecycle.toml import TomlError, check_keys, parse_loopback_address, parse_name, read_toml
from caperdeck.raft.core import ELECTION_TIMEOUT_MS
from caperdeck.state.addresses import Address

DEFAULT_SPAN_MS = 1500.0  # duration of a lease
MIN_SPAN_MS = (
    2 * ELECTION_TIMEOUT_MS
)  # a shorter lease expires before a new leader can be elected to renew it
MAX_INSTANCES, MAX_INSTANCE_NUMBER = 9, 999
WORKS = (HOSTS, CENSUS)
MAX_NAME_LENGTH = 64  # characters


class OwnerError(Exception):
    """The file cannot be used; the text names the file, the key and the reason."""


class OwnerConfig(NamedTuple):
    """The configuration of one instance."""

    cluster: str
    me: int
    folder: str
    listen: Address
    instances: dict[int, Address]  # as reached from this instance
    initial_voters: tuple[int, ...]  # used while nothing is stored on disk
    nodes: dict[str, Address]  # admin addresses of the nodes
    works: tuple[str, ...]
    span: float


class OwnerEndpoints(NamedTuple):
    """Where a node looks up the current token of a work."""

    cluster: str
    instances: tuple[Address, ...]


class _ConfigFault(Exception):  # noqa: N818
    """An invalid value; the text becomes part of an OwnerError."""

    pass


def load_instance(path: str) -> OwnerConfig:
    """Reads the configuration of an instance; raises OwnerError."""
    return _load(path, _instance)


def load_owners(path: str) -> OwnerEndpoints:
    """Reads the instances' addresses for a node; raises OwnerError."""
    return _load(path, _owners)


def _load(path: str, decode: Any) -> Any:
    try:
        return decode(read_toml(path))
    except TomlError as error:
        raise OwnerError(f"owner {path}: {error}") from None
    except _ConfigFault as error:
        raise OwnerError(f"owner {path}: {error}") from None


def _instance(raw: dict[str, Any]) -> OwnerConfig:
    check_keys(raw, {"cluster", "me", "folder", "listen", "instances", "first", "nodes", "works", "span"})
    instances = _instances(raw)
    me = raw.get("me")
    if isinstance(me, bool) or not isinstance(me, int) or me not in instances:
        raise _ConfigFault(f"me: {me!r:.50} is no number of an instance")
    folder = raw.get("folder")
    if not isinstance(folder, str) or not folder:
        raise _ConfigFault("folder: no folder is named")
    first = raw.get("first", sorted(instances))
    if not isinstance(first, list) or not first or not all(i in instances for i in first):
        raise _ConfigFault(f"first: {first!r:.50} are not all instances")
    if len(set(first)) < len(first):
        raise _ConfigFault("first: an instance twice")
    listen = parse_loopback_address(raw["listen"], "listen") if "listen" in raw else instances[me]
    return OwnerConfig(
        _cluster(raw), me, folder, listen,
        instances, tuple(first), _nodes(raw), _works(raw), _span(raw),
    )  # fmt: skip


def _owners(raw: dict[str, Any]) -> OwnerEndpoints:
    check_keys(raw, {"cluster", "instances"})
    return OwnerEndpoints(_cluster(raw), tuple(_instances(raw).values()))


def _cluster(raw: dict[str, Any]) -> str:
    return parse_name(raw.get("cluster"), "cluster", MAX_NAME_LENGTH)


def _table(raw: dict[str, Any], key: str, max_rows: int) -> dict[str, Any]:
    table = raw.get(key, {})
    if not isinstance(table, dict) or len(table) > max_rows:
        raise _ConfigFault(f"{key}: no table, or over {max_rows} rows")
    return table


def _addresses(table: dict[str, Any], key: str) -> dict[str, Address]:
    found = {name: parse_loopback_address(value, f"{key}.{name}") for name, value in table.items()}
    if len(set(found.values())) < len(found):
        # A process under two names would vote or be counted twice.
        raise _ConfigFault(f"{key}: an address twice")
    return found


def _instances(raw: dict[str, Any]) -> dict[int, Address]:
    found = _addresses(_table(raw, "instances", MAX_INSTANCES), "instances")
    for name in found:
        if not (
            name.isascii() and name.isdigit() and str(int(name)) == name and int(name) <= MAX_INSTANCE_NUMBER
        ):
            raise _ConfigFault(f"instances: {name!r:.50} is no number from 0 to {MAX_INSTANCE_NUMBER}")
    if not found:
        raise _ConfigFault("instances: none")
    return {int(name): address for name, address in found.items()}


def _nodes(raw: dict[str, Any]) -> dict[str, Address]:
    found = _addresses(_table(raw, "nodes", MAX_NODES), "nodes")
    for name in found:
        if not 0 < len(name) <= MAX_NAME_LENGTH:
            raise _ConfigFault(f"nodes: {name!r:.50} is no name")
    if pair := digest_collision(found):
        raise _ConfigFault(f"nodes: {pair[0]!r:.50} and {pair[1]!r:.50} have one digest; rename either")
    return found


def _works(raw: dict[str, Any]) -> tuple[str, ...]:
    works = raw.get("works", list(WORKS))
    if not isinstance(works, list) or not all(w in WORKS for w in works) or len(set(works)) < len(works):
        raise _ConfigFault(f"works: {works!r:.50}, known are {', '.join(WORKS)}, each once")
    return tuple(works)


def _span(raw: dict[str, Any]) -> float:
    span = raw.get("span", DEFAULT_SPAN_MS)
    if isinstance(span, bool) or not isinstance(span, int | float) or not math.isfinite(span):
        raise _ConfigFault(f"span: {span!r:.50} is no number of milliseconds")
    if not MIN_SPAN_MS <= span <= MAX_SPAN_MS:
        raise _ConfigFault(
            f"span: {span} is not from {MIN_SPAN_MS:g}, which renewals can hold, to {MAX_SPAN_MS:g}"
        )
    return float(span)
