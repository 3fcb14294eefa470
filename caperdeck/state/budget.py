"""How many descriptors the node may still open, so that it never runs out of them."""

from __future__ import annotations

import os

RESERVE = 192  # for clients that come at once and are turned away, for files and what libraries open
RESERVE_PART = 0.25  # and no more than this part of the limit
PROBES = 128  # connections for probes that descriptors are kept for, however many hosts there are
PROBES_PART = 0.125  # and no more than this part of the limit
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
        self.sessions = 0  # each has a host's side, from its first line on, but for those
        self.undialed = 0  # that stood before this node started and have yet to be dialed

    def resize(self, limit: int) -> None:
        self.limit = limit
        self.reserve = min(RESERVE, int(limit * RESERVE_PART))
        self.for_turned_away = self.reserve // 2
        self.most_probes = min(PROBES, int(limit * PROBES_PART))

    @property
    def probes(self) -> int:
        """Descriptors that are kept for probes: those in use, and one for each host up to a bound."""
        # Danger: kept for each of thousands of hosts, they would leave none for clients.
        return max(min(self.hosts, self.most_probes), self.probing)

    @property
    def room(self) -> int:
        """How many more sessions there may be."""
        for_sessions = self.limit - self.reserve - self.used - self.elsewhere - self.probes
        return max(for_sessions // DESCRIPTORS_A_SESSION - self.sessions, 0)

    @property
    def free(self) -> int:
        """Descriptors that clients and hosts' sides may still take, with half of the reserve."""
        open_now = self.used + self.elsewhere + self.probes + self.clients + self.sessions - self.undialed
        return max(self.limit - self.reserve + self.for_turned_away - open_now, 0)

    @property
    def spoken_for(self) -> str:
        """What descriptors are used and kept for, and the sessions there is room for, as the log says it."""
        used = self.used + self.elsewhere
        return f"used={used} reserve={self.reserve} probes={self.probes} room={self.room}"

    def may_serve(self) -> bool:
        return self.room > 0 and self.free > 0

    def may_accept(self) -> bool:
        """Whether one more client can be taken in, if only to be answered from the reserve."""
        return self.acceptable > 0

    @property
    def acceptable(self) -> int:
        """How many clients may be taken in before their first lines are read."""
        # Danger: let in together up to the last descriptor, they would leave none for their own hosts' sides.
        return min((self.free + self.for_turned_away) // DESCRIPTORS_A_SESSION, self.free)
