"""All decisions of a caperdeck node: where a session goes, when it is moved, when it is answered.

How to call it: make a Node from Settings, then call its method for each event in the order of arrival; each
call returns the actions to carry out, in order. model.py is the interface; docs/design.md says why.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Generator, Iterator
from itertools import chain, islice

from .seeded_random import chance
from .forecast import forecast, take_load_note
from .model import (
    NEVER_RAN, Action, Dial, DialRecord, Effect, HostState, LoadReport, Move, NoteKind, Outcome, Probe,
    Refuse, RosterEntry, RosterScope, Scope, SessionRequest, SessionState, Settings, TearDown, Wake, Watch,
    Withdraw,
)  # fmt: skip
from .quotas import ROOM_BUDGET
from .sampling import without_replacement
from .slow_start import ColdSlots

# ---- constants (milliseconds, or shares of full load)

FULL_LOAD = 1.0
TRIGGER = 0.85  # the headroom threshold where the figure does not rise
TRIGGER_LEAST = 0.6  # the lowest that a steep rise can push it
ROOM = 0.75  # nothing new goes to a host at or above this
ROOM_NEAR = 0.8  # the same for the own zone, where leaving it has a price
LESSER = 0.4  # of full load lower, where nearly no host has room, is the level for next to no utility
LANDING = 1000.0  # from a move until the moved load has gone
COUNT_TRIGGER = 1.5  # without figures: this multiple of the mean count
COUNT_CHANCE = 2.8  # and so many roots of the mean over it
COUNT_LEAST = 3.5  # and so many connections over it at the least
MOVE_AGE = 2000.0  # connections younger than this are spared
SETTLE = 2500.0  # a report sooner after the last one acted on does not show its moves yet
NOTE_SETTLE = 900.0  # a note of work piled up is not late: it shows all but the moves just before
PROBE_EVERY = 2000.0  # hosts with own connections, as far as the sessions taken pay for it
ALL_LOOKS = 3.0  # probes of a host in that time by all nodes together that no session has to pay for
FRESH = 1000.0  # a candidate whose figure is older is looked at first
FULL_LOOKS = 2.0  # in that time, by all nodes together, at a host that is full by its figure
PROBE_LOST = 3000.0  # a probe unanswered for so long is held to be lost
LOOK_WAIT = 0.25  # of the handshake target: so long a session waits for its candidates' figures
LOOKS = 3  # so often at the most
NOT_MEASURED = 0.2  # of full load by its connections: a figure of 0 is none yet
FIGURE_LIFE = 7000.0  # an older figure says nothing
PRIOR_LIFE = 2000.0  # and one that another node saw
PILE_LIFE = 1500.0  # so long a note of work piled up holds
DRAIN = 1000.0  # a pile is to be worked off in so long beside the load
REPORT_LAG = 1000.0  # what a report tells is about so old when it comes
DRAWS = 16  # so many hosts are drawn for two that may have room
GROUP_PRIME = 4294967291  # shuffles the hosts' marks for a group
MOST_ORDERS = 4096  # of groups are kept
GROUP_MARGIN = 0.2  # the first host of a group is left only for one with so much less load
TICK = 500.0
FIRST_TIME_OUT = 0.6  # of the handshake target; each further dial has
TIME_OUT_GROWTH = 1.5  # so many times more
WAIT_FOR_HOST = 100.0
ILL = 2.0  # failures, halved by each success, from which a host is shunned
SHUN = 500.0  # and for how long at first, doubled with each failure
SHUN_MOST = 8000.0
FAILURES = (Outcome.ERROR, Outcome.LATE, Outcome.UNREACHED, Outcome.RESET)
CROWDED = (Outcome.FULL, Outcome.LATE, Outcome.RESET)
BACK_OFF = 500.0
ARRIVAL = 50.0  # until what is sent has arrived at its host
UNEVEN = 1.5  # times its even share of the fleet's room a node may fill: clients come unevenly
UNIT_SMOOTH = 0.03  # of the way, each tick, to what the last reports say fills a host
UNIT_SPAN = 2.0  # times as much or as little as the mean, at the most, is believed of one host
SLACK = 1.0  # a bell may ring so much early by the rounding of its time
TICK_TOKEN = -1


class Node(ColdSlots):
    """One balancer's decisions. It knows only what its own events have told it."""

    def __init__(self, settings: Settings, now: float) -> None:
        super().__init__(settings)
        self.now, self.draws = now, 0
        self.acts: list[Action] = []
        self.sessions: dict[int, SessionState] = {}
        self.rights.grow(now, ROOM_BUDGET)
        self.alike = math.sqrt(settings.nodes)  # how many nodes are held to do as this one does
        self.preferred, self.preferred_near = [], []  # own subsets of running and near, drawn before the rest
        self.known = {}  # hosts with a figure not too old, oldest first
        self.ailing, self.most_ill = {}, False  # hosts that look ill; more than half of those known do
        self.probe_credit = 0.0  # probes that the sessions taken allow
        self.part = self.rights.saved[ROOM_BUDGET] = math.inf  # own part of the fleet's room, all and left
        self.scarce, self.short_at = 0.0, -math.inf  # of the hosts, without room; when one was last lacking
        self.mean_hint, self.asked, self.each = 0.0, 0, 0.0  # of all that asked, so many; of those that stand
        self.mean_figure, self.unit = None, 0.0  # load that fills a host of size 1, 0 while unknown
        self.held_full = 0.0  # without figures: the part of the hosts not marked here that others found full
        self.watch_wait, self.watch_at = 250.0, math.inf
        self.apply_settings(now, settings)

    def start(self) -> list[Action]:
        return [Watch()] * self.set.subscribe + [Wake(TICK * (0.5 + self.chance()), TICK_TOKEN)]

    def apply_settings(self, now: float, settings: Settings) -> list[Action]:
        """Other settings from now on; a session keeps the listener and the dials that it began with."""
        self.set, self.fleet = settings, settings.nodes  # so many like this one send, unless told otherwise
        self.most_utility = max(c.utility for c in settings.listeners) or 1.0
        self.shortest = min(c.message_target for c in settings.listeners)
        self.has_figures = settings.may_probe and settings.figures  # hosts tell figures when probed
        for budget in range(len(self.rights.idle_until)):
            self.rights.look_again(budget)
        self._recount(self.now)
        return []

    def chance(self) -> float:
        self.draws += 1
        return chance(self.set.seed, self.draws)

    def _done(self) -> list[Action]:
        acts, self.acts = self.acts, []
        return acts

    # ---- hosts: roster, warmth, health

    def update_roster(self, now: float, scope: RosterScope, entries: list[RosterEntry]) -> list[Action]:
        self.now = now
        if scope is RosterScope.FAILED:
            # Danger: unsubscribed and silent, we would be held to know of drains we never heard of.
            self.watch_at = now + self.watch_wait * (0.5 + self.chance())
            self.watch_wait = min(self.watch_wait * 2, self.set.ask_every / 4)
            return self._done()
        self.watch_wait = 250.0
        if scope is not RosterScope.CHANGES:
            self._drop_unlisted(entries)
        for e in entries:
            self._enter(now, e)
        self._recount(self.now)
        return self._done()

    def set_ban(self, now: float, h: int, out: bool) -> list[Action]:
        """By hand: nothing new to the host from now until it is called back, whatever the roster says."""
        self.now = now
        self._enter_ban(now, h, out)
        self._recount(self.now)
        return []

    def forget_hosts(self, now: float) -> None:
        """The node was away for longer than figures last."""
        # Danger: its own absence looks like the hosts'; old budgets and room were taken by others meanwhile.
        for h in range(len(self.state)):
            self._forget(now, h)
        self.known.clear()
        self._survey(now)

    def _failed(self, now: float, h: int) -> None:
        self.ill[h] = min(self.ill[h] + 1, 8.0)
        if self.ill[h] >= ILL:
            self.ailing[h] = None
            span = min(SHUN * 2 ** (self.ill[h] - ILL), SHUN_MOST)
            self.shunned[h] = now + span * (0.75 + self.chance() / 2)

    def _well(self, now: float, h: int) -> bool:
        """Not shunned; once its time is over an ill host gets one dial at a time as a trial."""
        # Danger: an error that most hosts show says nothing about one of them.
        return self.ill[h] < ILL or self.most_ill or (now >= self.shunned[h] and not self.dialing[h])

    def is_avoided(self, now: float, h: int) -> bool:
        return h in self.banned or self.state[h] is HostState.RUNNING and not self._well(now, h)

    # ---- forecasts

    def handle_note(self, now: float, sid: int, kind: NoteKind, value: float) -> list[Action]:
        self.now = now
        if (s := self.sessions.get(sid)) is None:
            return []
        if kind is not NoteKind.MESSAGE_DELAY:
            take_load_note(s, now, value, self.mean_hint)
        elif s.stands is not None:
            self._piled(now, s.dials[-1].host, value)
        return self._done()

    def _piled(self, now: float, h: int, pile: float) -> None:
        """Work piled up, told by a connection: what it grew by since the last note is load past full."""
        span = now - self.pile_at[h]
        grown = (pile - self.pile[h]) / span if 0 < span < SETTLE else 0.0
        self.pile[h], self.pile_at[h] = pile, now
        # Danger: a burst on standing connections overfills every host at once, before any report shows it.
        if pile >= self.shortest:
            load = max(FULL_LOAD + grown, 0.0) + self._pile(now, h)
            self._relieve(now, h, load, TRIGGER, True, NOTE_SETTLE)
        if self._old(h) and now - self.acted_at[h] > SETTLE:
            self._probe(now, h)

    def _forecast(self, now: float, s: SessionState) -> float:
        return forecast(s, now, self.mean_hint)

    # ---- placement

    def _choose(self, s: SessionState) -> Generator[list[Probe], None, int]:
        """The lesser-loaded of two random hosts that may be sent to and have room; -1 if there is none."""
        # Danger: many nodes see the same room in one report; each filling it would overfill it many times.
        if self.rights.have(self.now, ROOM_BUDGET) <= 0:
            self.short_at = self.now
            return -1
        looks, after, margin = 0, math.inf, 0.0 if s.group is None else GROUP_MARGIN
        # Danger: drawn at random only, a cold host is met so seldom by a node with few sessions that most of
        # its budget lapses, while the warm ones are filled past their headroom.
        s.lots = self._lots(self.now, s)
        for room, draw in self._draws(s):
            after = min(after, room)
            draw = chain(s.lots, draw)
            while pair := list(islice((h for h in draw if self._fit(s, h, room)), 2)):
                if old := [h for h in pair if self._old(h)]:
                    if looks == LOOKS:
                        return -1
                    looks += 1
                    yield [Probe(h) for h in old]
                    pair = [h for h in pair if not self._old(h) and self._fit(s, h, after)]
                if len(pair) == 2 and self._load(self.now, pair[1]) + margin < self._load(self.now, pair[0]):
                    pair.reverse()
                if (h := next((h for h in pair if self._passes(self.now, s, h)), -1)) >= 0:
                    return h
        self.short_at = self.now
        return -1

    def _old(self, h: int, span: float = FRESH) -> bool:
        return self.set.may_probe and self.now - self.seen_at[h] > span

    def _fit(self, s: SessionState, h: int, room: float) -> bool:
        # Danger: past its headroom a host soon serves nobody; what it is sent there is lost with the rest.
        fit = self.now >= self.unseen[h] and (self._load(self.now, h) < room or self._unlooked(s, h))
        fit = fit and self._well(self.now, h) and self._open(self.now, s, h)
        return fit and self._allowed(self.now, s, h)

    def _unlooked(self, s: SessionState, h: int) -> bool:
        """Whether a slot is open at a cold host that is full by the mean alone, as nobody has looked yet."""
        # Danger: while any host has room no session looks at it, and one that was called back stays unused.
        return h in s.lots and self._figure(self.now, h) is None and self._old(h)

    def _draws(self, s: SessionState) -> Iterator[tuple[float, Iterator[int]]]:
        """Levels to be under and hosts as drawn; the own zone first where leaving it has a price."""
        # the fewer hosts have room, the more of it is kept for the sessions of the highest utility
        room = ROOM - LESSER * max(1 - s.listener.utility / self.most_utility, 0.0) * self.scarce
        if s.group is not None:
            # every host that holds one of a group pays for the group: all nodes draw the same two for it
            yield room, iter(self._order_of(s.group))
        else:
            # Danger: drawn from all, nearly every session pays for new looks; of few, one serves several.
            if self.set.cross_price:
                yield ROOM_NEAR, self._drawn(self.preferred_near)
                yield ROOM_NEAR, self._drawn(self.near)
            yield room, self._drawn(self.preferred)
            yield room, self._drawn(self.running)
        # Danger: a host nobody looks at stays full on paper, by an old figure, own sends or the mean; many
        # nodes that all look again would use up the probes that a host answers.
        span = FRESH * max(self.set.nodes / FULL_LOOKS, 1.0)
        yield math.inf, (h for h in self._drawn(self.running) if self._old(h, span))

    def _order_of(self, group: int) -> list[int]:
        """The first hosts of those that run in the order that all nodes give them for the group."""
        if (order := self.orders.get(group)) is None:
            marks = self.stable_id
            mixed = [(group * marks[h] % GROUP_PRIME) << 20 | h for h in self.running]
            order = [x & 0xFFFFF for x in heapq.nsmallest(DRAWS, mixed)]
            # Danger: groups come and go for as long as no host does.
            if len(self.orders) >= MOST_ORDERS:
                del self.orders[next(iter(self.orders))]
            self.orders[group] = order
        return order

    def _drawn(self, hosts: list[int]) -> Iterator[int]:
        """Up to DRAWS of the hosts, in random order."""
        return without_replacement(hosts, DRAWS, self.chance)

    def _load(self, now: float, h: int) -> float:
        """A host's load over its capacity, as last probed or else the mean, with what was sent since."""
        if (figure := self._figure(now, h)) is None:  # unused or newly started
            figure = self._unreported(now, h)
        if now - self.prior_at[h] < PRIOR_LIFE and self.prior_at[h] - self.figure_at[h] > FRESH:
            figure = self.prior[h]  # says whether the host is worth a look of the own, which decides
        # Danger: work piled up serves nobody in time while the load over capacity looks fine again.
        figure += self._pile(now, h)
        if not self.unit:
            return figure
        # other nodes see the same reports; not all draw this host, and few connections tell little of theirs
        alike = self.alike if self.has_figures else self.alike * self._met_by_others(1)
        return figure + alike * self.extra[h] / self._fills(h)

    def _unreported(self, now: float, h: int) -> float:
        """The load of a host without a figure: the mean of those told, or else by what this node met."""
        if self.has_figures:
            return self._count_load(h) if self.mean_figure is None else self.mean_figure
        # Danger: what one connection found free is soon used up by all nodes together.
        fresh = now - self.taken_at[h] < FIGURE_LIFE / self.fleet
        count = self._count_load(h)
        return count if fresh else count + self.held_full * (FULL_LOAD - count)

    def _met_by_others(self, hosts: int) -> float:
        """The part of all hosts that the other nodes meet, if each of them meets so many at random."""
        return 1 - (1 - min(hosts / len(self.running), 1.0)) ** (self.fleet - 1) if self.running else 0.0

    def _fills(self, h: int) -> float:
        """The load that fills a host once it is warm: by what it bore itself, if not far from the mean."""
        mean = self.unit * self.size[h]
        return min(max(self.able[h] or mean, mean / UNIT_SPAN), mean * UNIT_SPAN)

    def _count_load(self, h: int) -> float:
        """Without figures: own connections for the host's size, below every threshold; unused is the mean."""
        mean = self.holding / (self.whole_size or 1.0)
        own = self.held[h] / self.size[h] or mean
        return own / (own + mean) * 0.5 if own else 0.0

    def _figure(self, now: float, h: int) -> float | None:
        return self.figure[h] if now - self.figure_at[h] < FIGURE_LIFE else None

    def _pile(self, now: float, h: int) -> float:
        return self.pile[h] / DRAIN if now - self.pile_at[h] < PILE_LIFE else 0.0  # as load, to work it off

    def _survey(self, now: float) -> None:
        """The fleet as the reports show it: mean load, what fills a host of size 1, the own share of room."""
        while self.known and now - self.figure_at[oldest := next(iter(self.known))] >= FIGURE_LIFE:
            del self.known[oldest]
        # Danger: where no report comes own sends add up, until the host is closed to this node for good.
        for h in [h for h in self.loaded if self.added[h][0][0] <= now - FIGURE_LIFE]:
            self._drop_added(h, now - FIGURE_LIFE)
        self.ailing = {h: None for h in self.ailing if self.ill[h] >= ILL}
        # Danger: the room of a host that drains or is gone is no room.
        known = [(self.figure[h], h) for h in sorted(self.known) if self._has_figure(h)]
        self.most_ill = 2 * len(self.ailing) > len(self.known.keys() | self.ailing.keys())
        self.mean_figure = sum(f for f, _ in known) / len(known) if known else None
        if not known:
            self.part = self.rights.saved[ROOM_BUDGET] = math.inf
            # Danger: hosts that looked full long ago would go on closing those that were sent to since.
            self.scarce, self.alike, self.held_full = 0.0, math.sqrt(self.fleet), 0.0
            return
        own = [self._forecast(now, s) for h in self.mine for s in self.standing[h].values()]
        # Danger: a node that has just started holds next to nothing of what fills the hosts, and all of it
        # while the others are away; what the hosts hold for all nodes says more where it is told.
        told = [(f, h) for f, h in known if self.crowd[h] is not None and self._warmth(now, h) >= 1]
        self.each = (sum(own) + self.mean_hint) / (len(own) + 1)
        loads, full = self.each * sum(self.crowd[h] for _, h in told), sum(f * self.size[h] for f, h in told)
        for f, h in told:
            # Danger: by the mean of all a small host that starts cold would be sent what a large one bears.
            if f >= NOT_MEASURED:
                able = self.each * self.crowd[h] / f
                self.able[h] += (able - self.able[h]) * (UNIT_SMOOTH if self.able[h] else 1.0)
        if not told:
            loads, full = self.set.nodes * sum(own), self.mean_figure * self.whole_size
        # Danger: a list may leave no host running while figures of the last ones are still known.
        if loads and full:
            self.unit += (loads / full - self.unit) * (max(UNIT_SMOOTH, 1 / self.asked) if self.unit else 1.0)
        # Danger: what cold hosts lack is room on paper; taken for that, it is sent to the warm ones.
        most = [self._cold_rate(now, h) * REPORT_LAG if self._is_cold(now, h) else ROOM for _, h in known]
        rooms = [
            max(min(ROOM - f - self._pile(now, h), at_most), 0.0)
            for (f, h), at_most in zip(known, most, strict=True)
        ]
        self.scarce = sum(r == 0 for r in rooms) / len(rooms)
        if not self.has_figures:
            # Danger: a mark tells of its own host. That the others look full too is read off the marks that
            # all nodes together have if they are like this one: in a wave most hosts, of three nodes few.
            full = len(known) / len(self.running)
            self.held_full = self._met_by_others(len(known))
            self.scarce = full + (1 - full) * self.held_full
            self.part, self.rights.saved[ROOM_BUDGET] = 0.0, math.inf  # nothing is moved by counts meanwhile
        elif self.unit:
            share = min(UNEVEN / self.set.nodes, 1.0) / len(rooms)
            self.part = self.unit * self.whole_size * share * sum(rooms)
            self.rights.mint(now, ROOM_BUDGET, self.part / REPORT_LAG, self.part)
        # Danger: the fewer hosts have room, the more nodes draw the same one and fill it many times over.
        self.alike = self.fleet ** (0.5 + 0.5 * self.scarce)

    def _has_figure(self, h: int) -> bool:
        """Whether the host runs and has told a figure since it started."""
        return self.state[h] is HostState.RUNNING and self.figure[h] is not None

    def _know(self, now: float, h: int, figure: float) -> None:
        self.figure[h], self.figure_at[h] = figure, now
        self.known.pop(h, None)
        self.known[h] = None
        self._drop_added(h, now - REPORT_LAG)

    # ---- send gate: every dial passes here, and each rule stands here and nowhere else

    def _passes(self, now: float, s: SessionState, h: int) -> bool:
        return self._allowed(now, s, h) and self._pay(now, s, h)

    def _allowed(self, now: float, s: SessionState, h: int) -> bool:
        over = s.answered or s.out or now >= s.deadline or len(s.dials) >= s.most_dials
        return not over and self.state[h] is HostState.RUNNING and self._harmless(now, s, h, s.dials)

    def may_send_request(self, now: float, sid: int) -> bool:
        """The same at the send, once the connection is up: whether the dial that is out may go on."""
        # Danger: meanwhile the host began to drain or started anew, or a window or the client's time ran out.
        if (s := self.sessions.get(sid)) is None or s.answered or now >= s.deadline:
            return False
        h, before = s.dials[-1].host, s.dials[:-1]
        same = self.state[h] is HostState.RUNNING and self.started_at[h] == s.dials[-1].started_at
        return same and self._harmless(now, s, h, before)

    def _harmless(self, now: float, s: SessionState, h: int, before: list[DialRecord]) -> bool:
        """Whether nothing ran yet, or what ran makes the host drop the repeat."""
        ran = self._ran(before)
        if ran is None or s.listener.effect is Effect.REPEATABLE:
            return True
        # Danger: a repeat counts when it arrives; and a host that has started since remembers nothing.
        late = now + ARRIVAL >= ran.at + s.listener.memory_span or self.started_at[h] > ran.at
        return s.listener.effect is Effect.REFERENCED and not late and ran.group == self._group(s, h)

    def _ran(self, dials: list[DialRecord]) -> DialRecord | None:
        return next((d for d in dials if d.may_have_run), None)

    def _may_refuse(self, s: SessionState, wait: float) -> bool:
        ran, listener = self._ran(s.dials), s.listener
        if ran is None or listener.effect is Effect.REPEATABLE:
            return True
        # Danger: a refusal invites the client to come again, which has to reach a host within the window.
        back = self.now + wait + listener.handshake_target + ARRIVAL
        kind = listener.effect, listener.scope
        return kind == (Effect.REFERENCED, Scope.ALL) and back < ran.at + listener.memory_span

    # ---- sessions

    def open_session(self, now: float, a: SessionRequest) -> list[Action]:
        self.now = now
        s = self._new(now, a)
        s.run = self._session(s)
        self._go_on(s, None)
        return self._done()

    def resume_session(self, now: float, a: SessionRequest, h: int) -> list[Action]:
        """A connection that stood before this node started; its dial 0 counts as made."""
        s = self._new(now, a)
        s.dials.append(DialRecord(h, now, self.started_at[h], self._group(s, h)))
        self._hold(h, 1)
        self._stand(s, now - MOVE_AGE)
        return []

    def _new(self, now: float, a: SessionRequest) -> SessionState:
        self.asked += 1
        self.mean_hint += ((1.0 if a.load is None else a.load) - self.mean_hint) * max(0.02, 1 / self.asked)
        self.probe_credit += 1
        s = self.sessions[a.session] = SessionState(
            a.session, self.set.listeners[a.listener], self.set.max_dials, now, now + a.left, a.load,
            a.group, smooth=a.load or 0.0)  # fmt: skip
        return s

    def _session(self, s: SessionState) -> Generator[Action | list[Probe], Outcome | None, None]:
        """One session, from its ask to its answer; a stream's end needs no decision."""
        target = s.listener.handshake_target
        while True:
            if (h := (yield from self._choose(s))) >= 0:
                last = len(s.dials) + 1 >= s.most_dials
                time_out = math.inf if last else FIRST_TIME_OUT * target * TIME_OUT_GROWTH ** len(s.dials)
                result = yield Dial(s.id, h, min(self.now + time_out, s.deadline))
                s.dials[-1].may_have_run = result not in NEVER_RAN
            elif self.now + WAIT_FOR_HOST < min(s.asked + target, s.deadline) and not s.dials:
                yield Wake(WAIT_FOR_HOST, s.id)
            else:
                break
        wait = min(BACK_OFF * (1 + self.chance()), self.set.max_back_off) if self.set.back_off else 0.0
        if self._may_refuse(s, wait):
            yield Refuse(s.id, wait)
        else:
            yield TearDown(s.id)

    def _go_on(self, s: SessionState, result: Outcome | None) -> None:
        """Carries the session on to what it wants done next."""
        act = s.run.send(result)
        if isinstance(act, list):
            s.looking = {probe.host for probe in act}
            for (h,) in act:
                self._probe(self.now, h)
                self.lookers[h].append(s.id)
            wait = LOOK_WAIT * s.listener.handshake_target
            # Danger: a client with little time left would go unanswered while its node looks.
            act = Wake(min(wait, (s.deadline - self.now) / 2), s.id)
        self.acts.append(act)
        if isinstance(act, Wake):
            s.wakes = self.now + act.after - SLACK
        elif isinstance(act, Dial):
            load = self._forecast(self.now, s)
            self.rights.spend(self.now, ROOM_BUDGET, load)
            self._enter_dial(self.now, s, act.host)
            self._add(self.now, act.host, load)
        elif isinstance(act, (Refuse, TearDown)):
            s.answered = True
            del self.sessions[s.id]

    def session_established(self, now: float, sid: int) -> list[Action]:
        if (s := self.sessions.get(sid)) is None or not s.out or s.stands is not None:
            return []
        self._stand(s, now)
        h = s.dials[-1].host
        self.dialing[h] -= 1
        self.ill[h] /= 2
        self.taken_at[h] = now
        return []

    def dial_ended(self, now: float, sid: int, dial: int, result: Outcome, last: bool) -> list[Action]:
        self.now = now
        if (s := self.sessions.get(sid)) is None or not s.out or dial != len(s.dials) - 1:
            return []
        h = s.dials[dial].host
        s.out = False
        self._hold(h, -1)
        self.dialing[h] -= s.stands is None
        if self.standing[h].pop(sid, None) and not self.standing[h]:
            del self.mine[h]
        running = self.state[h] is HostState.RUNNING
        if running and result in FAILURES:
            self._failed(now, h)
        if running and result in CROWDED:
            self._know(now, h, max(self._figure(now, h) or 0.0, FULL_LOAD))  # until the next report
        if last or s.answered:
            s.answered = True
            del self.sessions[sid]
        else:
            self._go_on(s, result)
        return self._done()

    def client_disconnected(self, now: float, sid: int) -> list[Action]:
        if (s := self.sessions.get(sid)) is None:
            return []
        s.answered = True
        if not s.out:
            del self.sessions[sid]
        elif s.stands is None and self.set.may_withdraw:
            self.acts.append(Withdraw(sid, len(s.dials) - 1))
        return self._done()

    def timer_fired(self, now: float, token: int) -> list[Action]:
        self.now = now
        if token == TICK_TOKEN:
            self._tick(now)
        elif (s := self.sessions.get(token)) and not s.answered and not s.out and now >= s.wakes:
            s.looking.clear()
            self._go_on(s, None)
        return self._done()

    # ---- probes and moves

    def _tick(self, now: float) -> None:
        self.acts.append(Wake(TICK, TICK_TOKEN))
        if now >= self.watch_at:
            self.watch_at = math.inf
            self.acts.append(Watch())
        self.cold = self._cold_of(now, self.cold)
        self._survey(now)
        rate = max(ALL_LOOKS * len(self.mine) / self.set.nodes, 1.0) / PROBE_EVERY
        self.probe_credit = min(self.probe_credit + TICK * rate, len(self.mine) + 1)
        # Danger: an overfilled host goes unseen where few sessions pay, or while it has told no figure yet.
        lack = PROBE_EVERY * self.set.figures
        age = {h: now - self.seen_at[h] + lack * (self.figure[h] is None) for h in self.mine}
        for h in sorted(self.mine, key=lambda h: (-age[h], h)):
            if age[h] < PROBE_EVERY or self.probe_credit < 1:
                break
            if not (self.set.may_probe and self.set.figures):
                # Danger: where figures are told but none is there yet, many nodes with few connections each
                # would clear the fleet by their counts; and what chance brings beside the mean is no excess.
                self.seen_at[h], mean = now, self.holding / max(len(self.running), 1)
                if self.held[h] > mean + max(COUNT_CHANCE * math.sqrt(mean), COUNT_LEAST):
                    limit = max(COUNT_TRIGGER * mean, mean + 1)
                    self._relieve(now, h, self.held[h], limit, False, SETTLE)
            elif now >= self.unseen[h] and self.state[h] is HostState.RUNNING and self._probe(now, h):
                self.probe_credit -= 1

    def _probe(self, now: float, h: int) -> bool:
        if not self.set.may_probe or (self.probe_out[h] and now - self.probe_out[h] < PROBE_LOST):
            return False
        self.probe_out[h] = now
        self.acts.append(Probe(h))
        return True

    def probe_completed(self, now: float, h: int, result: Outcome, report: LoadReport) -> list[Action]:
        self.now, self.probe_out[h] = now, 0.0
        if result is Outcome.GOOD:
            self.seen_at[h] = now
            if self.state[h] is HostState.RUNNING:
                self._learn(now, h, report)
                self.probe_credit += self.set.figures and self.figure[h] is None
        elif self.state[h] is HostState.RUNNING and result is not Outcome.NEVER_SENT:
            # Danger: a host that drains or is gone tells nothing and looks like the mean; each session that
            # waits would look again at once, and all nodes together do so by the hundred.
            self.unseen[h] = now + FRESH * (0.75 + self.chance() / 2)
            self._failed(now, h)
        waiting, self.lookers[h] = self.lookers[h], []
        for s in filter(None, map(self.sessions.get, waiting)):
            looked = h in s.looking
            s.looking.discard(h)
            if looked and not s.looking and not s.answered and not s.out:
                self._go_on(s, None)
        return self._done()

    def _learn(self, now: float, h: int, report: LoadReport) -> None:
        figure, self.crowd[h] = report.load, report.connections
        # Danger: a host that holds connections and tells no load yet has not measured it; it is not empty.
        if (
            not figure
            and report.connections
            and report.connections * self.mean_hint >= NOT_MEASURED * self._fills(h)
        ):
            figure = None
        if figure is None and report.backlog is not None:
            figure = report.backlog / self.shortest
        if figure is None:
            return
        last, span = self._figure(now, h), max(now - self.figure_at[h], REPORT_LAG)
        rise = max(figure - last, 0.0) / span if last is not None else 0.0
        self._know(now, h, figure)
        figure += self._pile(now, h)
        threshold = max(min(TRIGGER, FULL_LOAD - rise * LANDING), TRIGGER_LEAST)
        self._relieve(now, h, figure, threshold, figure > FULL_LOAD, SETTLE)

    def _relieve(self, now: float, h: int, figure: float, limit: float, over: bool, settle: float) -> None:
        """Past the limit, moves the highest forecasts off a host, up to the share of the own load there."""
        # Danger: the report may be older than the last moves, whose load would be moved twice.
        if figure <= limit or now - self.acted_at[h] < settle:
            return
        self.acted_at[h] = now
        loads = [(self._forecast(now, s), s.id, s) for s in self.standing[h].values()]
        left = (figure - limit) / figure * sum(load for load, _, _ in loads)
        # Danger: with nowhere better to go, moved connections come back to hosts as full; past full load,
        # where nobody is served, they are moved all the same and refused until there is room.
        room = self.part
        for load, sid, s in sorted(loads, key=lambda x: (-x[0], x[1])):
            if left <= 0:
                break
            if now - s.stands >= MOVE_AGE and (load <= room or over):
                # Danger: many nodes with few connections each would clear a host by rounding their share up.
                if load > left and self.chance() * load > left:
                    # Danger: past full load nobody is served there; a lot that failed is drawn again soon.
                    self.acted_at[h] -= (SETTLE - LANDING) * (over and room == self.part)
                    break
                left, room = left - load, room - load
                self._add(now, h, -load)
                self.acts.append(Move(sid))
