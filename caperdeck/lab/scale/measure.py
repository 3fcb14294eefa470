"""Memory and processor time of all processes of a run, by role, as the kernel counts them."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from contextlib import suppress

import psutil

from .measured import NodeCost, Reading, RoleUse
from .plan import Sample

BYTES_PER_MB = float(1 << 20)
RUN, OTHER = "run", "other"


class Meter:
    """Reads this process and everything that it has started; `roles` gives the role of a process's id."""

    def __init__(self, roles: Callable[[], dict[int, str]], began: float) -> None:
        self.roles, self.began = roles, began
        self.readings: list[Reading] = []

    def read(self) -> Reading:
        roles, uses = self.roles() | {os.getpid(): RUN}, {}
        me = psutil.Process()
        for process in [me, *me.children(recursive=True)]:
            # one that ends meanwhile uses nothing any more
            with suppress(psutil.NoSuchProcess, psutil.ZombieProcess):
                self._add(uses, roles.get(process.pid, OTHER), process)
        reading = Reading(time.monotonic() - self.began, uses, *machine_times())
        self.readings.append(reading)
        return reading

    def _add(self, uses: dict[str, RoleUse], role: str, process: psutil.Process) -> None:
        memory, cpu = process.memory_full_info(), process.cpu_times()
        use = uses.setdefault(role, RoleUse(0, 0.0, 0.0, 0.0))
        use.processes += 1
        use.cpu_s += cpu.user + cpu.system
        use.pss_mb += memory.pss / BYTES_PER_MB
        use.uss_mb += memory.uss / BYTES_PER_MB


def machine_times() -> tuple[float, float]:
    """Seconds of processor time, since its start, that the machine spent and that its host kept from it."""
    times = psutil.cpu_times()
    # time of guests is within the user's already
    idle = times.idle + times.iowait + times.guest + times.guest_nice
    return sum(times) - idle - times.steal, times.steal


def machine_cores(before: Reading, after: Reading) -> tuple[float, float]:
    """Cores of the machine that were busy between two readings, whoever used them, and stolen ones."""
    span = max(after.at - before.at, 1e-9)
    busy = after.machine_cpu_s - before.machine_cpu_s
    return max(busy, 0.0) / span, max(after.stolen_s - before.stolen_s, 0.0) / span


def cores_used(before: Reading, after: Reading) -> dict[str, float]:
    """Cores that each role kept busy between two readings."""
    span = max(after.at - before.at, 1e-9)
    return {
        role: max(use.cpu_s - before.roles[role].cpu_s, 0.0) / span
        for role, use in after.roles.items() if role in before.roles
    }  # fmt: skip


def node_cost(
    before: list[tuple[float, Sample]], after: list[tuple[float, Sample]], uss_mb: float,
) -> NodeCost:  # fmt: skip
    """The mean hollow node between two samples of each process, with the time of each in seconds.

    `uss_mb` is the memory of all hollow processes at the end.
    """
    cpu = size = datagrams = connections = seconds = 0.0
    nodes = 0
    for (at, old), (until, new) in zip(before, after, strict=True):
        span, had, has = max(until - at, 1e-9), old.traffic, new.traffic
        nodes, seconds = nodes + new.nodes, max(seconds, span)
        cpu += (new.cpu - old.cpu) / span
        size += (bytes_of(has) - bytes_of(had)) / span
        datagrams += (datagrams_of(has) - datagrams_of(had)) / span
        connections += (has.connections_in - had.connections_in) / span
    base_mb = sum(sample.base_uss for _, sample in after) / BYTES_PER_MB
    nodes = max(nodes, 1)
    return NodeCost(
        seconds, cpu / nodes, max(uss_mb - base_mb, 0.0) / nodes, size / nodes, datagrams / nodes,
        connections / nodes,
    )  # fmt: skip


def bytes_of(traffic) -> int:
    return (
        traffic.datagram_bytes_in + traffic.datagram_bytes_out
        + traffic.stream_bytes_in + traffic.stream_bytes_out
    )  # fmt: skip


def datagrams_of(traffic) -> int:
    return traffic.datagrams_in + traffic.datagrams_out
