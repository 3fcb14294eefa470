"""Client sessions over a state machine: a command proposed again is applied once (dissertation, 6.3)."""

from __future__ import annotations

from typing import Any, Protocol

import orjson

from .log import Entry, Kind

MOST_CLIENTS = 1024  # the one that was silent longest is forgotten, at every instance alike


class Machine(Protocol):
    """What is replicated: alike at every instance after the same commands; no clock, no chance."""

    def apply(self, command: Any) -> Any: ...

    def dump(self) -> Any: ...

    def load(self, state: Any) -> None: ...


class Sessions:
    """Commands and results are JSON values."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.done: dict[int, tuple[int, Any]] = {}  # by client, the longest silent first: serial, result

    def apply(self, entry: Entry) -> Any:
        """The command's result; of one that was applied before, what it came to then."""
        if entry.kind is not Kind.COMMAND:
            return None
        last = self.done.pop(entry.client, None) if entry.client else None
        if last is not None and entry.serial <= last[0]:
            self.done[entry.client] = last
            # Danger: an older number than the last; applied now it would undo what followed.
            return last[1] if entry.serial == last[0] else None
        result = self.machine.apply(orjson.loads(entry.data))
        if entry.client:
            if len(self.done) >= MOST_CLIENTS:
                del self.done[next(iter(self.done))]
            self.done[entry.client] = entry.serial, result
        return result

    def dump(self) -> bytes:
        clients = [[client, serial, result] for client, (serial, result) in self.done.items()]
        return orjson.dumps({"clients": clients, "state": self.machine.dump()})

    def load(self, data: bytes) -> None:
        whole = orjson.loads(data) if data else {"clients": [], "state": None}
        self.done = {client: (serial, result) for client, serial, result in whole["clients"]}
        self.machine.load(whole["state"])
