"""The file in which a node keeps the version in force and the numbers that it has used.

Two lines: a JSON header with its own digest, and the document as canonical JSON. It is written whole: a
new file, fsync, rename, fsync of the folder. The calls wait for the disk, and for another process.
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

from .document import DIGEST_SIZE, LARGEST_DOCUMENT, DocumentError, canonical, check
from .messages import HIGHEST_NUMBER
from .subscriber import NOTHING, Held

FILE, NEW, LOCK = "version", "version.new", "version.lock"
FORMAT = 1
LARGEST = LARGEST_DOCUMENT + (64 << 10)  # bytes
# Numbers that are reserved at once; a node uses one to two a second. A start skips those of the life before.
# So many ms later the Unix time is past them, where a node that has lost its file begins.
BLOCK = 10_000


class VersionFileError(Exception):
    """The file cannot be read or written; the text names it and says why."""


class DiskError(VersionFileError):
    """The disk failed, and may work again."""


class DamagedFileError(VersionFileError):
    """What is there is no file of a version."""


class ForeignFileError(VersionFileError):
    """The file is another node's, or of another cluster."""


class Kept(NamedTuple):
    """What the file holds. All numbers under `numbers` may have been used."""

    held: Held
    numbers: int


class Reserved(NamedTuple):
    """Numbers from `first` to under `end` are this process's; `held` is what the file has."""

    held: Held
    first: int
    end: int


EMPTY_FILE = Kept(NOTHING, 0)


class VersionFile:
    def __init__(self, folder: str, cluster: str, node: str) -> None:
        self.folder, self.path = folder, os.path.join(folder, FILE)
        self.cluster, self.node = cluster, node
        self.numbers = 0  # reserved by this process

    def read(self) -> Kept:
        """What is there; nothing where there is no file. Raises VersionFileError."""
        try:
            with open(self.path, "rb") as file:
                data = file.read(LARGEST + 1)
        except FileNotFoundError:
            return EMPTY_FILE
        except OSError as error:
            raise VersionFileError(f"{self.path}: {error.strerror}") from None
        return self._decode(data)

    def keep(self, held: Held) -> None:
        """This version in place of the one before; raises VersionFileError, and then the old one is there."""
        with self._locked():
            kept = self._read_or_empty()
            # Danger: a process that hands its work on would put an older version over its successor's.
            if kept.held.revision > held.revision:
                raise VersionFileError(f"{self.path}: revision {kept.held.revision} is there already")
            self._write(Kept(held, max(kept.numbers, self.numbers)))

    def reserve(self, now: float) -> Reserved:
        """Numbers that no life of this node has used. Raises VersionFileError.

        Not under the Unix time in ms: a node whose file is lost or damaged begins above its earlier lives'.
        """
        with self._locked():
            kept = self._read_or_empty()
            first = max(kept.numbers, self.numbers, int(now))
            if first + BLOCK >= HIGHEST_NUMBER:
                raise VersionFileError(f"{self.path}: no numbers are left")
            self._write(Kept(kept.held, first + BLOCK))
            self.numbers = first + BLOCK
        return Reserved(kept.held, first, first + BLOCK)

    # ---- reading

    def _read_or_empty(self) -> Kept:
        try:
            return self.read()
        except DamagedFileError:
            return EMPTY_FILE

    def _decode(self, data: bytes) -> Kept:
        first, _, rest = data.partition(b"\n")
        try:
            header = orjson.loads(first)
            said = header.pop("check")
            document = orjson.loads(rest)
            check(document)
            whole = said == _sum(header) and header["digest"] == _digest(rest)
        except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError, DocumentError):
            whole = False
        if not whole or header["format"] != FORMAT:
            raise DamagedFileError(f"{self.path}: damaged, counted as nothing held")
        if (header["cluster"], header["node"]) != (self.cluster, self.node):
            raise ForeignFileError(f"{self.path}: of node {header['node']} of {header['cluster']}")
        return Kept(Held(header["revision"], header["digest"], document), header["numbers"])

    # ---- writing

    def _encode(self, kept: Kept) -> bytes:
        header = {
            "format": FORMAT, "cluster": self.cluster, "node": self.node, "revision": kept.held.revision,
            "digest": kept.held.digest, "numbers": kept.numbers,
        }  # fmt: skip
        return canonical(header | {"check": _sum(header)}) + b"\n" + canonical(kept.held.document)

    @contextmanager
    def _locked(self) -> Iterator[None]:
        """Alone among the processes of this node, of which an upgrade has two."""
        try:
            with open(os.path.join(self.folder, LOCK), "ab") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)
                yield
        except OSError as error:
            raise DiskError(f"{self.path}: {error.strerror}") from None

    def _write(self, kept: Kept) -> None:
        new = os.path.join(self.folder, NEW)
        with open(new, "wb") as file:
            file.write(self._encode(kept))
            file.flush()
            os.fsync(file.fileno())
        replace_durably(new, self.path)


def _digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=DIGEST_SIZE).hexdigest()


def _sum(header: Any) -> str:
    return _digest(canonical(header))
