"""Topics and their shards, of which the program has no notion."""

from __future__ import annotations

from ..figure import figure
from ..fleet import Fleet
from ..needs import Need
from ..row import Kind, Role, make_row


def role(fleet: Fleet) -> Role:
    topics, hosts = fleet.target.topics, fleet.assumed("hosts")
    listeners = figure(topics.largest_listeners)
    listener_share = listeners / fleet.target.fleet.connections
    need = Need.TOPICS
    return Role(
        "Topics",
        (
            make_row(need, Kind.STATE, "shards of one host", "", topics.shards / hosts),
            make_row(
                need,
                Kind.STATE,
                "listeners of the largest topic at one process",
                "",
                listeners / fleet.members,
            ),
            make_row(
                need,
                Kind.STATE,
                "the largest topic, against the connections of one host",
                "",
                listeners,
                fleet.target.fleet.connections / hosts,
                "over 1 one host cannot hold it alone",
            ),
            make_row(
                need,
                Kind.MESSAGES,
                "lines that leave hosts for one line of the largest topic",
                "",
                listeners,
                note="a node relays one connection's lines to one client and copies nothing",
            ),
            make_row(
                need,
                Kind.MESSAGES,
                "part of all connections that listen to the largest topic",
                "",
                listener_share,
            ),
        ),
    )
