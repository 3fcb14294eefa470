"""The link between two processes of one node: packets of JSON, with descriptors, over a Unix socket."""

from __future__ import annotations

import errno
import hashlib
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import orjson
from loguru import logger
from twisted.internet.interfaces import IReadWriteDescriptor
from zope.interface import implementer

from caperdeck.state.errors import RETRY_DELAY_S, call_with_retries, is_transient
from caperdeck.state.timers import cancel

FILE = "caperdeck.sock"
LARGEST = 160 << 10  # bytes of a packet
MOST_FDS = 4  # descriptors beside one
AT_ONCE = 64  # packets read in one turn of the reactor
LONGEST_PATH = 100  # bytes that the kernel takes as the address of such a socket
NOBODY = (errno.ENOENT, errno.ECONNREFUSED)  # nothing was ever there, or its process has ended
QUEUE = 4  # connections that wait to be accepted
DIGEST_SHOWN = 32  # hexadecimal digits
CREDENTIALS = struct.Struct("3i")  # of SO_PEERCRED: process, user, group

Message = dict[str, Any]


class FolderAddress:
    """A socket's file in a folder that both processes see; a long folder is named by a descriptor."""

    def __init__(self, folder: str) -> None:
        self.folder = folder

    @contextmanager
    def path(self) -> Iterator[str]:
        if len(os.fsencode(os.path.join(self.folder, FILE))) + 12 <= LONGEST_PATH:
            yield os.path.join(self.folder, FILE)
            return
        fd = os.open(self.folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            yield os.path.join(f"/proc/self/fd/{fd}", FILE)
        finally:
            os.close(fd)

    def connect(self, sock: socket.socket) -> None:
        with self.path() as path:
            sock.connect(path)

    def listen(self, sock: socket.socket) -> None:
        with self.path() as path:
            beside = f"{path}.{os.getpid()}"
            # Danger: a process that was killed leaves its socket's file, on which nobody could bind again.
            if os.path.exists(beside):
                os.unlink(beside)
            sock.bind(beside)
            os.chmod(beside, 0o600)
            sock.listen(QUEUE)
            os.rename(beside, path)


class NodeAddress:
    """An address without a file, made of the node's name and port: it needs no folder, and ends with its
    process.
    """

    def __init__(self, identity: Sequence[str]) -> None:
        digest = hashlib.sha256("\n".join(identity).encode()).hexdigest()
        self.name = f"\0caperdeck-{digest[:DIGEST_SHOWN]}"

    def connect(self, sock: socket.socket) -> None:
        sock.connect(self.name)

    def listen(self, sock: socket.socket) -> None:
        sock.bind(self.name)
        sock.listen(QUEUE)


UnixAddress = FolderAddress | NodeAddress


def reach(addresses: Iterable[UnixAddress]) -> socket.socket | None:
    """A connection to the process that serves, None where there is none; waits while the machine lacks
    something, as nobody is served yet.
    """
    for address in addresses:
        try:
            # Danger: taken for gone, the process that serves would go on beside this one, each for itself.
            return call_with_retries(lambda address=address: _connected(address), is_retryable=_is_passing)
        except OSError as error:
            # a start with nobody before it is the usual one
            level = "DEBUG" if error.errno in NOBODY else "WARNING"
            logger.log(level, "upgrade reason=no-incumbent at={} {}", type(address).__name__, error)
    return None


def _connected(address: UnixAddress) -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.setblocking(False)
        address.connect(sock)
        if not _is_own(sock):
            raise PermissionError(errno.EPERM, "the process there is another user's")
    except OSError:
        sock.close()
        raise
    return sock


def _is_own(sock: socket.socket) -> bool:
    """Whether a process of this user has the other end; an address without a file has no permissions."""
    try:
        data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
    except OSError:
        return False
    _, user, _ = CREDENTIALS.unpack(data)
    return user == os.geteuid()


def _is_passing(error: BaseException) -> bool:
    """Whether the machine, or room in a queue, was lacking for a moment."""
    return is_transient(error) or getattr(error, "errno", 0) in (errno.EAGAIN, errno.ETOOMANYREFS)


@implementer(IReadWriteDescriptor)
class Doorbell:
    """The Unix socket on which a process that serves is found by its successor."""

    def __init__(self, reactor: Any, address: UnixAddress, rung: Callable[[socket.socket], None]) -> None:
        """Raises OSError."""
        self.reactor, self.rung = reactor, rung
        self.resuming: Any = None  # the timer after which it accepts again
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            self.sock.setblocking(False)
            address.listen(self.sock)
        except OSError:
            self.sock.close()
            raise
        reactor.addReader(self)

    def fileno(self) -> int:
        return self.sock.fileno()

    def doRead(self) -> None:
        try:
            sock, _ = self.sock.accept()
        except BlockingIOError:
            return
        except OSError:
            self.reactor.removeReader(self)
            self.resuming = self.reactor.callLater(RETRY_DELAY_S, self.reactor.addReader, self)
            return
        sock.setblocking(False)
        if _is_own(sock):
            self.rung(sock)
        else:
            sock.close()

    def doWrite(self) -> None:
        """Nothing is written to a socket that listens."""

    def close(self) -> None:
        cancel(self.resuming)
        self.reactor.removeReader(self)
        self.sock.close()

    def connectionLost(self, reason: Any) -> None:
        self.sock.close()

    def logPrefix(self) -> str:
        return "doorbell"


def encode(message: Message) -> bytes:
    """The packet of a message. A named tuple goes as a list: one part of the state that the encoder does not
    know must not end the link, and with it leave two processes that go on each for itself.
    """
    return orjson.dumps(message, default=_plain)


def _plain(value: Any) -> Any:
    if isinstance(value, tuple):
        return list(value)
    raise TypeError(f"no part of a message: {type(value).__name__}")


@implementer(IReadWriteDescriptor)
class Link:
    def __init__(self, reactor: Any, sock: socket.socket) -> None:
        self.reactor, self.sock = reactor, sock
        self.waiting: deque[tuple[bytes, Sequence[int]]] = deque()
        self.received: Callable[[Message, list[int]], None] = lambda message, fds: None
        self.broke: Callable[[], None] = lambda: None
        self.open = True
        self.resuming: Any = None  # the timer after which it writes again
        reactor.addReader(self)

    def fileno(self) -> int:
        return self.sock.fileno()

    def logPrefix(self) -> str:
        return "link"

    def send(self, message: Message, fds: Sequence[int] = ()) -> None:
        """Now, or as soon as the other side has room."""
        if self.open:
            self.waiting.append((encode(message), fds))
            self.doWrite()

    def offer(self, message: Message, fds: Sequence[int]) -> bool:
        """Now or not at all; False if the other side has no room."""
        data = encode(message)
        if not self.open or self.waiting or len(data) > LARGEST:
            return False
        return self._write(data, fds)

    def _write(self, data: bytes, fds: Sequence[int]) -> bool:
        try:
            socket.send_fds(self.sock, [data], fds)
        except BlockingIOError:
            return False
        except OSError as error:
            # Danger: a link that ends for a moment's lack leaves two processes that go on each for itself.
            if _is_passing(error):
                self._write_later()
                return False
            logger.warning("link reason=broken {}", error.strerror)
            self.reactor.callLater(0, self.close)
            return False
        return True

    @property
    def _pauses(self) -> bool:
        return self.resuming is not None and self.resuming.active()

    def _write_later(self) -> None:
        if not self._pauses:
            self.resuming = self.reactor.callLater(RETRY_DELAY_S, self.doWrite)

    def doWrite(self) -> None:
        while self.open and self.waiting and not self._pauses:
            if not self._write(*self.waiting[0]):
                break
            self.waiting.popleft()
        if self.open and self.waiting and not self._pauses:
            self.reactor.addWriter(self)
        else:
            self.reactor.removeWriter(self)

    def doRead(self) -> None:
        for _ in range(AT_ONCE):
            if not self.open:
                return
            try:
                data, fds, *_ = socket.recv_fds(self.sock, LARGEST, MOST_FDS)
            except OSError as error:
                if _is_passing(error):
                    return
                logger.warning("link reason=broken {}", error.strerror)
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
            cancel(self.resuming)
            self.reactor.removeReader(self)
            self.reactor.removeWriter(self)
            self.sock.close()
            self.broke()

    def connectionLost(self, reason: Any) -> None:
        self.close()
