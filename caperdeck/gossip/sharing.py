"""One node's side of all that the fleet shares, as one state machine: time and datagrams in, datagrams out.

It asks the decisions for numbers and hands them numbers; what may be sent is decided there alone.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple, Protocol

import caperdeck.peers.codec as codec
from caperdeck.peers.codec import DatagramError, MessageKind, Message
from caperdeck.peers.swim import EVERYONE, TokenBucket, AnswerReceived, Send, Swim

from . import message_sections
from .counters import MAX_VALUE, CounterValue, CounterStore
from .judgements import VALIDITY_MS, HostCondition, Judgement, Judgements
from .quota_transfers import QuotaTransfers
from .message_sections import MessageSections

SHORTAGE_CHECK_MS = 100.0  # so often a node looks whether it is short of rights, a session's wait for a host
JUDGE_INTERVAL_MS = 500.0
HEARD_WITHIN_MS = 30_000.0  # what `hearing` is stated for
MAX_DATAGRAMS_PER_S = 200.0  # datagrams a second that are looked at, at the most
SHARED_ROOM_BUDGET = 0  # the budget of the room of all hosts
DIALS_STARTED, DIALS_ENDED = 0, 1  # counts of all hosts together: dials, and those that ended
COUNTER_ROWS, LOAD_ROWS, JUDGEMENT_ROWS, REQUEST_ROWS = 4, 10, 4, 4
OVERLOAD_VALIDITY_MS = 1500.0  # a look that shows a host past full load counts for so long
OVERLOAD_WITNESSES = 2
OVERLOAD_SPREAD_MS = 500.0  # milliseconds in which nodes act on it, each at a random moment
MAX_OVERLOADED_HOSTS = 128
MAX_OVERLOAD_REPORTS_PER_S = 2.0  # a second
MIN_REPORTING_MEMBERS = 3  # members that have told what they send, before it counts
LOAD_VALIDITY_MS = 2000.0  # an older figure is told to nobody, and not taken


class SharingFeatures(NamedTuple):
    """What is done with what is shared; everything off is membership alone."""

    room: bool = False
    cold: bool = False
    prior: bool = False
    lost: bool = False
    weight: bool = False
    full: bool = False


class LocalObservations(NamedTuple):
    """What the decisions tell of themselves; hosts under their marks."""

    counts: list[tuple[int, int]]  # subject and value, growing: dials, those ended, dials to cold hosts
    figures: list[tuple[int, float, float]]  # host, load over capacity, seen at
    words: list[tuple[int, HostCondition, float]]  # host, what, seen at
    ill_everywhere: bool
    hosts: int


class Decisions(Protocol):
    """The decisions, as far as this part speaks with them."""

    def show(self, now: float) -> LocalObservations: ...

    def wants(self, now: float) -> list[tuple[int, float]]: ...

    def lend(self, now: float, budget: int, most: float) -> float: ...

    def borrow(self, now: float, budget: int, amount: float, until: float) -> None: ...

    def told(self, now: float, host: int, figure: float, seen: float) -> None: ...

    def told_lost(self, now: float, host: int, until: float) -> None: ...

    def overfull(self, now: float, since: float) -> list[tuple[int, float, float]]: ...

    def told_full(self, now: float, host: int, figure: float) -> None: ...

    def others_send(self, alike: float | None) -> None: ...


class Sharing:
    def __init__(
        self, decisions: Decisions, me: int, members: int, life: int, seed: int, now: float,
        uses: SharingFeatures, names: Iterable[str] = (),
    ) -> None:  # fmt: skip
        self.decisions, self.uses = decisions, uses
        self.fleet = codec.fleet_id(members, names)
        self.swim = Swim(me, members, life, seed, now)
        self.counts, self.judgements = CounterStore(), Judgements()
        self.gate = TokenBucket(MAX_DATAGRAMS_PER_S, now)
        self.loans = QuotaTransfers(self.swim.last_nonce)
        self.sent = self.received = self.bytes = 0
        self.turns = 0
        self.full: dict[int, dict[int, tuple[float, float]]] = {}  # hosts seen past full: by whom, how, when
        self.crowded: dict[int, tuple[float, float]] = {}  # hosts to act on: when, and the load
        self.looked_to, self.telling = now, []
        self.tells = TokenBucket(MAX_OVERLOAD_REPORTS_PER_S, now)
        self.next_at = now + SHORTAGE_CHECK_MS * self.swim._random()
        self.judge_at = now + JUDGE_INTERVAL_MS * self.swim._random()

    # ---- in and out

    @property
    def due(self) -> float:
        return min(self.swim.due, self.next_at)

    def tick(self, now: float) -> list[tuple[int, bytes]]:
        sends = self.swim.tick(now)
        if now >= self.next_at:
            self.next_at = now + SHORTAGE_CHECK_MS * (0.75 + self.swim._random() / 2)
            sends += self._turn(now)
        return self._encode(now, sends)

    def datagram(
        self, now: float, data: bytes, sender: int | None, lay: float = 0.0,
    ) -> list[tuple[int, bytes]]:  # fmt: skip
        """One datagram, from that member's address, that may have lain there so long; what is sent for it."""
        # Danger: a flood costs a look at each; past the bound it costs a comparison.
        if not self.gate.take(now):
            self.swim.drop("flood")
            return []
        try:
            message = codec.decode(data, self.fleet, self.swim.members)
            if sender != message.sender:
                raise DatagramError("not-its-address")
            extra = message_sections.decode(message.sections, self.swim.members)
        except DatagramError as reason:
            self.swim.drop(str(reason))
            return []
        self.received += 1
        sends, heard = self.swim.receive(now, message)
        if message.sender == self.swim.me or message.life != self.swim.life[message.sender]:
            return self._encode(now, sends)
        for c in extra.counts:
            if c.member != self.swim.me and (reason := self.counts.merge(now, c)):
                self.swim.drop(reason)
        if heard is not None:
            self._heard(now, heard, extra)
        elif message.kind is MessageKind.ASK:
            sends, grants = self._give(now, message, extra.wants)
            return self._encode(now, sends, grants)
        elif message.kind is MessageKind.TELL and self.uses.full:
            # Danger: read after a sleep, looks told to all that lay there seem to be of this moment.
            self._crowd(now, message.sender, [(h, x, age + lay) for h, x, age in extra.seen])
        elif message.kind is MessageKind.GIVE:
            self._take(now, message, extra.grants)
        return self._encode(now, sends)

    def _encode(self, now: float, sends: list[Send], grants: list | None = None) -> list[tuple[int, bytes]]:
        out = []
        for to, message in sends:
            riding = self._notes(now, message.kind, grants or [])
            data = codec.encode(message._replace(sections=riding), self.fleet)
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
            out.append((to, data))
        return out

    # ---- what is told

    def _notes(self, now: float, kind: MessageKind, grants: list[tuple[int, float]]) -> bytes:
        if kind is MessageKind.GOSSIP:
            return b""
        if kind is MessageKind.TELL:
            return message_sections.encode(MessageSections(seen=self.telling), codec.SECTION_BYTES)
        if kind is MessageKind.GIVE:
            return message_sections.encode(MessageSections(grants=grants), codec.SECTION_BYTES)
        if kind is MessageKind.ASK:
            return message_sections.encode(
                MessageSections(wants=self._some(self._wanted(now), REQUEST_ROWS)), codec.SECTION_BYTES
            )
        shown, me = self.decisions.show(now), self.swim.me
        n = MessageSections(ill_everywhere=shown.ill_everywhere)
        if self.uses.weight:
            for subject, value in shown.counts:
                self.counts.merge(now, CounterValue(subject, me, self.swim.life[me], min(value, MAX_VALUE)))
            n.counts = list(self.counts.rows(COUNTER_ROWS, me))
        if kind is MessageKind.ACK and self.uses.prior:
            # hosts with room are what another lacks; each node tells of those that it has looked at itself
            low = sorted((x, h, now - at) for h, x, at in shown.figures if now - at <= LOAD_VALIDITY_MS)
            n.seen = [(h, x, age) for x, h, age in low[:LOAD_ROWS]]
        if kind is MessageKind.ACK and self.uses.lost:
            own = [Judgement(h, word, me, now - at) for h, word, at in shown.words if now - at <= VALIDITY_MS]
            others = [
                Judgement(h, word, member, now - at)
                for (h, member), (word, at, _) in self.judgements.rows.items() if member != me
            ]  # fmt: skip
            n.judged = self._some(own, JUDGEMENT_ROWS) + self._some(others, JUDGEMENT_ROWS)
        return message_sections.encode(n, codec.SECTION_BYTES)

    def _wanted(self, now: float) -> list[tuple[int, float]]:
        """Pots that are short, and by how much."""
        return [w for w in self.decisions.wants(now) if self._allowed(w[0])]

    def _some(self, rows: list, most: int) -> list:
        """So many of the rows, others each time."""
        if len(rows) <= most:
            return rows
        self.turns += 1
        first = self.turns * most % len(rows)
        return (rows + rows)[first : first + most]

    # ---- what is heard

    def _heard(self, now: float, heard: AnswerReceived, n: MessageSections) -> None:
        """The answer to a question of this node's: what it says was so after the question was sent."""
        if self.uses.prior:
            for host, figure, age in n.seen:
                if (seen := heard.asked_at - age) > now - LOAD_VALIDITY_MS:
                    self.decisions.told(now, host, figure, seen)
        if not self.uses.lost:
            return
        if n.ill_everywhere:
            self.judgements.sees_ill_everywhere(now, heard.member)
        for j in n.judged:
            if j.member != self.swim.me:
                reason = self.judgements.take(now, j, heard.asked_at, heard.member)
                if reason is not None:
                    self.swim.drop(reason)

    # ---- loans

    def _allowed(self, budget: int) -> bool:
        return self.uses.room if budget == SHARED_ROOM_BUDGET else self.uses.cold

    def _give(
        self, now: float, m: Message, wants: list[tuple[int, float]],
    ) -> tuple[list[Send], list[tuple[int, float]]]:  # fmt: skip
        if not self.swim.answer_limit.take(now):
            self.swim.drop("too-many")
            return [], []

        def lend(budget: int, most: float) -> float:
            return (
                message_sections.round_down_to_wire(self.decisions.lend(now, budget, most))
                if self._allowed(budget)
                else 0.0
            )

        grants = self.loans.give(m.sender, m.life, m.nonce, wants[:REQUEST_ROWS], lend)
        answer = self.swim.message_without_updates(MessageKind.GIVE, self.swim.me, m.nonce)
        return ([Send(m.sender, answer)] if grants else []), grants

    def _take(self, now: float, m: Message, grants: list[tuple[int, float]]) -> None:
        def borrow(budget: int, amount: float, until: float) -> None:
            self.decisions.borrow(now, budget, amount, until)

        since = self.loans.take(now, m.sender, m.nonce, grants, borrow)
        if since is None:
            self.swim.drop("unasked")
        else:
            self.swim.record_answer(now, m.sender, since)

    # ---- in its turn

    def _turn(self, now: float) -> list[Send]:
        if now >= self.judge_at:
            self.judge_at = now + JUDGE_INTERVAL_MS
            self._judge(now)
        sends = self._tell(now) if self.uses.full else []
        if not (self.uses.room or self.uses.cold) or not self._wanted(now):
            return sends
        member = self.swim.random_live_member(now)
        if member is None:
            return sends
        return [
            *sends,
            Send(
                member,
                self.swim.message_without_updates(MessageKind.ASK, member, self.loans.ask(now, member)),
            ),
        ]

    def _tell(self, now: float) -> list[Send]:
        """Acts on what was told, at a moment of its own; tells the own looks that show a host past full."""
        for host in [h for h, (at, _) in self.crowded.items() if now >= at]:
            self.decisions.told_full(now, host, self.crowded.pop(host)[1])
        looks = self.decisions.overfull(now, self.looked_to)
        self.looked_to = now
        new = [(h, x, now - at) for h, x, at in looks if not self._known_full(now, h)]
        for host, figure, age in new:
            self._witness(now, self.swim.me, host, figure, age)
        if not new or self.swim.duplicate_name or not self.tells.take(now):
            return []
        self.telling = new[:LOAD_ROWS]
        return [Send(EVERYONE, self.swim.message_without_updates(MessageKind.TELL, self.swim.me, 0))]

    def _known_full(self, now: float, host: int) -> bool:
        return len(recent_observations(now, self.full.get(host, {}))) >= OVERLOAD_WITNESSES

    def _crowd(self, now: float, member: int, rows: list[tuple[int, float, float]]) -> None:
        for host, figure, age in rows[:LOAD_ROWS]:
            if age <= OVERLOAD_VALIDITY_MS and figure > 1.0:
                self._witness(now, member, host, figure, age)

    def _witness(self, now: float, member: int, host: int, figure: float, age: float) -> None:
        if host not in self.full and len(self.full) >= MAX_OVERLOADED_HOSTS:
            self.full = {h: new for h, rows in self.full.items() if (new := recent_observations(now, rows))}
            if len(self.full) >= MAX_OVERLOADED_HOSTS:
                return
        rows = recent_observations(now, self.full.get(host, {}))
        rows[member] = figure, now - age
        self.full[host] = rows
        # Danger: one node that sees wrongly would move connections of all; two have to see it.
        if len(rows) >= OVERLOAD_WITNESSES and host not in self.crowded:
            lowest = sorted((x for x, _ in rows.values()), reverse=True)[OVERLOAD_WITNESSES - 1]
            self.crowded[host] = now + OVERLOAD_SPREAD_MS * self.swim._random(), lowest

    def _judge(self, now: float) -> None:
        if self.uses.lost:
            self.judgements.age(now)
            for host, until in self.judgements.lost(now, self.decisions.show(now).hosts).items():
                self.decisions.told_lost(now, host, until)
        if self.uses.weight:
            self.counts.age(now)
            self.decisions.others_send(self._alike(now))

    def _alike(self, now: float) -> float | None:
        """So many nodes like this one would send what all do together; None where too few have told."""
        others, known = self.counts.rate(now, DIALS_STARTED, self.swim.me)
        own = self.counts.own_rate(DIALS_STARTED, self.swim.me, self.swim.life[self.swim.me])
        if known < MIN_REPORTING_MEMBERS or not own:
            return None
        # those that have told nothing yet are taken for like the ones that have, silent ones for nothing
        return 1 + others / known * max(len(self.swim.alive()), known) / own

    # ---- what is shown

    def lines(self, now: float) -> list[str]:
        """Figures for `caperdeck peers show`."""
        swim = self.swim
        direct, news = swim.count_heard(now, HEARD_WITHIN_MS)
        states = {s.name.lower(): sum(x is s for x in swim.state) for s in codec.MemberState}
        rows = {f"members_{name}": count for name, count in states.items()} | {
            "members_never_heard": sum(not life for life in swim.life),
            "members_returned": sum(swim.restarts),
            "heard_direct": direct, "heard_of": news, "doubled_name": int(swim.duplicate_name),
            "life": swim.life[swim.me], "datagrams_sent": self.sent, "datagrams_taken": self.received,
            "datagram_bytes_sent": self.bytes, "load_lent": round(self.loans.lent, 1),
            "load_borrowed": round(self.loans.borrowed, 1), "load_too_late": round(self.loans.late, 1),
            "counts_kept": len(self.counts.kept),
            "fleet_dials": self.counts.total(DIALS_STARTED),
            "fleet_held": self.counts.total(DIALS_STARTED) - self.counts.total(DIALS_ENDED),
            "judgements_kept": len(self.judgements.rows),
        }  # fmt: skip
        lines = [f"app_peers_{name} {value}" for name, value in rows.items()]
        for subject, value in self.decisions.show(now).counts:
            if subject not in (DIALS_STARTED, DIALS_ENDED):
                sent = max(self.counts.total(subject), value)
                lines.append(f'app_peers_sent_cold{{pot="{subject:08x}"}} {sent}')
        dropped = sorted(swim.dropped.items())
        return lines + [f'app_peers_dropped_total{{reason="{name}"}} {count}' for name, count in dropped]


def recent_observations(now: float, rows: dict[int, tuple[float, float]]) -> dict[int, tuple[float, float]]:
    return {member: row for member, row in rows.items() if now - row[1] <= OVERLOAD_VALIDITY_MS}


def life_from(unix_ms: float) -> int:
    """A life that grows with time: tenths of a second since 2026."""
    return max(int((unix_ms - 1_767_225_600_000.0) / 100.0), 1) & 0x7FFFFFFF if math.isfinite(unix_ms) else 1
