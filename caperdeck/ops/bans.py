"""Hosts taken out by hand, by uid, kept in one small file that a successor reads."""

from __future__ import annotations

import os
from collections.abc import Iterable

import orjson

LARGEST = 1 << 20  # bytes of the file
FILE = "caperdeck-bans.json"


class BansError(Exception):
    """The file of bans cannot be read or written; the text names it and says why."""


class Bans:
    def __init__(self, folder: str | None) -> None:
        """Without a folder the bans hold for this process alone."""
        self.path = None if folder is None else os.path.join(folder, FILE)
        self.uids: dict[str, None] = {}

    def load(self) -> None:
        if self.path is None:
            return
        try:
            with open(self.path, "rb") as file:
                uids = orjson.loads(file.read(LARGEST))
        except FileNotFoundError:
            return
        except (OSError, orjson.JSONDecodeError) as error:
            raise BansError(f"bans {self.path}: {error}") from None
        # Danger: on half a list of bans a host would be served that is about to be restarted.
        if not isinstance(uids, list) or not all(isinstance(uid, str) and uid for uid in uids):
            raise BansError(f"bans {self.path}: no list of host ids")
        self.uids = dict.fromkeys(uids)

    def keep(self, uid: str, banned: bool) -> None:
        """In the file first, whole; nothing has changed where that fails."""
        uids = [known for known in self.uids if known != uid] + [uid] * banned
        if uids != list(self.uids):
            self._write(uids)
            self.uids = dict.fromkeys(uids)

    def note(self, uid: str, banned: bool) -> None:
        """Another process of this node has kept it."""
        self.uids.pop(uid, None)
        if banned:
            self.uids[uid] = None

    def replace(self, uids: Iterable[str]) -> None:
        self.uids = dict.fromkeys(uids)
        self._write(list(self.uids))

    def _write(self, uids: list[str]) -> None:
        if self.path is None:
            return
        beside = f"{self.path}.{os.getpid()}"
        try:
            with open(beside, "wb") as file:
                file.write(orjson.dumps(uids))
            os.rename(beside, self.path)
        except OSError as error:
            raise BansError(f"bans {self.path}: {error.strerror}") from None
