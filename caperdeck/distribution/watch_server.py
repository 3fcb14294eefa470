"""The connections on which nodes watch a publisher: one subscription each. Nobody is waited for.

A node that does not read is not read from either, so that answers do not pile up; past a bound on what waits
for it, its connection is aborted.
"""

from __future__ import annotations

import resource
from collections.abc import Callable, Iterable
from typing import Any

from caperdeck.raft.codec import FrameError
from caperdeck.raft.transport import FrameConnection

from .messages import Busy, Closed, FromNode, FromPublisher, Subscribe
from .publisher import BUSY_WAIT, Publisher, Send
from .stream import LONGEST_FROM_NODE, LONGEST_FROM_PUBLISHER, encode, message_from_node

MOST_WATCHES = 2048
OTHER_FILES = 256  # descriptors of the process that are no watch
TURNED_AWAY = 64  # connections beyond, that are told to come later
MOST_UNSENT = LONGEST_FROM_PUBLISHER + (64 << 10)  # bytes that wait for one node

Key = tuple[str, int]  # a node, and the number of its subscription


def most_watches() -> int:
    """As many as there are descriptors for."""
    return max(min(MOST_WATCHES, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - OTHER_FILES), 1)


class Watch:
    """One connection that a node opened; a push producer of its transport."""

    def __init__(self, watches: Watches, connection: FrameConnection) -> None:
        self.watches, self.connection = watches, connection
        self.key: Key | None = None  # until its Subscribe has come
        self.full = self.ending = False
        self.unsent = 0  # bytes written since it is full
        connection.MAX_LENGTH = LONGEST_FROM_NODE
        connection.transport.unregisterProducer()
        connection.transport.registerProducer(self, True)

    # ---- of the connection

    def frame(self, name: Any, fields: Any, size: int) -> None:
        """Raises FrameError."""
        message = message_from_node(name, fields, size)
        if self.ending:
            return
        if isinstance(message, Subscribe):
            self.watches.subscribe(self, message)
        elif self.key is None:
            raise FrameError("no-subscription")
        elif self.key != (message.node, message.subscription):
            raise FrameError("other-subscription")
        else:
            self.watches.acknowledge(message)

    def lost(self) -> None:
        self.watches.lost(self)

    def pauseProducing(self) -> None:
        self.full, self.unsent = True, 0
        self.connection.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self.full = False
        self.connection.transport.resumeProducing()

    def stopProducing(self) -> None:
        self.connection.transport.unregisterProducer()

    # ---- of the publisher

    def put(self, data: bytes) -> None:
        if self.ending:
            return
        self.unsent += len(data)
        if self.full and self.unsent > MOST_UNSENT:
            self.watches.drop("not-read")
            self.abort()
        else:
            self.connection.transport.write(data)

    def finish(self) -> None:
        """Ends it once all is written; at once where the node does not read."""
        if self.full:
            self.abort()
        else:
            self.ending = True
            self.connection.transport.loseConnection()

    def abort(self) -> None:
        self.ending = True
        self.connection.abort()


class Watches:
    """All of them. `drop` counts, by reason, what was not taken."""

    def __init__(
        self, publisher: Publisher, cluster: str, clock: Callable[[], float], drop: Callable[[str], None],
        most: int,
    ) -> None:  # fmt: skip
        self.publisher, self.cluster, self.clock, self.drop, self.most = publisher, cluster, clock, drop, most
        self.open: set[Watch] = set()
        self.subscribed: dict[Key, Watch] = {}
        self.newest: dict[str, Watch] = {}  # by node: a node has one subscription, whatever it has opened

    def take(self, connection: FrameConnection) -> Watch:
        """A connection's first frame is of a watch; raises FrameError."""
        if len(self.open) >= self.most + TURNED_AWAY:
            raise FrameError("too-many-watches")
        watch = Watch(self, connection)
        self.open.add(watch)
        return watch

    def subscribe(self, watch: Watch, message: Subscribe) -> None:
        """Raises FrameError."""
        key = message.node, message.number
        if watch.key is not None:
            raise FrameError("second-subscription")
        if key in self.subscribed:
            raise FrameError("old-subscription")
        if len(self.open) > self.most:
            self.drop("too-many-watches")
            self.publisher.load.turned_away += 1
            watch.put(encode(Busy(message.number, BUSY_WAIT), self.cluster))
            watch.finish()
            return
        watch.key, self.subscribed[key] = key, watch
        sends = self.publisher.receive(self.clock(), message)
        subscription = self.publisher.subscriptions.get(message.node)
        if subscription is not None and subscription.number == message.number:
            before, self.newest[message.node] = self.newest.get(message.node), watch
            if before is not None:
                before.abort()
        elif not sends:
            raise FrameError("old-subscription")
        self.send(sends)

    def acknowledge(self, message: FromNode) -> None:
        self.send(self.publisher.receive(self.clock(), message))

    def lost(self, watch: Watch) -> None:
        self.open.discard(watch)
        if watch.key is None:
            return
        node, number = watch.key
        del self.subscribed[watch.key]
        if self.newest.get(node) is watch:
            del self.newest[node]
        self.send(self.publisher.gone(self.clock(), node, number))

    def send(self, sends: Iterable[Send]) -> None:
        for node, message in sends:
            watch = self.subscribed.get((node, message.subscription))
            if watch is not None:
                self._send(watch, message)

    def _send(self, watch: Watch, message: FromPublisher) -> None:
        watch.put(encode(message, self.cluster))
        if isinstance(message, Busy | Closed):
            watch.finish()

    def figures(self) -> dict[str, int]:
        load = self.publisher.load
        return {
            "open": len(self.open), "most": self.most, "connects_in_a_second": load.connects_in_a_second,
            "snapshots_at_once": load.snapshots_at_once, "turned_away": load.turned_away,
        }  # fmt: skip

    def close(self) -> None:
        for watch in list(self.open):
            watch.abort()
