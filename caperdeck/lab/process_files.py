"""Writes the configuration files of the nodes and instances of a run."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import tomli_w

from caperdeck.gossip.sharing import SharingFeatures

CLUSTER = "lab"
LEASE_SPAN_MS = 1500.0


def write_node_file(folder: Path, node: str, config: dict[str, Any]) -> Path:
    path = folder / f"{node}.json"
    path.write_bytes(msgspec.json.encode(config))
    return path


def write_instance_file(
    folder: Path, name: str, listen: str, instances: dict[str, str], nodes: dict[str, str],
) -> Path:  # fmt: skip
    """Writes the file of an instance.

    `instances` by number and `nodes` by name have the addresses at which this instance reaches them.
    """
    path = folder / f"{name}.toml"
    path.write_text(tomli_w.dumps({
        "cluster": CLUSTER, "me": int(name[1:]), "folder": str(folder / f"{name}-disk"),
        "listen": listen, "instances": instances, "span": LEASE_SPAN_MS, "nodes": nodes,
    }))  # fmt: skip
    return path


def write_owners_file(folder: Path, node: str, instances: dict[str, str]) -> Path:
    """Writes the instances whose owners a node accepts actions from."""
    path = folder / f"{node}-owners.toml"
    path.write_text(tomli_w.dumps({"cluster": CLUSTER, "instances": instances}))
    return path


def write_sharing_file(folder: Path, features: SharingFeatures) -> Path:
    """Writes the sharing features, which are the same for all nodes."""
    path = folder / "sharing.toml"
    path.write_text("".join(f"{name} = {str(on).lower()}\n" for name, on in features._asdict().items()))
    return path
