"""Memory and processor time of all processes of a run, by role, as counted by the kernel."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from contextlib import suppress

import psutil

from .measured import NodeCost, Reading, RoleUse
from .plan import Sample

BYTES_PER_MB = float(1 << 20)
ROLE_RUN, ROLE_OTHER = "run", "other"


class ResourceMeter:
    """Reads this process and all its descendants; `roles` returns the role of each known process id."""

    def __init__(self, roles: Callable[[], dict[int, str]], started_at: float) -> None:
        self.roles, self.started_at = roles, started_at
        self.readings: list[Reading] = []

    def read(self) -> Reading:
        """Appends a reading of all processes and returns it."""
        roles, usage = self.roles() | {os.getpid(): ROLE_RUN}, {}
        this_process = psutil.Process()
        for process in [this_process, *this_process.children(recursive=True)]:
            # A process that ends during the reading uses no resources any more.
            with suppress(psutil.NoSuchProcess, psutil.ZombieProcess):
                self._add(usage, roles.get(process.pid, ROLE_OTHER), process)
        reading = Reading(time.monotonic() - self.started_at, usage, *machine_cpu_times())
        self.readings.append(reading)
        return reading

    def _add(self, usage: dict[str, RoleUse], role: str, process: psutil.Process) -> None:
        memory, cpu = process.memory_full_info(), process.cpu_times()
        use = usage.setdefault(role, RoleUse(0, 0.0, 0.0, 0.0))
        use.processes += 1
        use.cpu_s += cpu.user + cpu.system
        use.pss_mb += memory.pss / BYTES_PER_MB
        use.uss_mb += memory.uss / BYTES_PER_MB


def machine_cpu_times() -> tuple[float, float]:
    """Seconds of processor time since boot that the machine was busy, and that its hypervisor stole."""
    times = psutil.cpu_times()
    # The kernel includes guest time in user time already.
    idle = times.idle + times.iowait + times.guest + times.guest_nice
    return sum(times) - idle - times.steal, times.steal


def machine_cores_used(before: Reading, after: Reading) -> tuple[float, float]:
    """Cores of the machine that any process kept busy between two readings, and cores that were stolen."""
    span = max(after.at - before.at, 1e-9)
    busy = after.machine_cpu_s - before.machine_cpu_s
    return max(busy, 0.0) / span, max(after.stolen_s - before.stolen_s, 0.0) / span


def cores_by_role(before: Reading, after: Reading) -> dict[str, float]:
    """Cores that each role kept busy between two readings."""
    span = max(after.at - before.at, 1e-9)
    return {
        role: max(use.cpu_s - before.roles[role].cpu_s, 0.0) / span
        for role, use in after.roles.items() if role in before.roles
    }  # fmt: skip


def node_cost(
    before: list[tuple[float, Sample]], after: list[tuple[float, Sample]], uss_mb: float,
) -> NodeCost:  # fmt: skip
    """The mean cost of a stub node between two samples of each stub process.

    A sample comes with its time in seconds. `uss_mb` is the memory of all stub processes at the end.
    """
    cpu = bytes_s = datagrams = connections = seconds = 0.0
    nodes = 0
    for (began_at, old), (ended_at, new) in zip(before, after, strict=True):
        span, old_traffic, new_traffic = max(ended_at - began_at, 1e-9), old.traffic, new.traffic
        nodes, seconds = nodes + new.nodes, max(seconds, span)
        cpu += (new.cpu - old.cpu) / span
        bytes_s += (total_bytes(new_traffic) - total_bytes(old_traffic)) / span
        datagrams += (total_datagrams(new_traffic) - total_datagrams(old_traffic)) / span
        connections += (new_traffic.connections_in - old_traffic.connections_in) / span
    base_mb = sum(sample.base_uss for _, sample in after) / BYTES_PER_MB
    nodes = max(nodes, 1)
    return NodeCost(
        seconds, cpu / nodes, max(uss_mb - base_mb, 0.0) / nodes, bytes_s / nodes, datagrams / nodes,
        connections / nodes,
    )  # fmt: skip


def total_bytes(traffic) -> int:
    """Payload bytes of datagrams and streams, sent and received."""
    return (
        traffic.datagram_bytes_in + traffic.datagram_bytes_out
        + traffic.stream_bytes_in + traffic.stream_bytes_out
    )  # fmt: skip


def total_datagrams(traffic) -> int:
    """Datagrams sent and received."""
    return traffic.datagrams_in + traffic.datagrams_out
