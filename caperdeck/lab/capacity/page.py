"""Reads and replaces the generated part of docs/CAPACITY.md, which is between two marks."""

from __future__ import annotations

from pathlib import Path

BEGIN = "<!-- capacity: begin; `caperdeck lab capacity --page` writes what stands up to the end -->"
END = "<!-- capacity: end -->"
MISSING = (
    "**Not measured yet.** There is no file docs/capacity/slopes.json, so there are no tables: nothing of "
    "what follows from the target is known.\n"
)


class PageError(Exception):
    """A page does not have exactly the two marks; the message is one line."""


def generated_part(page: str) -> str:
    """The text between the marks."""
    begin, end = _marker_positions(page)
    return page[begin:end].strip("\n") + "\n"


def replace_generated_part(page: str, generated: str) -> str:
    """The text of a page with new text between the marks."""
    begin, end = _marker_positions(page)
    return f"{page[:begin]}\n\n{generated.strip()}\n\n{page[end:]}"


def replace_generated_part_of_file(path: str, generated: str) -> str:
    """The new text of a page, which is not written; raises PageError, or OSError if it cannot be read."""
    try:
        return replace_generated_part(Path(path).read_text(encoding="utf-8"), generated)
    except (PageError, UnicodeDecodeError) as error:
        raise PageError(f"{path}: {error}") from None


def _marker_positions(page: str) -> tuple[int, int]:
    """The positions at which the text between the marks begins and ends."""
    for mark in (BEGIN, END):
        if page.count(mark) != 1:
            raise PageError(f"expected the mark {mark} once, found it {page.count(mark)} times")
    begin, end = page.index(BEGIN) + len(BEGIN), page.index(END)
    if end < begin:
        raise PageError("the end mark is before the begin mark")
    return begin, end
