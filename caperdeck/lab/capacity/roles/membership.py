"""Membership: who lives, by SWIM among all node processes."""

from __future__ import annotations

from caperdeck.lifecycle.sharing import MAX_PEERS

from ..fleet import Fleet
from ..needs import Need
from ..row import Kind, Role, row


def role(fleet: Fleet) -> Role:
    lines, members, share = fleet.lines, fleet.members, fleet.control
    within = fleet.assumed("membership_within")
    need = Need.MEMBERSHIP
    return Role(
        "Membership",
        (
            row(need, Kind.STATE, "members", "", members, MAX_PEERS, "the program's own limit"),
            row(
                need,
                Kind.MEMORY,
                "state of one process",
                "B",
                lines.at("peers.state_bytes", members),
                share.memory,
            ),
            row(
                need,
                Kind.MESSAGES,
                "datagrams of one process, a second",
                "/s",
                lines.at("peers.messages", members),
            ),
            row(
                need,
                Kind.MESSAGES,
                "bytes of one process",
                "B/s",
                lines.at("peers.bytes", members),
                share.bytes_per_second,
            ),
            row(
                need,
                Kind.PROCESSOR,
                "one process, share of a core",
                "",
                lines.at("peers.cpu", members),
                share.core_part,
            ),
            row(
                need,
                Kind.TIME,
                "until nine in ten know nine in ten, after all have started at once",
                "s",
                lines.at("peers.known", members),
                within,
            ),
            row(need, Kind.TIME, "until a death is known", "s", lines.at("peers.death", members), within),
        ),
    )
