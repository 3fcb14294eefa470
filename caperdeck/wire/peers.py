"""Datagrams between nodes: a report that one has paid a probe for is told to all."""

from __future__ import annotations

from collections.abc import Callable

from loguru import logger
from twisted.internet.protocol import DatagramProtocol

from caperdeck.core.model import Report
from caperdeck.core.settings import MS
from caperdeck.core.tell import WordError, pack, unpack
from caperdeck.state.addresses import Address

LONGEST = 256  # bytes of a datagram
COMPLAIN_EVERY = 1000.0  # the log says so often at the most that a datagram was left out


class Peers(DatagramProtocol):
    def __init__(
        self, clock: Callable[[], float], peers: frozenset[Address], everyone: Address,
        heard: Callable[[int, Report], None],
    ) -> None:  # fmt: skip
        self.clock = clock
        self.peers = peers
        self.everyone = everyone
        self.heard = heard
        self.complained_at = -MS

    def tell(self, mark: int, report: Report) -> None:
        try:
            self.transport.write(pack(mark, report), self.everyone)
        except OSError:
            return  # a word that is lost costs the others a probe

    def datagramReceived(self, data: bytes, address: tuple[str, int]) -> None:
        # Danger: whoever can send a datagram could empty or fill any host on paper.
        if Address(*address) not in self.peers:
            self._complain("stranger", address)
            return
        try:
            mark, report = unpack(data[:LONGEST])
        except WordError as error:
            self._complain(str(error), address)
            return
        self.heard(mark, report)

    def _complain(self, reason: str, address: tuple[str, int]) -> None:
        # Danger: a flood of datagrams would become a flood of lines.
        if self.clock() - self.complained_at >= COMPLAIN_EVERY:
            self.complained_at = self.clock()
            logger.warning("peer reason={} from={}:{}", reason, *address)

    def connectionRefused(self) -> None:
        """A node that is away; nobody waits for its answer."""
