"""What a node keeps of each host, in parallel arrays indexed by host. Bookkeeping, no decisions.

Times are float milliseconds. Session loads are milliseconds of work a second; reported loads are load over
capacity.
"""

from __future__ import annotations

import math
from typing import Any

from .model import START_UNKNOWN, DialRecord, HostState, Outcome, RosterEntry, SessionState, Settings
from .quotas import HEADROOM_BUDGET, Quotas
from .warmup import warm_share

RELIEF_OUTCOMES = (Outcome.GOOD, Outcome.WITHDRAWN)  # the client or the host has ended the session


class HostTable:
    """The hosts of the roster, what is known of each, and this node's sessions on them.

    The base class of Node, whose public methods are its events; the methods here are for its use alone.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        # roster
        self.listed_state: list[HostState] = []  # as the roster gives it
        self.state: list[HostState] = []  # as it applies: a banned host counts as draining
        self.size: list[float] = []
        self.zone: list[int] = []
        self.cell: list[int] = []
        self.stable_id: list[int] = []  # the same at every node
        self.started_at: list[float] = []  # on this node's clock, 0 if long ago
        self.roster_start: list[float] = []  # the same start as the roster gives it
        self.banned_at: dict[int, float] = {}  # hosts banned by an operator, with the time of the ban
        self.readmitted: dict[int, float] = {}  # hosts that count as started when their ban was lifted
        # this node's sessions
        self.connections: list[int] = []  # dials in progress and established sessions
        self.total_connections = 0  # the same on all hosts together
        self.pending_dials: list[int] = []
        self.established: list[dict[int, SessionState]] = []  # established sessions by session index
        self.used_hosts: dict[int, None] = {}  # hosts with established sessions
        self.dial_counts: dict[tuple[int, float], int] = {}  # by host and its start as the roster gives it
        # this node's load that no report shows yet, with its times, and the sum of it
        self.unreported: list[list[tuple[float, float]]] = []
        self.unreported_total: list[float] = []
        self.unreported_hosts: dict[int, None] = {}
        self.quotas = Quotas()  # in load: of the fleet's headroom, and at h + 1 of cold host h
        self.slots_started: list[bool] = []  # this node's slots at a cold host have been set up for its start
        self.slots_handed_over = False  # another process of this node uses the slots
        # reports and health
        self.reported_load: list[float | None] = []  # load over capacity, as last probed
        self.reported_at: list[float] = []
        self.peer_load: list[float] = []  # load over capacity, as last probed by another node
        self.peer_load_at: list[float] = []
        self.fleet_connections: list[float | None] = []  # connections that the host holds for all nodes
        self.warm_capacity: list[float] = []  # load that fills the host once it is warm, 0 while unknown
        self.probed_at: list[float] = []  # last answer to a probe
        self.probe_waiters: list[list[int]] = []  # sessions that wait for the result of a probe
        self.probe_sent_at: list[float] = []  # 0 if no probe is in progress
        self.no_probe_until: list[float] = []  # after a failed probe
        self.accepted_at: list[float] = []  # when the host last accepted a session of this node
        self.backlog: list[float] = []  # milliseconds of waiting work, as last noted
        self.backlog_at: list[float] = []
        self.shed_at: list[float] = []  # when load was last moved off the host
        self.failure_score: list[float] = []  # failures, halved by each success
        self.ejected_until: list[float] = []
        # subsets of the hosts
        self.running: list[int] = []
        self.running_in_zone: list[int] = []
        self.cold: list[int] = []  # running hosts that were cold at the last tick
        self.total_size = 0.0  # of the running hosts
        self.group_order: dict[int, list[int]] = {}  # first hosts in the order computed for a group

    # ---- roster

    def _add_host(self, now: float, host: int) -> None:
        """Extends the arrays up to this host, about which nothing is known."""
        while len(self.listed_state) <= host:
            self._append_defaults()
            self.quotas.add_budget(now, len(self.listed_state))

    def _append_defaults(self) -> None:
        defaults: tuple[tuple[list[Any], Any], ...] = (
            (self.listed_state, HostState.GONE), (self.size, 1.0), (self.zone, 0), (self.cell, 0),
            (self.stable_id, 0), (self.started_at, 0.0), (self.roster_start, 0.0),
            (self.connections, 0), (self.pending_dials, 0),
            (self.established, {}), (self.unreported, []), (self.unreported_total, 0.0),
            (self.backlog, 0.0), (self.backlog_at, -math.inf),
            (self.reported_load, None), (self.reported_at, -math.inf), (self.probed_at, -math.inf),
            (self.probe_sent_at, 0.0), (self.shed_at, -math.inf), (self.failure_score, 0.0),
            (self.ejected_until, 0.0), (self.probe_waiters, []), (self.fleet_connections, None),
            (self.no_probe_until, 0.0), (self.warm_capacity, 0.0),
            (self.peer_load, 0.0), (self.peer_load_at, -math.inf), (self.slots_started, False),
            (self.accepted_at, -math.inf),
        )  # fmt: skip
        for array, default in defaults:
            array.append(default)

    def _apply_entry(self, now: float, entry: RosterEntry) -> None:
        """Records a roster entry; a process that has restarted counts as another host."""
        host = entry.host
        self._add_host(now, host)
        if entry.state is HostState.RUNNING and (
            self.listed_state[host] is HostState.GONE or entry.roster_start > self.roster_start[host]
        ):
            self._forget_host(now, host)
        # a listed size that is lowered by what the host holds says little about the host's own size
        self.size[host] = entry.size or 1.0 if self.settings.sizes_are_nominal else 1.0
        self.listed_state[host], self.zone[host], self.cell[host], self.stable_id[host] = (
            entry.state, entry.zone, entry.cell, entry.stable_id,
        )  # fmt: skip
        if entry.roster_start >= self.roster_start[host]:
            self.roster_start[host], self.started_at[host] = (
                entry.roster_start, max(entry.started_at, self.readmitted.get(host, 0.0)),
            )  # fmt: skip

    def _drop_unlisted(self, entries: list[RosterEntry]) -> None:
        """Marks the hosts that a complete roster does not list as gone."""
        for host in set(range(len(self.state))).difference(entry.host for entry in entries):
            self.listed_state[host] = HostState.GONE

    def _apply_ban(self, now: float, host: int, banned: bool) -> None:
        """Records that an operator has banned the host, or has lifted its ban."""
        self._add_host(now, host)
        since = self.banned_at.pop(host, None)
        if banned:
            self.banned_at[host] = now if since is None else since
        elif since is not None:
            # It may have been restarted meanwhile, and the roster may report that late, so it counts as cold.
            if self.started_at[host] <= since:
                self.started_at[host] = self.readmitted[host] = now
            self._forget_host(now, host)

    def _forget_host(self, now: float, host: int) -> None:
        """Discards what was learned of the host, as it does not hold for a restarted process."""
        self.reported_load[host], self.failure_score[host], self.ejected_until[host] = None, 0.0, 0.0
        self.probed_at[host], self.probe_sent_at[host], self.no_probe_until[host] = -math.inf, 0.0, 0.0
        self.peer_load_at[host] = self.accepted_at[host] = -math.inf
        self.quotas.clear(now, host + 1)
        self.slots_started[host] = False

    def _refresh_subsets(self, now: float) -> None:
        """Recomputes applying states and subsets, after a change of the roster, the bans or the settings."""
        self.state = list(self.listed_state)
        for host in self.banned_at:
            self.state[host] = max(self.state[host], HostState.DRAINING)
        running = [host for host, state in enumerate(self.state) if state is HostState.RUNNING]
        zone, own_zone = self.zone, self.settings.zone
        self.running_in_zone = [host for host in running if zone[host] == own_zone]
        self.cold = self._cold_among(now, running)
        if running != self.running:
            self.running, self.group_order, self.total_size = (
                running, {}, sum(self.size[host] for host in running),
            )  # fmt: skip

    def _cold_among(self, now: float, hosts: list[int]) -> list[int]:
        """Those of the hosts that are not warm yet."""
        if self.settings.cold_from >= 1:
            return []
        started_at, since = self.started_at, now - self.settings.warm_after
        return [host for host in hosts if started_at[host] > since and started_at[host] != START_UNKNOWN]

    def _is_cold(self, now: float, host: int) -> bool:
        return self._warm_share(now, host) < 1

    def _warm_share(self, now: float, host: int) -> float:
        """The share of its capacity that a host has now at least."""
        if self.started_at[host] == START_UNKNOWN:
            return 1.0
        return warm_share(now - self.started_at[host], self.settings.cold_from, self.settings.warm_after)

    def _dedup_group(self, session: SessionState, host: int) -> int:
        """The group of hosts that drop repeats of what this host has run, per the current roster."""
        return (0, self.zone[host], self.cell[host])[session.listener.scope]

    # ---- this node's sessions

    def _record_dial(self, now: float, session: SessionState, host: int, load: float) -> None:
        """Records a dial of the session to the host, with the load that it is expected to bring."""
        self.dial_counts[host, self.roster_start[host]] = (
            self.dial_counts.get((host, self.roster_start[host]), 0) + 1
        )
        session.dials.append(
            DialRecord(host, now, self.started_at[host], self._dedup_group(session, host), load)
        )
        self._add_unreported(now, host, load)
        session.has_host = True
        self._count_connections(host, 1)
        self.pending_dials[host] += 1

    def _count_connections(self, host: int, change: int) -> None:
        self.connections[host] += change
        self.total_connections += change

    def _record_established(self, session: SessionState, since: float) -> None:
        """Records that the session's last dial has led to an established session."""
        host = session.dials[-1].host
        (
            session.established_at, session.has_host, session.answered,
            self.established[host][session.id], self.used_hosts[host],
        ) = since, True, True, session, None  # fmt: skip

    def _add_unreported(self, now: float, host: int, load: float) -> None:
        """Adds load sent to the host, or moved off it if negative, that no report shows yet."""
        self.unreported[host].append((now, load))
        self.unreported_hosts[host] = None
        self.unreported_total[host] += load

    def _take_load_back(
        self, now: float, session: SessionState, result: Outcome, headroom_cap: float
    ) -> None:
        """Takes back the load of the session's last dial if it has gone before a report shows it."""
        dial = session.dials[-1]
        on_time = session.established_at is not None or now - dial.sent_at < session.listener.handshake_target
        # What a host that fails or is late was sent may still burden it; what is sent to a cold host counts
        # against its budget, however soon it ends.
        if result not in RELIEF_OUTCOMES or not on_time or self._is_cold(now, dial.host):
            return
        row, rows = (dial.sent_at, dial.load), self.unreported[dial.host]
        if dial.load and row in rows:
            rows.remove(row)
            self._drop_unreported(dial.host, -math.inf)
            self.quotas.refund(HEADROOM_BUDGET, dial.load, headroom_cap)
        dial.load = 0.0

    def _drop_unreported(self, host: int, until: float) -> None:
        """Drops the load sent to the host up to this time, which a report shows now."""
        self.unreported[host] = [row for row in self.unreported[host] if row[0] > until]
        self.unreported_total[host] = sum(load for _, load in self.unreported[host])
        if not self.unreported[host]:
            self.unreported_hosts.pop(host, None)
