"""Messages between a node and a publisher, and their JSON. Ages and waits are float milliseconds.

Each message from a node carries a number that grows over all restarts of the node; each message from a
publisher carries the number of the subscription that it belongs to. By these numbers both sides recognise
delayed and duplicated messages.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, NamedTuple

import orjson

from .document import DIGEST_BYTES, Change, DocumentError, decode_changes, encode_changes, validate

MAX_NAME_LENGTH = 64  # characters
MAX_REASON_LENGTH = 200
MAX_NUMBER = 1 << 53
MAX_AGE_MS = 86_400_000.0


class MessageError(Exception):
    """A message is invalid. The text has the field and the reason."""


class Refusal(NamedTuple):
    """A version that the node cannot serve, and why."""

    revision: int
    reason: str


# ---- from a node


class Subscribe(NamedTuple):
    """Opens a watch and reports the active version, as Acknowledge does; `number` identifies the
    subscription.

    `whole`: a delta did not fit, so the next version must be a snapshot.
    """

    node: str
    zone: str
    region: str
    number: int
    revision: int
    digest: str
    stale: bool
    refused: Refusal | None = None
    whole: bool = False


class Acknowledge(NamedTuple):
    """Reports the node's active version and asks whether it is the newest.

    Sent at every heartbeat interval, after each change of the active version, and after a refusal.
    """

    node: str
    subscription: int
    number: int
    revision: int
    digest: str
    stale: bool
    refused: Refusal | None = None


# ---- from a publisher


class Snapshot(NamedTuple):
    """A whole version."""

    subscription: int
    revision: int
    digest: str
    document: dict[str, Any]


class Delta(NamedTuple):
    """A version as the changes from the node's active version."""

    subscription: int
    base: int  # the revision that the changes apply to
    revision: int
    digest: str  # of the resulting document
    changes: tuple[Change, ...]


class Heartbeat(NamedTuple):
    """Answers the message of that number: the newest version at this publisher.

    `age` is the time since the start of the read by which a quorum confirmed that there is no newer version;
    None if that is too long ago. `queued`: a snapshot for this node waits for a free slot.
    """

    subscription: int
    number: int
    revision: int
    digest: str
    age: float | None
    queued: bool = False


class Busy(NamedTuple):
    """Too many nodes are subscribing: retry after a time drawn from `wait`."""

    subscription: int
    wait: float


class Closed(NamedTuple):
    """The publisher has ended this subscription."""

    subscription: int
    reason: str


NodeMessage = Subscribe | Acknowledge
PublisherMessage = Snapshot | Delta | Heartbeat | Busy | Closed
Message = NodeMessage | PublisherMessage


def one_line(reason: str) -> str:
    """Makes the text of an error valid as the reason of a refusal: one printable line of limited length."""
    return "".join(c if c.isprintable() else " " for c in reason)[:MAX_REASON_LENGTH]


# ---- JSON


def encode(message: Message) -> bytes:
    row: dict[str, Any] = {"kind": type(message).__name__.lower(), **message._asdict()}
    if isinstance(message, Delta):
        row["changes"] = encode_changes(message.changes)
    if isinstance(message, NodeMessage):
        row["refused"] = message.refused and message.refused._asdict()
    return orjson.dumps(row)


def decode(data: bytes) -> Message:
    """Raises MessageError."""
    try:
        row = orjson.loads(data)
    except orjson.JSONDecodeError as error:
        raise MessageError(f"message: no JSON: {error}") from None
    return message_from_json(row)


def message_from_json(row: Any) -> Message:
    """Decodes a parsed JSON value, which is modified. Raises MessageError."""
    if not isinstance(row, dict):
        raise MessageError("message: no JSON object")
    kind = row.pop("kind", None)
    message_type = MESSAGE_TYPES.get(kind) if isinstance(kind, str) else None
    if message_type is None:
        raise MessageError("kind: unknown")
    if unknown := sorted(row.keys() - set(message_type._fields)):
        raise MessageError(f"{kind}.{unknown[0]}: unknown")
    return message_type(**decode_fields(kind, message_type._fields, row))


def decode_fields(kind: str, fields: tuple[str, ...], row: Any) -> dict[str, Any]:
    """Validates and decodes the given fields of a JSON object, as for messages. Raises MessageError."""
    if not isinstance(row, dict):
        raise MessageError(f"{kind}: no JSON object")
    return {field: _decode_field(kind, field, row) for field in fields}


def _decode_field(kind: str, field: str, row: dict[str, Any]) -> Any:
    if field not in row:
        raise MessageError(f"{kind}.{field}: missing")
    try:
        return FIELD_DECODERS[field](row[field])
    except (ValueError, DocumentError) as error:
        raise MessageError(f"{kind}.{field}: {error}") from None


def _decode_name(value: Any) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_LENGTH or not value.isprintable():
        raise ValueError(f"not a text of 1 to {MAX_NAME_LENGTH} printable characters")
    return value


def _decode_reason(value: Any) -> str:
    if not isinstance(value, str) or len(value) > MAX_REASON_LENGTH or not value.isprintable():
        raise ValueError(f"not a line of up to {MAX_REASON_LENGTH} characters")
    return value


def _decode_number(value: Any) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or not 0 <= value < MAX_NUMBER:
        raise ValueError("no whole number from 0")
    return value


def _decode_digest(value: Any) -> str:
    if not isinstance(value, str) or len(value) != 2 * DIGEST_BYTES or value.strip("0123456789abcdef"):
        raise ValueError(f"not {2 * DIGEST_BYTES} digits of a digest")
    return value


def _decode_flag(value: Any) -> bool:
    if not isinstance(value, bool):
        raise ValueError("neither true nor false")
    return value


def _decode_time(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
        raise ValueError("no number of milliseconds")
    if not 0 <= value <= MAX_AGE_MS:
        raise ValueError(f"not from 0 to {MAX_AGE_MS:g} milliseconds")
    return float(value)


def _decode_age(value: Any) -> float | None:
    return None if value is None else _decode_time(value)


def _decode_refusal(value: Any) -> Refusal | None:
    if value is None:
        return None
    if not isinstance(value, dict) or value.keys() != {"revision", "reason"}:
        raise ValueError("neither null nor a revision with its reason")
    return Refusal(_decode_number(value["revision"]), _decode_reason(value["reason"]))


def _decode_document(value: Any) -> dict[str, Any]:
    validate(value)
    return value


MESSAGE_TYPES: dict[str, type] = {kind.__name__.lower(): kind for kind in Message.__args__}
FIELD_DECODERS: dict[str, Callable[[Any], Any]] = {
    "node": _decode_name, "zone": _decode_name, "region": _decode_name, "subscription": _decode_number,
    "number": _decode_number, "revision": _decode_number, "base": _decode_number, "digest": _decode_digest,
    "stale": _decode_flag, "whole": _decode_flag, "queued": _decode_flag, "confirmed": _decode_flag,
    "refused": _decode_refusal, "publisher": _decode_name, "document": _decode_document,
    "changes": decode_changes, "age": _decode_age, "wait": _decode_time, "reason": _decode_reason,
}  # fmt: skip
