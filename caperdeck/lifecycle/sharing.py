"""Sets up what the node shares with its peers: reads the operator's file and the configured peers, and builds
the port.
"""

from __future__ import annotations

from typing import Any

from loguru import logger

from caperdeck.gossip.shared_decisions import SharedIdDecisions
from caperdeck.gossip.sharing import Sharing, SharingFeatures, life_from
from caperdeck.state.addresses import Address, AddressError, parse_address
from caperdeck.wire.session_handler import SessionHandler
from caperdeck.wire.peers import PeerPort

from .config import ConfigError
from .toml import TomlError, read_toml

MAX_PEERS = 4096


def load_uses(path: str) -> SharingFeatures:
    """Reads the operator's file, which turns each use of the shared state on or off; raises ConfigError."""
    try:
        raw = read_toml(path)
    except TomlError as error:
        raise ConfigError(f"sharing {path}: {error}") from None
    for key, value in raw.items():
        if key not in SharingFeatures._fields:
            raise ConfigError(
                f"sharing {path}: unknown key {key}, known are {', '.join(SharingFeatures._fields)}"
            )
        if not isinstance(value, bool):
            raise ConfigError(f"sharing {path}: {key} is neither true nor false: {value!r:.50}")
    return SharingFeatures(**raw)


class PeersError(ValueError):
    """The configured peers cannot be used; the text says why."""


def parse_peers(peers: Any, listen: Any, node_number: Any) -> tuple[list[Address], Address]:
    """The peers' addresses, ordered by node number, and the address to listen on; raises PeersError."""
    if not isinstance(peers, list) or not peers:
        raise PeersError("no peers are configured")
    if len(peers) > MAX_PEERS:
        raise PeersError(f"{len(peers)} peers, over {MAX_PEERS}")
    if isinstance(node_number, bool) or not isinstance(node_number, int) or not 0 <= node_number < len(peers):
        raise PeersError(f"settings.me is not the number of a peer: {node_number!r:.50}")
    try:
        addresses = [parse_address(x) for x in peers]
        listen_address = parse_address(listen)
    except AddressError as error:
        raise PeersError(str(error)) from None
    if addresses.count(addresses[node_number]) > 1:
        raise PeersError(f"this node's address {peers[node_number]:.50} is listed twice among the peers")
    return addresses, listen_address


def create_peer_port(
    reactor: Any, handler: SessionHandler, config: Any, uses: SharingFeatures,
) -> tuple[PeerPort, Address] | None:  # fmt: skip
    """The port, not open yet, and its address; None, with a log line, if the node runs without peers."""
    configured = config.peers
    if not configured.allowed:
        logger.info("peers reason=not-allowed the settings allow no messages between nodes")
        return None
    try:
        addresses, listen_address = parse_peers(
            configured.addresses, configured.listen, configured.node_number
        )
        all_peers_address = (
            parse_address(configured.all_peers_address) if configured.all_peers_address else None
        )
    except (PeersError, AddressError) as error:
        # A node can serve without peers, so an unusable list of them must not keep it from serving.
        logger.warning("peers reason=unusable {}", error)
        return None
    now, shares = handler.clock(), handler.balancer.fleet_state
    sharing = Sharing(
        SharedIdDecisions(shares, uses, handler.report_event), configured.node_number, len(addresses),
        life_from(now), config.settings.seed, now, uses, configured.tiers,
    )  # fmt: skip
    return PeerPort(
        reactor, handler.clock, sharing, addresses, all_peers_address, handler.read_delay
    ), listen_address
