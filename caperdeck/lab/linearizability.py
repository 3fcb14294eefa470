"""Checks that what the clients of a replicated list observed is linearizable."""

from __future__ import annotations

from typing import Any

from .exploration import PropertyViolationError


def check_history(operations: list[dict[str, Any]], values: list[str]) -> None:
    """Checks the completed operations of all clients against the final list.

    Each value must be in the list once, in an order that real time allows, and each read must have returned
    a state that the list had while the read ran. Raises PropertyViolationError.
    """
    if len(set(values)) < len(values):
        raise PropertyViolationError("a value is in the list twice")
    positions = {value: i + 1 for i, value in enumerate(values)}
    writes = [operation for operation in operations if not operation["read"]]
    for operation in writes:
        if operation["ended_at"] is not None and positions.get(operation["value"]) != operation["result"]:
            raise PropertyViolationError(
                f"{operation['value']} was acknowledged at position {operation['result']}, "
                f"but is at {positions.get(operation['value'])}"
            )
    completed = sorted(
        (write["ended_at"], write["result"]) for write in writes if write["ended_at"] is not None
    )
    for operation in operations:
        if not operation["read"] or operation["ended_at"] is None:
            continue
        started, ended, length, result = (
            operation["started_at"], operation["ended_at"], len(operation["result"]), operation["result"],
        )  # fmt: skip
        if result != values[:length]:
            raise PropertyViolationError("a read returned a state that the list never had")
        if any(end < started and position > length for end, position in completed):
            raise PropertyViolationError(f"a read begun at {started:.0f} missed a write acknowledged before")
        for value in result:
            if next(write for write in writes if write["value"] == value)["started_at"] > ended:
                raise PropertyViolationError("a read returned a value that was written later")
    for operation in writes:
        if operation["ended_at"] is not None and any(
            end < operation["started_at"] and position > operation["result"] for end, position in completed
        ):
            raise PropertyViolationError(f"{operation['value']} is before a value acknowledged earlier")
