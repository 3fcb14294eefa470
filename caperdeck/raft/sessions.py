"""Client sessions over a state machine: a retried command is applied once (dissertation, 6.3)."""

from __future__ import annotations

from typing import Any, Protocol

import orjson

from .log import Entry, Kind

MAX_CLIENTS = 1024  # past this, every instance forgets the client that was silent for longest


class Machine(Protocol):
    """A replicated state machine.

    It must be deterministic: after the same commands it is equal at every instance, so it uses neither a
    clock nor random numbers.
    """

    def apply(self, command: Any) -> Any: ...

    def dump(self) -> Any: ...

    def load(self, state: Any) -> None: ...


class Sessions:
    """Applies entries to a state machine. Commands and results are JSON values."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        # By client, the one that was silent for longest first: its last serial and the result.
        self.last_results: dict[int, tuple[int, Any]] = {}

    def apply(self, entry: Entry) -> Any:
        """The result of the command; of one that was applied before, the result that it had then."""
        if entry.kind is not Kind.COMMAND:
            return None
        last = self.last_results.pop(entry.client, None) if entry.client else None
        if last is not None and entry.serial <= last[0]:
            self.last_results[entry.client] = last
            # A command older than the client's last one must not be applied: it would undo what followed.
            return last[1] if entry.serial == last[0] else None
        result = self.machine.apply(orjson.loads(entry.data))
        if entry.client:
            if len(self.last_results) >= MAX_CLIENTS:
                del self.last_results[next(iter(self.last_results))]
            self.last_results[entry.client] = entry.serial, result
        return result

    def dump(self) -> bytes:
        clients = [[client, serial, result] for client, (serial, result) in self.last_results.items()]
        return orjson.dumps({"clients": clients, "state": self.machine.dump()})

    def load(self, data: bytes) -> None:
        content = orjson.loads(data) if data else {"clients": [], "state": None}
        self.last_results = {client: (serial, result) for client, serial, result in content["clients"]}
        self.machine.load(content["state"])
