"""`caperdeck lab capacity`: reads a target and a record of slopes, and says what follows."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from caperdeck.lab.slopes.record import RecordError, read_record

from . import page, tables
from .report import report
from .target import TargetError, load


class CapacityError(Exception):
    """Bad input; the text is one line."""


def run(
    slopes: str, target: str, json: str | None, page_path: str | None, say: Callable[[str], None]
) -> tuple[str, ...]:
    """Says the tables; returns the names of measurements that the record lacks.

    Raises CapacityError for files that cannot be used, OSError for those that cannot be opened.
    """
    try:
        made = report(load(target), read_record(slopes))
        text = tables.markdown(made)
        page_text = page.rewritten_file(page_path, text) if page_path else ""
    except (TargetError, RecordError, page.PageError) as error:
        raise CapacityError(str(error)) from None
    if json:
        encoded = msgspec.json.encode(made, order="deterministic")
        Path(json).write_bytes(msgspec.json.format(encoded, indent=1) + b"\n")
    if page_path:
        Path(page_path).write_text(page_text, encoding="utf-8")
    say(text)
    return made.missing
