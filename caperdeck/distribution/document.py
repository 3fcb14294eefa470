"""Configuration documents and the changes between two of them.

A document is a JSON object. Its digest is BLAKE2b over its canonical JSON (sorted keys), so processes with
the same document compute the same digest. A change addresses a key by its path; lists are replaced as a
whole.
"""

from __future__ import annotations

import hashlib
from typing import Any, NamedTuple

import orjson

Document = dict[str, Any]

MAX_DOCUMENT_BYTES = 2 << 20  # of canonical JSON; a whole version fits into one frame between instances
MAX_DEPTH = 16  # of nested objects and lists
DIGEST_BYTES = 16
EMPTY_DOCUMENT: Document = {}


class DocumentError(Exception):
    """A document or its changes are invalid. The text has the field and the reason."""


class Change(NamedTuple):
    """A new value for one key, or its removal."""

    path: tuple[str, ...]
    value: Any = None
    removed: bool = False


def canonical(value: Any) -> bytes:
    """Canonical JSON: the same bytes for equal values, whatever the order of their keys."""
    try:
        return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    except (TypeError, orjson.JSONEncodeError) as error:
        raise DocumentError(f"document: {error}") from None


def digest(document: Document) -> str:
    return hashlib.blake2b(canonical(document), digest_size=DIGEST_BYTES).hexdigest()


def validate(document: Any) -> None:
    """Raises DocumentError unless the document is a JSON object within the limits of size and depth."""
    if not isinstance(document, dict):
        raise DocumentError("document: no JSON object")
    _check_depth(document, "document", MAX_DEPTH)
    if (size := len(canonical(document))) > MAX_DOCUMENT_BYTES:
        raise DocumentError(f"document: {size} bytes, over {MAX_DOCUMENT_BYTES}")


def _check_depth(value: Any, field: str, levels: int) -> None:
    if not isinstance(value, dict | list):
        return
    if not levels:
        raise DocumentError(f"{field}: deeper than {MAX_DEPTH}")
    rows = value.items() if isinstance(value, dict) else enumerate(value)
    for key, child in rows:
        _check_depth(child, f"{field}.{key}", levels - 1)


def difference(old: Document, new: Document) -> tuple[Change, ...]:
    """The changes that turn `old` into `new`, ordered by path."""
    return tuple(_difference(old, new, ()))


def _difference(old: Document, new: Document, path: tuple[str, ...]) -> list[Change]:
    changes = []
    for key in sorted(old.keys() | new.keys()):
        key_path = (*path, key)
        if key not in new:
            changes.append(Change(key_path, removed=True))
        elif key not in old:
            changes.append(Change(key_path, new[key]))
        elif isinstance(old[key], dict) and isinstance(new[key], dict):
            if old[key] is not new[key]:
                changes += _difference(old[key], new[key], key_path)
        # True, 1 and 1.0 are equal in Python, but are different JSON.
        elif old[key] is not new[key] and canonical(old[key]) != canonical(new[key]):
            changes.append(Change(key_path, new[key]))
    return changes


def apply_changes(document: Document, changes: tuple[Change, ...], expected: str) -> Document:
    """A new document with the expected digest; `document` is not modified. Raises DocumentError."""
    result = apply_unchecked(document, changes)
    if (actual := digest(result)) != expected:
        raise DocumentError(f"digest: {actual} after the changes, {expected} was expected")
    return result


def apply_unchecked(document: Document, changes: tuple[Change, ...]) -> Document:
    """Like `apply_changes`, without checking the digest; for changes that were checked before."""
    result = dict(document)
    copied = {id(result): result}
    for change in changes:
        _apply_one(result, change, copied)
    return result


def _apply_one(result: Document, change: Change, copied: dict[int, Document]) -> None:
    field = ".".join(change.path)
    target = result
    for key in change.path[:-1]:
        child = target.get(key)
        if not isinstance(child, dict):
            raise DocumentError(f"{field}: {key} is no object")
        # The new document shares objects with the old one, which may be active: objects on the path
        # are copied, each once.
        if id(child) not in copied:
            child = target[key] = dict(child)
            copied[id(child)] = child
        target = child
    last = change.path[-1]
    if not change.removed:
        target[last] = change.value
    elif last in target:
        del target[last]
    else:
        raise DocumentError(f"{field}: is not there to be removed")


def encode_changes(changes: tuple[Change, ...]) -> list[Any]:
    """The changes as JSON: rows of path and value, or of the path alone for a removal."""
    return [
        [list(change.path)] if change.removed else [list(change.path), change.value] for change in changes
    ]


def decode_changes(rows: Any) -> tuple[Change, ...]:
    """Raises DocumentError with the row that is invalid."""
    if not isinstance(rows, list):
        raise DocumentError("changes: no list")
    return tuple(_decode_change(row, f"changes.{i}") for i, row in enumerate(rows))


def _decode_change(row: Any, field: str) -> Change:
    if not isinstance(row, list) or not 1 <= len(row) <= 2:
        raise DocumentError(f"{field}: not a path, or a path and a value")
    path = row[0]
    if not isinstance(path, list) or not 1 <= len(path) <= MAX_DEPTH:
        raise DocumentError(f"{field}: a path of 1 to {MAX_DEPTH} keys is needed")
    if not all(isinstance(key, str) for key in path):
        raise DocumentError(f"{field}: a key that is no text")
    return Change(tuple(path), row[1] if len(row) == 2 else None, removed=len(row) == 1)
