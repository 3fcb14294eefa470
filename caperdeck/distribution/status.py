"""Which version is active at which node, by the nodes' own reports; silence never counts as consent."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any, NamedTuple

from .messages import MessageError, Refusal, decode_fields

REPORT_VALID_MS = 6000.0  # older reports do not count


class StatusRow(NamedTuple):
    """The latest report of one node, as received by one publisher."""

    node: str
    number: int  # of the report; a node's highest number is its latest, whichever publisher received it
    revision: int
    digest: str
    stale: bool  # the node could not confirm that its version is the newest
    refused: Refusal | None
    age: float  # milliseconds since the report arrived


class Status(NamedTuple):
    """What one publisher knows."""

    publisher: str
    confirmed: bool  # a quorum has recently confirmed that there is no newer version
    revision: int
    digest: str
    rows: tuple[StatusRow, ...]


class Summary(NamedTuple):
    """The combined knowledge of all publishers that answered. Names are sorted."""

    confirmed: bool  # if False there may be a newer version than `revision`
    revision: int  # the newest known version
    up_to_date: tuple[str, ...]
    expected: int  # number of expected nodes
    oldest: int | None  # the oldest active revision; None if no node was heard
    refused: tuple[tuple[str, Refusal], ...]
    not_heard: tuple[str, ...]
    stale: tuple[str, ...]
    unexpected: tuple[str, ...]  # heard, but not among the expected nodes


def summarise(statuses: Iterable[Status], expected: Iterable[str]) -> Summary:
    """Combines at least one status. The newest version is a confirmed publisher's, if there is one."""
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
    """The latest report of each node over all publishers, unless it is too old."""
    latest: dict[str, StatusRow] = {}
    for row in (row for status in statuses for row in status.rows):
        if row.node not in latest or row.number > latest[row.node].number:
            latest[row.node] = row
    return {name: row for name, row in latest.items() if row.age <= REPORT_VALID_MS}


# ---- JSON of the answer to an operator


def encode_status(status: Status) -> dict[str, Any]:
    rows = [row._asdict() | {"refused": row.refused and row.refused._asdict()} for row in status.rows]
    return status._asdict() | {"rows": rows}


def decode_status(value: Any) -> Status:
    """Raises MessageError."""
    if not isinstance(value, dict) or not isinstance(value.get("rows"), list):
        raise MessageError("status: no JSON object with rows")
    rows = tuple(StatusRow(**decode_fields("row", StatusRow._fields, row)) for row in value["rows"])
    if any(row.age is None for row in rows):
        raise MessageError("row.age: missing")
    fields = tuple(field for field in Status._fields if field != "rows")
    return Status(rows=rows, **decode_fields("status", fields, value))
