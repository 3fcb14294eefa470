"""A host, which has its share of the connections and answers the probes of all node processes."""

from __future__ import annotations

from caperdeck.core.decide import FREE_PROBES, PROBE_INTERVAL_MS

from ..figure import Figure
from ..fleet import Fleet
from ..load import MS_PER_S, TICKS_PER_S
from ..needs import Need
from ..row import Kind, Role, make_row


def role(fleet: Fleet) -> Role:
    target, hosts = fleet.target, fleet.assumed("hosts")
    new_connections = target.fleet.connections / fleet.assumed("connection_life")
    return Role(
        "Host",
        (
            make_row(Need.STANDING, Kind.STATE, "standing connections", "", target.fleet.connections / hosts),
            make_row(
                Need.DELIVERY,
                Kind.MESSAGES,
                "lines to nodes, a second",
                "/s",
                target.deliveries.per_second / hosts,
            ),
            make_row(
                Need.HOST_FIGURES, Kind.MESSAGES, "new connections, a second", "/s", new_connections / hosts
            ),
            make_row(
                Need.HOST_FIGURES,
                Kind.MESSAGES,
                "probes a second that no session pays for",
                "/s",
                Figure(FREE_PROBES * MS_PER_S / PROBE_INTERVAL_MS),
                note="of all nodes together, at any size",
            ),
            make_row(
                Need.HOST_FIGURES,
                Kind.MESSAGES,
                "probes a second while it tells no figure yet",
                "/s",
                fleet.members * TICKS_PER_S,
                note="each process asks at each tick",
            ),
            make_row(
                Need.HOST_FIGURES,
                Kind.PROCESSOR,
                "one placement at a node process",
                "s",
                fleet.lines.at("node.placement", hosts),
            ),
        ),
    )
