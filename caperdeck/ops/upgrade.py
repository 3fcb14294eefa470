"""This process's part in an upgrade: the successor of one that serves, later the incumbent of the next.

What is said and when stands in upgrade_protocol.py; here is what a node does at each word of it.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from itertools import islice
from typing import Any, Protocol

from loguru import logger
from twisted.internet.error import CannotListenError

from caperdeck.state.budget import open_descriptors
from caperdeck.state.timers import cancel
from caperdeck.wire.request import RequestError

from .bans import BanChange, BansError
from .handover import let_go, may_go, packet, take_up
from .link import Doorbell, FolderAddress, Link, NodeAddress, UnixAddress, reach
from .upgrade_protocol import Incumbent, Successor

State = dict[str, Any]  # what an incumbent tells its successor of itself

ASK_EVERY = 0.25  # seconds until a successor asks again that found its incumbent busy
MOST_ASKED = 24
RING_AGAIN = 0.25  # seconds until an address that could not be had is tried again


class Node(Protocol):
    """The node of this process."""

    config: Any
    desk: Any
    discovery: Any
    bans: Any
    ban_calls: Any
    port: Any
    takes: bool

    def know(self, rows: list, bans: State | None = None) -> None: ...
    def know_saved(self) -> None: ...
    def listen(self, fd: int = -1) -> None: ...
    def begin(self) -> None: ...
    def take_clients(self) -> None: ...
    def stop_taking(self) -> None: ...
    def reload(self) -> None: ...
    def exit(self, code: int = 0) -> None: ...


class Upgrade:
    def __init__(self, reactor: Any, node: Node) -> None:
        self.reactor = reactor
        self.node = node
        self.side: Incumbent | Successor | None = None
        self.doorbells: dict[UnixAddress, Doorbell] = {}
        self.ringing_again: Any = None  # the timer after which the addresses that failed are tried again
        self.asked = 0  # so often one that was busy
        self.addresses: list[UnixAddress] = []  # where this process is to be found
        self.complained: set[UnixAddress] = set()  # of those that could not be had

    @property
    def under_way(self) -> bool:
        return self.side is not None and self.side.open

    @property
    def waits(self) -> bool:
        """A successor that has not begun; an incumbent that has given its port hands on what it has."""
        return isinstance(self.side, Successor) and not self.side.began

    def tell_ban(self, uid: str, out: bool, then: Callable[[], None]) -> None:
        if self.side is None:
            then()
        else:
            self.side.tell_ban(uid, out, then)

    def tell_reload(self) -> None:
        if self.side is not None:
            self.side.tell_reload()

    def reload(self) -> None:
        """The other process was told to."""
        self.node.reload()

    def listed(self) -> None:
        """Discovery has spoken to this process."""
        if isinstance(self.side, Successor):
            self.side.listed()

    def end(self) -> None:
        if self.side is not None:
            self.side.end()

    def identity(self) -> list[str]:
        return [self.node.config.name, "{}:{}".format(*self.node.config.listen)]

    def banned(self, uid: str, out: bool) -> None:
        """The other process was told so, and has kept it."""
        self.node.ban_calls.apply_notified(BanChange(uid, out))

    # ---- the incumbent

    def _addresses(self) -> list[UnixAddress]:
        """Where a successor looks, in its order; none without a second address, and so without upgrades."""
        config = self.node.config
        if config.admin is None:
            return []
        # one of the two is there whatever the disk lacks, and an older program knows the folder alone
        in_folder = [FolderAddress(config.scratch)] if config.scratch is not None else []
        return [NodeAddress(self.identity()), *in_folder]

    def ring(self) -> None:
        """Lets a successor find this process, at every address that can be had; the others follow."""
        if not self.addresses:
            self.addresses = self._addresses()
        missing = [address for address in self.addresses if address not in self.doorbells]
        for address in missing:
            try:
                self.doorbells[address] = Doorbell(self.reactor, address, self.rung)
            except OSError as error:
                if address not in self.complained:
                    self.complained.add(address)
                    logger.warning("upgrade reason=no-doorbell at={} {}", type(address).__name__, error)
        if len(self.doorbells) < len(self.addresses):
            self.ringing_again = self.reactor.callLater(RING_AGAIN, self.ring)

    def rung(self, sock: socket.socket) -> None:
        link = Link(self.reactor, sock)
        if self.under_way:
            # the upgrade before may still hand on, or another one be under way
            link.send({"say": "busy"})
            self.reactor.callLater(1.0, link.close)
            return
        self.side = Incumbent(self.reactor, link, self)

    def shut(self) -> None:
        """No successor finds this process any more."""
        cancel(self.ringing_again)
        for doorbell in self.doorbells.values():
            doorbell.close()
        self.doorbells.clear()

    def tell_state(self) -> tuple[list[dict], dict, list[int]]:
        node = self.node
        memory = node.desk.balancer.memory()
        # Danger: what is told of each host of a large fleet is over a packet; it goes with the host's row.
        able, rows = memory.pop("able"), node.desk.hosts.rows()
        for row in rows:
            h = node.desk.hosts.index[row["uid"]]
            row["able"] = able[h] if h < len(able) else 0.0
        called_back = node.desk.balancer.called_back
        state = {
            "rev": node.discovery.rev,
            "bans": list(node.bans.uids),
            "unsaved_bans": node.bans.unsaved,
            "called_back": {node.desk.hosts.uid[h]: at for h, at in called_back.items()},
            "told_at": node.desk.told_at,
            "memory": memory | {"able": []},  # which an older program takes with the names beside it
            "uids": [],
            "starts": (node.desk.hosts.start_times.ahead, {}),
        }
        return rows, state, [node.port.fileno()]

    def stop_taking(self) -> None:
        logger.info("upgrade reason=given sessions={}", len(self.node.desk.sessions.table))
        self.node.stop_taking()
        self.shut()

    def take_again(self) -> None:
        node = self.node
        logger.error("upgrade reason=successor-lost sessions={}", len(node.desk.sessions.table))
        node.desk.balancer.take_slots_back()
        node.take_clients()
        node.join()
        self.ring()

    def hand_on(self, most: int) -> bool:
        """Hands some of what stands on; True once nothing is left here."""
        desk = self.node.desk
        for s in islice(filter(may_go, desk.sessions.standing()), most):
            message, fds = packet(desk, s)
            if not self.side.link.offer(message, fds):
                break
            client, conn = s.client, s.conn
            desk.handed_on(s)
            let_go(client)
            let_go(conn)
        return not desk.sessions.table and not desk.budget.clients

    def hand_over_slots(self) -> dict[str, float]:
        desk = self.node.desk
        slots = desk.balancer.hand_over_slots(desk.clock())
        return {desk.hosts.uid[h]: saved for h, saved in slots.items()}

    def take_over_slots(self, slots: dict[str, float]) -> None:
        desk = self.node.desk
        known = {desk.hosts.index[uid]: saved for uid, saved in slots.items() if uid in desk.hosts.index}
        desk.balancer.take_over_slots(desk.clock(), known)

    def held(self) -> int:
        return open_descriptors()

    def done(self) -> None:
        logger.info("upgrade reason=handed-on")
        self.node.exit()

    # ---- the successor

    def succeed(self) -> bool:
        """Asks the process that serves, if there is one."""
        before = reach(self._addresses())
        if before is not None:
            self.side = Successor(self.reactor, Link(self.reactor, before), self)
        return before is not None

    def ask_again(self) -> None:
        self.asked += 1
        if self.asked > MOST_ASKED:
            self.refused("another process is taking over")
        else:
            self.reactor.callLater(ASK_EVERY, lambda: self.succeed() or self.begin_alone())

    def take_state(self, rows: list, state: dict, fds: list[int]) -> None:
        node = self.node
        hosts = node.desk.hosts
        ahead, starts = state["starts"]
        in_rows = {row["uid"]: row["start"] for row in rows if row.get("start") is not None}
        hosts.take_starts(ahead, starts | in_rows)
        # Danger: a host that was called back counts as cold though discovery may not have told its start yet.
        called_back = {hosts.know(uid): at for uid, at in state.get("called_back", {}).items()}
        node.desk.balancer.called_back.update(called_back)
        node.know(rows, state)
        for row in rows:
            hosts.sent_away[hosts.know(row["uid"])] = row["sent_away"]
        # Danger: a process that knows no host's measure yet takes the cold ones' for all, and starves them.
        able = dict(zip(state["uids"], state["memory"]["able"], strict=True))  # of an older program
        able |= {row["uid"]: row["able"] for row in rows if row.get("able") is not None}
        node.desk.remember(state["memory"], able)
        node.desk.told_at, node.discovery.rev = state["told_at"], state["rev"]
        node.listen(fds[0])
        node.discovery.start()

    def take_session(self, message: dict, fds: list[int]) -> None:
        try:
            taken = take_up(self.node.desk, message, fds)
        except (RequestError, KeyError, TypeError, ValueError, OSError) as error:
            logger.error("upgrade reason=bad-session {!r}", error)
            return
        if not taken:
            logger.info("upgrade reason=side-gone line={!r}", message["line"][:40])

    def others_hold(self, descriptors: int) -> None:
        self.node.desk.budget.elsewhere = descriptors

    def begin(self) -> None:
        self.node.begin()

    def begin_alone(self) -> None:
        """The process before has gone, or never answered."""
        node = self.node
        logger.warning("upgrade reason=alone")
        try:
            if node.port is None:
                node.know_saved()
                node.discovery.start()
                node.desk.wait_for_list()
                node.listen()
        except (BansError, CannotListenError) as error:
            self.refused(str(error))
            return
        node.begin()

    def refused(self, reason: str) -> None:
        logger.error("upgrade reason=refused {}", reason)
        self.node.exit(1)
