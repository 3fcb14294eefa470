"""Logging through loguru: one line per message on standard error, without ever blocking on a slow reader."""

from __future__ import annotations

import os
from collections import deque

from loguru import logger
from twisted.logger import LogLevel, formatEvent, globalLogPublisher
from twisted.python.failure import Failure

MAX_PENDING_BYTES = 1 << 20  # of lines that a slow reader has not taken yet
FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"


class Sink:
    """Writes as much as the descriptor takes without blocking; the rest is kept, up to a limit, until the
    next line or flush.
    """

    def __init__(self, fd: int) -> None:
        self.fd = fd
        self.pending: deque[bytes] = deque()
        self.pending_bytes = 0
        self.dropped_lines = 0

    def __call__(self, message: str) -> None:
        data = message.encode("utf-8", "replace")
        # A log that nobody reads must neither block the node nor fill its memory.
        if self.pending_bytes + len(data) > MAX_PENDING_BYTES:
            self.dropped_lines += 1
            return
        self.pending.append(data)
        self.pending_bytes += len(data)
        self.flush()

    def flush(self) -> None:
        while self.pending:
            data = self.pending[0]
            try:
                written = os.write(self.fd, data)
            except BlockingIOError:
                return
            except OSError:
                written = len(data)  # the reader has gone: the line is dropped
            self.pending_bytes -= written
            if written < len(data):
                self.pending[0] = data[written:]
                return
            self.pending.popleft()
        if self.dropped_lines:
            dropped, self.dropped_lines = self.dropped_lines, 0
            logger.warning("log reason=lines-dropped lines={}", dropped)


def start_logging(level: str) -> Sink:
    """Sends the log, and Twisted's warnings and errors, to standard error."""
    os.set_blocking(2, False)
    sink = Sink(2)
    logger.remove()
    logger.add(sink, format=FORMAT, level=level, colorize=False, backtrace=False, diagnose=False, catch=True)
    globalLogPublisher.addObserver(_log_twisted_event)
    return sink


def traceback_line(failure: Failure) -> str:
    """The traceback of a failure in one line."""
    return _join_lines(failure.getTraceback())


def _join_lines(text: str) -> str:
    return text.strip().replace("\n", " | ")


def _log_twisted_event(event: dict) -> None:
    """Logs a warning or an error of Twisted in one line."""
    failure = event.get("log_failure")
    if failure is not None:
        logger.error("internal reason=exception {}", traceback_line(failure))
    elif event.get("log_level") in (LogLevel.error, LogLevel.critical):
        # Twisted reports an exception in a reader or writer as text only, and closes its connection.
        logger.error("internal reason=exception {}", _join_lines(formatEvent(event)))
    elif event.get("log_level") is LogLevel.warn:
        logger.warning("internal reason=library {}", _join_lines(formatEvent(event)))
