"""The hosts that the node knows from discovery.

Each uid gets an index when it is first seen; the attributes of hosts are parallel lists under that index.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable

from caperdeck.core.model import HostState, RosterEntry

from .addresses import Address, AddressError, parse_address
from .start_times import Start, StartTimes

MAX_REPORTED_ERRORS = 5  # of one message of discovery; further ones are only counted
HOST_STATES = {"Ready": HostState.RUNNING, "Terminating": HostState.DRAINING, "Gone": HostState.GONE}


class EntryError(ValueError):
    """Raised for an unusable row of the roster; the message says what is wrong."""


class Hosts:
    def __init__(self, zones: dict[str, int]) -> None:
        self.zones = zones
        self.index_by_uid: dict[str, int] = {}
        self.uids: list[str] = []
        self.addresses: list[Address | None] = []
        self.states: list[HostState] = []
        self.entries: list[RosterEntry | None] = []  # as last listed
        self.redirected_at: list[float] = []  # when the host last redirected a client itself
        self.heard_at: list[float] = []  # when anything last came from the host
        self.presumed_draining: dict[int, None] = {}  # treated as draining, though listed as running
        self.start_times = StartTimes()

    def running_count(self) -> int:
        return self.states.count(HostState.RUNNING)

    def listed(self) -> list[int]:
        """Returns the indices of the hosts that are on the list."""
        return [host for host, state in enumerate(self.states) if state is not HostState.GONE]

    def update(
        self, now: float, whole: bool, rows: object, report_error: Callable[[str], None]
    ) -> list[RosterEntry]:
        """Applies a whole list or a change, reports unusable rows, and returns the entries."""
        entries = self._read_rows(whole, rows, report_error)
        self.start_times.observe(now, whole, {entry.host: entry.roster_start for entry in entries})
        return [self._with_start_time(entry) for entry in entries]

    def _with_start_time(self, entry: RosterEntry) -> RosterEntry:
        """Stores and returns the entry with the host's start on the node's clock."""
        placed = self.entries[entry.host] = entry._replace(
            started_at=self.start_times.node_time(entry.host, entry.roster_start)
        )
        return placed

    def _read_rows(self, whole: bool, rows: object, report_error: Callable[[str], None]) -> list[RosterEntry]:
        entries, errors = [], 0
        for row in rows if isinstance(rows, list) else []:
            try:
                entries.append(self._read_row(row))
            except (EntryError, AddressError) as error:
                errors += 1
                if errors <= MAX_REPORTED_ERRORS:
                    report_error(str(error))
                # A whole list removes the hosts that it lacks. If unusable rows counted as missing, one would
                # remove its host, and a list of nothing else the whole fleet.
                if whole and (known := self._known_entry(row)) is not None:
                    entries.append(known)
        if errors > MAX_REPORTED_ERRORS:
            report_error(f"{errors - MAX_REPORTED_ERRORS} more entries cannot be used")
        if whole:
            listed = {entry.host for entry in entries}
            for host in range(len(self.states)):
                if host not in listed:
                    self.states[host] = HostState.GONE
        return entries

    def _known_entry(self, row: object) -> RosterEntry | None:
        """Returns the last entry of the host whose row is unusable, with its present state."""
        uid = row.get("uid") if isinstance(row, dict) else None
        host = self.index_by_uid.get(uid) if isinstance(uid, str) else None
        # Not in the listed state: a host that has left the list since would be ready again.
        return None if host is None else self.entries[host]._replace(state=self.states[host])

    def index_of(self, uid: str) -> int:
        """Returns the host's index, and assigns one to a uid that is new."""
        host = self.index_by_uid.get(uid)
        if host is None:
            host = self.index_by_uid[uid] = len(self.uids)
            self.uids.append(uid)
            self.addresses.append(None)
            self.states.append(HostState.GONE)
            self.entries.append(None)
            self.redirected_at.append(-math.inf)
            self.heard_at.append(-math.inf)
        return host

    def _read_row(self, row: object) -> RosterEntry:
        if not isinstance(row, dict) or not isinstance(row.get("uid"), str) or not row["uid"]:
            raise EntryError(f"an entry needs a uid: {row!r:.200}")
        uid, state = row["uid"], row.get("state")
        if not isinstance(state, str) or state not in HOST_STATES:
            raise EntryError(f"host {uid} has the unknown state {state!r:.50}")
        size, cell, boot = (row.get(key) or 0 for key in ("capacity_hint", "pod_group", "boot_ms"))
        if not all(isinstance(x, (int, float)) for x in (size, cell, boot)) or size < 0:
            raise EntryError(f"host {uid} has a figure that is no number, or a size under 0")
        address = self._read_address(uid, row)
        host = self.index_of(uid)
        zone = row.get("az")
        zone = self.zones.get(zone, -1) if isinstance(zone, str) else -1
        stable_id = zlib.crc32(uid.encode())
        entry = RosterEntry(
            host, HOST_STATES[state], float(size), zone, int(cell), 0.0, stable_id, float(boot)
        )
        self.addresses[host], self.states[host], self.entries[host] = address, entry.state, entry
        self.presumed_draining.pop(host, None)
        return entry

    def export_rows(self) -> list[dict]:
        """Returns all known hosts in discovery's form, including those that have left, with their starts."""
        _, starts = self.export_starts()
        names, zones = (
            {state: name for name, state in HOST_STATES.items()},
            {i: z for z, i in self.zones.items()},
        )
        return [
            {"uid": self.uids[entry.host], "endpoint": "{}:{}".format(*self.addresses[entry.host]),
             "state": names[entry.state if entry.host in self.presumed_draining else self.states[entry.host]],
             "az": zones.get(entry.zone),
             "pod_group": entry.cell, "capacity_hint": entry.size, "boot_ms": entry.roster_start,
             "sent_away": max(self.redirected_at[entry.host], 0.0),
             "start": starts.get(self.uids[entry.host])}
            for entry in self.entries if entry is not None and self.addresses[entry.host] is not None
        ]  # fmt: skip

    def export_starts(self) -> tuple[float, dict[str, tuple[float, float]]]:
        """Returns the clock offset and the known starts by uid, for another process of this node."""
        times = self.start_times
        # Plain tuples: the encoder of packets takes no subclasses, and a packet that fails ends the link.
        return times.offset, {self.uids[host]: tuple(start) for host, start in times.starts.items()}

    def import_starts(self, offset: float, starts: dict[str, tuple[float, float]]) -> None:
        """Adopts what export_starts returned in the other process; call it before the list is taken in."""
        known = ((self.index_of(uid), Start(*start)) for uid, start in starts.items())
        self.start_times.take_over(offset, known)

    def presume_draining(self, since: float) -> list[RosterEntry]:
        """While discovery is silent, treats hosts that have redirected clients as draining.

        Returns their entries. If half of the hosts or more did so, none is: clients that all reconnect are
        not the sign of a drain.
        """
        new = [
            host for host, at in enumerate(self.redirected_at)
            if at >= since and self.states[host] is HostState.RUNNING
        ]  # fmt: skip
        if 2 * (len(new) + len(self.presumed_draining)) >= self.running_count() + len(self.presumed_draining):
            return []
        for host in new:
            self.states[host] = HostState.DRAINING
            self.presumed_draining[host] = None
        return [self.entries[host]._replace(state=HostState.DRAINING) for host in new]

    def end_presumption(self) -> list[RosterEntry]:
        """Restores the listed state of hosts that were presumed to drain, and returns their entries."""
        presumed, self.presumed_draining = self.presumed_draining, {}
        for host in presumed:
            self.states[host] = self.entries[host].state
        return [self.entries[host] for host in presumed]

    def _read_address(self, uid: str, row: dict) -> Address | None:
        if HOST_STATES[row["state"]] is HostState.GONE:
            host = self.index_by_uid.get(uid)
            return None if host is None else self.addresses[host]
        return parse_address(row.get("endpoint"))
