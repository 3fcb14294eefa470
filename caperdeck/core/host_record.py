"""What a node has seen of a host lately, for another process of the same node. No I/O.

A process that takes over in an upgrade has seen nothing itself: without these records it would fill hosts
that the one before it knew to be full, dial those that failed it, and hold a host that an operator has
called back to be warm.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import asdict, dataclass
from typing import TYPE_CHECKING

from .model import RosterScope

if TYPE_CHECKING:
    from .decide import Node


class RecordError(ValueError):
    """What another process has sent is no record of a host."""


@dataclass(frozen=True, slots=True)
class HostRecord:
    """Times are Unix time in milliseconds, 0 for never or long ago; loads are in the unit of hints."""

    born: float = 0.0  # the host's start; of one that was called back, the call, unless it is known better
    figure: float | None = None  # its load over its capacity, as last told, and when
    figure_at: float = 0.0
    crowd: float | None = None  # connections that it held then for all nodes
    sent: float = 0.0  # own load sent there since
    looked_at: float = 0.0  # the last answer to a probe
    relieved_at: float = 0.0  # when a figure was last acted upon by moving connections
    pile: float = 0.0  # milliseconds of work piled up, as last told by a connection, and when
    pile_at: float = 0.0
    failures: float = 0.0  # halved by each success, and until when the host is sent nothing for them
    shunned_until: float = 0.0

    def as_message(self) -> dict[str, float | None]:
        """What differs from the defaults, to be sent to the other process."""
        blank = asdict(HostRecord())
        return {name: value for name, value in asdict(self).items() if value != blank[name]}

    @classmethod
    def from_message(cls, message: object) -> HostRecord:
        """The same read again; raises RecordError. Fields of another version of the program are left out."""
        if not isinstance(message, Mapping):
            raise RecordError(f"a record of a host is no table: {message!r:.50}")
        fields = {name: message[name] for name in cls.__slots__ if name in message}
        for name, value in fields.items():
            if isinstance(value, bool) or not isinstance(value, (int, float)) or not 0 <= value < math.inf:
                raise RecordError(f"a record of a host has a bad {name}: {value!r:.50}")
        return cls(**fields)


def record_of(node: Node, host: int) -> HostRecord:
    figure = node.figure[host]
    return HostRecord(
        born=node.born[host],
        figure=figure,
        figure_at=0.0 if figure is None else max(node.figure_at[host], 0.0),
        crowd=node.crowd[host],
        sent=max(node.extra[host], 0.0),
        looked_at=max(node.seen_at[host], 0.0),
        relieved_at=max(node.acted_at[host], 0.0),
        pile=node.pile[host],
        pile_at=max(node.pile_at[host], 0.0),
        failures=node.ill[host],
        shunned_until=node.shunned[host],
    )


def take_records(node: Node, now: float, records: Mapping[int, HostRecord]) -> None:
    """Takes in what another process of this node has seen of its hosts, by the indices here."""
    for host, record in sorted(records.items(), key=lambda item: item[1].figure_at):
        # Danger: a host that has started since is another one, whatever was seen of it before.
        if record.born >= node.born[host]:
            _take(node, now, host, record)
    node.roster(now, RosterScope.CHANGES, [])  # some may count as cold now
    # Danger: nothing stands here yet, and the mean of those that ask is no measure of those that stand.
    mean_load = node.each
    node._survey(now)
    node.each = mean_load


def _take(node: Node, now: float, host: int, record: HostRecord) -> None:
    node.born[host] = record.born
    # Danger: two processes' clocks differ a little; what comes from the future would not grow old in time.
    node.seen_at[host] = min(record.looked_at, now)
    node.acted_at[host] = min(record.relieved_at, now)
    node.pile[host], node.pile_at[host] = record.pile, min(record.pile_at, now)
    node.ill[host], node.shunned[host] = record.failures, record.shunned_until
    if record.failures:
        node.ailing[host] = None
    if record.figure is not None:
        node.figure[host], node.figure_at[host] = record.figure, min(record.figure_at, now)
        node.crowd[host] = record.crowd
        node.known[host] = None
    if record.sent:
        node.added[host], node.extra[host] = [(now, record.sent)], record.sent
