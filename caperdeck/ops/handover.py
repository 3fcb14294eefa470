"""Hands an established session over to another process: its state in a packet, with its two descriptors."""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING, Any, NamedTuple

from caperdeck.state.request_ids import id_digest
from caperdeck.wire.client import ClientConnection
from caperdeck.wire.request import parse_request
from caperdeck.wire.host import HostConnection
from caperdeck.wire.lines import SingleConnectionFactory

if TYPE_CHECKING:
    from caperdeck.state.sessions import OpenRequest, Session
    from caperdeck.wire.session_handler import SessionHandler

MAX_BUFFERED_BYTES = 32 << 10  # per connection; a session with more is handed over once they have been sent


def decode_text(data: bytes) -> str:
    """The bytes as text for JSON, one character per byte."""
    return data.decode("latin-1")


def unsent_bytes(transport: Any) -> bytes:
    """The bytes that were written to the transport and have not been sent yet."""
    return b"".join((bytes(transport.dataBuffer)[transport.offset :], *transport._tempDataBuffer))


def can_hand_over(session: Session) -> bool:
    """Whether the session is established, both sides are open, and neither has begun to close."""
    client, host_side = session.client, session.host_connection
    if (
        not session.established_at
        or session.finished
        or client.closing
        or host_side is None
        or host_side.ended
        or host_side.announced_end
    ):
        return False
    if not client.connected or not host_side.connected:
        return False
    buffers = (
        client._buffer,
        host_side._buffer,
        unsent_bytes(client.transport),
        unsent_bytes(host_side.transport),
    )
    return max(map(len, buffers)) <= MAX_BUFFERED_BYTES


def encode_session(handler: SessionHandler, session: Session) -> tuple[dict[str, Any], list[int]]:
    """The message that hands the session over, and the descriptors that go with it: client, then host."""
    client, host_side = session.client, session.host_connection
    message = {
        "say": "session",
        "line": decode_text(session.request.line),
        "id": id_digest(session.request.id),  # counts as open at the other process from now on
        "host": handler.hosts.uids[session.host],
        "dial": session.dial,
        "since": session.requested_at,
        "deadline": session.deadline,
        "up_at": session.established_at,
        "heard_at": session.client_heard_at,
        "asked": bool(session.unanswered_since),
        "read": [decode_text(client._buffer), decode_text(host_side._buffer)],
        "unsent": [
            decode_text(unsent_bytes(client.transport)),
            decode_text(unsent_bytes(host_side.transport)),
        ],
    }
    return message, [client.transport.fileno(), host_side.transport.fileno()]


def release_connection(protocol: Any) -> None:
    """Closes this process's descriptor of a connection that goes on in another process."""
    transport = protocol.transport
    transport.unregisterProducer()
    transport.stopReading()
    transport.stopWriting()
    # Twisted would shut the connection down when this process ends, for the other process as well.
    sock = transport.socket
    del transport.socket
    transport.connected, transport.disconnected, protocol.connected = 0, 1, 0
    sock.close()


def is_connected(descriptor: int) -> bool:
    with socket.socket(fileno=os.dup(descriptor)) as sock:
        try:
            sock.getpeername()
        except OSError:
            return False
    return True


class HandedOverSession(NamedTuple):
    """A session as its message states it; times in milliseconds, data of the client before the host's."""

    request: OpenRequest
    id_counted: bool  # the sender counts the id as open here already
    host: str
    dial: int
    requested_at: float
    deadline: float
    established_at: float
    client_heard_at: float
    awaits_answer: bool
    read: tuple[bytes, bytes]
    unsent: tuple[bytes, bytes]


def decode_session(message: dict[str, Any]) -> HandedOverSession:
    """Raises RequestError, KeyError, TypeError, ValueError or AttributeError if the message states none."""
    return HandedOverSession(
        parse_request(message["line"].encode("latin-1")),
        "id" in message,
        str(message["host"]),
        int(message["dial"]),
        *(float(message[key]) for key in ("since", "deadline", "up_at", "heard_at")),
        bool(message["asked"]),
        _both_sides(message["read"]),
        _both_sides(message["unsent"]),
    )


def _both_sides(texts: list[str]) -> tuple[bytes, bytes]:
    client, host = texts
    return client.encode("latin-1"), host.encode("latin-1")


def adopt_session(handler: SessionHandler, message: dict[str, Any], descriptors: list[int]) -> bool:
    """Takes over a session that another process of this node handed over; False if a side has gone.

    Raises OSError, or the errors of `decode_session`; the session is then entered nowhere.
    """
    try:
        if len(descriptors) != 2 or not all(map(is_connected, descriptors)):
            return False
        state = decode_session(message)
        session = _enter_session(handler, state, descriptors)
    finally:
        for descriptor in descriptors:
            os.close(descriptor)
    sides = (session.client, session.host_connection)
    for side, data in zip(sides, state.unsent, strict=True):
        if data:
            side.transport.write(data)
    for side, data in zip(sides, state.read, strict=True):
        if data:
            side.dataReceived(data)
    return True


def _enter_session(handler: SessionHandler, state: HandedOverSession, descriptors: list[int]) -> Session:
    """Enters the session once both connections are held; raises KeyError for an unknown host, or OSError."""
    host = handler.hosts.index_by_uid[state.host]
    client = ClientConnection(handler)
    adopt_connection(handler, descriptors[0], client)
    host_side = HostConnection(handler, None, state.deadline)
    host_side.taken_over = True
    try:
        adopt_connection(handler, descriptors[1], host_side)
    except OSError:
        client.close(handler.redirect_line)
        raise
    session = handler.sessions.adopt(state.request, client, state.requested_at, state.id_counted)
    host_side.session = session
    session.host, session.dial, session.host_connection = host, state.dial, host_side
    handler.sessions.mark_established(session, state.established_at)
    session.deadline, session.client_heard_at = state.deadline, state.client_heard_at
    handler.session_taken_over(session, state.awaits_answer)
    return session


def adopt_connection(handler: SessionHandler, descriptor: int, protocol: Any) -> None:
    handler.reactor.adoptStreamConnection(descriptor, socket.AF_INET, SingleConnectionFactory(protocol))
