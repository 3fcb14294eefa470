"""The files that nodes and instances of the rig are started with."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from caperdeck.gossip.sharing import SharingFeatures

CLUSTER = "lab"
LEASE_SPAN = 1500.0  # milliseconds


def write_node_file(folder: Path, node: str, config: dict[str, Any]) -> Path:
    path = folder / f"{node}.json"
    path.write_bytes(msgspec.json.encode(config))
    return path


def write_instance_file(
    folder: Path, name: str, listen: str, instances: dict[str, str], nodes: dict[str, str],
) -> Path:  # fmt: skip
    """Instances by number, nodes by name, at the addresses at which this one reaches them."""
    path = folder / f"{name}.toml"
    path.write_text(tomli_w.dumps({
        "cluster": CLUSTER, "me": int(name[1:]), "folder": str(folder / f"{name}-disk"),
        "listen": listen, "instances": instances, "span": LEASE_SPAN, "nodes": nodes,
    }))  # fmt: skip
    return path


def write_owners_file(folder: Path, node: str, instances: dict[str, str]) -> Path:
    """The instances whose owners a node obeys."""
    path = folder / f"{node}-owners.toml"
    path.write_text(tomli_w.dumps({"cluster": CLUSTER, "instances": instances}))
    return path


def write_sharing_file(folder: Path, uses: SharingFeatures) -> Path:
    """What nodes share, one file for all of them."""
    path = folder / "sharing.toml"
    path.write_text("".join(f"{name} = {str(on).lower()}\n" for name, on in uses._asdict().items()))
    return path
