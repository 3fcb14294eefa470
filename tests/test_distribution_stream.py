"""Watch messages as frames, and a node's connection to a publisher over an in-memory transport."""

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
LARGEST_SUBSCRIBE = Subscribe(
    *('"' + "\U0001f600" * 63,) * 3, (1 << 53) - 1, (1 << 53) - 1, NONE, True,
    Refusal((1 << 53) - 1, "\\" * 200), True,
)  # fmt: skip


def framed(data):
    return LENGTH_PREFIX.pack(len(data)) + data


def watch_frame(row):
    return framed(encode_frame("t", "watch", row))


def test_messages_of_both_sides_round_trip():
    for message in (LARGEST_SUBSCRIBE, Acknowledge("n", 1, 2, 3, NONE, False)):
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
def test_an_invalid_message_from_a_node_is_rejected_with_its_reason(name, row, size, reason):
    with pytest.raises(FrameError, match=reason):
        message_from_node(name, row, size)


# ---- a node's connection


class RecordingListener:
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


def new_connection():
    reactor, listener = MemoryReactorClock(), RecordingListener()
    connection = WatchConnection(reactor, Address("127.0.0.1", 7), "t", listener)
    return connection, listener, reactor


def open_connection():
    connection, listener, _ = new_connection()
    transport = StringTransport()
    transport.setTcpNoDelay, transport.getHandle = lambda on: None, lambda: socket.socket()
    transport.abortConnection = transport.loseConnection
    connection.makeConnection(transport)
    assert listener.events == ["opened"]
    listener.events.clear()
    return connection, listener, transport


def test_messages_are_sent_only_while_the_connection_is_open():
    connection, _, _ = new_connection()
    assert not connection.send(Acknowledge("n", 1, 2, 3, NONE, False))
    connection, listener, transport = open_connection()
    assert connection.send(Acknowledge("n", 1, 2, 3, NONE, False)) and transport.value()
    connection.close()
    assert transport.disconnecting and not connection.send(Acknowledge("n", 1, 3, 3, NONE, False))
    connection.connectionLost(None)
    assert listener.events == []


def test_partial_messages_are_reported_to_the_listener():
    connection, listener, _ = open_connection()
    data = encode(HEARTBEAT, "t")
    connection.dataReceived(data[:9])
    connection.dataReceived(data[9:])
    assert listener.events == ["bytes", "bytes", HEARTBEAT]


def test_messages_after_a_close_in_the_same_read_are_not_delivered():
    connection, listener, _ = open_connection()
    listener.message_received = lambda connection, message: (
        listener.events.append(message),
        connection.close(),
    )
    connection.dataReceived(encode(HEARTBEAT, "t") * 2)
    assert listener.events == ["bytes", HEARTBEAT]


@pytest.mark.parametrize("data, reason", [
    (framed(b"{"), "no-json"), (encode(HEARTBEAT, "other"), "other-cluster"),
    (framed(orjson.dumps([2, "t", "watch", {}])), "other-version"), (watch_frame([]), "bad-message"),
    (framed(encode_frame("t", "reply", [1, 1])), "unknown-kind"),
    (encode(Acknowledge("n", 1, 2, 3, NONE, False), "t"), "wrong-direction"),
    (struct.pack("!I", MAX_PUBLISHER_FRAME_BYTES + 1), "too-long"),
])  # fmt: skip
def test_an_invalid_frame_ends_the_connection_with_its_reason(data, reason):
    connection, listener, transport = open_connection()
    connection.dataReceived(data + encode(HEARTBEAT, "t"))
    connection.connectionLost(None)
    assert listener.events == ["bytes", reason] and transport.disconnecting


def test_a_publisher_that_does_not_read_is_disconnected():
    connection, listener, transport = open_connection()
    connection.pauseProducing()
    assert listener.events == ["unsent"] and transport.disconnecting


def test_the_end_of_a_connection_is_reported_once():
    connection, listener, _ = open_connection()
    connection.connectionLost(None)
    connection.connectionLost(None)
    assert listener.events == ["ended"]
    connection, listener, _ = new_connection()
    connection.failed()
    connection.close()
    assert listener.events == ["not-connected"]
