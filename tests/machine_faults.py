"""Faults of the machine with which a process under test can be started, by function name."""

import builtins
import errno
import math
import os
import socket
import time
from pathlib import Path

MOMENTARY_FAILURES = 10  # calls that fail before a momentary lack of resources ends


def plant(name):
    """Installs the fault of that name in this process."""
    FAULTS[name]()


def _failing(call, applies, number, times=math.inf):
    """Wraps a call so that it fails with this error number, so many times, where `applies` holds."""
    left = [times]

    def call_or_fail(*arguments, **named):
        if left[0] > 0 and applies(*arguments, **named):
            left[0] -= 1
            raise OSError(number, os.strerror(number))
        return call(*arguments, **named)

    return call_or_fail


def _creates_unix_socket(sock, family=-1, *_, **named):
    return family == socket.AF_UNIX and named.get("fileno") is None


def _is_unix(sock, *_):
    return sock.family == socket.AF_UNIX


def no_unix_socket_for_a_moment():
    kind = socket.socket
    kind.__init__ = _failing(kind.__init__, _creates_unix_socket, errno.ENFILE, MOMENTARY_FAILURES)


def no_unix_connect_for_a_moment():
    kind = socket.socket
    kind.connect = _failing(kind.connect, _is_unix, errno.ENOBUFS, MOMENTARY_FAILURES)


def no_unix_sockets():
    kind = socket.socket
    kind.__init__ = _failing(kind.__init__, _creates_unix_socket, errno.EAFNOSUPPORT)


def no_room_in_the_folder():
    """No file can be created or written in $TMPDIR."""
    folder, kind = os.environ.get("TMPDIR", "/nowhere"), socket.socket

    def writes(path, mode="r", *_, **__):
        return str(path).startswith(folder) and any(letter in mode for letter in "wax+")

    builtins.open = _failing(open, writes, errno.ENOSPC)
    kind.bind = _failing(
        kind.bind, lambda sock, path: _is_unix(sock) and not str(path).startswith("\0"), errno.ENOSPC
    )


def a_connect_that_waits():
    """The first connect of a Unix socket waits for `go` in $TMPDIR, and creates `waiting` there meanwhile."""
    folder, kind = Path(os.environ["TMPDIR"]), socket.socket
    connect = kind.connect

    def wait_and_connect(sock, address):
        if _is_unix(sock) and not (folder / "go").exists():
            (folder / "waiting").touch()
            while not (folder / "go").exists():
                time.sleep(0.005)
        return connect(sock, address)

    kind.connect = wait_and_connect


def a_link_that_fails_once():
    """Sending the first packet with descriptors of connections fails for lack of memory."""

    def sends_descriptors(sock, pieces, ancillary=(), *_):
        return bool(ancillary) and len(ancillary[0][2]) > 1

    kind = socket.socket
    kind.sendmsg = _failing(kind.sendmsg, sends_descriptors, errno.ENOBUFS, 1)


FAULTS = {
    fault.__name__: fault
    for fault in (
        no_unix_socket_for_a_moment, no_unix_connect_for_a_moment, no_unix_sockets, no_room_in_the_folder,
        a_connect_that_waits, a_link_that_fails_once,
    )
}  # fmt: skip
