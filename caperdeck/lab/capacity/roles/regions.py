"""Partitions between regions. The program has no notion of a region, only of one fleet with zones."""

from __future__ import annotations

from ..figure import figure
from ..fleet import Fleet
from ..load import SECONDS_PER_DAY
from ..needs import Need
from ..row import Kind, Role, make_row


def role(fleet: Fleet) -> Role:
    cut = figure(fleet.target.faults.region_cut)
    changes = fleet.target.configuration.changes_a_day / SECONDS_PER_DAY
    need = Need.REGIONS
    return Role(
        "Regions",
        (
            make_row(
                need,
                Kind.STATE,
                "members of the other region held dead in a cut, a part of them",
                "",
                fleet.lines.share_at("peers.false_deaths", fleet.members),
                note="measured in a shorter cut than the target's",
            ),
            make_row(
                need, Kind.STATE, "changes of configuration made while a region is cut off", "", changes * cut
            ),
            make_row(
                need,
                Kind.TIME,
                "until a change is in force in a region cut off",
                "s",
                cut,
                fleet.target.configuration.within,
                "the cut alone",
            ),
            make_row(
                need,
                Kind.STATE,
                "connections whose host is in the other region",
                "",
                fleet.assumed("cross_region_part") * fleet.target.fleet.connections,
            ),
        ),
    )
