"""What a node keeps of each host: parallel arrays under the host's index. Bookkeeping, no decisions.

Times are float milliseconds, loads are milliseconds of work a second, figures are load over capacity.
"""

from __future__ import annotations

import math
from typing import Any

from .model import START_UNKNOWN, DialRecord, HostState, RosterEntry, SessionState, Settings
from .quotas import Quotas
from .warmup import warm_share


class HostTable:
    """The hosts as the roster has them, what is known of each, and the own sessions there.

    The base of Node, whose public methods are its events; those here are for its use alone.
    """

    def __init__(self, settings: Settings) -> None:
        self.set = settings
        # the roster
        self.listed: list[HostState] = []  # as the roster has it
        self.state: list[HostState] = []  # as it counts: by hand taken out as draining
        self.size: list[float] = []
        self.zone: list[int] = []
        self.cell: list[int] = []
        self.stable_id: list[int] = []  # alike at every node
        self.started_at: list[float] = []  # the start on the own clock, 0 if long ago
        self.roster_start: list[float] = []  # the same as the roster tells it
        self.banned: dict[int, float] = {}  # hosts taken out by hand, since when
        self.readmitted: dict[int, float] = {}  # hosts that count as started when they were called back
        # the own sessions
        self.held: list[int] = []  # dials out and standing sessions
        self.holding = 0  # the same at all hosts together
        self.dialing: list[int] = []  # dials out
        self.standing: list[dict[int, SessionState]] = []  # standing sessions by number
        self.mine: dict[int, None] = {}  # hosts with standing sessions
        self.sent: dict[tuple[int, float], int] = {}  # dials by host and its start, as the roster tells it
        self.added: list[list[tuple[float, float]]] = []  # own load sent since the last report, with times
        self.extra: list[float] = []  # and its sum
        self.loaded: dict[int, None] = {}  # hosts with any of it
        self.rights = Quotas()  # own parts, in load: of the fleet's room, and at h + 1 of cold hosts
        self.in_turn: list[bool] = []  # the own slots at a cold host go on from its start
        self.slots_elsewhere = False  # another process of this node uses them
        # reports and health
        self.figure: list[float | None] = []  # load over capacity, as last probed
        self.figure_at: list[float] = []  # and when
        self.prior: list[float] = []  # the same as another node has seen it
        self.prior_at: list[float] = []  # and when
        self.crowd: list[float | None] = []  # connections that it holds for all nodes, as last told
        self.able: list[float] = []  # load that fills it once warm, 0 while unknown
        self.seen_at: list[float] = []  # the last answer to a probe
        self.lookers: list[list[int]] = []  # sessions that wait for a figure
        self.probe_out: list[float] = []  # a look's start, 0 if none is out
        self.unseen: list[float] = []  # no look until then, as one failed
        self.taken_at: list[float] = []  # when it last took a connection of the own
        self.pile: list[float] = []  # work piled up, as last noted
        self.pile_at: list[float] = []  # and when
        self.acted_at: list[float] = []  # when a report was last acted upon
        self.ill: list[float] = []  # failures, halved by each success
        self.shunned: list[float] = []  # and until when
        # subsets
        self.running: list[int] = []
        self.near: list[int] = []  # of those in the own zone
        self.cold: list[int] = []  # and cold at the last tick
        self.whole_size = 0.0  # of those that run
        self.orders: dict[int, list[int]] = {}  # hosts in the order drawn by a group

    # ---- roster

    def _grow(self, now: float, h: int) -> None:
        """Makes room for the host, which nothing is known of."""
        while len(self.listed) <= h:
            self._append_blank()
            self.rights.grow(now, len(self.listed))

    def _append_blank(self) -> None:
        blanks: tuple[tuple[list[Any], Any], ...] = (
            (self.listed, HostState.GONE), (self.size, 1.0), (self.zone, 0), (self.cell, 0),
            (self.stable_id, 0), (self.started_at, 0.0), (self.roster_start, 0.0), (self.held, 0),
            (self.dialing, 0), (self.standing, {}), (self.added, []), (self.extra, 0.0), (self.pile, 0.0),
            (self.pile_at, -math.inf),
            (self.figure, None), (self.figure_at, -math.inf), (self.seen_at, -math.inf),
            (self.probe_out, 0.0), (self.acted_at, -math.inf), (self.ill, 0.0), (self.shunned, 0.0),
            (self.lookers, []), (self.crowd, None), (self.unseen, 0.0), (self.able, 0.0),
            (self.prior, 0.0), (self.prior_at, -math.inf), (self.in_turn, False),
            (self.taken_at, -math.inf),
        )  # fmt: skip
        for array, blank in blanks:
            array.append(blank)

    def _enter(self, now: float, e: RosterEntry) -> None:
        """Takes a line of the roster in; a process that started anew is another host."""
        h = e.host
        self._grow(now, h)
        if e.state is HostState.RUNNING and (
            self.listed[h] is HostState.GONE or e.roster_start > self.roster_start[h]
        ):
            self._forget(now, h)
        # a listed size that is lowered by what the host holds says little of the host's own
        self.size[h] = e.size or 1.0 if self.set.sizes_stand else 1.0
        self.listed[h], self.zone[h], self.cell[h], self.stable_id[h] = e.state, e.zone, e.cell, e.stable_id
        if e.roster_start >= self.roster_start[h]:
            self.roster_start[h], self.started_at[h] = (
                e.roster_start,
                max(e.started_at, self.readmitted.get(h, 0.0)),
            )

    def _drop_unlisted(self, entries: list[RosterEntry]) -> None:
        """What the whole roster does not name is gone."""
        for h in set(range(len(self.state))).difference(e.host for e in entries):
            self.listed[h] = HostState.GONE

    def _enter_ban(self, now: float, h: int, out: bool) -> None:
        """The host is taken out by hand, or called back."""
        self._grow(now, h)
        since = self.banned.pop(h, None)
        if out:
            self.banned[h] = now if since is None else since
        elif since is not None:
            # Danger: it was restarted meanwhile, and the roster that tells may come late; it counts as cold.
            if self.started_at[h] <= since:
                self.started_at[h] = self.readmitted[h] = now
            self._forget(now, h)

    def _forget(self, now: float, h: int) -> None:
        """Forgets what was learned of the host."""
        # Danger: a restarted process looks like the old one; what was known of that one is void.
        self.figure[h], self.ill[h], self.shunned[h] = None, 0.0, 0.0
        self.seen_at[h], self.probe_out[h], self.unseen[h] = -math.inf, 0.0, 0.0
        self.prior_at[h] = self.taken_at[h] = -math.inf
        self.rights.void(now, h + 1)
        self.in_turn[h] = False

    def _recount(self, now: float) -> None:
        """The states that count and the subsets, after a change of roster, bans or settings."""
        self.state = list(self.listed)
        for h in self.banned:
            self.state[h] = max(self.state[h], HostState.DRAINING)
        running = [h for h, state in enumerate(self.state) if state is HostState.RUNNING]
        zone, own = self.zone, self.set.zone
        self.near = [h for h in running if zone[h] == own]
        self.cold = self._cold_of(now, running)
        if running != self.running:
            self.running, self.orders, self.whole_size = running, {}, sum(self.size[h] for h in running)

    def _cold_of(self, now: float, hosts: list[int]) -> list[int]:
        """Those of the hosts that are not warm yet."""
        if self.set.cold_from >= 1:
            return []
        started_at, since = self.started_at, now - self.set.warm_after
        return [h for h in hosts if started_at[h] > since and started_at[h] != START_UNKNOWN]

    def _is_cold(self, now: float, h: int) -> bool:
        return self._warmth(now, h) < 1

    def _warmth(self, now: float, h: int) -> float:
        """The least share of its capacity that a host has now."""
        if self.started_at[h] == START_UNKNOWN:
            return 1.0
        return warm_share(now - self.started_at[h], self.set.cold_from, self.set.warm_after)

    def _group(self, s: SessionState, h: int) -> int:
        """The hosts that drop repeats of what the host has run, as the roster has it now."""
        return (0, self.zone[h], self.cell[h])[s.listener.scope]

    # ---- the own sessions

    def _enter_dial(self, now: float, s: SessionState, h: int) -> None:
        """A dial of the session goes out to the host."""
        self.sent[h, self.roster_start[h]] = self.sent.get((h, self.roster_start[h]), 0) + 1
        s.dials.append(DialRecord(h, now, self.started_at[h], self._group(s, h)))
        s.out = True
        self._hold(h, 1)
        self.dialing[h] += 1

    def _hold(self, h: int, more: int) -> None:
        """So many more dials and sessions at the host."""
        self.held[h] += more
        self.holding += more

    def _stand(self, s: SessionState, since: float) -> None:
        """The session's last dial has become a stream."""
        h = s.dials[-1].host
        s.stands, s.out, s.answered, self.standing[h][s.id], self.mine[h] = since, True, True, s, None

    def _add(self, now: float, h: int, load: float) -> None:
        """Own load sent to the host, or moved off it where under 0, which no report shows yet."""
        self.added[h].append((now, load))
        self.loaded[h] = None
        self.extra[h] += load

    def _drop_added(self, h: int, until: float) -> None:
        """What was sent to the host until then counts no longer."""
        self.added[h] = [x for x in self.added[h] if x[0] > until]
        self.extra[h] = sum(load for _, load in self.added[h])
        if not self.added[h]:
            self.loaded.pop(h, None)
