"""The needs of the target, the mechanism that meets each need today, and the dependencies among them.

The mechanisms are facts about this repository's code. The dependencies are a judgement, not a measurement.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

NO_MECHANISM = "none"


class Need(Enum):
    """A need of the target, as printed in the tables."""

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


class Mechanism(NamedTuple):
    """What meets a need."""

    name: str  # NO_MECHANISM if nothing meets the need
    location: str  # in the code, or what is done instead
    depends_on: tuple[Need, ...] = ()


MECHANISMS: dict[Need, Mechanism] = {
    Need.DELIVERY: Mechanism("relay of lines in one reactor", "wire/client, wire/host"),
    Need.STANDING: Mechanism("a socket on each side, a session table", "state/sessions"),
    Need.RETURN: Mechanism(
        "placement, refusals with a wait",
        "core/decide; each node paces by its own part of the room, nothing paces the fleet",
        (Need.MEMBERSHIP,),
    ),
    Need.CONFIGURATION: Mechanism(
        "a watch at an instance (`--control`; off in `run`)",
        "distribution/, where `serve --control` is given; in `run` a file and a SIGHUP by hand at each "
        "node process",
        (Need.AGREEMENT,),
    ),
    Need.MEMBER_LIST: Mechanism(
        NO_MECHANISM,
        "peers stand by number in the file of each node, so a member in another place is a change "
        "at all others, and a version of the configuration may not set them",
        (Need.CONFIGURATION,),
    ),
    Need.MEMBERSHIP: Mechanism("SWIM over datagrams", "peers/swim", (Need.MEMBER_LIST,)),
    Need.OWNED_WORK: Mechanism(
        "one owner under a lease",
        "leases/runner; asks every node from one process",
        (Need.MEMBER_LIST, Need.AGREEMENT),
    ),
    Need.AGREEMENT: Mechanism("Raft among the instances", "raft/core"),
    Need.HOST_LIST: Mechanism("a watch on discovery at each node process", "wire/discovery"),
    Need.HOST_FIGURES: Mechanism("probes paid by sessions", "core/decide, wire/probe"),
    Need.TOPICS: Mechanism(
        NO_MECHANISM,
        "a node knows sessions and hosts, no topics and no shards",
        (Need.CONFIGURATION, Need.MEMBERSHIP),
    ),
    Need.REGIONS: Mechanism(
        NO_MECHANISM,
        "a node knows zones; a cut region is a cut of the one membership and of the one quorum",
        (Need.CONFIGURATION, Need.MEMBERSHIP),
    ),
    Need.CONTROL_BUDGET: Mechanism(
        "each mechanism's own fixed intervals",
        "nothing measures or holds what control spends",
        (Need.MEMBERSHIP, Need.OWNED_WORK),
    ),
}


def dependents_of(need: Need) -> frozenset[Need]:
    """The needs that depend on a need, directly or through others."""
    dependents: set[Need] = set()
    pending = [need]
    while pending:
        dependency = pending.pop()
        for candidate, mechanism in MECHANISMS.items():
            if dependency in mechanism.depends_on and candidate not in dependents:
                dependents.add(candidate)
                pending.append(candidate)
    return frozenset(dependents)
