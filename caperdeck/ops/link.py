"""The link between two processes of one node: JSON packets, some with descriptors, over a Unix socket."""

from __future__ import annotations

import errno
import hashlib
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from contextlib import contextmanager, suppress
from typing import Any

import orjson
from loguru import logger
from twisted.internet.interfaces import IReadWriteDescriptor
from zope.interface import implementer

from caperdeck.state.errors import RETRY_DELAY_S, call_with_retries, is_transient
from caperdeck.state.timers import cancel

SOCKET_FILE = "caperdeck.sock"
MAX_PACKET_BYTES = 160 << 10
MAX_DESCRIPTORS = 4  # per packet
MAX_PACKETS_PER_READ = 64  # in one iteration of the reactor
MAX_PENDING_PACKETS = 4096  # more than a socket buffer holds
MAX_SOCKET_PATH_BYTES = 100  # what the kernel takes as the address of a Unix socket
NO_LISTENER_ERRNOS = (errno.ENOENT, errno.ECONNREFUSED)  # never bound, or its process has ended
LISTEN_BACKLOG = 4
DIGEST_HEX_DIGITS = 32
PEER_CREDENTIALS = struct.Struct("3i")  # SO_PEERCRED: process, user, group

Message = dict[str, Any]


class FolderAddress:
    """A socket file in a folder that both processes see. If its path is too long for an address, the folder
    is given by a descriptor.
    """

    def __init__(self, folder: str) -> None:
        self.folder = folder

    @contextmanager
    def path(self) -> Iterator[str]:
        if len(os.fsencode(os.path.join(self.folder, SOCKET_FILE))) + 12 <= MAX_SOCKET_PATH_BYTES:
            yield os.path.join(self.folder, SOCKET_FILE)
            return
        fd = os.open(self.folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            yield os.path.join(f"/proc/self/fd/{fd}", SOCKET_FILE)
        finally:
            os.close(fd)

    def connect(self, sock: socket.socket) -> None:
        with self.path() as path:
            sock.connect(path)

    def listen(self, sock: socket.socket) -> None:
        with self.path() as path:
            temporary = f"{path}.{os.getpid()}"
            # A killed process leaves its socket file behind, and a later one with its process ID could not
            # bind.
            if os.path.exists(temporary):
                os.unlink(temporary)
            sock.bind(temporary)
            os.chmod(temporary, 0o600)
            sock.listen(LISTEN_BACKLOG)
            os.rename(temporary, path)


class NodeAddress:
    """An abstract address made of the node's name and port: it needs no folder and ends with its process."""

    def __init__(self, identity: Sequence[str]) -> None:
        digest = hashlib.sha256("\n".join(identity).encode()).hexdigest()
        self.name = f"\0caperdeck-{digest[:DIGEST_HEX_DIGITS]}"

    def connect(self, sock: socket.socket) -> None:
        sock.connect(self.name)

    def listen(self, sock: socket.socket) -> None:
        sock.bind(self.name)
        sock.listen(LISTEN_BACKLOG)


UnixAddress = FolderAddress | NodeAddress


def connect_to_incumbent(addresses: Iterable[UnixAddress]) -> socket.socket | None:
    """A connection to the serving process, None if there is none.

    Blocks while the machine lacks resources; no client is served at this point.
    """
    for address in addresses:
        try:
            # If the serving process were taken for gone, both would serve without knowing of each other.
            return call_with_retries(lambda address=address: _connect(address), is_retryable=_is_transient)
        except OSError as error:
            # Most starts have no incumbent.
            level = "DEBUG" if error.errno in NO_LISTENER_ERRNOS else "WARNING"
            logger.log(level, "upgrade reason=no-incumbent at={} {}", type(address).__name__, error)
    return None


def _connect(address: UnixAddress) -> socket.socket:
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    try:
        sock.setblocking(False)
        address.connect(sock)
        if not _is_same_user(sock):
            raise PermissionError(errno.EPERM, "the process there is another user's")
    except OSError:
        sock.close()
        raise
    return sock


def _is_same_user(sock: socket.socket) -> bool:
    """Whether the other end is a process of this user; an abstract address has no permissions of its own."""
    try:
        data = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
    except OSError:
        return False
    _, user, _ = PEER_CREDENTIALS.unpack(data)
    return user == os.geteuid()


def _is_transient(error: BaseException) -> bool:
    """Whether resources of the machine, or room in a socket's queue, were lacking for a moment."""
    return is_transient(error) or getattr(error, "errno", 0) in (errno.EAGAIN, errno.ETOOMANYREFS)


@implementer(IReadWriteDescriptor)
class RendezvousSocket:
    """The listening Unix socket on which a successor finds the process that serves."""

    def __init__(
        self, reactor: Any, address: UnixAddress, on_connection: Callable[[socket.socket], None]
    ) -> None:
        """Raises OSError."""
        self.reactor, self.on_connection = reactor, on_connection
        self.retry_timer: Any = None  # until it accepts again
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
            self.retry_timer = self.reactor.callLater(RETRY_DELAY_S, self.reactor.addReader, self)
            return
        sock.setblocking(False)
        if _is_same_user(sock):
            self.on_connection(sock)
        else:
            sock.close()

    def doWrite(self) -> None:
        """Required by the interface; nothing is written to a listening socket."""

    def close(self) -> None:
        cancel(self.retry_timer)
        self.reactor.removeReader(self)
        self.sock.close()

    def connectionLost(self, reason: Any) -> None:
        self.sock.close()

    def logPrefix(self) -> str:
        return "doorbell"


def encode(message: Message) -> bytes:
    """The packet of a message. Named tuples are sent as lists: a value that the encoder does not know would
    end the link, and leave two processes that serve without knowing of each other.
    """
    return orjson.dumps(message, default=_plain)


def _plain(value: Any) -> Any:
    if isinstance(value, tuple):
        return list(value)
    raise TypeError(f"cannot be part of a message: {type(value).__name__}")


@implementer(IReadWriteDescriptor)
class UpgradeLink:
    """One end of the link. `on_message` and `on_closed` are set by its owner."""

    def __init__(self, reactor: Any, sock: socket.socket) -> None:
        self.reactor, self.sock = reactor, sock
        self.unsent: deque[tuple[bytes, Sequence[int]]] = deque()  # packets and their descriptors
        self.on_message: Callable[[Message, list[int]], None] = lambda message, fds: None
        self.on_closed: Callable[[], None] = lambda: None
        self.open = True
        self.writable = True  # False once a packet could not be sent
        self.retry_timer: Any = None  # until it writes again
        reactor.addReader(self)

    def fileno(self) -> int:
        return self.sock.fileno()

    def logPrefix(self) -> str:
        return "link"

    def send(self, message: Message, fds: Sequence[int] = ()) -> None:
        """Sends the message now, or as soon as the other side has room."""
        if self.open and self.writable:
            self.unsent.append((encode(message), fds))
            self.doWrite()

    def try_send(self, message: Message, fds: Sequence[int]) -> bool:
        """Sends the message now or not at all; False if the other side has no room."""
        data = encode(message)
        if not (self.open and self.writable) or self.unsent or len(data) > MAX_PACKET_BYTES:
            return False
        return self._write(data, fds)

    def _write(self, data: bytes, fds: Sequence[int]) -> bool:
        try:
            socket.send_fds(self.sock, [data], fds)
        except BlockingIOError:
            return False
        except OSError as error:
            # Closing the link for a passing lack of resources would leave two processes that serve without
            # knowing of each other.
            if _is_transient(error):
                self._write_later()
                return False
            self._end_writing(error)
            return False
        return True

    def _end_writing(self, error: OSError) -> None:
        """Sends nothing more; what the other side has sent is still read, up to the end of its stream."""
        # The other process may have ended with packets unread here, which hold the only descriptors of
        # established connections.
        logger.warning("link reason=broken {}", error.strerror)
        self.writable = False
        self.unsent.clear()
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    @property
    def _paused(self) -> bool:
        return self.retry_timer is not None and self.retry_timer.active()

    def _write_later(self) -> None:
        if not self._paused:
            self.retry_timer = self.reactor.callLater(RETRY_DELAY_S, self.doWrite)

    def doWrite(self) -> None:
        while self.open and self.unsent and not self._paused:
            if not self._write(*self.unsent[0]):
                break
            self.unsent.popleft()
        if self.open and self.unsent and not self._paused:
            self.reactor.addWriter(self)
        else:
            self.reactor.removeWriter(self)

    def doRead(self) -> None:
        self._read_packets(MAX_PACKETS_PER_READ)

    def read_pending(self) -> None:
        """Handles everything that the other side has sent so far, without waiting for the reactor."""
        self._read_packets(MAX_PENDING_PACKETS)

    def _read_packets(self, limit: int) -> None:
        for _ in range(limit):
            if not self.open:
                return
            try:
                data, fds, *_ = socket.recv_fds(self.sock, MAX_PACKET_BYTES, MAX_DESCRIPTORS)
            except OSError as error:
                if _is_transient(error):
                    return
                logger.warning("link reason=broken {}", error.strerror)
                if error.errno == errno.ECONNRESET:
                    continue  # the other process has ended with packets unread; its own can still be read
                data, fds = b"", []
            if not data:
                self.close()
                return
            try:
                message = orjson.loads(data)
                if not isinstance(message, dict):
                    raise ValueError("not a JSON object")
            except ValueError as error:
                logger.warning("link reason=bad-packet {}", error)
                for fd in fds:
                    os.close(fd)
                self.close()
                return
            self.on_message(message, list(fds))

    def close(self) -> None:
        if self.open:
            self.open = False
            cancel(self.retry_timer)
            self.reactor.removeReader(self)
            self.reactor.removeWriter(self)
            self.sock.close()
            self.on_closed()

    def connectionLost(self, reason: Any) -> None:
        self.close()
