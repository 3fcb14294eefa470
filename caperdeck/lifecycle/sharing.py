"""What the node shares with its peers: the operator's file, the configured peers, the parts together."""

from __future__ import annotations

from typing import Any

from loguru import logger

from caperdeck.gossip.shared_decisions import Marked
from caperdeck.gossip.sharing import Sharing, Uses, life_from
from caperdeck.state.addresses import Address, AddressError, parse_address
from caperdeck.wire.session_handler import Desk
from caperdeck.wire.peers import PeerPort

from .config import ConfigError
from .toml import TomlError, read_toml

MOST_PEERS = 4096


def load_uses(path: str) -> Uses:
    """The operator's file: what is done with what is shared, each a yes or no. Raises ConfigError."""
    try:
        raw = read_toml(path)
    except TomlError as error:
        raise ConfigError(f"sharing {path}: {error}") from None
    for key, value in raw.items():
        if key not in Uses._fields:
            raise ConfigError(f"sharing {path}: unknown key {key}, known are {', '.join(Uses._fields)}")
        if not isinstance(value, bool):
            raise ConfigError(f"sharing {path}: {key} is neither true nor false: {value!r:.50}")
    return Uses(**raw)


class PeersError(ValueError):
    """The configuration's peers cannot be used; the text says why."""


def parse_peers(peers: Any, listen: Any, me: Any) -> tuple[list[Address], Address]:
    """The members in the order of their numbers, and the own address. Raises PeersError."""
    if not isinstance(peers, list) or not peers:
        raise PeersError("no peers are configured")
    if len(peers) > MOST_PEERS:
        raise PeersError(f"{len(peers)} peers, over {MOST_PEERS}")
    if isinstance(me, bool) or not isinstance(me, int) or not 0 <= me < len(peers):
        raise PeersError(f"settings.me is no number of a peer: {me!r:.50}")
    try:
        addresses = [parse_address(x) for x in peers]
        own = parse_address(listen)
    except AddressError as error:
        raise PeersError(str(error)) from None
    if addresses.count(addresses[me]) > 1:
        raise PeersError(f"this node's address {peers[me]:.50} stands twice among the peers")
    return addresses, own


def make_port(
    reactor: Any, desk: Desk, config: Any, uses: Uses,
) -> tuple[PeerPort, Address] | None:  # fmt: skip
    """The port, not open yet; None, and a line in the log, where the node has to go on alone."""
    raw = config.peers
    if not raw.allowed:
        logger.info("peers reason=not-allowed the settings allow no messages between nodes")
        return None
    try:
        addresses, own = parse_peers(raw.addresses, raw.listen, raw.me)
        everyone = parse_address(raw.everyone) if raw.everyone else None
    except (PeersError, AddressError) as error:
        # Danger: a list of peers that cannot be used must not keep a node from serving; it needs none.
        logger.warning("peers reason=unusable {}", error)
        return None
    now, shares = desk.clock(), desk.balancer.fleet_state
    sharing = Sharing(
        Marked(shares, uses, desk.report), raw.me, len(addresses), life_from(now), config.settings.seed, now,
        uses, raw.tiers,
    )  # fmt: skip
    return PeerPort(reactor, desk.clock, sharing, addresses, everyone, desk.age), own
