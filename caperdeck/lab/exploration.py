"""Explores every state that a model can reach."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Protocol


class PropertyViolationError(AssertionError):
    """A property of a model does not hold in a state that was reached; the text names both."""


class Model(Protocol):
    """A state of a model, with the steps that lead on from it."""

    def key(self) -> Hashable:
        """Returns a value that is equal for two states that behave alike from here on."""

    def clone(self) -> Model: ...

    def choices(self) -> list[tuple]:
        """Returns the steps that can be taken now, each a name and its arguments."""

    def take_step(self, name: str, *args: object) -> None:
        """Takes a step; raises PropertyViolationError if a property does not hold after it."""


def explore(model: Model) -> int:
    """Visits every state that can be reached from a model and returns how many there are.

    Raises PropertyViolationError.
    """
    seen, pending = {model.key()}, [model]
    while pending:
        state = pending.pop()
        for choice in state.choices():
            successor = state.clone()
            successor.take_step(*choice)
            key = successor.key()
            if key not in seen:
                seen.add(key)
                pending.append(successor)
    return len(seen)
