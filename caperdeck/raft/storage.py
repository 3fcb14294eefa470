"""Stable storage of an instance: term, vote, log and snapshot, in one file of records.

The file is rewritten when the log is compacted. All calls are made in a thread of their own, and each returns
once its bytes are on disk.

A record is its length (4 bytes), the CRC-32 of these 4 bytes (4), the CRC-32 of the body (4), and the body,
a JSON value. If the file ends within its last record, or that record's checksum is wrong, the record was torn
by a crash and is cut off: its write never returned, so nothing depends on it. Damage anywhere else stops the
instance. (A disk that later corrupts exactly the last record cannot be told from a crash.)
"""

from __future__ import annotations

import base64
import fcntl
import os
import struct
import zlib
from pathlib import Path
from typing import Any

import orjson

from caperdeck.state.durable import replace_durably

from .actions import Save
from .log import Entry, Kind, Log, Members, Snapshot

RECORD_HEADER = struct.Struct(">III")  # length, its checksum, the checksum of the body
FORMAT_VERSION = 1
MAX_RECORD_BYTES = 64 << 20


class StorageError(Exception):
    """The files cannot be used or written. The text has the path and the reason."""


class Storage:
    """Reads the files at once; `members` are used if there are none yet."""

    def __init__(self, folder: str, cluster: str, me: int, members: Members) -> None:
        self.folder, self.path = Path(folder), Path(folder) / "log"
        self.cluster, self.me = cluster, me
        self.term, self.voted_for = 0, None
        self.log = Log(Snapshot(0, 0, members))
        self.torn_bytes = 0  # cut off at the end of the file
        self.file: Any = None
        self.write_error = ""  # of the first write that failed
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.lock = open(self.folder / "lock", "ab")  # noqa: SIM115
        except OSError as error:
            raise StorageError(f"{folder}: {error.strerror}") from None
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            # Two processes on one log would each answer from records that the other overwrites.
            self.lock.close()
            raise StorageError(f"{folder}: another instance runs on it") from None
        try:
            self._open()
        except OSError as error:
            self.close()
            raise StorageError(f"{self.path}: {error.strerror}") from None
        except StorageError:
            self.close()
            raise

    def close(self) -> None:
        if self.file is not None:
            self.file.close()
        self.lock.close()

    # ---- reading

    def _open(self) -> None:
        # one that was being written when the process died; its rename never came
        (self.folder / "log.new").unlink(missing_ok=True)
        if self.path.exists():
            self._load(self.path.read_bytes())
            self.file = open(self.path, "r+b")  # noqa: SIM115
            if self.torn_bytes:
                self.file.truncate(self.path.stat().st_size - self.torn_bytes)
                os.fsync(self.file.fileno())
            self.file.seek(0, os.SEEK_END)
        else:
            self._rewrite()

    def _load(self, data: bytes) -> None:
        start, first = 0, True
        while start < len(data):
            value, end = self._read_record(data, start)
            if value is None:
                self.torn_bytes = len(data) - start
                break
            try:
                self._load_record(value, first)
            except (KeyError, TypeError, ValueError, IndexError) as error:
                raise StorageError(f"{self.path}: record at byte {start}: {error}") from None
            start, first = end, False
        if first:
            raise StorageError(f"{self.path}: no first record")

    def _read_record(self, data: bytes, record_start: int) -> tuple[Any, int]:
        """The record's value, None if it is torn, and where the next one starts. Raises StorageError."""
        if record_start + RECORD_HEADER.size > len(data):
            return None, record_start
        length, length_sum, body_sum = RECORD_HEADER.unpack_from(data, record_start)
        start, end = record_start + RECORD_HEADER.size, record_start + RECORD_HEADER.size + length
        # Without its own checksum, a damaged length in the middle of the file would make all that follows
        # look torn.
        if zlib.crc32(data[record_start : record_start + 4]) != length_sum or length > MAX_RECORD_BYTES:
            raise StorageError(f"{self.path}: damaged at byte {record_start}")
        if end > len(data):
            return None, record_start
        if zlib.crc32(data[start:end]) != body_sum:
            if end == len(data):
                return None, record_start
            raise StorageError(f"{self.path}: damaged at byte {record_start}")
        return orjson.loads(data[start:end]), end

    def _load_record(self, value: dict[str, Any], first: bool) -> None:
        if first:
            if value["version"] != FORMAT_VERSION:
                raise StorageError(
                    f"{self.path}: version {value['version']}, this program writes {FORMAT_VERSION}"
                )
            if (value["cluster"], value["me"]) != (self.cluster, self.me):
                raise StorageError(f"{self.path}: of instance {value['me']} of {value['cluster']!r}")
            self.log = Log(decode_snapshot(value["snapshot"]))
        self.term, self.voted_for = value["term"], value["vote"]
        entries = [decode_entry(row) for row in value["entries"]]
        if entries and not self.log.snapshot.index < value["first"] <= self.log.last_index + 1:
            raise StorageError(f"{self.path}: entries from {value['first']} after {self.log.last_index}")
        self.log.replace_from(value["first"], entries)

    # ---- writing

    def write(self, save: Save) -> None:
        """Writes durably. After a failure every write fails, as the content of the file is unknown."""
        if self.write_error:
            raise StorageError(self.write_error)
        try:
            self.term, self.voted_for = save.term, save.voted_for
            if save.snapshot is not None:
                self.log.compact(save.snapshot)
            self.log.replace_from(save.first, save.entries)
            if save.snapshot is not None:
                self._rewrite()
            else:
                self._append_record(self.file, self._record(save.first, list(save.entries)))
        except OSError as error:
            # The failed write may be on disk in part; a record written after it would make it look complete.
            self.write_error = f"{self.path}: {error.strerror}"
            raise StorageError(self.write_error) from None

    def _record(self, first: int, entries: list[Entry]) -> dict[str, Any]:
        rows = [encode_entry(entry) for entry in entries]
        return {"term": self.term, "vote": self.voted_for, "first": first, "entries": rows}

    def _append_record(self, file: Any, value: dict[str, Any]) -> None:
        body = orjson.dumps(value)
        length = len(body).to_bytes(4, "big")
        file.write(RECORD_HEADER.pack(len(body), zlib.crc32(length), zlib.crc32(body)) + body)
        file.flush()
        os.fsync(file.fileno())

    def _rewrite(self) -> None:
        """Writes everything to a new file, which then replaces the old one."""
        new = self.folder / "log.new"
        file = open(new, "wb")  # noqa: SIM115
        first = {"version": FORMAT_VERSION, "cluster": self.cluster, "me": self.me,
                "snapshot": encode_snapshot(self.log.snapshot)}  # fmt: skip
        self._append_record(file, first | self._record(self.log.snapshot.index + 1, self.log.entries))
        replace_durably(new, self.path)
        if self.file is not None:
            self.file.close()
        self.file = file


def encode_entry(entry: Entry) -> list:
    return [
        entry.term, int(entry.kind), base64.b64encode(entry.data).decode(), entry.client, entry.serial,
    ]  # fmt: skip


def decode_entry(row: list) -> Entry:
    term, kind, data, client, serial = row
    return Entry(term, Kind(kind), base64.b64decode(data, validate=True), client, serial)


def encode_snapshot(snapshot: Snapshot) -> list:
    return [
        snapshot.index, snapshot.term, [list(ids) for ids in snapshot.members],
        base64.b64encode(snapshot.data).decode(),
    ]  # fmt: skip


def decode_snapshot(row: list) -> Snapshot:
    index, term, (voters, learners), data = row
    members = Members(tuple(voters), tuple(learners))
    return Snapshot(index, term, members, base64.b64decode(data, validate=True))
