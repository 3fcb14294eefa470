"""Names as the settings give them, with their indices, and the few settings that the network code reads."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Names:
    listeners: dict[str, int]
    customers: dict[str, int]
    zones: tuple[str, ...]
    groups: bool
    reports: bool  # hosts answer STATS
    max_back_off: float  # 0 where clients are told none
    longest_wait: float  # of any client
    idle: float  # a standing connection without a line for so long is ended

    def customer(self, tenant: str | None) -> int:
        return -1 if tenant is None else self.customers.get(tenant, -1)
