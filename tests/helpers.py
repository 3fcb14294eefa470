"""Builds a node and its fleet directly."""

from caperdeck.core.decide import Node
from caperdeck.core.model import Ask, Dial, Effect, Entry, HostState, Listener, RosterScope, Scope, Settings

START = 1_000_000.0


def settings(effect=Effect.REPEATABLE, scope=Scope.ALL, **changes) -> Settings:
    listener = Listener(effect, scope, 5000.0, 300.0, 100.0, 1.0)
    values = {
        "seed": 7, "nodes": 3, "zone": 0, "listeners": (listener,), "max_dials": 5, "may_withdraw": True,
        "may_probe": True, "back_off": True, "max_back_off": 1000.0, "cold_from": 0.3, "warm_after": 8000.0,
        "fall_multiple": 2.5, "fall_span": 1000.0, "subscribe": False, "ask_every": 10000.0,
        "cross_price": 0.0, "sizes_stand": True,
    }  # fmt: skip
    return Settings(**(values | changes))


def entry(host, state=HostState.RUNNING, zone=0, cell=0, born=0.0, size=1.0) -> Entry:
    return Entry(host, state, size, zone, cell, born, 0x9E3779B1 * (host + 1) % 2**32)


def node(hosts=4, entries=None, **changes) -> Node:
    n = Node(settings(**changes), START)
    n.roster(START, RosterScope.SAVED, entries or [entry(h) for h in range(hosts)])
    n.seen_at = [START] * len(n.state)  # their answers to a probe are fresh
    return n


def ask(session, load=10.0, left=1200.0, group=None) -> Ask:
    return Ask(session, 0, 0, left, load, group)


def dials(acts):
    return [a for a in acts if isinstance(a, Dial)]


def figures(n, values, at=START):
    """Fresh reports for the hosts in order."""
    for h, value in enumerate(values):
        if value is not None:
            n._know(at, h, value)
            n.seen_at[h] = at
    n._survey(at)


def standing(n, host, loads, since=START - 60000.0, first=100):
    """Connections of these loads that stand on a host since long ago."""
    for i, load in enumerate(loads):
        n.taken_over(since, ask(first + i, load), host)
        n.sessions[first + i].stands = since
    return range(first, first + len(loads))
