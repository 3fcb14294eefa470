"""One node's side of all shared state, as one state machine: time and datagrams in, datagrams out.

It exchanges numbers with the decisions of this node; only these decide what may be sent to hosts.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple, Protocol

import caperdeck.peers.codec as codec
from caperdeck.peers.codec import DatagramError, Message, MessageKind
from caperdeck.peers.swim import EVERYONE, AnswerReceived, Send, Swim, TokenBucket

from . import message_sections
from .counters import MAX_VALUE, CounterStore, CounterValue
from .judgements import VALIDITY_MS, HostCondition, Judgement, Judgements
from .message_sections import MessageSections
from .quota_transfers import QuotaTransfers

SHORTAGE_CHECK_MS = 100.0  # interval of checks for missing quota; a session waits this long for a host
JUDGE_INTERVAL_MS = 500.0
HEARD_WITHIN_MS = 30_000.0  # window of the heard-from counts of `lines`
MAX_DATAGRAMS_PER_S = 200.0  # further datagrams are dropped unread
SHARED_HEADROOM_BUDGET = 0  # id of the budget for the room of all hosts
DIALS_STARTED, DIALS_ENDED = 0, 1  # counted subjects of all hosts together
COUNTER_ROWS, LOAD_ROWS, JUDGEMENT_ROWS, REQUEST_ROWS = 4, 10, 4, 4
OVERLOAD_VALIDITY_MS = 1500.0  # validity of an observation of a host above full load
OVERLOAD_WITNESSES = 2
OVERLOAD_SPREAD_MS = 500.0  # nodes act on a confirmed overload at random times within this span
MAX_OVERLOADED_HOSTS = 128
MAX_OVERLOAD_REPORTS_PER_S = 2.0
MIN_REPORTING_MEMBERS = 3  # members whose dial rate must be known before it is used
LOAD_VALIDITY_MS = 2000.0  # maximum age of a load, for sending and for use


class SharingFeatures(NamedTuple):
    """Uses of the shared state, each switched on by the operator; with all off there is membership alone."""

    room: bool = False  # lends and borrows quota for the room of all hosts
    cold: bool = False  # lends and borrows quota for hosts in slow start
    prior: bool = False  # uses loads that peers have observed
    lost: bool = False  # postpones probes of hosts that peers find lost
    weight: bool = False  # uses the number of effective senders in the fleet
    full: bool = False  # moves sessions off hosts that peers find overloaded


class LocalObservations(NamedTuple):
    """What the decisions have observed; hosts are identified by stable ids."""

    counters: list[tuple[int, int]]  # subject and value: dials started and ended, and dials to each cold host
    loads: list[tuple[int, float, float]]  # host, load ratio, observed at
    conditions: list[tuple[int, HostCondition, float]]  # host, condition, observed at
    majority_failing: bool
    host_count: int


class Decisions(Protocol):
    """Interface to the decisions of this node."""

    def observations(self, now: float) -> LocalObservations:
        """Returns what this node has observed itself."""
        ...

    def wanted_quota(self, now: float) -> list[tuple[int, float]]:
        """Returns the budgets that lack quota, and the amounts."""
        ...

    def lend(self, now: float, budget: int, limit: float) -> float:
        """Deducts up to `limit` from a budget and returns the amount."""
        ...

    def borrow(self, now: float, budget: int, amount: float, until: float) -> None:
        """Adds an amount to a budget that expires at `until`."""
        ...

    def take_peer_load(self, now: float, host: int, load_ratio: float, observed_at: float) -> None:
        """Uses the load of a host that a peer has observed."""
        ...

    def take_unreachable_report(self, now: float, host: int, until: float) -> None:
        """Postpones probes of a host that peers find lost."""
        ...

    def overloaded_hosts(self, now: float, since: float) -> list[tuple[int, float, float]]:
        """Returns overloads observed since that time: host, load ratio, time."""
        ...

    def relieve_overloaded_host(self, now: float, host: int, load_ratio: float) -> None:
        """Moves sessions off a host whose overload is confirmed."""
        ...

    def set_sender_count(self, senders: float | None) -> None:
        """Sets the number of effective senders, None if it is unknown."""
        ...


class Sharing:
    """Membership, counters, judgements and quota transfers of one node."""

    def __init__(
        self, decisions: Decisions, me: int, members: int, life: int, seed: int, now: float,
        features: SharingFeatures, names: Iterable[str] = (),
    ) -> None:  # fmt: skip
        self.decisions, self.features = decisions, features
        self.fleet = codec.fleet_id(members, names)
        self.swim = Swim(me, members, life, seed, now)
        self.counters, self.judgements = CounterStore(), Judgements()
        self.receive_limit = TokenBucket(MAX_DATAGRAMS_PER_S, now)
        self.transfers = QuotaTransfers(self.swim.last_nonce)
        self.sent = self.received = self.bytes_sent = 0
        self.rotation = 0
        # overloaded hosts: by observer, load ratio and time
        self.overload_witnesses: dict[int, dict[int, tuple[float, float]]] = {}
        # confirmed overloads to act on: time, load ratio
        self.pending_relief: dict[int, tuple[float, float]] = {}
        self.observed_until, self.overload_report = now, []
        self.report_limit = TokenBucket(MAX_OVERLOAD_REPORTS_PER_S, now)
        self.next_check_at = now + SHORTAGE_CHECK_MS * self.swim._random()
        self.next_judgement_at = now + JUDGE_INTERVAL_MS * self.swim._random()

    # ---- input and output

    @property
    def due(self) -> float:
        """Time of the next call of `tick` if nothing arrives before."""
        return min(self.swim.due, self.next_check_at)

    def tick(self, now: float) -> list[tuple[int, bytes]]:
        """Runs what is due; returns datagrams by member."""
        sends = self.swim.tick(now)
        if now >= self.next_check_at:
            self.next_check_at = now + SHORTAGE_CHECK_MS * (0.75 + self.swim._random() / 2)
            sends += self._run_periodic(now)
        return self._encode(now, sends)

    def receive_datagram(
        self, now: float, data: bytes, sender: int | None, read_delay: float = 0.0,
    ) -> list[tuple[int, bytes]]:  # fmt: skip
        """Processes a datagram from the address of `sender` that may have waited for `read_delay`; returns
        the answers.
        """
        # Under a flood decoding every datagram would be costly; above the rate limit only the limiter runs.
        if not self.receive_limit.take(now):
            self.swim.drop("flood")
            return []
        try:
            message = codec.decode(data, self.fleet, self.swim.members)
            if sender != message.sender:
                raise DatagramError("not-its-address")
            sections = message_sections.decode(message.sections, self.swim.members)
        except DatagramError as reason:
            self.swim.drop(str(reason))
            return []
        self.received += 1
        sends, answer = self.swim.receive(now, message)
        if message.sender == self.swim.me or message.life != self.swim.life[message.sender]:
            return self._encode(now, sends)
        for counter in sections.counters:
            if counter.member != self.swim.me and (reason := self.counters.merge(now, counter)):
                self.swim.drop(reason)
        if answer is not None:
            self._apply_answer(now, answer, sections)
        elif message.kind is MessageKind.QUOTA_REQUEST:
            sends, grants = self._grant(now, message, sections.requests)
            return self._encode(now, sends, grants)
        elif message.kind is MessageKind.OVERLOAD_REPORT and self.features.full:
            # After a suspension, queued reports of overload would look current without the delay.
            self._receive_overload_report(
                now, message.sender, [(h, x, age + read_delay) for h, x, age in sections.loads]
            )
        elif message.kind is MessageKind.QUOTA_GRANT:
            self._accept_grants(now, message, sections.grants)
        return self._encode(now, sends)

    def _encode(self, now: float, sends: list[Send], grants: list | None = None) -> list[tuple[int, bytes]]:
        encoded = []
        for to, message in sends:
            sections = self._encode_sections(now, message.kind, grants or [])
            data = codec.encode(message._replace(sections=sections), self.fleet)
            self.sent, self.bytes_sent = self.sent + 1, self.bytes_sent + len(data)
            encoded.append((to, data))
        return encoded

    # ---- sending

    def _encode_sections(self, now: float, kind: MessageKind, grants: list[tuple[int, float]]) -> bytes:
        if kind is MessageKind.GOSSIP:
            return b""
        if kind is MessageKind.OVERLOAD_REPORT:
            return message_sections.encode(MessageSections(loads=self.overload_report), codec.SECTION_BYTES)
        if kind is MessageKind.QUOTA_GRANT:
            return message_sections.encode(MessageSections(grants=grants), codec.SECTION_BYTES)
        if kind is MessageKind.QUOTA_REQUEST:
            return message_sections.encode(
                MessageSections(requests=self._rotate(self._wanted_quota(now), REQUEST_ROWS)),
                codec.SECTION_BYTES,
            )
        observations, me = self.decisions.observations(now), self.swim.me
        sections = MessageSections(majority_failing=observations.majority_failing)
        if self.features.weight:
            for subject, value in observations.counters:
                self.counters.merge(now, CounterValue(subject, me, self.swim.life[me], min(value, MAX_VALUE)))
            sections.counters = list(self.counters.rows_to_send(COUNTER_ROWS, me))
        if kind is MessageKind.ACK and self.features.prior:
            # other nodes need hosts with headroom; each node reports only what it has observed itself
            least_loaded = sorted(
                (x, h, now - at) for h, x, at in observations.loads if now - at <= LOAD_VALIDITY_MS
            )
            sections.loads = [(h, x, age) for x, h, age in least_loaded[:LOAD_ROWS]]
        if kind is MessageKind.ACK and self.features.lost:
            own = [
                Judgement(h, condition, me, now - at)
                for h, condition, at in observations.conditions
                if now - at <= VALIDITY_MS
            ]
            others = [
                Judgement(h, condition, member, now - at)
                for (h, member), (condition, at, _) in self.judgements.rows.items() if member != me
            ]  # fmt: skip
            sections.judgements = self._rotate(own, JUDGEMENT_ROWS) + self._rotate(others, JUDGEMENT_ROWS)
        return message_sections.encode(sections, codec.SECTION_BYTES)

    def _wanted_quota(self, now: float) -> list[tuple[int, float]]:
        """Returns the budgets that lack quota, and the amounts."""
        return [row for row in self.decisions.wanted_quota(now) if self._may_transfer(row[0])]

    def _rotate(self, rows: list, limit: int) -> list:
        """Returns a limited number of rows, different ones on each call."""
        if len(rows) <= limit:
            return rows
        self.rotation += 1
        first = self.rotation * limit % len(rows)
        return (rows + rows)[first : first + limit]

    # ---- receiving

    def _apply_answer(self, now: float, answer: AnswerReceived, sections: MessageSections) -> None:
        """Uses an answer to a request of this node; its content is dated from the time of the request."""
        if self.features.prior:
            for host, load_ratio, age in sections.loads:
                if (observed_at := answer.asked_at - age) > now - LOAD_VALIDITY_MS:
                    self.decisions.take_peer_load(now, host, load_ratio, observed_at)
        if not self.features.lost:
            return
        if sections.majority_failing:
            self.judgements.mark_unsound(now, answer.member)
        for judgement in sections.judgements:
            if judgement.member != self.swim.me:
                reason = self.judgements.record(now, judgement, answer.asked_at, answer.member)
                if reason is not None:
                    self.swim.drop(reason)

    # ---- quota transfers

    def _may_transfer(self, budget: int) -> bool:
        return self.features.room if budget == SHARED_HEADROOM_BUDGET else self.features.cold

    def _grant(
        self, now: float, message: Message, requests: list[tuple[int, float]],
    ) -> tuple[list[Send], list[tuple[int, float]]]:  # fmt: skip
        if not self.swim.answer_limit.take(now):
            self.swim.drop("too-many")
            return [], []

        def lend(budget: int, limit: float) -> float:
            return (
                message_sections.round_down_to_wire(self.decisions.lend(now, budget, limit))
                if self._may_transfer(budget)
                else 0.0
            )

        grants = self.transfers.grant(
            message.sender, message.life, message.nonce, requests[:REQUEST_ROWS], lend
        )
        answer = self.swim.message_without_updates(MessageKind.QUOTA_GRANT, self.swim.me, message.nonce)
        return ([Send(message.sender, answer)] if grants else []), grants

    def _accept_grants(self, now: float, message: Message, grants: list[tuple[int, float]]) -> None:
        def borrow(budget: int, amount: float, until: float) -> None:
            self.decisions.borrow(now, budget, amount, until)

        asked_at = self.transfers.accept(now, message.sender, message.nonce, grants, borrow)
        if asked_at is None:
            self.swim.drop("unasked")
        else:
            self.swim.record_answer(now, message.sender, asked_at)

    # ---- periodic work

    def _run_periodic(self, now: float) -> list[Send]:
        if now >= self.next_judgement_at:
            self.next_judgement_at = now + JUDGE_INTERVAL_MS
            self._apply_judgements(now)
        sends = self._report_overload(now) if self.features.full else []
        if not (self.features.room or self.features.cold) or not self._wanted_quota(now):
            return sends
        member = self.swim.random_live_member(now)
        if member is None:
            return sends
        return [
            *sends,
            Send(
                member,
                self.swim.message_without_updates(
                    MessageKind.QUOTA_REQUEST, member, self.transfers.request(now, member)
                ),
            ),
        ]

    def _report_overload(self, now: float) -> list[Send]:
        """Acts on confirmed overloads that are due; reports overloaded hosts observed by this node."""
        for host in [h for h, (at, _) in self.pending_relief.items() if now >= at]:
            self.decisions.relieve_overloaded_host(now, host, self.pending_relief.pop(host)[1])
        overloaded = self.decisions.overloaded_hosts(now, self.observed_until)
        self.observed_until = now
        new = [(h, x, now - at) for h, x, at in overloaded if not self._is_confirmed(now, h)]
        for host, load_ratio, age in new:
            self._add_witness(now, self.swim.me, host, load_ratio, age)
        if not new or self.swim.duplicate_name or not self.report_limit.take(now):
            return []
        self.overload_report = new[:LOAD_ROWS]
        return [
            Send(EVERYONE, self.swim.message_without_updates(MessageKind.OVERLOAD_REPORT, self.swim.me, 0))
        ]

    def _is_confirmed(self, now: float, host: int) -> bool:
        return len(recent_observations(now, self.overload_witnesses.get(host, {}))) >= OVERLOAD_WITNESSES

    def _receive_overload_report(self, now: float, member: int, rows: list[tuple[int, float, float]]) -> None:
        for host, load_ratio, age in rows[:LOAD_ROWS]:
            if age <= OVERLOAD_VALIDITY_MS and load_ratio > 1.0:
                self._add_witness(now, member, host, load_ratio, age)

    def _add_witness(self, now: float, member: int, host: int, load_ratio: float, age: float) -> None:
        if host not in self.overload_witnesses and len(self.overload_witnesses) >= MAX_OVERLOADED_HOSTS:
            self.overload_witnesses = {
                h: new
                for h, rows in self.overload_witnesses.items()
                if (new := recent_observations(now, rows))
            }
            if len(self.overload_witnesses) >= MAX_OVERLOADED_HOSTS:
                return
        rows = recent_observations(now, self.overload_witnesses.get(host, {}))
        rows[member] = load_ratio, now - age
        self.overload_witnesses[host] = rows
        # A single node with a wrong observation must not move the sessions of all nodes; two must agree.
        if len(rows) >= OVERLOAD_WITNESSES and host not in self.pending_relief:
            confirmed_ratio = sorted((x for x, _ in rows.values()), reverse=True)[OVERLOAD_WITNESSES - 1]
            self.pending_relief[host] = now + OVERLOAD_SPREAD_MS * self.swim._random(), confirmed_ratio

    def _apply_judgements(self, now: float) -> None:
        if self.features.lost:
            self.judgements.expire(now)
            for host, until in self.judgements.lost_hosts(
                now, self.decisions.observations(now).host_count
            ).items():
                self.decisions.take_unreachable_report(now, host, until)
        if self.features.weight:
            self.counters.expire(now)
            self.decisions.set_sender_count(self._effective_senders(now))

    def _effective_senders(self, now: float) -> float | None:
        """Returns how many nodes like this one would send what all send; None if too few have reported."""
        others, known = self.counters.rate(now, DIALS_STARTED, self.swim.me)
        own = self.counters.own_rate(DIALS_STARTED, self.swim.me, self.swim.life[self.swim.me])
        if known < MIN_REPORTING_MEMBERS or not own:
            return None
        # members without a report yet count as the average, silent ones do not count
        return 1 + others / known * max(len(self.swim.alive()), known) / own

    # ---- metrics

    def lines(self, now: float) -> list[str]:
        """Returns the metrics for `caperdeck peers show`."""
        swim = self.swim
        direct, heard_of = swim.count_heard(now, HEARD_WITHIN_MS)
        states = {s.name.lower(): sum(x is s for x in swim.state) for s in codec.MemberState}
        rows = {f"members_{name}": count for name, count in states.items()} | {
            "members_never_heard": sum(not life for life in swim.life),
            "members_returned": sum(swim.restarts),
            "heard_direct": direct, "heard_of": heard_of, "doubled_name": int(swim.duplicate_name),
            "life": swim.life[swim.me], "datagrams_sent": self.sent, "datagrams_taken": self.received,
            "datagram_bytes_sent": self.bytes_sent, "load_lent": round(self.transfers.lent, 1),
            "load_borrowed": round(self.transfers.borrowed, 1),
            "load_too_late": round(self.transfers.late, 1),
            "counts_kept": len(self.counters.stored),
            "fleet_dials": self.counters.total(DIALS_STARTED),
            "fleet_held": self.counters.total(DIALS_STARTED) - self.counters.total(DIALS_ENDED),
            "judgements_kept": len(self.judgements.rows),
        }  # fmt: skip
        lines = [f"app_peers_{name} {value}" for name, value in rows.items()]
        for subject, value in self.decisions.observations(now).counters:
            if subject not in (DIALS_STARTED, DIALS_ENDED):
                sent = max(self.counters.total(subject), value)
                lines.append(f'app_peers_sent_cold{{pot="{subject:08x}"}} {sent}')
        dropped = sorted(swim.dropped.items())
        return lines + [f'app_peers_dropped_total{{reason="{name}"}} {count}' for name, count in dropped]


def recent_observations(now: float, rows: dict[int, tuple[float, float]]) -> dict[int, tuple[float, float]]:
    """Returns the observations that are still valid."""
    return {member: row for member, row in rows.items() if now - row[1] <= OVERLOAD_VALIDITY_MS}


def life_from(unix_ms: float) -> int:
    """Returns a life that grows with time: tenths of a second since 2026."""
    return max(int((unix_ms - 1_767_225_600_000.0) / 100.0), 1) & 0x7FFFFFFF if math.isfinite(unix_ms) else 1
