"""The file in which a node keeps its active version and the message numbers that it has reserved.

It has two lines: a JSON header with a checksum, and the document as canonical JSON. It is replaced as a
whole: a new file, fsync, rename, fsync of the folder. The calls block on the disk and on other processes.
"""

from __future__ import annotations

import fcntl
import hashlib
import os
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

import orjson

from caperdeck.state.durable import replace_durably

from .document import DIGEST_BYTES, MAX_DOCUMENT_BYTES, DocumentError, canonical, validate
from .messages import MAX_NUMBER
from .subscriber import NO_VERSION, HeldVersion

FILE_NAME, TEMPORARY_NAME, LOCK_NAME = "version", "version.new", "version.lock"
FORMAT_VERSION = 1
MAX_FILE_BYTES = MAX_DOCUMENT_BYTES + (64 << 10)
# Numbers reserved at once. A node uses one to two a second, and a restart skips what is left of the last
# block. A node that has lost its file starts at the Unix time in milliseconds, which passes a whole block in
# this many milliseconds.
NUMBER_BLOCK = 10_000


class VersionFileError(Exception):
    """The file cannot be read or written. The text has the path and the reason."""


class DiskError(VersionFileError):
    """The disk failed and may work again later."""


class DamagedFileError(VersionFileError):
    """The content is not that of a version file."""


class ForeignFileError(VersionFileError):
    """The file belongs to another node or cluster."""


class FileContent(NamedTuple):
    """The content of the file. All numbers below `next_number` may have been used."""

    held: HeldVersion
    next_number: int


class ReservedNumbers(NamedTuple):
    """The numbers from `first` up to, not including, `end` are reserved. `held` is the file's version."""

    held: HeldVersion
    first: int
    end: int


EMPTY_CONTENT = FileContent(NO_VERSION, 0)


class VersionFile:
    def __init__(self, folder: str, cluster: str, node: str) -> None:
        self.folder, self.path = folder, os.path.join(folder, FILE_NAME)
        self.cluster, self.node = cluster, node
        self.reserved_end = 0  # end of the numbers reserved by this process

    def read(self) -> FileContent:
        """The content; empty if there is no file. Raises VersionFileError."""
        try:
            with open(self.path, "rb") as file:
                data = file.read(MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            return EMPTY_CONTENT
        except OSError as error:
            raise VersionFileError(f"{self.path}: {error.strerror}") from None
        return self._decode(data)

    def save(self, held: HeldVersion) -> None:
        """Replaces the version in the file. If it raises VersionFileError the previous version is kept."""
        with self._locked():
            content = self._read_or_empty()
            # A process that is being replaced could otherwise overwrite its successor's newer version.
            if content.held.revision > held.revision:
                raise VersionFileError(f"{self.path}: revision {content.held.revision} is there already")
            self._write(FileContent(held, max(content.next_number, self.reserved_end)))

    def reserve(self, now: float) -> ReservedNumbers:
        """Reserves numbers that no process of this node has used. Raises VersionFileError.

        `now` is the Unix time in milliseconds. The numbers start at it or above, so a node whose file is lost
        or damaged starts above its earlier numbers.
        """
        with self._locked():
            content = self._read_or_empty()
            first = max(content.next_number, self.reserved_end, int(now))
            if first + NUMBER_BLOCK >= MAX_NUMBER:
                raise VersionFileError(f"{self.path}: no numbers are left")
            self._write(FileContent(content.held, first + NUMBER_BLOCK))
            self.reserved_end = first + NUMBER_BLOCK
        return ReservedNumbers(content.held, first, first + NUMBER_BLOCK)

    # ---- reading

    def _read_or_empty(self) -> FileContent:
        try:
            return self.read()
        except DamagedFileError:
            return EMPTY_CONTENT

    def _decode(self, data: bytes) -> FileContent:
        first_line, _, rest = data.partition(b"\n")
        try:
            header = orjson.loads(first_line)
            checksum = header.pop("check")
            document = orjson.loads(rest)
            validate(document)
            valid = checksum == _checksum(header) and header["digest"] == _digest(rest)
        except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError, DocumentError):
            valid = False
        if not valid or header["format"] != FORMAT_VERSION:
            raise DamagedFileError(f"{self.path}: damaged, counted as nothing held")
        if (header["cluster"], header["node"]) != (self.cluster, self.node):
            raise ForeignFileError(f"{self.path}: of node {header['node']} of {header['cluster']}")
        return FileContent(HeldVersion(header["revision"], header["digest"], document), header["numbers"])

    # ---- writing

    def _encode(self, content: FileContent) -> bytes:
        header = {
            "format": FORMAT_VERSION, "cluster": self.cluster, "node": self.node,
            "revision": content.held.revision, "digest": content.held.digest, "numbers": content.next_number,
        }  # fmt: skip
        return canonical(header | {"check": _checksum(header)}) + b"\n" + canonical(content.held.document)

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Excludes other processes of this node; during an upgrade there are two."""
        try:
            with open(os.path.join(self.folder, LOCK_NAME), "ab") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)
                yield
        except OSError as error:
            raise DiskError(f"{self.path}: {error.strerror}") from None

    def _write(self, content: FileContent) -> None:
        new = os.path.join(self.folder, TEMPORARY_NAME)
        with open(new, "wb") as file:
            file.write(self._encode(content))
            file.flush()
            os.fsync(file.fileno())
        replace_durably(new, self.path)


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


def _checksum(header: Any) -> str:
    return _digest(canonical(header))
