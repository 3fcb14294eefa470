"""Fleets in virtual time whose nodes share state: the rules hold, and the checks detect a faulty division."""

import msgspec
import pytest
from test_lab_virtual import FORTY_NODES, broken_rules, load_scenario

from caperdeck.core.decide import Node
from caperdeck.lab.oracle import find_breaches
from caperdeck.lab.scenario import ScenarioError, decode
from caperdeck.lab.virtual import VirtualFleet
from caperdeck.gossip.sharing import Sharing, SharingFeatures

ALL_FEATURES = list(SharingFeatures._fields)


def count_sessions_to_cold_hosts(fleet_scenario, seed):
    """Number of sessions that cold hosts received."""
    cold, count = set(), 0
    for event in VirtualFleet(fleet_scenario, seed).run():
        if event["ev"] == "host" and event["state"] == "cold":
            cold.add(event["to"])
        count += event["ev"] == "sent" and event["to"] in cold
    return count


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("features", [[], ALL_FEATURES])
def test_the_rules_hold_for_forty_nodes_that_share_under_faults(seed, features):
    fleet_scenario = decode(FORTY_NODES | {"sharing": features})
    assert [
        breach.line() for breach in find_breaches(fleet_scenario, VirtualFleet(fleet_scenario, seed).run())
    ] == []


def test_cold_hosts_get_at_least_nearly_as_much_as_with_equal_shares():
    """Quota transfers are lost because half of the links between nodes are cut in one or both directions."""
    fleet_scenario = load_scenario("shared8")
    without_sharing = msgspec.structs.replace(fleet_scenario, sharing=None)
    seeds = range(1, 5)
    assert sum(count_sessions_to_cold_hosts(fleet_scenario, seed) for seed in seeds) > 0.9 * sum(
        count_sessions_to_cold_hosts(without_sharing, seed) for seed in seeds
    )


CUT_NODES = {
    "name": "apart", "seconds": 9, "nodes": 40, "sharing": ["cold"],
    "hosts": {"count": 4, "cores": 2}, "clients": {"rate": 60.0, "life": [8.0, 9.0], "load": [100.0, 200.0]},
    "fault": [
        {"do": "silence", "of": "n*", "to": "n*", "at": 0.0},
        {"do": "start", "of": "h[0-2]", "at": 3.0},
    ],
}  # fmt: skip


def test_a_fleet_that_divides_by_live_nodes_overloads_cold_hosts(monkeypatch):
    """Forty nodes that are cut off from each other each take themselves for the whole fleet."""
    fleet_scenario = decode(CUT_NODES)
    assert broken_rules(fleet_scenario) == set()
    tick, warm_host_share = Sharing.tick, Node.warm_host_share

    def tick_and_count(self, now):
        self.decisions.fleet_state.node.living = 1 + len(self.swim.alive())
        return tick(self, now)

    def share_of_live_nodes(self, host):
        return (
            warm_host_share(self, host) * self.settings.nodes / getattr(self, "living", self.settings.nodes)
        )

    monkeypatch.setattr(Sharing, "tick", tick_and_count)
    monkeypatch.setattr(Node, "warm_host_share", share_of_live_nodes)
    assert "cold" in broken_rules(fleet_scenario)


def test_an_unknown_sharing_feature_is_refused():
    with pytest.raises(ScenarioError, match="sharing: no use 'magic'"):
        decode(CUT_NODES | {"sharing": ["magic"]})
