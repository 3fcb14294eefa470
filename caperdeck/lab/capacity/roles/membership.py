"""Membership: which node processes are alive, by SWIM among all of them."""

from __future__ import annotations

from caperdeck.lifecycle.sharing import MAX_PEERS

from ..fleet import Fleet
from ..needs import Need
from ..row import Kind, Role, make_row


def role(fleet: Fleet) -> Role:
    lines, members, share = fleet.lines, fleet.members, fleet.control_budget
    within = fleet.assumed("membership_within")
    need = Need.MEMBERSHIP
    return Role(
        "Membership",
        (
            make_row(need, Kind.STATE, "members", "", members, MAX_PEERS, "the program's own limit"),
            make_row(
                need,
                Kind.MEMORY,
                "state of one process",
                "B",
                lines.at("peers.state_bytes", members),
                share.memory,
            ),
            make_row(
                need,
                Kind.MESSAGES,
                "datagrams of one process, a second",
                "/s",
                lines.at("peers.messages", members),
            ),
            make_row(
                need,
                Kind.MESSAGES,
                "bytes of one process",
                "B/s",
                lines.at("peers.bytes", members),
                share.bytes_per_second,
            ),
            make_row(
                need,
                Kind.PROCESSOR,
                "one process, share of a core",
                "",
                lines.at("peers.cpu", members),
                share.core_share,
            ),
            make_row(
                need,
                Kind.TIME,
                "until nine in ten know nine in ten, after all have started at once",
                "s",
                lines.at("peers.known", members),
                within,
            ),
            make_row(
                need, Kind.TIME, "until a death is known", "s", lines.at("peers.death", members), within
            ),
        ),
    )
