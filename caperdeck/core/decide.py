"""All decisions of a node: where a session goes, when it is moved, and when it is answered.

Make a Node from Settings, then call its method for each event in the order of arrival; each call returns the
actions to carry out, in order. model.py has the data types, docs/design.md the reasons.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Generator, Iterator
from itertools import chain, islice

from .forecast import forecast, take_load_note
from .model import (
    NEVER_RAN, Action, Dial, DialRecord, Effect, HostState, LoadReport, Move, NoteKind, Outcome, Probe,
    Refuse, RosterEntry, RosterScope, Scope, SessionRequest, SessionState, Settings, TearDown, Wake, Watch,
    Withdraw,
)  # fmt: skip
from .quotas import HEADROOM_BUDGET
from .sampling import without_replacement
from .seeded_random import chance
from .slow_start import ColdSlots

# ---- constants; those without a unit are load over capacity, factors or counts

FULL_LOAD = 1.0
SHED_THRESHOLD = 0.85  # load is moved off a host above this, unless its load rises
MIN_SHED_THRESHOLD = 0.6  # lowest threshold for a host whose load rises steeply
ADMISSION_LIMIT = 0.75  # no new session goes to a host at or above this load
ADMISSION_LIMIT_IN_ZONE = 0.8  # the limit in this node's zone if leaving the zone has a price
UTILITY_RESERVE = 0.4  # how much lower the limit is for sessions of no utility when nearly all hosts are full
MOVE_LAG_MS = 1000.0  # time until the load of a moved session has gone from the host
COUNT_FACTOR = 1.5  # without load reports, a host keeps this multiple of the mean connection count
COUNT_SIGMAS = 2.8  # without load reports, a host is relieved this many square roots above the mean count
COUNT_MARGIN = 3.5  # without load reports, a host is relieved this many connections above the mean count
MIN_MOVE_AGE_MS = 2000.0  # younger sessions are not moved
SHED_INTERVAL_MS = 2500.0  # a report sooner after the last moves does not show them yet
BACKLOG_SHED_INTERVAL_MS = 900.0  # backlog notes are not delayed and show all but the latest moves
PROBE_INTERVAL_MS = 2000.0  # for hosts with sessions of this node, as far as probe credit allows
FREE_PROBES = 3.0  # probes of a host per interval, by all nodes together, without credit from new sessions
FRESH_MS = 1000.0  # a candidate whose last report is older is probed before use
FULL_HOST_PROBES = 2.0  # probes per FRESH_MS, by all nodes together, of a host that counts as full
PROBE_TIMEOUT_MS = 3000.0  # a probe without an answer counts as lost after this time
PROBE_WAIT_SHARE = 0.25  # share of the handshake target that a session waits for probe results
MAX_PROBE_ROUNDS = 3
UNMEASURED_LOAD = 0.2  # a reported 0 is no measurement if the connections suggest at least this load
REPORT_LIFE_MS = 7000.0  # older load reports are ignored
PEER_LOAD_LIFE_MS = 2000.0  # older loads from other nodes are ignored
BACKLOG_LIFE_MS = 1500.0  # older backlog notes are ignored
BACKLOG_DRAIN_MS = 1000.0  # a backlog counts as the load that works it off in this time
REPORT_LAG_MS = 1000.0  # typical age of a load when its report arrives
SAMPLE_SIZE = 16  # hosts drawn to find two that may have headroom
GROUP_PRIME = 4294967291  # modulus of the hash that orders the hosts for a group
MAX_GROUP_ORDERS = 4096
GROUP_MARGIN = 0.2  # a group leaves its first host only for one with a load lower by this much
TICK_MS = 500.0
FIRST_TIMEOUT_SHARE = 0.6  # timeout of the first dial as a share of the handshake target
TIMEOUT_GROWTH = 1.5  # factor of the timeout from one dial to the next
RETRY_WAIT_MS = 100.0  # wait before the next attempt to find a host
EJECTION_SCORE = 2.0  # a host is ejected from this failure score on
EJECTION_MS = 500.0  # first ejection time, doubled with each further failure
MAX_EJECTION_MS = 8000.0
FAILURE_OUTCOMES = (Outcome.ERROR, Outcome.LATE, Outcome.UNREACHED, Outcome.RESET)
OVERLOAD_OUTCOMES = (Outcome.FULL, Outcome.LATE, Outcome.RESET)
BACK_OFF_MS = 500.0
ARRIVAL_MS = 50.0  # time until a request has arrived at its host
UNEVEN_FACTOR = 1.5  # a node may use this multiple of its even headroom share, as clients come unevenly
CAPACITY_SMOOTHING = 0.03  # weight of a new capacity estimate, each tick
CAPACITY_SPREAD = 2.0  # largest factor by which a host's capacity is believed to differ from the mean
TIMER_SLACK_MS = 1.0  # rounding may make a timer fire early by this much
TICK_TOKEN = -1


class Node(ColdSlots):
    """One node's decisions, made only from the events that this node has received."""

    def __init__(self, settings: Settings, now: float) -> None:
        super().__init__(settings)
        self.now, self.draw_count = now, 0
        self.actions: list[Action] = []
        self.sessions: dict[int, SessionState] = {}
        self.quotas.add_budget(now, HEADROOM_BUDGET)
        self.effective_senders = math.sqrt(settings.nodes)  # nodes assumed to make the same choice at once
        self.preferred, self.preferred_in_zone = [], []  # this node's subsets, drawn before the other hosts
        self.reported = {}  # hosts with a recent load report, oldest first
        self.failing, self.majority_failing = {}, False  # failing hosts; whether most known hosts fail
        self.probe_credit = 0.0  # probes that new sessions allow
        # this node's share of the fleet's headroom, and the part of it that is left to spend
        self.headroom_share = self.quotas.saved[HEADROOM_BUDGET] = math.inf
        # share of the hosts that have no headroom, and when a session last found no host or no headroom
        self.full_share, self.no_headroom_at = 0.0, -math.inf
        # mean load of requested sessions, number of requests, mean load of established sessions
        self.mean_hint, self.request_count, self.mean_session_load = 0.0, 0, 0.0
        self.mean_reported_load, self.unit_capacity = None, 0.0  # capacity of a host of size 1, 0 if unknown
        self.peers_full_share = 0.0  # without load reports: share of the hosts that other nodes found full
        self.watch_retry_wait, self.watch_retry_at = 250.0, math.inf
        self.apply_settings(now, settings)

    def start(self) -> list[Action]:
        """Returns the first actions: the subscription to discovery and the first tick."""
        return [Watch()] * self.settings.subscribe + [Wake(TICK_MS * (0.5 + self.chance()), TICK_TOKEN)]

    def apply_settings(self, now: float, settings: Settings) -> list[Action]:
        """Applies new settings; a session keeps the listener and the number of dials that it began with."""
        self.settings, self.senders = settings, settings.nodes  # other nodes' counts may change the senders
        self.max_utility = max(listener.utility for listener in settings.listeners) or 1.0
        self.min_message_target = min(listener.message_target for listener in settings.listeners)
        self.has_reports = settings.may_probe and settings.reports_load
        for budget in range(len(self.quotas.idle_until)):
            self.quotas.clear_idle(budget)
        self._refresh_subsets(self.now)
        return []

    def chance(self) -> float:
        self.draw_count += 1
        return chance(self.settings.seed, self.draw_count)

    def _take_actions(self) -> list[Action]:
        actions, self.actions = self.actions, []
        return actions

    # ---- hosts: roster, bans, outlier ejection

    def update_roster(self, now: float, scope: RosterScope, entries: list[RosterEntry]) -> list[Action]:
        """Applies a roster message, or schedules a new subscription if the roster could not be fetched."""
        self.now = now
        if scope is RosterScope.FAILED:
            # Without a subscription the node would not hear of drains, and would be held to know of them.
            self.watch_retry_at = now + self.watch_retry_wait * (0.5 + self.chance())
            self.watch_retry_wait = min(self.watch_retry_wait * 2, self.settings.ask_every / 4)
            return self._take_actions()
        self.watch_retry_wait = 250.0
        if scope is not RosterScope.CHANGES:
            self._drop_unlisted(entries)
        for entry in entries:
            self._apply_entry(now, entry)
        self._refresh_subsets(self.now)
        return self._take_actions()

    def set_ban(self, now: float, host: int, banned: bool) -> list[Action]:
        """Applies an operator's ban, under which the host gets no new sessions whatever the roster says."""
        self.now = now
        self._apply_ban(now, host, banned)
        self._refresh_subsets(self.now)
        return []

    def forget_hosts(self, now: float) -> None:
        """Discards what is known of the hosts, after a suspension for longer than reports are valid."""
        # A suspension looks like failing hosts, and others have used the old quotas and headroom meanwhile.
        for host in range(len(self.state)):
            self._forget_host(now, host)
        self.reported.clear()
        self._update_fleet_view(now)

    def _record_failure(self, now: float, host: int) -> None:
        self.failure_score[host] = min(self.failure_score[host] + 1, 8.0)
        if self.failure_score[host] >= EJECTION_SCORE:
            self.failing[host] = None
            span = min(EJECTION_MS * 2 ** (self.failure_score[host] - EJECTION_SCORE), MAX_EJECTION_MS)
            self.ejected_until[host] = now + span * (0.75 + self.chance() / 2)

    def _is_healthy(self, now: float, host: int) -> bool:
        """Whether the host is not ejected; after an ejection it gets one trial dial at a time."""
        # A failure that most hosts show says nothing about a single one of them.
        return (self.failure_score[host] < EJECTION_SCORE or self.majority_failing
                or (now >= self.ejected_until[host] and not self.pending_dials[host]))  # fmt: skip

    def is_avoided(self, now: float, host: int) -> bool:
        """Whether this node currently sends nothing to a listed host by its own choice."""
        return (host in self.banned_at
                or self.state[host] is HostState.RUNNING and not self._is_healthy(now, host))  # fmt: skip

    # ---- forecasts

    def handle_note(self, now: float, session_id: int, kind: NoteKind, value: float) -> list[Action]:
        """Records a load or a message delay that the host of an established session has noted."""
        self.now = now
        if (session := self.sessions.get(session_id)) is None:
            return []
        if kind is not NoteKind.MESSAGE_DELAY:
            take_load_note(session, now, value, self.mean_hint)
        elif session.established_at is not None:
            self._record_backlog(now, session.dials[-1].host, value)
        return self._take_actions()

    def _record_backlog(self, now: float, host: int, backlog: float) -> None:
        """Records a backlog noted by a session; its growth since the last note is load above full."""
        span = now - self.backlog_at[host]
        growth = (backlog - self.backlog[host]) / span if 0 < span < SHED_INTERVAL_MS else 0.0
        self.backlog[host], self.backlog_at[host] = backlog, now
        # A burst on established sessions overloads every host at once, before any report shows it.
        if backlog >= self.min_message_target:
            load_ratio = max(FULL_LOAD + growth, 0.0) + self._backlog_load(now, host)
            self._shed_load(now, host, load_ratio, SHED_THRESHOLD, True, BACKLOG_SHED_INTERVAL_MS)
        if self._is_stale(host) and now - self.shed_at[host] > SHED_INTERVAL_MS:
            self._probe(now, host)

    def _forecast(self, now: float, session: SessionState) -> float:
        return forecast(session, now, self.mean_hint)

    # ---- placement

    def _choose_host(self, session: SessionState) -> Generator[list[Probe], None, int]:
        """The less loaded of two random hosts that may be dialled and have headroom; -1 if there is none."""
        # Many nodes see the same headroom in one report; if each filled it, the host would be overloaded.
        if self.quotas.available(self.now, HEADROOM_BUDGET) <= 0:
            self.no_headroom_at = self.now
            return -1
        rounds, lowest, margin = 0, math.inf, 0.0 if session.group is None else GROUP_MARGIN
        # Cold hosts with an open slot come first: by random draws alone a node with few sessions would seldom
        # use them, most of their budget would expire, and warm hosts would be filled past their headroom.
        session.open_slots = self._open_slots(self.now, session)
        for limit, candidates in self._candidates(session):
            lowest = min(lowest, limit)
            candidates = chain(session.open_slots, candidates)
            while pair := list(islice((h for h in candidates if self._eligible(session, h, limit)), 2)):
                if stale := [host for host in pair if self._is_stale(host)]:
                    if rounds == MAX_PROBE_ROUNDS:
                        return -1
                    rounds += 1
                    yield [Probe(host) for host in stale]
                    pair = [h for h in pair if not self._is_stale(h) and self._eligible(session, h, lowest)]
                if len(pair) == 2 and self._load(self.now, pair[1]) + margin < self._load(self.now, pair[0]):
                    pair.reverse()
                if (chosen := next((h for h in pair if self._admit(self.now, session, h)), -1)) >= 0:
                    return chosen
        self.no_headroom_at = self.now
        return -1

    def _is_stale(self, host: int, span: float = FRESH_MS) -> bool:
        return self.settings.may_probe and self.now - self.probed_at[host] > span

    def _eligible(self, session: SessionState, host: int, limit: float) -> bool:
        # A host above its headroom soon serves nobody; what is sent there is lost with the rest.
        fit = self.now >= self.no_probe_until[host] and (
            self._load(self.now, host) < limit or self._has_unprobed_slot(session, host))  # fmt: skip
        fit = fit and self._is_healthy(self.now, host) and self._slot_available(self.now, session, host)
        return fit and self._may_dial(self.now, session, host)

    def _has_unprobed_slot(self, session: SessionState, host: int) -> bool:
        """Whether a slot is open at a cold host that counts as full only as it was not probed yet."""
        # While any host has headroom no session would probe it, so that a readmitted host would stay unused.
        return (host in session.open_slots
                and self._recent_load(self.now, host) is None and self._is_stale(host))  # fmt: skip

    def _candidates(self, session: SessionState) -> Iterator[tuple[float, Iterator[int]]]:
        """Load limits, and random hosts to try under each; the own zone first if leaving it has a price."""
        # the fewer hosts have headroom, the more of it is kept for the sessions of the highest utility
        limit = ADMISSION_LIMIT - (UTILITY_RESERVE * max(
            1 - session.listener.utility / self.max_utility, 0.0) * self.full_share)  # fmt: skip
        if session.group is not None:
            # a group costs resources on every host with a session of it, so all nodes draw the same hosts
            yield limit, iter(self._group_hosts(session.group))
        else:
            # Drawn from all hosts, nearly every session needs new probes; in a subset one serves several.
            if self.settings.cross_zone_price:
                yield ADMISSION_LIMIT_IN_ZONE, self._sample(self.preferred_in_zone)
                yield ADMISSION_LIMIT_IN_ZONE, self._sample(self.running_in_zone)
            yield limit, self._sample(self.preferred)
            yield limit, self._sample(self.running)
        # A host that is not probed would keep counting as full, by an old report, this node's dials or the
        # mean. If many nodes probed again at once, they would use up the probes that a host answers.
        span = FRESH_MS * max(self.settings.nodes / FULL_HOST_PROBES, 1.0)
        yield math.inf, (host for host in self._sample(self.running) if self._is_stale(host, span))

    def _group_hosts(self, group: int) -> list[int]:
        """The first running hosts in the order that all nodes compute for the group."""
        if (order := self.group_order.get(group)) is None:
            stable_id = self.stable_id
            keys = [(group * stable_id[host] % GROUP_PRIME) << 20 | host for host in self.running]
            order = [key & 0xFFFFF for key in heapq.nsmallest(SAMPLE_SIZE, keys)]
            # Groups come and go while the hosts stay the same, so the cache needs a bound.
            if len(self.group_order) >= MAX_GROUP_ORDERS:
                del self.group_order[next(iter(self.group_order))]
            self.group_order[group] = order
        return order

    def _sample(self, hosts: list[int]) -> Iterator[int]:
        """Up to SAMPLE_SIZE of the hosts, in random order."""
        return without_replacement(hosts, SAMPLE_SIZE, self.chance)

    def _load(self, now: float, host: int) -> float:
        """A host's load over its capacity, as last probed or else estimated, plus what was sent since."""
        if (load_ratio := self._recent_load(now, host)) is None:  # unused or newly started
            load_ratio = self._estimated_load(now, host)
        if (now - self.peer_load_at[host] < PEER_LOAD_LIFE_MS
                and self.peer_load_at[host] - self.reported_at[host] > FRESH_MS):  # fmt: skip
            load_ratio = self.peer_load[host]  # only tells whether the host is worth a probe of this node's
        # A backlog delays every session even while load over capacity looks fine again.
        load_ratio += self._backlog_load(now, host)
        if not self.unit_capacity:
            return load_ratio
        # Other nodes see the same reports. Not all of them draw this host, and without reports a node's few
        # connections tell little about theirs.
        senders = self.effective_senders if self.has_reports else self.effective_senders * self._share_met(1)
        return load_ratio + senders * self.unreported_total[host] / self._warm_capacity(host)

    def _estimated_load(self, now: float, host: int) -> float:
        """The load of a host without a report: the reported mean, or by this node's own connections."""
        if self.has_reports:
            return self._load_by_count(host) if self.mean_reported_load is None else self.mean_reported_load
        # Headroom that one session has found is soon used up by all nodes together.
        recently_accepted = now - self.accepted_at[host] < REPORT_LIFE_MS / self.senders
        by_count = self._load_by_count(host)
        return by_count if recently_accepted else by_count + self.peers_full_share * (FULL_LOAD - by_count)

    def _share_met(self, hosts: int) -> float:
        """The share of all hosts that the other nodes meet, if each of them meets `hosts` at random."""
        return 1 - (1 - min(hosts / len(self.running), 1.0)) ** (self.senders - 1) if self.running else 0.0

    def _warm_capacity(self, host: int) -> float:
        """The load that fills the host once it is warm, by its own reports within a range around the mean."""
        mean = self.unit_capacity * self.size[host]
        return min(max(self.warm_capacity[host] or mean, mean / CAPACITY_SPREAD), mean * CAPACITY_SPREAD)

    def _load_by_count(self, host: int) -> float:
        """Without reports: this node's connections per size, scaled below every limit; the mean if unused."""
        mean = self.total_connections / (self.total_size or 1.0)
        own = self.connections[host] / self.size[host] or mean
        return own / (own + mean) * 0.5 if own else 0.0

    def _recent_load(self, now: float, host: int) -> float | None:
        return self.reported_load[host] if now - self.reported_at[host] < REPORT_LIFE_MS else None

    def _backlog_load(self, now: float, host: int) -> float:
        """The load that works off the host's backlog in BACKLOG_DRAIN_MS."""
        return self.backlog[host] / BACKLOG_DRAIN_MS if now - self.backlog_at[host] < BACKLOG_LIFE_MS else 0.0

    def _update_fleet_view(self, now: float) -> None:
        """Updates mean load, capacities, and this node's share of the fleet's headroom from the reports."""
        while self.reported and now - self.reported_at[oldest := next(iter(self.reported))] >= REPORT_LIFE_MS:
            del self.reported[oldest]
        # Where no report comes, this node's dials would add up until it considers the host full for good.
        for host in [h for h in self.unreported_hosts if self.unreported[h][0][0] <= now - REPORT_LIFE_MS]:
            self._drop_unreported(host, now - REPORT_LIFE_MS)
        self.failing = {h: None for h in self.failing if self.failure_score[h] >= EJECTION_SCORE}
        # The headroom of a host that drains or is gone cannot be used.
        reports = [(self.reported_load[h], h) for h in sorted(self.reported) if self._has_reported_load(h)]
        self.majority_failing = 2 * len(self.failing) > len(self.reported.keys() | self.failing.keys())
        self.mean_reported_load = sum(load for load, _ in reports) / len(reports) if reports else None
        if not reports:
            self.headroom_share = self.quotas.saved[HEADROOM_BUDGET] = math.inf
            # Otherwise hosts that looked full long ago would keep closing those that were dialled since.
            self.full_share, self.effective_senders, self.peers_full_share = (
                0.0, math.sqrt(self.senders), 0.0)  # fmt: skip
            return
        own_loads = [self._forecast(now, s) for h in self.used_hosts for s in self.established[h].values()]
        # A node that has just started holds next to nothing of what fills the hosts, and all of it while the
        # other nodes are away, so the hosts' own connection counts are better where they are reported.
        warm = [(load, h) for load, h in reports
                   if self.fleet_connections[h] is not None and self._warm_share(now, h) >= 1]  # fmt: skip
        self.mean_session_load = (sum(own_loads) + self.mean_hint) / (len(own_loads) + 1)
        session_load, filled_size = (self.mean_session_load * sum(self.fleet_connections[h] for _, h in warm),
                                     sum(load * self.size[h] for load, h in warm))  # fmt: skip
        for load, host in warm:
            # By the mean of all, a small host that starts cold would be sent what a large one can take.
            if load >= UNMEASURED_LOAD:
                capacity = self.mean_session_load * self.fleet_connections[host] / load
                self.warm_capacity[host] += (capacity - self.warm_capacity[host]) * (
                    CAPACITY_SMOOTHING if self.warm_capacity[host] else 1.0)  # fmt: skip
        if not warm:
            session_load, filled_size = (
                self.settings.nodes * sum(own_loads), self.mean_reported_load * self.total_size)  # fmt: skip
        # The roster may leave no host running while reports of the last ones are still recent.
        if session_load and filled_size:
            self.unit_capacity += (session_load / filled_size - self.unit_capacity) * (
                max(CAPACITY_SMOOTHING, 1 / self.request_count) if self.unit_capacity else 1.0)  # fmt: skip
        # Headroom that a cold host cannot use yet would otherwise be counted, and sent to the warm hosts.
        caps = [self._cold_fill_rate(now, h) * REPORT_LAG_MS if self._is_cold(now, h) else ADMISSION_LIMIT
                for _, h in reports]  # fmt: skip
        headrooms = [max(min(ADMISSION_LIMIT - load - self._backlog_load(now, h), cap), 0.0)
                     for (load, h), cap in zip(reports, caps, strict=True)]  # fmt: skip
        self.full_share = sum(headroom == 0 for headroom in headrooms) / len(headrooms)
        if not self.has_reports:
            # An overload outcome is about one host only. Whether others are full too is inferred from what
            # all nodes like this one have met together: most hosts in a wave, few with three nodes.
            own_full_share = len(reports) / len(self.running)
            self.peers_full_share = self._share_met(len(reports))
            self.full_share = own_full_share + (1 - own_full_share) * self.peers_full_share
            self.headroom_share, self.quotas.saved[HEADROOM_BUDGET] = 0.0, math.inf  # counts move no session
        elif self.unit_capacity:
            share = min(UNEVEN_FACTOR / self.settings.nodes, 1.0) / len(headrooms)
            self.headroom_share = self.unit_capacity * self.total_size * share * sum(headrooms)
            self.quotas.accrue(now, HEADROOM_BUDGET, self.headroom_share / REPORT_LAG_MS, self.headroom_share)
        # The fewer hosts have headroom, the more nodes draw the same one and together would overfill it.
        self.effective_senders = self.senders ** (0.5 + 0.5 * self.full_share)

    def _has_reported_load(self, host: int) -> bool:
        """Whether the host runs and has reported a load since it started."""
        return self.state[host] is HostState.RUNNING and self.reported_load[host] is not None

    def _record_load(self, now: float, host: int, load_ratio: float) -> None:
        self.reported_load[host], self.reported_at[host] = load_ratio, now
        self.reported.pop(host, None)
        self.reported[host] = None
        self._drop_unreported(host, now - REPORT_LAG_MS)

    # ---- admission: every dial passes these checks, and each rule is checked here only

    def _admit(self, now: float, session: SessionState, host: int) -> bool:
        return self._may_dial(now, session, host) and self._take_slot(now, session, host)

    def _may_dial(self, now: float, session: SessionState, host: int) -> bool:
        over = (session.answered or session.has_host
                or now >= session.deadline or len(session.dials) >= session.max_dials)  # fmt: skip
        return (not over and self.state[host] is HostState.RUNNING
                and self._repeat_is_safe(now, session, host, session.dials))  # fmt: skip

    def may_send_request(self, now: float, session_id: int) -> bool:
        """Whether the request may still be sent on the last dial, whose connection is established."""
        # Meanwhile the host may have begun to drain or restarted, or a time limit may have passed.
        if (session := self.sessions.get(session_id)) is None or session.answered or now >= session.deadline:
            return False
        host, before = session.dials[-1].host, session.dials[:-1]
        same_start = (self.state[host] is HostState.RUNNING
                      and self.started_at[host] == session.dials[-1].host_started_at)  # fmt: skip
        return same_start and self._repeat_is_safe(now, session, host, before)

    def _repeat_is_safe(self, now: float, session: SessionState, host: int, before: list[DialRecord]) -> bool:
        """Whether nothing of the session can have run yet, or the host drops the repeat of what ran."""
        ran = self._dial_that_may_have_run(before)
        if ran is None or session.listener.effect is Effect.REPEATABLE:
            return True
        # The memory span has to cover the repeat's arrival, and a host restarted since remembers nothing.
        late = (now + ARRIVAL_MS >= ran.sent_at + session.listener.memory_span
                or self.started_at[host] > ran.sent_at)  # fmt: skip
        return (session.listener.effect is Effect.REFERENCED
                and not late and ran.dedup_group == self._dedup_group(session, host))  # fmt: skip

    def _dial_that_may_have_run(self, dials: list[DialRecord]) -> DialRecord | None:
        return next((dial for dial in dials if dial.may_have_run), None)

    def _may_refuse(self, session: SessionState, wait: float) -> bool:
        ran, listener = self._dial_that_may_have_run(session.dials), session.listener
        if ran is None or listener.effect is Effect.REPEATABLE:
            return True
        # A refusal invites the client to retry, and the retry has to reach a host within the memory span.
        back = self.now + wait + listener.handshake_target + ARRIVAL_MS
        kind = listener.effect, listener.scope
        return kind == (Effect.REFERENCED, Scope.ALL) and back < ran.sent_at + listener.memory_span

    # ---- sessions

    def open_session(self, now: float, request: SessionRequest) -> list[Action]:
        self.now = now
        session = self._new_session(now, request)
        session.steps = self._session_steps(session)
        self._advance(session, None)
        return self._take_actions()

    def resume_session(self, now: float, request: SessionRequest, host: int) -> list[Action]:
        """Registers a session established before this node started; its dial 0 counts as made."""
        session = self._new_session(now, request)
        session.dials.append(DialRecord(host, now, self.started_at[host], self._dedup_group(session, host)))
        self._count_connections(host, 1)
        self._record_established(session, now - MIN_MOVE_AGE_MS)
        return []

    def _new_session(self, now: float, request: SessionRequest) -> SessionState:
        self.request_count += 1
        self.mean_hint += ((1.0 if request.load_hint is None else request.load_hint) - self.mean_hint) * max(
            0.02, 1 / self.request_count)  # fmt: skip
        self.probe_credit += 1
        session = self.sessions[request.session] = SessionState(
            request.session, self.settings.listeners[request.listener], self.settings.max_dials, now,
            now + request.time_left, request.load_hint, request.group, smoothed_load=request.load_hint or 0.0,
        )  # fmt: skip
        return session

    def _session_steps(self, session: SessionState) -> Generator[Action | list[Probe], Outcome | None, None]:
        """The steps of one session from its request to its answer; its end needs no decision."""
        target = session.listener.handshake_target
        while True:
            if (host := (yield from self._choose_host(session))) >= 0:
                last = len(session.dials) + 1 >= session.max_dials
                time_out = math.inf if last else (
                    FIRST_TIMEOUT_SHARE * target * TIMEOUT_GROWTH ** len(session.dials))  # fmt: skip
                result = yield Dial(session.id, host, min(self.now + time_out, session.deadline))
                session.dials[-1].may_have_run = result not in NEVER_RAN
            elif (self.now + RETRY_WAIT_MS < min(session.requested_at + target, session.deadline)
                  and not session.dials):  # fmt: skip
                yield Wake(RETRY_WAIT_MS, session.id)
            else:
                break
        wait = (min(BACK_OFF_MS * (1 + self.chance()), self.settings.max_back_off)
                if self.settings.may_back_off else 0.0)  # fmt: skip
        if self._may_refuse(session, wait):
            yield Refuse(session.id, wait)
        else:
            yield TearDown(session.id)

    def _advance(self, session: SessionState, result: Outcome | None) -> None:
        """Runs the session up to its next action."""
        action = session.steps.send(result)
        if isinstance(action, list):
            session.awaited_hosts = {probe.host for probe in action}
            for (host,) in action:
                self._probe(self.now, host)
                self.probe_waiters[host].append(session.id)
            wait = PROBE_WAIT_SHARE * session.listener.handshake_target
            # A client with little time left would go unanswered if its session waited for the whole time.
            action = Wake(min(wait, (session.deadline - self.now) / 2), session.id)
        self.actions.append(action)
        if isinstance(action, Wake):
            session.waits_until = self.now + action.after - TIMER_SLACK_MS
        elif isinstance(action, Dial):
            load = self._forecast(self.now, session)
            self.quotas.spend(self.now, HEADROOM_BUDGET, load)
            self._record_dial(self.now, session, action.host, load)
        elif isinstance(action, (Refuse, TearDown)):
            session.answered = True
            del self.sessions[session.id]

    def session_established(self, now: float, session_id: int) -> list[Action]:
        if ((session := self.sessions.get(session_id)) is None
                or not session.has_host or session.established_at is not None):  # fmt: skip
            return []
        self._record_established(session, now)
        host = session.dials[-1].host
        self.pending_dials[host] -= 1
        self.failure_score[host] /= 2
        self.accepted_at[host] = now
        return []

    def dial_ended(
        self, now: float, session_id: int, dial: int, result: Outcome, final: bool
    ) -> list[Action]:
        """Records the end of a dial or of the session established by it; unless final, it goes on."""
        self.now = now
        if ((session := self.sessions.get(session_id)) is None
                or not session.has_host or dial != len(session.dials) - 1):  # fmt: skip
            return []
        host = session.dials[dial].host
        session.has_host = False
        self._count_connections(host, -1)
        self.pending_dials[host] -= session.established_at is None
        if self.established[host].pop(session_id, None) and not self.established[host]:
            del self.used_hosts[host]
        # Short sessions of one client would otherwise add up until the others find every host full.
        self._take_load_back(now, session, result, self.headroom_share)
        running = self.state[host] is HostState.RUNNING
        if running and result in FAILURE_OUTCOMES:
            self._record_failure(now, host)
        if running and result in OVERLOAD_OUTCOMES:
            self._record_load(
                now, host, max(self._recent_load(now, host) or 0.0, FULL_LOAD)
            )  # until a report
        if final or session.answered:
            session.answered = True
            del self.sessions[session_id]
        else:
            self._advance(session, result)
        return self._take_actions()

    def client_disconnected(self, now: float, session_id: int) -> list[Action]:
        if (session := self.sessions.get(session_id)) is None:
            return []
        session.answered = True
        if not session.has_host:
            del self.sessions[session_id]
        elif session.established_at is None and self.settings.may_withdraw:
            self.actions.append(Withdraw(session_id, len(session.dials) - 1))
        return self._take_actions()

    def timer_fired(self, now: float, token: int) -> list[Action]:
        """Handles a timer: the tick, or the end of a session's wait."""
        self.now = now
        if token == TICK_TOKEN:
            self._tick(now)
        elif ((session := self.sessions.get(token))
              and not session.answered and not session.has_host and now >= session.waits_until):  # fmt: skip
            session.awaited_hosts.clear()
            self._advance(session, None)
        return self._take_actions()

    # ---- probes and moves

    def _tick(self, now: float) -> None:
        self.actions.append(Wake(TICK_MS, TICK_TOKEN))
        if now >= self.watch_retry_at:
            self.watch_retry_at = math.inf
            self.actions.append(Watch())
        self.cold = self._cold_among(now, self.cold)
        self._update_fleet_view(now)
        rate = max(FREE_PROBES * len(self.used_hosts) / self.settings.nodes, 1.0) / PROBE_INTERVAL_MS
        self.probe_credit = min(self.probe_credit + TICK_MS * rate, len(self.used_hosts) + 1)
        # An overloaded host would go unnoticed if few sessions pay for probes or it has no load report yet.
        bonus = PROBE_INTERVAL_MS * self.settings.reports_load
        age = {h: now - self.probed_at[h] + bonus * (self.reported_load[h] is None) for h in self.used_hosts}
        for host in sorted(self.used_hosts, key=lambda h: (-age[h], h)):
            if age[host] < PROBE_INTERVAL_MS or self.probe_credit < 1:
                break
            if not (self.settings.may_probe and self.settings.reports_load):
                # Moves by count are for hosts that never report: before the first report, many nodes with few
                # connections each would clear the fleet by them. Random deviations are no excess.
                self.probed_at[host], mean = now, self.total_connections / max(len(self.running), 1)
                if self.connections[host] > mean + max(COUNT_SIGMAS * math.sqrt(mean), COUNT_MARGIN):
                    limit = max(COUNT_FACTOR * mean, mean + 1)
                    self._shed_load(now, host, self.connections[host], limit, False, SHED_INTERVAL_MS)
            elif (now >= self.no_probe_until[host]
                  and self.state[host] is HostState.RUNNING and self._probe(now, host)):  # fmt: skip
                self.probe_credit -= 1

    def _probe(self, now: float, host: int) -> bool:
        """Probes the host, unless a probe is in progress; returns whether it did."""
        if not self.settings.may_probe or (
                self.probe_sent_at[host] and now - self.probe_sent_at[host] < PROBE_TIMEOUT_MS):  # fmt: skip
            return False
        self.probe_sent_at[host] = now
        self.actions.append(Probe(host))
        return True

    def probe_completed(self, now: float, host: int, result: Outcome, report: LoadReport) -> list[Action]:
        """Records the result of a probe and resumes the sessions that waited for it."""
        self.now, self.probe_sent_at[host] = now, 0.0
        if result is Outcome.GOOD:
            self.probed_at[host] = now
            if self.state[host] is HostState.RUNNING:
                self._record_report(now, host, report)
                self.probe_credit += self.settings.reports_load and self.reported_load[host] is None
        elif self.state[host] is HostState.RUNNING and result is not Outcome.NEVER_SENT:
            # A host that drains or is gone reports nothing and looks like the mean: all sessions that wait
            # for it, at all nodes, would probe it again at once by the hundred.
            self.no_probe_until[host] = now + FRESH_MS * (0.75 + self.chance() / 2)
            self._record_failure(now, host)
        waiting, self.probe_waiters[host] = self.probe_waiters[host], []
        for session in filter(None, map(self.sessions.get, waiting)):
            awaited = host in session.awaited_hosts
            session.awaited_hosts.discard(host)
            if awaited and not session.awaited_hosts and not session.answered and not session.has_host:
                self._advance(session, None)
        return self._take_actions()

    def _record_report(self, now: float, host: int, report: LoadReport) -> None:
        load_ratio, self.fleet_connections[host] = report.load, report.connections
        # A host that holds connections but reports no load has not measured it yet; it is not empty.
        if (not load_ratio and report.connections
                and report.connections * self.mean_hint >= UNMEASURED_LOAD * self._warm_capacity(host)
        ):  # fmt: skip
            load_ratio = None
        if load_ratio is None and report.backlog is not None:
            load_ratio = report.backlog / self.min_message_target
        if load_ratio is None:
            return
        last, span = self._recent_load(now, host), max(now - self.reported_at[host], REPORT_LAG_MS)
        rise = max(load_ratio - last, 0.0) / span if last is not None else 0.0
        self._record_load(now, host, load_ratio)
        load_ratio += self._backlog_load(now, host)
        threshold = max(min(SHED_THRESHOLD, FULL_LOAD - rise * MOVE_LAG_MS), MIN_SHED_THRESHOLD)
        self._shed_load(now, host, load_ratio, threshold, load_ratio > FULL_LOAD, SHED_INTERVAL_MS)

    def _shed_load(
        self, now: float, host: int, load_ratio: float, limit: float, overloaded: bool, min_interval: float
    ) -> None:
        """Moves the highest forecasts off a host above the limit, up to this node's share of the excess."""
        # The report may be older than the last moves, whose load would then be moved twice.
        if load_ratio <= limit or now - self.shed_at[host] < min_interval:
            return
        self.shed_at[host] = now
        forecasts = [(self._forecast(now, s), s.id, s) for s in self.established[host].values()]
        excess = (load_ratio - limit) / load_ratio * sum(load for load, _, _ in forecasts)
        # With no better host, moved sessions come back to hosts as full. Above full load, where nobody is
        # served, they are moved all the same and refused until there is headroom.
        headroom = self.headroom_share
        for load, session_id, session in sorted(forecasts, key=lambda row: (-row[0], row[1])):
            if excess <= 0:
                break
            if now - session.established_at >= MIN_MOVE_AGE_MS and (load <= headroom or overloaded):
                # Many nodes with few sessions each would clear a host if all of them rounded their share up.
                if load > excess and self.chance() * load > excess:
                    # Above full load nobody is served, so that a draw that moved nothing is soon repeated.
                    self.shed_at[host] -= (SHED_INTERVAL_MS - MOVE_LAG_MS) * (
                        overloaded and headroom == self.headroom_share)  # fmt: skip
                    break
                excess, headroom = excess - load, headroom - load
                self._add_unreported(now, host, -load)
                session.dials[-1].load = 0.0  # taken back already
                self.actions.append(Move(session_id))
