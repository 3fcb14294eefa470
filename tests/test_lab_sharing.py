"""Fleets that share, in virtual time: rules hold, nothing is lost against equal shares, faults are caught."""

import msgspec
import pytest
from test_lab_virtual import FORTY_NODES, broken_rules, load_scenario

from caperdeck.core.decide import Node
from caperdeck.lab.oracle import find_breaches
from caperdeck.lab.scenario import ScenarioError, decode
from caperdeck.lab.virtual import VirtualFleet
from caperdeck.gossip.sharing import Sharing, SharingFeatures

ALL = list(SharingFeatures._fields)


def sent_cold(made, seed):
    """Sessions that cold hosts were sent, as these counted them."""
    cold, count = set(), 0
    for e in VirtualFleet(made, seed).run():
        if e["ev"] == "host" and e["state"] == "cold":
            cold.add(e["to"])
        count += e["ev"] == "sent" and e["to"] in cold
    return count


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("uses", [[], ALL])
def test_the_rules_hold_for_forty_nodes_that_share_under_faults(seed, uses):
    made = decode(FORTY_NODES | {"sharing": uses})
    assert [b.line() for b in find_breaches(made, VirtualFleet(made, seed).run())] == []


def test_cold_hosts_get_no_less_than_by_equal_shares():
    """Half of the links between the nodes are dead or open one way, and loans are lost on their way."""
    made = load_scenario("shared8")
    alone = msgspec.structs.replace(made, sharing=None)
    seeds = range(1, 5)
    assert sum(sent_cold(made, s) for s in seeds) > 0.9 * sum(sent_cold(alone, s) for s in seeds)


APART = {
    "name": "apart", "seconds": 9, "nodes": 40, "sharing": ["cold"],
    "hosts": {"count": 4, "cores": 2}, "clients": {"rate": 60.0, "life": [8.0, 9.0], "load": [100.0, 200.0]},
    "fault": [
        {"do": "silence", "of": "n*", "to": "n*", "at": 0.0},
        {"do": "start", "of": "h[0-2]", "at": 3.0},
    ],
}  # fmt: skip


def test_a_fleet_that_divides_by_the_living_pushes_cold_hosts_over(monkeypatch):
    """Cut in forty parts, each node takes itself for the whole fleet."""
    made = decode(APART)
    assert broken_rules(made) == set()
    tick, part = Sharing.tick, Node.warm_host_share

    def tick_and_count(self, now):
        self.decisions.fleet_state.node.living = 1 + len(self.swim.alive())
        return tick(self, now)

    def divided(self, h):
        return part(self, h) * self.settings.nodes / getattr(self, "living", self.settings.nodes)

    monkeypatch.setattr(Sharing, "tick", tick_and_count)
    monkeypatch.setattr(Node, "warm_host_share", divided)
    assert "cold" in broken_rules(made)


def test_a_use_that_is_none_is_refused():
    with pytest.raises(ScenarioError, match="sharing: no use 'magic'"):
        decode(APART | {"sharing": ["magic"]})
