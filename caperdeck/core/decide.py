"""All decisions of a caperdeck node: where a session goes, when it is moved, when it is answered.

How to call it: make a Node from Settings, then call its method for each event in the order of arrival,
with the time in float milliseconds; each call returns the actions to carry out, in order. The interface
(settings, events' values, actions) is caperdeck/core/model.py; docs/design.md says why it decides so.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Generator, Iterator
from dataclasses import dataclass, field
from itertools import islice

from .model import (
    NEVER_RAN, Action, Ask, Dial, Effect, Entry, HostState, Move, Note, Outcome, Probe, Refuse, Report,
    RosterScope, Scope, Settings, TearDown, Wake, Watch, Withdraw,
)  # fmt: skip

# ---- constants (milliseconds, or shares of full load)

FULL_LOAD = 1.0
TRIGGER = 0.85  # the headroom threshold where the figure does not rise
TRIGGER_LEAST = 0.6  # the lowest that a steep rise can push it
ROOM = 0.67  # nothing new goes to a host at or above this
ROOM_NEAR = 0.75  # the same for the own zone, where leaving it has a price
LANDING = 1000.0  # from a move until the moved load has gone
COUNT_TRIGGER = 1.5  # without figures: this multiple of the mean count
MOVE_AGE = 5000.0  # connections younger than this are spared
SETTLE = 2500.0  # a report sooner after moves does not show them yet
PROBE_EVERY = 2000.0
PROBE_LOST = 3000.0  # a probe unanswered for so long is held to be lost
FIGURE_LIFE = 7000.0  # an older figure says nothing
PILE_LIFE = 1500.0  # so long a note of work piled up holds
DRAIN = 1500.0  # a pile is to be worked off in so long beside the load
REPORT_LAG = 1000.0  # what a report tells is about so old when it comes
LOOK = 16  # so many hosts of a draw are looked at for two with room
GROUP_MARGIN = 0.2  # the first host of a group is left only for one with so much less load
FORECAST_TAU = 8000.0  # the smoothing of the present-load hints
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
COLD_SAFETY = 0.6  # of a node's part of a cold host's budget
TICK_TOKEN = -1


@dataclass(slots=True)
class _Sent:
    host: int
    at: float
    may_have_run: bool = True


@dataclass(slots=True, eq=False)
class _Session:
    id: int
    listener: int
    asked: float
    deadline: float
    usual: float | None  # the usual-load hint
    weight: float  # what it takes of a cold host's budget
    group: int | None
    dials: list[_Sent] = field(default_factory=list)
    out: bool = False  # a dial is out or a stream stands
    stands: float | None = None  # since when
    answered: bool = False  # concluded for the client: nothing may be sent any more
    present: float | None = None  # the last load note
    smooth: float = 0.0
    noted: float = 0.0
    run: Generator | None = None


class Node:
    """One balancer's decisions. It knows only what its own events have told it."""

    def __init__(self, settings: Settings, now: float) -> None:
        self.set = settings
        self.now = now
        self.draws = 0
        self.acts: list[Action] = []
        self.sessions: dict[int, _Session] = {}
        # hosts: parallel arrays under the host's index
        self.state: list[HostState] = []
        self.size: list[float] = []
        self.zone: list[int] = []
        self.mark: list[int] = []
        self.cell: list[int] = []
        self.born: list[float] = []
        self.held: list[int] = []  # dials out and standing sessions
        self.dialing: list[int] = []  # dials out
        self.standing: list[dict[int, _Session]] = []
        self.figure: list[float | None] = []  # load over capacity, as last probed
        self.figure_at: list[float] = []
        self.probe_at: list[float] = []  # when to probe next
        self.probe_out: list[float] = []  # when the probe that is out was sent, 0 if none is
        self.pile: list[float] = []  # work piled up, as last noted, and when
        self.pile_at: list[float] = []
        self.moved_at: list[float] = []
        self.added: list[list[tuple[float, float]]] = []  # own load sent since the last report
        self.extra: list[float] = []  # its sum
        self.ill: list[float] = []
        self.shunned: list[float] = []  # until when
        self.tokens: list[float] = []  # cold budget left, in load
        self.tokens_at: list[float] = []
        self.alike = math.sqrt(settings.nodes)  # how many nodes are held to do as this one does
        self.running: list[int] = []
        self.orders: dict[int, list[int]] = {}  # hosts in the order drawn by a group
        self.most_ill = False
        self.mean_hint = 0.0
        self.mean_figure: float | None = None
        self.unit = 0.0  # load that fills a host of size 1, 0 while unknown
        self.watch_wait = 250.0
        self.watch_at = math.inf

    def start(self) -> list[Action]:
        if self.set.subscribe:
            self.acts.append(Watch())
        self.acts.append(Wake(TICK * (0.5 + self._chance()), TICK_TOKEN))
        return self._done()

    def _chance(self) -> float:
        self.draws += 1
        return zlib.crc32(self.draws.to_bytes(8, "little"), self.set.seed & 0xFFFFFFFF) / 2**32

    def _done(self) -> list[Action]:
        acts, self.acts = self.acts, []
        return acts

    # ---- hosts: roster, warmth, health

    def roster(self, now: float, scope: RosterScope, entries: list[Entry]) -> list[Action]:
        self.now = now
        if scope is RosterScope.FAILED:
            # Danger: unsubscribed and silent, we would be held to know of drains we never heard of.
            self.watch_at = now + self.watch_wait * (0.5 + self._chance())
            self.watch_wait = min(self.watch_wait * 2, self.set.ask_every / 4)
            return self._done()
        if scope is not RosterScope.SAVED:
            self.watch_wait = 250.0
        if scope is not RosterScope.CHANGES:
            listed = {e.host for e in entries}
            for h in range(len(self.state)):
                if h not in listed:
                    self.state[h] = HostState.GONE
        for e in entries:
            self._enter(now, e)
        running = [h for h, state in enumerate(self.state) if state is HostState.RUNNING]
        if running != self.running:
            self.running, self.orders = running, {}
        return self._done()

    def _enter(self, now: float, e: Entry) -> None:
        h = e.host
        while len(self.state) <= h:
            for array, blank in (
                (self.state, HostState.GONE), (self.size, 1.0), (self.zone, 0), (self.cell, 0),
                (self.mark, 0), (self.born, 0.0), (self.held, 0), (self.dialing, 0), (self.standing, {}),
                (self.added, []), (self.extra, 0.0), (self.pile, 0.0), (self.pile_at, -math.inf),
                (self.figure, None), (self.figure_at, -math.inf), (self.probe_at, math.inf),
                (self.probe_out, 0.0), (self.moved_at, -math.inf), (self.ill, 0.0), (self.shunned, 0.0),
                (self.tokens, 0.0), (self.tokens_at, now),
            ):  # fmt: skip
                array.append(blank)
        if e.state is HostState.RUNNING and (self.state[h] is HostState.GONE or e.born > self.born[h]):
            # Danger: a restarted process looks like the old one; what was known of that one is void.
            self.figure[h], self.ill[h], self.shunned[h] = None, 0.0, 0.0
            self.tokens[h], self.tokens_at[h] = 0.0, now
            self.probe_at[h], self.probe_out[h] = now + PROBE_EVERY * self._chance(), 0.0
            self.size[h] = 0.0
        # a listed size may be lowered by what the host holds: the largest seen is nearest the host's own
        self.size[h] = max(self.size[h], e.size) or 1.0
        self.state[h], self.zone[h], self.cell[h], self.born[h] = e.state, e.zone, e.cell, e.born
        self.mark[h] = e.mark

    def _warmth(self, now: float, h: int) -> float:
        """The least share of its capacity that a host has now."""
        age = now - self.born[h]
        if not self.born[h] or age >= self.set.warm_after:
            return 1.0
        return self.set.cold_from + (1 - self.set.cold_from) * max(age, 0.0) / self.set.warm_after

    def _budget(self, now: float, h: int) -> float:
        """Cold budget of this node for a host as it stands now, in load sent."""
        set_ = self.set
        # a cold host takes new load no faster than would fill it over its warm-up
        fill = self.unit * self.size[h] / set_.warm_after or self.mean_hint / set_.fall_span
        part = COLD_SAFETY * set_.fall_multiple * self._warmth(now, h) * fill / set_.nodes
        most = max(part * set_.fall_span, self.mean_hint)
        self.tokens[h] = min(self.tokens[h] + part * (now - self.tokens_at[h]), most)
        self.tokens_at[h] = now
        return self.tokens[h]

    def _failed(self, now: float, h: int) -> None:
        self.ill[h] = min(self.ill[h] + 1, 8.0)
        if self.ill[h] >= ILL:
            span = min(SHUN * 2 ** (self.ill[h] - ILL), SHUN_MOST)
            self.shunned[h] = now + span * (0.75 + self._chance() / 2)

    def _well(self, now: float, h: int) -> bool:
        """Not shunned; once its time is over an ill host gets one dial at a time as a trial."""
        # Danger: an error that most hosts show says nothing about one of them.
        return self.ill[h] < ILL or self.most_ill or (now >= self.shunned[h] and not self.dialing[h])

    # ---- forecasts

    def note(self, now: float, sid: int, kind: Note, value: float) -> list[Action]:
        s = self.sessions.get(sid)
        if s is None:
            return []
        if kind is Note.MESSAGE_DELAY:
            if s.stands is not None:
                self.pile[s.dials[-1].host], self.pile_at[s.dials[-1].host] = value, now
        else:
            s.smooth = value if s.present is None and s.usual is None else self._forecast(now, s)
            s.present, s.noted = value, now
        return []

    def _forecast(self, now: float, s: _Session) -> float:
        """Smoothed mean of the session's load notes, else its usual load, else the mean of what is known."""
        if s.present is None:
            return self.mean_hint if s.usual is None else s.usual
        return s.present + (s.smooth - s.present) * math.exp((s.noted - now) / FORECAST_TAU)

    # ---- placement

    def _place(self, now: float, s: _Session) -> int:
        """The lesser-loaded of two random hosts that may be sent to and have room; -1 if there is none."""
        tried = [d.host for d in s.dials]
        for avoid in (tried, []) if tried else ([],):
            for room, draw in self._draws(s):
                found = []
                for h in islice(draw, LOOK):
                    if h not in avoid and self._fit(now, h, room) and self._passes(now, s, h):
                        found.append(h)
                        if len(found) == 2:
                            break
                if found:
                    margin = 0.0 if s.group is None else GROUP_MARGIN
                    loads = [self._load(now, h) for h in found]
                    return found[-1] if loads[-1] + margin < loads[0] else found[0]
        return -1

    def _fit(self, now: float, h: int, room: float) -> bool:
        # Danger: past its headroom a host soon serves nobody; what it is sent there is lost with the rest.
        return self._well(now, h) and self._load(now, h) < room

    def _draws(self, s: _Session) -> Iterator[tuple[float, Iterator[int]]]:
        """Levels to be under and hosts as drawn; the own zone first where leaving it has a price."""
        if s.group is not None:
            # every host that holds one of a group pays for the group: all nodes draw the same two for it
            if s.group not in self.orders:
                self.orders[s.group] = sorted(self.running, key=lambda h: self._mix(s.group, self.mark[h]))
            yield ROOM, iter(self.orders[s.group])
        elif self.set.cross_price:
            yield ROOM_NEAR, self._shuffled([h for h in self.running if self.zone[h] == self.set.zone])
            yield ROOM, self._shuffled([h for h in self.running if self.zone[h] != self.set.zone])
        else:
            yield ROOM, self._shuffled(list(self.running))

    def _mix(self, group: int, mark: int) -> int:
        return zlib.crc32((group * mark).to_bytes(8, "little"))

    def _shuffled(self, hosts: list[int]) -> Iterator[int]:
        for i in range(len(hosts)):
            j = i + int(self._chance() * (len(hosts) - i))
            hosts[i], hosts[j] = hosts[j], hosts[i]
            yield hosts[i]

    def _load(self, now: float, h: int) -> float:
        """A host's load over its capacity, as last probed or else the mean, with what was sent since."""
        figure = self._figure(now, h)
        if self.mean_figure is None:
            return self._count_load(h)
        if figure is None:  # unused or newly started
            figure = self.mean_figure
        # Danger: work piled up serves nobody in time while the load over capacity looks fine again.
        figure += self._pile(now, h)
        # other nodes see the same reports; not all draw this host, and few connections tell little of theirs
        return figure + self.alike * self.extra[h] / (self.unit * self.size[h]) if self.unit else figure

    def _count_load(self, h: int) -> float:
        """Without figures: own connections for the host's size, below every threshold; unused is the mean."""
        mean = sum(self.held) / (sum(self.size[i] for i in self.running) or 1.0)
        own = self.held[h] / self.size[h] or mean
        return own / (own + mean) * 0.5 if own else 0.0

    def _figure(self, now: float, h: int) -> float | None:
        return self.figure[h] if now - self.figure_at[h] < FIGURE_LIFE else None

    def _pile(self, now: float, h: int) -> float:
        """The load that working off a host's pile adds."""
        return self.pile[h] / DRAIN if now - self.pile_at[h] < PILE_LIFE else 0.0

    def _survey(self, now: float) -> None:
        """The fleet as the reports show it: its mean load, and what load fills a host of size 1."""
        self.most_ill = 2 * sum(self.ill[h] >= ILL for h in self.running) > len(self.running)
        known = [(f, h) for h in self.running if (f := self._figure(now, h)) is not None]
        self.mean_figure = sum(f for f, _ in known) / len(known) if known else None
        asked = sum(f * self.size[h] for f, h in known)
        own = sum(self._forecast(now, s) for _, h in known for s in self.standing[h].values())
        self.unit = self.set.nodes * own / asked if asked > 0 else 0.0

    def _full(self, now: float, h: int) -> None:
        """Holds a host to be at full load until the next report."""
        self._know(now, h, max(self._figure(now, h) or 0.0, FULL_LOAD))

    def _know(self, now: float, h: int, figure: float) -> None:
        self.figure[h], self.figure_at[h] = figure, now
        self.added[h] = [x for x in self.added[h] if x[0] > now - REPORT_LAG]
        self.extra[h] = sum(load for _, load in self.added[h])

    def _add(self, now: float, h: int, load: float) -> None:
        self.added[h].append((now, load))
        self.extra[h] += load

    # ---- send gate: every dial passes here, and each rule stands here and nowhere else

    def _passes(self, now: float, s: _Session, h: int) -> bool:
        if s.answered or now >= s.deadline or s.out or len(s.dials) >= self.set.max_dials:
            return False
        if self.state[h] is not HostState.RUNNING:
            return False
        listener = self.set.listeners[s.listener]
        ran = next((d for d in s.dials if d.may_have_run), None)
        if ran is not None and listener.effect is not Effect.REPEATABLE:
            if listener.effect is Effect.ONCE_ONLY or now - ran.at >= listener.memory_span:
                return False
            if not self._same_group(listener.scope, ran.host, h):
                return False
        if self._warmth(now, h) < 1:
            return self._budget(now, h) >= min(s.weight, self.mean_hint)
        return True

    def _same_group(self, scope: Scope, a: int, b: int) -> bool:
        group = {Scope.ALL: None, Scope.ZONE: self.zone, Scope.CELL: self.cell}[scope]
        return group is None or group[a] == group[b]

    def _may_refuse(self, s: _Session) -> bool:
        listener = self.set.listeners[s.listener]
        if listener.effect is Effect.REPEATABLE or not any(d.may_have_run for d in s.dials):
            return True
        return listener.effect is Effect.REFERENCED and listener.scope is Scope.ALL

    # ---- sessions

    def ask(self, now: float, a: Ask) -> list[Action]:
        self.now = now
        s = self._new(now, a)
        s.run = self._session(s)
        self._go_on(s, None)
        return self._done()

    def taken_over(self, now: float, a: Ask, h: int) -> list[Action]:
        """A connection that stood before this node started; its dial 0 counts as made."""
        s = self._new(now, a)
        s.stands, s.out, s.answered = now - MOVE_AGE, True, True
        s.dials.append(_Sent(h, now))
        self.held[h] += 1
        self.standing[h][s.id] = s
        return []

    def _new(self, now: float, a: Ask) -> _Session:
        load = 1.0 if a.load is None else a.load
        self.mean_hint += (load - self.mean_hint) * (0.02 if self.mean_hint else 1.0)
        weight = max(load, self.mean_hint)
        s = _Session(a.session, a.listener, now, now + a.left, a.load, weight, a.group)
        s.smooth = a.load or 0.0
        self.sessions[s.id] = s
        return s

    def _session(self, s: _Session) -> Generator[Action | None, Outcome | None, None]:
        """One session, from its ask to its answer; a stream's end needs no decision."""
        target = self.set.listeners[s.listener].handshake_target
        while True:
            h = self._place(self.now, s)
            if h >= 0:
                time_out = FIRST_TIME_OUT * target * TIME_OUT_GROWTH ** len(s.dials)
                if len(s.dials) + 1 >= self.set.max_dials:
                    time_out = math.inf
                result = yield Dial(s.id, h, min(self.now + time_out, s.deadline))
                s.dials[-1].may_have_run = result not in NEVER_RAN
            elif self.now + WAIT_FOR_HOST < min(s.asked + target, s.deadline) and not s.dials:
                yield Wake(WAIT_FOR_HOST, s.id)
            else:
                break
        if self._may_refuse(s):
            wait = min(BACK_OFF * (1 + self._chance()), self.set.max_back_off) if self.set.back_off else 0.0
            yield Refuse(s.id, wait)
        else:
            yield TearDown(s.id)

    def _go_on(self, s: _Session, result: Outcome | None) -> None:
        """Carries the session on to what it wants done next."""
        try:
            act = s.run.send(result)
        except StopIteration:
            return
        self.acts.append(act)
        if isinstance(act, Dial):
            h = act.host
            if self._warmth(self.now, h) < 1:
                self.tokens[h] -= s.weight
            s.dials.append(_Sent(h, self.now))
            s.out = True
            self.held[h] += 1
            self.dialing[h] += 1
            self._add(self.now, h, self._forecast(self.now, s))
        elif isinstance(act, (Refuse, TearDown)):
            s.answered = True
            del self.sessions[s.id]

    def stands(self, now: float, sid: int) -> list[Action]:
        s = self.sessions.get(sid)
        if s is None or not s.out or s.stands is not None:
            return []
        h = s.dials[-1].host
        s.stands, s.answered = now, True
        self.dialing[h] -= 1
        self.standing[h][sid] = s
        self.ill[h] /= 2
        return []

    def outcome(self, now: float, sid: int, dial: int, result: Outcome, last: bool) -> list[Action]:
        self.now = now
        s = self.sessions.get(sid)
        if s is None or not s.out or dial != len(s.dials) - 1:
            return []
        h = s.dials[dial].host
        s.out = False
        self.held[h] -= 1
        if s.stands is None:
            self.dialing[h] -= 1
        self.standing[h].pop(sid, None)
        if self.state[h] is HostState.RUNNING:
            if result in FAILURES:
                self._failed(now, h)
            if result in CROWDED:
                self._full(now, h)
        if last or s.answered:
            s.answered = True
            del self.sessions[sid]
        else:
            self._go_on(s, result)
        return self._done()

    def hangup(self, now: float, sid: int) -> list[Action]:
        s = self.sessions.get(sid)
        if s is None:
            return []
        s.answered = True
        if not s.out:
            del self.sessions[sid]
        elif s.stands is None and self.set.may_withdraw:
            self.acts.append(Withdraw(sid, len(s.dials) - 1))
        return self._done()

    def bell(self, now: float, token: int) -> list[Action]:
        self.now = now
        if token == TICK_TOKEN:
            self._tick(now)
        else:
            s = self.sessions.get(token)
            if s is not None and not s.answered and not s.out:
                self._go_on(s, None)
        return self._done()

    # ---- probes and moves

    def _tick(self, now: float) -> None:
        self.acts.append(Wake(TICK, TICK_TOKEN))
        if now >= self.watch_at:
            self.watch_at = math.inf
            self.acts.append(Watch())
        self._survey(now)
        for h in self.running:
            if now < self.probe_at[h] or (self.probe_out[h] and now - self.probe_out[h] < PROBE_LOST):
                continue
            self.probe_at[h] = now + PROBE_EVERY
            if self.set.may_probe:
                self.probe_out[h] = now
                self.acts.append(Probe(h))
            else:
                self._by_count(now, h)

    def probed(self, now: float, h: int, result: Outcome, report: Report | None) -> list[Action]:
        self.now = now
        self.probe_out[h] = 0.0
        if self.state[h] is not HostState.RUNNING:
            return []
        if result is not Outcome.GOOD:
            self._failed(now, h)
            return []
        figure = None if report is None else report.load
        if figure is None and report is not None and report.piled is not None:
            figure = report.piled / min(c.message_target for c in self.set.listeners)
        if figure is None:
            self._by_count(now, h)
            return self._done()
        last, span = self._figure(now, h), now - self.figure_at[h]
        rise = max(figure - last, 0.0) / span if last is not None and span > 0 else 0.0
        self._know(now, h, figure)
        figure += self._pile(now, h)
        threshold = max(min(TRIGGER, FULL_LOAD - rise * LANDING), TRIGGER_LEAST)
        if figure > threshold:
            self._relieve(now, h, (figure - threshold) / figure, figure > FULL_LOAD)
        return self._done()

    def _by_count(self, now: float, h: int) -> None:
        """Without a figure: the connection count against the mean."""
        mean = sum(self.held[i] for i in self.running) / max(len(self.running), 1)
        if self.held[h] > COUNT_TRIGGER * mean:
            self._relieve(now, h, 1 - COUNT_TRIGGER * mean / self.held[h], False)

    def _relieve(self, now: float, h: int, share: float, over: bool) -> None:
        """Moves the connections of the highest forecast off a host, up to the share of the own load there."""
        # Danger: the report may be older than the last moves, whose load would be moved twice.
        if now - self.moved_at[h] < SETTLE:
            return
        loads = [(self._forecast(now, s), s.id, s) for s in self.standing[h].values()]
        left = share * sum(load for load, _, _ in loads)
        # Danger: with nowhere better to go, moved connections come back to hosts as full; past full load,
        # where nobody is served, they are moved all the same and refused until there is room.
        room = sum(max(TRIGGER - self._load(now, i), 0.0) * self.size[i] for i in self.running if i != h)
        room = room * self.unit / self.set.nodes if self.unit else math.inf
        for load, sid, s in sorted(loads, key=lambda x: (-x[0], x[1])):
            if left <= 0:
                break
            if now - s.stands >= MOVE_AGE and (load <= room or over):
                # Danger: many nodes with few connections each would clear a host by rounding their share up.
                if load > left and self._chance() * load > left:
                    continue
                left -= load
                room -= load
                self._add(now, h, -load)
                self.moved_at[h] = now
                self.acts.append(Move(sid))
