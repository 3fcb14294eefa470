"""Serialized state of the census: an epoch with its shares, as the text that the instances replicate.

There are two formats, which a reader distinguishes by their keys:

- names: JSON objects of shares by name. Written wherever it fits, as older instances read no other.
- rows: for fleets whose names do not fit. One row of ROW bytes per node: a digest of its name, the wanted
  share (0 for none) and the upper bound of the held share, in units of 1 / SHARE_UNITS. The rows are one
  base85 string.

The maximum number of nodes follows from the limit on a state in the lease table: a row has the same size
whatever the length of the name.
"""

from __future__ import annotations

import base64
import binascii
import hashlib
import math
import struct
from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

import orjson

from .table import MAX_STATE_LENGTH

# size of the digest of a name; a configuration in which two names have the same digest is rejected
DIGEST_BYTES = 5
SHARE_UNITS = (1 << 32) - 1  # value of a whole share
ROW = struct.Struct(f">{DIGEST_BYTES}sII")  # digest, wanted share rounded down, held share rounded up
MAX_HEADER_LENGTH = 128  # characters besides the rows
BASE85_EXPANSION = 5 / 4  # characters per byte
MAX_NODES = math.floor((MAX_STATE_LENGTH - MAX_HEADER_LENGTH) / (ROW.size * BASE85_EXPANSION))


class StateError(ValueError):
    """The saved state cannot be read; the text is the reason, as one keyword."""


class CensusState(NamedTuple):
    """Shares are fractions of the whole, by node name; a node without a row holds its floor."""

    epoch: int = 0
    living: int = 0
    wanted_shares: Mapping[str, float] = {}
    held_shares: Mapping[str, float] = {}


def digest(name: str) -> bytes:
    """Returns the digest that identifies a node in a row."""
    return hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()


def digest_collision(names: Iterable[str]) -> tuple[str, str] | None:
    """Returns two of the names that have the same digest, if there are any."""
    seen: dict[bytes, str] = {}
    for name in names:
        other = seen.setdefault(digest(name), name)
        if other != name:
            return other, name
    return None


def encode(state: CensusState) -> str:
    """Encodes the state, by names if they fit and as rows otherwise."""
    text = orjson.dumps({
        "epoch": state.epoch, "want": dict(state.wanted_shares), "living": state.living,
        "held": dict(state.held_shares),
    }).decode()  # fmt: skip
    return text if len(text) <= MAX_STATE_LENGTH else _encode_rows(state)


def _encode_rows(state: CensusState) -> str:
    rows = b"".join(
        # Rounding must never lower a held share, nor raise a wanted one: the sum could exceed the whole.
        ROW.pack(
            digest(name),
            math.floor(state.wanted_shares.get(name, 0.0) * SHARE_UNITS),
            math.ceil(held * SHARE_UNITS),
        )
        for name, held in state.held_shares.items()
    )
    # An older reader takes missing names for nodes at their floor. A `want` that is not an object makes it
    # fail.
    head = {"epoch": state.epoch, "living": state.living, "want": None}
    return orjson.dumps(head | {"rows": base64.b85encode(rows).decode()}).decode()


def decode(text: str | None, nodes: Iterable[str]) -> CensusState:
    """Decodes the state of the given nodes; raises StateError and uses nothing of a text with any fault."""
    if not text:
        return CensusState()
    try:
        saved = orjson.loads(text)
    except orjson.JSONDecodeError:
        raise StateError("no-json") from None
    if not isinstance(saved, dict):
        raise StateError("no-object")
    epoch, living = _read_count(saved, "epoch"), _read_count(saved, "living")
    names = list(nodes)
    if "rows" in saved:
        want, held = _decode_rows(saved["rows"], names)
    else:
        want, held = _read_shares(saved, "want", names), _read_shares(saved, "held", names)
    return CensusState(epoch, living, want, held)


def _read_count(saved: dict[str, Any], key: str) -> int:
    value = saved.get(key)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise StateError(f"bad-{key}")
    return value


def _read_shares(saved: dict[str, Any], key: str, names: list[str]) -> dict[str, float]:
    table = saved.get(key)
    if not isinstance(table, dict) or not all(_is_share(value) for value in table.values()):
        raise StateError(f"bad-{key}")
    return {name: table[name] for name in names if name in table}


def _is_share(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0 <= value <= 1


def _decode_rows(text: Any, names: list[str]) -> tuple[dict[str, float], dict[str, float]]:
    try:
        data = base64.b85decode(text)
    except (ValueError, TypeError, binascii.Error):
        raise StateError("bad-rows") from None
    if len(data) % ROW.size:
        raise StateError("rows-cut-short")
    rows = {name_digest: (want, held) for name_digest, want, held in ROW.iter_unpack(data)}
    if len(rows) * ROW.size != len(data):
        raise StateError("a-row-twice")
    found = {name: rows[name_digest] for name in names if (name_digest := digest(name)) in rows}
    want = {name: parts / SHARE_UNITS for name, (parts, _) in found.items() if parts}
    return want, {name: parts / SHARE_UNITS for name, (_, parts) in found.items()}
