"""Accounting of file descriptors, so that the node never runs out of them."""

from __future__ import annotations

import os

# For clients that connect only to be refused, for files, and for what libraries open.
RESERVED_DESCRIPTORS = 192
MAX_RESERVED_FRACTION = 0.25  # of the limit
# Kept for probe connections, however many hosts there are.
PROBE_DESCRIPTORS = 128
MAX_PROBE_FRACTION = 0.125  # of the limit
DESCRIPTORS_PER_SESSION = 2  # the client's connection and the host's


def open_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


class SocketBudget:
    """Counts the descriptors of sessions, clients and probes against the limit."""

    def __init__(self, limit: int, used: int) -> None:
        self.resize(limit)
        self.used = used  # open for other purposes, not counted below
        self.running_hosts = 0  # hosts that may be probed
        self.open_probes = 0  # probe connections
        self.client_connections = 0
        self.used_by_other_process = 0  # held by another process of this node during an upgrade
        self.session_count = 0  # each has a host connection, except the undialed ones
        self.undialed_sessions = 0  # established before this node started and not dialed again yet

    def resize(self, limit: int) -> None:
        """Applies a new limit of descriptors."""
        self.limit = limit
        self.reserve = min(RESERVED_DESCRIPTORS, int(limit * MAX_RESERVED_FRACTION))
        self.refusal_reserve = self.reserve // 2
        self.max_probes = min(PROBE_DESCRIPTORS, int(limit * MAX_PROBE_FRACTION))

    @property
    def probe_descriptors(self) -> int:
        """Descriptors kept for probes: those in use, and one for each running host up to a bound."""
        # Without the bound, thousands of hosts would leave no descriptors for clients.
        return max(min(self.running_hosts, self.max_probes), self.open_probes)

    @property
    def session_headroom(self) -> int:
        """How many more sessions may be opened."""
        for_sessions = (
            self.limit - self.reserve - self.used - self.used_by_other_process - self.probe_descriptors
        )
        return max(for_sessions // DESCRIPTORS_PER_SESSION - self.session_count, 0)

    @property
    def free_descriptors(self) -> int:
        """Descriptors that client and host connections may still take, including half of the reserve."""
        open_now = (
            self.used + self.used_by_other_process + self.probe_descriptors
            + self.client_connections + self.session_count - self.undialed_sessions
        )  # fmt: skip
        return max(self.limit - self.reserve + self.refusal_reserve - open_now, 0)

    @property
    def summary(self) -> str:
        """The use of descriptors and the headroom for sessions, as log fields."""
        used = self.used + self.used_by_other_process
        return (
            f"used={used} reserve={self.reserve} probes={self.probe_descriptors} room={self.session_headroom}"
        )

    def may_serve(self) -> bool:
        """Whether one more session may be opened."""
        return self.session_headroom > 0 and self.free_descriptors > 0

    def may_accept(self) -> bool:
        """Whether one more client connection may be accepted, if only to be refused from the reserve."""
        return self.acceptable_clients > 0

    @property
    def acceptable_clients(self) -> int:
        """How many client connections may be accepted before their first lines are read."""
        # Clients accepted up to the last descriptor would leave none for the connections to their hosts.
        return min(
            (self.free_descriptors + self.refusal_reserve) // DESCRIPTORS_PER_SESSION, self.free_descriptors
        )
