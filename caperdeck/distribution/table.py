"""The versions of the configuration, as a state machine that the instances agree on. No clock, no chance.

A version is committed as the changes on the newest one. Revisions have no gaps. The proposing leader writes
its term into the command in the event that appends the entry, so it is the term that the entry commits under.
"""

from __future__ import annotations

import hashlib
from typing import Any, NamedTuple

from .document import (
    DIGEST_SIZE, EMPTY, LARGEST_DOCUMENT, Change, Document, DocumentError, apply, canonical, check,
    decode_changes, difference, digest, encode_changes, patched,
)  # fmt: skip

MOST_HISTORY = 32  # versions that a delta can begin at, each with its document; before that, a snapshot
LARGEST_HISTORY = 4 << 20  # bytes of the changes between them
LARGEST_CHANGES = LARGEST_DOCUMENT + (512 << 10)  # bytes of one command's; in base 64 it fits into a frame


class Version(NamedTuple):
    """What names a committed version."""

    revision: int  # from 1, without gaps; 0 is the empty document before the first
    term: int
    digest: str
    chain: str  # digest over all versions up to this one: equal only where all history is equal


FIRST = Version(0, 0, digest(EMPTY), "")


class Step(NamedTuple):
    """One version of the history. Documents share what did not change between them."""

    version: Version
    document: Document
    changes: list[Any]  # on the version before it, as JSON rows
    size: int  # bytes of the changes


def propose(table: Versions, on: int, document: Any, term: int) -> dict[str, Any]:
    """The command that makes this document the version after `on`, the newest one that its author has read.

    Raises DocumentError, with the field and the reason, where it cannot be one.
    """
    check(document)
    if on != table.newest.revision:
        raise DocumentError(f"on: builds on {on}, {table.newest.revision} is the newest")
    rows = encode_changes(difference(table.document, document))
    if not rows:
        raise DocumentError("changes: none, this document is the newest version")
    check_changes(rows)
    return {"do": "publish", "on": on, "term": term, "digest": digest(document), "changes": rows}


def check_changes(rows: list[Any]) -> None:
    """Raises DocumentError where they are too large for one command or delta."""
    if (size := len(canonical(rows))) > LARGEST_CHANGES:
        raise DocumentError(f"changes: {size} bytes, over {LARGEST_CHANGES}")


class Versions:
    """The replicated table. An answer has `ok`, or `no` with field and reason; refused changes nothing.

    `history` is alike at all instances.
    """

    def __init__(self, history: int = MOST_HISTORY) -> None:
        self.history = history
        self.load(None)

    @property
    def newest(self) -> Version:
        return self.steps[-1].version

    @property
    def document(self) -> Document:
        return self.steps[-1].document

    def apply(self, command: Any) -> dict[str, Any]:
        try:
            version = self._publish(command)
        except DocumentError as error:
            return {"no": str(error)}
        return {"ok": True, "revision": version.revision, "digest": version.digest}

    def dump(self) -> Any:
        oldest = self.steps[0]
        later = [[list(step.version), step.changes] for step in self.steps[1:]]
        return {"oldest": [list(oldest.version), oldest.document], "later": later}

    def load(self, state: Any) -> None:
        version, document = state["oldest"] if state else (FIRST, EMPTY)
        self.steps = [Step(Version(*version), document, [], 0)]
        for version, changes in state["later"] if state else []:
            document = patched(document, decode_changes(changes))
            self.steps.append(Step(Version(*version), document, changes, len(canonical(changes))))

    def delta(self, revision: int, known: str) -> tuple[Change, ...] | None:
        """The changes from that version to the newest; None where it is too old, or has another digest, or
        where the whole document is not longer than they could be.
        """
        for step in self.steps:
            if step.version.revision == revision and step.version.digest == known:
                changes = difference(step.document, self.document)
                # Danger: a path is written with each change, and so they may not fit into a frame.
                return changes if len(canonical(encode_changes(changes))) <= LARGEST_DOCUMENT else None
        return None

    def _publish(self, command: Any) -> Version:
        if not isinstance(command, dict) or command.get("do") != "publish":
            raise DocumentError("do: unknown command")
        on, term = _count(command, "on"), _count(command, "term")
        if on != self.newest.revision:
            raise DocumentError(f"on: builds on {on}, {self.newest.revision} is the newest")
        if term < self.newest.term:
            raise DocumentError(f"term: {term} is older than {self.newest.term}, that of the newest")
        if not isinstance(known := command.get("digest"), str):
            raise DocumentError("digest: no text")
        changes = decode_changes(command.get("changes"))
        check_changes(command["changes"])
        document = apply(self.document, changes, known)
        check(document)
        if known == self.newest.digest:
            raise DocumentError("changes: none, this document is the newest version")
        version = Version(on + 1, term, known, self._chain(on + 1, term, known))
        self._keep(Step(version, document, command["changes"], len(canonical(command["changes"]))))
        return version

    def _chain(self, revision: int, term: int, known: str) -> str:
        text = canonical([self.newest.chain, revision, term, known])
        return hashlib.blake2b(text, digest_size=DIGEST_SIZE).hexdigest()

    def _keep(self, step: Step) -> None:
        self.steps.append(step)
        while len(self.steps) > self.history or self._too_large():
            del self.steps[0]

    def _too_large(self) -> bool:
        # The first step needs no changes; the newest is kept whatever its size.
        return len(self.steps) > 1 and sum(step.size for step in self.steps[1:]) > LARGEST_HISTORY


def _count(command: dict[str, Any], field: str) -> int:
    value = command.get(field)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise DocumentError(f"{field}: no whole number from 0")
    return value
