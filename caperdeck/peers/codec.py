"""Datagrams between nodes: a SWIM message with the membership updates piggybacked on it.

Layout, big-endian: crc32 of the rest (4), version (1), fleet (4), kind (1), sender (2), life (4), subject
(2), nonce (4), number of updates (1), updates of 9 bytes, number of heartbeats (1), heartbeats of 6 bytes,
then up to the end the sections of `gossip.message_sections`. A gossip has no sections and uses their space
for updates.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # the documented limit of the platform
HEADER = struct.Struct(">IBIBHIHI")
UPDATE_ROW = struct.Struct(">HBIH")
HEARTBEAT_ROW = struct.Struct(">HHH")
MAX_UPDATES, MAX_HEARTBEATS = 6, 6
SECTION_BYTES = (
    MAX_DATAGRAM_BYTES - HEADER.size - 2 - MAX_UPDATES * UPDATE_ROW.size - MAX_HEARTBEATS * HEARTBEAT_ROW.size
)
"""Bytes that are available to the sections of any message that carries them."""
# space is left for one heartbeat
MAX_GOSSIP_UPDATES = (MAX_DATAGRAM_BYTES - HEADER.size - 2 - HEARTBEAT_ROW.size) // UPDATE_ROW.size


class MessageKind(IntEnum):
    """Kinds of messages; the values are part of the wire format."""

    PING = 1
    ACK = 2
    INDIRECT_PING = 3  # asks the receiver to ping `subject` and to report its ack
    INDIRECT_ACK = 4  # reports to the requester that `subject` has answered
    QUOTA_REQUEST = 5  # answered with QUOTA_GRANT if there is anything to lend
    QUOTA_GRANT = 6
    OVERLOAD_REPORT = 7  # sent to all members: hosts that were just observed above full load
    GOSSIP = 8  # membership updates only; never answered


class MemberState(IntEnum):
    """State of a member as seen by this node; for the same life and incarnation the higher value wins."""

    ALIVE = 0
    SUSPECTED = 1
    SILENT = 2


class MemberUpdate(NamedTuple):
    """A claim about the state of a member, disseminated from node to node."""

    member: int
    state: MemberState
    life: int
    incarnation: int


class Heartbeat(NamedTuple):
    """The highest heartbeat counter of a member that the sender knows, with the low 16 bits of the member's
    life.
    """

    member: int
    life: int
    counter: int


class Message(NamedTuple):
    """One decoded datagram."""

    kind: MessageKind
    sender: int
    life: int  # of the sender; increases with each start under the same name
    subject: int
    nonce: int
    updates: tuple[MemberUpdate, ...] = ()
    heartbeats: tuple[Heartbeat, ...] = ()
    sections: bytes = b""


class DatagramError(ValueError):
    """The datagram is not a valid message of this fleet; the text is the reason, as one keyword."""


def fleet_id(members: int, names: Iterable[str]) -> int:
    """Identifies a fleet: the same at all its nodes, whatever addresses they use to reach each other."""
    return zlib.crc32("\n".join([str(members), *names]).encode())


def max_updates(kind: int) -> int:
    """Returns the limit on updates in a message of that kind."""
    return MAX_GOSSIP_UPDATES if kind == MessageKind.GOSSIP else MAX_UPDATES


def encode(message: Message, fleet: int) -> bytes:
    """Returns at most MAX_DATAGRAM_BYTES; an excess is cut off the sections, whose size the caller limits."""
    m, limit = message, max_updates(message.kind)
    body = b"".join((
        struct.pack(">BIBHIHI", VERSION, fleet, m.kind, m.sender, m.life, m.subject, m.nonce),
        bytes((min(len(m.updates), limit),)), *(UPDATE_ROW.pack(*u) for u in m.updates[:limit]),
        bytes((min(len(m.heartbeats), MAX_HEARTBEATS),)),
        *(HEARTBEAT_ROW.pack(*h) for h in m.heartbeats[:MAX_HEARTBEATS]),
    ))  # fmt: skip
    body = (body + m.sections)[: MAX_DATAGRAM_BYTES - 4]
    return zlib.crc32(body).to_bytes(4, "big") + body


def decode(data: bytes, fleet: int, members: int) -> Message:
    """Decodes a whole datagram; raises DatagramError and uses nothing of it if any part is invalid."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise DatagramError("too-long")
    if len(data) < HEADER.size + 2:
        raise DatagramError("too-short")
    crc, version, sender_fleet, kind, sender, life, subject, nonce = HEADER.unpack_from(data)
    if version != VERSION:
        raise DatagramError("other-version")
    if sender_fleet != fleet:
        raise DatagramError("other-fleet")
    if crc != zlib.crc32(data[4:]):
        raise DatagramError("damaged")
    if kind not in MessageKind.__members__.values():
        raise DatagramError("unknown-kind")
    if sender >= members or subject >= members:
        raise DatagramError("no-such-member")
    if not life:
        raise DatagramError("no-life")
    offset = HEADER.size
    updates, offset = _unpack_rows(data, offset, UPDATE_ROW, max_updates(kind))
    heartbeats, offset = _unpack_rows(data, offset, HEARTBEAT_ROW, MAX_HEARTBEATS)
    if any(row[0] >= members for row in updates + heartbeats) or any(
        update[1] > MemberState.SILENT for update in updates
    ):
        raise DatagramError("no-such-member")
    if any(not update[2] for update in updates):
        raise DatagramError("no-life")
    return Message(
        MessageKind(kind), sender, life, subject, nonce,
        tuple(MemberUpdate(m, MemberState(s), lf, i) for m, s, lf, i in updates),
        tuple(Heartbeat(*h) for h in heartbeats), data[offset:],
    )  # fmt: skip


def _unpack_rows(data: bytes, offset: int, row_format: struct.Struct, limit: int) -> tuple[list[tuple], int]:
    if offset >= len(data):
        raise DatagramError("cut-short")
    count, offset = data[offset], offset + 1
    if count > limit:
        raise DatagramError("too-many-rows")
    end = offset + count * row_format.size
    if end > len(data):
        raise DatagramError("cut-short")
    return [row_format.unpack_from(data, at) for at in range(offset, end, row_format.size)], end
