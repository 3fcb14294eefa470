"""Makes some system calls of a process under test fail or transfer less than asked, as Linux documents it.

The failure rate is read from a file that both processes map, so a change takes effect at the next call. The
methods of `socket.socket` are replaced before the program is loaded.
"""

from __future__ import annotations

import errno
import mmap
import os
import random
import socket
import struct
from pathlib import Path
from typing import Any

ERROR_RATE = struct.Struct("d")  # the fraction of calls that fail
ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
UNIX_CONNECT_ERRORS = (errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM)
PACKET_SEND_ERRORS = (errno.ENOBUFS, errno.ENOMEM, errno.ETOOMANYREFS)
MIN_PARTIAL_BYTES = 1  # transferred by a partial read or write


class ErrorRate:
    """The controlling side of the failure rate of one process."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.path.write_bytes(ERROR_RATE.pack(0.0))

    def set(self, rate: float) -> None:
        with open(self.path, "r+b") as file:
            file.write(ERROR_RATE.pack(rate))


def inject_call_errors(path: str, seed: int) -> None:
    """Replaces socket calls by versions that fail or transfer less at the current rate."""
    with open(path, "rb") as file:
        shared_rate = mmap.mmap(file.fileno(), ERROR_RATE.size, access=mmap.ACCESS_READ)
    rng = random.Random(seed)

    def fails() -> bool:
        return rng.random() < ERROR_RATE.unpack_from(shared_rate)[0]

    def raise_one_of(numbers: tuple[int, ...]) -> None:
        error_number = rng.choice(numbers)
        raise OSError(error_number, os.strerror(error_number))

    def partial_size(size: int) -> int:
        return rng.randint(MIN_PARTIAL_BYTES, max(size, MIN_PARTIAL_BYTES))

    _replace_calls(fails, raise_one_of, partial_size, rng)


def _replace_calls(fails: Any, raise_one_of: Any, partial_size: Any, rng: random.Random) -> None:
    socket_type = socket.socket
    original_init, accept, connect, original_connect = (
        socket_type.__init__,
        socket_type.accept,
        socket_type.connect_ex,
        socket_type.connect,
    )
    send, recv, sendmsg = socket_type.send, socket_type.recv, socket_type.sendmsg

    def failing_init(self: Any, *arguments: Any, **named: Any) -> None:
        # A socket object around an open descriptor makes no system call.
        if named.get("fileno") is None and len(arguments) < 4 and fails():
            raise_one_of(SOCKET_ERRORS)
        original_init(self, *arguments, **named)

    def failing_accept(self: Any) -> Any:
        if fails():
            raise_one_of(ACCEPT_ERRORS)
        return accept(self)

    def failing_connect(self: Any, address: Any) -> int:
        return rng.choice(CONNECT_ERRORS) if fails() else connect(self, address)

    def failing_unix_connect(self: Any, address: Any) -> None:
        if self.family == socket.AF_UNIX and fails():
            raise_one_of(UNIX_CONNECT_ERRORS)
        original_connect(self, address)

    def short_send(self: Any, data: Any, *flags: int) -> int:
        return send(self, memoryview(data)[: partial_size(len(data))] if fails() else data, *flags)

    def short_recv(self: Any, size: int, *flags: int) -> bytes:
        return recv(self, partial_size(size) if fails() else size, *flags)

    def short_sendmsg(self: Any, pieces: Any, *rest: Any) -> int:
        if not fails():
            return sendmsg(self, pieces, *rest)
        if self.type == socket.SOCK_SEQPACKET:
            raise_one_of(PACKET_SEND_ERRORS)  # a packet is never sent in part
        data = b"".join(bytes(piece) for piece in pieces)
        return send(self, data[: partial_size(len(data))])

    socket_type.__init__, socket_type.accept, socket_type.connect_ex = (
        failing_init,
        failing_accept,
        failing_connect,
    )
    socket_type.connect = failing_unix_connect
    socket_type.send, socket_type.recv, socket_type.sendmsg = short_send, short_recv, short_sendmsg
