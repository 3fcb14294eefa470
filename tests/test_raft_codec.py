"""The wire format between instances: messages round-trip, and invalid frames are rejected with a reason."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from caperdeck.raft import codec
from caperdeck.raft.codec import FrameError, decode, encode
from caperdeck.raft.core import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    VoteRequest,
    InstallSnapshotRequest,
    InstallSnapshotResponse,
    TimeoutNow,
    VoteResponse,
)
from caperdeck.raft.log import Entry, Kind, Members

ENTRY = Entry(2, Kind.COMMAND, b"\x00x", 7, 8)
MESSAGES = [
    VoteRequest(3, 1, 9, 2, True), VoteRequest(3, 1, 9, 2, False, True), VoteResponse(3, 1, True, False),
    AppendEntriesRequest(3, 1, 8, 2, (ENTRY, Entry(3, Kind.NO_OP)), 7, 40),
    AppendEntriesResponse(3, 1, False, 8, 2, 40),
    InstallSnapshotRequest(3, 1, 8, 2, Members((0, 1), (2,)), 0, b"abc", True, 4),
    InstallSnapshotResponse(3, 1, 8, -1, 4), TimeoutNow(3, 1),
]  # fmt: skip


@pytest.mark.parametrize("message", MESSAGES)
def test_every_message_round_trips(message):
    assert decode(encode(message, "c"), "c", 0) == message


leaves = st.none() | st.integers(-9, 9) | st.text("ab", max_size=5)
values = st.recursive(leaves, lambda x: st.lists(x, max_size=5))


@given(st.binary(max_size=200) | values.map(orjson.dumps))
def test_invalid_data_is_rejected_with_a_reason(data):
    with pytest.raises(FrameError, match="^[a-z-]+$"):
        decode(data, "c", 0)


def framed(name, *fields, version=codec.PROTOCOL_VERSION, cluster="c"):
    return orjson.dumps([version, cluster, name, list(fields)])


@pytest.mark.parametrize("data, reason", [
    (b"x" * (codec.MAX_FRAME_BYTES + 1), "too-long"),
    (framed("takeover", 3, 1, version=9), "other-version"),
    (framed("takeover", 3, 1, cluster="d"), "other-cluster"),
    (framed("fly", 3, 1), "unknown-kind"),
    (framed("takeover", 3), "wrong-fields"),
    (framed("takeover", 3, 0), "own-name"),
    (framed("takeover", -3, 1), "impossible-number"),
    (framed("takeover", True, 1), "wrong-fields"),
    (framed("takeover", 2**60, 1), "impossible-number"),
    (framed("voted", 3, 1, 1, False), "wrong-fields"),
    (framed("append", 3, 1, 8, 2, [[4, 1, "", 0, 0]], 7, 40), "impossible-terms"),
    (framed("append", 3, 1, 8, 3, [[2, 1, "", 0, 0]], 7, 40), "impossible-terms"),
    (framed("append", 3, 1, 8, 2, [[2, 9, "", 0, 0]], 7, 40), "wrong-fields"),
    (framed("append", 3, 1, 8, 2, [[2, 1, "", 0, 0]] * 2000, 7, 40), "too-many-entries"),
    (framed("install", 3, 1, 8, 2, [[], []], 0, "", True, 4), "impossible-members"),
    (framed("install", 3, 1, 8, 2, [[0], []], 0, "!", True, 4), "wrong-fields"),
])  # fmt: skip
def test_invalid_frames_are_rejected_with_their_reason(data, reason):
    with pytest.raises(FrameError, match=f"^{reason}$"):
        decode(data, "c", 0)
