"""Stable storage of an instance: crashes at any byte, damage, and exclusive use."""

import errno
import os
import subprocess
import sys

import pytest

from caperdeck.raft import storage as storage_module
from caperdeck.raft.core import Save
from caperdeck.raft.log import Entry, Kind, Members, Snapshot
from caperdeck.raft.storage import RECORD_HEADER, Storage, StorageError

THREE = Members((0, 1, 2))


def open_storage(folder, cluster="c", me=0):
    return Storage(str(folder), cluster, me, THREE)


def command(term, value=b"x"):
    return Entry(term, Kind.COMMAND, value, 4, 5)


SAVES = [
    Save(1, 0, 1, ()), Save(1, 0, 1, (command(1, b"a"), command(1, b"b"))),
    Save(2, None, 2, (command(2, b"c"),)), Save(2, None, 3, (command(2, b"d"),)),
]  # fmt: skip


def state(storage):
    return storage.term, storage.voted_for, storage.log.snapshot, list(storage.log.entries)


def write_and_record_states(folder):
    """The content of the file after all saves, and the state after each save by the size of the file then."""
    storage = open_storage(folder)
    states = {storage.path.stat().st_size: state(storage)}
    for save in SAVES:
        storage.write(save)
        states[storage.path.stat().st_size] = state(storage)
    storage.close()
    return storage.path.read_bytes(), states


def test_written_state_is_read_back(tmp_path):
    data, states = write_and_record_states(tmp_path)
    assert state(open_storage(tmp_path)) == states[len(data)]
    assert states[len(data)][3] == [command(1, b"a"), command(2, b"c"), command(2, b"d")]


def test_a_crash_at_any_byte_leaves_all_complete_records(tmp_path):
    data, states = write_and_record_states(tmp_path)
    smallest = min(states)
    for size in range(smallest, len(data), 3):
        (tmp_path / "log").write_bytes(data[:size])
        storage = open_storage(tmp_path)
        complete = max(n for n in states if n <= size)
        assert state(storage) == states[complete] and storage.path.stat().st_size == complete
        storage.close()


def test_a_corrupt_last_record_is_cut_off_and_other_damage_stops_the_instance(tmp_path):
    data, states = write_and_record_states(tmp_path)
    sizes = sorted(states)
    for k, start in enumerate(sizes[:-1]):
        for at in (start, start + RECORD_HEADER.size + 3):
            damaged = bytearray(data)
            damaged[at] ^= 0x40
            (tmp_path / "log").write_bytes(bytes(damaged))
            if at != start and k == len(sizes) - 2:
                storage = open_storage(tmp_path)
                assert state(storage) == states[start]
                storage.close()
            else:
                with pytest.raises(StorageError, match=f"damaged at byte {start}"):
                    open_storage(tmp_path)


def test_a_snapshot_replaces_the_entries_it_covers_and_bounds_the_file(tmp_path):
    storage = open_storage(tmp_path)
    for i in range(1, 400):
        storage.write(Save(1, None, i, (command(1, b"v" * 50),)))
        if i % 50 == 0:
            storage.write(Save(1, None, i + 1, (), Snapshot(i, 1, THREE, b"state")))
        assert storage.path.stat().st_size < 12_000
    storage.close()
    reopened = open_storage(tmp_path)
    assert reopened.log.snapshot == Snapshot(350, 1, THREE, b"state") and reopened.log.last_index == 399


def test_an_unfinished_temporary_file_is_removed(tmp_path):
    data, states = write_and_record_states(tmp_path)
    (tmp_path / "log.new").write_bytes(data[:30])
    assert state(open_storage(tmp_path)) == states[len(data)] and not (tmp_path / "log.new").exists()


@pytest.mark.parametrize("cluster, me", [("d", 0), ("c", 1)])
def test_the_file_of_another_instance_is_refused(cluster, me, tmp_path):
    open_storage(tmp_path).close()
    with pytest.raises(StorageError, match="of instance 0 of 'c'"):
        open_storage(tmp_path, cluster, me)


def test_two_instances_on_one_folder_are_refused(tmp_path):
    storage = open_storage(tmp_path)
    code = (
        "from caperdeck.raft.storage import *\n"
        f"try: Storage({str(tmp_path)!r}, 'c', 0, Members((0,)))\n"
        "except StorageError as error: print(error)"
    )
    out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=20, check=True)
    assert "another instance runs on it" in out.stdout
    storage.close()


def test_nothing_is_written_after_a_failed_write(tmp_path, monkeypatch):
    """A failed write may be on disk in part; a later write must not make it look complete."""
    storage = open_storage(tmp_path)

    def full(fd):
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(storage_module.os, "fsync", full)
    with pytest.raises(StorageError, match="No space left"):
        storage.write(SAVES[1])
    monkeypatch.undo()
    with pytest.raises(StorageError, match="No space left"):
        storage.write(SAVES[0])
    assert os.path.exists(tmp_path / "log")
