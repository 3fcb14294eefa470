"""Members of SWIM on a simulated network in virtual time, with what they send and compute counted.

Every member is the program's own Swim with its own codec; only sockets and clock are simulated.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from caperdeck.lab.events import Events
from caperdeck.peers import codec
from caperdeck.peers.codec import MemberState
from caperdeck.peers.swim import Send, Swim

from .errors import MeasuringError

SECOND = 1000.0  # milliseconds
DELAY = (1.0, 25.0)  # milliseconds that a datagram takes, uniformly distributed
LEAST_WAIT = 1.0  # milliseconds between two turns of a member, as the node's socket has it
SEED_BITS = 32  # of a member's own seed
FLEET_MARK = codec.fleet_id(0, ())  # its value changes no cost
CHECK_EVERY = SECOND / 2  # between two checks of a condition that is waited for
LONGEST_WAIT = 1800 * SECOND  # a condition that takes longer is an error


class SlowError(MeasuringError):
    """What is waited for has not come in LONGEST_WAIT."""


class Fleet(Events):
    """Members on a simulated network. `warm`: all know all from the start."""

    def __init__(self, members: int, seed: int, warm: bool) -> None:
        super().__init__()
        self.random = random.Random(seed)
        # Danger: with seeds in a row members draw alike, ping the same ones at once, and never ping some.
        seeds = [self.random.getrandbits(SEED_BITS) for _ in range(members)]
        self.members = [Swim(i, members, i + 1, seeds[i], self.now) for i in range(members)]
        self.killed: set[int] = set()
        self.region = 0  # members under this number are cut off from the others; 0 for no cut
        self.messages = self.bytes = self.spent = 0  # sent; nanoseconds in the protocol's code
        if warm:
            self._introduce()
        for number, swim in enumerate(self.members):
            self.at(swim.due, self._tick, number)

    def _introduce(self) -> None:
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
        self.spent += time.thread_time_ns() - started
        self.at(max(swim.due - self.now, LEAST_WAIT), self._tick, number)

    def _arrive(self, number: int, data: bytes) -> None:
        if number in self.killed:
            return
        swim = self.members[number]
        started = time.thread_time_ns()
        sends, _ = swim.receive(self.now, codec.decode(data, FLEET_MARK, len(self.members)))
        self._send(number, sends)
        self.spent += time.thread_time_ns() - started

    def _send(self, number: int, sends: list[Send]) -> None:
        for to, message in sends:
            data = codec.encode(message, FLEET_MARK)
            self.messages += 1
            self.bytes += len(data)
            if (number < self.region) == (to < self.region):
                self.at(self.random.uniform(*DELAY), self._arrive, to, data)

    @property
    def living(self) -> list[Swim]:
        return [swim for swim in self.members if swim.me not in self.killed]

    def wait_for(self, true: Callable[[], bool]) -> float:
        """Milliseconds until it is true, checked every CHECK_EVERY; raises SlowError."""
        began = self.now
        while not true():
            if self.now - began >= LONGEST_WAIT:
                raise SlowError(f"{len(self.members)} members: not in {LONGEST_WAIT / SECOND:g} s")
            self.run(CHECK_EVERY)
        return self.now - began
