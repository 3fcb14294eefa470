"""The node as a service: its start, its reload on SIGHUP, its stop on SIGTERM and its exit."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable, Iterable
from dataclasses import replace
from typing import Any

from loguru import logger
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall

from caperdeck.execution.backlog import SWEEP_INTERVAL_MS
from caperdeck.core.facade import Balancer
from caperdeck.core.settings import MS
from caperdeck.ops.ban_calls import BanCalls
from caperdeck.ops.bans import BanChange, Bans
from caperdeck.ops.admin_calls import CallError, AdminCalls, AnswerCallback, ack
from caperdeck.ops.admin_server import RESERVED_DESCRIPTORS, AdminServer
from caperdeck.ops.upgrade import Upgrade, UpgradeState
from caperdeck.state.errors import call_with_retries
from caperdeck.state.budget import SocketBudget, open_descriptors
from caperdeck.state.hosts import Hosts
from caperdeck.state.backoff import BackOff
from caperdeck.state.clocks import WallClockMonitor, node_clock, unix_time
from caperdeck.coordination.subset import SubsetError, Subsets
from caperdeck.wire.client import ClientFactory, ClientPort
from caperdeck.wire.session_handler import SessionHandler
from caperdeck.wire.discovery import Discovery

from .config import Config, ConfigError, check_keys_kept
from .logs import Sink, traceback_line

LISTEN_BACKLOG = 4096
MIN_SERVING_MS = 450.0  # after SIGTERM, as clients still arrive
MAX_WAIT_MS = 3000.0  # upper limit of the clients' longest wait, for the duration of a stop
STOP_MARGIN_MS = 200.0  # a stop lasts for the clients' longest wait and this long
REDIRECT_SPAN_MS = 1200.0  # sessions are redirected evenly over this last part of a stop
SHORTAGE_LOG_INTERVAL_MS = 1000.0  # between two log lines about missing sockets
JOIN_RETRY_S = 1.0  # until the port for peers is opened again
KILL_MARGIN_MS = 700.0  # SIGKILL may come this long after SIGTERM plus the clients' longest wait
ANSWER_MARGIN_MS = 250.0  # every client has been answered this long before SIGKILL
UNSIGNALLED_START_S = 1.0  # after its start, a process is not signalled to reload
EXIT_LINGER_MS = 150.0  # between the last connection and the exit


def create_subsets(config: Config) -> Subsets | None:
    """The subsets of this node's number; None without a number, or with one that cannot be used."""
    if config.peers.node_number is None:
        return None
    try:
        return Subsets(config.peers.node_number, config.settings.nodes, config.settings.zone)
    except SubsetError as error:
        logger.warning("subset reason=unusable {}", error)
        return None


class Service:
    """A node: creates its parts, connects them to the reactor, and starts, reloads and stops them."""

    def __init__(
        self, reactor: Any, config: Config, sink: Sink, read_config: Callable[[], Config],
        clock: Callable[[], float] = node_clock, date: Callable[[], float] = unix_time, uses: Any = None,
        owners: Any = None, subsets: bool = False, published: Any = None,
    ) -> None:  # fmt: skip
        self.reactor = reactor
        self.config = config
        self.read_config = read_config
        self.sink = sink
        self.clock = clock
        self.wall_clock_monitor = WallClockMonitor(clock, date)
        balancer = Balancer(config.settings, self.clock())
        budget = SocketBudget(config.sockets, 0)
        self.handler = SessionHandler(
            reactor, self.clock, balancer, config.names, config.limits, Hosts(config.names.zones), budget,
        )  # fmt: skip
        self.handler.set_accepting = self.set_accepting
        self.handler.hosts.start_times.set_wall_clock_offset(self.wall_clock_monitor.offset)
        self.discovery = Discovery(
            reactor, config.discovery, config.known_revision, self.handler.update_roster,
            self.discovery_heard, self.log_discovery_problem,
            BackOff(config.settings.seed, config.settings.nodes), self.has_stalled,
            config.limits.list_lifetime / MS,
        )  # fmt: skip
        self.handler.source = self.discovery
        self.use_subsets = subsets
        self.handler.subsets = create_subsets(config) if subsets else None
        self.uses = uses  # what is shared with peers; None for nothing
        self.peers: Any = None  # the port for datagrams to and from peers
        self.published = published  # None if the configuration is the node's file alone
        self.owned_node: Any = None  # carries out the acts of owners, if there are any
        self.port = None
        self.calls = AdminCalls()
        self.calls.add("readyz", 0, self.readyz)
        self.calls.add("telemetry", 0, self.telemetry)
        self.bans = Bans(config.shared_folder)
        self.ban_calls = BanCalls(reactor, self.bans, self)
        self.handler.refresh_bans = self.ban_calls.read_file_changes
        self.calls.add("exclude", 1, self.ban_calls.exclude)
        self.calls.add("include", 1, self.ban_calls.include)
        if owners is not None:
            from .owners import OwnedNode

            self.owned_node = OwnedNode(
                reactor, self.handler, owners, config.name, config.settings.nodes, self.excluded_hosts,
            )  # fmt: skip
            self.calls.add("act", 3, self.owned_node.act, self.owned_node.max_argument_bytes, keep_open=True)
        self.accepting = True
        self.shortage_logged_at = 0.0
        self.exit_code = 0
        self.stopped_at = 0.0
        self.stop_duration = self._stop_duration()  # until all clients have been redirected
        self.exited = False
        self.takes_clients = False  # False before the start, and once a successor has taken over
        self.port_open = True  # until the end of a stop
        self.upgrade = Upgrade(reactor, self)
        self.upgrade.watch_ids()

    def start(self) -> None:
        """Starts serving, or takes over from a process of this node that serves; raises OSError, BansError or
        CannotListenError.
        """
        config = self.config
        self.install_signal_handlers()
        alone = not self.upgrade.contact_incumbent()
        if alone:
            self.open_alone()
        if config.admin is not None:
            AdminServer(self.reactor, self.calls).listen(config.admin)
        self.start_sweeping()
        # The process before this one may have ended by the time at which it would have been signalled.
        self.reactor.callLater(UNSIGNALLED_START_S, self.reload_if_changed)
        self.handler.budget.used = open_descriptors() + 8 + RESERVED_DESCRIPTORS * (config.admin is not None)
        if alone:
            self.begin()

    def open_alone(self) -> None:
        """Opens the port of a node that no other process serves; raises BansError or CannotListenError."""
        self.load_saved_hosts()
        self.discovery.start()
        self.handler.wait_for_list()
        self.listen()
        self.reload_if_changed()

    def install_signal_handlers(self) -> None:
        for number, do in (
            (signal.SIGTERM, self.stop), (signal.SIGINT, self.stop),
            (signal.SIGHUP, self.handle_reload_signal),
        ):  # fmt: skip
            signal.signal(number, lambda *_, do=do: self.reactor.callFromThread(do))

    def load_saved_hosts(self) -> None:
        """Loads the hosts of the configuration, a list that was saved some time ago, and the bans."""
        self.load_hosts(self.config.known_hosts)
        self.handler.hosts.start_times.mark_as_saved()

    def load_hosts(self, rows: list, bans: UpgradeState | None = None) -> None:
        """Loads the hosts and the bans, by default those of the file, before anything is sent to a host."""
        if bans is None:
            self.bans.load()
        else:
            self.bans.adopt(bans["bans"], bans.get("unsaved_bans", {}))
            # A disk that is full for a moment must not abort an upgrade; the bans also apply from memory.
            self.ban_calls.save()
        self.handler.update_roster(True, rows)
        for uid in self.bans.uids:
            self.handler.set_ban(uid, True)
        self.ban_calls.begin()

    def listen(self, fd: int = -1) -> None:
        """Opens the clients' port, or adopts the one of that descriptor, without accepting yet."""
        address, factory = self.config.listen, ClientFactory(self.handler)
        if fd < 0:
            self.port = ClientPort(address.port, factory, LISTEN_BACKLOG, address.host, self.reactor)
            call_with_retries(self.port.startListening)
        else:
            self.port = ClientPort._fromListeningDescriptor(self.reactor, fd, socket.AF_INET, factory)
            os.close(fd)
            self.port.startListening()
        self.port.stopReading()

    def begin(self) -> None:
        """Accepts clients from now on, and can be found by a successor."""
        config = self.config
        self.start_accepting()
        self.join_peers()
        self.upgrade.listen_for_successor()
        logger.info("start node={} listen={}:{} hosts={} sockets={} {}", config.name, *config.listen,
                    self.handler.hosts.running_count(), config.sockets,
                    self.handler.budget.summary)  # fmt: skip

    def join_peers(self) -> None:
        """Opens the port for peers, if the operator wants sharing and the settings allow it."""
        if self.uses is None or self.peers is not None or self.stopped_at or not self.takes_clients:
            return
        from .sharing import create_peer_port

        made = create_peer_port(self.reactor, self.handler, self.config, self.uses)
        if made is None:
            return
        port, address = made
        try:
            port.listen(address)
        except (OSError, CannotListenError) as error:
            # The process before this one may not have closed its port yet.
            logger.warning("peers reason=cannot-listen {}", error)
            self.reactor.callLater(JOIN_RETRY_S, self.join_peers)
            return
        self.peers = port

    def leave_peers(self) -> None:
        if self.peers is not None:
            self.peers.stop()
            self.peers = None

    def start_accepting(self) -> None:
        self.takes_clients = self.accepting = True
        self.port.startReading()
        if self.published is not None:
            self.published.start(self)

    def stop_accepting(self) -> None:
        """Leaves the clients' port to another process of this node."""
        self.takes_clients = False
        # Two processes would answer to peers under one node number; the successor opens that port again.
        self.leave_peers()
        if self.published is not None:
            self.published.stop()
        if self.port is not None:
            self.port.stopReading()

    def discovery_heard(self) -> None:
        self.handler.discovery_heard()
        if self.upgrade.waiting_to_begin:
            # The line that arrived is to be processed first.
            self.reactor.callLater(0, self.upgrade.discovery_answered)

    def has_stalled(self) -> bool:
        """Whether the process was stalled, and input that arrived meanwhile may not have been read yet."""
        self.handler.clock()
        return bool(self.handler.stall)

    def log_discovery_problem(self, reason: str, text: str) -> None:
        logger.warning("discovery reason={} {}", reason, text)

    def start_sweeping(self, failure: Any = None) -> None:
        # A LoopingCall that has failed does not run again, and silent hosts would no longer be found.
        if failure is not None:
            logger.error("internal reason=exception {}", traceback_line(failure))
        self.handler.last_turn_at = self.clock()
        loop = LoopingCall(self.sweep)
        loop.clock = self.reactor
        loop.start(SWEEP_INTERVAL_MS / MS, now=False).addErrback(self.start_sweeping)

    def sweep(self) -> None:
        if (step := self.wall_clock_monitor.detect_step()) is not None:
            # No timer uses the wall clock, but the time stamps before and after this log line do.
            logger.warning("clock reason=date-stepped ms={:.0f}", step)
            self.handler.metrics.date_steps += 1
        self.handler.sweep()
        self.ban_calls.read_file_changes()
        self.ban_calls.save()
        self.sink.flush()

    def set_accepting(self, on: bool) -> None:
        """Accepts new clients, or leaves them in the kernel's queue while sockets are short."""
        if on is not self.accepting and self.port is not None:
            self.accepting = on
            if not self.takes_clients:
                return
            (self.port.startReading if on else self.port.stopReading)()
            if not on and self.clock() - self.shortage_logged_at > SHORTAGE_LOG_INTERVAL_MS:
                self.shortage_logged_at = self.clock()
                budget = self.handler.budget
                logger.warning(
                    "accept reason=no-sockets open={} {}", budget.client_connections, budget.summary
                )

    # ---- calls to the admin address

    def readyz(self, on_answer: AnswerCallback) -> None:
        if not self.takes_clients or self.stopped_at:
            raise CallError("stopping" if self.stopped_at else "not-taking-clients")
        on_answer(ack())

    def knows_host(self, uid: str) -> bool:
        return uid in self.handler.hosts.index_by_uid

    def apply_ban(self, change: BanChange) -> None:
        """Excludes a host in this process, or includes it again unless the owner of hosts excludes it."""
        owned_out = self.owned_node is not None and self.owned_node.is_ejected(change.uid)
        self.handler.set_ban(change.uid, change.excluded or owned_out)

    def notify_other_process(self, change: BanChange, on_answer: Callable[[], None]) -> None:
        self.upgrade.send_ban(change.uid, change.excluded, on_answer)

    def excluded_hosts(self) -> Iterable[str]:
        """Hosts that an operator has excluded."""
        return self.bans.uids

    def telemetry(self, on_answer: AnswerCallback) -> None:
        shared = self.peers.sharing.lines(self.handler.clock()) if self.peers is not None else []
        owned = self.owned_node.lines() if self.owned_node is not None else []
        published = self.published.lines() if self.published is not None else []
        on_answer([*self.handler.metrics.lines(self.handler.gauges()), *shared, *owned, *published, "--"])

    # ---- a new configuration

    def handle_reload_signal(self) -> None:
        """Reloads on a signal, which only one process of the node gets."""
        # Without the message the other process would keep the old file and refuse the new classes.
        self.upgrade.send_reload()
        self.reload()

    def reload(self) -> None:
        """Applies the file as a whole or not at all; the log names changed keys that need a restart."""
        if self.published is not None and self.published.defer_reload(self.reload):
            return
        try:
            new = self._read_usable_config()
        except ConfigError as error:
            # A truncated file, or one of another program, must not stop a node that serves.
            self.handler.metrics.rejected_configs += 1
            logger.error("reload reason=unusable {}", error)
            return
        self.apply_config(new)

    def reload_if_changed(self) -> None:
        """Applies the file if it has been replaced since this process read it."""
        # The signal for it went to another process of this node, or came before this one handled signals.
        if self.published is not None and self.published.defer_reload(self.reload_if_changed):
            return
        try:
            new = self._read_usable_config()
        except ConfigError as error:
            # Not counted, as nobody asked this process to reload: the file may have been a pipe, say.
            logger.info("reload reason=not-read-again {}", error)
            return
        if self._keep_start_values(new) != self.config:
            self.apply_config(new)

    def _read_usable_config(self) -> Config:
        """Reads the file again; raises ConfigError if it cannot replace the active configuration."""
        new = self.read_config()
        check_keys_kept(self.config, new)
        return new

    def apply_config(self, new: Config) -> None:
        """Serves with a configuration that has been checked."""
        old = self.config
        self.handler.metrics.accepted_configs += 1
        kept = [key for key in ("name", "listen", "admin") if getattr(new, key) != getattr(old, key)]
        kept += ["dcs"] * (new.names.zones != old.names.zones)
        self.config = new = self._keep_start_values(new)
        self.handler.budget.resize(new.sockets)
        self.handler.subsets = create_subsets(self.config) if self.use_subsets else None
        self.handler.apply_settings(new.settings, new.names, new.limits)
        if new.peers != old.peers:
            # Node numbers refer to other nodes in another list of peers.
            self.leave_peers()
            self.join_peers()
        self.discovery.currency.lifetime = new.limits.list_lifetime / MS
        if new.discovery != old.discovery:
            self.discovery.switch_to(new.discovery)
        logger.info("reload discovery={} sockets={} classes={} kept={}", new.discovery, new.sockets,
                    ",".join(new.names.listeners), ",".join(kept) or "-")  # fmt: skip

    def _keep_start_values(self, new: Config) -> Config:
        """The new configuration with the active values of what only a start applies."""
        old = self.config
        return replace(
            new, name=old.name, listen=old.listen, admin=old.admin,
            known_revision=old.known_revision, known_hosts=old.known_hosts,
            names=replace(new.names, zones=old.names.zones),
            settings=replace(new.settings, seed=old.settings.seed, zone=old.settings.zone),
        )  # fmt: skip

    # ---- the stop

    def stop(self) -> None:
        """Goes on serving while clients arrive, then redirects all sessions evenly over time, and exits."""
        if self.stopped_at:
            return
        self.stopped_at = self.clock()
        # Fixed now, as a later SIGHUP must not extend a stop for which SIGKILL does not wait.
        self.stop_duration = self._stop_duration()
        self.handler.stopping = True
        answer_after = self._longest_wait() + KILL_MARGIN_MS - ANSWER_MARGIN_MS
        self.handler.answer_by = self.stopped_at + answer_after
        self.reactor.callLater(answer_after / MS, self.handler.answer_pending)
        # A successor that ends must not take over the port and the connections, as they would end with it.
        if self.upgrade.waiting_to_begin:
            self.exit()
            return
        logger.info("stop sessions={}", len(self.handler.sessions.by_index))
        # In a rolling restart the node before this one may not be back yet, so that clients that are
        # redirected early could not go to it.
        self.reactor.callLater(
            max(self.stop_duration - REDIRECT_SPAN_MS, MIN_SERVING_MS) / MS, self.redirect_some
        )

    def _longest_wait(self) -> float:
        return min(self.config.limits.max_client_wait, MAX_WAIT_MS)

    def _stop_duration(self) -> float:
        return max(self._longest_wait(), MIN_SERVING_MS) + STOP_MARGIN_MS

    def redirect_some(self) -> None:
        try:
            self._redirect_share()
        finally:
            # A failure to redirect one session must not keep the process from ending.
            self._continue_stop()

    def _redirect_share(self) -> None:
        """Redirects as many sessions as it takes to be done evenly by the end of the stop."""
        sessions = self.handler.sessions.established()
        remaining = self.stopped_at + self.stop_duration - self.clock()
        steps = max(int(remaining / 50.0), 1)
        for session in sessions[: -(-len(sessions) // steps)]:
            self.handler.redirect(session, "stop")
        self.handler.close_idle_clients(self.clock() - MIN_SERVING_MS)

    def _continue_stop(self) -> None:
        if self.handler.budget.client_connections or self.clock() < self.stopped_at + 2 * MIN_SERVING_MS:
            self.reactor.callLater(0.05, self.redirect_some)
        elif self.port_open:
            self.port_open = not self.close_port()
            self.reactor.callLater(EXIT_LINGER_MS / MS, self.redirect_some)
        else:
            self.exit()

    def close_port(self) -> bool:
        """Accepts the clients in the kernel's queue and closes the port; False if some are still queued."""
        if self.port is None:
            return True
        # A client in the queue of a port that closes is reset, and loses the request that it has sent.
        drains_queue = (
            self.takes_clients and self.handler.budget.may_accept() and self.clock() < self.handler.answer_by
        )
        if drains_queue and not self.port.accept_pending():
            return False
        port, self.port = self.port, None
        self.upgrade.stop_listening()
        port.stopListening()
        return True

    def exit(self, code: int = 0) -> None:
        if self.exited:
            return
        self.exited, self.exit_code = True, code
        self.ban_calls.save()
        self.leave_peers()
        for component in (self.owned_node, self.published):
            if component is not None:
                component.stop()
        self.upgrade.detach()
        logger.info("exit ms={:.0f}", self.clock() - self.stopped_at if self.stopped_at else 0)
        self.sink.flush()
        self.reactor.stop()
