"""A change of configuration: nothing brings it to the nodes, and what it would cost them to take it."""

from __future__ import annotations

from caperdeck.lifecycle.config import LARGEST

from ..figure import Figure, figure
from ..fleet import Fleet
from ..load import DAY, busy
from ..needs import Need
from ..row import Kind, Role, row


def file_bytes(fleet: Fleet) -> Figure:
    """Bytes of one node's whole file: its listeners, customers, known hosts and members."""
    listeners = fleet.lines.at("configuration.bytes_by_listeners", fleet.assumed("listeners"))
    customers = fleet.assumed("customers") * fleet.assumed("customer_bytes")
    hosts = fleet.assumed("hosts") * fleet.assumed("host_row_bytes")
    return listeners + customers + hosts + fleet.members * fleet.assumed("address_bytes")


def file_changes(fleet: Fleet) -> Figure:
    """Times a day that the file changes at every node: the operators' changes, and members replaced."""
    return figure(fleet.target.configuration.changes_a_day) + fleet.target.faults.machines_replaced_a_day


def apply_seconds(fleet: Fleet) -> Figure:
    """Processor seconds in which a node takes a file.

    The line by size is of the reading; what listeners and customers cost beyond it is added by their
    own slopes, in which their part of the reading is counted once more.
    """
    lines, listeners, customers = fleet.lines, fleet.assumed("listeners"), fleet.assumed("customers")
    return (
        lines.at("configuration.apply_by_size", file_bytes(fleet))
        + lines.each("configuration.apply_by_listeners", listeners) * listeners
        + lines.each("configuration.apply_by_customers", customers) * customers
    )


def role(fleet: Fleet) -> Role:
    within = fleet.target.configuration.within
    a_second = file_changes(fleet) / DAY
    peak = a_second * fleet.assumed("peak_times")
    size = file_bytes(fleet)
    need = Need.CONFIGURATION
    return Role(
        "Distribution of configuration",
        (
            row(need, Kind.STATE, "bytes of one node's file", "B", size, LARGEST, "the program's own limit"),
            row(
                need,
                Kind.MESSAGES,
                "files put in place, a day, over the fleet",
                "",
                file_changes(fleet) * fleet.members,
            ),
            row(
                need,
                Kind.MESSAGES,
                "files put in place, a second at the peak, over the fleet",
                "/s",
                peak * fleet.members,
            ),
            row(
                need,
                Kind.MESSAGES,
                "whole files to one process at the mean",
                "B/s",
                size * a_second,
                fleet.control.bytes_per_second,
            ),
            row(
                need,
                Kind.TIME,
                "one change by hand, one node after another",
                "s",
                fleet.assumed("change_by_hand") * fleet.members,
                within,
            ),
            row(
                need,
                Kind.TIME,
                "time in which changes come, times that one takes by hand",
                "",
                fleet.assumed("change_by_hand") * fleet.members * a_second,
                1.0,
                "over 1 the changes are never caught up with",
            ),
            row(
                need,
                Kind.PROCESSOR,
                "a file taken: nothing else runs in the reactor so long",
                "s",
                busy(fleet.target, apply_seconds(fleet)),
                fleet.delay_bound,
            ),
            row(
                need,
                Kind.PROCESSOR,
                "files taken at one process at the mean, part of a core",
                "",
                apply_seconds(fleet) * a_second,
                fleet.control.core_part,
            ),
            row(
                need,
                Kind.PROCESSOR,
                "files taken at one process at the peak, part of a core",
                "",
                apply_seconds(fleet) * peak,
                fleet.control.core_part,
            ),
            row(
                Need.MEMBER_LIST,
                Kind.MESSAGES,
                "files changed by replaced machines, a day, over the fleet",
                "",
                fleet.members * fleet.target.faults.machines_replaced_a_day,
            ),
            row(
                Need.MEMBER_LIST,
                Kind.TIME,
                "one replaced machine by hand at all others",
                "s",
                fleet.assumed("change_by_hand") * fleet.members,
                within,
                "a machine started again in its place with its address changes nothing",
            ),
        ),
    )
