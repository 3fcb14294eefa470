"""The UDP port for datagrams between nodes; their contents are made and read by gossip.sharing."""

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

DROP_LOG_INTERVAL_MS = 1000.0  # dropped datagrams are logged at most this often


class PeerPort(DatagramProtocol):
    """Sends and receives datagrams, maps addresses to members and runs the timer of the sharing."""

    noisy = False

    def __init__(
        self, reactor: Any, clock: Callable[[], float], sharing: Sharing, addresses: list[Address],
        broadcast_address: Address | None = None, read_delay: Callable[[], float] = lambda: 0.0,
    ) -> None:  # fmt: skip
        self.reactor, self.clock, self.sharing = reactor, clock, sharing
        self.addresses, self.broadcast_address, self.read_delay = addresses, broadcast_address, read_delay
        # Members that share an address are ignored, as each could impersonate the other.
        counts = Counter(addresses)
        self.members = {a: i for i, a in enumerate(addresses) if counts[a] == 1}
        self.timer: Any = None
        self.port: Any = None
        self.logged_drops: dict[str, int] = {}
        self.logged_at = 0.0

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
        self._send(self.sharing.receive_datagram(now, data, self.members.get(address), self.read_delay()))
        self._log_drops(now)

    def _timer_fired(self) -> None:
        now = self.clock()
        self._send(self.sharing.tick(now))
        self._set_timer()
        self._log_drops(now)

    def _set_timer(self) -> None:
        wait = max(self.sharing.due - self.clock(), 1.0)
        self.timer = self.reactor.callLater(wait / MS, self._timer_fired)

    def _send(self, outgoing: list[tuple[int, bytes]]) -> None:
        for member, data in outgoing:
            if self.port is None:
                return
            try:
                for address in self._addresses_of(member):
                    self.transport.write(data, address)
            except OSError:
                # The kernel refuses datagrams to a peer that is down, or lacks buffer space for them.
                self.sharing.swim.drop("unsent")

    def _addresses_of(self, member: int) -> list[Address]:
        if member != EVERYONE:
            return [self.addresses[member]]
        if self.broadcast_address is not None:
            return [self.broadcast_address]
        return [a for i, a in enumerate(self.addresses) if i != self.sharing.swim.me]

    def _log_drops(self, now: float) -> None:
        dropped = self.sharing.swim.dropped
        if now - self.logged_at < DROP_LOG_INTERVAL_MS or dropped == self.logged_drops:
            return
        new = {name: count - self.logged_drops.get(name, 0) for name, count in sorted(dropped.items())}
        self.logged_drops, self.logged_at = dict(dropped), now
        logger.info("peers dropped {}", " ".join(f"{name}={n}" for name, n in new.items() if n))
