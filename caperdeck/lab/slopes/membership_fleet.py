"""SWIM members on a simulated network in virtual time, with counters of what they send and compute.

Every member runs the production `Swim` and codec; only sockets and the clock are simulated.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from caperdeck.lab.events import Events
from caperdeck.peers import codec
from caperdeck.peers.codec import MemberState
from caperdeck.peers.swim import Send, Swim

from .errors import MeasurementError

SECOND_MS = 1000.0
DATAGRAM_DELAY_MS = (1.0, 25.0)  # range of the uniform distribution
MIN_TICK_INTERVAL_MS = 1.0  # between two ticks of a member, as enforced by the node's peer socket
SEED_BITS = 32  # of each member's own seed
FLEET_ID = codec.fleet_id(0, ())  # its value does not affect any cost
CHECK_INTERVAL_MS = SECOND_MS / 2  # between two checks of a condition that is waited for
MAX_WAIT_MS = 1800 * SECOND_MS


class WaitTimeoutError(MeasurementError):
    """A condition was not met within MAX_WAIT_MS."""


class Fleet(Events):
    """Members on a simulated network. With `warm`, every member knows all others from the start."""

    def __init__(self, members: int, seed: int, warm: bool) -> None:
        super().__init__()
        self.random = random.Random(seed)
        # With consecutive seeds, members would draw alike: ping the same targets at the same time, and
        # some members never.
        seeds = [self.random.getrandbits(SEED_BITS) for _ in range(members)]
        self.members = [Swim(i, members, i + 1, seeds[i], self.now) for i in range(members)]
        self.killed: set[int] = set()
        self.cut_below = 0  # members with a lower number are cut off from the others; 0 for no cut
        # Datagrams and bytes sent, and processor time in the protocol's code.
        self.messages = self.bytes = self.spent_ns = 0
        if warm:
            self._fill_tables()
        for number, swim in enumerate(self.members):
            self.at(swim.due, self._tick, number)

    def _fill_tables(self) -> None:
        lives = [swim.life[swim.me] for swim in self.members]
        for swim in self.members:
            swim.state = [MemberState.ALIVE] * len(lives)
            swim.life = list(lives)
            swim.ever_heard = bytearray([1]) * len(lives)
            swim.heartbeats = [1] * len(lives)
            swim.heard_of_at = [self.now] * len(lives)

    def _tick(self, number: int) -> None:
        if number in self.killed:
            return
        swim = self.members[number]
        started = time.thread_time_ns()
        sends = swim.tick(self.now)
        self._send(number, sends)
        self.spent_ns += time.thread_time_ns() - started
        self.at(max(swim.due - self.now, MIN_TICK_INTERVAL_MS), self._tick, number)

    def _deliver(self, number: int, data: bytes) -> None:
        if number in self.killed:
            return
        swim = self.members[number]
        started = time.thread_time_ns()
        sends, _ = swim.receive(self.now, codec.decode(data, FLEET_ID, len(self.members)))
        self._send(number, sends)
        self.spent_ns += time.thread_time_ns() - started

    def _send(self, number: int, sends: list[Send]) -> None:
        for to, message in sends:
            data = codec.encode(message, FLEET_ID)
            self.messages += 1
            self.bytes += len(data)
            if (number < self.cut_below) == (to < self.cut_below):
                self.at(self.random.uniform(*DATAGRAM_DELAY_MS), self._deliver, to, data)

    @property
    def alive(self) -> list[Swim]:
        """The members that have not been killed."""
        return [swim for swim in self.members if swim.me not in self.killed]

    def wait_for(self, condition: Callable[[], bool]) -> float:
        """Runs until the condition holds, checked every CHECK_INTERVAL_MS, and returns the milliseconds.

        Raises WaitTimeoutError after MAX_WAIT_MS.
        """
        started_at = self.now
        while not condition():
            if self.now - started_at >= MAX_WAIT_MS:
                raise WaitTimeoutError(
                    f"{len(self.members)} members: condition not met in {MAX_WAIT_MS / SECOND_MS:g} s"
                )
            self.run(CHECK_INTERVAL_MS)
        return self.now - started_at
