"""The calls of the admin address: parsing a line and dispatching it to the verb's handler. No I/O."""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable
from typing import Any

ID_PATTERN = re.compile(rb"[!-~]+")
MAX_ARGUMENT_BYTES = 200
MAX_VERB_SHOWN_BYTES = 40  # of an unknown verb that the answer repeats

Answer = list[str]  # lines
AnswerCallback = Callable[[Answer], None]  # takes the answer, at once or later


class CallError(ValueError):
    """A call that cannot be carried out; its text is the reason in the answer."""


def ack(text: str = "") -> Answer:
    return [f"ACK {text}".rstrip()]


def nak(reason: str) -> Answer:
    return [f"NAK {reason}"]


def run_handler(handler: Callable[..., None], *arguments: Any) -> None:
    """Calls the handler; its last argument takes the answer, also when the handler raises CallError."""
    try:
        handler(*arguments)
    except CallError as error:
        arguments[-1](nak(str(error)))


class AdminCalls:
    """The verbs of the admin address, each with its number of arguments and its handler."""

    def __init__(self) -> None:
        self.table: dict[bytes, tuple[int, Callable[..., None], int]] = {}
        self.keep_open_verbs: set[bytes] = set()  # the connection stays open for another call after these

    def add(
        self, verb: str, arguments: int, handler: Callable[..., None], max_argument: int = MAX_ARGUMENT_BYTES,
        keep_open: bool = False,
    ) -> None:  # fmt: skip
        """The handler is called with the arguments as text and the callback that takes the answer."""
        self.table[verb.encode()] = (arguments, handler, max_argument)
        if keep_open:
            self.keep_open_verbs.add(verb.encode())

    def call(self, line: bytes, on_answer: AnswerCallback) -> None:
        """Carries out the call of a line; a bad line is answered with its reason."""
        run_handler(self._call, line, on_answer)

    def _call(self, line: bytes, on_answer: AnswerCallback) -> None:
        handler, arguments = self._parse(line)
        handler(*arguments, on_answer)

    def _parse(self, line: bytes) -> tuple[Callable[..., None], Iterable[str]]:
        words = line.split(b" ")
        if any(byte < 32 or byte == 127 for byte in line):
            raise CallError("control-bytes")
        verb, arguments = words[0], words[1:]
        if verb not in self.table:
            raise CallError(f"unknown-verb {verb[:MAX_VERB_SHOWN_BYTES].decode('ascii', 'replace')}".rstrip())
        expected, handler, max_argument = self.table[verb]
        if len(arguments) < expected or (expected and not arguments[expected - 1]):
            raise CallError("missing-argument")
        if len(arguments) > expected:
            raise CallError("surplus-argument")
        for argument in arguments:
            if len(argument) > max_argument or not ID_PATTERN.fullmatch(argument):
                raise CallError("bad-id")
        return handler, [argument.decode("ascii") for argument in arguments]
