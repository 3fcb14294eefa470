"""What is in force where, from the nodes' own words alone. Silence is never counted as consent."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from .messages import MessageError, Refusal, decode_fields

REPORT_VALID_MS = 6000.0  # ms; words that are older do not count


class StatusRow(NamedTuple):
    """The last words of one node, as one publisher heard them."""

    node: str
    number: int  # of the words; the highest of one node is the latest, whichever publisher heard it
    revision: int
    digest: str
    stale: bool  # the node itself could not confirm that it has the newest
    refused: Refusal | None
    age: float  # ms since the words came in


class Status(NamedTuple):
    """What one publisher knows."""

    publisher: str
    confirmed: bool  # a quorum has confirmed lately that there is no newer version
    revision: int
    digest: str
    rows: tuple[StatusRow, ...]


class Summary(NamedTuple):
    """What all publishers that answered know together. Names are sorted."""

    confirmed: bool  # False: there may be a newer version than `revision`
    revision: int  # the newest version
    up_to_date: tuple[str, ...]
    expected: int  # nodes expected
    oldest: int | None  # the oldest revision that a node has in force; None where nobody was heard
    refused: tuple[tuple[str, Refusal], ...]
    not_heard: tuple[str, ...]
    stale: tuple[str, ...]
    unexpected: tuple[str, ...]  # heard, and not on the list of nodes


def summarise(statuses: Iterable[Status], expected: Iterable[str]) -> Summary:
    """At least one status is needed; the newest version is a confirmed publisher's, if there is one."""
    statuses, names = list(statuses), set(expected)
    newest = max(statuses, key=lambda status: (status.confirmed, status.revision))
    latest = _latest_rows(statuses)
    rows = [row for name, row in sorted(latest.items()) if name in names]
    version = newest.revision, newest.digest
    return Summary(
        confirmed=newest.confirmed,
        revision=newest.revision,
        up_to_date=tuple(row.node for row in rows if (row.revision, row.digest) == version),
        expected=len(names),
        oldest=min((row.revision for row in rows), default=None),
        refused=tuple((row.node, row.refused) for row in rows if row.refused is not None),
        not_heard=tuple(sorted(names - latest.keys())),
        stale=tuple(row.node for row in rows if row.stale),
        unexpected=tuple(sorted(latest.keys() - names)),
    )


def _latest_rows(statuses: list[Status]) -> dict[str, StatusRow]:
    """By node the last words of all publishers; left out where they are too old."""
    latest: dict[str, StatusRow] = {}
    for row in (row for status in statuses for row in status.rows):
        if row.node not in latest or row.number > latest[row.node].number:
            latest[row.node] = row
    return {name: row for name, row in latest.items() if row.age <= REPORT_VALID_MS}


# ---- JSON, as an instance tells it to an operator


def encode_status(status: Status) -> dict[str, Any]:
    rows = [row._asdict() | {"refused": row.refused and row.refused._asdict()} for row in status.rows]
    return status._asdict() | {"rows": rows}


def decode_status(value: Any) -> Status:
    """Raises MessageError, with field and reason."""
    if not isinstance(value, dict) or not isinstance(value.get("rows"), list):
        raise MessageError("status: no JSON object with rows")
    rows = tuple(StatusRow(**decode_fields("row", StatusRow._fields, row)) for row in value["rows"])
    if any(row.age is None for row in rows):
        raise MessageError("row.age: missing")
    fields = tuple(field for field in Status._fields if field != "rows")
    return Status(rows=rows, **decode_fields("status", fields, value))
