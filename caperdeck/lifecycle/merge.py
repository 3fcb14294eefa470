"""Merges the document of a published version into a node's own configuration file.

The document has the structure of a node's file and may set what is the same on all nodes. Each key of
PUBLISHED_KEYS and PUBLISHED_SETTINGS_KEYS in it replaces the node's value as a whole; everything else stays
as the node's file has it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from caperdeck.distribution.document import Document

from .config import Config, ConfigError, decode

PUBLISHED_KEYS = frozenset(("discovery", "settings"))
PUBLISHED_SETTINGS_KEYS = frozenset((
    "fleetSize", "limits", "invariants", "listeners", "projects", "report", "prices", "specifics", "weights",
    "discovery",
))  # fmt: skip
PLACEHOLDER_CONFIG: dict[str, Any] = {  # the file that a document is checked with where there is no node
    "name": "check", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "0",
    "settings": {
        "fleetSize": 1, "limits": {"mostDials": 1},
        "invariants": {"coldFrom": 1.0, "warmAfter": 1.0, "fallMultiple": 1.0, "fall": 1.0},
        "listeners": [{"name": "check", "effect": "idempotent", "handshakeTarget": 1.0, "hardLimit": 1.0}],
    },
}  # fmt: skip


def check_document(document: Document) -> None:
    """Raises ConfigError, with the field and the reason, for a document that no node could use."""
    _decode_merged(PLACEHOLDER_CONFIG, document, None)


def apply_version(config: Config, document: Document) -> Config:
    """The node's configuration with the version's document merged in; `config` has the values of its file.

    Raises ConfigError, with the field and the reason, if this node cannot use the version.
    """
    if not document:
        return config
    new = _decode_merged(config.file_values, document, config.shared_folder)
    # The keys that the next file of the node must have are those of its own file, not those of a version.
    return replace(new, file_keys=config.file_keys, file_values=config.file_values)


def _decode_merged(file_values: dict[str, Any], document: Document, shared_folder: str | None) -> Config:
    merged = _merge(file_values, document)
    try:
        return decode(merged, shared_folder)
    except ConfigError as error:
        raise ConfigError(f"{_faulty_field(file_values, document, shared_folder)}: {error}") from None


def _merge(file_values: dict[str, Any], document: Document) -> dict[str, Any]:
    _check_keys(document, PUBLISHED_KEYS, "")
    settings = document.get("settings", {})
    if not isinstance(settings, dict):
        raise ConfigError("settings: no JSON object")
    _check_keys(settings, PUBLISHED_SETTINGS_KEYS, "settings.")
    return file_values | document | {"settings": file_values["settings"] | settings}


def _check_keys(table: Document, allowed: frozenset[str], where: str) -> None:
    if refused_keys := sorted(table.keys() - allowed):
        raise ConfigError(
            f"{where}{refused_keys[0]}: not for a version to set, it may set {', '.join(sorted(allowed))}"
        )


def _faulty_field(file_values: dict[str, Any], document: Document, shared_folder: str | None) -> str:
    """The first field of the document that is enough to make the node's configuration unusable."""
    entries = [{key: document[key]} for key in sorted(document.keys() - {"settings"})]
    settings = document.get("settings", {})
    entries += [{"settings": {key: settings[key]}} for key in sorted(settings)]
    for entry in entries:
        try:
            decode(_merge(file_values, entry), shared_folder)
        except ConfigError:
            (key, value) = next(iter(entry.items()))
            return f"settings.{next(iter(value))}" if key == "settings" else key
    return "document"
