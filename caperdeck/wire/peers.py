"""Datagrams between nodes: the socket, the timer, who has which address. What is said is in the ledger."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any

from loguru import logger
from twisted.internet.protocol import DatagramProtocol

from caperdeck.core.settings import MS
from caperdeck.gossip.sharing import Sharing
from caperdeck.peers.swim import EVERYONE
from caperdeck.state.addresses import Address
from caperdeck.state.timers import cancel

SAY_EVERY = 1000.0  # the log names datagrams that were dropped so often at the most


class PeerPort(DatagramProtocol):
    noisy = False

    def __init__(
        self, reactor: Any, clock: Callable[[], float], sharing: Sharing, addresses: list[Address],
        everyone: Address | None = None, age: Callable[[], float] = lambda: 0.0,
    ) -> None:  # fmt: skip
        self.reactor, self.clock, self.sharing = reactor, clock, sharing
        self.addresses, self.everyone, self.age = addresses, everyone, age
        # Danger: two members with one address could speak for each other; neither is heard.
        times = Counter(addresses)
        self.members = {a: i for i, a in enumerate(addresses) if times[a] == 1}
        self.timer: Any = None
        self.port: Any = None
        self.said: dict[str, int] = {}
        self.said_at = 0.0

    def listen(self, address: Address) -> None:
        self.port = self.reactor.listenUDP(address.port, self, interface=address.host)
        self._set_timer()

    def stop(self) -> None:
        cancel(self.timer)
        if self.port is not None:
            self.port.stopListening()
            self.port = None

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        now = self.clock()
        self._send(self.sharing.receive_datagram(now, data, self.members.get(address), self.age()))
        self._say(now)

    def _timer_fired(self) -> None:
        now = self.clock()
        self._send(self.sharing.tick(now))
        self._set_timer()
        self._say(now)

    def _set_timer(self) -> None:
        wait = max(self.sharing.due - self.clock(), 1.0)
        self.timer = self.reactor.callLater(wait / MS, self._timer_fired)

    def _send(self, sends: list[tuple[int, bytes]]) -> None:
        for member, data in sends:
            if self.port is None:
                return
            try:
                for address in self._of(member):
                    self.transport.write(data, address)
            except OSError:
                # Danger: the kernel refuses what goes to a peer that is down, or has no room for it now.
                self.sharing.swim.drop("unsent")

    def _of(self, member: int) -> list[Address]:
        if member != EVERYONE:
            return [self.addresses[member]]
        if self.everyone is not None:
            return [self.everyone]
        return [a for i, a in enumerate(self.addresses) if i != self.sharing.swim.me]

    def _say(self, now: float) -> None:
        dropped = self.sharing.swim.dropped
        if now - self.said_at < SAY_EVERY or dropped == self.said:
            return
        new = {name: count - self.said.get(name, 0) for name, count in sorted(dropped.items())}
        self.said, self.said_at = dict(dropped), now
        logger.info("peers dropped {}", " ".join(f"{name}={n}" for name, n in new.items() if n))
