"""Processor time and memory of running processes and of the kernel, read without privileges."""

from __future__ import annotations

import ctypes
import resource
import time
from pathlib import Path

import psutil

KIB = 1024
PAGE_BYTES = resource.getpagesize()
_libc = ctypes.CDLL(None, use_errno=True)


class ProcessError(RuntimeError):
    """A process has ended, or its usage cannot be read."""


def processor_seconds(pid: int) -> float:
    """User and system time of a process since its start, over all threads.

    Reads the process's own clock (clock_getcpuclockid), in nanoseconds: the times that psutil gives come in
    ticks of 10 ms, as much as thousands of idle connections cost in a second.
    """
    clock = ctypes.c_int()
    if _libc.clock_getcpuclockid(pid, ctypes.byref(clock)) != 0:
        raise ProcessError(f"no processor clock of process {pid}")
    return time.clock_gettime(clock.value)


def unique_set_size(pid: int) -> int:
    """Bytes of memory that would be freed if the process ended."""
    try:
        return psutil.Process(pid).memory_full_info().uss
    except psutil.Error as error:
        raise ProcessError(f"cannot read the memory usage of process {pid}: {error}") from None


def kernel_slab_bytes() -> int:
    """Bytes of the kernel's slabs on the whole machine, which hold sockets and open files."""
    return _read_field("/proc/meminfo", "Slab:") * KIB


def socket_buffer_bytes() -> int:
    """Bytes charged for the buffers of all TCP sockets of the machine, sent and not yet read."""
    fields = Path("/proc/net/sockstat").read_text(encoding="ascii").split("TCP:")[1].split()
    return int(fields[fields.index("mem") + 1]) * PAGE_BYTES


def _read_field(path: str, name: str) -> int:
    for line in Path(path).read_text(encoding="ascii").splitlines():
        if line.startswith(name):
            return int(line.split()[1])
    raise ProcessError(f"{path} has no field {name}")
