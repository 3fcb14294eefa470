"""SWIM as a pure state machine: events and time in, messages out.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002): pings in a shuffled round, requests to ping, suspicion, incarnation numbers, news
carried along, those passed on least often first. From Dadgar, Phillips, Currey, "Lifeguard" (DSN-W 2018): a
node that hears little waits longer before it suspects. From van Renesse, Minsky, Hayden, "A Gossip-Style
Failure Detection Service" (Middleware 1998), as Lifeguard's program has it beside the pings: while more words
are new than pings can carry, they are also sent alone to random members, as many as a datagram has room for,
each a few times. Members are the addresses of the configuration by number, so nobody joins or leaves; a
silent one is still pinged now and then, and a life that grows tells a restart from a return. Times are float
milliseconds on the node's own clock; none is ever compared with another node's.
"""

from __future__ import annotations

import heapq
import math
import operator
from typing import NamedTuple

from .codec import MOST_GOSSIP, MOST_UPDATES, Beat, Kind, Message, State, Update
from .member_random import Draws

PERIOD = 2000.0  # between pings, at the mean
ACK_WAIT = 300.0  # for the answer before others are asked to ping
HELPERS = 2  # so many
SUSPICION = 4.0  # periods, times the decimal logarithm of the members, until a suspected one counts as silent
SPREAD = 3.0  # times the binary logarithm of the members: so often a word is passed on
FILLERS = 2  # members whose state goes along though nothing new is known of them
BEATS = 3  # beats that go along
MOST_NEWS = 512  # words that wait to be passed on; two racks that are lost at once
GOSSIP_EVERY = 500.0  # between gossips, at the mean, while there is much new
GOSSIP_TIMES = 4  # a word is new until it was passed on so often
GOSSIP_DRAWS = 8  # members drawn for a gossip until one is alive
SURE = 4000.0  # for so long after its answer no word against a member is believed
SILENT_PART = 0.5  # of the turns of a silent member, in which it is pinged
ANSWERS = 20.0  # a second, at the most
MOST_ASKS = 8.0  # pings a second beside the round, at the most
MOST_RAISES = 3  # of the own life, then another process has the same name
MOST_AWARE = 4  # times longer a node waits that hears nobody
MOST_RELAYED = 32  # pings for others whose answers are awaited
BEAT_MOST, LIFE_MOST = 0xFFFF, 0xFFFFFFFF


EVERYONE = -1


class Send(NamedTuple):
    to: int  # a member, or EVERYONE
    message: Message


class Heard(NamedTuple):
    """A member has answered this node: what it says was true at some time since `since`."""

    member: int
    life: int
    since: float


class Bucket:
    """So many a second, and as many at once."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate, self.left, self.at = rate, rate, now

    def take(self, now: float) -> bool:
        self.left = min(self.left + max(now - self.at, 0.0) * self.rate / 1000.0, self.rate)
        self.at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Swim:
    """One node's view of the members. `life` is over 0 and should be higher than at the node's last start."""

    def __init__(self, me: int, members: int, life: int, seed: int, now: float) -> None:
        self.me, self.seed, self._chance = me, seed, Draws(seed, me)
        self.raises, self.doubled = 0, False
        self.incarnation, self.beat = 0, 0
        # members: parallel arrays under the member's number
        self.state = [State.SILENT] * members
        self.life = [0] * members
        self.ever_heard = bytearray(members)  # 1 where there is a life, to be searched fast
        self.incarnations = [0] * members
        self.beats = [0] * members
        self.since = [now] * members  # in this state
        self.direct_at = [-math.inf] * members  # when the last ping that it has answered was sent
        self.news_at = [-math.inf] * members  # when it was last seen to be further on, by whatever way
        self.returns = [0] * members  # new lives seen
        self.state[me], self.life[me], self.ever_heard[me] = State.ALIVE, max(life, 1), 1
        self.round: list[int] = []
        self.news: dict[int, int] = {}  # members to tell of, the newest last: how often still
        self.times = math.ceil(SPREAD * math.log2(members + 1))  # that a word is passed on
        self.filler = self.beating = 0  # whose state and beat go along next
        self.nonces = int(self._chance() * 2**32)
        self.out: dict[int, tuple[int, float]] = {}  # own pings: nonce to member, sent at
        self.asked_for: dict[int, tuple[int, float]] = {}  # pings for others: nonce to member, sent at
        self.relayed: dict[int, tuple[int, int, int, float]] = {}  # nonce to asker, its nonce, about, sent at
        self.probe: tuple[int, float, bool] | None = None  # the round's ping: member, at, others are asked
        self.next_at = now + PERIOD * self._chance()  # nothing in step
        self.gossip_at = now + GOSSIP_EVERY * self._chance()
        self.ticked_at = now
        self.aware = 0  # rounds in a row, at the most MOST_AWARE - 1, in which nobody answered
        self.answers = Bucket(ANSWERS, now)
        self.asks = Bucket(MOST_ASKS, now)
        self.dropped: dict[str, int] = {}

    @property
    def members(self) -> int:
        return len(self.state)

    def drop(self, reason: str) -> None:
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # ---- what the node knows

    def hearing(self, now: float, span: float) -> tuple[int, int]:
        """Members that answered a ping sent within the span, and members of which there was news in it."""
        # Danger: what lay in a socket while the node slept looks new when it is read; an answer counts from
        # the time of its question, so a sleep makes it old.
        direct = sum(now - at <= span for i, at in enumerate(self.direct_at) if i != self.me)
        return direct, sum(now - at <= span for i, at in enumerate(self.news_at) if i != self.me)

    def alive(self) -> list[int]:
        # Danger: an enumeration's member is looked up by a call, which is most of a look at all members.
        alive = State.ALIVE
        return [i for i, state in enumerate(self.state) if state is alive and i != self.me]

    # ---- time

    @property
    def due(self) -> float:
        due = self.next_at if len(self.news) <= MOST_UPDATES else min(self.next_at, self.gossip_at)
        if self.probe is not None and not self.probe[2]:
            return min(due, self.probe[1] + self._wait())
        return due

    def _wait(self) -> float:
        return ACK_WAIT * (1 + self.aware)

    def tick(self, now: float) -> list[Send]:
        # Danger: a node that was away finds all its questions unanswered, and would suspect the whole fleet.
        if now - self.ticked_at > 2 * PERIOD * (1 + self.aware):
            self.out.clear()
            self.asked_for.clear()
            self.relayed.clear()
            self.probe = None
            for i, state in enumerate(self.state):
                self.since[i] = now if state is State.SUSPECTED else self.since[i]
        self.ticked_at = now
        sends: list[Send] = []
        if self.probe is not None and not self.probe[2] and now >= self.probe[1] + self._wait():
            sends += self._ask_helpers(now)
        if now >= self.next_at:
            sends += self._next_round(now)
        if now >= self.gossip_at:
            sends += self._gossip(now)
        return sends

    def _gossip(self, now: float) -> list[Send]:
        self.gossip_at = now + GOSSIP_EVERY * (0.75 + self._chance() / 2)
        if self.doubled or len(self.news) <= MOST_UPDATES:
            return []
        new = sum(left > self.times - GOSSIP_TIMES for left in self.news.values())
        if new <= MOST_UPDATES:
            return []
        for _ in range(GOSSIP_DRAWS):
            member = int(self._chance() * self.members)
            if member != self.me and self.state[member] is State.ALIVE:
                return [Send(member, self._news_alone())]
        return []

    def _news_alone(self) -> Message:
        updates = tuple(self._update(i) for i in self._pass_on(MOST_GOSSIP))
        return self.bare(Kind.GOSSIP, self.me, 0)._replace(updates=updates, beats=(self._own_beat(),))

    def _next_round(self, now: float) -> list[Send]:
        self.next_at = now + PERIOD * (0.75 + self._chance() / 2)
        self.beat = min(self.beat + 1, BEAT_MOST)
        if self.probe is not None:
            member, self.probe = self.probe[0], None
            self.aware = min(self.aware + 1, MOST_AWARE - 1)
            if self.state[member] is State.ALIVE:
                self._set(now, member, State.SUSPECTED, self.life[member], self.incarnations[member])
        last = SUSPICION * PERIOD * max(math.log10(self.members), 1.0) * (1 + self.aware)
        suspected = State.SUSPECTED
        for i, state in enumerate(self.state):
            if state is suspected and now - self.since[i] >= last:
                self._set(now, i, State.SILENT, self.life[i], self.incarnations[i])
        old = now - 2 * PERIOD * MOST_AWARE
        self.out = {n: x for n, x in self.out.items() if x[1] > old}
        self.asked_for = {n: x for n, x in self.asked_for.items() if x[1] > old}
        self.relayed = {n: x for n, x in self.relayed.items() if x[3] > old}
        if (member := self._next()) is None or self.doubled:
            return []
        self.probe = member, now, False
        return [self._ping(now, member)]

    def _next(self) -> int | None:
        """The next of the shuffled round; silent members in a part of the rounds."""
        for _ in range(self.members):
            if not self.round:
                self.round = [i for i in range(self.members) if i != self.me]
                for i in range(len(self.round) - 1, 0, -1):
                    j = int(self._chance() * (i + 1))
                    self.round[i], self.round[j] = self.round[j], self.round[i]
            if not self.round:
                return None
            member = self.round.pop()
            # Danger: after a mass kill most pings would go to the dead, and the living hear late of others.
            known = self.state[member] is not State.SILENT or not self.life[member]
            if known or self._chance() < SILENT_PART:
                return member
        return None

    def _message(self, to: int, kind: Kind, about: int, nonce: int) -> Message:
        return Message(kind, self.me, self.life[self.me], about, nonce, self._updates(to), self._beats())

    def _ping(self, now: float, member: int) -> Send:
        self.nonces = (self.nonces + 1) & 0xFFFFFFFF
        self.out[self.nonces] = member, now
        return Send(member, self._message(member, Kind.PING, member, self.nonces))

    def one_to_ask(self, now: float) -> int | None:
        """A member drawn among the living, or not heard of yet, for a question beside the round; or None."""
        known_alive = State.ALIVE
        alive = [i for i in range(self.members) if self.state[i] is known_alive or not self.life[i]]
        alive.remove(self.me)
        if not alive or self.doubled or not self.asks.take(now):
            return None
        return alive[int(self._chance() * len(alive))]

    def bare(self, kind: Kind, about: int, nonce: int) -> Message:
        """A message with no news along."""
        return Message(kind, self.me, self.life[self.me], about, nonce)

    def _ask_helpers(self, now: float) -> list[Send]:
        member, at, _ = self.probe
        self.probe = member, at, True
        helpers = [i for i in self.alive() if i != member]
        sends = []
        for _ in range(min(HELPERS, len(helpers))):
            helper = helpers.pop(int(self._chance() * len(helpers)))
            self.nonces = (self.nonces + 1) & 0xFFFFFFFF
            self.asked_for[self.nonces] = member, now
            sends.append(Send(helper, self._message(helper, Kind.PING_FOR, member, self.nonces)))
        return sends

    # ---- messages

    def take(self, now: float, m: Message) -> tuple[list[Send], Heard | None]:
        """One decoded message; what is sent for it, and whose answer to this node it is, if it is one."""
        if m.sender == self.me:
            # Danger: a second process under this name; both would count and spend as one member.
            self.drop("own-name")
            return [], None
        for u in (Update(m.sender, State.ALIVE, m.life, 0), *m.updates):
            self._heard_of(now, u, u.member == m.sender)
        if m.life != self.life[m.sender]:
            # Danger: a datagram of a process that has died since; what it says was counted with that life.
            self.drop("old-life")
            return [], None
        for b in m.beats:
            self._beat(now, b)
        return self._answer(now, m)

    def _answer(self, now: float, m: Message) -> tuple[list[Send], Heard | None]:
        if m.kind in (Kind.ASK, Kind.GIVE, Kind.TELL, Kind.GOSSIP):
            return [], None  # the ledger's, or taken in already
        if m.kind is Kind.PING:
            if not self.answers.take(now):
                self.drop("too-many")
                return [], None
            return [Send(m.sender, self._message(m.sender, Kind.ACK, self.me, m.nonce))], None
        if m.kind is Kind.PING_FOR:
            if not self.answers.take(now) or len(self.relayed) >= MOST_RELAYED or m.about == self.me:
                self.drop("too-many")
                return [], None
            send = self._ping(now, m.about)
            self.relayed[send.message.nonce] = m.sender, m.nonce, m.about, now
            return [send], None
        if m.kind is Kind.ACK:
            return self._acked(now, m)
        waited = self.asked_for.pop(m.nonce, None)
        if waited is None or waited[0] != m.about:
            self.drop("unasked")
            return [], None
        self.heard_from(now, m.about, waited[1])
        return [], None

    def _acked(self, now: float, m: Message) -> tuple[list[Send], Heard | None]:
        waited = self.out.pop(m.nonce, None)
        # Danger: an answer that comes twice, or to no question, proves nothing of when it was sent.
        if waited is None or waited[0] != m.sender:
            self.drop("unasked")
            return [], None
        self.heard_from(now, m.sender, waited[1])
        sends = []
        if relayed := self.relayed.pop(m.nonce, None):
            asker, nonce, about, _ = relayed
            sends.append(Send(asker, self._message(asker, Kind.ACK_FOR, about, nonce)))
        return sends, Heard(m.sender, m.life, waited[1])

    def heard_from(self, now: float, member: int, since: float) -> None:
        """A member has answered a question that was sent then."""
        self.direct_at[member] = max(self.direct_at[member], since)
        self.news_at[member] = max(self.news_at[member], since)
        self.aware = max(self.aware - 1, 0)
        if self.probe is not None and self.probe[0] == member:
            self.probe = None
        # its own answer says more than any word of others about this life
        if self.state[member] is not State.ALIVE and self.life[member]:
            self._set(now, member, State.ALIVE, self.life[member], self.incarnations[member])

    # ---- words on members

    def _heard_of(self, now: float, u: Update, from_itself: bool) -> None:
        i = u.member
        if i == self.me:
            self._heard_of_me(u)
            return
        if self.life[i] and u.life - self.life[i] > LIFE_MOST // 2:
            self.drop("jump")
            return
        if u.life > self.life[i]:
            self.returns[i] += bool(self.life[i])
            self.beats[i] = 0
            self._set(now, i, u.state, u.life, u.incarnation)
            self.news_at[i] = now
        elif u.life == self.life[i]:
            # SWIM's order: a higher incarnation, or the graver word at the same one
            risen = u.incarnation > self.incarnations[i]
            if risen or u.incarnation == self.incarnations[i] and u.state > self.state[i]:
                # Danger: after a cut the word that it is silent goes round and round among nodes it answers.
                if not risen and now - self.direct_at[i] < SURE:
                    return
                self._set(now, i, u.state, u.life, u.incarnation)
                if risen:
                    self.news_at[i] = now
            elif from_itself and self.state[i] is not State.ALIVE:
                self._set(now, i, State.ALIVE, u.life, self.incarnations[i])

    def _heard_of_me(self, u: Update) -> None:
        life = self.life[self.me]
        if u.life > life:
            # Danger: a clock that was set back gives a new start an older life, and all it says is dropped.
            self.raises += 1
            self.doubled = self.raises > MOST_RAISES or u.life >= LIFE_MOST
            if not self.doubled:
                self.life[self.me], self.incarnation = u.life + 1, 0
                self._spread(self.me)
        elif u.life == life and u.state is not State.ALIVE and u.incarnation >= self.incarnation:
            self.incarnation = min(u.incarnation + 1, 0xFFFF)
            self._spread(self.me)

    def _set(self, now: float, i: int, state: State, life: int, incarnation: int) -> None:
        if state is not self.state[i] or life != self.life[i]:
            self.since[i] = now
        self.state[i], self.life[i], self.incarnations[i] = state, life, incarnation
        self.ever_heard[i] = 1
        self._spread(i)

    def _spread(self, i: int) -> None:
        self.news.pop(i, None)
        if len(self.news) >= MOST_NEWS:
            del self.news[next(iter(self.news))]
        self.news[i] = self.times

    def _pass_on(self, most: int) -> list[int]:
        """Members to tell of: those told of least often, of them the newest first."""
        chosen = heapq.nlargest(most, reversed(self.news.items()), key=operator.itemgetter(1))
        for member, left in chosen:
            if left > 1:
                self.news[member] = left - 1
            else:
                del self.news[member]
        return [member for member, _ in chosen]

    def _update(self, i: int) -> Update:
        incarnation = self.incarnation if i == self.me else self.incarnations[i]
        return Update(i, self.state[i], self.life[i], incarnation)

    def _updates(self, to: int) -> tuple[Update, ...]:
        """The words passed on least often first, then what is known of the members in turn."""
        # Danger: one held to be silent hears of it late, and until it refutes that, the word goes round.
        doubted = [to] if self.life[to] and self.state[to] is not State.ALIVE else []
        members = list(dict.fromkeys(doubted + self._pass_on(MOST_UPDATES - len(doubted))))
        least = min(max(FILLERS, len(members)), self.members)
        for _ in range(self.ever_heard.count(1)):
            if len(members) >= least:
                break
            self.filler = self._next_heard(self.filler)
            if self.filler not in members:
                members.append(self.filler)
        return tuple(self._update(i) for i in members)

    def _next_heard(self, i: int) -> int:
        """The member after that one, in turn, that was ever heard of; this node itself always was."""
        # Danger: after a start most members are unheard of; a look at each made a message cost by the fleet.
        following = self.ever_heard.find(1, i + 1)
        return following if following >= 0 else self.ever_heard.find(1)

    def _own_beat(self) -> Beat:
        return Beat(self.me, self.life[self.me] & 0xFFFF, self.beat)

    def _beats(self) -> tuple[Beat, ...]:
        """The own beat, and those of members with the newest news in turn."""
        rows = [self._own_beat()]
        for _ in range(self.ever_heard.count(1)):
            if len(rows) >= min(BEATS, self.members):
                break
            self.beating = i = self._next_heard(self.beating)
            if i != self.me and self.beats[i] and self.state[i] is State.ALIVE:
                rows.append(Beat(i, self.life[i] & 0xFFFF, self.beats[i]))
        return tuple(rows)

    def _beat(self, now: float, b: Beat) -> None:
        i = b.member
        if i != self.me and b.life == self.life[i] & 0xFFFF and b.beat > self.beats[i]:
            self.beats[i] = b.beat
            self.news_at[i] = now
