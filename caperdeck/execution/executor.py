"""Carries out the balancer's orders for sessions, and reports to it what is seen of hosts and clients.

What a front speaks is not known here: it opens host sides, and says in which words a client is answered,
refused or moved. Every session is answered in `_answer` or by its host, and ends in `_end`.
"""

from __future__ import annotations

import math
from abc import abstractmethod
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from loguru import logger

from caperdeck.core.facade import (
    Balancer, BanChanged, CancelDial, ClientDisconnected, Command, Connect, DialEnded, Event, FailSession,
    ProbeCompleted, ProbeHost, RedirectClient, RefuseSession, RosterUpdated, SettingsChanged, SubsetsChanged,
)  # fmt: skip
from caperdeck.core.model import HostState, Outcome, Settings
from caperdeck.core.settings import MS, Names
from caperdeck.state.budget import SocketBudget
from caperdeck.state.figures import Figures, Status
from caperdeck.state.hosts import Hosts
from caperdeck.state.limits import Limits
from caperdeck.state.sessions import ClientSide, HostSide, Prober, Session, Sessions
from caperdeck.state.timers import cancel
from caperdeck.coordination.subset import RingHost, Subsets

from .backlog import CatchUp
from .resumption import Resumption

SILENCE = 2000.0  # a host that has brought nothing back for so long is given up
SUSPECT = 300.0  # one that has brought nothing back for so long, on any connection, is probed
SILENT_LIST = 2500.0  # discovery that has said nothing for so long is down
MOVED_LIFE = 10000.0  # a client sent away so long ago says nothing about its host any more
OVERDUE_ANSWER = 50.0  # a client that has waited so much longer than it said has been forgotten
IDLE = 2000.0  # a client that has sent no first line for so long is closed
IDLE_SHORT = 30.0  # the same while sockets are short


AT_ONCE = (RosterUpdated, BanChanged, SettingsChanged, SubsetsChanged)  # news that lead to nothing being sent


class Carrier(CatchUp):
    """The sessions of one node between clients and hosts, whatever they speak."""

    moved: bytes  # the word that sends a client of a standing session away
    failed: bytes  # the answer that it failed
    probes: Prober

    def __init__(
        self, reactor: Any, clock: Callable[[], float], balancer: Balancer, names: Names, limits: Limits,
        hosts: Hosts, budget: SocketBudget,
    ) -> None:  # fmt: skip
        super().__init__(reactor, clock)
        self.balancer = balancer
        self.names = names
        self.limits = limits
        self.hosts = hosts
        self.budget = budget
        self.sessions = Sessions()
        self.resumption = Resumption(self)
        self.figures = Figures()
        self.figures.know(names.listeners)
        self.idle: dict[ClientSide, None] = {}  # without a first line, the oldest first
        self.told_at = clock()  # when discovery last said anything
        self.subsets: Subsets | None = None  # None: all hosts are drawn alike
        self.searched_at = clock()  # for clients that fell silent
        self.stopping = False
        self.answer_by = math.inf  # every session has its final answer by then, as the process ends
        self.accepting: Callable[[bool], None] = lambda on: None
        # takes in which hosts other processes of this node were told to leave out
        self.look_for_bans: Callable[[], None] = lambda: None
        self.making_room = None  # the timer after which idle clients are looked at again
        self.orders: deque[Command] = deque()
        self.at_work = False
        self.timer = None
        self.timer_due = 0.0

    @abstractmethod
    def open_host(self, s: Session, until: float, time_out: float) -> HostSide:
        """Begins a connection to the session's host; the dial is given up at `until`."""

    @abstractmethod
    def send_request(self, conn: HostSide) -> bool:
        """Sends the first line; False if the host never had it."""

    @abstractmethod
    def busy(self, back_off: float) -> bytes:
        """The answer that trying again is harmless, after so many milliseconds if not 0."""

    @abstractmethod
    def hints(self, s: Session) -> tuple[float | None, int | None]:
        """The load that the session's client guesses, and its group."""

    # ---- stalls

    def _stalled(self, span: float) -> None:
        logger.warning("away ms={:.0f} sessions={}", span, len(self.sessions.table))

    def _forget_figures(self, now: float) -> None:
        self.balancer.forget_hosts(now)

    def _caught_up(self) -> None:
        self._timer_fired()

    # ---- the balancer

    def report(self, news: Event) -> None:
        # Danger: decided between two readings, a second dial would go by the first half of what came.
        if isinstance(news, AT_ONCE) or not self.later(partial(self.report, news)):
            self.carry_out(self.balancer.handle_event(self.clock(), news))

    def carry_out(self, orders: list[Command]) -> None:
        """Carries orders out, those that they bring about after them."""
        self.orders += orders
        if self.at_work:
            return
        self.at_work = True
        try:
            while self.orders:
                self._carry_out(self.orders.popleft())
        finally:
            self.at_work = False
        self._set_timer()

    def _set_timer(self) -> None:
        if self.catching_up:
            return
        due, now = self.balancer.next_timer_at, self.clock()
        if self.timer is not None and self.timer.active():
            if self.timer_due <= due:
                return
            self.timer.cancel()
        self.timer_due = due
        self.timer = self.reactor.callLater(max(due - now, 0.0) / MS, self._timer_fired)

    def _timer_fired(self) -> None:
        self.clock()
        if self.catching_up:
            return
        try:
            self.carry_out(self.balancer.run_timers(self.clock()))
        finally:
            self._set_timer()

    def _carry_out(self, order: Command) -> None:
        if isinstance(order, ProbeHost):
            self.probes.probe(order.host, self.hosts.address[order.host])
            return
        s = self.sessions.table.get(order.session)
        if s is None:
            return
        match order:
            case Connect(_, dial, host, until):
                # Danger: a timer of this turn runs before the client's end is read, which lies there.
                if s.client.unread() != b"":
                    self.dial(s, dial, host, until, self.limits.connect_time_out)
                    return
                self._end(s, "client-left")
                self.report(ClientDisconnected(s.index))
                self.report(DialEnded(s.index, dial, Outcome.NEVER_SENT, True))
            case CancelDial():
                self._end_dial(s, Outcome.WITHDRAWN)
            case RefuseSession(_, back_off):
                self._answer(s, self.busy(back_off), "refused", Status.THROTTLED)
            case FailSession():
                self._answer(s, self.failed, "failed")
            case RedirectClient():
                self.move(s, "moved")

    # ---- clients

    def client_came(self, client: ClientSide) -> None:
        self.budget.clients += 1
        self.idle[client] = None
        if not self.budget.may_accept():
            self.clients_wait()

    def clients_wait(self) -> None:
        """Nobody more can be taken in until descriptors are free."""
        self.accepting(False)
        self._make_room()

    def _make_room(self) -> None:
        """Ends idle clients, now and again until others can be taken in."""
        # Danger: who asks waits behind a crowd that says nothing, and a sweep comes only every 0.25 s.
        self.close_idle(self.clock() - IDLE_SHORT)
        waits = self.making_room is not None and self.making_room.active()
        if not self.budget.may_accept() and self.idle and not waits:
            self.making_room = self.reactor.callLater(IDLE_SHORT / MS, self._make_room)

    def client_closed(self, client: ClientSide) -> None:
        """Its descriptor is free again."""
        self.budget.clients -= 1
        if client in self.idle:
            del self.idle[client]
            logger.info("end reason=no-line ms={:.0f}", self.clock() - client.opened)
        if self.budget.may_accept():
            self.accepting(True)

    def client_gone(self, client: ClientSide, reset: bool) -> None:
        """The client has ended its connection."""
        s = client.session
        if s is not None and not s.over:
            how = "client-reset" if reset else "client-closed"
            self._lose_client(s, how if s.up_at else "client-left", reset)

    def _lose_client(self, s: Session, reason: str, reset: bool) -> None:
        """Nobody waits for the session any more: ends it, and its host's side in the same way."""
        up, dialing = bool(s.up_at), s.conn is not None
        self._end(s, reason)
        self._hang_up(s, reset and up)
        if s.request.at is not None and not up:
            return  # the balancer has not heard of it yet
        if not up:
            self.report(ClientDisconnected(s.index))
        if dialing:
            self.report(DialEnded(s.index, s.dial, Outcome.WITHDRAWN, True))

    # ---- dials

    def dial(self, s: Session, dial: int, host: int, until: float, connect_time_out: float) -> None:
        """Dials the host for the session, and gives the dial up at `until`."""
        s.host, s.dial, s.dialed_at = host, dial, self.clock()
        wait = max(until - self.clock(), 0.0)
        s.conn = self.open_host(s, until, min(connect_time_out, wait + 1))
        s.timer = self.reactor.callLater(wait / MS, self._late, s.conn)

    def dial_open(self, conn: HostSide) -> None:
        """The connection is up; the one place where a request line goes out."""
        s = conn.session
        if self.later(partial(self.dial_open, conn)) or conn.ended:
            return
        if self.list_waits():
            # discovery's socket is read before this runs again
            self.reactor.callLater(0, self.dial_open, conn)
            return
        unread = s.client.unread()
        if unread is None:
            self._send(s, conn)
        elif not unread:
            self.client_gone(s.client, reset=False)
        else:
            # who does not wait for its answer is turned away once that has been read
            self.reactor.callLater(0, self.dial_open, conn)

    def _send(self, s: Session, conn: HostSide) -> None:
        self.look_for_bans()
        # Danger: what held when the host was chosen may have lapsed while its connection came up.
        if s.request.at is None and not self.balancer.may_send_request(self.clock(), s.index):
            self._end_dial(s, Outcome.NEVER_SENT)
        elif not self.send_request(conn):
            self._end_dial(s, Outcome.UNREACHED)
        else:
            self.figures.relayed += 1

    def dial_failed(self, conn: HostSide) -> None:
        self.clock()
        # Danger: a connection that ran out of time in a stall of the node says nothing about its host.
        self._end_dial(conn.session, Outcome.NEVER_SENT if self.stall else Outcome.UNREACHED)

    def _late(self, conn: HostSide) -> None:
        if not self.later(partial(self._late, conn)) and not conn.ended:
            self._end_dial(conn.session, Outcome.LATE if conn.sent else Outcome.UNREACHED)

    def _end_dial(self, s: Session, outcome: Outcome) -> None:
        """A dial that has not come to stand is over."""
        if s.conn is None or s.up_at:
            return
        name = outcome.name.lower().replace("_", "-")
        self.figures.dials[name] += 1
        logger.info(
            "dial id={} dial={} host={} outcome={} sent={} ms={:.0f}", s.request.id, s.dial,
            self.hosts.uid[s.host], name, s.conn.sent, self.clock() - s.dialed_at,
        )  # fmt: skip
        self._hang_up(s, reset=False)
        if s.request.at is None:
            self.report(DialEnded(s.index, s.dial, outcome, False))
        else:
            self.resumption.dial_failed(s, name)

    def _hang_up(self, s: Session, reset: bool) -> None:
        """Ends the host's side of a session."""
        conn, s.conn = s.conn, None
        cancel(s.timer)
        if conn is not None and not conn.ended:
            conn.close(reset)

    # ---- hosts

    def _resumed(self, s: Session, now: float) -> None:
        """The balancer learns of a session that stood before."""
        request = s.request
        # Danger: its class may have been dropped since; of one that stands no more is asked of it.
        listener = self.names.listeners.get(request.listener, -1)
        customer, hints = self.names.customers.get(request.tenant, -1), self.hints(s)
        self.carry_out(self.balancer.resume_session(now, s.index, listener, customer, s.host, *hints))

    def remember(self, memory: dict[str, Any], able: dict[str, float]) -> None:
        """What another process of this node has learned, and the load that fills each host."""
        index = self.hosts.index
        self.balancer.restore_learned_state(
            memory, {index[uid]: load for uid, load in able.items() if uid in index}
        )

    def handed_on(self, s: Session) -> None:
        """Another process of this node has the session now; it has not ended."""
        s.client.closing = s.conn.ended = True
        s.conn = None
        self.sessions.drop(s)
        self.budget.sessions -= 1
        self.budget.clients -= 1
        self.report(DialEnded(s.index, s.dial, Outcome.WITHDRAWN, True))

    def host_gone(self, conn: HostSide, reset: bool) -> None:
        """The host has ended its connection."""
        s = conn.session
        if s.over or s.conn is not conn:
            return
        if not s.up_at:
            self._end_dial(s, Outcome.RESET if conn.sent else Outcome.UNREACHED)
            return
        outcome, reason = conn.farewell or (Outcome.RESET, "host-reset" if reset else "host-closed")
        self._end(s, reason)
        s.conn = None
        if reset and not conn.farewell:
            s.client.abort()
        else:
            s.client.close()
        self.report(DialEnded(s.index, s.dial, outcome, True))

    # ---- ends

    def _answer(self, s: Session, line: bytes, reason: str, status: Status = Status.FAULTED) -> None:
        """The final answer to a client whose session does not come to stand."""
        self.figures.answered(s.request.listener, status)
        self._end(s, reason)
        self._hang_up(s, reset=False)
        s.client.close(line)

    def give_up(self, s: Session, reason: str) -> None:
        """Answers a session that does not stand, whatever became of its dial."""
        dialing = s.conn is not None
        self._answer(s, self.failed, reason)
        if s.request.at is not None:
            return  # the balancer has not heard of it yet
        self.report(ClientDisconnected(s.index))
        if dialing:
            self.report(DialEnded(s.index, s.dial, Outcome.WITHDRAWN, True))

    def answer_all(self) -> None:
        """The process ends: who has no answer by now has one from this node, or from nobody."""
        for s in list(self.sessions.opening):
            self.give_up(s, "stopping")
        self.close_idle(math.inf)

    def move(self, s: Session, reason: str, outcome: Outcome = Outcome.WITHDRAWN) -> None:
        """Tells the client of a standing session to come again; lines are whole, so it is between two."""
        if not s.up_at or s.over:
            return
        self._end(s, reason)
        self._hang_up(s, reset=outcome is Outcome.RESET)
        s.client.close(self.moved)
        self.report(DialEnded(s.index, s.dial, outcome, True))

    def _end(self, s: Session, reason: str) -> None:
        """The one log line of a session."""
        self.sessions.drop(s)
        self.budget.sessions -= 1
        self.resumption.ended(s)
        self.figures.ended[reason] += 1
        now = self.clock()
        host = self.hosts.uid[s.host] if s.host >= 0 else "-"
        logger.info(
            "end id={} reason={} class={} host={} dials={} ms={:.0f} up_ms={:.0f}",
            s.request.id, reason, s.request.listener, host, s.dial + 1, now - s.since,
            now - s.up_at if s.up_at else 0,
        )  # fmt: skip

    # ---- other settings, figures

    def retune(self, settings: Settings, names: Names, limits: Limits) -> None:
        """All of them in one step; sessions keep what they began under."""
        self.names, self.limits = names, limits
        self.figures.know(names.listeners)
        self.probes.retune(limits.reports, 2 * limits.connect_time_out)
        self.report(SettingsChanged(settings))
        self.narrow()

    def gauges(self) -> dict[str, int]:
        listed, now = self.hosts.listed(), self.clock()
        return {
            "open_requests": len(self.sessions.table), "registry_entries": len(listed),
            "out_of_rotation": sum(self.balancer.is_avoided(now, h) for h in listed),
        }  # fmt: skip

    # ---- the roster and probes

    def probed(self, news: ProbeCompleted) -> None:
        uid = self.hosts.uid[news.host]
        report = news.report
        logger.debug(
            "look uid={} outcome={} load={} held={}", uid, news.outcome.name, report.load, report.connections
        )
        alive = news.outcome in (Outcome.GOOD, Outcome.ERROR)
        if alive:
            self.hosts.spoke_at[news.host] = self.clock()
        # Danger: an answer that lay there all the while tells an old figure as a new one.
        if self.figures_void:
            return
        self.report(news)
        # Danger: a probe that this node had no descriptor for says nothing about its host.
        if not alive and news.outcome is not Outcome.NEVER_SENT and self._suspect(news.host):
            for s in self.sessions.standing():
                if s.host == news.host:
                    self.move(s, "host-silent", Outcome.RESET)

    def ban(self, uid: str, out: bool) -> None:
        """An operator takes a host out, or lets it serve again."""
        self.report(BanChanged(self.hosts.know(uid), out))
        logger.info("roster reason={} uids={}", "taken-out" if out else "called-back", uid)

    def listed(self, whole: bool, rows: Any) -> None:
        entries = self.hosts.take(self.read_clock(), whole, rows, self.complain_entry)
        self.budget.hosts = self.hosts.running()
        for host in list(self.probes.open):
            if self.hosts.state[host] is HostState.GONE:
                self.probes.close(host)
        self.report(RosterUpdated(whole, entries))
        self.narrow()

    def narrow(self) -> None:
        """Tells the decisions which hosts this node draws first."""
        if self.subsets is None:
            return
        sized = self.balancer.settings.sizes_stand
        reason = self.subsets.update([
            RingHost(e.host, e.stable_id, sized and e.size or 1.0, e.zone)
            for e, state in zip(self.hosts.entry, self.hosts.state, strict=True)
            if e is not None and state is HostState.RUNNING
        ])  # fmt: skip
        if reason is not None:
            logger.warning("subset reason=unusable {}", reason)
        self.report(SubsetsChanged(self.subsets.restricted_hosts(False), self.subsets.restricted_hosts(True)))

    def discovery_spoke(self) -> None:
        """Anything at all has come from discovery."""
        self.told_at = self.clock()
        if self.hosts.held:
            self.report(RosterUpdated(False, self.hosts.release()))

    def _mind_silence(self, now: float) -> None:
        # Danger: what a silent discovery has to tell counts as told all the same; a host that drains
        # then shows it only by sending its clients away.
        if now - self.told_at > SILENT_LIST and (entries := self.hosts.hold(now - MOVED_LIFE)):
            uids = ",".join(self.hosts.uid[e.host] for e in entries)
            logger.info("roster reason=held-to-drain uids={}", uids)
            self.report(RosterUpdated(False, entries))

    def complain_entry(self, text: str) -> None:
        logger.warning("roster reason=bad-entry {}", text)

    def _suspect(self, host: int) -> bool:
        """Whether a line to the host has waited too long and nothing at all has come from it since."""
        waiting = self.sessions.silent(self.clock() - SUSPECT)
        return any(s.host == host and self._unheard(s) for s in waiting)

    def _unheard(self, s: Session) -> bool:
        # a host held up by a client that does not read is not silent
        return not s.conn.paused and self.hosts.spoke_at[s.host] <= s.asked_at

    # ---- housekeeping

    def sweep(self) -> None:
        now = self.clock()
        self.turn_at = now
        if self.budget.may_accept():
            self.accepting(True)
        # Danger: after the node itself stood still, what it has not read yet looks like silence.
        if not self.catching_up:
            self._mind_silence(now)
            # every wait has a timer of its own; should one be lost, its client is answered all the same
            for s in self.sessions.overdue(now - OVERDUE_ANSWER):
                self.figures.overdue += 1
                self.give_up(s, "overdue")
            # Danger: a machine that vanished says nothing and its connections stay open.
            for s in self.sessions.silent(now - SILENCE):
                if not s.conn.paused:
                    self.move(s, "host-silent", Outcome.RESET)
            # Danger: found out by each connection for itself, a lost zone keeps its clients waiting for
            # seconds; one line and one probe without an answer tell it for all connections of the host.
            if self.limits.probes:
                for host in {s.host: None for s in self.sessions.silent(now - SUSPECT) if self._unheard(s)}:
                    self.probes.probe(host, self.hosts.address[host])
        # Danger: a client's machine that vanished says nothing either, and keeps two descriptors.
        if not self.catching_up and now - self.searched_at > self.limits.idle / 10:
            self.searched_at = now
            for s in self.sessions.standing():
                if now - s.heard_at > self.limits.idle:
                    self.move(s, "client-silent")
        # Danger: clients that connect and say nothing would take every descriptor.
        if not self.catching_up:
            self.close_idle(now - (IDLE if self.budget.may_serve() else IDLE_SHORT))

    def close_idle(self, before: float) -> None:
        """Ends the clients that have come before that time and sent no first line."""
        for client in list(self.idle):
            if client.opened >= before:
                break
            # Danger: closed over a line that has come in this instant, the client would have no answer to it;
            # and one that crosses the close finds this one.
            if not client.unread():
                client.close(self.busy(0.0), linger=self.budget.may_serve() and not self.stopping)
