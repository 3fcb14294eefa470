"""SWIM as a pure state machine: events and time in, messages out.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002): pings in a shuffled round, indirect pings, suspicion, incarnation numbers, piggybacked
updates with the least transmitted ones first. From Dadgar, Phillips, Currey, "Lifeguard" (DSN-W 2018): a node
that receives few answers waits longer before it suspects others. From van Renesse, Minsky, Hayden, "A
Gossip-Style Failure Detection Service" (Middleware 1998), as Lifeguard's program has it beside the pings:
while there are more new updates than pings can carry, they are also sent in messages of their own to random
members, as many as fit into a datagram, each a few times.

Members are the addresses of the configuration, by number, so nobody joins or leaves. A silent member is still
pinged now and then, and an increased life distinguishes a restart from a reconnection. Times are float
milliseconds on this node's clock and are never compared with another node's.
"""

from __future__ import annotations

import heapq
import math
import operator
from typing import NamedTuple

from .codec import MAX_GOSSIP_UPDATES, MAX_UPDATES, Heartbeat, MemberState, MemberUpdate, Message, MessageKind
from .member_random import MemberRandom

PING_PERIOD_MS = 2000.0  # mean time between pings
ACK_TIMEOUT_MS = 300.0  # wait for an ack before indirect pings are requested
INDIRECT_PINGS = 2  # members that are asked to ping for this node
SUSPICION_PERIODS = 4.0  # suspicion timeout in ping periods, times log10 of the number of members
RETRANSMIT_FACTOR = 3.0  # times log2 of the number of members: transmissions of each update
MIN_UPDATES = 2  # updates in a message even if nothing is new
HEARTBEATS_PER_MESSAGE = 3
MAX_PENDING_UPDATES = 512  # two racks lost at once
GOSSIP_INTERVAL_MS = 500.0  # mean time, while there are many new updates
GOSSIP_TRANSMISSIONS = 4  # an update counts as new until it was sent this often
GOSSIP_TARGET_ATTEMPTS = 8  # random members tried until one is alive
ALIVE_GRACE_MS = 4000.0  # time after an answer during which claims against the member are ignored
SILENT_PING_SHARE = 0.5  # share of a silent member's turns in which it is pinged
MAX_ANSWERS_PER_S = 20.0
MAX_EXTRA_REQUESTS_PER_S = 8.0  # requests outside of the ping round
MAX_LIFE_RAISES = 3  # of this node's life, after which another process must have the same name
MAX_HEALTH_MULTIPLIER = 4  # upper limit of the factor on timeouts
MAX_RELAYED_PINGS = 32  # pings on behalf of others that wait for an ack
MAX_HEARTBEAT, MAX_LIFE = 0xFFFF, 0xFFFFFFFF


EVERYONE = -1


class Send(NamedTuple):
    """A message to send."""

    to: int  # member number, or EVERYONE
    message: Message


class AnswerReceived(NamedTuple):
    """A member has answered this node: what it reports was true at some time since `asked_at`."""

    member: int
    life: int
    asked_at: float


class TokenBucket:
    """Rate limiter: `rate` tokens per second with an equal burst size."""

    def __init__(self, rate: float, now: float) -> None:
        self.rate, self.left, self.at = rate, rate, now

    def take(self, now: float) -> bool:
        """Takes a token if there is one."""
        self.left = min(self.left + max(now - self.at, 0.0) * self.rate / 1000.0, self.rate)
        self.at = now
        if self.left < 1:
            return False
        self.left -= 1
        return True


class Swim:
    """One node's view of the members.

    `life` must be above 0 and should be higher than at the previous start of this node.
    """

    def __init__(self, me: int, members: int, life: int, seed: int, now: float) -> None:
        self.me, self.seed, self._random = me, seed, MemberRandom(seed, me)
        self.life_raises, self.duplicate_name = 0, False
        self.incarnation, self.heartbeat = 0, 0
        # state of members: parallel arrays indexed by member number
        self.state = [MemberState.SILENT] * members
        self.life = [0] * members
        # 1 where the life is known; a bytearray because it can be searched fast
        self.ever_heard = bytearray(members)
        self.incarnations = [0] * members
        self.heartbeats = [0] * members
        self.state_since = [now] * members  # start of the current state
        self.answered_at = [-math.inf] * members  # send time of the newest ping that was answered
        # last time that direct or indirect evidence of progress arrived
        self.heard_of_at = [-math.inf] * members
        self.restarts = [0] * members  # observed restarts
        self.state[me], self.life[me], self.ever_heard[me] = MemberState.ALIVE, max(life, 1), 1
        self.ping_order: list[int] = []
        # by member, most recently queued last: remaining transmissions
        self.pending_updates: dict[int, int] = {}
        # transmissions of each update
        self.transmissions = math.ceil(RETRANSMIT_FACTOR * math.log2(members + 1))
        self.update_cursor = self.heartbeat_cursor = 0  # round-robin positions of piggybacked data
        self.last_nonce = int(self._random() * 2**32)
        self.pending_pings: dict[int, tuple[int, float]] = {}  # by nonce: member, sent at
        # by nonce, of indirect pings: member, sent at
        self.pending_indirect: dict[int, tuple[int, float]] = {}
        # by nonce: requester, its nonce, subject, sent at
        self.relayed_pings: dict[int, tuple[int, int, int, float]] = {}
        # ping of this round: member, sent at, whether indirect pings were requested
        self.current_ping: tuple[int, float, bool] | None = None
        # random, so that members do not ping in lockstep
        self.next_round_at = now + PING_PERIOD_MS * self._random()
        self.next_gossip_at = now + GOSSIP_INTERVAL_MS * self._random()
        self.last_tick_at = now
        self.health_penalty = 0  # successive rounds without an ack, up to MAX_HEALTH_MULTIPLIER - 1
        self.answer_limit = TokenBucket(MAX_ANSWERS_PER_S, now)
        self.request_limit = TokenBucket(MAX_EXTRA_REQUESTS_PER_S, now)
        self.dropped: dict[str, int] = {}

    @property
    def members(self) -> int:
        return len(self.state)

    def drop(self, reason: str) -> None:
        """Counts a datagram or event that was dropped for that reason."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # ---- queries

    def count_heard(self, now: float, span: float) -> tuple[int, int]:
        """Counts the members that answered a ping sent within the span, and those with evidence of progress
        within it.
        """
        # A datagram that waited in the socket while the process was suspended would look fresh if dated by
        # its arrival. Answers are therefore dated by the send time of their request.
        direct = sum(now - at <= span for i, at in enumerate(self.answered_at) if i != self.me)
        return direct, sum(now - at <= span for i, at in enumerate(self.heard_of_at) if i != self.me)

    def alive(self) -> list[int]:
        # Enum members are looked up by a call, which would dominate the scan of all members.
        alive = MemberState.ALIVE
        return [i for i, state in enumerate(self.state) if state is alive and i != self.me]

    # ---- timers

    @property
    def due(self) -> float:
        """Time of the next call of `tick` if nothing arrives before."""
        due = (
            self.next_round_at
            if len(self.pending_updates) <= MAX_UPDATES
            else min(self.next_round_at, self.next_gossip_at)
        )
        if self.current_ping is not None and not self.current_ping[2]:
            return min(due, self.current_ping[1] + self._ack_timeout())
        return due

    def _ack_timeout(self) -> float:
        return ACK_TIMEOUT_MS * (1 + self.health_penalty)

    def tick(self, now: float) -> list[Send]:
        """Runs what is due: an indirect ping, the next round, a gossip."""
        # After a suspension of this process all its pings are overdue, and it would suspect the whole fleet.
        if now - self.last_tick_at > 2 * PING_PERIOD_MS * (1 + self.health_penalty):
            self.pending_pings.clear()
            self.pending_indirect.clear()
            self.relayed_pings.clear()
            self.current_ping = None
            for i, state in enumerate(self.state):
                self.state_since[i] = now if state is MemberState.SUSPECTED else self.state_since[i]
        self.last_tick_at = now
        sends: list[Send] = []
        if (
            self.current_ping is not None
            and not self.current_ping[2]
            and now >= self.current_ping[1] + self._ack_timeout()
        ):
            sends += self._request_indirect_pings(now)
        if now >= self.next_round_at:
            sends += self._start_round(now)
        if now >= self.next_gossip_at:
            sends += self._send_gossip(now)
        return sends

    def _send_gossip(self, now: float) -> list[Send]:
        self.next_gossip_at = now + GOSSIP_INTERVAL_MS * (0.75 + self._random() / 2)
        if self.duplicate_name or len(self.pending_updates) <= MAX_UPDATES:
            return []
        new = sum(left > self.transmissions - GOSSIP_TRANSMISSIONS for left in self.pending_updates.values())
        if new <= MAX_UPDATES:
            return []
        for _ in range(GOSSIP_TARGET_ATTEMPTS):
            member = int(self._random() * self.members)
            if member != self.me and self.state[member] is MemberState.ALIVE:
                return [Send(member, self._gossip_message())]
        return []

    def _gossip_message(self) -> Message:
        updates = tuple(self._update_about(i) for i in self._take_pending_updates(MAX_GOSSIP_UPDATES))
        return self.message_without_updates(MessageKind.GOSSIP, self.me, 0)._replace(
            updates=updates, heartbeats=(self._own_heartbeat(),)
        )

    def _start_round(self, now: float) -> list[Send]:
        self.next_round_at = now + PING_PERIOD_MS * (0.75 + self._random() / 2)
        self.heartbeat = min(self.heartbeat + 1, MAX_HEARTBEAT)
        if self.current_ping is not None:
            member, self.current_ping = self.current_ping[0], None
            self.health_penalty = min(self.health_penalty + 1, MAX_HEALTH_MULTIPLIER - 1)
            if self.state[member] is MemberState.ALIVE:
                self._set_state(
                    now, member, MemberState.SUSPECTED, self.life[member], self.incarnations[member]
                )
        timeout = (
            SUSPICION_PERIODS
            * PING_PERIOD_MS
            * max(math.log10(self.members), 1.0)
            * (1 + self.health_penalty)
        )
        suspected = MemberState.SUSPECTED
        for i, state in enumerate(self.state):
            if state is suspected and now - self.state_since[i] >= timeout:
                self._set_state(now, i, MemberState.SILENT, self.life[i], self.incarnations[i])
        oldest = now - 2 * PING_PERIOD_MS * MAX_HEALTH_MULTIPLIER
        self.pending_pings = {nonce: row for nonce, row in self.pending_pings.items() if row[1] > oldest}
        self.pending_indirect = {
            nonce: row for nonce, row in self.pending_indirect.items() if row[1] > oldest
        }
        self.relayed_pings = {nonce: row for nonce, row in self.relayed_pings.items() if row[3] > oldest}
        if (member := self._next_ping_target()) is None or self.duplicate_name:
            return []
        self.current_ping = member, now, False
        return [self._ping(now, member)]

    def _next_ping_target(self) -> int | None:
        """Returns the next member of the shuffled round; silent members only in some of their turns."""
        for _ in range(self.members):
            if not self.ping_order:
                self.ping_order = [i for i in range(self.members) if i != self.me]
                for i in range(len(self.ping_order) - 1, 0, -1):
                    j = int(self._random() * (i + 1))
                    self.ping_order[i], self.ping_order[j] = self.ping_order[j], self.ping_order[i]
            if not self.ping_order:
                return None
            member = self.ping_order.pop()
            # After a mass failure most pings would go to dead members, and failures of live ones would be
            # detected late.
            pingable = self.state[member] is not MemberState.SILENT or not self.life[member]
            if pingable or self._random() < SILENT_PING_SHARE:
                return member
        return None

    def _message(self, to: int, kind: MessageKind, subject: int, nonce: int) -> Message:
        return Message(
            kind, self.me, self.life[self.me], subject, nonce, self._updates_for(to), self._heartbeats()
        )

    def _ping(self, now: float, member: int) -> Send:
        self.last_nonce = (self.last_nonce + 1) & 0xFFFFFFFF
        self.pending_pings[self.last_nonce] = member, now
        return Send(member, self._message(member, MessageKind.PING, member, self.last_nonce))

    def random_live_member(self, now: float) -> int | None:
        """Returns a random member that is alive or still unknown, for a request outside of the ping round.

        Returns None if there is no such member or the rate limit is reached.
        """
        known_alive = MemberState.ALIVE
        alive = [i for i in range(self.members) if self.state[i] is known_alive or not self.life[i]]
        alive.remove(self.me)
        if not alive or self.duplicate_name or not self.request_limit.take(now):
            return None
        return alive[int(self._random() * len(alive))]

    def message_without_updates(self, kind: MessageKind, subject: int, nonce: int) -> Message:
        """Returns a message without piggybacked updates and heartbeats."""
        return Message(kind, self.me, self.life[self.me], subject, nonce)

    def _request_indirect_pings(self, now: float) -> list[Send]:
        member, at, _ = self.current_ping
        self.current_ping = member, at, True
        helpers = [i for i in self.alive() if i != member]
        sends = []
        for _ in range(min(INDIRECT_PINGS, len(helpers))):
            helper = helpers.pop(int(self._random() * len(helpers)))
            self.last_nonce = (self.last_nonce + 1) & 0xFFFFFFFF
            self.pending_indirect[self.last_nonce] = member, now
            sends.append(
                Send(helper, self._message(helper, MessageKind.INDIRECT_PING, member, self.last_nonce))
            )
        return sends

    # ---- messages

    def receive(self, now: float, message: Message) -> tuple[list[Send], AnswerReceived | None]:
        """Processes a decoded message; returns the messages to send and, for an ack of a ping, the answer
        received.
        """
        if message.sender == self.me:
            # Another process runs under this node's name: both would count and spend as one member.
            self.drop("own-name")
            return [], None
        for update in (MemberUpdate(message.sender, MemberState.ALIVE, message.life, 0), *message.updates):
            self._apply_update(now, update, update.member == message.sender)
        if message.life != self.life[message.sender]:
            # The datagram is from a process that has died since; its content belongs to the previous life.
            self.drop("old-life")
            return [], None
        for heartbeat in message.heartbeats:
            self._apply_heartbeat(now, heartbeat)
        return self._respond(now, message)

    def _respond(self, now: float, message: Message) -> tuple[list[Send], AnswerReceived | None]:
        if message.kind in (
            MessageKind.QUOTA_REQUEST,
            MessageKind.QUOTA_GRANT,
            MessageKind.OVERLOAD_REPORT,
            MessageKind.GOSSIP,
        ):
            return [], None  # handled by gossip.sharing, or fully processed above
        if message.kind is MessageKind.PING:
            if not self.answer_limit.take(now):
                self.drop("too-many")
                return [], None
            return [
                Send(message.sender, self._message(message.sender, MessageKind.ACK, self.me, message.nonce))
            ], None
        if message.kind is MessageKind.INDIRECT_PING:
            if (
                not self.answer_limit.take(now)
                or len(self.relayed_pings) >= MAX_RELAYED_PINGS
                or message.subject == self.me
            ):
                self.drop("too-many")
                return [], None
            send = self._ping(now, message.subject)
            self.relayed_pings[send.message.nonce] = message.sender, message.nonce, message.subject, now
            return [send], None
        if message.kind is MessageKind.ACK:
            return self._handle_ack(now, message)
        pending = self.pending_indirect.pop(message.nonce, None)
        if pending is None or pending[0] != message.subject:
            self.drop("unasked")
            return [], None
        self.record_answer(now, message.subject, pending[1])
        return [], None

    def _handle_ack(self, now: float, message: Message) -> tuple[list[Send], AnswerReceived | None]:
        pending = self.pending_pings.pop(message.nonce, None)
        # A duplicate or unrequested ack does not prove when it was sent.
        if pending is None or pending[0] != message.sender:
            self.drop("unasked")
            return [], None
        self.record_answer(now, message.sender, pending[1])
        sends = []
        if relayed := self.relayed_pings.pop(message.nonce, None):
            requester, nonce, subject, _ = relayed
            sends.append(Send(requester, self._message(requester, MessageKind.INDIRECT_ACK, subject, nonce)))
        return sends, AnswerReceived(message.sender, message.life, pending[1])

    def record_answer(self, now: float, member: int, asked_at: float) -> None:
        """Records that a member answered a request that was sent at `asked_at`."""
        self.answered_at[member] = max(self.answered_at[member], asked_at)
        self.heard_of_at[member] = max(self.heard_of_at[member], asked_at)
        self.health_penalty = max(self.health_penalty - 1, 0)
        if self.current_ping is not None and self.current_ping[0] == member:
            self.current_ping = None
        # a direct answer overrides claims of others about the same life
        if self.state[member] is not MemberState.ALIVE and self.life[member]:
            self._set_state(now, member, MemberState.ALIVE, self.life[member], self.incarnations[member])

    # ---- membership updates

    def _apply_update(self, now: float, update: MemberUpdate, from_member: bool) -> None:
        member = update.member
        if member == self.me:
            self._refute(update)
            return
        if self.life[member] and update.life - self.life[member] > MAX_LIFE // 2:
            self.drop("jump")
            return
        if update.life > self.life[member]:
            self.restarts[member] += bool(self.life[member])
            self.heartbeats[member] = 0
            self._set_state(now, member, update.state, update.life, update.incarnation)
            self.heard_of_at[member] = now
        elif update.life == self.life[member]:
            # order of SWIM: the higher incarnation wins, then the worse state
            newer = update.incarnation > self.incarnations[member]
            if newer or update.incarnation == self.incarnations[member] and update.state > self.state[member]:
                # After a partition heals, claims that a member is silent keep circulating among nodes that it
                # answers.
                if not newer and now - self.answered_at[member] < ALIVE_GRACE_MS:
                    return
                self._set_state(now, member, update.state, update.life, update.incarnation)
                if newer:
                    self.heard_of_at[member] = now
            elif from_member and self.state[member] is not MemberState.ALIVE:
                self._set_state(now, member, MemberState.ALIVE, update.life, self.incarnations[member])

    def _refute(self, update: MemberUpdate) -> None:
        """Refutes a claim about this node by a higher life or incarnation."""
        life = self.life[self.me]
        if update.life > life:
            # If the clock was set back before this start, the life is below the previous one and all messages
            # of this node would be dropped as old.
            self.life_raises += 1
            self.duplicate_name = self.life_raises > MAX_LIFE_RAISES or update.life >= MAX_LIFE
            if not self.duplicate_name:
                self.life[self.me], self.incarnation = update.life + 1, 0
                self._queue_update(self.me)
        elif (
            update.life == life
            and update.state is not MemberState.ALIVE
            and update.incarnation >= self.incarnation
        ):
            self.incarnation = min(update.incarnation + 1, 0xFFFF)
            self._queue_update(self.me)

    def _set_state(self, now: float, member: int, state: MemberState, life: int, incarnation: int) -> None:
        if state is not self.state[member] or life != self.life[member]:
            self.state_since[member] = now
        self.state[member], self.life[member], self.incarnations[member] = state, life, incarnation
        self.ever_heard[member] = 1
        self._queue_update(member)

    def _queue_update(self, member: int) -> None:
        self.pending_updates.pop(member, None)
        if len(self.pending_updates) >= MAX_PENDING_UPDATES:
            del self.pending_updates[next(iter(self.pending_updates))]
        self.pending_updates[member] = self.transmissions

    def _take_pending_updates(self, limit: int) -> list[int]:
        """Takes members off the queue for one transmission: least transmitted first, of these the newest
        first.
        """
        chosen = heapq.nlargest(limit, reversed(self.pending_updates.items()), key=operator.itemgetter(1))
        for member, left in chosen:
            if left > 1:
                self.pending_updates[member] = left - 1
            else:
                del self.pending_updates[member]
        return [member for member, _ in chosen]

    def _update_about(self, member: int) -> MemberUpdate:
        incarnation = self.incarnation if member == self.me else self.incarnations[member]
        return MemberUpdate(member, self.state[member], self.life[member], incarnation)

    def _updates_for(self, to: int) -> tuple[MemberUpdate, ...]:
        """Chooses updates for a message to a member: pending ones, then known members in rotation."""
        # A suspected or silent member must learn of it soon: until it refutes the claim, the claim spreads
        # on.
        suspects = [to] if self.life[to] and self.state[to] is not MemberState.ALIVE else []
        members = list(dict.fromkeys(suspects + self._take_pending_updates(MAX_UPDATES - len(suspects))))
        wanted = min(max(MIN_UPDATES, len(members)), self.members)
        for _ in range(self.ever_heard.count(1)):
            if len(members) >= wanted:
                break
            self.update_cursor = self._next_known(self.update_cursor)
            if self.update_cursor not in members:
                members.append(self.update_cursor)
        return tuple(self._update_about(i) for i in members)

    def _next_known(self, member: int) -> int:
        """Returns the next known member after that number, in rotation; this node is always known."""
        # After a start most members are unknown; scanning all of them made each message cost time
        # proportional to the fleet.
        following = self.ever_heard.find(1, member + 1)
        return following if following >= 0 else self.ever_heard.find(1)

    def _own_heartbeat(self) -> Heartbeat:
        return Heartbeat(self.me, self.life[self.me] & 0xFFFF, self.heartbeat)

    def _heartbeats(self) -> tuple[Heartbeat, ...]:
        """Returns this node's heartbeat and those of known live members in rotation."""
        rows = [self._own_heartbeat()]
        for _ in range(self.ever_heard.count(1)):
            if len(rows) >= min(HEARTBEATS_PER_MESSAGE, self.members):
                break
            self.heartbeat_cursor = i = self._next_known(self.heartbeat_cursor)
            if i != self.me and self.heartbeats[i] and self.state[i] is MemberState.ALIVE:
                rows.append(Heartbeat(i, self.life[i] & 0xFFFF, self.heartbeats[i]))
        return tuple(rows)

    def _apply_heartbeat(self, now: float, heartbeat: Heartbeat) -> None:
        member = heartbeat.member
        if (
            member != self.me
            and heartbeat.life == self.life[member] & 0xFFFF
            and heartbeat.counter > self.heartbeats[member]
        ):
            self.heartbeats[member] = heartbeat.counter
            self.heard_of_at[member] = now
