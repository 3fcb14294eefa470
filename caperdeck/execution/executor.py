"""Executes the balancer's commands for sessions, and reports events of hosts and clients to it.

It is independent of the protocol: a subclass opens connections to hosts, and provides the lines by which
clients are refused, failed or redirected. Every session gets its final answer in `_answer_client` or from its
host, and ends in `_end_session`. Times are milliseconds of the node's clock.
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
from caperdeck.core.model import NEVER_RAN, HostState, Outcome, Settings
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

HOST_SILENCE_MS = 2000.0  # a session whose host has left a line unanswered for so long is redirected
HOST_SUSPECT_MS = 300.0  # a host that has sent nothing since a line so long ago is probed
DISCOVERY_SILENCE_MS = 2500.0  # discovery counts as down after so long without a line
REDIRECT_RELEVANCE_MS = 10000.0  # a redirect by a host is a sign of its drain for so long
OVERDUE_ANSWER_MS = 50.0  # past a session's deadline, after which its timer counts as lost
IDLE_MS = 2000.0  # a client without a first line is closed after so long
SHORT_IDLE_MS = 30.0  # the same while descriptors are short


# Events that lead to nothing being sent, so they need not wait until a backlog has been read.
IMMEDIATE_EVENTS = (RosterUpdated, BanChanged, SettingsChanged, SubsetsChanged)


class CommandExecutor(BacklogReader):
    """Holds the sessions of one node and connects the balancer to them, independent of the protocol."""

    redirect_line: bytes  # tells the client of an established session to open a new one
    error_line: bytes  # the final answer to a session that failed
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
        self.discovery_heard_at = clock()  # when the last line came from discovery
        self.subsets: Subsets | None = None  # None: no host is preferred
        self.idle_checked_at = clock()  # when established sessions were last checked for silent clients
        self.stopping = False
        self.answer_by = math.inf  # while the process stops, when every session has its final answer
        self.set_accepting: Callable[[bool], None] = lambda on: None
        # Applies bans that were set at other processes of this node.
        self.refresh_bans: Callable[[], None] = lambda: None
        # Reads which ids the other process of an upgrade has taken into use and released.
        self.refresh_ids: Callable[[], None] = lambda: None
        self.idle_timer = None  # of the next check of idle clients while descriptors are short
        self.commands: deque[Command] = deque()
        self.executing = False
        self.balancer_timer = None
        self.balancer_timer_at = 0.0

    @abstractmethod
    def open_host_connection(
        self, session: Session, dial_deadline: float, connect_timeout: float
    ) -> HostSide:
        """Starts to connect to the session's host; the dial ends at its deadline."""

    @abstractmethod
    def send_request(self, conn: HostSide) -> bool:
        """Sends the request line; False if the host cannot have received it."""

    @abstractmethod
    def busy_line(self, back_off: float) -> bytes:
        """Returns the refusal after which a client may retry, after the back-off in milliseconds if not 0."""

    @abstractmethod
    def hints(self, session: Session) -> tuple[float | None, int | None]:
        """Returns the load that the client estimates for its session, and the session's group."""

    # ---- stalls

    def _on_stall(self, span: float) -> None:
        logger.warning("away ms={:.0f} sessions={}", span, len(self.sessions.by_index))

    def _discard_observations(self, now: float) -> None:
        self.balancer.forget_hosts(now)

    def _on_caught_up(self) -> None:
        self._timer_fired()

    # ---- the balancer

    def report_event(self, event: Event) -> None:
        """Passes an event to the balancer and executes the commands that follow."""
        # Deferred while a backlog is read: a dial decided half way would rest on a part of it.
        if isinstance(event, IMMEDIATE_EVENTS) or not self.defer(partial(self.report_event, event)):
            self.execute(self.balancer.handle_event(self.clock(), event))

    def execute(self, commands: list[Command]) -> None:
        """Executes commands in order; commands that result from them are executed afterwards."""
        self.commands += commands
        if self.executing:
            return
        self.executing = True
        try:
            while self.commands:
                self._execute(self.commands.popleft())
        finally:
            self.executing = False
        self._set_timer()

    def _set_timer(self) -> None:
        if self.catching_up:
            return
        due, now = self.balancer.next_timer_at, self.clock()
        if self.balancer_timer is not None and self.balancer_timer.active():
            if self.balancer_timer_at <= due:
                return
            self.balancer_timer.cancel()
        self.balancer_timer_at = due
        self.balancer_timer = self.reactor.callLater(max(due - now, 0.0) / MS, self._timer_fired)

    def _timer_fired(self) -> None:
        self.clock()
        if self.catching_up:
            return
        try:
            self.execute(self.balancer.run_timers(self.clock()))
        finally:
            self._set_timer()

    def _execute(self, command: Command) -> None:
        if isinstance(command, ProbeHost):
            self.probes.probe(command.host, self.hosts.addresses[command.host])
            return
        session = self.sessions.by_index.get(command.session)
        if session is None:
            return
        match command:
            case Connect(_, dial, host, dial_deadline):
                # Peeks first: timers run before sockets are read, so the client's end may be unread yet.
                if session.client.peek() != b"":
                    self.dial(session, dial, host, dial_deadline, self.limits.connect_timeout)
                    return
                self._end_session(session, "client-left")
                self.report_event(ClientDisconnected(session.index))
                self.report_event(DialEnded(session.index, dial, Outcome.NEVER_SENT, True))
            case CancelDial():
                self._end_dial(session, Outcome.WITHDRAWN)
            case RefuseSession(_, back_off):
                self._answer_client(session, self.busy_line(back_off), "refused", Status.THROTTLED)
            case FailSession():
                self._answer_client(session, self.error_line, "failed")
            case RedirectClient():
                self.redirect(session, "moved")

    # ---- clients

    def client_connected(self, client: ClientSide) -> None:
        self.budget.client_connections += 1
        self.idle_clients[client] = None
        if not self.budget.may_accept():
            self.descriptors_exhausted()

    def descriptors_exhausted(self) -> None:
        """Stops accepting clients until descriptors are free."""
        self.set_accepting(False)
        self._close_idle_repeatedly()

    def _close_idle_repeatedly(self) -> None:
        """Closes idle clients, repeatedly until clients can be accepted again."""
        # Between the sweeps of every 0.25 s, clients with a request would wait behind a crowd of silent ones.
        self.close_idle_clients(self.clock() - SHORT_IDLE_MS)
        waits = self.idle_timer is not None and self.idle_timer.active()
        if not self.budget.may_accept() and self.idle_clients and not waits:
            self.idle_timer = self.reactor.callLater(SHORT_IDLE_MS / MS, self._close_idle_repeatedly)

    def client_socket_closed(self, client: ClientSide) -> None:
        """The descriptor of the client's connection is free again."""
        self.budget.client_connections -= 1
        if client in self.idle_clients:
            del self.idle_clients[client]
            logger.info("end reason=no-line ms={:.0f}", self.clock() - client.opened_at)
        if self.budget.may_accept():
            self.set_accepting(True)

    def client_disconnected(self, client: ClientSide, reset: bool) -> None:
        """The client has closed or reset its connection."""
        session = client.session
        if session is not None and not session.finished:
            reason = "client-reset" if reset else "client-closed"
            self._end_without_client(session, reason if session.established_at else "client-left", reset)

    def _end_without_client(self, session: Session, reason: str, reset: bool) -> None:
        """Ends a session whose client has gone, and closes its host connection in the same way."""
        established, dialing = bool(session.established_at), session.host_connection is not None
        self._end_session(session, reason)
        self._close_host_connection(session, reset and established)
        if session.request.resume_host is not None and not established:
            return  # the balancer does not know the session yet
        if not established:
            self.report_event(ClientDisconnected(session.index))
        if dialing:
            self.report_event(DialEnded(session.index, session.dial, Outcome.WITHDRAWN, True))

    # ---- dials

    def dial(
        self, session: Session, dial: int, host: int, dial_deadline: float, connect_timeout: float
    ) -> None:
        """Dials the host for the session; the dial ends at its deadline."""
        session.host, session.dial, session.dialed_at = host, dial, self.clock()
        wait = max(dial_deadline - self.clock(), 0.0)
        session.host_connection = self.open_host_connection(
            session, dial_deadline, min(connect_timeout, wait + 1)
        )
        session.dial_timer = self.reactor.callLater(wait / MS, self._dial_timed_out, session.host_connection)

    def dial_connected(self, conn: HostSide) -> None:
        """The connection to the host is open; the only place where request lines are sent."""
        session = conn.session
        if self.defer(partial(self.dial_connected, conn)) or conn.ended:
            return
        if self.has_unread_list():
            # Discovery's socket is read before this runs again.
            self.reactor.callLater(0, self.dial_connected, conn)
            return
        unread = session.client.peek()
        if unread is None:
            self._send_or_end_dial(session, conn)
        elif not unread:
            self.client_disconnected(session.client, reset=False)
        else:
            # Once its data has been read, a client that did not wait for its answer is refused.
            self.reactor.callLater(0, self.dial_connected, conn)

    def _send_or_end_dial(self, session: Session, conn: HostSide) -> None:
        self.refresh_bans()
        # While the connection was being opened, the host may have been banned, begun to drain or restarted,
        # and the client's time or the span in which the host drops repeats may have ended.
        if session.request.resume_host is None and not (
            self.may_use_list() and self.balancer.may_send_request(self.clock(), session.index)
        ):
            self._end_dial(session, Outcome.NEVER_SENT)
        elif not self.send_request(conn):
            self._end_dial(session, Outcome.UNREACHED)
        else:
            self.metrics.relayed_requests += 1
            if self.balancer.is_once_only(session.index):
                self.sessions.ids.mark_sent(session.request.id)

    def dial_failed(self, conn: HostSide) -> None:
        self.clock()
        # A time-out during a stall of this node says nothing about the host.
        self._end_dial(conn.session, Outcome.NEVER_SENT if self.stall else Outcome.UNREACHED)

    def _dial_timed_out(self, conn: HostSide) -> None:
        if not self.defer(partial(self._dial_timed_out, conn)) and not conn.ended:
            self._end_dial(conn.session, Outcome.LATE if conn.request_sent else Outcome.UNREACHED)

    def _end_dial(self, session: Session, outcome: Outcome) -> None:
        """Ends a dial that did not establish its session."""
        if session.host_connection is None or session.established_at:
            return
        name = outcome.name.lower().replace("_", "-")
        self.metrics.failed_dials[name] += 1
        logger.info(
            "dial id={} dial={} host={} outcome={} sent={} ms={:.0f}", session.request.id, session.dial,
            self.hosts.uids[session.host], name, session.host_connection.request_sent,
            self.clock() - session.dialed_at,
        )  # fmt: skip
        self._record_whether_run(session, outcome)
        self._close_host_connection(session, reset=False)
        if session.request.resume_host is None:
            self.report_event(DialEnded(session.index, session.dial, outcome, False))
        else:
            self.resumption.dial_failed(session, name)

    def _record_whether_run(self, session: Session, outcome: Outcome) -> None:
        """Frees the id of a once-only session again if none of its dials can have run."""
        if not session.host_connection.request_sent:
            return
        if outcome not in NEVER_RAN:
            session.may_have_run = True
        elif not session.may_have_run and self.balancer.is_once_only(session.index):
            self.sessions.ids.mark_never_run(session.request.id)

    def _close_host_connection(self, session: Session, reset: bool) -> None:
        """Closes the session's host connection, if any, and cancels the timer of its dial."""
        conn, session.host_connection = session.host_connection, None
        cancel(session.dial_timer)
        if conn is not None and not conn.ended:
            conn.close(reset)

    # ---- hosts

    def _resume_in_balancer(self, session: Session, now: float) -> None:
        """Tells the balancer of a session that was established in an earlier process."""
        request = session.request
        # The class may have been dropped from the settings; an established session no longer needs it.
        listener = self.names.listeners.get(request.listener, -1)
        customer, hints = self.names.customers.get(request.tenant, -1), self.hints(session)
        self.execute(
            self.balancer.resume_session(now, session.index, listener, customer, session.host, *hints)
        )

    def restore_learned_state(self, memory: dict[str, Any], able: dict[str, float]) -> None:
        """Adopts what another process of this node has learned, with the capacity of each host by uid."""
        index = self.hosts.index_by_uid
        self.balancer.restore_learned_state(
            memory, {index[uid]: load for uid, load in able.items() if uid in index}
        )

    def session_handed_over(self, session: Session) -> None:
        """Forgets a session that goes on in another process of this node."""
        session.client.closing = session.host_connection.ended = True
        session.host_connection = None
        self.sessions.hand_over(session)
        self.budget.session_count -= 1
        self.budget.client_connections -= 1
        self.report_event(DialEnded(session.index, session.dial, Outcome.WITHDRAWN, True))

    def host_disconnected(self, conn: HostSide, reset: bool) -> None:
        """The host has closed or reset its connection."""
        session = conn.session
        if session.finished or session.host_connection is not conn:
            return
        if not session.established_at:
            self._end_dial(session, Outcome.RESET if conn.request_sent else Outcome.UNREACHED)
            return
        outcome, reason = conn.announced_end or (Outcome.RESET, "host-reset" if reset else "host-closed")
        self._end_session(session, reason)
        session.host_connection = None
        if reset and not conn.announced_end:
            session.client.abort()
        else:
            session.client.close()
        self.report_event(DialEnded(session.index, session.dial, outcome, True))

    # ---- ends

    def _answer_client(
        self, session: Session, line: bytes, reason: str, status: Status = Status.FAULTED
    ) -> None:
        """Gives a client the final answer that its session is not established."""
        self.metrics.count_answer(session.request.listener, status)
        self._end_session(session, reason)
        self._close_host_connection(session, reset=False)
        session.client.close(line)

    def fail_session(self, session: Session, reason: str) -> None:
        """Fails a session that is not established, and abandons its dial if one is under way."""
        dialing = session.host_connection is not None
        self._answer_client(session, self.error_line, reason)
        if session.request.resume_host is not None:
            return  # the balancer does not know the session yet
        self.report_event(ClientDisconnected(session.index))
        if dialing:
            self.report_event(DialEnded(session.index, session.dial, Outcome.WITHDRAWN, True))

    def answer_pending(self) -> None:
        """Fails all sessions without an answer, and closes idle clients, before the process ends."""
        for session in list(self.sessions.opening):
            self.fail_session(session, "stopping")
        self.close_idle_clients(math.inf)

    def redirect(self, session: Session, reason: str, outcome: Outcome = Outcome.WITHDRAWN) -> None:
        """Tells the client of an established session to open a new one. Only whole lines are passed on, so
        this line always comes between two of them.
        """
        if not session.established_at or session.finished:
            return
        self._end_session(session, reason)
        self._close_host_connection(session, reset=outcome is Outcome.RESET)
        session.client.close(self.redirect_line)
        self.report_event(DialEnded(session.index, session.dial, outcome, True))

    def _end_session(self, session: Session, reason: str) -> None:
        """Removes a session, and writes its only log line."""
        self.sessions.remove(session)
        self.budget.session_count -= 1
        self.resumption.session_ended(session)
        self.metrics.ended_sessions[reason] += 1
        now = self.clock()
        host = self.hosts.uids[session.host] if session.host >= 0 else "-"
        logger.info(
            "end id={} reason={} class={} host={} dials={} ms={:.0f} up_ms={:.0f}",
            session.request.id, reason, session.request.listener, host, session.dial + 1,
            now - session.requested_at, now - session.established_at if session.established_at else 0,
        )  # fmt: skip

    # ---- settings and metrics

    def apply_settings(self, settings: Settings, names: Names, limits: Limits) -> None:
        """Applies new settings in one step; open sessions keep those that they began with."""
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

    def probe_completed(self, event: ProbeCompleted) -> None:
        uid = self.hosts.uids[event.host]
        report = event.report
        logger.debug(
            "look uid={} outcome={} load={} held={}", uid, event.outcome.name, report.load, report.connections
        )
        answered = event.outcome in (Outcome.GOOD, Outcome.ERROR)
        if answered:
            self.hosts.heard_at[event.host] = self.clock()
        # After a long stall, an answer that waited in the socket would pass for a fresh load report.
        if self.observations_stale:
            return
        self.report_event(event)
        # A probe for which this node had no descriptor says nothing about the host.
        if not answered and event.outcome is not Outcome.NEVER_SENT and self._is_suspect(event.host):
            for session in self.sessions.established():
                if session.host == event.host:
                    self.redirect(session, "host-silent", Outcome.RESET)

    def set_ban(self, uid: str, out: bool) -> None:
        """Bans a host, or readmits it."""
        self.report_event(BanChanged(self.hosts.index_of(uid), out))
        logger.info("roster reason={} uids={}", "taken-out" if out else "called-back", uid)

    def update_roster(self, whole: bool, rows: Any) -> None:
        """Applies a whole list of hosts, or a change, from discovery."""
        entries = self.hosts.update(self.read_clock(), whole, rows, self.report_bad_entry)
        self.budget.running_hosts = self.hosts.running_count()
        for host in list(self.probes.connections):
            if self.hosts.states[host] is HostState.GONE:
                self.probes.close(host)
        self.report_event(RosterUpdated(whole, entries))
        self.update_subsets()

    def update_subsets(self) -> None:
        """Tells the balancer which hosts this node prefers."""
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
        """A line has come from discovery, possibly an empty one."""
        self.discovery_heard_at = self.clock()
        if self.hosts.presumed_draining:
            self.report_event(RosterUpdated(False, self.hosts.end_presumption()))

    def _check_discovery_silence(self, now: float) -> None:
        # Changes count as notified even while discovery is silent. That a host drains then shows only by its
        # redirecting clients.
        if now - self.discovery_heard_at > DISCOVERY_SILENCE_MS and (
            entries := self.hosts.presume_draining(now - REDIRECT_RELEVANCE_MS)
        ):
            uids = ",".join(self.hosts.uids[e.host] for e in entries)
            logger.info("roster reason=held-to-drain uids={}", uids)
            self.report_event(RosterUpdated(False, entries))

    def report_bad_entry(self, text: str) -> None:
        logger.warning("roster reason=bad-entry {}", text)

    def _is_suspect(self, host: int) -> bool:
        """Whether a line has waited too long for the host, which has sent nothing since."""
        waiting = self.sessions.unanswered_before(self.clock() - HOST_SUSPECT_MS)
        return any(session.host == host and self._host_unheard(session) for session in waiting)

    def _host_unheard(self, session: Session) -> bool:
        # A host that is held up by a client that does not read is not silent.
        return (
            not session.host_connection.paused
            and self.hosts.heard_at[session.host] <= session.unanswered_since
        )

    # ---- housekeeping

    def sweep(self) -> None:
        """Periodic checks of time-outs that have no timer of their own."""
        now = self.clock()
        self.last_turn_at = now
        if self.budget.may_accept():
            self.set_accepting(True)
        # After a stall of this node, unread data would pass for silence.
        if not self.catching_up:
            self._check_discovery_silence(now)
            # Every deadline has a timer; should one be lost, the client still gets its answer here.
            for session in self.sessions.overdue(now - OVERDUE_ANSWER_MS):
                self.metrics.overdue_answers += 1
                self.fail_session(session, "overdue")
            # A machine that has vanished sends nothing, and its connections stay open.
            for session in self.sessions.unanswered_before(now - HOST_SILENCE_MS):
                if not session.host_connection.paused:
                    self.redirect(session, "host-silent", Outcome.RESET)
            # Detected on each connection separately, the loss of a zone would keep its clients waiting for
            # seconds. One line and one probe without an answer are enough for all connections of a host.
            if self.limits.may_probe:
                for host in {
                    session.host: None
                    for session in self.sessions.unanswered_before(now - HOST_SUSPECT_MS)
                    if self._host_unheard(session)
                }:
                    self.probes.probe(host, self.hosts.addresses[host])
        # A client's machine that has vanished sends nothing either, and its session holds two descriptors.
        if not self.catching_up and now - self.idle_checked_at > self.limits.idle_timeout / 10:
            self.idle_checked_at = now
            for session in self.sessions.established():
                if now - session.client_heard_at > self.limits.idle_timeout:
                    self.redirect(session, "client-silent")
        # Clients that connect and send nothing could otherwise take every descriptor.
        if not self.catching_up:
            self.close_idle_clients(now - (IDLE_MS if self.budget.may_serve() else SHORT_IDLE_MS))

    def close_idle_clients(self, before: float) -> None:
        """Closes the clients that connected before that time and have sent no first line."""
        for client in list(self.idle_clients):
            if client.opened_at >= before:
                break
            # A client whose first line has just arrived is not closed, as it would get no answer to it. One
            # whose line crosses the close on the way gets this answer. One that does not read its answers is
            # not read either.
            if client.other_side_full or not client.peek():
                client.close(self.busy_line(0.0), linger=self.budget.may_serve() and not self.stopping)
