"""The node as a service: start, SIGHUP, SIGTERM, exit."""

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

from caperdeck.execution.backlog import SWEEP
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

BACKLOG = 4096
SERVE_ON = 450.0  # after SIGTERM, while clients still come
LONGEST_STOP = 3000.0  # the longest wait of a client, or this if that is longer, and
STOP_AFTER = 200.0  # so much more, until when all are moved
MOVING = 1200.0  # the last part of that, in which they are moved, evenly
SHORT_EVERY = 1000.0  # the log says so often at the most that sockets are short
JOIN_AGAIN = 1.0  # seconds until the port for peers is tried again
KILLED_AFTER = 700.0  # SIGKILL may come the longest wait of a client and so much more after SIGTERM
ANSWER_BEFORE = 250.0  # so long before that everybody has been answered
LINGER = 150.0  # from the last end until the exit


def subsets_of(config: Config) -> Subsets | None:
    """By the own number on the list of nodes; None where there is none."""
    if config.peers.node_number is None:
        return None
    try:
        return Subsets(config.peers.node_number, config.settings.nodes, config.settings.zone)
    except SubsetError as error:
        logger.warning("subset reason=unusable {}", error)
        return None


class Service:
    def __init__(
        self, reactor: Any, config: Config, sink: Sink, reread: Callable[[], Config],
        clock: Callable[[], float] = node_clock, date: Callable[[], float] = unix_time, uses: Any = None,
        owners: Any = None, subsets: bool = False, published: Any = None,
    ) -> None:  # fmt: skip
        self.reactor = reactor
        self.config = config
        self.reread = reread
        self.sink = sink
        self.clock = clock
        self.date_watch = WallClockMonitor(clock, date)
        balancer = Balancer(config.settings, self.clock())
        budget = SocketBudget(config.sockets, 0)
        self.handler = SessionHandler(
            reactor, self.clock, balancer, config.names, config.limits, Hosts(config.names.zones), budget,
        )  # fmt: skip
        self.handler.set_accepting = self.accept
        self.handler.hosts.start_times.set_wall_clock_offset(self.date_watch.offset)
        self.discovery = Discovery(
            reactor, config.discovery, config.known_revision, self.handler.update_roster,
            self.discovery_heard, self.complain, BackOff(config.settings.seed, config.settings.nodes),
            self.excused, config.limits.list_lifetime / MS,
        )  # fmt: skip
        self.handler.source = self.discovery
        self.narrows = subsets
        self.handler.subsets = subsets_of(config) if subsets else None
        self.uses = uses  # None: it says nothing to its peers
        self.peers: Any = None  # its port for datagrams
        self.published = published  # None: its file alone says what it serves under
        self.owned: Any = None  # what owners of work on behalf of the fleet have done here
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
            from .owners import Owned

            self.owned = Owned(
                reactor, self.handler, owners, config.name, config.settings.nodes, self.bans_of,
            )  # fmt: skip
            self.calls.add("act", 3, self.owned.act, self.owned.longest, keep_open=True)
        self.accepts = True
        self.short_at = 0.0  # when the log last said that sockets are short
        self.exit_code = 0
        self.stopped_at = 0.0
        self.stop_span = self._stop_span()  # from then until all clients are moved
        self.left = False
        self.takes = False  # this process accepts clients
        self.accepts_more = True  # until the end of a stop
        self.upgrade = Upgrade(reactor, self)

    def start(self) -> None:
        config = self.config
        self.mind_signals()
        alone = not self.upgrade.contact_incumbent()
        if alone:
            self.know_saved()
            self.discovery.start()
            self.handler.wait_for_list()
            self.listen()
        if config.admin is not None:
            AdminServer(self.reactor, self.calls).listen(config.admin)
        self.keep_sweeping()
        self.handler.budget.used = open_descriptors() + 8 + RESERVED_DESCRIPTORS * (config.admin is not None)
        if alone:
            self.begin()

    def mind_signals(self) -> None:
        for number, do in (
            (signal.SIGTERM, self.stop), (signal.SIGINT, self.stop), (signal.SIGHUP, self.told_to_reload),
        ):  # fmt: skip
            signal.signal(number, lambda *_, do=do: self.reactor.callFromThread(do))

    def know_saved(self) -> None:
        """Takes in the hosts of the configuration, a list that was saved some time ago, and the bans."""
        self.know(self.config.known_hosts)
        self.handler.hosts.start_times.mark_as_saved()

    def know(self, rows: list, bans: UpgradeState | None = None) -> None:
        """Takes in the hosts, and the bans, those of the file if none are given, before anything is sent."""
        if bans is None:
            self.bans.load()
        else:
            self.bans.adopt(bans["bans"], bans.get("unsaved_bans", {}))
            # Danger: a disk that is full for a moment must not end an upgrade half way; they hold in memory.
            self.ban_calls.save()
        self.handler.update_roster(True, rows)
        for uid in self.bans.uids:
            self.handler.set_ban(uid, True)
        self.ban_calls.begin()

    def listen(self, fd: int = -1) -> None:
        """Opens the clients' port, or goes on with one that was handed on; accepts nobody yet."""
        address, factory = self.config.listen, ClientFactory(self.handler)
        if fd < 0:
            self.port = ClientPort(address.port, factory, BACKLOG, address.host, self.reactor)
            call_with_retries(self.port.startListening)
        else:
            self.port = ClientPort._fromListeningDescriptor(self.reactor, fd, socket.AF_INET, factory)
            os.close(fd)
            self.port.startListening()
        self.port.stopReading()

    def begin(self) -> None:
        """From now on this process takes clients, and can be succeeded."""
        config = self.config
        self.take_clients()
        self.join()
        self.upgrade.listen_for_successor()
        logger.info("start node={} listen={}:{} hosts={} sockets={} {}", config.name, *config.listen,
                    self.handler.hosts.running_count(), config.sockets,
                    self.handler.budget.summary)  # fmt: skip

    def join(self) -> None:
        """Speaks to its peers from now on, where the operator wants it and the settings allow it."""
        if self.uses is None or self.peers is not None or self.stopped_at or not self.takes:
            return
        from .sharing import create_peer_port

        made = create_peer_port(self.reactor, self.handler, self.config, self.uses)
        if made is None:
            return
        port, address = made
        try:
            port.listen(address)
        except (OSError, CannotListenError) as error:
            # the process before this one may not have gone yet
            logger.warning("peers reason=cannot-listen {}", error)
            self.reactor.callLater(JOIN_AGAIN, self.join)
            return
        self.peers = port

    def part(self) -> None:
        if self.peers is not None:
            self.peers.stop()
            self.peers = None

    def take_clients(self) -> None:
        self.takes = self.accepts = True
        self.port.startReading()
        if self.published is not None:
            self.published.start(self)

    def stop_accepting(self) -> None:
        """Another process of this node takes clients from now on."""
        self.takes = False
        # Danger: two processes under one name would both answer for it; the successor opens the port anew.
        self.part()
        if self.published is not None:
            self.published.stop()
        if self.port is not None:
            self.port.stopReading()

    def discovery_heard(self) -> None:
        self.handler.discovery_heard()
        if self.upgrade.waiting_to_begin:
            # what the line holds is taken in first
            self.reactor.callLater(0, self.upgrade.discovery_answered)

    def excused(self) -> bool:
        self.handler.clock()
        return bool(self.handler.stall)

    def complain(self, reason: str, text: str) -> None:
        logger.warning("discovery reason={} {}", reason, text)

    def keep_sweeping(self, failure: Any = None) -> None:
        # Danger: a loop that has failed once stays still, and nothing would find silent hosts any more.
        if failure is not None:
            logger.error("internal reason=exception {}", traceback_line(failure))
        self.handler.last_turn_at = self.clock()
        loop = LoopingCall(self.sweep)
        loop.clock = self.reactor
        loop.start(SWEEP / MS, now=False).addErrback(self.keep_sweeping)

    def sweep(self) -> None:
        if (step := self.date_watch.detect_step()) is not None:
            # nothing is timed by the date, but the lines before and after this one carry it
            logger.warning("clock reason=date-stepped ms={:.0f}", step)
            self.handler.metrics.date_steps += 1
        self.handler.sweep()
        self.ban_calls.read_file_changes()
        self.ban_calls.save()
        self.sink.flush()

    def accept(self, on: bool) -> None:
        """Takes new clients in, or leaves them to the kernel while sockets are short."""
        if on is not self.accepts and self.port is not None:
            self.accepts = on
            if not self.takes:
                return
            (self.port.startReading if on else self.port.stopReading)()
            if not on and self.clock() - self.short_at > SHORT_EVERY:
                self.short_at = self.clock()
                budget = self.handler.budget
                logger.warning(
                    "accept reason=no-sockets open={} {}", budget.client_connections, budget.summary
                )

    # ---- calls to the second address

    def readyz(self, then: AnswerCallback) -> None:
        if not self.takes or self.stopped_at:
            raise CallError("stopping" if self.stopped_at else "not-taking-clients")
        then(ack())

    def knows_host(self, uid: str) -> bool:
        return uid in self.handler.hosts.index_by_uid

    def apply_ban(self, ban: BanChange) -> None:
        """Takes a host out, or lets it serve again, at this process."""
        owned_out = self.owned is not None and self.owned.is_out(ban.uid)
        self.handler.set_ban(ban.uid, ban.excluded or owned_out)

    def notify_other_process(self, ban: BanChange, then: Callable[[], None]) -> None:
        self.upgrade.send_ban(ban.uid, ban.excluded, then)

    def bans_of(self) -> Iterable[str]:
        """Hosts that an operator has taken out here."""
        return self.bans.uids

    def telemetry(self, then: AnswerCallback) -> None:
        shared = self.peers.sharing.lines(self.handler.clock()) if self.peers is not None else []
        owned = self.owned.lines() if self.owned is not None else []
        published = self.published.lines() if self.published is not None else []
        then([*self.handler.metrics.lines(self.handler.gauges()), *shared, *owned, *published, "--"])

    # ---- a new configuration

    def told_to_reload(self) -> None:
        """By a signal, which comes to one process of the node."""
        # Danger: the one that was not told would go on by the old file, and turn the new classes away.
        self.upgrade.send_reload()
        self.reload()

    def reload(self) -> None:
        """Takes the file whole or not at all; what needs a restart is named and stays as it is."""
        if self.published is not None and self.published.defer_reload(self.reload):
            return
        try:
            new = self.reread()
            check_keys_kept(self.config, new)
        except ConfigError as error:
            # Danger: half a file, or one for another program, must not end a node that serves.
            self.handler.metrics.rejected_configs += 1
            logger.error("reload reason=unusable {}", error)
            return
        self.take(new)

    def take(self, new: Config) -> None:
        """Serves under it from now on; it was checked whole."""
        old = self.config
        self.handler.metrics.accepted_configs += 1
        kept = [key for key in ("name", "listen", "admin") if getattr(new, key) != getattr(old, key)]
        kept += ["dcs"] * (new.names.zones != old.names.zones)
        self.config = new = replace(
            new, name=old.name, listen=old.listen, admin=old.admin,
            names=replace(new.names, zones=old.names.zones),
            settings=replace(new.settings, seed=old.settings.seed, zone=old.settings.zone),
        )  # fmt: skip
        self.handler.budget.resize(new.sockets)
        self.handler.subsets = subsets_of(self.config) if self.narrows else None
        self.handler.apply_settings(new.settings, new.names, new.limits)
        if new.peers != old.peers:
            # Danger: the numbers of members mean others in another list.
            self.part()
            self.join()
        self.discovery.list_lifetime = new.limits.list_lifetime / MS
        if new.discovery != old.discovery:
            self.discovery.move_to(new.discovery)
        logger.info("reload discovery={} sockets={} classes={} kept={}", new.discovery, new.sockets,
                    ",".join(new.names.listeners), ",".join(kept) or "-")  # fmt: skip

    # ---- the stop

    def stop(self) -> None:
        """Serves on while clients come, then moves every standing session, evenly, and exits."""
        if self.stopped_at:
            return
        self.stopped_at = self.clock()
        # frozen here: a SIGHUP that comes after it must not put off an end that SIGKILL does not wait for
        self.stop_span = self._stop_span()
        self.handler.stopping = True
        answer_after = self._longest_wait() + KILLED_AFTER - ANSWER_BEFORE
        self.handler.answer_by = self.stopped_at + answer_after
        self.reactor.callLater(answer_after / MS, self.handler.answer_pending)
        # Danger: a successor that ends must not take over a port and connections that it would end with it.
        if self.upgrade.waiting_to_begin:
            self.exit()
            return
        logger.info("stop sessions={}", len(self.handler.sessions.by_index))
        # Danger: in a rolling restart the node before may not be back; who is moved early has nowhere to go.
        self.reactor.callLater(max(self.stop_span - MOVING, SERVE_ON) / MS, self.move_some)

    def _longest_wait(self) -> float:
        return min(self.config.limits.max_client_wait, LONGEST_STOP)

    def _stop_span(self) -> float:
        return max(self._longest_wait(), SERVE_ON) + STOP_AFTER

    def move_some(self) -> None:
        try:
            self._move_share()
        finally:
            # Danger: one session that fails to move must not keep the process from ending.
            self._go_on_stopping()

    def _move_share(self) -> None:
        """The sessions whose turn it is, so that all are moved evenly by the end of the span."""
        standing = self.handler.sessions.established()
        left = self.stopped_at + self.stop_span - self.clock()
        steps = max(int(left / 50.0), 1)
        for s in standing[: -(-len(standing) // steps)]:
            self.handler.redirect(s, "stop")
        self.handler.close_idle_clients(self.clock() - SERVE_ON)

    def _go_on_stopping(self) -> None:
        if self.handler.budget.client_connections or self.clock() < self.stopped_at + 2 * SERVE_ON:
            self.reactor.callLater(0.05, self.move_some)
        elif self.accepts_more:
            self.accepts_more = not self.shut_port()
            self.reactor.callLater(LINGER / MS, self.move_some)
        else:
            self.exit()

    def shut_port(self) -> bool:
        """Takes in who has connected by now, and nobody who comes later; whether that could be done."""
        if self.port is None:
            return True
        # Danger: who lies in the queue of a port that closes is reset, with the request that is on the way.
        takes = self.takes and self.handler.budget.may_accept() and self.clock() < self.handler.answer_by
        if takes and not self.port.accept_pending():
            return False
        port, self.port = self.port, None
        self.upgrade.stop_listening()
        port.stopListening()
        return True

    def exit(self, code: int = 0) -> None:
        if self.left:
            return
        self.left, self.exit_code = True, code
        self.ban_calls.save()
        self.part()
        for part in (self.owned, self.published):
            if part is not None:
                part.stop()
        self.upgrade.detach()
        logger.info("exit ms={:.0f}", self.clock() - self.stopped_at if self.stopped_at else 0)
        self.sink.flush()
        self.reactor.stop()
