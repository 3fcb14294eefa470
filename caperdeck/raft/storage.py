"""What an instance keeps on disk: term, vote, log and snapshot, in one file of records that is written anew
when it is compacted. Called from a thread of its own; every call returns once the bytes are on disk.

A record is its length (4 bytes), the crc32 of these (4), the crc32 of what follows (4), and a JSON value. A
file that ends within its last record, or with one whose sum is wrong, was torn by a crash and is cut there:
nothing rests on that record, as its write never returned. Damage anywhere else stops the instance. (A disk
that spoils exactly the last record later cannot be told from a crash.)
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
VERSION = 1
LARGEST = 64 << 20  # bytes of a record


class StorageError(Exception):
    """The files cannot be used, or not be written; the text says where and why."""


class Storage:
    """`members` are those of an instance that starts for the first time."""

    def __init__(self, folder: str, cluster: str, me: int, members: Members) -> None:
        self.folder, self.path = Path(folder), Path(folder) / "log"
        self.cluster, self.me = cluster, me
        self.term, self.vote = 0, None
        self.log = Log(Snapshot(0, 0, members))
        self.cut_off = 0  # bytes of a torn tail
        self.file: Any = None
        self.broken = ""
        try:
            self.folder.mkdir(parents=True, exist_ok=True)
            self.lock = open(self.folder / "lock", "ab")  # noqa: SIM115
        except OSError as error:
            raise StorageError(f"{folder}: {error.strerror}") from None
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            # Danger: two processes on one log would each answer by what the other overwrites.
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
            self._read(self.path.read_bytes())
            self.file = open(self.path, "r+b")  # noqa: SIM115
            if self.cut_off:
                self.file.truncate(self.path.stat().st_size - self.cut_off)
                os.fsync(self.file.fileno())
            self.file.seek(0, os.SEEK_END)
        else:
            self._rewrite()

    def _read(self, data: bytes) -> None:
        at, first = 0, True
        while at < len(data):
            value, end = self._record(data, at)
            if value is None:
                self.cut_off = len(data) - at
                break
            try:
                self._take(value, first)
            except (KeyError, TypeError, ValueError, IndexError) as error:
                raise StorageError(f"{self.path}: record at byte {at}: {error}") from None
            at, first = end, False
        if first:
            raise StorageError(f"{self.path}: no first record")

    def _record(self, data: bytes, at: int) -> tuple[Any, int]:
        """The record there and where the next begins; None for a tail that was torn."""
        if at + RECORD_HEADER.size > len(data):
            return None, at
        length, length_sum, body_sum = RECORD_HEADER.unpack_from(data, at)
        start, end = at + RECORD_HEADER.size, at + RECORD_HEADER.size + length
        # Danger: a length that is damaged in the middle of the file would make all that follows look torn.
        if zlib.crc32(data[at : at + 4]) != length_sum or length > LARGEST:
            raise StorageError(f"{self.path}: damaged at byte {at}")
        if end > len(data):
            return None, at
        if zlib.crc32(data[start:end]) != body_sum:
            if end == len(data):
                return None, at
            raise StorageError(f"{self.path}: damaged at byte {at}")
        return orjson.loads(data[start:end]), end

    def _take(self, value: dict[str, Any], first: bool) -> None:
        if first:
            if value["version"] != VERSION:
                raise StorageError(f"{self.path}: version {value['version']}, this program writes {VERSION}")
            if (value["cluster"], value["me"]) != (self.cluster, self.me):
                raise StorageError(f"{self.path}: of instance {value['me']} of {value['cluster']!r}")
            self.log = Log(decode_snapshot(value["snapshot"]))
        self.term, self.vote = value["term"], value["vote"]
        entries = [decode_entry(row) for row in value["entries"]]
        if entries and not self.log.snapshot.index < value["first"] <= self.log.last + 1:
            raise StorageError(f"{self.path}: entries from {value['first']} after {self.log.last}")
        self.log.put(value["first"], entries)

    # ---- writing

    def write(self, save: Save) -> None:
        """On disk when it returns. After a failure nothing more is taken: what is on disk is not known."""
        if self.broken:
            raise StorageError(self.broken)
        try:
            self.term, self.vote = save.term, save.vote
            if save.snapshot is not None:
                self.log.compact(save.snapshot)
            self.log.put(save.first, save.entries)
            if save.snapshot is not None:
                self._rewrite()
            else:
                self._add(self.file, self._value(save.first, list(save.entries)))
        except OSError as error:
            # Danger: a write that failed may be there in part; answered later, it would be taken for whole.
            self.broken = f"{self.path}: {error.strerror}"
            raise StorageError(self.broken) from None

    def _value(self, first: int, entries: list[Entry]) -> dict[str, Any]:
        rows = [encode_entry(e) for e in entries]
        return {"term": self.term, "vote": self.vote, "first": first, "entries": rows}

    def _add(self, file: Any, value: dict[str, Any]) -> None:
        body = orjson.dumps(value)
        length = len(body).to_bytes(4, "big")
        file.write(RECORD_HEADER.pack(len(body), zlib.crc32(length), zlib.crc32(body)) + body)
        file.flush()
        os.fsync(file.fileno())

    def _rewrite(self) -> None:
        """All of it into a new file, which then takes the old one's name."""
        new = self.folder / "log.new"
        file = open(new, "wb")  # noqa: SIM115
        first = {"version": VERSION, "cluster": self.cluster, "me": self.me,
                "snapshot": encode_snapshot(self.log.snapshot)}  # fmt: skip
        self._add(file, first | self._value(self.log.snapshot.index + 1, self.log.entries))
        replace_durably(new, self.path)
        if self.file is not None:
            self.file.close()
        self.file = file


def encode_entry(e: Entry) -> list:
    return [e.term, int(e.kind), base64.b64encode(e.data).decode(), e.client, e.serial]


def decode_entry(row: list) -> Entry:
    term, kind, data, client, serial = row
    return Entry(term, Kind(kind), base64.b64decode(data, validate=True), client, serial)


def encode_snapshot(s: Snapshot) -> list:
    return [s.index, s.term, [list(ids) for ids in s.members], base64.b64encode(s.data).decode()]


def decode_snapshot(row: list) -> Snapshot:
    index, term, (voters, learners), data = row
    members = Members(tuple(voters), tuple(learners))
    return Snapshot(index, term, members, base64.b64decode(data, validate=True))
