"""The upper bound of transferred quota: explores every order of steps of three nodes, and finds seeded
faults.
"""

import pytest

from caperdeck.gossip.quota_transfers import TRANSFER_VALIDITY_MS
from caperdeck.lab.exploration import BrokenError, explore
from caperdeck.lab.rights_model import NodeModel, RightsModel


class DividesByLiveNodes(NodeModel):
    """Divides the quota by the number of live nodes instead of all nodes."""

    def part(self, heard):
        return 1 / heard


class UsesExpiredQuota(NodeModel):
    """Uses borrowed quota after its expiry."""

    def end(self, until):
        return float("inf")


class AcceptsTwice(NodeModel):
    """A duplicated answer is accepted twice, because requests stay pending."""

    def clone(self):
        c = super().clone()
        c.transfers.accept = lambda now, member, number, grants, borrow: [
            borrow(budget, amount, c.transfers.pending_requests[number][1] + TRANSFER_VALIDITY_MS)
            for budget, amount in grants
        ]  # fmt: skip
        return c


@pytest.mark.parametrize("world", [
    {"asks": 2, "doubles": 0, "deaths": 0, "sleeps": 0, "ticks": 1},
    {"asks": 1, "doubles": 1, "deaths": 0, "sleeps": 0},
    {"asks": 1, "doubles": 0, "deaths": 1, "sleeps": 0},
    {"asks": 1, "doubles": 0, "deaths": 0, "sleeps": 1},
    {"asks": 1, "doubles": 1, "deaths": 1, "sleeps": 0},
    {"asks": 1, "doubles": 1, "deaths": 0, "sleeps": 1},
    {"asks": 1, "doubles": 0, "deaths": 1, "sleeps": 1},
    {"asks": 1, "doubles": 0, "deaths": 0, "sleeps": 0, "ticks": 2, "rates": (1, 2, 1)},
])  # fmt: skip
def test_no_order_of_messages_restarts_and_suspensions_breaks_the_bound(world):
    assert explore(RightsModel(**{"ticks": 2} | world)) > 1000


@pytest.mark.parametrize("kind, world, text", [
    (DividesByLiveNodes, {"asks": 0, "doubles": 0, "deaths": 0, "sleeps": 1, "ticks": 2}, "has minted"),
    (UsesExpiredQuota, {"asks": 1, "doubles": 0, "deaths": 0, "sleeps": 0, "ticks": 4}, "spent after"),
    (AcceptsTwice, {"asks": 1, "doubles": 1, "deaths": 0, "sleeps": 0, "ticks": 1}, "twice|hands"),
])  # fmt: skip
def test_a_seeded_fault_is_found(kind, world, text):
    """Each of these faults puts the fleet over its bound; the exploration must find it."""
    with pytest.raises(BrokenError, match=text):
        explore(RightsModel(kind, **world))
