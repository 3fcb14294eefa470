"""A standing connection put into a packet with its two descriptors, and taken up from one."""

from __future__ import annotations

import os
import socket
from typing import TYPE_CHECKING, Any

from caperdeck.wire.client import ClientConnection
from caperdeck.wire.request import parse_request
from caperdeck.wire.host import HostConnection
from caperdeck.wire.lines import SingleConnectionFactory

if TYPE_CHECKING:
    from caperdeck.state.sessions import Session
    from caperdeck.wire.session_handler import SessionHandler

MOST_BUFFERED = 32 << 10  # bytes of a connection; one that holds more is handed on once they have gone


def text(data: bytes) -> str:
    return data.decode("latin-1")


def unsent(transport: Any) -> bytes:
    """What has been written to the transport and has not gone out yet."""
    return b"".join((bytes(transport.dataBuffer)[transport.offset :], *transport._tempDataBuffer))


def may_go(s: Session) -> bool:
    """Stands whole: both sides are open and nothing of its end is on the way."""
    client, conn = s.client, s.host_connection
    if (
        not s.established_at
        or s.finished
        or client.closing
        or conn is None
        or conn.ended
        or conn.announced_end
    ):
        return False
    if not client.connected or not conn.connected:
        return False
    held = (client._buffer, conn._buffer, unsent(client.transport), unsent(conn.transport))
    return max(map(len, held)) <= MOST_BUFFERED


def packet(handler: SessionHandler, s: Session) -> tuple[dict[str, Any], list[int]]:
    client, conn = s.client, s.host_connection
    message = {
        "say": "session", "line": text(s.request.line), "host": handler.hosts.uids[s.host], "dial": s.dial,
        "since": s.requested_at, "deadline": s.deadline, "up_at": s.established_at,
        "heard_at": s.client_heard_at, "asked": bool(s.unanswered_since),
        "read": [text(client._buffer), text(conn._buffer)],
        "unsent": [text(unsent(client.transport)), text(unsent(conn.transport))],
    }  # fmt: skip
    return message, [client.transport.fileno(), conn.transport.fileno()]


def let_go(protocol: Any) -> None:
    """Closes this process's descriptor of a connection that lives on in another one."""
    transport = protocol.transport
    transport.unregisterProducer()
    transport.stopReading()
    transport.stopWriting()
    # Danger: the library would shut the connection down, at the other process too, when this one ends.
    sock = transport.socket
    del transport.socket
    transport.connected, transport.disconnected, protocol.connected = 0, 1, 0
    sock.close()


def alive(fd: int) -> bool:
    with socket.socket(fileno=os.dup(fd)) as sock:
        try:
            sock.getpeername()
        except OSError:
            return False
    return True


def take_up(handler: SessionHandler, message: dict[str, Any], fds: list[int]) -> bool:
    """Goes on with a session that another process of this node has handed on; False if a side has gone."""
    try:
        if len(fds) != 2 or not all(map(alive, fds)):
            return False
        client = ClientConnection(handler)
        adopt(handler, fds[0], client)
        s = handler.sessions.create(
            parse_request(message["line"].encode("latin-1")), client, message["since"]
        )
        conn = HostConnection(handler, s, message["deadline"])
        conn.taken_over = True
        adopt(handler, fds[1], conn)
        s.host, s.dial, s.host_connection = handler.hosts.index_of(message["host"]), message["dial"], conn
        handler.sessions.mark_established(s, message["up_at"])
        s.deadline, s.client_heard_at = message["deadline"], message["heard_at"]
        handler.session_taken_over(s, message["asked"])
    finally:
        for fd in fds:
            os.close(fd)
    sides = (client, conn)
    for side, data in zip(sides, message["unsent"], strict=True):
        if data:
            side.transport.write(data.encode("latin-1"))
    for side, data in zip(sides, message["read"], strict=True):
        if data:
            side.dataReceived(data.encode("latin-1"))
    return True


def adopt(handler: SessionHandler, fd: int, protocol: Any) -> None:
    handler.reactor.adoptStreamConnection(fd, socket.AF_INET, SingleConnectionFactory(protocol))
