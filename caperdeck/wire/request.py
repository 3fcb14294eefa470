"""The request line by which a client opens a session.

It is parsed in place: the line that goes on to a host is the client's own, except for the wait. It is sent in
one gathered write, without copying.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .lines import CRLF
from .report import MAX_SESSION_LOAD


class RequestError(ValueError):
    """Raised for a request line that cannot be served; its text is the reason code in the log."""


@dataclass(slots=True)
class Request:
    """A client's request for a session."""

    line: bytes
    id: str
    listener: str
    wait_ms: float  # how long the client waits for an answer
    wait_start: int  # position of the wait's digits in the line
    wait_end: int
    tenant: str | None = None
    group: str | None = None
    load: float | None = None  # seconds of work a second, as estimated by the client
    resume_host: str | None = None  # uid of the host on which the session was established before

    def buffers(self, wait_ms: int) -> list[bytes | memoryview]:
        """Returns the line with another wait, as buffers for a gathered write."""
        view = memoryview(self.line)
        return [view[: self.wait_start], b"%d" % wait_ms, view[self.wait_end :], CRLF]


def parse_request(line: bytes) -> Request:
    """Parses `OPEN ID KEY NAME=VALUE,...`; unknown names are ignored. Raises RequestError."""
    id_end = line.find(b" ", 5)
    key_end = line.find(b" ", id_end + 1)
    if not line.startswith(b"OPEN ") or id_end < 6 or key_end < id_end + 2:
        raise RequestError("bad-line")
    fields: dict[bytes, tuple[int, int]] = {}
    position, end = key_end + 1, len(line)
    while position < end:
        comma = line.find(b",", position)
        stop = end if comma < 0 else comma
        equals = line.find(b"=", position, stop)
        if equals <= position:
            raise RequestError("bad-line")
        fields[line[position:equals]] = (equals + 1, stop)
        position = stop + 1

    def text(name: bytes) -> str | None:
        if name not in fields:
            return None
        start, stop = fields[name]
        return line[start:stop].decode("utf-8", "replace")

    wait_ms, load, listener = _parse_float(text(b"d")), _parse_float(text(b"h")), text(b"c")
    if wait_ms is None or listener is None or wait_ms < 0 or not 0 <= (load or 0.0) < MAX_SESSION_LOAD:
        raise RequestError("bad-line")
    start, stop = fields[b"d"]
    name = line[5:id_end].decode("utf-8", "replace")
    return Request(line, name, listener, wait_ms, start, stop, text(b"t"), text(b"g"), load, text(b"at"))


def _parse_float(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        value = float(text)
    except ValueError:
        raise RequestError("bad-line") from None
    if not math.isfinite(value):
        raise RequestError("bad-line")
    return value
