"""`caperdeck lab capacity`: reads a target and a record of slopes, and prints the resulting tables."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import msgspec

from caperdeck.lab.slopes.record import RecordError, read_record

from . import page, tables
from .report import make_report
from .target import TargetError, load


class CapacityError(Exception):
    """Invalid input; the message is one line."""


def run(
    slopes: str, target: str, json: str | None, page_path: str | None, print_line: Callable[[str], None]
) -> tuple[str, ...]:
    """Prints the tables with `print_line`; returns the names of measurements that the record lacks.

    Raises CapacityError for files with invalid content and OSError for files that cannot be opened.
    """
    try:
        report = make_report(load(target), read_record(slopes))
        text = tables.markdown(report)
        page_text = page.replace_generated_part_of_file(page_path, text) if page_path else ""
    except (TargetError, RecordError, page.PageError) as error:
        raise CapacityError(str(error)) from None
    if json:
        encoded = msgspec.json.encode(report, order="deterministic")
        Path(json).write_bytes(msgspec.json.format(encoded, indent=1) + b"\n")
    if page_path:
        Path(page_path).write_text(page_text, encoding="utf-8")
    print_line(text)
    return report.missing
