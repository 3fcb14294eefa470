"""How many descriptors the node may still open, so that it never runs out of them."""

from __future__ import annotations

import os

RESERVE = 192  # for clients that come at once and are turned away, for files and what libraries open
RESERVE_PART = 0.25  # and no more than this part of the limit
PROBES = 128  # connections for probes that descriptors are kept for, however many hosts there are
PROBES_PART = 0.25  # and no more than this part of the limit
DESCRIPTORS_A_SESSION = 2  # its client's side and its host's


def open_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


class SocketBudget:
    """Counts both sides of each session; probes and discovery have a part of their own."""

    def __init__(self, limit: int, used: int) -> None:
        self.resize(limit)
        self.used = used  # open before anything was counted here
        self.hosts = 0  # that run and may be probed
        self.probing = 0  # connections for probes that are open
        self.clients = 0
        self.elsewhere = 0  # held by another process of this node
        self.sessions = 0  # each has a host's side, from its first line on

    def resize(self, limit: int) -> None:
        self.limit = limit
        self.reserve = min(RESERVE, int(limit * RESERVE_PART))
        self.most_probes = min(PROBES, int(limit * PROBES_PART))

    @property
    def probes(self) -> int:
        """Descriptors that are kept for probes: those in use, and one for each host up to a bound."""
        # Danger: kept for each of thousands of hosts, they would leave none for clients.
        return max(min(self.hosts, self.most_probes), self.probing)

    @property
    def left(self) -> int:
        """Descriptors that sessions may still take."""
        held = self.used + self.elsewhere + self.probes + self.clients + self.sessions
        return self.limit - self.reserve - held

    @property
    def spoken_for(self) -> str:
        """What descriptors are used and kept for, and the sessions there is room for, as the log says it."""
        room = max(self.left // DESCRIPTORS_A_SESSION, 0)
        return f"used={self.used + self.elsewhere} reserve={self.reserve} probes={self.probes} room={room}"

    def may_serve(self) -> bool:
        return self.left > 0

    def may_accept(self) -> bool:
        """Whether one more client can be taken in, if only to be answered from the reserve."""
        return self.acceptable > 0

    @property
    def acceptable(self) -> int:
        """How many clients may be taken in at once; half of the reserve is for those that are turned away."""
        return max(self.left + self.reserve // 2, 0)
