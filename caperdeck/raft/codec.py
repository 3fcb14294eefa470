"""Wire format of messages between instances: one JSON value a frame, validated in full before it is used."""

from __future__ import annotations

import base64
from typing import Any

import orjson

from .messages import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    InstallSnapshotRequest,
    InstallSnapshotResponse,
    Message,
    TimeoutNow,
    VoteRequest,
    VoteResponse,
)
from .log import Entry, Kind, Members

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 4 << 20
MAX_NUMBER = 1 << 53  # of a term or an index
MESSAGE_TYPES: dict[str, type] = {
    "ask": VoteRequest, "voted": VoteResponse, "append": AppendEntriesRequest,
    "appended": AppendEntriesResponse, "install": InstallSnapshotRequest,
    "installed": InstallSnapshotResponse, "takeover": TimeoutNow,
}  # fmt: skip
MESSAGE_NAMES = {kind: name for name, kind in MESSAGE_TYPES.items()}
MAX_MEMBERS, MAX_ENTRIES = 16, 1024
SIGNED_FIELDS = ("offset",)  # fields that may be -1


class FrameError(ValueError):
    """The frame is not a valid message of this cluster. The text is a short reason, such as `no-json`."""


def encode(message: Message, cluster: str) -> bytes:
    return encode_frame(cluster, MESSAGE_NAMES[type(message)], [_to_json(value) for value in message])


def encode_frame(cluster: str, name: str, fields: Any) -> bytes:
    return orjson.dumps([PROTOCOL_VERSION, cluster, name, fields])


def _to_json(value: Any) -> Any:
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    if isinstance(value, Members | tuple):
        return [_to_json(x) for x in value]
    return int(value) if isinstance(value, Kind) else value


def decode(data: bytes, cluster: str, me: int) -> Message:
    """Raises FrameError."""
    return decode_message(*decode_frame(data, cluster), me)


def decode_frame(data: bytes, cluster: str) -> tuple[Any, Any]:
    """A frame's name and fields. Raises FrameError."""
    if len(data) > MAX_FRAME_BYTES:
        raise FrameError("too-long")
    try:
        frame = orjson.loads(data)
    except orjson.JSONDecodeError:
        raise FrameError("no-json") from None
    if not isinstance(frame, list) or len(frame) != 4:
        raise FrameError("no-frame")
    version, frame_cluster, name, fields = frame
    if version != PROTOCOL_VERSION:
        raise FrameError("other-version")
    if frame_cluster != cluster:
        raise FrameError("other-cluster")
    return name, fields


def decode_message(name: Any, fields: Any, me: int) -> Message:
    """Raises FrameError."""
    kind = MESSAGE_TYPES.get(name) if isinstance(name, str) else None
    if kind is None:
        raise FrameError("unknown-kind")
    if not isinstance(fields, list) or len(fields) != len(kind._fields):
        raise FrameError("wrong-fields")
    try:
        message = kind(*(_decode_field(kind, n, v) for n, v in zip(kind._fields, fields, strict=True)))
    except (TypeError, ValueError) as error:
        reason = str(error) if isinstance(error, FrameError) else "wrong-fields"
        raise FrameError(reason) from None
    if message.sender == me:
        raise FrameError("own-name")
    if isinstance(message, AppendEntriesRequest):
        terms = [message.prev_log_term, *(entry.term for entry in message.entries)]
        # Terms never decrease along a log and never exceed the term of the leader that sends it.
        if terms != sorted(terms) or terms[-1] > message.term:
            raise FrameError("impossible-terms")
    return message


def _decode_field(kind: type, name: str, value: Any) -> Any:
    if name in ("pre_vote", "leadership_transfer", "granted", "success", "done"):
        if not isinstance(value, bool):
            raise FrameError("wrong-fields")
        return value
    if name == "data":
        return base64.b64decode(value, validate=True)
    if name == "members":
        voters, learners = ([_decode_number(x) for x in ids] for ids in value)
        if not 0 < len(voters) + len(learners) <= MAX_MEMBERS or not voters:
            raise FrameError("impossible-members")
        return Members(tuple(voters), tuple(learners))
    if name == "entries":
        if len(value) > MAX_ENTRIES:
            raise FrameError("too-many-entries")
        return tuple(_decode_entry(row) for row in value)
    return _decode_number(value, -1 if name in SIGNED_FIELDS else 0)


def _decode_entry(row: Any) -> Entry:
    term, kind, data, client, serial = row
    body = base64.b64decode(data, validate=True)
    return Entry(_decode_number(term, 1), Kind(kind), body, _decode_number(client), _decode_number(serial))


def _decode_number(value: Any, minimum: int = 0) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise FrameError("wrong-fields")
    if not minimum <= value <= MAX_NUMBER:
        raise FrameError("impossible-number")
    return value
