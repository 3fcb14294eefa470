"""One node, two processes: what each says to the other at an upgrade, and when. No I/O of its own.

The one that serves is the incumbent, the one that was started beside it the successor. Each is given a link
(`send`, `offer`, `close`) and its node, and is told what comes.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

VERSION = 1
ROWS = 200  # hosts told in one packet
LIST_WAIT = 1.0  # seconds that the successor waits for discovery's first word
ANSWER_WAIT = 2.0  # and for the incumbent's
BAN_WAIT = 0.5  # and each for the other's word that a ban is in force
HAND_EVERY = 0.01  # seconds between turns in which connections are handed on
AT_ONCE = 24  # connections handed on in one turn

Message = dict[str, Any]


class NodeSide(Protocol):
    """What a node does at the word of its succession."""

    def hand_over_slots(self) -> dict[str, float]: ...
    def take_over_slots(self, slots: dict[str, float]) -> None: ...
    def reload(self) -> None: ...

    def identity(self) -> list[str]: ...
    def tell_state(self) -> tuple[list[Message], Message, list[int]]: ...
    def stop_taking(self) -> None: ...
    def take_again(self) -> None: ...
    def hand_on(self, most: int) -> bool: ...
    def held(self) -> int: ...
    def done(self) -> None: ...
    def take_state(self, rows: list, state: Message, fds: list[int]) -> None: ...
    def take_session(self, message: Message, fds: list[int]) -> None: ...
    def others_hold(self, descriptors: int) -> None: ...
    def begin(self) -> None: ...
    def begin_alone(self) -> None: ...
    def refused(self, reason: str) -> None: ...
    def ask_again(self) -> None: ...
    def banned(self, uid: str, out: bool) -> None: ...


class Side:
    """What both have in common: bans given to one are in force at the other before the yes."""

    def __init__(self, reactor: Any, link: Any, node: NodeSide) -> None:
        self.reactor, self.link, self.node = reactor, link, node
        self.open = True
        self.asked = 0
        self.waiting: dict[int, Callable[[], None]] = {}
        link.received, link.broke = self.received, self.broke

    def tell_ban(self, uid: str, out: bool, then: Callable[[], None]) -> None:
        """Calls then once the other side obeys, or has had the time to."""
        if not self.open:
            then()
            return
        self.asked += 1
        number = self.asked
        self.waiting[number] = then
        self.link.send({"say": "ban", "uid": uid, "out": out, "number": number})
        self.reactor.callLater(BAN_WAIT, self._told, number)

    def tell_reload(self) -> None:
        """This process was told to read its configuration again; the other one serves the same node."""
        if self.open:
            self.link.send({"say": "reload"})

    def _told(self, number: int) -> None:
        if (then := self.waiting.pop(number, None)) is not None:
            then()

    def received(self, message: Message, fds: list[int]) -> None:
        match message.get("say"):
            case "ban":
                self.node.banned(str(message["uid"]), bool(message["out"]))
                self.link.send({"say": "banned", "number": message["number"]})
            case "banned":
                self._told(message["number"])
            case "reload":
                self.told_to_reload()
            case say:
                self.heard(say, message, fds)

    def told_to_reload(self) -> None:
        self.node.reload()

    def heard(self, say: Any, message: Message, fds: list[int]) -> None:
        """A word of this side's own."""

    def broke(self) -> None:
        self.open = False
        for number in list(self.waiting):
            self._told(number)
        self.parted()

    def parted(self) -> None:
        """The other side has gone."""

    def end(self) -> None:
        """This process ends; what the link does from now on is nobody's business."""
        self.open = False
        self.link.broke = lambda: None


def parts_of(slots: dict[str, float]) -> list[dict[str, float]]:
    """The same in parts that fit into a packet each; one at the least."""
    items = list(slots.items())
    return [dict(items[at : at + ROWS]) for at in range(0, len(items), ROWS)] or [{}]


class Incumbent(Side):
    def __init__(self, reactor: Any, link: Any, node: NodeSide) -> None:
        super().__init__(reactor, link, node)
        self.given = False

    def heard(self, say: Any, message: Message, fds: list[int]) -> None:
        if say == "hello":
            ours = [VERSION, *self.node.identity()]
            if (theirs := message.get("who")) != ours:
                self.link.send({"say": "no", "reason": f"this is {ours}, not {theirs}"})
                return
            rows, state, fds = self.node.tell_state()
            for at in range(0, len(rows), ROWS):
                self.link.send({"say": "hosts", "rows": rows[at : at + ROWS]})
            self.link.send({"say": "state", **state}, fds)
        elif say == "take" and not self.given:
            self.given = True
            self.node.stop_taking()
            *parts, last = parts_of(self.node.hand_over_slots())
            for slots in parts:
                self.link.send({"say": "slots", "slots": slots})
            self.link.send({"say": "given", "held": self.node.held(), "slots": last})
            self._go_on()

    def _go_on(self) -> None:
        """Hands on what stands, in small turns, until nothing is left."""
        if not self.open:
            return
        if self.node.hand_on(AT_ONCE):
            self.node.done()
            return
        self.link.offer({"say": "held", "held": self.node.held()}, ())
        self.reactor.callLater(HAND_EVERY, self._go_on)

    def parted(self) -> None:
        # Danger: a successor that died would leave clients in a queue that nobody accepts from.
        if self.given:
            self.given = False
            self.node.take_again()


class Successor(Side):
    def __init__(self, reactor: Any, link: Any, node: NodeSide) -> None:
        super().__init__(reactor, link, node)
        self.rows: list = []
        self.knows = self.asked_for = self.began = False
        self.reloads_later = False  # it was told to, and does not know the node yet
        link.send({"say": "hello", "who": [VERSION, *node.identity()]})
        self.timer = reactor.callLater(ANSWER_WAIT, self._alone)

    def heard(self, say: Any, message: Message, fds: list[int]) -> None:
        if say == "no":
            self.timer.cancel()
            self.end()
            self.node.refused(str(message.get("reason")))
        elif say == "busy":
            self.timer.cancel()
            self.end()
            self.link.close()
            self.node.ask_again()
        elif say == "hosts":
            self.rows += message["rows"]
        elif say == "state":
            self.timer.cancel()
            self.knows = True
            self.node.take_state(self.rows, message, fds)
            if self.reloads_later:
                self.node.reload()
            self.timer = self.reactor.callLater(LIST_WAIT, self.take)
        elif say == "slots":
            self.node.take_over_slots(message["slots"])
        elif say == "given":
            # none from an older program
            self.node.take_over_slots(message.get("slots") or {})
            self._begin(message["held"])
        elif say == "session":
            self.node.take_session(message, fds)
        elif say == "held":
            self.node.others_hold(message["held"])

    def told_to_reload(self) -> None:
        if self.knows:
            self.node.reload()
        else:
            self.reloads_later = True

    def listed(self) -> None:
        """Discovery has spoken to this process."""
        if self.knows:
            self.take()

    def take(self) -> None:
        if not self.asked_for and not self.began:
            self.asked_for = True
            self.link.send({"say": "take"})

    def _begin(self, held: int) -> None:
        if not self.began:
            self.began = True
            self.node.others_hold(held)
            self.node.begin()

    def _alone(self) -> None:
        """The other side has not answered at all."""
        if not self.knows:
            self.link.close()

    def parted(self) -> None:
        self.node.others_hold(0)
        if self.timer.active():
            self.timer.cancel()
        if not self.began:
            self.began = True
            self.node.begin_alone()
