"""What an owner of the census keeps: an epoch with its shares, as the text that the instances agree on.

Two forms, and a reader tells them apart by their keys:

- names: JSON objects of shares by name. Written wherever it fits, as older instances read no other.
- rows: for fleets whose names do not fit. A row a node, ROW bytes: a digest of its name, the share that it is
  to have (0 for none) and the most that it may hold, in parts of the whole. Rows are base85, as one string.

The number of nodes follows from the table's limit on a state: a row costs the same whatever a name's length.
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

# bytes of a name's digest; two names of one file that share theirs are refused with the file
DIGEST_BYTES = 5
SHARE_UNITS = (1 << 32) - 1  # parts of the whole
ROW = struct.Struct(f">{DIGEST_BYTES}sII")  # digest, share wanted rounded down, share held rounded up
MAX_HEADER_LENGTH = 128  # characters beside the rows, at the most
BASE85_EXPANSION = 5 / 4  # characters a byte
MAX_NODES = math.floor((MAX_STATE_LENGTH - MAX_HEADER_LENGTH) / (ROW.size * BASE85_EXPANSION))


class StateError(ValueError):
    """A state that cannot be read; the text is the reason, one of a few words."""


class CensusState(NamedTuple):
    """Shares are parts of the whole, by name of a node; nodes without a row hold their floor."""

    epoch: int = 0
    living: int = 0
    wanted_shares: Mapping[str, float] = {}
    held_shares: Mapping[str, float] = {}


def digest(name: str) -> bytes:
    return hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()


def digest_collision(names: Iterable[str]) -> tuple[str, str] | None:
    """Two of the names that rows could not tell apart, if there are any."""
    seen: dict[bytes, str] = {}
    for name in names:
        other = seen.setdefault(digest(name), name)
        if other != name:
            return other, name
    return None


def encode(state: CensusState) -> str:
    text = orjson.dumps({
        "epoch": state.epoch, "want": dict(state.wanted_shares), "living": state.living,
        "held": dict(state.held_shares),
    }).decode()  # fmt: skip
    return text if len(text) <= MAX_STATE_LENGTH else _encode_rows(state)


def _encode_rows(state: CensusState) -> str:
    rows = b"".join(
        # Danger: a share that is held must never be read back as less, nor a wanted one as more.
        ROW.pack(
            digest(name),
            math.floor(state.wanted_shares.get(name, 0.0) * SHARE_UNITS),
            math.ceil(held * SHARE_UNITS),
        )
        for name, held in state.held_shares.items()
    )
    # Danger: an older reader takes what lacks names for a fleet at its floors; `want` of no object stops it.
    head = {"epoch": state.epoch, "living": state.living, "want": None}
    return orjson.dumps(head | {"rows": base64.b85encode(rows).decode()}).decode()


def decode(text: str | None, nodes: Iterable[str]) -> CensusState:
    """Of the nodes named only; raises StateError, and nothing of a text with any fault is taken."""
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
