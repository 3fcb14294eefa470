"""Sections of a message between nodes: each has a tag, a number of rows, and the rows. All numbers are
big-endian.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field

from caperdeck.peers.codec import DatagramError

from .counters import CounterValue
from .judgements import HostCondition, Judgement

AGE_STEP_MS = 16.0  # resolution of ages on the wire
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
    """Decoded sections.

    Budgets are identified by stable ids of hosts, 0 is the room of all hosts; amounts are in milliseconds of
    work per second, ages in milliseconds.
    """

    counters: list[CounterValue] = field(default_factory=list)
    requests: list[tuple[int, float]] = field(default_factory=list)  # budget, limit
    grants: list[tuple[int, float]] = field(default_factory=list)  # budget, amount lent
    loads: list[tuple[int, float, float]] = field(default_factory=list)  # host, load ratio, age
    judgements: list[Judgement] = field(default_factory=list)
    majority_failing: bool = False


def encode(sections: MessageSections, max_bytes: int) -> bytes:
    """Encodes what fits into `max_bytes`: first the sections that move quota, then counters, judgements and
    loads.
    """
    encoded = bytearray()
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
        fit = min(len(rows), MAX_ROWS, (max_bytes - len(encoded) - 2) // max(row_format.size, 1))
        if fit > 0:
            encoded += bytes((tag, fit))
            for row in rows[:fit]:
                encoded += row_format.pack(*row)
    return bytes(encoded)


def round_down_to_wire(amount: float) -> float:
    """Returns the amount as it arrives, which is never more than was lent."""
    (bits,) = struct.unpack(">I", struct.pack(">f", min(amount, MAX_AMOUNT)))
    (sent,) = struct.unpack(">f", bits.to_bytes(4, "big"))
    # Rounding up would give the borrower more than the lender spent, so the next lower float is taken.
    return sent if sent <= amount else struct.unpack(">f", (bits - 1).to_bytes(4, "big"))[0]


def _age_steps(age_ms: float) -> int:
    # rounded up, so that nothing appears newer than it is
    return min(math.ceil(max(age_ms, 0.0) / AGE_STEP_MS), 255)


def decode(data: bytes, members: int) -> MessageSections:
    """Decodes sections; raises DatagramError and uses nothing of them if any part is invalid."""
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
        # NaN or a negative amount would take quota away or create it without limit.
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
