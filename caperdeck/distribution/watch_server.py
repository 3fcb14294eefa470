"""The connections on which nodes watch a publisher, with one subscription each. Nothing waits for a node.

While a node does not read, nothing is read from it either, so answers to it do not accumulate; if more than a
limit is unsent, its connection is aborted.
"""

from __future__ import annotations

import resource
from collections.abc import Callable, Iterable
from typing import Any

from caperdeck.raft.codec import FrameError
from caperdeck.raft.transport import FrameConnection

from .messages import Busy, Closed, NodeMessage, PublisherMessage, Subscribe
from .publisher import BUSY_RETRY_MS, Publisher, Send
from .stream import MAX_NODE_FRAME_BYTES, MAX_PUBLISHER_FRAME_BYTES, encode, message_from_node

MAX_WATCHES = 2048
RESERVED_DESCRIPTORS = 256  # file descriptors of the process that are not for watches
MAX_REJECTED_CONNECTIONS = 64  # connections beyond the limit that are accepted and told to retry later
MAX_UNSENT_BYTES = MAX_PUBLISHER_FRAME_BYTES + (64 << 10)  # per node

SubscriptionKey = tuple[str, int]  # a node's name, and the number of its subscription


def max_watches() -> int:
    """As many as the limit of file descriptors allows."""
    return max(min(MAX_WATCHES, resource.getrlimit(resource.RLIMIT_NOFILE)[0] - RESERVED_DESCRIPTORS), 1)


class WatchSession:
    """One connection opened by a node. Registered as push producer of its own transport."""

    def __init__(self, server: WatchServer, connection: FrameConnection) -> None:
        self.server, self.connection = server, connection
        self.key: SubscriptionKey | None = None  # None until its Subscribe has arrived
        self.paused = self.closing = False
        self.unsent_bytes = 0  # written since the send buffer is full
        connection.MAX_LENGTH = MAX_NODE_FRAME_BYTES
        connection.transport.unregisterProducer()
        connection.transport.registerProducer(self, True)

    # ---- called by the connection

    def frame(self, name: Any, fields: Any, size: int) -> None:
        """Handles one frame. Raises FrameError."""
        message = message_from_node(name, fields, size)
        if self.closing:
            return
        if isinstance(message, Subscribe):
            self.server.subscribe(self, message)
        elif self.key is None:
            raise FrameError("no-subscription")
        elif self.key != (message.node, message.subscription):
            raise FrameError("other-subscription")
        else:
            self.server.acknowledge(message)

    def lost(self) -> None:
        self.server.lost(self)

    def pauseProducing(self) -> None:
        self.paused, self.unsent_bytes = True, 0
        self.connection.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self.paused = False
        self.connection.transport.resumeProducing()

    def stopProducing(self) -> None:
        self.connection.transport.unregisterProducer()

    # ---- called by the server

    def send(self, data: bytes) -> None:
        if self.closing:
            return
        self.unsent_bytes += len(data)
        if self.paused and self.unsent_bytes > MAX_UNSENT_BYTES:
            self.server.count_drop("not-read")
            self.abort()
        else:
            self.connection.transport.write(data)

    def close_after_writing(self) -> None:
        """Closes the connection after the pending writes; at once if the node does not read."""
        if self.paused:
            self.abort()
        else:
            self.closing = True
            self.connection.transport.loseConnection()

    def abort(self) -> None:
        self.closing = True
        self.connection.abort()


class WatchServer:
    """All watch connections of one publisher. `count_drop` counts rejected input by reason."""

    def __init__(
        self, publisher: Publisher, cluster: str, clock: Callable[[], float],
        count_drop: Callable[[str], None], limit: int,
    ) -> None:  # fmt: skip
        self.publisher, self.cluster, self.clock, self.count_drop, self.limit = (
            publisher, cluster, clock, count_drop, limit,
        )  # fmt: skip
        self.sessions: set[WatchSession] = set()
        self.by_key: dict[SubscriptionKey, WatchSession] = {}
        # One subscription per node, however many connections it opens.
        self.by_node: dict[str, WatchSession] = {}

    def accept(self, connection: FrameConnection) -> WatchSession:
        """Takes over a connection whose first frame is a watch frame. Raises FrameError."""
        if len(self.sessions) >= self.limit + MAX_REJECTED_CONNECTIONS:
            raise FrameError("too-many-watches")
        session = WatchSession(self, connection)
        self.sessions.add(session)
        return session

    def subscribe(self, session: WatchSession, message: Subscribe) -> None:
        """Raises FrameError."""
        key = message.node, message.number
        if session.key is not None:
            raise FrameError("second-subscription")
        if key in self.by_key:
            raise FrameError("old-subscription")
        if len(self.sessions) > self.limit:
            self.count_drop("too-many-watches")
            self.publisher.peak_load.turned_away += 1
            session.send(encode(Busy(message.number, BUSY_RETRY_MS), self.cluster))
            session.close_after_writing()
            return
        session.key, self.by_key[key] = key, session
        sends = self.publisher.receive(self.clock(), message)
        subscription = self.publisher.subscriptions.get(message.node)
        if subscription is not None and subscription.number == message.number:
            previous, self.by_node[message.node] = self.by_node.get(message.node), session
            if previous is not None:
                previous.abort()
        elif not sends:
            raise FrameError("old-subscription")
        self.send(sends)

    def acknowledge(self, message: NodeMessage) -> None:
        self.send(self.publisher.receive(self.clock(), message))

    def lost(self, session: WatchSession) -> None:
        self.sessions.discard(session)
        if session.key is None:
            return
        node, number = session.key
        del self.by_key[session.key]
        if self.by_node.get(node) is session:
            del self.by_node[node]
        self.send(self.publisher.connection_lost(self.clock(), node, number))

    def send(self, sends: Iterable[Send]) -> None:
        for node, message in sends:
            session = self.by_key.get((node, message.subscription))
            if session is not None:
                self._send(session, message)

    def _send(self, session: WatchSession, message: PublisherMessage) -> None:
        session.send(encode(message, self.cluster))
        if isinstance(message, Busy | Closed):
            session.close_after_writing()

    def statistics(self) -> dict[str, int]:
        load = self.publisher.peak_load
        return {
            "open": len(self.sessions), "most": self.limit, "connects_in_a_second": load.connects_in_a_second,
            "snapshots_at_once": load.snapshots_at_once, "turned_away": load.turned_away,
        }  # fmt: skip

    def close(self) -> None:
        for session in list(self.sessions):
            session.abort()
