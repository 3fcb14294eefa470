"""Whether what clients of a replicated list saw is an order that real time allows."""

from __future__ import annotations

from typing import Any

from .exploration import BrokenError


def check_history(ops: list[dict[str, Any]], line: list[str]) -> None:
    """Linearizable: each value once, in an order that real time allows; reads see a state of their time."""
    if len(set(line)) < len(line):
        raise BrokenError("a value stands twice")
    place = {value: i + 1 for i, value in enumerate(line)}
    writes = [op for op in ops if not op["read"]]
    for op in writes:
        if op["to"] is not None and place.get(op["value"]) != op["got"]:
            raise BrokenError(f"{op['value']} was told place {op['got']}, stands at {place.get(op['value'])}")
    done = sorted((op["to"], op["got"]) for op in writes if op["to"] is not None)
    for op in ops:
        if not op["read"] or op["to"] is None:
            continue
        begun, ended, length, seen = op["from"], op["to"], len(op["got"]), op["got"]
        if seen != line[:length]:
            raise BrokenError("a read saw what never stood")
        if any(to < begun and got > length for to, got in done):
            raise BrokenError(f"a read begun at {begun:.0f} missed what was told before")
        for value in seen:
            if next(o for o in writes if o["value"] == value)["from"] > ended:
                raise BrokenError("a read saw what was put later")
    for op in writes:
        if op["to"] is not None and any(to < op["from"] and got > op["got"] for to, got in done):
            raise BrokenError(f"{op['value']} stands before what was told earlier")
