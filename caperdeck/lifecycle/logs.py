"""Log lines by loguru, one a line on standard error, never waiting for whoever reads them."""

from __future__ import annotations

import os
from collections import deque

from loguru import logger
from twisted.logger import LogLevel, formatEvent, globalLogPublisher
from twisted.python.failure import Failure

MOST_WAITING = 1 << 20  # bytes of lines that wait for a slow reader
FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {message}"


class Sink:
    """Writes what the descriptor takes at once; the rest waits, bounded, for the next line or flush."""

    def __init__(self, fd: int) -> None:
        self.fd = fd
        self.waiting: deque[bytes] = deque()
        self.size = 0
        self.dropped = 0

    def __call__(self, message: str) -> None:
        data = message.encode("utf-8", "replace")
        # Danger: a log that nobody reads would stall the node or fill its memory.
        if self.size + len(data) > MOST_WAITING:
            self.dropped += 1
            return
        self.waiting.append(data)
        self.size += len(data)
        self.flush()

    def flush(self) -> None:
        while self.waiting:
            data = self.waiting[0]
            try:
                sent = os.write(self.fd, data)
            except BlockingIOError:
                return
            except OSError:
                sent = len(data)  # nobody reads any more
            self.size -= sent
            if sent < len(data):
                self.waiting[0] = data[sent:]
                return
            self.waiting.popleft()
        if self.dropped:
            lost, self.dropped = self.dropped, 0
            logger.warning("log reason=lines-dropped lines={}", lost)


def start_logging(level: str) -> Sink:
    os.set_blocking(2, False)
    sink = Sink(2)
    logger.remove()
    logger.add(sink, format=FORMAT, level=level, colorize=False, backtrace=False, diagnose=False, catch=True)
    globalLogPublisher.addObserver(_from_twisted)
    return sink


def one_line(failure: Failure) -> str:
    return _joined(failure.getTraceback())


def _joined(text: str) -> str:
    return text.strip().replace("\n", " | ")


def _from_twisted(event: dict) -> None:
    """What the network library complains of, in one line."""
    failure = event.get("log_failure")
    if failure is not None:
        logger.error("internal reason=exception {}", one_line(failure))
    elif event.get("log_level") in (LogLevel.error, LogLevel.critical):
        # an exception in a reader or writer comes as text alone, and ends its connection
        logger.error("internal reason=exception {}", _joined(formatEvent(event)))
    elif event.get("log_level") is LogLevel.warn:
        logger.warning("internal reason=library {}", _joined(formatEvent(event)))
