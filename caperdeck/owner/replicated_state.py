"""The replicated state machine of the instances: the lease table and the configuration versions."""

from __future__ import annotations

from typing import Any

from caperdeck.distribution.table import VersionTable
from caperdeck.leases.table import LeaseTable

VERSIONS = "versions"  # key of a command for the versions, whose value is the command itself


def wrap_versions_command(command: dict[str, Any]) -> dict[str, Any]:
    """Wraps a command for the configuration versions."""
    return {VERSIONS: command}


def is_lease_command(command: Any) -> bool:
    """Tells whether a command is for the lease table."""
    return not isinstance(command, dict) or VERSIONS not in command


class ReplicatedState:
    """Applies each command to one of the two tables, chosen by its key."""

    def __init__(self) -> None:
        self.leases = LeaseTable()
        self.versions = VersionTable()

    def apply(self, command: Any) -> dict[str, Any]:
        if is_lease_command(command):
            return self.leases.apply(command)
        if len(command) != 1:
            return {"no": "two-tables"}
        return self.versions.apply(command[VERSIONS])

    def dump(self) -> Any:
        leases = self.leases.dump()
        # An instance of an older version cannot load the other format. Without versions the old one is
        # complete.
        if not self.versions.newest.revision:
            return leases
        return {"leases": leases, VERSIONS: self.versions.dump()}

    def load(self, state: Any) -> None:
        both = state is not None and VERSIONS in state
        self.leases.load(state["leases"] if both else state)
        self.versions.load(state[VERSIONS] if both else None)
