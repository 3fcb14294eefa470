"""One node's side of all that the fleet shares, as one state machine: time and datagrams in, datagrams out.

It asks the decisions for numbers and hands them numbers; what may be sent is decided there alone.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import NamedTuple, Protocol

import caperdeck.peers.codec as codec
from caperdeck.peers.codec import DatagramError, Kind, Message
from caperdeck.peers.swim import Bucket, Heard, Send, Swim

from . import notes
from .counts import Count, Counts
from .judgements import SPAN, Judgement, Judgements
from .judgements import Kind as Word
from .notes import Notes

LOAN = 500.0  # from the question until a loan ends
SHORT_EVERY = 100.0  # so often a node looks whether it is short of rights, a session's wait for a host
JUDGE_EVERY = 500.0
HEARD_WITHIN = 30_000.0  # what `hearing` is stated for
TAKEN = 200.0  # datagrams a second that are looked at, at the most
ROOM = 0  # the pot of the room of all hosts
COUNT_ROWS, SEEN_ROWS, JUDGED_ROWS, WANT_ROWS = 3, 8, 4, 4
TELLING = 3  # members that have told what they send, before it counts
REMEMBERED = 256  # questions that were answered with a loan
SEEN_SPAN = 2000.0  # an older figure is told to nobody, and not taken


class Uses(NamedTuple):
    """What is done with what is shared; everything off is membership alone."""

    room: bool = False
    cold: bool = False
    prior: bool = False
    lost: bool = False
    weight: bool = False


class Shown(NamedTuple):
    """What the decisions tell of themselves; hosts under their marks."""

    dialled: float  # load sent since the start
    wants: list[tuple[int, float]]  # pots that are short, and by how much
    figures: list[tuple[int, float, float]]  # host, load over capacity, seen at
    words: list[tuple[int, Word, float]]  # host, what, seen at
    ill_everywhere: bool
    hosts: int


class Decisions(Protocol):
    """The decisions, as far as this part speaks with them."""

    def show(self, now: float) -> Shown: ...

    def lend(self, now: float, pot: int, most: float) -> float: ...

    def borrow(self, now: float, pot: int, amount: float, until: float) -> None: ...

    def told(self, now: float, host: int, figure: float, seen: float) -> None: ...

    def told_lost(self, now: float, host: int, until: float) -> None: ...

    def others_send(self, alike: float | None) -> None: ...


class Sharing:
    def __init__(
        self, decisions: Decisions, me: int, members: int, life: int, seed: int, now: float,
        uses: Uses, names: Iterable[str] = (),
    ) -> None:  # fmt: skip
        self.decisions, self.uses = decisions, uses
        self.fleet = codec.fleet_mark(members, names)
        self.swim = Swim(me, members, life, seed, now)
        self.counts, self.judgements = Counts(), Judgements()
        self.gate = Bucket(TAKEN, now)
        self.answered: dict[tuple[int, int, int], None] = {}  # questions answered with a loan
        self.lent, self.borrowed, self.late = 0.0, 0.0, 0.0  # loads, since the start
        self.sent = self.received = self.bytes = 0
        self.turns = 0
        self.next_at = now + SHORT_EVERY * self.swim._chance()
        self.judge_at = now + JUDGE_EVERY * self.swim._chance()

    # ---- in and out

    @property
    def due(self) -> float:
        return min(self.swim.due, self.next_at)

    def tick(self, now: float) -> list[tuple[int, bytes]]:
        sends = self.swim.tick(now)
        if now >= self.next_at:
            self.next_at = now + SHORT_EVERY * (0.75 + self.swim._chance() / 2)
            sends += self._turn(now)
        return self._encode(now, sends)

    def datagram(self, now: float, data: bytes, sender: int | None) -> list[tuple[int, bytes]]:
        """One datagram, from the address of that member; what is sent for it."""
        # Danger: a flood costs a look at each; past the bound it costs a comparison.
        if not self.gate.take(now):
            self.swim.drop("flood")
            return []
        try:
            message = codec.decode(data, self.fleet, self.swim.members)
            if sender != message.sender:
                raise DatagramError("not-its-address")
            extra = notes.decode(message.notes, self.swim.members)
        except DatagramError as reason:
            self.swim.drop(str(reason))
            return []
        self.received += 1
        sends, heard = self.swim.take(now, message)
        if message.life != self.swim.life[message.sender]:
            return self._encode(now, sends)
        for c in extra.counts:
            if c.member != self.swim.me and (reason := self.counts.merge(now, c)):
                self.swim.drop(reason)
        if heard is not None:
            self._heard(now, heard, extra)
        if message.kind is not Kind.ASK or not sends:
            return self._encode(now, sends)
        grants = self._lend(now, message, extra.wants)
        return self._encode(now, sends, grants) if grants else []

    def _encode(self, now: float, sends: list[Send], grants: list | None = None) -> list[tuple[int, bytes]]:
        out = []
        for to, message in sends:
            riding = self._notes(now, message.kind, grants or [])
            data = codec.encode(message._replace(notes=riding), self.fleet)
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
            out.append((to, data))
        return out

    # ---- what is told

    def _notes(self, now: float, kind: Kind, grants: list[tuple[int, float]]) -> bytes:
        shown, me = self.decisions.show(now), self.swim.me
        if kind is Kind.GIVE:
            return notes.encode(Notes(grants=grants), codec.NOTES)
        if kind is Kind.ASK:
            return notes.encode(Notes(wants=self._some(self._wanted(shown), WANT_ROWS)), codec.NOTES)
        n = Notes(ill_everywhere=shown.ill_everywhere)
        if self.uses.weight:
            value = min(int(shown.dialled), 0xFFFFFFFF)
            self.counts.merge(now, Count(ROOM, me, self.swim.life[me], value))
            n.counts = list(self.counts.rows(COUNT_ROWS, me))
        if kind is Kind.ACK and self.uses.prior:
            fresh = [(h, x, now - at) for h, x, at in shown.figures if now - at <= SEEN_SPAN]
            n.seen = self._some(fresh, SEEN_ROWS)
        if kind is Kind.ACK and self.uses.lost:
            own = [Judgement(h, word, me, now - at) for h, word, at in shown.words if now - at <= SPAN]
            others = [
                Judgement(h, word, member, now - at)
                for (h, member), (word, at, _) in self.judgements.rows.items() if member != me
            ]  # fmt: skip
            n.judged = self._some(own, JUDGED_ROWS) + self._some(others, JUDGED_ROWS)
        return notes.encode(n, codec.NOTES)

    def _wanted(self, shown: Shown) -> list[tuple[int, float]]:
        return [w for w in shown.wants if (self.uses.room if w[0] == ROOM else self.uses.cold)]

    def _some(self, rows: list, most: int) -> list:
        """So many of the rows, others each time."""
        if len(rows) <= most:
            return rows
        self.turns += 1
        first = self.turns * most % len(rows)
        return (rows + rows)[first : first + most]

    # ---- what is heard

    def _heard(self, now: float, heard: Heard, n: Notes) -> None:
        """The answer to a question of this node's: what it says was so after the question was sent."""
        until = heard.since + LOAN
        for pot, amount in n.grants:
            if now >= until:
                # Danger: read after a sleep or a long way, the lender has long had it grow anew.
                self.late += amount
                continue
            self.borrowed += amount
            self.decisions.borrow(now, pot, amount, until)
        if self.uses.prior:
            for host, figure, age in n.seen:
                if (seen := heard.since - age) > now - SEEN_SPAN:
                    self.decisions.told(now, host, figure, seen)
        if not self.uses.lost:
            return
        if n.ill_everywhere:
            self.judgements.sees_ill_everywhere(now, heard.member)
        for j in n.judged:
            if j.member != self.swim.me:
                reason = self.judgements.take(now, j, heard.since, heard.member)
                if reason is not None:
                    self.swim.drop(reason)

    def _lend(self, now: float, m: Message, wants: list[tuple[int, float]]) -> list[tuple[int, float]]:
        """What this node gives for a question, once; it has it no more from here on, arrive or not."""
        key = m.sender, m.life, m.nonce
        if not wants or key in self.answered:
            # Danger: a question that was doubled on its way would be lent to twice.
            return []
        if len(self.answered) >= REMEMBERED:
            del self.answered[next(iter(self.answered))]
        self.answered[key] = None
        grants = []
        for pot, most in wants[:WANT_ROWS]:
            if (self.uses.room if pot == ROOM else self.uses.cold) and most > 0:
                amount = notes.as_sent(self.decisions.lend(now, pot, most))
                if amount > 0:
                    self.lent += amount
                    grants.append((pot, amount))
        return grants

    def _turn(self, now: float) -> list[Send]:
        if now >= self.judge_at:
            self.judge_at = now + JUDGE_EVERY
            self._judge(now)
        if not (self.uses.room or self.uses.cold) or not self._wanted(self.decisions.show(now)):
            return []
        ask = self.swim.ask(now)
        return [ask] if ask is not None else []

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
        others, known = self.counts.rate(now, ROOM, self.swim.me)
        own = self.counts.own_rate(ROOM, self.swim.me, self.swim.life[self.swim.me])
        if known < TELLING or not own:
            return None
        # those that have told nothing yet are taken for like the ones that have, silent ones for nothing
        return 1 + others / known * max(len(self.swim.alive()), known) / own

    # ---- what is shown

    def lines(self, now: float) -> list[str]:
        """Figures for `caperdeck peers show`."""
        swim = self.swim
        direct, news = swim.hearing(now, HEARD_WITHIN)
        states = {s.name.lower(): sum(x is s for x in swim.state) for s in codec.State}
        rows = {f"members_{name}": count for name, count in states.items()} | {
            "members_never_heard": sum(not life for life in swim.life), "members_returned": sum(swim.returns),
            "heard_direct": direct, "heard_of": news, "doubled_name": int(swim.doubled),
            "life": swim.life[swim.me], "datagrams_sent": self.sent, "datagrams_taken": self.received,
            "datagram_bytes_sent": self.bytes, "load_lent": round(self.lent, 1),
            "load_borrowed": round(self.borrowed, 1), "load_borrowed_too_late": round(self.late, 1),
            "counts_kept": len(self.counts.kept), "judgements_kept": len(self.judgements.rows),
        }  # fmt: skip
        lines = [f"app_peers_{name} {value}" for name, value in rows.items()]
        dropped = sorted(swim.dropped.items())
        return lines + [f'app_peers_dropped_total{{reason="{name}"}} {count}' for name, count in dropped]


def life_from(unix_ms: float) -> int:
    """A life that grows with time: tenths of a second since 2026."""
    return max(int((unix_ms - 1_767_225_600_000.0) / 100.0), 1) & 0x7FFFFFFF if math.isfinite(unix_ms) else 1
