"""Hosts that an operator has excluded, by uid: the set that applies here, and a small file that the processes
of a node share.

A process merges its changes into the file, and looks for changes of the others before it sends anything.
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

MAX_FILE_BYTES = 1 << 20
FILE_NAME = "caperdeck-bans.json"
STAMP_SETTLE_MS = 50.0  # a file changed again within this time may have the same stamp


class BansError(Exception):
    """The file of bans cannot be read or written; the text names the file and the reason."""


class BanChange(NamedTuple):
    """A host that is excluded from now on, or included again."""

    uid: str
    excluded: bool


class FileStamp(NamedTuple):
    """Tells one state of a file from another."""

    inode: int
    changed_ns: int
    size: int


class Bans:
    """The excluded hosts. Without a folder they are kept in memory only."""

    def __init__(self, folder: str | None) -> None:
        self.folder = folder
        self.path = None if folder is None else os.path.join(folder, FILE_NAME)
        self.uids: dict[str, None] = {}  # the excluded hosts, in order of exclusion
        self.unsaved: dict[str, bool] = {}  # changes that are not in the file yet: whether excluded
        self._last_stamp: FileStamp | None = None  # of the file as last read
        self._settled_at = 0.0  # until then the file is read again even if its stamp is the same

    def load(self) -> None:
        """Takes over what the file holds; raises BansError."""
        if self.path is None:
            return
        try:
            self.uids = dict.fromkeys(call_with_retries(self._read, is_retryable=_is_disk_error))
        except FileNotFoundError:
            return
        except OSError as error:
            raise self._error(error) from None

    def adopt(self, uids: Iterable[str], unsaved: Mapping[str, bool]) -> None:
        """Takes over what another process has, together with the file; `save` then writes the difference."""
        try:
            saved = dict.fromkeys([] if self.path is None else self._read())
        except (OSError, BansError):
            saved = {}
        # A call may reach the other process after it has sent its state and before this line runs. Its change
        # is then in the file already, or follows in a message.
        self.uids = _with_changes(saved, unsaved) | dict.fromkeys(uids)
        self.unsaved = dict(unsaved) | {uid: True for uid in self.uids if uid not in saved}

    def apply(self, change: BanChange) -> None:
        """Makes the change here; `save` writes it."""
        self.uids = _with_changes(self.uids, {change.uid: change.excluded})
        self.unsaved[change.uid] = change.excluded

    def save(self) -> None:
        """Writes the changes that the file does not hold yet; raises BansError, and keeps them for another
        try.
        """
        if self.path is not None and self.unsaved:
            try:
                with _locked(self.folder):
                    self._write_changes()
            except OSError as error:
                raise self._error(error) from None
        self.unsaved.clear()

    def read_external_changes(self, now: float) -> list[BanChange]:
        """Applies and returns what other processes have written since; `now` in milliseconds."""
        # Processes of one node without a link between them share only the file. A call that one of them has
        # answered has to bind the others from that answer on.
        stamp = None if self.path is None else self._read_stamp()
        if stamp is None or (stamp == self._last_stamp and now >= self._settled_at):
            return []
        if stamp != self._last_stamp:
            self._settled_at = now + STAMP_SETTLE_MS
        try:
            saved = self._read()
        except OSError:
            return []
        except BansError:
            self._last_stamp = stamp
            raise
        self._last_stamp = stamp
        return self._replace(_with_changes(dict.fromkeys(saved), self.unsaved))

    def _read_stamp(self) -> FileStamp | None:
        """The file's stamp; None if there is no file or it cannot be read at the moment."""
        try:
            status = os.stat(self.path)
        except FileNotFoundError:
            if self._last_stamp is not None:
                # The folder was emptied. Hosts that an operator excluded stay excluded; the file is written
                # anew.
                self._last_stamp, self.unsaved = None, dict.fromkeys(self.uids, True) | self.unsaved
            return None
        except OSError:
            return None
        return FileStamp(status.st_ino, status.st_mtime_ns, status.st_size)

    def _replace(self, uids: dict[str, None]) -> list[BanChange]:
        """Makes these the excluded hosts, and returns the changes."""
        before, self.uids = self.uids, uids
        excluded = [BanChange(uid, True) for uid in uids if uid not in before]
        return excluded + [BanChange(uid, False) for uid in before if uid not in uids]

    def _read(self) -> list[str]:
        with open(self.path, "rb") as file:
            data = file.read(MAX_FILE_BYTES)
        try:
            uids = orjson.loads(data)
        except orjson.JSONDecodeError as error:
            raise self._error(error) from None
        # With a partial list, sessions would go to a host that is about to be restarted.
        if not isinstance(uids, list) or not all(isinstance(uid, str) and uid for uid in uids):
            raise BansError(f"bans {self.path}: not a list of host IDs")
        return uids

    def _write_changes(self) -> None:
        try:
            saved = dict.fromkeys(self._read())
        except (FileNotFoundError, BansError):
            saved = None  # only this process's set is known
        merged = _with_changes(self.uids if saved is None else saved, self.unsaved)
        if saved is None or merged.keys() != saved.keys():
            self._write(list(merged))

    def _write(self, uids: list[str]) -> None:
        temporary = f"{self.path}.{os.getpid()}"
        try:
            with open(temporary, "wb") as file:
                file.write(orjson.dumps(uids))
            os.rename(temporary, self.path)
        except OSError:
            with suppress(OSError):
                os.unlink(temporary)
            raise

    def _error(self, error: Exception) -> BansError:
        return BansError(f"bans {self.path}: {getattr(error, 'strerror', None) or error}")


def _is_disk_error(error: BaseException) -> bool:
    return isinstance(error, OSError) and not isinstance(error, FileNotFoundError)


def _with_changes(uids: Mapping[str, None], changes: Mapping[str, bool]) -> dict[str, None]:
    kept = {uid: None for uid in uids if changes.get(uid, True)}
    return kept | {uid: None for uid, excluded in changes.items() if excluded}


@contextmanager
def _locked(folder: str) -> Iterator[None]:
    """Keeps other processes from writing meanwhile; raises BlockingIOError while one of them writes."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            # On a file system without locks the file is still consistent, as it is replaced by a rename.
            if error.errno in (errno.EAGAIN, errno.EINTR):
                raise
        yield
    finally:
        os.close(fd)
