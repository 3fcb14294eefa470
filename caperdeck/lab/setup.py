"""Builds the configuration of a node from a scenario, in the format of the platform."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from typing import Any

from .scenario import Scenario

UTILITY = 1.0


def node_config(
    scenario: Scenario, name: str, listen: str, discovery: str, life: int, seed: int,
    peers: Iterable[str] = (), peers_all: str = "", peer_listen: str = "",
    settings: dict[str, Any] | None = None, admin: str | None = None,
) -> dict[str, Any]:  # fmt: skip
    """The configuration of one node; its seed differs with each life."""
    clients, rules, hosts = scenario.clients, scenario.rules, scenario.hosts
    node_seed = zlib.crc32(f"{seed}/{name}/{life}".encode())
    limits = {
        "mostDials": 5, "mayProbe": True, "cancel": True, "retryAfter": True, "maxRetryAfter": 1.0,
        "dialTimeout": 0.25, "connIdle": 60.0, "peers": True,
    }  # fmt: skip
    invariants = {
        "coldFrom": hosts.cold_from, "warmAfter": hosts.warm_after / 1000,
        "fallMultiple": rules.fall_multiple, "fall": rules.fall / 1000,
        "drainGrace": rules.drain_grace / 1000, "graceToAnswer": 0.02,
    }  # fmt: skip
    listener = {
        "name": "live", "effect": clients.effect, "handshakeTarget": clients.target / 1000,
        "hardLimit": clients.wait / 1000, "utility": UTILITY, "group": "all", "memorySpan": 5.0,
    }  # fmt: skip
    return {
        "name": name, "listen": listen, "discovery": discovery, "seed": f"{node_seed:016x}",
        "limits": {"cores": 1.0, "memory_mb": 256, "sockets": scenario.sockets},
        "known": {"rev": 0, "all": True, "targets": []},
        **({"admin_addr": admin} if admin else {}),
        "peer_listen": peer_listen, "peers": list(peers), "peers_all": peers_all,
        "settings": {
            "fleetSize": scenario.nodes, "me": int(name[1:]),
            "dcs": scenario.zones, "locality": scenario.zone_of(name),
            "limits": limits, "invariants": invariants, "listeners": [listener],
            "projects": [{"name": "t"}], "weights": "live",
            "report": {"how": "pull", "names": ["util", "inflight", "x0"]},
            "prices": {"probe": 0.004, "peer": 0.01, "moves": 0.02},
        } | (settings or {}),
    }  # fmt: skip
