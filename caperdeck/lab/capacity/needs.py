"""What the target needs, the mechanism that carries each need today, and what other needs stand on it.

The mechanisms are facts of this repository's code; what stands on what is a judgement, not a measurement.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

NOTHING = "none"


class Need(Enum):
    DELIVERY = "delivery"
    STANDING = "standing connections"
    RETURN = "returning crowds"
    CONFIGURATION = "distribution of configuration"
    MEMBER_LIST = "changes of who is a member"
    MEMBERSHIP = "membership"
    OWNED_WORK = "owned work"
    AGREEMENT = "agreement"
    HOST_LIST = "list of hosts"
    HOST_FIGURES = "figures of hosts"
    TOPICS = "placement of topics"
    REGIONS = "regions"
    CONTROL_BUDGET = "budget of control"


class Carrier(NamedTuple):
    mechanism: str  # NOTHING where nothing carries the need
    where: str  # in the code, or what is done in its place
    stands_on: tuple[Need, ...] = ()


CARRIERS: dict[Need, Carrier] = {
    Need.DELIVERY: Carrier("relay of lines in one reactor", "wire/client, wire/host"),
    Need.STANDING: Carrier("a socket on each side, a session table", "state/sessions"),
    Need.RETURN: Carrier(
        "placement, refusals with a wait",
        "core/decide; each node paces by its own part of the room, nothing paces the fleet",
        (Need.MEMBERSHIP,),
    ),
    Need.CONFIGURATION: Carrier(
        "a watch at an instance (`--control`; off in `run`)",
        "distribution/, where `serve --control` is given; in `run` a file and a SIGHUP by hand at each "
        "node process",
        (Need.AGREEMENT,),
    ),
    Need.MEMBER_LIST: Carrier(
        NOTHING,
        "peers stand by number in the file of each node, so a member in another place is a change "
        "at all others, and a version of the configuration may not set them",
        (Need.CONFIGURATION,),
    ),
    Need.MEMBERSHIP: Carrier("SWIM over datagrams", "peers/swim", (Need.MEMBER_LIST,)),
    Need.OWNED_WORK: Carrier(
        "one owner under a lease",
        "leases/runner; asks every node from one process",
        (Need.MEMBER_LIST, Need.AGREEMENT),
    ),
    Need.AGREEMENT: Carrier("Raft among the instances", "raft/core"),
    Need.HOST_LIST: Carrier("a watch on discovery at each node process", "wire/discovery"),
    Need.HOST_FIGURES: Carrier("probes paid by sessions", "core/decide, wire/probe"),
    Need.TOPICS: Carrier(
        NOTHING,
        "a node knows sessions and hosts, no topics and no shards",
        (Need.CONFIGURATION, Need.MEMBERSHIP),
    ),
    Need.REGIONS: Carrier(
        NOTHING,
        "a node knows zones; a cut region is a cut of the one membership and of the one quorum",
        (Need.CONFIGURATION, Need.MEMBERSHIP),
    ),
    Need.CONTROL_BUDGET: Carrier(
        "each mechanism's own fixed intervals",
        "nothing measures or holds what control spends",
        (Need.MEMBERSHIP, Need.OWNED_WORK),
    ),
}


def standing_on(need: Need) -> frozenset[Need]:
    """The needs that rest on one, also by way of others."""
    found: set[Need] = set()
    waiting = [need]
    while waiting:
        below = waiting.pop()
        for each, carrier in CARRIERS.items():
            if below in carrier.stands_on and each not in found:
                found.add(each)
                waiting.append(each)
    return frozenset(found)
