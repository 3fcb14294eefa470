"""A connection's first line, parsed in place: fields are found in the line, which is never taken apart.

What goes on to a host is the client's own line around the one figure that changes, for a gathered write.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .lines import CRLF
from .report import MOST_LOAD


class RequestError(ValueError):
    """A first line that cannot be served; its text is the reason code."""


@dataclass(slots=True)
class Request:
    """A session that a client asks for."""

    line: bytes
    id: str
    listener: str
    wait_ms: float  # how long the client waits, in milliseconds
    wait_from: int  # where in the line that figure stands
    wait_to: int
    tenant: str | None = None
    group: str | None = None
    load: float | None = None
    resume_host: str | None = None

    def pieces(self, wait: int) -> list[bytes | memoryview]:
        """The line with another wait, in pieces that are written without joining them."""
        view = memoryview(self.line)
        return [view[: self.wait_from], b"%d" % wait, view[self.wait_to :], CRLF]


def parse_request(line: bytes) -> Request:
    """OPEN ID KEY NAME=VALUE,...; names not known are passed over."""
    id_end = line.find(b" ", 5)
    key_end = line.find(b" ", id_end + 1)
    if not line.startswith(b"OPEN ") or id_end < 6 or key_end < id_end + 2:
        raise RequestError("bad-line")
    found: dict[bytes, tuple[int, int]] = {}
    at, end = key_end + 1, len(line)
    while at < end:
        comma = line.find(b",", at)
        stop = end if comma < 0 else comma
        equals = line.find(b"=", at, stop)
        if equals <= at:
            raise RequestError("bad-line")
        found[line[at:equals]] = (equals + 1, stop)
        at = stop + 1

    def text(name: bytes) -> str | None:
        if name not in found:
            return None
        start, stop = found[name]
        return line[start:stop].decode("utf-8", "replace")

    wait, load, listener = _number(text(b"d")), _number(text(b"h")), text(b"c")
    if wait is None or listener is None or wait < 0 or not 0 <= (load or 0.0) < MOST_LOAD:
        raise RequestError("bad-line")
    start, stop = found[b"d"]
    name = line[5:id_end].decode("utf-8", "replace")
    return Request(line, name, listener, wait, start, stop, text(b"t"), text(b"g"), load, text(b"at"))


def _number(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        raise RequestError("bad-line") from None
    if not math.isfinite(value):
        raise RequestError("bad-line")
    return value
