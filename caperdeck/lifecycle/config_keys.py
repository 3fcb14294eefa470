"""The keys of a configuration whose absence takes a default.

A new file that has lost such a key would silently change how the node decides, so a reload refuses it. Keys
that must be there are checked where they are decoded; keys that the node does not read may come and go.
"""

from __future__ import annotations

from typing import Any, NamedTuple

_TOP_LEVEL = ("name", "seed", "known", "peers", "peer_listen", "peers_all", "limits.sockets")
_SETTINGS = (
    "me", "dcs", "locality", "discovery", "tiers", "weights", "projects", "report.how", "report.names",
    "specifics.messageAim", "specifics.groups", "prices.crossZone", "limits.cancel", "limits.connIdle",
    "limits.dialTimeout", "limits.maxRetryAfter", "limits.mayProbe", "limits.peers", "limits.retryAfter",
    "invariants.askEvery", "invariants.drainGrace",
)  # fmt: skip
_DEFAULTED_PATHS = (*_TOP_LEVEL, *(f"settings.{path}" for path in _SETTINGS))
_DEFAULTED_CLASS_KEYS = frozenset(("group", "memorySpan", "utility"))


class FileKeys(NamedTuple):
    """The keys with a default that a file has."""

    paths: frozenset[str]
    by_class: dict[str, frozenset[str]]  # keys of the classes' rows, by the name of the class

    def lost(self, new: FileKeys) -> list[str]:
        """The keys that the new file lacks; the rows of a class that either file lacks are not compared."""
        lost = set(self.paths - new.paths)
        for name in self.by_class.keys() & new.by_class.keys():
            missing = self.by_class[name] - new.by_class[name]
            lost |= {f"settings.listeners[{name}].{key}" for key in missing}
        return sorted(lost)


def read_keys(raw: dict[str, Any]) -> FileKeys:
    """The keys of a file that has been decoded, so that its classes have names."""
    return FileKeys(
        frozenset(path for path in _DEFAULTED_PATHS if _has_path(raw, path)),
        {row["name"]: _DEFAULTED_CLASS_KEYS & row.keys() for row in raw["settings"]["listeners"]},
    )


def _has_path(table: Any, path: str) -> bool:
    for key in path.split("."):
        if not isinstance(table, dict) or key not in table:
            return False
        table = table[key]
    return True
