"""All that the instances agree on, as one state machine: who holds which work, and the configuration."""

from __future__ import annotations

from typing import Any

from caperdeck.distribution.table import VersionTable
from caperdeck.leases.table import Table

VERSIONS = "versions"  # key of a command for the versions; the command is its value


def for_versions(command: dict[str, Any]) -> dict[str, Any]:
    return {VERSIONS: command}


def is_for_leases(command: Any) -> bool:
    return not isinstance(command, dict) or VERSIONS not in command


class Agreed:
    """Each command goes to one of the two tables, by its key, and never to the other."""

    def __init__(self) -> None:
        self.leases = Table()
        self.versions = VersionTable()

    def apply(self, command: Any) -> dict[str, Any]:
        if is_for_leases(command):
            return self.leases.apply(command)
        if len(command) != 1:
            return {"no": "two-tables"}
        return self.versions.apply(command[VERSIONS])

    def dump(self) -> Any:
        leases = self.leases.dump()
        # Danger: an instance of before could not load the other form, and has nothing to lose by this one.
        if not self.versions.newest.revision:
            return leases
        return {"leases": leases, VERSIONS: self.versions.dump()}

    def load(self, state: Any) -> None:
        both = state is not None and VERSIONS in state
        self.leases.load(state["leases"] if both else state)
        self.versions.load(state[VERSIONS] if both else None)
