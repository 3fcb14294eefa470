"""Figures of running processes and of the kernel, read without any privilege."""

from __future__ import annotations

import ctypes
import resource
import time
from pathlib import Path

import psutil

KIB = 1024
PAGE = resource.getpagesize()
_libc = ctypes.CDLL(None, use_errno=True)


class ProcessError(RuntimeError):
    """A process has ended, or its figures cannot be read."""


def processor_seconds(pid: int) -> float:
    """User and system time of a process since its start, all threads.

    By the process's own clock (clock_getcpuclockid), in nanoseconds: the times that psutil gives come in
    ticks of 10 ms, as much as thousands of idle connections cost in a second.
    """
    clock = ctypes.c_int()
    if _libc.clock_getcpuclockid(pid, ctypes.byref(clock)) != 0:
        raise ProcessError(f"no processor clock of process {pid}")
    return time.clock_gettime(clock.value)


def unique_set_size(pid: int) -> int:
    """Bytes that the process would give back if it ended (unique set size)."""
    try:
        return psutil.Process(pid).memory_full_info().uss
    except psutil.Error as error:
        raise ProcessError(f"no memory figures of process {pid}: {error}") from None


def kernel_slab_bytes() -> int:
    """Bytes of the kernel's slabs on the whole machine, where sockets and open files are kept."""
    return _field("/proc/meminfo", "Slab:") * KIB


def socket_buffer_bytes() -> int:
    """Bytes charged for the buffers of all TCP sockets of the machine, sent and not yet read."""
    words = Path("/proc/net/sockstat").read_text(encoding="ascii").split("TCP:")[1].split()
    return int(words[words.index("mem") + 1]) * PAGE


def _field(path: str, name: str) -> int:
    for row in Path(path).read_text(encoding="ascii").splitlines():
        if row.startswith(name):
            return int(row.split()[1])
    raise ProcessError(f"{path} has no {name}")
