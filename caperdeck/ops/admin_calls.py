"""The calls of the second address: a line taken apart, a table from verb to handler. No I/O."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from typing import Any

ID = re.compile(rb"[!-~]+")
LONGEST_ARGUMENT = 200
VERB_SHOWN = 40  # characters of an unknown verb that the answer repeats

Answer = list[str]
Then = Callable[[Answer], None]  # takes the answer, at once or later


class CallError(ValueError):
    """A call that cannot be carried out; its text is the reason."""


def yes(text: str = "") -> Answer:
    return [f"ACK {text}".rstrip()]


def no(reason: str) -> Answer:
    return [f"NAK {reason}"]


def carry_out(handler: Callable[..., None], *arguments: Any) -> None:
    """The last of the arguments takes the answer, also where it is a no."""
    try:
        handler(*arguments)
    except CallError as error:
        arguments[-1](no(str(error)))


class Calls:
    """Verbs, with how many arguments each takes and what carries it out."""

    def __init__(self) -> None:
        self.table: dict[bytes, tuple[int, Callable[..., None], int]] = {}
        self.kept: set[bytes] = set()  # verbs after whose answer the connection stays open for the next call

    def add(
        self, verb: str, arguments: int, handler: Callable[..., None], longest: int = LONGEST_ARGUMENT,
        keeps: bool = False,
    ) -> None:  # fmt: skip
        """The handler takes the arguments as text, and what is to be called with the answer."""
        self.table[verb.encode()] = (arguments, handler, longest)
        if keeps:
            self.kept.add(verb.encode())

    def call(self, line: bytes, then: Then) -> None:
        carry_out(self._call, line, then)

    def _call(self, line: bytes, then: Then) -> None:
        handler, arguments = self._parse(line)
        handler(*arguments, then)

    def _parse(self, line: bytes) -> tuple[Callable[..., None], Iterable[str]]:
        words = line.split(b" ")
        if any(byte < 32 or byte == 127 for byte in line):
            raise CallError("control-bytes")
        verb, arguments = words[0], words[1:]
        if verb not in self.table:
            raise CallError(f"unknown-verb {verb[:VERB_SHOWN].decode('ascii', 'replace')}".rstrip())
        wanted, handler, longest = self.table[verb]
        if len(arguments) < wanted or (wanted and not arguments[wanted - 1]):
            raise CallError("missing-argument")
        if len(arguments) > wanted:
            raise CallError("surplus-argument")
        for argument in arguments:
            if len(argument) > longest or not ID.fullmatch(argument):
                raise CallError("bad-id")
        return handler, [argument.decode("ascii") for argument in arguments]
