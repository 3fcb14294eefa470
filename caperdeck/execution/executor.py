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
from caperdeck.state.figures import Metrics, Status
from caperdeck.state.hosts import Hosts
from caperdeck.state.limits import Limits
from caperdeck.state.sessions import ClientSide, HostSide, Prober, Session, Sessions
from caperdeck.state.timers import cancel
from caperdeck.coordination.subset import RingHost, Subsets

from .backlog import BacklogReader
from .resumption import Resumption

SILENCE = 2000.0  # a host that has brought nothing back for so long is given up
SUSPECT = 300.0  # one that has brought nothing back for so long, on any connection, is probed
SILENT_LIST = 2500.0  # discovery that has said nothing for so long is down
MOVED_LIFE = 10000.0  # a client sent away so long ago says nothing about its host any more
OVERDUE_ANSWER = 50.0  # a client that has waited so much longer than it said has been forgotten
IDLE = 2000.0  # a client that has sent no first line for so long is closed
IDLE_SHORT = 30.0  # the same while sockets are short


AT_ONCE = (RosterUpdated, BanChanged, SettingsChanged, SubsetsChanged)  # news that lead to nothing being sent


class CommandExecutor(BacklogReader):
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
        self.metrics = Metrics()
        self.metrics.add_classes(names.listeners)
        self.idle_clients: dict[ClientSide, None] = {}  # without a first line, the oldest first
        self.discovery_heard_at = clock()  # when discovery last said anything
        self.subsets: Subsets | None = None  # None: all hosts are drawn alike
        self.searched_at = clock()  # for clients that fell silent
        self.stopping = False
        self.answer_by = math.inf  # every session has its final answer by then, as the process ends
        self.set_accepting: Callable[[bool], None] = lambda on: None
        # takes in which hosts other processes of this node were told to leave out
        self.refresh_bans: Callable[[], None] = lambda: None
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
        logger.warning("away ms={:.0f} sessions={}", span, len(self.sessions.by_index))

    def _forget_figures(self, now: float) -> None:
        self.balancer.forget_hosts(now)

    def _caught_up(self) -> None:
        self._timer_fired()

    # ---- the balancer

    def report_event(self, news: Event) -> None:
        # Danger: decided between two readings, a second dial would go by the first half of what came.
        if isinstance(news, AT_ONCE) or not self.defer(partial(self.report_event, news)):
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
            self.probes.probe(order.host, self.hosts.addresses[order.host])
            return
        s = self.sessions.by_index.get(order.session)
        if s is None:
            return
        match order:
            case Connect(_, dial, host, until):
                # Danger: a timer of this turn runs before the client's end is read, which lies there.
                if s.client.peek() != b"":
                    self.dial(s, dial, host, until, self.limits.connect_timeout)
                    return
                self._end(s, "client-left")
                self.report_event(ClientDisconnected(s.index))
                self.report_event(DialEnded(s.index, dial, Outcome.NEVER_SENT, True))
            case CancelDial():
                self._end_dial(s, Outcome.WITHDRAWN)
            case RefuseSession(_, back_off):
                self._answer(s, self.busy(back_off), "refused", Status.THROTTLED)
            case FailSession():
                self._answer(s, self.failed, "failed")
            case RedirectClient():
                self.redirect(s, "moved")

    # ---- clients

    def client_connected(self, client: ClientSide) -> None:
        self.budget.client_connections += 1
        self.idle_clients[client] = None
        if not self.budget.may_accept():
            self.descriptors_exhausted()

    def descriptors_exhausted(self) -> None:
        """Nobody more can be taken in until descriptors are free."""
        self.set_accepting(False)
        self._make_room()

    def _make_room(self) -> None:
        """Ends idle clients, now and again until others can be taken in."""
        # Danger: who asks waits behind a crowd that says nothing, and a sweep comes only every 0.25 s.
        self.close_idle_clients(self.clock() - IDLE_SHORT)
        waits = self.making_room is not None and self.making_room.active()
        if not self.budget.may_accept() and self.idle_clients and not waits:
            self.making_room = self.reactor.callLater(IDLE_SHORT / MS, self._make_room)

    def client_socket_closed(self, client: ClientSide) -> None:
        """Its descriptor is free again."""
        self.budget.client_connections -= 1
        if client in self.idle_clients:
            del self.idle_clients[client]
            logger.info("end reason=no-line ms={:.0f}", self.clock() - client.opened_at)
        if self.budget.may_accept():
            self.set_accepting(True)

    def client_disconnected(self, client: ClientSide, reset: bool) -> None:
        """The client has ended its connection."""
        s = client.session
        if s is not None and not s.finished:
            how = "client-reset" if reset else "client-closed"
            self._lose_client(s, how if s.established_at else "client-left", reset)

    def _lose_client(self, s: Session, reason: str, reset: bool) -> None:
        """Nobody waits for the session any more: ends it, and its host's side in the same way."""
        up, dialing = bool(s.established_at), s.host_connection is not None
        self._end(s, reason)
        self._hang_up(s, reset and up)
        if s.request.resume_host is not None and not up:
            return  # the balancer has not heard of it yet
        if not up:
            self.report_event(ClientDisconnected(s.index))
        if dialing:
            self.report_event(DialEnded(s.index, s.dial, Outcome.WITHDRAWN, True))

    # ---- dials

    def dial(self, s: Session, dial: int, host: int, until: float, connect_time_out: float) -> None:
        """Dials the host for the session, and gives the dial up at `until`."""
        s.host, s.dial, s.dialed_at = host, dial, self.clock()
        wait = max(until - self.clock(), 0.0)
        s.host_connection = self.open_host(s, until, min(connect_time_out, wait + 1))
        s.dial_timer = self.reactor.callLater(wait / MS, self._late, s.host_connection)

    def dial_connected(self, conn: HostSide) -> None:
        """The connection is up; the one place where a request line goes out."""
        s = conn.session
        if self.defer(partial(self.dial_connected, conn)) or conn.ended:
            return
        if self.list_waits():
            # discovery's socket is read before this runs again
            self.reactor.callLater(0, self.dial_connected, conn)
            return
        unread = s.client.peek()
        if unread is None:
            self._send(s, conn)
        elif not unread:
            self.client_disconnected(s.client, reset=False)
        else:
            # who does not wait for its answer is turned away once that has been read
            self.reactor.callLater(0, self.dial_connected, conn)

    def _send(self, s: Session, conn: HostSide) -> None:
        self.refresh_bans()
        # Danger: what held when the host was chosen may have lapsed while its connection came up.
        if s.request.resume_host is None and not self.balancer.may_send_request(self.clock(), s.index):
            self._end_dial(s, Outcome.NEVER_SENT)
        elif not self.send_request(conn):
            self._end_dial(s, Outcome.UNREACHED)
        else:
            self.metrics.relayed_requests += 1

    def dial_failed(self, conn: HostSide) -> None:
        self.clock()
        # Danger: a connection that ran out of time in a stall of the node says nothing about its host.
        self._end_dial(conn.session, Outcome.NEVER_SENT if self.stall else Outcome.UNREACHED)

    def _late(self, conn: HostSide) -> None:
        if not self.defer(partial(self._late, conn)) and not conn.ended:
            self._end_dial(conn.session, Outcome.LATE if conn.request_sent else Outcome.UNREACHED)

    def _end_dial(self, s: Session, outcome: Outcome) -> None:
        """A dial that has not come to stand is over."""
        if s.host_connection is None or s.established_at:
            return
        name = outcome.name.lower().replace("_", "-")
        self.metrics.failed_dials[name] += 1
        logger.info(
            "dial id={} dial={} host={} outcome={} sent={} ms={:.0f}", s.request.id, s.dial,
            self.hosts.uids[s.host], name, s.host_connection.request_sent, self.clock() - s.dialed_at,
        )  # fmt: skip
        self._hang_up(s, reset=False)
        if s.request.resume_host is None:
            self.report_event(DialEnded(s.index, s.dial, outcome, False))
        else:
            self.resumption.dial_failed(s, name)

    def _hang_up(self, s: Session, reset: bool) -> None:
        """Ends the host's side of a session."""
        conn, s.host_connection = s.host_connection, None
        cancel(s.dial_timer)
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

    def restore_learned_state(self, memory: dict[str, Any], able: dict[str, float]) -> None:
        """What another process of this node has learned, and the load that fills each host."""
        index = self.hosts.index_by_uid
        self.balancer.restore_learned_state(
            memory, {index[uid]: load for uid, load in able.items() if uid in index}
        )

    def session_handed_over(self, s: Session) -> None:
        """Another process of this node has the session now; it has not ended."""
        s.client.closing = s.host_connection.ended = True
        s.host_connection = None
        self.sessions.remove(s)
        self.budget.session_count -= 1
        self.budget.client_connections -= 1
        self.report_event(DialEnded(s.index, s.dial, Outcome.WITHDRAWN, True))

    def host_disconnected(self, conn: HostSide, reset: bool) -> None:
        """The host has ended its connection."""
        s = conn.session
        if s.finished or s.host_connection is not conn:
            return
        if not s.established_at:
            self._end_dial(s, Outcome.RESET if conn.request_sent else Outcome.UNREACHED)
            return
        outcome, reason = conn.announced_end or (Outcome.RESET, "host-reset" if reset else "host-closed")
        self._end(s, reason)
        s.host_connection = None
        if reset and not conn.announced_end:
            s.client.abort()
        else:
            s.client.close()
        self.report_event(DialEnded(s.index, s.dial, outcome, True))

    # ---- ends

    def _answer(self, s: Session, line: bytes, reason: str, status: Status = Status.FAULTED) -> None:
        """The final answer to a client whose session does not come to stand."""
        self.metrics.count_answer(s.request.listener, status)
        self._end(s, reason)
        self._hang_up(s, reset=False)
        s.client.close(line)

    def fail_session(self, s: Session, reason: str) -> None:
        """Answers a session that does not stand, whatever became of its dial."""
        dialing = s.host_connection is not None
        self._answer(s, self.failed, reason)
        if s.request.resume_host is not None:
            return  # the balancer has not heard of it yet
        self.report_event(ClientDisconnected(s.index))
        if dialing:
            self.report_event(DialEnded(s.index, s.dial, Outcome.WITHDRAWN, True))

    def answer_pending(self) -> None:
        """The process ends: who has no answer by now has one from this node, or from nobody."""
        for s in list(self.sessions.opening):
            self.fail_session(s, "stopping")
        self.close_idle_clients(math.inf)

    def redirect(self, s: Session, reason: str, outcome: Outcome = Outcome.WITHDRAWN) -> None:
        """Tells the client of a standing session to come again; lines are whole, so it is between two."""
        if not s.established_at or s.finished:
            return
        self._end(s, reason)
        self._hang_up(s, reset=outcome is Outcome.RESET)
        s.client.close(self.moved)
        self.report_event(DialEnded(s.index, s.dial, outcome, True))

    def _end(self, s: Session, reason: str) -> None:
        """The one log line of a session."""
        self.sessions.remove(s)
        self.budget.session_count -= 1
        self.resumption.ended(s)
        self.metrics.ended_sessions[reason] += 1
        now = self.clock()
        host = self.hosts.uids[s.host] if s.host >= 0 else "-"
        logger.info(
            "end id={} reason={} class={} host={} dials={} ms={:.0f} up_ms={:.0f}",
            s.request.id, reason, s.request.listener, host, s.dial + 1, now - s.requested_at,
            now - s.established_at if s.established_at else 0,
        )  # fmt: skip

    # ---- other settings, figures

    def apply_settings(self, settings: Settings, names: Names, limits: Limits) -> None:
        """All of them in one step; sessions keep what they began under."""
        self.names, self.limits = names, limits
        self.metrics.add_classes(names.listeners)
        self.probes.apply_settings(limits.hosts_report_load, 2 * limits.connect_timeout)
        self.report_event(SettingsChanged(settings))
        self.update_subsets()

    def gauges(self) -> dict[str, int]:
        listed, now = self.hosts.listed(), self.clock()
        return {
            "open_requests": len(self.sessions.by_index), "registry_entries": len(listed),
            "out_of_rotation": sum(self.balancer.is_avoided(now, h) for h in listed),
        }  # fmt: skip

    # ---- the roster and probes

    def probed(self, news: ProbeCompleted) -> None:
        uid = self.hosts.uids[news.host]
        report = news.report
        logger.debug(
            "look uid={} outcome={} load={} held={}", uid, news.outcome.name, report.load, report.connections
        )
        alive = news.outcome in (Outcome.GOOD, Outcome.ERROR)
        if alive:
            self.hosts.heard_at[news.host] = self.clock()
        # Danger: an answer that lay there all the while tells an old figure as a new one.
        if self.observations_stale:
            return
        self.report_event(news)
        # Danger: a probe that this node had no descriptor for says nothing about its host.
        if not alive and news.outcome is not Outcome.NEVER_SENT and self._suspect(news.host):
            for s in self.sessions.established():
                if s.host == news.host:
                    self.redirect(s, "host-silent", Outcome.RESET)

    def set_ban(self, uid: str, out: bool) -> None:
        """An operator takes a host out, or lets it serve again."""
        self.report_event(BanChanged(self.hosts.index_of(uid), out))
        logger.info("roster reason={} uids={}", "taken-out" if out else "called-back", uid)

    def update_roster(self, whole: bool, rows: Any) -> None:
        entries = self.hosts.update(self.read_clock(), whole, rows, self.complain_entry)
        self.budget.running_hosts = self.hosts.running_count()
        for host in list(self.probes.connections):
            if self.hosts.states[host] is HostState.GONE:
                self.probes.close(host)
        self.report_event(RosterUpdated(whole, entries))
        self.update_subsets()

    def update_subsets(self) -> None:
        """Tells the decisions which hosts this node draws first."""
        if self.subsets is None:
            return
        sized = self.balancer.settings.sizes_are_nominal
        reason = self.subsets.update([
            RingHost(e.host, e.stable_id, sized and e.size or 1.0, e.zone)
            for e, state in zip(self.hosts.entries, self.hosts.states, strict=True)
            if e is not None and state is HostState.RUNNING
        ])  # fmt: skip
        if reason is not None:
            logger.warning("subset reason=unusable {}", reason)
        self.report_event(
            SubsetsChanged(self.subsets.restricted_hosts(False), self.subsets.restricted_hosts(True))
        )

    def discovery_heard(self) -> None:
        """Anything at all has come from discovery."""
        self.discovery_heard_at = self.clock()
        if self.hosts.presumed_draining:
            self.report_event(RosterUpdated(False, self.hosts.end_presumption()))

    def _mind_silence(self, now: float) -> None:
        # Danger: what a silent discovery has to tell counts as told all the same; a host that drains
        # then shows it only by sending its clients away.
        if now - self.discovery_heard_at > SILENT_LIST and (
            entries := self.hosts.presume_draining(now - MOVED_LIFE)
        ):
            uids = ",".join(self.hosts.uids[e.host] for e in entries)
            logger.info("roster reason=held-to-drain uids={}", uids)
            self.report_event(RosterUpdated(False, entries))

    def complain_entry(self, text: str) -> None:
        logger.warning("roster reason=bad-entry {}", text)

    def _suspect(self, host: int) -> bool:
        """Whether a line to the host has waited too long and nothing at all has come from it since."""
        waiting = self.sessions.unanswered_before(self.clock() - SUSPECT)
        return any(s.host == host and self._unheard(s) for s in waiting)

    def _unheard(self, s: Session) -> bool:
        # a host held up by a client that does not read is not silent
        return not s.host_connection.paused and self.hosts.heard_at[s.host] <= s.unanswered_since

    # ---- housekeeping

    def sweep(self) -> None:
        now = self.clock()
        self.last_turn_at = now
        if self.budget.may_accept():
            self.set_accepting(True)
        # Danger: after the node itself stood still, what it has not read yet looks like silence.
        if not self.catching_up:
            self._mind_silence(now)
            # every wait has a timer of its own; should one be lost, its client is answered all the same
            for s in self.sessions.overdue(now - OVERDUE_ANSWER):
                self.metrics.overdue_answers += 1
                self.fail_session(s, "overdue")
            # Danger: a machine that vanished says nothing and its connections stay open.
            for s in self.sessions.unanswered_before(now - SILENCE):
                if not s.host_connection.paused:
                    self.redirect(s, "host-silent", Outcome.RESET)
            # Danger: found out by each connection for itself, a lost zone keeps its clients waiting for
            # seconds; one line and one probe without an answer tell it for all connections of the host.
            if self.limits.may_probe:
                for host in {
                    s.host: None for s in self.sessions.unanswered_before(now - SUSPECT) if self._unheard(s)
                }:
                    self.probes.probe(host, self.hosts.addresses[host])
        # Danger: a client's machine that vanished says nothing either, and keeps two descriptors.
        if not self.catching_up and now - self.searched_at > self.limits.idle_timeout / 10:
            self.searched_at = now
            for s in self.sessions.established():
                if now - s.client_heard_at > self.limits.idle_timeout:
                    self.redirect(s, "client-silent")
        # Danger: clients that connect and say nothing would take every descriptor.
        if not self.catching_up:
            self.close_idle_clients(now - (IDLE if self.budget.may_serve() else IDLE_SHORT))

    def close_idle_clients(self, before: float) -> None:
        """Ends the clients that have come before that time and sent no first line."""
        for client in list(self.idle_clients):
            if client.opened_at >= before:
                break
            # Danger: closed over a line that has come in this instant, the client would have no answer to it;
            # and one that crosses the close finds this one.
            if not client.peek():
                client.close(self.busy(0.0), linger=self.budget.may_serve() and not self.stopping)
