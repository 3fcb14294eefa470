"""An instance's file: what a crash at any byte leaves, what damage does, and who may use it."""

import errno
import os
import subprocess
import sys

import pytest

from caperdeck.raft import storage as module
from caperdeck.raft.core import Save
from caperdeck.raft.log import Entry, Kind, Members, Snapshot
from caperdeck.raft.storage import RECORD_HEADER, Storage, StorageError

THREE = Members((0, 1, 2))


def opened(folder, cluster="c", me=0):
    return Storage(str(folder), cluster, me, THREE)


def command(term, value=b"x"):
    return Entry(term, Kind.COMMAND, value, 4, 5)


SAVES = [
    Save(1, 0, 1, ()), Save(1, 0, 1, (command(1, b"a"), command(1, b"b"))),
    Save(2, None, 2, (command(2, b"c"),)), Save(2, None, 3, (command(2, b"d"),)),
]  # fmt: skip


def state(s):
    return s.term, s.voted_for, s.log.snapshot, list(s.log.entries)


def written(folder):
    """The file after the saves, and the state after each, by the bytes that it takes."""
    s = opened(folder)
    states = {s.path.stat().st_size: state(s)}
    for save in SAVES:
        s.write(save)
        states[s.path.stat().st_size] = state(s)
    s.close()
    return s.path.read_bytes(), states


def test_what_was_written_is_read_again(tmp_path):
    data, states = written(tmp_path)
    assert state(opened(tmp_path)) == states[len(data)]
    assert states[len(data)][3] == [command(1, b"a"), command(2, b"c"), command(2, b"d")]


def test_a_crash_at_any_byte_leaves_what_was_whole(tmp_path):
    data, states = written(tmp_path)
    least = min(states)
    for size in range(least, len(data), 3):
        (tmp_path / "log").write_bytes(data[:size])
        s = opened(tmp_path)
        whole = max(n for n in states if n <= size)
        assert state(s) == states[whole] and s.path.stat().st_size == whole
        s.close()


def test_a_last_record_with_a_wrong_sum_is_cut_off_and_others_stop_the_instance(tmp_path):
    data, states = written(tmp_path)
    sizes = sorted(states)
    for k, start in enumerate(sizes[:-1]):
        for at in (start, start + RECORD_HEADER.size + 3):
            bad = bytearray(data)
            bad[at] ^= 0x40
            (tmp_path / "log").write_bytes(bytes(bad))
            if at != start and k == len(sizes) - 2:
                s = opened(tmp_path)
                assert state(s) == states[start]
                s.close()
            else:
                with pytest.raises(StorageError, match=f"damaged at byte {start}"):
                    opened(tmp_path)


def test_a_snapshot_takes_the_place_of_what_it_covers_and_bounds_the_file(tmp_path):
    s = opened(tmp_path)
    for i in range(1, 400):
        s.write(Save(1, None, i, (command(1, b"v" * 50),)))
        if i % 50 == 0:
            s.write(Save(1, None, i + 1, (), Snapshot(i, 1, THREE, b"state")))
        assert s.path.stat().st_size < 12_000
    s.close()
    again = opened(tmp_path)
    assert again.log.snapshot == Snapshot(350, 1, THREE, b"state") and again.log.last_index == 399


def test_a_file_that_was_being_written_when_the_process_died_is_left_out(tmp_path):
    data, states = written(tmp_path)
    (tmp_path / "log.new").write_bytes(data[:30])
    assert state(opened(tmp_path)) == states[len(data)] and not (tmp_path / "log.new").exists()


@pytest.mark.parametrize("cluster, me", [("d", 0), ("c", 1)])
def test_the_file_of_another_instance_is_refused(cluster, me, tmp_path):
    opened(tmp_path).close()
    with pytest.raises(StorageError, match="of instance 0 of 'c'"):
        opened(tmp_path, cluster, me)


def test_two_instances_on_one_folder_are_refused(tmp_path):
    s = opened(tmp_path)
    code = (
        "from caperdeck.raft.storage import *\n"
        f"try: Storage({str(tmp_path)!r}, 'c', 0, Members((0,)))\n"
        "except StorageError as error: print(error)"
    )
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=20, check=True)
    assert "another instance runs on it" in out.stdout
    s.close()


def test_a_disk_that_is_full_is_written_to_no_more(tmp_path, monkeypatch):
    """What is there of a write that failed is not known; the next one must not look whole."""
    s = opened(tmp_path)

    def full(fd):
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(module.os, "fsync", full)
    with pytest.raises(StorageError, match="No space left"):
        s.write(SAVES[1])
    monkeypatch.undo()
    with pytest.raises(StorageError, match="No space left"):
        s.write(SAVES[0])
    assert os.path.exists(tmp_path / "log")
