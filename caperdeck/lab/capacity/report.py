"""All that follows from a target and a record, in one typed value."""

from __future__ import annotations

import msgspec

from caperdeck.lab.slopes.record import Record

from .expected import Expectation, expectations
from .faults import Fault, faults
from .fleet import Fleet
from .ranking import Rank, ranking
from .roles import roles
from .row import Role
from .sizing import Sizing
from .target import Target


class Report(msgspec.Struct, frozen=True):
    target: Target
    record: Record
    missing: tuple[str, ...]  # measurements that the tables rest on and the record lacks
    sizing: Sizing
    roles: tuple[Role, ...]
    faults: tuple[Fault, ...]
    expected: tuple[Expectation, ...]
    ranking: tuple[Rank, ...]


def report(target: Target, record: Record) -> Report:
    fleet = Fleet(target, record)
    made = roles(fleet)
    return Report(
        target,
        record,
        fleet.lines.missing,
        fleet.sizing,
        made,
        faults(fleet),
        expectations(fleet),
        ranking(made),
    )
