"""Hosts taken out by hand, by uid: those in force here, and one small file that a node's processes share.

A process writes its changes over those of the others, and looks for theirs before it sends anything.
"""

from __future__ import annotations

import errno
import fcntl
import os
from collections.abc import Iterable, Iterator, Mapping
from contextlib import contextmanager, suppress
from typing import NamedTuple

import orjson

from caperdeck.state.errors import call_with_retries

LARGEST = 1 << 20  # bytes of the file
FILE = "caperdeck-bans.json"
SETTLED_AFTER = 50.0  # milliseconds after a change in which its stamp may stand for another one as well


class BansError(Exception):
    """The file of bans cannot be read or written; the text names it and says why."""


class Ban(NamedTuple):
    """A host that is out from now on, or serves again."""

    uid: str
    out: bool


class Stamp(NamedTuple):
    """What tells one state of a file from another."""

    inode: int
    changed_ns: int
    size: int


class Bans:
    def __init__(self, folder: str | None) -> None:
        """Without a folder the bans hold for the processes that run alone."""
        self.folder = folder
        self.path = None if folder is None else os.path.join(folder, FILE)
        self.uids: dict[str, None] = {}  # in force here
        self.unsaved: dict[str, bool] = {}  # changes that the file does not hold yet: out, or back
        self._seen: Stamp | None = None  # the file as last read
        self._settled_at = 0.0  # until then it is read again whatever its stamp says

    def load(self) -> None:
        """What the file holds is in force; raises BansError."""
        if self.path is None:
            return
        try:
            self.uids = dict.fromkeys(call_with_retries(self._read, is_retryable=_is_disk_error))
        except FileNotFoundError:
            return
        except OSError as error:
            raise self._error(error) from None

    def adopt(self, uids: Iterable[str], unsaved: Mapping[str, bool]) -> None:
        """In force: what another process holds, with what the file holds; `save` writes the difference."""
        try:
            held = dict.fromkeys([] if self.path is None else self._read())
        except (OSError, BansError):
            held = {}
        # Danger: a call may come between the other's word and this one; it is in the file then, or follows.
        self.uids = _changed(held, unsaved) | dict.fromkeys(uids)
        self.unsaved = dict(unsaved) | {uid: True for uid in self.uids if uid not in held}

    def change(self, ban: Ban) -> None:
        """In force here from now on; `save` writes it."""
        self.uids = _changed(self.uids, {ban.uid: ban.out})
        self.unsaved[ban.uid] = ban.out

    def save(self) -> None:
        """Writes what the file does not hold yet, whole; raises BansError, and it is still to be written."""
        if self.path is not None and self.unsaved:
            try:
                with _locked(self.folder):
                    self._write_changes()
            except OSError as error:
                raise self._error(error) from None
        self.unsaved.clear()

    def changed_elsewhere(self, now: float) -> list[Ban]:
        """What other processes have written since, in force here from now on; `now` in milliseconds."""
        # Danger: processes of one node that have not met share the file alone; a call that was answered by
        # one of them binds the other as well, from the answer on.
        stamp = None if self.path is None else self._stamp()
        if stamp is None or (stamp == self._seen and now >= self._settled_at):
            return []
        if stamp != self._seen:
            self._settled_at = now + SETTLED_AFTER
        try:
            held = self._read()
        except OSError:
            return []
        except BansError:
            self._seen = stamp
            raise
        self._seen = stamp
        return self._put_in_force(_changed(dict.fromkeys(held), self.unsaved))

    def _stamp(self) -> Stamp | None:
        """None where there is no file, or where it cannot be told just now."""
        try:
            found = os.stat(self.path)
        except FileNotFoundError:
            if self._seen is not None:
                # somebody has emptied the folder; who is out by an operator's word stays out
                self._seen, self.unsaved = None, dict.fromkeys(self.uids, True) | self.unsaved
            return None
        except OSError:
            return None
        return Stamp(found.st_ino, found.st_mtime_ns, found.st_size)

    def _put_in_force(self, uids: dict[str, None]) -> list[Ban]:
        before, self.uids = self.uids, uids
        out = [Ban(uid, True) for uid in uids if uid not in before]
        return out + [Ban(uid, False) for uid in before if uid not in uids]

    def _read(self) -> list[str]:
        with open(self.path, "rb") as file:
            data = file.read(LARGEST)
        try:
            uids = orjson.loads(data)
        except orjson.JSONDecodeError as error:
            raise self._error(error) from None
        # Danger: on half a list of bans a host would be served that is about to be restarted.
        if not isinstance(uids, list) or not all(isinstance(uid, str) and uid for uid in uids):
            raise BansError(f"bans {self.path}: no list of host ids")
        return uids

    def _write_changes(self) -> None:
        try:
            held = dict.fromkeys(self._read())
        except (FileNotFoundError, BansError):
            held = None  # what is in force here is all that is known
        wanted = _changed(self.uids if held is None else held, self.unsaved)
        if held is None or wanted.keys() != held.keys():
            self._write(list(wanted))

    def _write(self, uids: list[str]) -> None:
        beside = f"{self.path}.{os.getpid()}"
        try:
            with open(beside, "wb") as file:
                file.write(orjson.dumps(uids))
            os.rename(beside, self.path)
        except OSError:
            with suppress(OSError):
                os.unlink(beside)
            raise

    def _error(self, error: Exception) -> BansError:
        return BansError(f"bans {self.path}: {getattr(error, 'strerror', None) or error}")


def _is_disk_error(error: BaseException) -> bool:
    return isinstance(error, OSError) and not isinstance(error, FileNotFoundError)


def _changed(uids: Mapping[str, None], changes: Mapping[str, bool]) -> dict[str, None]:
    kept = {uid: None for uid in uids if changes.get(uid, True)}
    return kept | {uid: None for uid, out in changes.items() if out}


@contextmanager
def _locked(folder: str) -> Iterator[None]:
    """No other process writes meanwhile; raises BlockingIOError while one does."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            # a file system without locks still has the file itself, renamed whole
            if error.errno in (errno.EAGAIN, errno.EINTR):
                raise
        yield
    finally:
        os.close(fd)
