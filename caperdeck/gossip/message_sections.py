"""What rides on a message between nodes: sections of a tag, a number of rows, and the rows, big-endian."""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field

from caperdeck.peers.codec import DatagramError

from .counters import CounterValue
from .judgements import Judgement, HostCondition

AGE_STEP_MS = 16.0  # milliseconds, of an age
MAX_AGE_MS = 255 * AGE_STEP_MS
MAX_ROWS = 24
MAX_AMOUNT = 1e18
COUNTER, REQUEST, GRANT, LOAD, JUDGEMENT, FAILING = range(1, 7)
ROW_FORMATS = {
    COUNTER: struct.Struct(">IHII"), REQUEST: struct.Struct(">If"), GRANT: struct.Struct(">If"),
    LOAD: struct.Struct(">IBB"), JUDGEMENT: struct.Struct(">IBHB"), FAILING: struct.Struct(">"),
}  # fmt: skip


@dataclass(slots=True)
class MessageSections:
    """Pots are hosts' marks, 0 is the room of all; loads in milliseconds of work a second, ages in ms."""

    counts: list[CounterValue] = field(default_factory=list)
    wants: list[tuple[int, float]] = field(default_factory=list)  # budget, at the most so much
    grants: list[tuple[int, float]] = field(default_factory=list)  # budget, so much is lent
    seen: list[tuple[int, float, float]] = field(default_factory=list)  # host, load over capacity, age
    judged: list[Judgement] = field(default_factory=list)
    ill_everywhere: bool = False


def encode(n: MessageSections, room: int) -> bytes:
    """What fits in so many bytes: first what moves rights, then counts, judgements and figures."""
    out = bytearray()
    for tag, rows in (
        (GRANT, n.grants), (REQUEST, n.wants), (FAILING, [()] * n.ill_everywhere), (COUNTER, n.counts),
        (JUDGEMENT, [(j.host, j.kind, j.member, _age(j.age)) for j in n.judged if j.age <= MAX_AGE_MS]),
        (LOAD, [(h, min(round(x * 100), 255), _age(age)) for h, x, age in n.seen if age <= MAX_AGE_MS]),
    ):  # fmt: skip
        row = ROW_FORMATS[tag]
        fit = min(len(rows), MAX_ROWS, (room - len(out) - 2) // max(row.size, 1))
        if fit > 0:
            out += bytes((tag, fit))
            for x in rows[:fit]:
                out += row.pack(*x)
    return bytes(out)


def round_down_to_wire(amount: float) -> float:
    """The amount as it arrives, never more than was given."""
    (bits,) = struct.unpack(">I", struct.pack(">f", min(amount, MAX_AMOUNT)))
    (sent,) = struct.unpack(">f", bits.to_bytes(4, "big"))
    # Danger: rounded up on its way, a loan would be more than its lender gave; the number before it is not.
    return sent if sent <= amount else struct.unpack(">f", (bits - 1).to_bytes(4, "big"))[0]


def _age(age: float) -> int:
    # rounded up: nothing may look newer than it is
    return min(math.ceil(max(age, 0.0) / AGE_STEP_MS), 255)


def decode(data: bytes, members: int) -> MessageSections:
    """Raises DatagramError; nothing of notes with any fault is taken."""
    n, at = MessageSections(), 0
    while at < len(data):
        if at + 2 > len(data):
            raise DatagramError("notes-cut-short")
        tag, count = data[at], data[at + 1]
        row, at = ROW_FORMATS.get(tag), at + 2
        if row is None or count > MAX_ROWS:
            raise DatagramError("unknown-notes")
        end = at + row.size * count
        if end > len(data):
            raise DatagramError("notes-cut-short")
        rows = [row.unpack_from(data, x) for x in range(at, end, row.size)] if row.size else []
        at = end
        _add_section(n, tag, rows, members)
    return n


def _add_section(n: MessageSections, tag: int, rows: list[tuple], members: int) -> None:
    if tag == FAILING:
        n.ill_everywhere = True
    elif tag == COUNTER:
        n.counts += [CounterValue(*r) for r in rows]
        if any(c.member >= members or not c.life for c in n.counts):
            raise DatagramError("no-such-member")
    elif tag in (REQUEST, GRANT):
        # Danger: a number that is none, or is under 0, would take rights away or make them without end.
        if not all(0 <= amount <= MAX_AMOUNT for _, amount in rows):
            raise DatagramError("bad-amount")
        (n.wants if tag == REQUEST else n.grants).extend(rows)
    elif tag == LOAD:
        n.seen += [(h, x / 100, age * AGE_STEP_MS) for h, x, age in rows]
    else:
        if any(kind > HostCondition.FULL or member >= members for _, kind, member, _ in rows):
            raise DatagramError("no-such-member")
        n.judged += [
            Judgement(h, HostCondition(kind), member, age * AGE_STEP_MS) for h, kind, member, age in rows
        ]
