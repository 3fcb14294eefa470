"""Messages of a watch as frames, and a node's connection to a publisher over a transport in memory."""

import socket
import struct

import orjson
import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from caperdeck.distribution.connection import WatchConnection
from caperdeck.distribution.document import MAX_DOCUMENT_BYTES, canonical, digest
from caperdeck.distribution.messages import Acknowledge, Heartbeat, Refusal, Snapshot, Subscribe
from caperdeck.distribution.stream import (
    LENGTH_PREFIX, MAX_NODE_FRAME_BYTES, MAX_PUBLISHER_FRAME_BYTES, decode_from_publisher, encode,
    message_from_node,
)  # fmt: skip
from caperdeck.raft.codec import FrameError, decode_frame, encode_frame
from caperdeck.state.addresses import Address

NONE = digest({})
HEARTBEAT = Heartbeat(1, 2, 3, NONE, 40.0)
LONGEST_WORDS = Subscribe(
    *('"' + "\U0001f600" * 63,) * 3, (1 << 53) - 1, (1 << 53) - 1, NONE, True,
    Refusal((1 << 53) - 1, "\\" * 200), True,
)  # fmt: skip


def framed(data):
    return LENGTH_PREFIX.pack(len(data)) + data


def watch_frame(row):
    return framed(encode_frame("t", "watch", row))


def test_a_message_of_each_side_comes_back_whole():
    for message in (LONGEST_WORDS, Acknowledge("n", 1, 2, 3, NONE, False)):
        data = encode(message, "c" * 64)[LENGTH_PREFIX.size :]
        assert len(data) < MAX_NODE_FRAME_BYTES
        assert message_from_node(*decode_frame(data, "c" * 64), len(data)) == message
    data = encode(HEARTBEAT, "t")
    assert LENGTH_PREFIX.unpack(data[:4])[0] == len(data) - 4
    assert decode_from_publisher(data[4:], "t") == HEARTBEAT


def test_the_largest_document_fits_into_one_frame():
    document = {"a": "x" * (MAX_DOCUMENT_BYTES - len(canonical({"a": ""})))}
    snapshot = Snapshot(1, 1, digest(document), document)
    data = encode(snapshot, "c" * 64)[LENGTH_PREFIX.size :]
    assert MAX_DOCUMENT_BYTES < len(data) <= MAX_PUBLISHER_FRAME_BYTES
    assert decode_from_publisher(data, "c" * 64) == snapshot


@pytest.mark.parametrize("name, row, size, reason", [
    ("call", {}, 10, "unknown-kind"), ("watch", [], 10, "bad-message"),
    ("watch", {"kind": "sing"}, 10, "bad-message"),
    ("watch", {"kind": "closed", "subscription": 1, "reason": ""}, 10, "wrong-direction"),
    ("watch", {}, MAX_NODE_FRAME_BYTES + 1, "too-long"),
])  # fmt: skip
def test_what_is_no_message_of_a_node_names_the_reason(name, row, size, reason):
    with pytest.raises(FrameError, match=reason):
        message_from_node(name, row, size)


# ---- a node's connection


class User:
    def __init__(self):
        self.events = []

    def opened(self, connection):
        self.events.append("opened")

    def data_received(self, connection):
        self.events.append("bytes")

    def message_received(self, connection, message):
        self.events.append(message)

    def lost(self, connection, reason):
        self.events.append(reason)


def connection():
    reactor, user = MemoryReactorClock(), User()
    made = WatchConnection(reactor, Address("127.0.0.1", 7), "t", user)
    return made, user, reactor


def opened():
    made, user, _ = connection()
    wire = StringTransport()
    wire.setTcpNoDelay, wire.getHandle = lambda on: None, lambda: socket.socket()
    wire.abortConnection = wire.loseConnection
    made.makeConnection(wire)
    assert user.events == ["opened"]
    user.events.clear()
    return made, user, wire


def test_words_go_out_once_it_is_up_and_not_after_its_end():
    made, _, _ = connection()
    assert not made.send(Acknowledge("n", 1, 2, 3, NONE, False))
    made, user, wire = opened()
    assert made.send(Acknowledge("n", 1, 2, 3, NONE, False)) and wire.value()
    made.close()
    assert wire.disconnecting and not made.send(Acknowledge("n", 1, 3, 3, NONE, False))
    made.connectionLost(None)
    assert user.events == []


def test_bytes_of_a_part_of_a_message_are_told_of():
    made, user, _ = opened()
    data = encode(HEARTBEAT, "t")
    made.dataReceived(data[:9])
    made.dataReceived(data[9:])
    assert user.events == ["bytes", "bytes", HEARTBEAT]


def test_after_it_was_closed_nothing_more_of_the_same_bytes_is_handed_on():
    made, user, _ = opened()
    user.message_received = lambda connection, message: (user.events.append(message), connection.close())
    made.dataReceived(encode(HEARTBEAT, "t") * 2)
    assert user.events == ["bytes", HEARTBEAT]


@pytest.mark.parametrize("data, reason", [
    (framed(b"{"), "no-json"), (encode(HEARTBEAT, "other"), "other-cluster"),
    (framed(orjson.dumps([2, "t", "watch", {}])), "other-version"), (watch_frame([]), "bad-message"),
    (framed(encode_frame("t", "reply", [1, 1])), "unknown-kind"),
    (encode(Acknowledge("n", 1, 2, 3, NONE, False), "t"), "wrong-direction"),
    (struct.pack("!I", MAX_PUBLISHER_FRAME_BYTES + 1), "too-long"),
])  # fmt: skip
def test_what_cannot_be_taken_ends_the_connection_with_its_reason(data, reason):
    made, user, wire = opened()
    made.dataReceived(data + encode(HEARTBEAT, "t"))
    made.connectionLost(None)
    assert user.events == ["bytes", reason] and wire.disconnecting


def test_a_publisher_that_does_not_read_is_left():
    made, user, wire = opened()
    made.pauseProducing()
    assert user.events == ["unsent"] and wire.disconnecting


def test_an_end_is_told_of_once():
    made, user, _ = opened()
    made.connectionLost(None)
    made.connectionLost(None)
    assert user.events == ["ended"]
    made, user, _ = connection()
    made.failed()
    made.close()
    assert user.events == ["not-connected"]
