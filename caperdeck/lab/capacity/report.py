"""All results that follow from a target and a record of measurements, as one value."""

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
    """The inputs and all computed tables."""

    target: Target
    record: Record
    missing: tuple[str, ...]  # measurements that the tables depend on and the record lacks
    sizing: Sizing
    roles: tuple[Role, ...]
    faults: tuple[Fault, ...]
    expected: tuple[Expectation, ...]
    ranking: tuple[Rank, ...]


def make_report(target: Target, record: Record) -> Report:
    """Computes all tables."""
    fleet = Fleet(target, record)
    computed_roles = roles(fleet)
    return Report(
        target,
        record,
        fleet.lines.missing,
        fleet.sizing,
        computed_roles,
        faults(fleet),
        expectations(fleet),
        ranking(computed_roles),
    )
