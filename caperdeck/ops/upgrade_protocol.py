"""The protocol between two processes of one node at an upgrade: which messages are sent, and when. No I/O.

The *incumbent* is the process that serves, the *successor* the one that was started beside it. Each side is
given a link (`send`, `try_send`, `close`) and its node, and is called with the messages that arrive.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from caperdeck.state.request_ids import IdChange

from .id_messages import UnsentIdChanges, decode_ids, id_packets
from .packets import portions

PROTOCOL_VERSION = 1
MAX_ROWS_PER_PACKET = 200  # hosts
ROSTER_TIMEOUT_S = 1.0  # the successor takes over without discovery's first answer after this
ANSWER_TIMEOUT_S = 2.0  # for the incumbent's answer to the successor
BAN_TIMEOUT_S = 0.5  # for the other side's confirmation of a ban
HANDOVER_INTERVAL_S = 0.01  # between two batches of connections
CONNECTIONS_PER_BATCH = 24

Message = dict[str, Any]


class UpgradeNode(Protocol):
    """What the protocol asks of its node; implemented by `Upgrade`."""

    def hand_over_slots(self) -> dict[str, float]: ...
    def take_over_slots(self, slots: dict[str, float]) -> None: ...
    def list_state(self) -> Message: ...
    def incumbent_stopped(self, list_state: Message) -> None: ...
    def known_ids(self) -> list[IdChange]: ...
    def apply_id_changes(self, changes: list[IdChange]) -> None: ...
    def forget_other_ids(self) -> None: ...
    def reload(self) -> None: ...

    def identity(self) -> list[str]: ...
    def export_state(self) -> tuple[list[Message], Message, list[int]]: ...
    def stop_accepting(self) -> None: ...
    def resume_accepting(self) -> None: ...
    def hand_over_connections(self, limit: int) -> bool: ...
    def open_descriptor_count(self) -> int: ...
    def finish(self) -> None: ...
    def import_state(self, rows: list, state: Message, fds: list[int]) -> None: ...
    def receive_session(self, message: Message, fds: list[int]) -> None: ...
    def incumbent_gone(self) -> None: ...
    def set_descriptors_elsewhere(self, descriptors: int) -> None: ...
    def begin(self) -> None: ...
    def begin_alone(self) -> None: ...
    def fail(self, reason: str) -> None: ...
    def retry_busy_incumbent(self) -> None: ...
    def apply_ban(self, uid: str, excluded: bool) -> None: ...


class UpgradeSide:
    """What both sides share: a ban given to one is applied at the other before it is acknowledged, and each
    knows which ids of requests the other has open or has sent.
    """

    def __init__(self, reactor: Any, link: Any, node: UpgradeNode) -> None:
        self.reactor, self.link, self.node = reactor, link, node
        self.open = True
        self.shares_ids = False  # the other process may take requests, or this one beside it
        self.unsent_ids = UnsentIdChanges()
        self.ids_timer: Any = None  # until they are tried again
        self.last_ban_number = 0
        self.pending_bans: dict[int, Callable[[], None]] = {}
        link.on_message, link.on_closed = self.handle_message, self.handle_closed

    def send_ban(self, uid: str, excluded: bool, on_done: Callable[[], None]) -> None:
        """Calls `on_done` once the other side has applied the ban, or has had the time to."""
        if not self.open:
            on_done()
            return
        self.last_ban_number += 1
        number = self.last_ban_number
        self.pending_bans[number] = on_done
        self.link.send({"say": "ban", "uid": uid, "out": excluded, "number": number})
        self.reactor.callLater(BAN_TIMEOUT_S, self._ban_done, number)

    def send_reload(self) -> None:
        """This process is to read its configuration again, and so is the other one, as it serves the same
        node.
        """
        if self.open:
            self.link.send({"say": "reload"})

    def id_changed(self, change: IdChange) -> None:
        """This process has recorded something of an id."""
        if self.open and self.shares_ids:
            self.unsent_ids.add(change)
            self._send_ids()

    def _send_ids(self) -> None:
        waiting = self.ids_timer is not None and self.ids_timer.active()
        if self.open and not waiting and not self._try_to_send_ids():
            self.ids_timer = self.reactor.callLater(HANDOVER_INTERVAL_S, self._send_ids)

    def _try_to_send_ids(self) -> bool:
        return self.unsent_ids.send(lambda ids: self.link.try_send(ids, ()))

    def _ban_done(self, number: int) -> None:
        if (on_done := self.pending_bans.pop(number, None)) is not None:
            on_done()

    def handle_message(self, message: Message, fds: list[int]) -> None:
        match message.get("say"):
            case "ban":
                self.node.apply_ban(str(message["uid"]), bool(message["out"]))
                self.link.send({"say": "banned", "number": message["number"]})
            case "banned":
                self._ban_done(message["number"])
            case "ids":
                self.node.apply_id_changes(decode_ids(message))
            case "reload":
                self.handle_reload()
            case kind:
                self.handle_other(kind, message, fds)

    def handle_reload(self) -> None:
        self.node.reload()

    def handle_other(self, kind: Any, message: Message, fds: list[int]) -> None:
        """Handles a message that only this side gets."""

    def handle_closed(self) -> None:
        self.open = False
        for number in list(self.pending_bans):
            self._ban_done(number)
        self.node.forget_other_ids()
        self.handle_other_side_gone()

    def handle_other_side_gone(self) -> None:
        """The link has ended."""

    def detach(self) -> None:
        """This process ends: the end of the link is no longer acted on."""
        if self.open:
            self._try_to_send_ids()
        self.open = False
        self.link.on_closed = lambda: None


def slot_portions(slots: dict[str, float]) -> list[dict[str, float]]:
    """The slots in portions that each fit into a packet; at least one portion."""
    return [dict(portion) for portion in portions(list(slots.items()), MAX_ROWS_PER_PACKET)] or [{}]


class Incumbent(UpgradeSide):
    """The serving process: sends its state, then the port, then its connections."""

    def __init__(self, reactor: Any, link: Any, node: UpgradeNode) -> None:
        super().__init__(reactor, link, node)
        self.port_given = False

    def handle_other(self, kind: Any, message: Message, fds: list[int]) -> None:
        if kind == "hello":
            self._send_state(message.get("who"))
        elif kind == "take" and not self.port_given:
            self.port_given = True
            self._give_port()

    def _send_state(self, theirs: Any) -> None:
        ours = [PROTOCOL_VERSION, *self.node.identity()]
        if theirs != ours:
            self.link.send({"say": "no", "reason": f"this is {ours}, not {theirs}"})
            return
        rows, state, fds = self.node.export_state()
        for portion in portions(rows, MAX_ROWS_PER_PACKET):
            self.link.send({"say": "hosts", "rows": portion})
        self.link.send({"say": "state", **state}, fds)

    def _give_port(self) -> None:
        self.node.stop_accepting()
        # The other process has to know them before its first client.
        self.shares_ids = True
        for ids in id_packets(self.node.known_ids()):
            self.link.send(ids)
        *packets, last = slot_portions(self.node.hand_over_slots())
        for slots in packets:
            self.link.send({"say": "slots", "slots": slots})
        held, hosts = self.node.open_descriptor_count(), self.node.list_state()
        self.link.send({"say": "given", "held": held, "slots": last, "list": hosts})
        self._hand_over_next_batch()

    def _hand_over_next_batch(self) -> None:
        """Hands over the connections in small batches until none is left."""
        if not self.open:
            return
        # A session, or the end of this process, must not overtake what has been sent under an id.
        if not self.unsent_ids and self.node.hand_over_connections(CONNECTIONS_PER_BATCH):
            self.node.finish()
            return
        self.link.try_send({"say": "held", "held": self.node.open_descriptor_count()}, ())
        self.reactor.callLater(HANDOVER_INTERVAL_S, self._hand_over_next_batch)

    def handle_other_side_gone(self) -> None:
        # A successor that died would leave clients in the port's queue, from which nobody accepts.
        if self.port_given:
            self.port_given = False
            self.node.resume_accepting()


class Successor(UpgradeSide):
    """The new process: gets the state, waits for discovery, then takes the port and the connections."""

    def __init__(self, reactor: Any, link: Any, node: UpgradeNode) -> None:
        super().__init__(reactor, link, node)
        self.rows: list = []
        self.has_state = self.take_sent = self.began = False
        self.reload_pending = False  # a reload came before the state
        link.send({"say": "hello", "who": [PROTOCOL_VERSION, *node.identity()]})
        self.timer = reactor.callLater(ANSWER_TIMEOUT_S, self._answer_timed_out)

    def handle_other(self, kind: Any, message: Message, fds: list[int]) -> None:
        if kind == "no":
            self.timer.cancel()
            self.detach()
            self.node.fail(str(message.get("reason")))
        elif kind == "busy":
            self.timer.cancel()
            self.detach()
            self.link.close()
            self.node.retry_busy_incumbent()
        elif kind == "hosts":
            self.rows += message["rows"]
        elif kind == "state":
            self.timer.cancel()
            self.has_state = True
            self.node.import_state(self.rows, message, fds)
            if self.reload_pending:
                self.node.reload()
            self.timer = self.reactor.callLater(ROSTER_TIMEOUT_S, self.take)
        elif kind == "slots":
            self.node.take_over_slots(message["slots"])
        elif kind == "given":
            # An older version sends neither slots nor the list's state.
            self.node.take_over_slots(message.get("slots") or {})
            if (list_state := message.get("list")) is not None:
                self.node.incumbent_stopped(list_state)
            self._begin(message["held"])
        elif kind == "session":
            self.node.receive_session(message, fds)
        elif kind == "held":
            self.node.set_descriptors_elsewhere(message["held"])

    def handle_reload(self) -> None:
        if self.has_state:
            self.node.reload()
        else:
            self.reload_pending = True

    def discovery_answered(self) -> None:
        """Discovery has sent something to this process."""
        if self.has_state:
            self.take()

    def take(self) -> None:
        """Asks for the port."""
        if not self.take_sent and not self.began:
            self.take_sent = True
            self.link.send({"say": "take"})

    def _begin(self, descriptors: int) -> None:
        if not self.began:
            self.began = self.shares_ids = True
            self.node.set_descriptors_elsewhere(descriptors)
            self.node.begin()

    def _answer_timed_out(self) -> None:
        if not self.has_state:
            self.link.close()

    def handle_other_side_gone(self) -> None:
        self.node.incumbent_gone()
        self.node.set_descriptors_elsewhere(0)
        if self.timer.active():
            self.timer.cancel()
        if not self.began:
            self.began = True
            self.node.begin_alone()
