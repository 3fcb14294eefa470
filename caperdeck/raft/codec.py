"""Messages between instances as bytes: a JSON value a frame, checked whole before anything of it is taken."""

from __future__ import annotations

import base64
from typing import Any

import orjson

from .messages import Append, Appended, Ask, Install, Installed, Message, TakeOver, Voted
from .log import Entry, Kind, Members

VERSION = 1
LONGEST = 4 << 20  # bytes of a frame
HIGHEST = 1 << 53  # of a term or an index
KINDS: dict[str, type] = {
    "ask": Ask, "voted": Voted, "append": Append, "appended": Appended, "install": Install,
    "installed": Installed, "takeover": TakeOver,
}  # fmt: skip
NAMES = {kind: name for name, kind in KINDS.items()}
MOST_MEMBERS, MOST_ENTRIES = 16, 1024
SIGNED = ("offset",)  # fields that may be -1


class FrameError(ValueError):
    """What came is no message of this cluster; the text is the reason, one of a few words."""


def encode(message: Message, cluster: str) -> bytes:
    return frame(cluster, NAMES[type(message)], [_plain(value) for value in message])


def frame(cluster: str, name: str, fields: Any) -> bytes:
    return orjson.dumps([VERSION, cluster, name, fields])


def _plain(value: Any) -> Any:
    if isinstance(value, bytes):
        return base64.b64encode(value).decode()
    if isinstance(value, Members | tuple):
        return [_plain(x) for x in value]
    return int(value) if isinstance(value, Kind) else value


def decode(data: bytes, cluster: str, me: int) -> Message:
    """Raises FrameError."""
    return message_of(*unwrap(data, cluster), me)


def unwrap(data: bytes, cluster: str) -> tuple[Any, Any]:
    """A frame's name and fields; raises FrameError."""
    if len(data) > LONGEST:
        raise FrameError("too-long")
    try:
        whole = orjson.loads(data)
    except orjson.JSONDecodeError:
        raise FrameError("no-json") from None
    if not isinstance(whole, list) or len(whole) != 4:
        raise FrameError("no-frame")
    version, of, name, fields = whole
    if version != VERSION:
        raise FrameError("other-version")
    if of != cluster:
        raise FrameError("other-cluster")
    return name, fields


def message_of(name: Any, fields: Any, me: int) -> Message:
    """Raises FrameError."""
    kind = KINDS.get(name) if isinstance(name, str) else None
    if kind is None:
        raise FrameError("unknown-kind")
    if not isinstance(fields, list) or len(fields) != len(kind._fields):
        raise FrameError("wrong-fields")
    try:
        message = kind(*(_field(kind, n, v) for n, v in zip(kind._fields, fields, strict=True)))
    except (TypeError, ValueError) as error:
        reason = str(error) if isinstance(error, FrameError) else "wrong-fields"
        raise FrameError(reason) from None
    if message.sender == me:
        raise FrameError("own-name")
    if isinstance(message, Append):
        terms = [message.index_term, *(e.term for e in message.entries)]
        # Danger: terms that go down, or past the sender's own, are of no log that there can be.
        if terms != sorted(terms) or terms[-1] > message.term:
            raise FrameError("impossible-terms")
    return message


def _field(kind: type, name: str, value: Any) -> Any:
    if name in ("before", "transfer", "granted", "ok", "last") and not (kind is Ask and name == "last"):
        if not isinstance(value, bool):
            raise FrameError("wrong-fields")
        return value
    if name == "data":
        return base64.b64decode(value, validate=True)
    if name == "members":
        voters, learners = ([_number(x) for x in ids] for ids in value)
        if not 0 < len(voters) + len(learners) <= MOST_MEMBERS or not voters:
            raise FrameError("impossible-members")
        return Members(tuple(voters), tuple(learners))
    if name == "entries":
        if len(value) > MOST_ENTRIES:
            raise FrameError("too-many-entries")
        return tuple(_entry(row) for row in value)
    return _number(value, -1 if name in SIGNED else 0)


def _entry(row: Any) -> Entry:
    term, kind, data, client, serial = row
    body = base64.b64decode(data, validate=True)
    return Entry(_number(term, 1), Kind(kind), body, _number(client), _number(serial))


def _number(value: Any, least: int = 0) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise FrameError("wrong-fields")
    if not least <= value <= HIGHEST:
        raise FrameError("impossible-number")
    return value
