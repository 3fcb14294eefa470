"""Every state that a model can reach, step by step."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Protocol


class BrokenError(AssertionError):
    """A property of a model does not hold in a state that was reached; the text names both."""


class Model(Protocol):
    """A state with its next steps."""

    def key(self) -> Hashable:
        """The same for two states that behave alike from here on."""

    def clone(self) -> Model: ...

    def choices(self) -> list[tuple]:
        """The steps that can be taken now, each a name and its arguments."""

    def do(self, what: str, *args: object) -> None:
        """Takes a step; raises BrokenError where a property does not hold after it."""


def explore(model: Model) -> int:
    """Every state that can be reached from a model by its choices; how many there are. Raises BrokenError."""
    seen, waiting = {model.key()}, [model]
    while waiting:
        at = waiting.pop()
        for choice in at.choices():
            after = at.clone()
            after.do(*choice)
            key = after.key()
            if key not in seen:
                seen.add(key)
                waiting.append(after)
    return len(seen)
