"""The upper bound of transferred quota: explores every order of steps of three nodes, and finds seeded
faults.
"""

import pytest

from caperdeck.gossip.quota_transfers import TRANSFER_VALIDITY_MS
from caperdeck.lab.exploration import PropertyViolationError, explore
from caperdeck.lab.quota_model import NodeModel, QuotaModel


class DividesByLiveNodes(NodeModel):
    """Divides the quota by the number of live nodes instead of all nodes."""

    def quota_share(self, live_nodes):
        return 1 / live_nodes


class UsesExpiredQuota(NodeModel):
    """Uses borrowed quota after its expiry."""

    def expiry(self, until):
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
    assert explore(QuotaModel(**{"ticks": 2} | world)) > 1000


@pytest.mark.parametrize("kind, world, text", [
    (DividesByLiveNodes, {"asks": 0, "doubles": 0, "deaths": 0, "sleeps": 1, "ticks": 2}, "has accrued"),
    (UsesExpiredQuota, {"asks": 1, "doubles": 0, "deaths": 0, "sleeps": 0, "ticks": 4}, "spent after"),
    (AcceptsTwice, {"asks": 1, "doubles": 1, "deaths": 0, "sleeps": 0, "ticks": 1}, "twice|holds"),
])  # fmt: skip
def test_a_seeded_fault_is_found(kind, world, text):
    """Each of these faults puts the fleet over its bound; the exploration must find it."""
    with pytest.raises(PropertyViolationError, match=text):
        explore(QuotaModel(kind, **world))
