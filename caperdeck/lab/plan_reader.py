"""Reads the standard input of a process with many nodes: first a plan, then one order per line."""

from __future__ import annotations

import os
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.protocols.basic import LineOnlyReceiver

MAX_LINE_BYTES = 16 << 20  # bytes

OutputWriter = Callable[[bytes], None]  # to standard output
OrderHandler = Callable[[bytes], None]


class PlanReader(LineOnlyReceiver):
    """Passes the plan to `begin`, which returns the handler of orders; exits when the input ends."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, plan_type: type, begin: Callable[[Any, OutputWriter], OrderHandler]) -> None:
        self.plan_type, self.begin = plan_type, begin
        self.handle_order: OrderHandler | None = None

    def lineReceived(self, line: bytes) -> None:
        if self.handle_order is None:
            self.handle_order = self.begin(
                msgspec.json.decode(line, type=self.plan_type), self.transport.write
            )
        else:
            self.handle_order(line)

    def connectionLost(self, reason: Any) -> None:
        os._exit(0)
