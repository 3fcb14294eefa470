"""Faults of its machine that a process under test is started with, by name."""

import builtins
import errno
import math
import os
import socket

MOMENT = 10  # calls that fail until the machine has what it lacked


def plant(name):
    FAULTS[name]()


def _failing(call, applies, number, times=math.inf):
    """The call, failing with that error so many times where it applies."""
    left = [times]

    def call_or_fail(*arguments, **named):
        if left[0] > 0 and applies(*arguments, **named):
            left[0] -= 1
            raise OSError(number, os.strerror(number))
        return call(*arguments, **named)

    return call_or_fail


def _asks_for_unix(sock, family=-1, *_, **named):
    return family == socket.AF_UNIX and named.get("fileno") is None


def _is_unix(sock, *_):
    return sock.family == socket.AF_UNIX


def no_unix_socket_for_a_moment():
    kind = socket.socket
    kind.__init__ = _failing(kind.__init__, _asks_for_unix, errno.ENFILE, MOMENT)


def no_unix_connect_for_a_moment():
    kind = socket.socket
    kind.connect = _failing(kind.connect, _is_unix, errno.ENOBUFS, MOMENT)


def no_unix_sockets():
    kind = socket.socket
    kind.__init__ = _failing(kind.__init__, _asks_for_unix, errno.EAFNOSUPPORT)


def no_room_in_the_folder():
    """Nothing can be created or written in $TMPDIR."""
    folder, kind = os.environ.get("TMPDIR", "/nowhere"), socket.socket

    def writes(path, mode="r", *_, **__):
        return str(path).startswith(folder) and any(letter in mode for letter in "wax+")

    builtins.open = _failing(open, writes, errno.ENOSPC)
    kind.bind = _failing(
        kind.bind, lambda sock, path: _is_unix(sock) and not str(path).startswith("\0"), errno.ENOSPC
    )


def a_link_that_fails_once():
    """The first packet with descriptors of connections fails as the machine lacks memory."""

    def hands_on(sock, pieces, ancillary=(), *_):
        return bool(ancillary) and len(ancillary[0][2]) > 1

    kind = socket.socket
    kind.sendmsg = _failing(kind.sendmsg, hands_on, errno.ENOBUFS, 1)


FAULTS = {
    each.__name__: each
    for each in (
        no_unix_socket_for_a_moment, no_unix_connect_for_a_moment, no_unix_sockets, no_room_in_the_folder,
        a_link_that_fails_once,
    )
}  # fmt: skip
