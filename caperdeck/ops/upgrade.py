"""This process's part in upgrades: at first as the successor of a serving process, later as the incumbent of
the next one.

The messages and their order are in upgrade_protocol.py; this module has what a node does at each of them.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from itertools import islice
from typing import Any, Protocol

from loguru import logger
from twisted.internet.error import CannotListenError

from caperdeck.state.budget import open_descriptors
from caperdeck.state.request_ids import IdChange, IdTable, id_digest
from caperdeck.state.timers import cancel
from caperdeck.wire.request import RequestError

from .bans import BanChange, BansError
from .handover import adopt_session, can_hand_over, encode_session, release_connection
from .link import (
    FolderAddress, NodeAddress, RendezvousSocket, UnixAddress, UpgradeLink, connect_to_incumbent,
)  # fmt: skip
from .upgrade_protocol import Incumbent, Successor

UpgradeState = dict[str, Any]  # the state that an incumbent sends to its successor

BUSY_RETRY_S = 0.25  # until a successor asks a busy incumbent again
MAX_BUSY_RETRIES = 24
BIND_RETRY_S = 0.25  # until an address that could not be bound is tried again


class UpgradingNode(Protocol):
    """The node of this process; implemented by `Service`."""

    config: Any
    handler: Any
    discovery: Any
    bans: Any
    ban_calls: Any
    port: Any
    takes_clients: bool

    def load_hosts(self, rows: list, bans: UpgradeState | None = None) -> None: ...
    def open_alone(self) -> None: ...
    def listen(self, fd: int = -1) -> None: ...
    def begin(self) -> None: ...
    def start_accepting(self) -> None: ...
    def stop_accepting(self) -> None: ...
    def reload(self) -> None: ...
    def reload_if_changed(self) -> None: ...
    def exit(self, code: int = 0) -> None: ...


class Upgrade:
    """The upgrades of a node, seen from this process; implements `UpgradeNode` for both sides."""

    def __init__(self, reactor: Any, node: UpgradingNode) -> None:
        self.reactor = reactor
        self.node = node
        self.side: Incumbent | Successor | None = None
        self.rendezvous_sockets: dict[UnixAddress, RendezvousSocket] = {}
        self.bind_timer: Any = None  # until the addresses that could not be bound are tried again
        self.busy_answers = 0
        self.addresses: list[UnixAddress] = []  # where a successor looks for this process
        self.reported_addresses: set[UnixAddress] = set()  # their failure to bind has been logged
        self.sessions_handed_over = 0
        self.sessions_received = 0  # packets with a session, also those that were refused

    @property
    def in_progress(self) -> bool:
        return self.side is not None and self.side.open

    @property
    def waiting_to_begin(self) -> bool:
        """Whether this process is a successor that does not serve yet."""
        return isinstance(self.side, Successor) and not self.side.began

    def send_ban(self, uid: str, excluded: bool, on_done: Callable[[], None]) -> None:
        if self.side is None:
            on_done()
        else:
            self.side.send_ban(uid, excluded, on_done)

    def send_reload(self) -> None:
        if self.side is not None:
            self.side.send_reload()

    def watch_ids(self) -> None:
        """Tells the other process from now on what this one records of ids."""
        self.node.handler.sessions.ids.on_change = self._id_changed
        self.node.handler.refresh_ids = self.read_messages

    def _id_changed(self, table: IdTable, request_id: str, added: bool) -> None:
        if self.in_progress:
            self.side.id_changed(IdChange(table, id_digest(request_id), added))

    def known_ids(self) -> list[IdChange]:
        return self.node.handler.sessions.ids.snapshot()

    def apply_id_changes(self, changes: list[IdChange]) -> None:
        for change in changes:
            self.node.handler.sessions.ids.apply(change)

    def forget_other_ids(self) -> None:
        self.node.handler.sessions.ids.other_process_gone()

    def read_messages(self) -> None:
        """Reads what the other process has sent, before a request is taken on by what it says."""
        # A client that the other process has just answered may come again before the reactor reads the link.
        if self.in_progress:
            self.side.link.read_pending()

    def reload(self) -> None:
        """Reloads because the other process reloads."""
        self.node.reload()

    def discovery_answered(self) -> None:
        """Discovery has sent something to this process."""
        if isinstance(self.side, Successor):
            self.side.discovery_answered()

    def detach(self) -> None:
        if self.side is not None:
            self.side.detach()

    def identity(self) -> list[str]:
        return [self.node.config.name, "{}:{}".format(*self.node.config.listen)]

    def apply_ban(self, uid: str, excluded: bool) -> None:
        """Applies a ban that the other process was called with and has saved."""
        self.node.ban_calls.apply_notified(BanChange(uid, excluded))

    # ---- the incumbent

    def _addresses(self) -> list[UnixAddress]:
        """Where a successor looks, in this order; empty without an admin address, as upgrades need one."""
        config = self.node.config
        if config.admin is None:
            return []
        # The first works whatever the state of the disk; older versions know only the folder.
        in_folder = [FolderAddress(config.shared_folder)] if config.shared_folder is not None else []
        return [NodeAddress(self.identity()), *in_folder]

    def listen_for_successor(self) -> None:
        """Lets a successor find this process at every address that can be bound; retries the others later."""
        if not self.addresses:
            self.addresses = self._addresses()
        missing = [address for address in self.addresses if address not in self.rendezvous_sockets]
        for address in missing:
            try:
                self.rendezvous_sockets[address] = RendezvousSocket(
                    self.reactor, address, self.handle_connection
                )
            except OSError as error:
                if address not in self.reported_addresses:
                    self.reported_addresses.add(address)
                    logger.warning("upgrade reason=no-doorbell at={} {}", type(address).__name__, error)
        if len(self.rendezvous_sockets) < len(self.addresses):
            self.bind_timer = self.reactor.callLater(BIND_RETRY_S, self.listen_for_successor)

    def handle_connection(self, sock: socket.socket) -> None:
        link = UpgradeLink(self.reactor, sock)
        if self.in_progress:
            # An earlier upgrade may still hand over connections, or another successor may be taking over.
            link.send({"say": "busy"})
            self.reactor.callLater(1.0, link.close)
            return
        self.side = Incumbent(self.reactor, link, self)

    def stop_listening(self) -> None:
        """Keeps successors from finding this process."""
        cancel(self.bind_timer)
        for listener in self.rendezvous_sockets.values():
            listener.close()
        self.rendezvous_sockets.clear()

    def export_state(self) -> tuple[list[dict], dict, list[int]]:
        node = self.node
        learned = node.handler.balancer.learned_state()
        # For a large fleet, values of each host do not fit into one packet; they go into the hosts' rows.
        capacities, rows = learned.pop("able"), node.handler.hosts.export_rows()
        for row in rows:
            host = node.handler.hosts.index_by_uid[row["uid"]]
            row["able"] = capacities[host] if host < len(capacities) else 0.0
        readmissions = node.handler.balancer.readmitted
        state = {
            "discovery": node.discovery.address,
            "rev": node.discovery.rev,
            "list_current_until": node.discovery.current_until,
            "bans": list(node.bans.uids),
            "unsaved_bans": node.bans.unsaved,
            "called_back": {node.handler.hosts.uids[host]: at for host, at in readmissions.items()},
            "told_at": node.handler.discovery_heard_at,
            "memory": learned | {"able": []},  # an older version reads `able` together with `uids`
            "uids": [],
            "starts": (node.handler.hosts.start_times.offset, {}),
        }
        return rows, state, [node.port.fileno()]

    def stop_accepting(self) -> None:
        logger.info("upgrade reason=given sessions={}", len(self.node.handler.sessions.by_index))
        self.node.stop_accepting()
        self.stop_listening()

    def resume_accepting(self) -> None:
        node = self.node
        logger.error("upgrade reason=successor-lost sessions={}", len(node.handler.sessions.by_index))
        node.handler.balancer.take_slots_back()
        node.start_accepting()
        node.join_peers()
        self.listen_for_successor()

    def hand_over_connections(self, limit: int) -> bool:
        """Hands over up to `limit` connections; True once none is left here."""
        handler = self.node.handler
        for session in islice(filter(can_hand_over, handler.sessions.established()), limit):
            message, fds = encode_session(handler, session)
            if not self.side.link.try_send(message, fds):
                break
            self.sessions_handed_over += 1
            client, conn = session.client, session.host_connection
            handler.session_handed_over(session)
            release_connection(client)
            release_connection(conn)
        return not handler.sessions.by_index and not handler.budget.client_connections

    def hand_over_slots(self) -> dict[str, float]:
        handler = self.node.handler
        slots = handler.balancer.hand_over_slots(handler.clock())
        return {handler.hosts.uids[host]: saved for host, saved in slots.items()}

    def take_over_slots(self, slots: dict[str, float]) -> None:
        handler = self.node.handler
        known = {
            handler.hosts.index_by_uid[uid]: saved
            for uid, saved in slots.items()
            if uid in handler.hosts.index_by_uid
        }
        handler.balancer.take_over_slots(handler.clock(), known)

    def list_state(self) -> dict[str, Any]:
        discovery = self.node.discovery
        return {"rev": discovery.rev, "current_until": discovery.current_until}

    def incumbent_stopped(self, list_state: dict[str, Any]) -> None:
        self.node.discovery.other_process_stopped(list_state["rev"], list_state["current_until"])

    def open_descriptor_count(self) -> int:
        return open_descriptors()

    def finish(self) -> None:
        logger.info("upgrade reason=handed-on sessions={}", self.sessions_handed_over)
        self.node.exit()

    # ---- the successor

    def contact_incumbent(self) -> bool:
        """Contacts the serving process; False if there is none."""
        incumbent = connect_to_incumbent(self._addresses())
        if incumbent is not None:
            self.side = Successor(self.reactor, UpgradeLink(self.reactor, incumbent), self)
        return incumbent is not None

    def retry_busy_incumbent(self) -> None:
        self.busy_answers += 1
        if self.busy_answers > MAX_BUSY_RETRIES:
            self.fail("another process is taking over")
        else:
            self.reactor.callLater(BUSY_RETRY_S, lambda: self.contact_incumbent() or self.begin_alone())

    def import_state(self, rows: list, state: dict, fds: list[int]) -> None:
        node = self.node
        hosts = node.handler.hosts
        offset, starts = state["starts"]
        in_rows = {row["uid"]: row["start"] for row in rows if row.get("start") is not None}
        hosts.import_starts(offset, starts | in_rows)
        # A host that an operator included again is in slow start even if its start is not on the list yet.
        readmissions = {hosts.index_of(uid): at for uid, at in state.get("called_back", {}).items()}
        node.handler.balancer.readmitted.update(readmissions)
        node.load_hosts(rows, state)
        for row in rows:
            hosts.redirected_at[hosts.index_of(row["uid"])] = row["sent_away"]
        # Without learned capacities this process would take those of cold hosts for all, and starve them.
        capacities = dict(zip(state["uids"], state["memory"]["able"], strict=True))  # from an older version
        capacities |= {row["uid"]: row["able"] for row in rows if row.get("able") is not None}
        node.handler.restore_learned_state(state["memory"], capacities)
        node.handler.discovery_heard_at = state["told_at"]
        # An older version says neither where its list is from nor whether it is current.
        address = state.get("discovery", node.discovery.address)
        node.discovery.adopt_list(address, state["rev"], state.get("list_current_until"))
        node.listen(fds[0])
        node.discovery.start()
        # From here on the incumbent passes reloads on.
        node.reload_if_changed()

    def receive_session(self, message: dict, fds: list[int]) -> None:
        self.sessions_received += 1
        try:
            taken = adopt_session(self.node.handler, message, fds)
        except (RequestError, KeyError, TypeError, ValueError, AttributeError, OSError) as error:
            logger.error("upgrade reason=bad-session {!r}", error)
            taken = False
        else:
            if not taken:
                logger.info("upgrade reason=side-gone line={!r}", str(message.get("line"))[:40])
        if not taken and "id" in message:
            self.side.id_changed(IdChange(IdTable.OPEN, str(message["id"]), False))

    def incumbent_gone(self) -> None:
        # Fewer sessions than the incumbent has logged are connections that were cut off.
        logger.info("upgrade reason=incumbent-gone sessions={}", self.sessions_received)
        if self.side.began:
            # As it ended, the incumbent may have been signalled to reload without passing that on.
            self.node.reload_if_changed()

    def set_descriptors_elsewhere(self, descriptors: int) -> None:
        self.node.handler.budget.used_by_other_process = descriptors

    def begin(self) -> None:
        self.node.begin()

    def begin_alone(self) -> None:
        """Starts serving because the incumbent has gone or never answered."""
        node = self.node
        logger.warning("upgrade reason=alone")
        try:
            if node.port is None:
                node.open_alone()
            else:
                node.discovery.other_process_stopped(None, None)
        except (BansError, CannotListenError) as error:
            self.fail(str(error))
            return
        node.begin()

    def fail(self, reason: str) -> None:
        logger.error("upgrade reason=refused {}", reason)
        self.node.exit(1)
