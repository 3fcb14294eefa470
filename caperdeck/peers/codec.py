"""The datagrams between nodes: one ping, ack or request to ping, with what is spread along with it.

Layout, big-endian: crc32 of the rest (4), version (1), fleet (4), kind (1), sender (2), life (4), about (2),
nonce (4), number of updates (1), updates of 9 bytes, number of beats (1), beats of 6 bytes, then the notes of
the ledger up to the end. A gossip has no notes, and updates in their place.
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterable
from enum import IntEnum
from typing import NamedTuple

VERSION = 1
LONGEST = 256  # bytes, as the platform's page allows
HEAD = struct.Struct(">IBIBHIHI")
UPDATE = struct.Struct(">HBIH")
BEAT = struct.Struct(">HHH")
MOST_UPDATES, MOST_BEATS = 6, 6
NOTES = LONGEST - HEAD.size - 2 - MOST_UPDATES * UPDATE.size - MOST_BEATS * BEAT.size
"""Bytes that the ledger may always fill."""
MOST_GOSSIP = (LONGEST - HEAD.size - 2 - BEAT.size) // UPDATE.size  # updates of a gossip, beside one beat


class Kind(IntEnum):
    PING = 1
    ACK = 2
    PING_FOR = 3  # asks the receiver to ping `about` and to pass its ack on
    ACK_FOR = 4  # `about` has answered the receiver's request
    ASK = 5  # for a loan, with no news along; answered with GIVE if there is anything to give
    GIVE = 6
    TELL = 7  # to everyone: hosts past full load, seen just now
    GOSSIP = 8  # words on members alone, which nobody answers


class State(IntEnum):
    """A member as this node holds it; of two words about one life and incarnation the higher one counts."""

    ALIVE = 0
    SUSPECTED = 1
    SILENT = 2


class Update(NamedTuple):
    """A word on a member, spread from node to node."""

    member: int
    state: State
    life: int
    incarnation: int


class Beat(NamedTuple):
    """The highest beat of a member that the sender has heard of, with the low bits of its life."""

    member: int
    life: int
    beat: int


class Message(NamedTuple):
    kind: Kind
    sender: int
    life: int  # of the sender: grows with each start of the same name
    about: int
    nonce: int
    updates: tuple[Update, ...] = ()
    beats: tuple[Beat, ...] = ()
    notes: bytes = b""


class DatagramError(ValueError):
    """What came is no message of this fleet; the text is the reason, one of a few words."""


def fleet_mark(members: int, names: Iterable[str]) -> int:
    """Tells fleets apart: alike at all nodes of one, whatever way each of them reaches the others."""
    return zlib.crc32("\n".join([str(members), *names]).encode())


def most_updates(kind: int) -> int:
    return MOST_GOSSIP if kind == Kind.GOSSIP else MOST_UPDATES


def encode(message: Message, fleet: int) -> bytes:
    """At most LONGEST bytes; what has no room is cut from the notes, which the caller keeps in bounds."""
    m, most = message, most_updates(message.kind)
    body = b"".join((
        struct.pack(">BIBHIHI", VERSION, fleet, m.kind, m.sender, m.life, m.about, m.nonce),
        bytes((min(len(m.updates), most),)), *(UPDATE.pack(*u) for u in m.updates[:most]),
        bytes((min(len(m.beats), MOST_BEATS),)), *(BEAT.pack(*b) for b in m.beats[:MOST_BEATS]),
    ))  # fmt: skip
    body = (body + m.notes)[: LONGEST - 4]
    return zlib.crc32(body).to_bytes(4, "big") + body


def decode(data: bytes, fleet: int, members: int) -> Message:
    """Raises DatagramError; nothing of a datagram with any fault is taken."""
    if len(data) > LONGEST:
        raise DatagramError("too-long")
    if len(data) < HEAD.size + 2:
        raise DatagramError("too-short")
    crc, version, of, kind, sender, life, about, nonce = HEAD.unpack_from(data)
    if version != VERSION:
        raise DatagramError("other-version")
    if of != fleet:
        raise DatagramError("other-fleet")
    if crc != zlib.crc32(data[4:]):
        raise DatagramError("damaged")
    if kind not in Kind.__members__.values():
        raise DatagramError("unknown-kind")
    if sender >= members or about >= members:
        raise DatagramError("no-such-member")
    if not life:
        raise DatagramError("no-life")
    at = HEAD.size
    updates, at = _rows(data, at, UPDATE, most_updates(kind))
    beats, at = _rows(data, at, BEAT, MOST_BEATS)
    if any(row[0] >= members for row in updates + beats) or any(u[1] > State.SILENT for u in updates):
        raise DatagramError("no-such-member")
    if any(not u[2] for u in updates):
        raise DatagramError("no-life")
    return Message(
        Kind(kind), sender, life, about, nonce,
        tuple(Update(m, State(s), lf, i) for m, s, lf, i in updates),
        tuple(Beat(*b) for b in beats), data[at:],
    )  # fmt: skip


def _rows(data: bytes, at: int, row: struct.Struct, most: int) -> tuple[list[tuple], int]:
    if at >= len(data):
        raise DatagramError("cut-short")
    count, at = data[at], at + 1
    if count > most:
        raise DatagramError("too-many-rows")
    end = at + count * row.size
    if end > len(data):
        raise DatagramError("cut-short")
    return [row.unpack_from(data, x) for x in range(at, end, row.size)], end
