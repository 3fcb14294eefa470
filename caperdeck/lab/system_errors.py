"""System calls of a process under test that fail or fall short now and then, as Linux documents them.

How often lies in a file that both processes map, so a change takes effect at the next call. The calls are
those of `socket.socket`, put in place before the program is loaded.
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

RATE = struct.Struct("d")  # of all calls, the part that fails
ACCEPT = (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO)
CONNECT = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS)
SOCKET = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_UNIX = (errno.EAGAIN, errno.ENOBUFS, errno.ENOMEM)
SEND_PACKET = (errno.ENOBUFS, errno.ENOMEM, errno.ETOOMANYREFS)
LEAST_TAKEN = 1  # bytes of a read or write that falls short


class ErrorRate:
    """How often the calls of one process fail, as the process that decides on it holds it."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.path.write_bytes(RATE.pack(0.0))

    def set(self, rate: float) -> None:
        with open(self.path, "r+b") as file:
            file.write(RATE.pack(rate))


def inject_call_errors(path: str, seed: int) -> None:
    """Puts the failing calls in the place of the library's."""
    with open(path, "rb") as file:
        shared = mmap.mmap(file.fileno(), RATE.size, access=mmap.ACCESS_READ)
    draws = random.Random(seed)

    def fails() -> bool:
        return draws.random() < RATE.unpack_from(shared)[0]

    def raise_one_of(numbers: tuple[int, ...]) -> None:
        number = draws.choice(numbers)
        raise OSError(number, os.strerror(number))

    def short(size: int) -> int:
        return draws.randint(LEAST_TAKEN, max(size, LEAST_TAKEN))

    _replace_calls(fails, raise_one_of, short, draws)


def _replace_calls(fails: Any, raise_one_of: Any, short: Any, draws: random.Random) -> None:
    kind = socket.socket
    made, accept, connect, connect_now = kind.__init__, kind.accept, kind.connect_ex, kind.connect
    send, recv, sendmsg = kind.send, kind.recv, kind.sendmsg

    def failing_init(self: Any, *arguments: Any, **named: Any) -> None:
        # a socket around a descriptor that is open already makes no call
        if named.get("fileno") is None and len(arguments) < 4 and fails():
            raise_one_of(SOCKET)
        made(self, *arguments, **named)

    def failing_accept(self: Any) -> Any:
        if fails():
            raise_one_of(ACCEPT)
        return accept(self)

    def failing_connect(self: Any, address: Any) -> int:
        return draws.choice(CONNECT) if fails() else connect(self, address)

    def failing_unix_connect(self: Any, address: Any) -> None:
        if self.family == socket.AF_UNIX and fails():
            raise_one_of(CONNECT_UNIX)
        connect_now(self, address)

    def short_send(self: Any, data: Any, *flags: int) -> int:
        return send(self, memoryview(data)[: short(len(data))] if fails() else data, *flags)

    def short_recv(self: Any, size: int, *flags: int) -> bytes:
        return recv(self, short(size) if fails() else size, *flags)

    def short_sendmsg(self: Any, pieces: Any, *rest: Any) -> int:
        if not fails():
            return sendmsg(self, pieces, *rest)
        if self.type == socket.SOCK_SEQPACKET:
            raise_one_of(SEND_PACKET)  # a packet goes whole or not at all
        data = b"".join(bytes(piece) for piece in pieces)
        return send(self, data[: short(len(data))])

    kind.__init__, kind.accept, kind.connect_ex = failing_init, failing_accept, failing_connect
    kind.connect = failing_unix_connect
    kind.send, kind.recv, kind.sendmsg = short_send, short_recv, short_sendmsg
