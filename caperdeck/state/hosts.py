"""The hosts of the roster, known by uid; parallel arrays under the index given out at the first sight."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Sequence

from caperdeck.core.model import Entry, HostState

from .addresses import Address, AddressError, parse_address

STATES = {"Ready": HostState.RUNNING, "Terminating": HostState.DRAINING, "Gone": HostState.GONE}


class EntryError(ValueError):
    """A line of the roster that cannot be used; the message says why."""


class Hosts:
    def __init__(self, zones: Sequence[str]) -> None:
        self.zones = {name: i for i, name in enumerate(zones)}
        self.index: dict[str, int] = {}
        self.uid: list[str] = []
        self.address: list[Address | None] = []
        self.state: list[HostState] = []
        self.entry: list[Entry | None] = []  # as last listed
        self.drained: list[float] = []  # the start of the process that said itself that it drains

    def running(self) -> int:
        return sum(state is HostState.RUNNING for state in self.state)

    def take(self, whole: bool, rows: object, complain: Callable[[str], None]) -> list[Entry]:
        """The entries of one list or change; a row that is broken is complained of and left out."""
        entries = []
        for row in rows if isinstance(rows, list) else []:
            try:
                entries.append(self._entry(row))
            except (EntryError, AddressError) as error:
                complain(str(error))
        if whole:
            listed = {e.host for e in entries}
            for h in range(len(self.state)):
                if h not in listed:
                    self.state[h] = HostState.GONE
        return entries

    def _entry(self, row: object) -> Entry:
        if not isinstance(row, dict) or not isinstance(row.get("uid"), str) or not row["uid"]:
            raise EntryError(f"an entry needs a uid: {row!r:.200}")
        uid, state = row["uid"], row.get("state")
        if not isinstance(state, str) or state not in STATES:
            raise EntryError(f"host {uid} has the unknown state {state!r:.50}")
        size, cell, born = (row.get(key) or 0 for key in ("capacity_hint", "pod_group", "boot_ms"))
        if not all(isinstance(x, (int, float)) for x in (size, cell, born)) or size < 0:
            raise EntryError(f"host {uid} has a figure that is no number, or a size under 0")
        address = self._address(uid, row)
        h = self.index.get(uid)
        if h is None:
            h = self.index[uid] = len(self.uid)
            self.uid.append(uid)
            self.address.append(None)
            self.state.append(HostState.GONE)
            self.entry.append(None)
            self.drained.append(-1.0)
        zone = row.get("az")
        zone = self.zones.get(zone, -1) if isinstance(zone, str) else -1
        mark = zlib.crc32(uid.encode())
        entry = Entry(h, STATES[state], float(size), zone, int(cell), float(born), mark)
        # Danger: the list is seconds late, and would make ready again a host that has said that it drains.
        if entry.state is HostState.RUNNING and entry.born <= self.drained[h]:
            entry = entry._replace(state=HostState.DRAINING)
        self.address[h], self.state[h], self.entry[h] = address, entry.state, entry
        return entry

    def drains(self, h: int) -> Entry | None:
        """The host has said itself that it drains: its entry, changed, where the list did not know yet."""
        if self.state[h] is not HostState.RUNNING:
            return None
        entry = self.entry[h]._replace(state=HostState.DRAINING)
        self.state[h], self.entry[h], self.drained[h] = entry.state, entry, entry.born
        return entry

    def _address(self, uid: str, row: dict) -> Address | None:
        if STATES[row["state"]] is HostState.GONE:
            h = self.index.get(uid)
            return None if h is None else self.address[h]
        return parse_address(row.get("endpoint"))
