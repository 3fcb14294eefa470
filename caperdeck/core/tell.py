"""What nodes tell one another of a host: its mark and its last report, in 8 bytes, or 10 with work piled up.

Bytes are paid for each node that gets them, so a word is as short as it can be.
"""

from __future__ import annotations

import struct

from .model import Report

SHORT, LONG = struct.Struct("<IHH"), struct.Struct("<IHHH")
NONE = 0xFFFF
FINE = 1000.0  # steps of a load of 1


class WordError(ValueError):
    """Bytes that are no word of a node; the text is the reason code."""


def pack(mark: int, report: Report) -> bytes:
    load, held = _figure(report.load, FINE), _figure(report.held, 1.0)
    if report.piled is None:
        return SHORT.pack(mark, load, held)
    return LONG.pack(mark, load, held, _figure(report.piled, 1.0))


def unpack(data: bytes) -> tuple[int, Report]:
    if len(data) == SHORT.size:
        (mark, load, held), piled = SHORT.unpack(data), NONE
    elif len(data) == LONG.size:
        mark, load, held, piled = LONG.unpack(data)
    else:
        raise WordError("bad-length")
    return mark, Report(_value(load, FINE), _value(piled, 1.0), _value(held, 1.0))


def _figure(value: float | None, fine: float) -> int:
    return NONE if value is None else min(max(round(value * fine), 0), NONE - 1)


def _value(figure: int, fine: float) -> float | None:
    return None if figure == NONE else figure / fine
