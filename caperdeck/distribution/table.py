"""The table of configuration versions: a replicated state machine, without a clock or random numbers.

A version is committed as changes to the newest one; revisions have no gaps. The leader writes its term into
the command in the event that appends the entry, so it is the term that the entry commits under.
"""

from __future__ import annotations

import hashlib
from typing import Any, NamedTuple

from .document import (
    DIGEST_BYTES, EMPTY_DOCUMENT, MAX_DOCUMENT_BYTES, Change, Document, DocumentError, apply_changes,
    apply_unchecked, canonical, decode_changes, difference, digest, encode_changes, validate,
)  # fmt: skip

# Versions that a delta can start from, each kept with its document; before them a snapshot is sent.
MAX_HISTORY_VERSIONS = 32
MAX_HISTORY_BYTES = 4 << 20  # of the changes between them
# Changes of one command; encoded in base64 they fit into a frame between instances.
MAX_CHANGES_BYTES = MAX_DOCUMENT_BYTES + (512 << 10)


class Version(NamedTuple):
    """Identifies a committed version."""

    revision: int  # without gaps; 0 is the empty document before the first version
    term: int
    digest: str
    chain: str  # digest over all versions up to this one; equal only if the whole history is equal


INITIAL_VERSION = Version(0, 0, digest(EMPTY_DOCUMENT), "")


class HistoryEntry(NamedTuple):
    """One version in the history. Documents share the parts that did not change."""

    version: Version
    document: Document
    changes: list[Any]  # from the previous version, as JSON rows
    size: int  # bytes of the changes


def publish_command(table: VersionTable, base: int, document: Any, term: int) -> dict[str, Any]:
    """The command that publishes a document on top of revision `base`, which must be the newest one.

    Raises DocumentError if the document cannot be the next version.
    """
    validate(document)
    if base != table.newest.revision:
        raise DocumentError(f"on: builds on {base}, {table.newest.revision} is the newest")
    rows = encode_changes(difference(table.document, document))
    if not rows:
        raise DocumentError("changes: none, this document is the newest version")
    check_changes_size(rows)
    return {"do": "publish", "on": base, "term": term, "digest": digest(document), "changes": rows}


def check_changes_size(rows: list[Any]) -> None:
    """Raises DocumentError if the changes are too large for one command or delta."""
    if (size := len(canonical(rows))) > MAX_CHANGES_BYTES:
        raise DocumentError(f"changes: {size} bytes, over {MAX_CHANGES_BYTES}")


class VersionTable:
    """The replicated table of versions.

    An answer has `ok`, or `no` with the field and the reason; a refused command changes nothing.
    `max_history` must be equal at all instances.
    """

    def __init__(self, max_history: int = MAX_HISTORY_VERSIONS) -> None:
        self.max_history = max_history
        self.load(None)

    @property
    def newest(self) -> Version:
        return self.history[-1].version

    @property
    def document(self) -> Document:
        return self.history[-1].document

    def apply(self, command: Any) -> dict[str, Any]:
        try:
            version = self._publish(command)
        except DocumentError as error:
            return {"no": str(error)}
        return {"ok": True, "revision": version.revision, "digest": version.digest}

    def dump(self) -> Any:
        oldest = self.history[0]
        later = [[list(entry.version), entry.changes] for entry in self.history[1:]]
        return {"oldest": [list(oldest.version), oldest.document], "later": later}

    def load(self, state: Any) -> None:
        version, document = state["oldest"] if state else (INITIAL_VERSION, EMPTY_DOCUMENT)
        self.history = [HistoryEntry(Version(*version), document, [], 0)]
        for version, changes in state["later"] if state else []:
            document = apply_unchecked(document, decode_changes(changes))
            self.history.append(HistoryEntry(Version(*version), document, changes, len(canonical(changes))))

    def delta(self, revision: int, known_digest: str) -> tuple[Change, ...] | None:
        """The changes from a known version to the newest one.

        None if that version is not in the history or has another digest, or if a snapshot is not larger than
        the changes can be.
        """
        for entry in self.history:
            if entry.version.revision == revision and entry.version.digest == known_digest:
                changes = difference(entry.document, self.document)
                # With their paths the changes can exceed the document, and then may not fit into a frame.
                return changes if len(canonical(encode_changes(changes))) <= MAX_DOCUMENT_BYTES else None
        return None

    def _publish(self, command: Any) -> Version:
        if not isinstance(command, dict) or command.get("do") != "publish":
            raise DocumentError("do: unknown command")
        base, term = _non_negative(command, "on"), _non_negative(command, "term")
        if base != self.newest.revision:
            raise DocumentError(f"on: builds on {base}, {self.newest.revision} is the newest")
        if term < self.newest.term:
            raise DocumentError(f"term: {term} is older than {self.newest.term}, that of the newest")
        if not isinstance(new_digest := command.get("digest"), str):
            raise DocumentError("digest: no text")
        changes = decode_changes(command.get("changes"))
        check_changes_size(command["changes"])
        document = apply_changes(self.document, changes, new_digest)
        validate(document)
        if new_digest == self.newest.digest:
            raise DocumentError("changes: none, this document is the newest version")
        version = Version(base + 1, term, new_digest, self._chain(base + 1, term, new_digest))
        self._append_to_history(
            HistoryEntry(version, document, command["changes"], len(canonical(command["changes"])))
        )
        return version

    def _chain(self, revision: int, term: int, new_digest: str) -> str:
        text = canonical([self.newest.chain, revision, term, new_digest])
        return hashlib.blake2b(text, digest_size=DIGEST_BYTES).hexdigest()

    def _append_to_history(self, entry: HistoryEntry) -> None:
        self.history.append(entry)
        while len(self.history) > self.max_history or self._history_too_large():
            del self.history[0]

    def _history_too_large(self) -> bool:
        # The oldest entry needs no changes, and the newest one is kept whatever its size.
        return len(self.history) > 1 and sum(entry.size for entry in self.history[1:]) > MAX_HISTORY_BYTES


def _non_negative(command: dict[str, Any], field: str) -> int:
    value = command.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise DocumentError(f"{field}: no whole number from 0")
    return value
