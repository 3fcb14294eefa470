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

    counters: list[CounterValue] = field(default_factory=list)
    requests: list[tuple[int, float]] = field(default_factory=list)  # budget, at the most so much
    grants: list[tuple[int, float]] = field(default_factory=list)  # budget, so much is lent
    loads: list[tuple[int, float, float]] = field(default_factory=list)  # host, load over capacity, age
    judgements: list[Judgement] = field(default_factory=list)
    majority_failing: bool = False


def encode(sections: MessageSections, max_bytes: int) -> bytes:
    """What fits in so many bytes: first what moves rights, then counts, judgements and figures."""
    out = bytearray()
    for tag, rows in (
        (GRANT, sections.grants), (REQUEST, sections.requests), (FAILING, [()] * sections.majority_failing),
        (COUNTER, sections.counters),
        (JUDGEMENT, [
            (j.host, j.condition, j.member, _age_steps(j.age))
            for j in sections.judgements if j.age <= MAX_AGE_MS
        ]),
        (LOAD, [
            (host, min(round(load * 100), 255), _age_steps(age))
            for host, load, age in sections.loads if age <= MAX_AGE_MS
        ]),
    ):  # fmt: skip
        row_format = ROW_FORMATS[tag]
        fit = min(len(rows), MAX_ROWS, (max_bytes - len(out) - 2) // max(row_format.size, 1))
        if fit > 0:
            out += bytes((tag, fit))
            for row in rows[:fit]:
                out += row_format.pack(*row)
    return bytes(out)


def round_down_to_wire(amount: float) -> float:
    """The amount as it arrives, never more than was given."""
    (bits,) = struct.unpack(">I", struct.pack(">f", min(amount, MAX_AMOUNT)))
    (sent,) = struct.unpack(">f", bits.to_bytes(4, "big"))
    # Danger: rounded up on its way, a loan would be more than its lender gave; the number before it is not.
    return sent if sent <= amount else struct.unpack(">f", (bits - 1).to_bytes(4, "big"))[0]


def _age_steps(age_ms: float) -> int:
    # rounded up: nothing may look newer than it is
    return min(math.ceil(max(age_ms, 0.0) / AGE_STEP_MS), 255)


def decode(data: bytes, members: int) -> MessageSections:
    """Raises DatagramError; nothing of notes with any fault is taken."""
    sections, offset = MessageSections(), 0
    while offset < len(data):
        if offset + 2 > len(data):
            raise DatagramError("notes-cut-short")
        tag, count = data[offset], data[offset + 1]
        row_format, offset = ROW_FORMATS.get(tag), offset + 2
        if row_format is None or count > MAX_ROWS:
            raise DatagramError("unknown-notes")
        end = offset + row_format.size * count
        if end > len(data):
            raise DatagramError("notes-cut-short")
        rows = (
            [row_format.unpack_from(data, start) for start in range(offset, end, row_format.size)]
            if row_format.size
            else []
        )
        offset = end
        _add_section(sections, tag, rows, members)
    return sections


def _add_section(sections: MessageSections, tag: int, rows: list[tuple], members: int) -> None:
    if tag == FAILING:
        sections.majority_failing = True
    elif tag == COUNTER:
        sections.counters += [CounterValue(*row) for row in rows]
        if any(c.member >= members or not c.life for c in sections.counters):
            raise DatagramError("no-such-member")
    elif tag in (REQUEST, GRANT):
        # Danger: a number that is none, or is under 0, would take rights away or make them without end.
        if not all(0 <= amount <= MAX_AMOUNT for _, amount in rows):
            raise DatagramError("bad-amount")
        (sections.requests if tag == REQUEST else sections.grants).extend(rows)
    elif tag == LOAD:
        sections.loads += [(host, load / 100, age * AGE_STEP_MS) for host, load, age in rows]
    else:
        if any(condition > HostCondition.FULL or member >= members for _, condition, member, _ in rows):
            raise DatagramError("no-such-member")
        sections.judgements += [
            Judgement(host, HostCondition(condition), member, age * AGE_STEP_MS)
            for host, condition, member, age in rows
        ]
