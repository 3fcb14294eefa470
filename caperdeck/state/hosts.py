"""The hosts of the roster, known by uid; parallel arrays under the index given out at the first sight."""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable

from caperdeck.core.model import HostState, RosterEntry

from .addresses import Address, AddressError, parse_address
from .start_times import Start, StartTimes

MOST_COMPLAINTS = 5  # of one list; the rest is counted
STATES = {"Ready": HostState.RUNNING, "Terminating": HostState.DRAINING, "Gone": HostState.GONE}


class EntryError(ValueError):
    """A line of the roster that cannot be used; the message says why."""


class Hosts:
    def __init__(self, zones: dict[str, int]) -> None:
        self.zones = zones
        self.index: dict[str, int] = {}
        self.uid: list[str] = []
        self.address: list[Address | None] = []
        self.state: list[HostState] = []
        self.entry: list[RosterEntry | None] = []  # as last listed
        self.sent_away: list[float] = []  # when a client was last sent away by the host itself
        self.spoke_at: list[float] = []  # when anything last came from the host
        self.held: dict[int, None] = {}  # hosts held to drain though the list has not said so
        self.start_times = StartTimes()

    def running(self) -> int:
        return self.state.count(HostState.RUNNING)

    def listed(self) -> list[int]:
        return [h for h, state in enumerate(self.state) if state is not HostState.GONE]

    def take(
        self, now: float, whole: bool, rows: object, complain: Callable[[str], None]
    ) -> list[RosterEntry]:
        """The entries of one list or change; a row that is broken is complained of and left out."""
        entries = self._read(whole, rows, complain)
        self.start_times.hear(now, whole, {e.host: e.roster_start for e in entries})
        return [self._placed(e) for e in entries]

    def _placed(self, e: RosterEntry) -> RosterEntry:
        """With the host's start on the node's clock."""
        placed = self.entry[e.host] = e._replace(started_at=self.start_times.at(e.host, e.roster_start))
        return placed

    def _read(self, whole: bool, rows: object, complain: Callable[[str], None]) -> list[RosterEntry]:
        entries, broken = [], 0
        for row in rows if isinstance(rows, list) else []:
            try:
                entries.append(self._entry(row))
            except (EntryError, AddressError) as error:
                broken += 1
                if broken <= MOST_COMPLAINTS:
                    complain(str(error))
                # Danger: one row spoilt in the whole list would take its host, and all of it the fleet, away.
                if whole and (kept := self._kept(row)) is not None:
                    entries.append(kept)
        if broken > MOST_COMPLAINTS:
            complain(f"{broken - MOST_COMPLAINTS} more entries cannot be used")
        if whole:
            listed = {e.host for e in entries}
            for h in range(len(self.state)):
                if h not in listed:
                    self.state[h] = HostState.GONE
        return entries

    def _kept(self, row: object) -> RosterEntry | None:
        """The entry of a known host whose row is broken, in the state that it has."""
        uid = row.get("uid") if isinstance(row, dict) else None
        h = self.index.get(uid) if isinstance(uid, str) else None
        # Danger: a host that has left the list since was last listed as ready, and would be so again.
        return None if h is None else self.entry[h]._replace(state=self.state[h])

    def know(self, uid: str) -> int:
        """The host's index, given out at the first sight."""
        h = self.index.get(uid)
        if h is None:
            h = self.index[uid] = len(self.uid)
            self.uid.append(uid)
            self.address.append(None)
            self.state.append(HostState.GONE)
            self.entry.append(None)
            self.sent_away.append(-math.inf)
            self.spoke_at.append(-math.inf)
        return h

    def _entry(self, row: object) -> RosterEntry:
        if not isinstance(row, dict) or not isinstance(row.get("uid"), str) or not row["uid"]:
            raise EntryError(f"an entry needs a uid: {row!r:.200}")
        uid, state = row["uid"], row.get("state")
        if not isinstance(state, str) or state not in STATES:
            raise EntryError(f"host {uid} has the unknown state {state!r:.50}")
        size, cell, boot = (row.get(key) or 0 for key in ("capacity_hint", "pod_group", "boot_ms"))
        if not all(isinstance(x, (int, float)) for x in (size, cell, boot)) or size < 0:
            raise EntryError(f"host {uid} has a figure that is no number, or a size under 0")
        address = self._address(uid, row)
        h = self.know(uid)
        zone = row.get("az")
        zone = self.zones.get(zone, -1) if isinstance(zone, str) else -1
        mark = zlib.crc32(uid.encode())
        entry = RosterEntry(h, STATES[state], float(size), zone, int(cell), 0.0, mark, float(boot))
        self.address[h], self.state[h], self.entry[h] = address, entry.state, entry
        self.held.pop(h, None)
        return entry

    def rows(self) -> list[dict]:
        """The list as it holds now, in the form of discovery, with hosts that have left, and starts."""
        _, starts = self.starts()
        names, zones = {state: name for name, state in STATES.items()}, {i: z for z, i in self.zones.items()}
        return [
            {"uid": self.uid[e.host], "endpoint": "{}:{}".format(*self.address[e.host]),
             "state": names[e.state if e.host in self.held else self.state[e.host]], "az": zones.get(e.zone),
             "pod_group": e.cell, "capacity_hint": e.size, "boot_ms": e.roster_start,
             "sent_away": max(self.sent_away[e.host], 0.0), "start": starts.get(self.uid[e.host])}
            for e in self.entry if e is not None and self.address[e.host] is not None
        ]  # fmt: skip

    def starts(self) -> tuple[float, dict[str, tuple[float, float]]]:
        """What is known of starts, by uid, for another process of this node."""
        times = self.start_times
        # Danger: the encoder of packets takes plain tuples alone, and a packet that fails ends the link.
        return times.ahead, {self.uid[h]: tuple(start) for h, start in times.starts.items()}

    def take_starts(self, ahead: float, starts: dict[str, tuple[float, float]]) -> None:
        """The same at that process, before it takes the list in."""
        known = ((self.know(uid), Start(*start)) for uid, start in starts.items())
        self.start_times.take_over(ahead, known)

    def hold(self, since: float) -> list[RosterEntry]:
        """While discovery is silent: entries of the hosts that have sent clients away, as if they drained.

        Nothing if these are half of the hosts or more: clients that all come again are no drain.
        """
        new = [h for h, at in enumerate(self.sent_away) if at >= since and self.state[h] is HostState.RUNNING]
        if 2 * (len(new) + len(self.held)) >= self.running() + len(self.held):
            return []
        for h in new:
            self.state[h] = HostState.DRAINING
            self.held[h] = None
        return [self.entry[h]._replace(state=HostState.DRAINING) for h in new]

    def release(self) -> list[RosterEntry]:
        """Discovery speaks again: the list holds for the hosts that were held to drain."""
        held, self.held = self.held, {}
        for h in held:
            self.state[h] = self.entry[h].state
        return [self.entry[h] for h in held]

    def _address(self, uid: str, row: dict) -> Address | None:
        if STATES[row["state"]] is HostState.GONE:
            h = self.index.get(uid)
            return None if h is None else self.address[h]
        return parse_address(row.get("endpoint"))
