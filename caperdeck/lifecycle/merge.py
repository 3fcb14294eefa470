"""A published version's document over a node's own file.

The document has the shape of a node's file and may set what is alike at all nodes. Each key of SHARED and of
SHARED_SETTINGS that it has takes the place of the node's own value, whole; all else stays the node's own.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from caperdeck.distribution.document import Document

from .config import Config, ConfigError, decode

SHARED = frozenset(("discovery", "settings"))
SHARED_SETTINGS = frozenset((
    "fleetSize", "limits", "invariants", "listeners", "projects", "report", "prices", "specifics", "weights",
    "discovery",
))  # fmt: skip
STAND_IN: dict[str, Any] = {  # a node's own file, for the check of a document where there is no node
    "name": "check", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "0",
    "settings": {
        "fleetSize": 1, "limits": {"mostDials": 1},
        "invariants": {"coldFrom": 1.0, "warmAfter": 1.0, "fallMultiple": 1.0, "fall": 1.0},
        "listeners": [{"name": "check", "effect": "idempotent", "handshakeTarget": 1.0, "hardLimit": 1.0}],
    },
}  # fmt: skip


def check_document(document: Document) -> None:
    """Raises ConfigError, with the field and the reason, for a document that no node could serve."""
    _decoded(STAND_IN, document, None)


def with_version(config: Config, document: Document) -> Config:
    """The configuration of this node under a version; `config` keeps its own file.

    Raises ConfigError, with the field and the reason, where this node cannot serve the version.
    """
    if not document:
        return config
    new = _decoded(config.own, document, config.scratch)
    # What a later file of the node has to have is told by its file, not by versions.
    return replace(new, keys=config.keys, own=config.own)


def _decoded(own: dict[str, Any], document: Document, scratch: str | None) -> Config:
    merged = _merged(own, document)
    try:
        return decode(merged, scratch)
    except ConfigError as error:
        raise ConfigError(f"{_faulty(own, document, scratch)}: {error}") from None


def _merged(own: dict[str, Any], document: Document) -> dict[str, Any]:
    _check_keys(document, SHARED, "")
    settings = document.get("settings", {})
    if not isinstance(settings, dict):
        raise ConfigError("settings: no JSON object")
    _check_keys(settings, SHARED_SETTINGS, "settings.")
    return own | document | {"settings": own["settings"] | settings}


def _check_keys(table: Document, shared: frozenset[str], where: str) -> None:
    if others := sorted(table.keys() - shared):
        raise ConfigError(
            f"{where}{others[0]}: not for a version to set, it may set {', '.join(sorted(shared))}"
        )


def _faulty(own: dict[str, Any], document: Document, scratch: str | None) -> str:
    """The field of the document that alone makes the node's file one that cannot be served."""
    parts = [{key: document[key]} for key in sorted(document.keys() - {"settings"})]
    settings = document.get("settings", {})
    parts += [{"settings": {key: settings[key]}} for key in sorted(settings)]
    for part in parts:
        try:
            decode(_merged(own, part), scratch)
        except ConfigError:
            (key, value) = next(iter(part.items()))
            return f"settings.{next(iter(value))}" if key == "settings" else key
    return "document"
