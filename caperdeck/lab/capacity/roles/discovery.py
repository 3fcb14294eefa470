"""Discovery: one service at which every node process keeps a watch open."""

from __future__ import annotations

from caperdeck.state.backoff import UNREACHABLE
from caperdeck.wire.discovery import ANSWER_TIMEOUT_S, MAX_HOSTS, SILENCE_TIMEOUT_S

from ..figure import Figure
from ..fleet import Fleet
from ..load import SECONDS_PER_DAY
from ..needs import Need
from ..row import Kind, Role, make_row

BACKOFF_WAITS = 2  # back-off waits that may pass until a silent watch is open again


def role(fleet: Fleet) -> Role:
    members, hosts, row_bytes = fleet.members, fleet.assumed("hosts"), fleet.assumed("host_row_bytes")
    changes = fleet.assumed("hosts_replaced_a_day") / SECONDS_PER_DAY
    calls = members / (UNREACHABLE.max_span_s / 2)
    need = Need.HOST_LIST
    return Role(
        "Discovery",
        (
            make_row(need, Kind.STATE, "hosts on the list", "", hosts, MAX_HOSTS, "the program's own limit"),
            make_row(need, Kind.STATE, "watches open at the service", "", members),
            make_row(
                need, Kind.MESSAGES, "changes told, a second, over all watches", "/s", members * changes
            ),
            make_row(
                need, Kind.MESSAGES, "whole lists when all nodes start", "B", members * hosts * row_bytes
            ),
            make_row(
                need,
                Kind.MESSAGES,
                "calls a second while it cannot be reached",
                "/s",
                calls,
                fleet.assumed("discovery_calls"),
                "each process calls after half of the longest wait, in the mean",
            ),
            make_row(
                need,
                Kind.PROCESSOR,
                "a whole list taken: nothing else runs in the reactor so long",
                "s",
                fleet.lines.at("node.list", hosts),
                fleet.delay_bound_s,
            ),
            make_row(
                need,
                Kind.PROCESSOR,
                "one change taken at a process",
                "s",
                fleet.lines.at("node.change", hosts),
                fleet.delay_bound_s,
            ),
            make_row(
                need,
                Kind.TIME,
                "until a watch that fell silent is open again",
                "s",
                Figure(SILENCE_TIMEOUT_S + ANSWER_TIMEOUT_S + BACKOFF_WAITS * UNREACHABLE.max_span_s),
                fleet.target.configuration.within,
            ),
        ),
    )
