"""What rides on a message between nodes: sections of a tag, a number of rows, and the rows, big-endian."""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field

from caperdeck.peers.codec import DatagramError

from .counters import Count
from .judgements import Judgement, Kind

STEP = 16.0  # milliseconds, of an age
OLDEST = 255 * STEP
MOST_ROWS = 24
MOST_AMOUNT = 1e18
COUNT, WANT, GRANT, SEEN, JUDGED, ILL = range(1, 7)
ROWS = {
    COUNT: struct.Struct(">IHII"), WANT: struct.Struct(">If"), GRANT: struct.Struct(">If"),
    SEEN: struct.Struct(">IBB"), JUDGED: struct.Struct(">IBHB"), ILL: struct.Struct(">"),
}  # fmt: skip


@dataclass(slots=True)
class Notes:
    """Pots are hosts' marks, 0 is the room of all; loads in milliseconds of work a second, ages in ms."""

    counts: list[Count] = field(default_factory=list)
    wants: list[tuple[int, float]] = field(default_factory=list)  # budget, at the most so much
    grants: list[tuple[int, float]] = field(default_factory=list)  # budget, so much is lent
    seen: list[tuple[int, float, float]] = field(default_factory=list)  # host, load over capacity, age
    judged: list[Judgement] = field(default_factory=list)
    ill_everywhere: bool = False


def encode(n: Notes, room: int) -> bytes:
    """What fits in so many bytes: first what moves rights, then counts, judgements and figures."""
    out = bytearray()
    for tag, rows in (
        (GRANT, n.grants), (WANT, n.wants), (ILL, [()] * n.ill_everywhere), (COUNT, n.counts),
        (JUDGED, [(j.host, j.kind, j.member, _age(j.age)) for j in n.judged if j.age <= OLDEST]),
        (SEEN, [(h, min(round(x * 100), 255), _age(age)) for h, x, age in n.seen if age <= OLDEST]),
    ):  # fmt: skip
        row = ROWS[tag]
        fit = min(len(rows), MOST_ROWS, (room - len(out) - 2) // max(row.size, 1))
        if fit > 0:
            out += bytes((tag, fit))
            for x in rows[:fit]:
                out += row.pack(*x)
    return bytes(out)


def as_sent(amount: float) -> float:
    """The amount as it arrives, never more than was given."""
    (bits,) = struct.unpack(">I", struct.pack(">f", min(amount, MOST_AMOUNT)))
    (sent,) = struct.unpack(">f", bits.to_bytes(4, "big"))
    # Danger: rounded up on its way, a loan would be more than its lender gave; the number before it is not.
    return sent if sent <= amount else struct.unpack(">f", (bits - 1).to_bytes(4, "big"))[0]


def _age(age: float) -> int:
    # rounded up: nothing may look newer than it is
    return min(math.ceil(max(age, 0.0) / STEP), 255)


def decode(data: bytes, members: int) -> Notes:
    """Raises DatagramError; nothing of notes with any fault is taken."""
    n, at = Notes(), 0
    while at < len(data):
        if at + 2 > len(data):
            raise DatagramError("notes-cut-short")
        tag, count = data[at], data[at + 1]
        row, at = ROWS.get(tag), at + 2
        if row is None or count > MOST_ROWS:
            raise DatagramError("unknown-notes")
        end = at + row.size * count
        if end > len(data):
            raise DatagramError("notes-cut-short")
        rows = [row.unpack_from(data, x) for x in range(at, end, row.size)] if row.size else []
        at = end
        _take(n, tag, rows, members)
    return n


def _take(n: Notes, tag: int, rows: list[tuple], members: int) -> None:
    if tag == ILL:
        n.ill_everywhere = True
    elif tag == COUNT:
        n.counts += [Count(*r) for r in rows]
        if any(c.member >= members or not c.life for c in n.counts):
            raise DatagramError("no-such-member")
    elif tag in (WANT, GRANT):
        # Danger: a number that is none, or is under 0, would take rights away or make them without end.
        if not all(0 <= amount <= MOST_AMOUNT for _, amount in rows):
            raise DatagramError("bad-amount")
        (n.wants if tag == WANT else n.grants).extend(rows)
    elif tag == SEEN:
        n.seen += [(h, x / 100, age * STEP) for h, x, age in rows]
    else:
        if any(kind > Kind.FULL or member >= members for _, kind, member, _ in rows):
            raise DatagramError("no-such-member")
        n.judged += [Judgement(h, Kind(kind), member, age * STEP) for h, kind, member, age in rows]
