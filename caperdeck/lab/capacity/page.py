"""The generated part of docs/CAPACITY.md, between two marks."""

from __future__ import annotations

from pathlib import Path

BEGIN = "<!-- capacity: begin; `caperdeck lab capacity --page` writes what stands up to the end -->"
END = "<!-- capacity: end -->"
MISSING = (
    "**Not measured yet.** There is no file docs/capacity/slopes.json, so there are no tables: nothing of "
    "what follows from the target is known.\n"
)


class PageError(Exception):
    """The page has not the two marks; the text is one line."""


def between(page: str) -> str:
    """What stands between the marks now."""
    begin, end = _marks(page)
    return page[begin:end].strip("\n") + "\n"


def rewritten(page: str, generated: str) -> str:
    begin, end = _marks(page)
    return f"{page[:begin]}\n\n{generated.strip()}\n\n{page[end:]}"


def rewritten_file(path: str, generated: str) -> str:
    """The text that a page is to have. Raises PageError, and OSError for what cannot be read."""
    try:
        return rewritten(Path(path).read_text(encoding="utf-8"), generated)
    except (PageError, UnicodeDecodeError) as error:
        raise PageError(f"{path}: {error}") from None


def _marks(page: str) -> tuple[int, int]:
    """Where the text between the marks begins and ends."""
    for mark in (BEGIN, END):
        if page.count(mark) != 1:
            raise PageError(f"the mark {mark} stands {page.count(mark)} times, not once")
    begin, end = page.index(BEGIN) + len(BEGIN), page.index(END)
    if end < begin:
        raise PageError("the end mark stands before the begin mark")
    return begin, end
