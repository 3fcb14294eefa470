"""Watch messages as frames on the instances' port. No I/O.

The frame is that of the instances (raft/codec.py: version, cluster, kind, JSON value) after a length of four
bytes. Frames from a node are small; one from a publisher may hold a whole version.
"""

from __future__ import annotations

import struct
from typing import Any

import orjson

from caperdeck.raft.codec import FrameError, encode_frame, decode_frame

from .document import MAX_DOCUMENT_BYTES
from .messages import NodeMessage, PublisherMessage, Message, MessageError, message_from_json
from .messages import encode as encode_message

WATCH = "watch"  # kind of frame
LENGTH_PREFIX = struct.Struct("!I")
MAX_NODE_FRAME_BYTES = 8 << 10
MAX_PUBLISHER_FRAME_BYTES = MAX_DOCUMENT_BYTES + (64 << 10)


def encode(message: Message, cluster: str) -> bytes:
    """The whole frame, with its length."""
    data = encode_frame(cluster, WATCH, orjson.Fragment(encode_message(message)))
    return LENGTH_PREFIX.pack(len(data)) + data


def decode_from_publisher(data: bytes, cluster: str) -> PublisherMessage:
    """The message in a frame without its length. Raises FrameError."""
    if len(data) > MAX_PUBLISHER_FRAME_BYTES:
        raise FrameError("too-long")
    name, fields = decode_frame(data, cluster)
    return _message(name, fields, PublisherMessage)


def message_from_node(name: Any, fields: Any, size: int) -> NodeMessage:
    """The message in a decoded frame of `size` bytes. Raises FrameError."""
    if size > MAX_NODE_FRAME_BYTES:
        raise FrameError("too-long")
    return _message(name, fields, NodeMessage)


def _message(name: Any, fields: Any, allowed: Any) -> Any:
    if name != WATCH:
        raise FrameError("unknown-kind")
    try:
        message = message_from_json(fields)
    except MessageError:
        raise FrameError("bad-message") from None
    if not isinstance(message, allowed):
        raise FrameError("wrong-direction")
    return message
