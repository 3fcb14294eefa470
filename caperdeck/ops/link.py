"""The link between two processes of one node: packets of JSON, with descriptors, over a Unix socket."""

from __future__ import annotations

import os
import socket
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any

import orjson
from loguru import logger
from twisted.internet.interfaces import IReadWriteDescriptor
from zope.interface import implementer

FILE = "caperdeck.sock"
LARGEST = 160 << 10  # bytes of a packet
MOST_FDS = 4  # descriptors beside one
AT_ONCE = 64  # packets read in one turn of the reactor
LONGEST_PATH = 100  # bytes that the kernel takes as the address of such a socket

Message = dict[str, Any]


class Path:
    """Where the socket lies; a long folder is named by a descriptor."""

    def __init__(self, folder: str) -> None:
        self.folder, self.fd = folder, -1
        if len(os.fsencode(os.path.join(folder, FILE))) + 12 > LONGEST_PATH:
            self.fd = os.open(folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
            self.folder = f"/proc/self/fd/{self.fd}"

    def __enter__(self) -> str:
        return os.path.join(self.folder, FILE)

    def __exit__(self, *_: object) -> None:
        if self.fd >= 0:
            os.close(self.fd)


def reach(folder: str) -> socket.socket | None:
    """A connection to the process that serves, None where there is none."""
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    except OSError as error:
        logger.info("upgrade reason=no-incumbent {}", error)
        return None
    sock.setblocking(False)
    try:
        with Path(folder) as path:
            sock.connect(path)
    except OSError as error:
        logger.info("upgrade reason=no-incumbent {}", error)
        sock.close()
        return None
    return sock


@implementer(IReadWriteDescriptor)
class Doorbell:
    """The Unix socket on which a process that serves is found by its successor."""

    def __init__(self, reactor: Any, folder: str, rung: Callable[[socket.socket], None]) -> None:
        self.reactor, self.rung = reactor, rung
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.sock.setblocking(False)
        with Path(folder) as path:
            beside = f"{path}.{os.getpid()}"
            # Danger: a process that was killed leaves its socket's file, on which nobody could bind again.
            if os.path.exists(beside):
                os.unlink(beside)
            self.sock.bind(beside)
            os.chmod(beside, 0o600)
            self.sock.listen(4)
            os.rename(beside, path)
        reactor.addReader(self)

    def fileno(self) -> int:
        return self.sock.fileno()

    def doRead(self) -> None:
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        self.rung(sock)

    def doWrite(self) -> None:
        """Nothing is written to a socket that listens."""

    def close(self) -> None:
        self.reactor.removeReader(self)
        self.sock.close()

    def connectionLost(self, reason: Any) -> None:
        self.sock.close()

    def logPrefix(self) -> str:
        return "doorbell"


@implementer(IReadWriteDescriptor)
class Link:
    def __init__(self, reactor: Any, sock: socket.socket) -> None:
        self.reactor, self.sock = reactor, sock
        self.waiting: deque[tuple[bytes, Sequence[int]]] = deque()
        self.received: Callable[[Message, list[int]], None] = lambda message, fds: None
        self.broke: Callable[[], None] = lambda: None
        self.open = True
        reactor.addReader(self)

    def fileno(self) -> int:
        return self.sock.fileno()

    def logPrefix(self) -> str:
        return "link"

    def send(self, message: Message, fds: Sequence[int] = ()) -> None:
        """Now, or as soon as the other side has room."""
        if self.open:
            self.waiting.append((orjson.dumps(message), fds))
            self.doWrite()

    def offer(self, message: Message, fds: Sequence[int]) -> bool:
        """Now or not at all; False if the other side has no room."""
        data = orjson.dumps(message)
        if not self.open or self.waiting or len(data) > LARGEST:
            return False
        return self._write(data, fds)

    def _write(self, data: bytes, fds: Sequence[int]) -> bool:
        try:
            socket.send_fds(self.sock, [data], fds)
        except BlockingIOError:
            return False
        except OSError as error:
            logger.warning("link reason=broken {}", error.strerror)
            self.reactor.callLater(0, self.close)
            return False
        return True

    def doWrite(self) -> None:
        while self.open and self.waiting:
            if not self._write(*self.waiting[0]):
                self.reactor.addWriter(self)
                return
            self.waiting.popleft()
        self.reactor.removeWriter(self)

    def doRead(self) -> None:
        for _ in range(AT_ONCE):
            if not self.open:
                return
            try:
                data, fds, *_ = socket.recv_fds(self.sock, LARGEST, MOST_FDS)
            except BlockingIOError:
                return
            except OSError:
                data, fds = b"", []
            if not data:
                self.close()
                return
            try:
                message = orjson.loads(data)
                if not isinstance(message, dict):
                    raise ValueError("no object")
            except ValueError as error:
                logger.warning("link reason=bad-packet {}", error)
                for fd in fds:
                    os.close(fd)
                self.close()
                return
            self.received(message, list(fds))

    def close(self) -> None:
        if self.open:
            self.open = False
            self.reactor.removeReader(self)
            self.reactor.removeWriter(self)
            self.sock.close()
            self.broke()

    def connectionLost(self, reason: Any) -> None:
        self.close()
